#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "fulmarlink/counters.h"
#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/runnerlimits.h"

namespace fulmarlink
{

class Platform;
struct RunnerAnswer;
struct SharedRecordsRead;

/**
 * Tracks the limits on the request rate of all hosts together that runners state in their
 * answers and that other hosts have recorded, paces this host's requests accordingly, and
 * records for the other hosts the changes that it learns from answers.
 *
 * The store is written only when a limit begins, changes or ends. A record that can't be
 * written is retried; its limit applies on this host meanwhile.
 *
 * Usage: run publish() once, as a coroutine on the process's thread. The reader of the crash
 * records passes in the limit records too.
 */
class LimitWatch
{
public:
    LimitWatch(boost::asio::io_context &context, GatewayState &state, Platform &platform);

    /** Writes changed limits to the store; never returns. */
    boost::asio::awaitable<void> publish();

    /** Handles an answer of @p target to @p attempt, whose request was sent at @p sent. */
    void handleAnswer(const TargetInfo &target, const RunnerAnswer &answer, TimePoint sent, const std::string &attempt);
    /** Applies the records of all hosts. */
    void applyRecords(const SharedRecordsRead &read);
    /** Sets the live entry hosts. */
    void setHosts(const std::vector<std::string> &hosts);
    /** Removes the limits of runners that are gone, here and in the store; to be called periodically. */
    void removeUnlistedRunners();

private:
    void applyChange(const TargetIncarnation &incarnation, LimitChange change, const RunnerLimit &before);
    void reportMalformed(const TargetIncarnation &incarnation, const std::string &text);
    void handleRemovedRecord(const TargetIncarnation &incarnation);
    void queueRecord(const TargetIncarnation &incarnation);
    boost::asio::awaitable<std::error_code> synchronizeRecord(TargetIncarnation incarnation);
    boost::asio::awaitable<void> sleep(Duration duration);

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    Platform &m_platform;
    boost::asio::steady_timer m_wakeTimer; ///< publish() waits on it while no record is pending
    std::set<TargetIncarnation> m_pendingRecords; ///< incarnations whose record in the store may differ from what this host knows
    std::map<TargetIncarnation, double> m_storedLimits; ///< limits in the store, as last read or written
    std::set<TargetIncarnation> m_unlistedIncarnations; ///< incarnations missing from the list of runners at the last removeUnlistedRunners()
    std::set<TargetIncarnation> m_loggedMalformed; ///< incarnations whose malformed limit has been logged
    bool m_lastWriteSucceeded = true; ///< so that only changes are logged
    Counters::Id m_limitedRunnerCount;
    Counters::Id m_malformedLimitCount;
    Counters::Id m_pendingRecordCount;
};

} // namespace fulmarlink
