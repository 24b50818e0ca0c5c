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
 * Keeps the expert map of one rank group of a pool near what is in demand: holds the
 * group's lease, reads counts, plans, and drives GroupSwitch. One entry of all does it at a
 * time; any entry that sees the group stand still finishes a switch that its owner has left.
 * Groups of a pool have keepers of their own, often on different hosts, and know nothing of
 * each other.
 *
 * How to use: run() once for each group; it ends when the process begins to leave, or when
 * the group has had no member for a while.
 */
class ExpertMapController
{
public:
    ExpertMapController(boost::asio::io_context &context, GatewayState &state, Platform &platform, std::string pool, std::string group);

    boost::asio::awaitable<void> run();
    /** Gives the lease back. Part of run(); to be called after it only if it broke off by an exception. */
    boost::asio::awaitable<void> end();
    /** run() has ended, and all that it began: the object may go. */
    bool ended() const;

private:
    struct Gather;

    PoolGate &gate() const;
    bool hasMembers();
    Duration acquireDelay() const;
    void noteMembers(const std::vector<TargetInfo> &targets, const std::vector<RankReportRead> &reports);

    boost::asio::awaitable<void> noteLease();
    boost::asio::awaitable<bool> lookForSlowRanks();
    void applySlowTargets();
    boost::asio::awaitable<bool> blind();
    boost::asio::awaitable<void> leaderRound();
    boost::asio::awaitable<bool> readReports();
    boost::asio::awaitable<bool> readPlacements();
    boost::asio::awaitable<void> readCounts();
    boost::asio::awaitable<void> waitForPass();
    boost::asio::awaitable<void> waitForSwitch();
    boost::asio::awaitable<void> recover();
    boost::asio::awaitable<ExpertPlan> planned(const std::vector<std::vector<double>> &load, Duration copyBudget);
    bool restNeeded(std::optional<Duration> calm, double imbalance);
    boost::asio::awaitable<void> leave();
    boost::asio::awaitable<void> change(ExpertPlan plan);
    boost::asio::awaitable<void> drive(Duration copyTime, bool helping);
    /** False if a rank did not accept its order. */
    boost::asio::awaitable<bool> sendOrders(std::vector<AddressedOrder> orders);
    boost::asio::awaitable<bool> readPass();
    void notePass(std::uint64_t pass);
    std::optional<std::uint64_t> passNow() const;
    void choosePass(unsigned refusals);
    boost::asio::awaitable<void> sleep(Duration duration);
    boost::asio::awaitable<void> sendOne(unsigned rank, RankOrder order, std::shared_ptr<Gather> gather);
    boost::asio::awaitable<void> reportOne(unsigned index, std::shared_ptr<Gather> gather);
    boost::asio::awaitable<void> placementOne(unsigned index, std::shared_ptr<Gather> gather);
    boost::asio::awaitable<void> countsOne(unsigned index, std::shared_ptr<Gather> gather);
    boost::asio::awaitable<void> waitFor(std::shared_ptr<Gather> gather);
    bool standsStill() const;
    bool paceTurned();
    std::optional<EngineSpec> engine() const;

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    Platform &m_platform;
    const std::string m_pool;
    const std::string m_group;
    const std::string m_leaseName;
    EngineSpec m_engine; ///< as the configuration last had it; a change must not pull it away from under a switch
    GroupLease m_lease;
    GroupSwitch m_switch;
    ExpertLoad m_load;
    std::vector<TargetInfo> m_ranks; ///< in rank order, of the last complete reports
    std::vector<RankReport> m_reports; ///< in rank order
    TimePoint m_reportsAt{};
    std::vector<double> m_paces; ///< of the ranks, in rank order; 1 for those that are not slow
    TimePoint m_pacesAt{}; ///< when they were read
    std::vector<std::string> m_slowTargets; ///< as the lease's record last said
    TimePoint m_unknownLook{}; ///< when the map in use was last asked for in vain
    unsigned m_unreached = 0; ///< listed ranks that the last reading of reports got no answer from
    std::uint64_t m_pass = 0; ///< the newest that is known to have begun
    TimePoint m_passAt{}; ///< when that became known
    std::uint64_t m_switchPass = 0; ///< as which the last switch comes into force
    TimePoint m_switchGo{}; ///< when that pass was let go
    std::uint64_t m_knownEpoch = 0; ///< of m_map
    std::uint64_t m_knownVersion = 0; ///< of m_map
    bool m_mapKnown = false;
    GroupMap m_map;
    std::uint64_t m_switches = 0; ///< of this process; with the term it makes versions unique
    TimePoint m_lastOrder{};
    DemandShiftDetector m_pace;
    bool m_wasLeader = false;
    bool m_ended = false;
    TimePoint m_lastMember{}; ///< when the group last had a member
    TimePoint m_blindLook{}; ///< when a pass was last asked for, for want of streams here
    std::uint64_t m_blindPass = 0;
    Counters::Id m_switchesDone;
    Counters::Id m_switchesGivenUp;
    Counters::Id m_copies;
    Counters::Id m_recoveries;
    Counters::Id m_leader;
};

} // namespace fulmarlink
