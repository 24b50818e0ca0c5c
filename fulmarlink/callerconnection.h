#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <optional>

#include "fulmarlink/clock.h"
#include "fulmarlink/memorylease.h"
#include "fulmarlink/memoryleaseowner.h"
#include "fulmarlink/requestmemory.h"
#include "fulmarlink/requestreader.h"
#include "fulmarlink/widesocketbuffers.h"

namespace fulmarlink
{

class GatewayExchange;

/** A connection of a caller, and the request that is being received or answered on it. */
struct CallerConnection : MemoryLeaseOwner {
    explicit CallerConnection(boost::asio::ip::tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    void evict() override
    {
        reader->discardBody();
        stream.cancel();
    }

    void leaseBecameLarge() override
    {
        wideBuffers.emplace(stream.socket(), *lease);
    }

    /** Notes whether the request has made progress since the last call. */
    void updateProgress(TimePoint now)
    {
        const std::size_t steps = reader->received() / RequestMemory::kProgressBytes;
        if (steps > progressSteps) {
            progressSteps = steps;
            progressAt = now;
        }
    }

    void endRequest()
    {
        reader = nullptr;
        wideBuffers.reset();
        lease.reset();
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<MemoryLease> lease; ///< of the current request
    std::optional<WideSocketBuffers> wideBuffers; ///< while the current request is large
    RequestReader *reader = nullptr; ///< of the current request, until it is complete
    GatewayExchange *exchange = nullptr; ///< the request in progress; null: none
    bool watching = false;
    bool reading = false; ///< at least one byte of the current request has arrived
    bool rejected = false; ///< the last answer has been sent; the rest of what the caller sends is discarded
    TimePoint progressAt{}; ///< when the current request began, or updateProgress() saw that more of it had arrived
    std::size_t progressSteps = 0; ///< RequestMemory::kProgressBytes of the current request that updateProgress() has seen
    TimePoint lastUsed{}; ///< when it was opened or its last request ended

    /** True if no request is in progress and no byte of one has arrived, read or unread. */
    bool idle()
    {
        boost::system::error_code ignored; // a broken connection has no unread bytes
        return exchange == nullptr && !reading && buffer.size() == 0 && stream.socket().available(ignored) == 0;
    }
};

} // namespace fulmarlink
