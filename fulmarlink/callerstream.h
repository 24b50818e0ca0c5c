#pragma once

#include <boost/asio/experimental/concurrent_channel.hpp>

#include "fulmarlink/entrycore.h"

namespace fulmarlink
{

/**
 * Carries a request's answer from the decision code to its caller's connection.
 *
 * Contract: push() is thread-safe and never blocks. It returns false when kCapacity
 * actions are queued, which happens only if the caller does not read.
 */
class CallerStream
{
public:
    static constexpr std::size_t kCapacity = 1U << 14;
    using Channel = boost::asio::experimental::concurrent_channel<void(boost::system::error_code, EntryAction)>;

    explicit CallerStream(const boost::asio::any_io_executor &executor)
        : m_channel(executor, kCapacity)
    {
    }

    bool push(EntryAction action)
    {
        return m_channel.try_send(boost::system::error_code(), std::move(action));
    }

    Channel &channel()
    {
        return m_channel;
    }

private:
    Channel m_channel;
};

} // namespace fulmarlink
