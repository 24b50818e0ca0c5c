#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>

#include "fulmarlink/demandshiftdetector.h"
#include "fulmarlink/expertload.h"
#include "fulmarlink/expertplanner.h"
#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/grouplease.h"
#include "fulmarlink/groupswitch.h"
#include "fulmarlink/platform.h"

namespace fulmarlink
{

/**
 * Rebalances the expert map of one rank group of a pool as demand shifts: reads the ranks'
 * expert counts, plans a better map and switches the group to it through GroupSwitch.
 *
 * Only the host that holds the group's lease (the leader) plans and starts switches. Any host
 * that sees the group stalled may finish a switch that its leader has abandoned. Each group
 * has its own controller and lease; leaders of different groups are often different hosts
 * and don't coordinate.
 *
 * Usage: call run() once. It ends when the process starts to drain, or when the group has had
 * no member for some time.
 */
class ExpertMapController
{
public:
    ExpertMapController(boost::asio::io_context &context, GatewayState &state, Platform &platform, std::string pool, std::string group);

    boost::asio::awaitable<void> run();
    /** Releases the lease. run() calls it; the caller does so only if run() ended with an exception. */
    boost::asio::awaitable<void> end();
    /** True when run() and everything it started have ended, so that the object may be destroyed. */
    bool ended() const;

private:
    struct ParallelCalls;

    PoolGate &gate() const;
    bool hasMembers();
    Duration acquireDelay() const;
    void updateGroupMembership(const std::vector<TargetInfo> &targets, const std::vector<RankReportRead> &reports);

    boost::asio::awaitable<void> handleLeaseChange();
    boost::asio::awaitable<bool> refreshSlowRanks();
    void applySlowTargets();
    boost::asio::awaitable<bool> activeWithoutLocalStreams();
    boost::asio::awaitable<void> runLeaderIteration();
    boost::asio::awaitable<bool> readReports();
    boost::asio::awaitable<bool> readPlacements();
    boost::asio::awaitable<void> readCounts();
    boost::asio::awaitable<void> waitForNextPass();
    boost::asio::awaitable<void> waitForLastSwitch();
    boost::asio::awaitable<void> recover();
    boost::asio::awaitable<ExpertPlan> computePlan(const std::vector<std::vector<double>> &load, Duration copyBudget);
    bool remainingCopiesNeeded(std::optional<Duration> baseline, double imbalance);
    boost::asio::awaitable<void> releaseLease();
    boost::asio::awaitable<void> applyPlan(ExpertPlan plan);
    boost::asio::awaitable<void> driveSwitch(Duration copyTime, bool assisting);
    /** Returns false if any rank did not accept its order. */
    boost::asio::awaitable<bool> sendOrders(std::vector<AddressedOrder> orders);
    boost::asio::awaitable<bool> readCurrentPass();
    void recordPass(std::uint64_t pass);
    std::optional<std::uint64_t> estimateCurrentPass() const;
    void chooseHoldPass(unsigned refusals);
    boost::asio::awaitable<void> sleep(Duration duration);
    boost::asio::awaitable<void> sendOrder(unsigned rank, RankOrder order, std::shared_ptr<ParallelCalls> calls);
    boost::asio::awaitable<void> readOneReport(unsigned index, std::shared_ptr<ParallelCalls> calls);
    boost::asio::awaitable<void> readOnePlacement(unsigned index, std::shared_ptr<ParallelCalls> calls);
    boost::asio::awaitable<void> readOneCounts(unsigned index, std::shared_ptr<ParallelCalls> calls);
    boost::asio::awaitable<void> waitForCalls(std::shared_ptr<ParallelCalls> calls);
    bool isStalled() const;
    bool shouldReadCounts();
    std::optional<EngineSpec> engine() const;

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    Platform &m_platform;
    const std::string m_pool;
    const std::string m_group;
    const std::string m_leaseName;
    EngineSpec m_engine; ///< copied from the configuration once per loop, so that a reload does not change it during a switch
    GroupLease m_lease;
    GroupSwitch m_switch;
    ExpertLoad m_load;
    std::vector<TargetInfo> m_ranks; ///< in rank order, from the last complete read of reports
    std::vector<RankReport> m_reports; ///< in rank order
    TimePoint m_reportsAt{};
    std::vector<double> m_slowdowns; ///< by rank; 1 for ranks that are not slow
    TimePoint m_slowdownsReadAt{};
    std::vector<std::string> m_slowTargets; ///< applied last, from the lease record
    TimePoint m_lastMapReadAttempt{}; ///< last attempt of the leader to read a map that it does not know
    unsigned m_unreachableRanks = 0; ///< listed ranks that did not answer the last read of reports
    std::uint64_t m_latestPass = 0; ///< newest pass that is known to have begun
    TimePoint m_latestPassAt{}; ///< when m_latestPass was learned
    std::uint64_t m_switchPass = 0; ///< pass with which the last switch takes effect
    TimePoint m_switchDoneAt{}; ///< when the last switch ended; its pass had been released by then
    std::uint64_t m_mapEpoch = 0; ///< of m_map
    std::uint64_t m_mapVersion = 0; ///< of m_map
    bool m_mapKnown = false;
    GroupMap m_map;
    std::uint64_t m_switchesBegun = 0; ///< by this process; combined with the term ID into unique map versions
    TimePoint m_lastOrder{};
    DemandShiftDetector m_shiftDetector;
    bool m_wasLeader = false;
    bool m_ended = false;
    TimePoint m_lastMemberAt{}; ///< when the group last had a listed member
    TimePoint m_lastPassCheck{}; ///< last read of the pass number while this host had no streams of the group
    std::uint64_t m_checkedPass = 0; ///< result of that read; 0: none yet
    Counters::Id m_switchesDone;
    Counters::Id m_switchesGivenUp;
    Counters::Id m_copies;
    Counters::Id m_recoveries;
    Counters::Id m_leader;
};

} // namespace fulmarlink
