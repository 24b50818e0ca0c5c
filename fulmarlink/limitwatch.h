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
 * Takes in what runners' answers and other hosts' records say of the requests a second that
 * a runner takes from all hosts together, paces this host's requests there by it, and tells
 * the other hosts of what its own answers changed.
 *
 * The store is written to only when a limit begins, changes or ends. What can't be written
 * waits; it holds here all the same.
 *
 * How to use: publish() once, as a coroutine of the process's thread; the records come from
 * whoever reads those of crashes.
 */
class LimitWatch
{
public:
    LimitWatch(boost::asio::io_context &context, GatewayState &state, Platform &platform);

    boost::asio::awaitable<void> publish();

    /** An answer of @p target to @p attempt, whose request was sent at @p sent. */
    void handleAnswer(const TargetInfo &target, const RunnerAnswer &answer, TimePoint sent, const std::string &attempt);
    /** Records of all hosts. */
    void applyRecords(const SharedRecordsRead &read);
    /** The entry hosts that live. */
    void setHosts(const std::vector<std::string> &hosts);
    /** Called now and then: what runners named that are gone is forgotten, here and in the store. */
    void removeUnlistedRunners();

private:
    void noteChange(const TargetIncarnation &life, LimitChange change, const RunnerLimit &before);
    void noteMalformed(const TargetIncarnation &life, const std::string &text);
    void handleRemovedRecord(const TargetIncarnation &life);
    void queueRecord(const TargetIncarnation &life);
    boost::asio::awaitable<std::error_code> synchronizeRecord(TargetIncarnation life);
    boost::asio::awaitable<void> sleep(Duration duration);

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    Platform &m_platform;
    boost::asio::steady_timer m_wake; ///< of publish()
    std::set<TargetIncarnation> m_pendingRecords; ///< whose record differs from what this host has seen
    std::map<TargetIncarnation, double> m_storedLimits; ///< limits in the store, as last heard
    std::set<TargetIncarnation> m_unlistedLives; ///< lives that the list of runners did not have when removeUnlistedRunners() last looked
    std::set<TargetIncarnation> m_loggedMalformed; ///< lives that a line has told of
    bool m_lastWriteSucceeded = true; ///< the last writing of a record succeeded
    Counters::Id m_limitedRunnerCount;
    Counters::Id m_malformedLimitCount;
    Counters::Id m_pendingRecordCount;
};

} // namespace fulmarlink
