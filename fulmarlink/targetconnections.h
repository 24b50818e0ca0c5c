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
#include "fulmarlink/connectionend.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/httpclient.h"
#include "fulmarlink/targettable.h"

namespace fulmarlink
{

/** A connection to a runner; it carries one request at a time. */
struct TargetConnection {
    explicit TargetConnection(const boost::asio::any_io_executor &executor)
        : stream(executor)
        , buffer(kMaxUnparsedAnswerBytes)
    {
    }

    /** Whether a read would not block: there are bytes, or the connection has ended. */
    bool hasInput();
    /** How the other side has ended the connection, if no bytes are left to be read before the end. Call it last: it takes the error of a reset. */
    ConnectionEnd takeEnd();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::string target; ///< id of the runner at the other end
    std::string pool; ///< pool of that runner
    TimePoint idleSince{};
    Duration idleLimit{0}; ///< not reused after being idle for so long, since the runner may close it
    bool reused = false;
};

/** The result of TargetConnections::acquire(). */
struct AcquiredConnection {
    std::shared_ptr<TargetConnection> connection; ///< null: none in time
    bool refused = false; ///< no process listens at the runner's address
};

/**
 * Opens connections to runners and keeps idle ones for reuse.
 *
 * A connection is reused only within the time for which the runner keeps it open, and only
 * if no bytes have arrived since its last response, since such bytes belong to no request.
 * Reuse matters because a new connection occupies a runner's slot for about a millisecond.
 *
 * Not thread-safe.
 */
class TargetConnections
{
public:
    /** Subtracted from a runner's stated idle timeout, to allow for bytes in transit and for a busy host. */
    static constexpr Duration kIdleMargin = std::chrono::milliseconds(800);
    /** Idle timeout where the runner states none; the shortest that servers commonly use. */
    static constexpr Duration kDefaultIdle = std::chrono::seconds(4);
    static constexpr std::size_t kMaxIdlePerTarget = 16;
    /** Share of a runner's connection limit that all hosts together may keep idle; the rest is left for connections in use. */
    static constexpr double kIdleShare = 0.8;

    TargetConnections(boost::asio::any_io_executor executor, const Clock &clock, Counters &counters);

    /** Returns an idle connection or opens a new one; null if connecting fails or exceeds @p timeout. */
    boost::asio::awaitable<AcquiredConnection> acquire(TargetInfo target, std::chrono::milliseconds timeout);
    /** Keeps a connection for reuse; its last response must have been received completely. */
    void release(std::shared_ptr<TargetConnection> connection);
    /** Each runner of @p pool accepts @p maxConnections from all @p hosts together, 0: unknown; limits this host's idle connections to its share. */
    void setConnectionLimit(const std::string &pool, unsigned maxConnections, unsigned hosts);
    /** Closes the idle connections to a runner that is leaving, or that has restarted and so knows none of them. */
    void closeIdleTo(const std::string &targetId);
    /** Closes idle connections that have expired, exceed the limit or lead to runners that are no longer listed. */
    void sweep(const TargetTable &targets);

private:
    bool isReusable(TargetConnection &connection) const;
    std::size_t maxIdle(const std::string &pool) const;

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    Counters &m_counters;
    Counters::Id m_opened;
    Counters::Id m_reused;
    Counters::Id m_discarded;
    std::map<std::string, std::size_t> m_maxIdle; ///< limit of idle connections to each runner, by pool
    std::map<std::string, std::vector<std::shared_ptr<TargetConnection>>> m_idle; ///< by target id, most recently used last
};

} // namespace fulmarlink
