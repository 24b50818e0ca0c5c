#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <set>
#include <string>
#include <system_error>

#include "fulmarlink/counters.h"
#include "fulmarlink/crashrecord.h"
#include "fulmarlink/gatewaystate.h"

namespace fulmarlink
{

class Platform;
struct SharedRecordsRead;

/**
 * Finds out which runners have ended, and shares the requests that were in progress there
 * with all hosts through the store.
 *
 * A connection that is reset says nothing about its runner. A runner counts as ended when
 * new connections are refused, again and again, and all of this host's attempts there have
 * broken off or been silent for half a second, or when its entry shows that it has started
 * again.
 *
 * The store is written to only after a runner has ended. A record that can't be written
 * waits; what this host knows holds here all the same.
 *
 * How to use: run() and publish() once each, as coroutines of the process's thread.
 */
class CrashWatch
{
public:
    CrashWatch(boost::asio::io_context &context, GatewayState &state, Platform &platform);

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> publish();

    /** For an attempt whose connection broke off: whether the runner seems to have ended. Takes one refused connection, or one that is kept for later. */
    boost::asio::awaitable<bool> seemsEnded(TargetInfo target);
    /** The list shows that the runner has started again. */
    void restarted(const std::string &targetId, std::uint64_t born);
    /** True for one host only: it may run the request that is held back. */
    boost::asio::awaitable<bool> claimTrial(CrashSuspect suspect);

private:
    boost::asio::awaitable<bool> refusesConnections(const TargetInfo &target);
    boost::asio::awaitable<void> confirm(TargetInfo target);
    boost::asio::awaitable<void> sleep(Duration duration);
    void ended(const TargetLife &life, std::string_view evidence);
    void take(SharedRecordsRead read);
    void take(CrashRecord record);
    void queue(CrashRecord record);
    void queueClearings();
    void noteStore(bool &before, bool now, const char *event, const std::error_code &error) const;
    Duration retryPause();
    boost::asio::awaitable<void> dropOld();
    void noteStandings(const CrashRecord &record);
    CrashRecord ownRecord(CrashRecordKind kind, const std::string &name) const;

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    Platform &m_platform;
    boost::asio::steady_timer m_wake; ///< of publish()
    std::deque<CrashRecord> m_queue; ///< not written yet
    std::set<TargetLife> m_suspected; ///< seem to have ended; being confirmed
    std::set<TargetLife> m_ended; ///< the last kMaxEnded
    std::deque<TargetLife> m_endedOrder;
    std::uint64_t m_written = 0;
    bool m_readable = false; ///< the last reading of records succeeded
    bool m_writable = true; ///< the last writing of a record did
    Counters::Id m_runnersEnded;
    Counters::Id m_heldBack;
    Counters::Id m_records;
    Counters::Id m_recordsDropped;
    Counters::Id m_unwritten;
};

} // namespace fulmarlink
