#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/targettable.h"

namespace fulmarlink
{

/** A connection to a runner, for one request at a time. */
struct TargetConnection {
    explicit TargetConnection(const boost::asio::any_io_executor &executor)
        : stream(executor)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::string target; ///< id of the runner that it was opened to
    std::string pool; ///< of that runner
    TimePoint idleSince{};
    Duration idleLimit{0}; ///< the runner closes it when it has been idle for longer
    bool reused = false;
};

/**
 * Connections to runners, kept for the next request.
 *
 * A connection is reused only while the runner surely keeps it open, and only if nothing
 * has come on it since its last answer: bytes without a request belong to no request.
 * Reuse matters since a new connection costs a runner a slot for about a millisecond.
 *
 * Not thread-safe.
 */
class TargetConnections
{
public:
    /** Of a runner's stated time, kept back for bytes under way and a host that is busy. */
    static constexpr Duration kIdleMargin = std::chrono::milliseconds(800);
    /** Used where the runner does not say how long it keeps idle connections; the shortest that servers commonly use. */
    static constexpr Duration kDefaultIdle = std::chrono::seconds(4);
    static constexpr std::size_t kMaxIdlePerTarget = 16;
    /** Of the connections that a runner takes from all hosts together; the rest is for those in use. */
    static constexpr double kIdleShare = 0.8;

    TargetConnections(boost::asio::any_io_executor executor, const Clock &clock, Counters &counters);

    /** A kept connection, or a new one; null if none came about within @p timeout. */
    boost::asio::awaitable<std::shared_ptr<TargetConnection>> acquire(TargetInfo target, std::chrono::milliseconds timeout);
    /** Keeps a connection whose last answer was whole. */
    void release(std::shared_ptr<TargetConnection> connection);
    /** A runner of @p pool takes @p most connections from @p hosts together, 0: unknown; this host keeps no more than its part of them. */
    void setConnectionLimit(const std::string &pool, unsigned most, unsigned hosts);
    /** Closes what is kept to a runner that has started again: it knows none of them. */
    void closeIdleTo(const std::string &targetId);
    /** Closes what is kept to runners that are no longer listed, and what has been idle for too long. */
    void sweep(const TargetTable &targets);

private:
    bool fit(TargetConnection &connection) const;
    std::size_t mostKept(const std::string &pool) const;

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    Counters &m_counters;
    Counters::Id m_opened;
    Counters::Id m_reused;
    Counters::Id m_discarded;
    std::map<std::string, std::size_t> m_mostKept; ///< to each runner, by pool
    std::map<std::string, std::vector<std::shared_ptr<TargetConnection>>> m_idle; ///< by target id, the last used last
};

} // namespace fulmarlink
