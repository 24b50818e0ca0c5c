#pragma once

#include <boost/asio/experimental/concurrent_channel.hpp>

#include "fulmarlink/entrycore.h"

namespace fulmarlink
{

/**
 * Carries a request's answer from the decision code to its caller's connection.
 *
 * Contract: push() is thread-safe and never blocks; it gives false when kCapacity
 * actions wait, which only a caller that does not read can bring about.
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
