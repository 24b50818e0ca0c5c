// The leader's loop: watch the event intervals of local streams; when they show a shift in
// demand, read the expert counts of a few ranks twice and plan a map; if the gain is large
// enough, run the switch. Reports are costly and stale, so they are read only to choose the
// pass to hold, after a refused order, and when the group appears stalled.

#include "fulmarlink/expertmapcontroller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fulmarlink/enginemodel.h"
#include "fulmarlink/log.h"
#include "fulmarlink/supervised.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kLeaderInterval = std::chrono::milliseconds(20); ///< poll interval of the leader; a third of a typical pass
constexpr unsigned kMaxWindowPasses = 2; ///< over which expert counts are collected
constexpr Duration kFollowerInterval = std::chrono::milliseconds(150);
constexpr Duration kRecoveryJitter = std::chrono::milliseconds(250); ///< spreads the report reads of hosts that see the same stalled group
constexpr Duration kSlowRankRefresh = std::chrono::milliseconds(1000); ///< while a rank is known to be slow; engine trouble lasts for seconds
constexpr Duration kMapReadInterval = std::chrono::milliseconds(200); ///< while the group is forming or starting; equals the age of its reports
constexpr Duration kNoStreamsAcquireDelay = std::chrono::milliseconds(1500); ///< longer than hosts with streams need to notice a released lease
/**
 * For each other group that this host already leads. Longer than kNoStreamsAcquireDelay and than two lease polls, so that the groups are spread over the
 * available hosts and a frozen host affects the maps of one group only.
 */
constexpr Duration kPerGroupAcquireDelay = std::chrono::milliseconds(3000);
constexpr Duration kEmptyGroupTimeout = std::chrono::seconds(10); ///< without a listed member; a rolling replacement of ranks takes less
constexpr Duration kReacquireDelay = std::chrono::seconds(4); ///< a network partition lasts for seconds; by then another host holds the lease
constexpr Duration kReportMargin = std::chrono::milliseconds(80); ///< added to the configured report lag
constexpr double kMinWeight = 0.001; ///< avoids a division by zero
constexpr double kMinRoutingChoices = 2000; ///< in one window of counts, so that noise does not trigger a switch
constexpr double kTypicalImbalance = 1.2; ///< of a map that fits the demand, including the noise of a short window
constexpr unsigned kPlannerBatch = 64; ///< planner steps before other work runs; about 1 ms of CPU time for 72 ranks
constexpr std::uint64_t kVersionsPerTerm = 1U << 20; ///< at one switch every 3 s they last for a month-long term

/**
 * Delays hosts with slow links, so that a faster host acquires the lease first. A switch sends the map to each rank: for 72 ranks with 12 sets these
 * are 0.65 MB, which take 0.13 s at 40 Mbit/s and 0.03 s at 200 Mbit/s, while the group runs on the old map. Waiting hosts poll the lease every 0.6 s,
 * so a delay of eight times the transfer time sets the two apart by more than one poll.
 */
Duration linkAcquireDelay(double linkMbps)
{
    constexpr double kMapMegabits = 5.2;
    constexpr double kFactor = 8;
    constexpr Duration kMaxDelay = std::chrono::milliseconds(1500);
    if (linkMbps <= 0) {
        return Duration(0);
    }
    return std::min(kMaxDelay, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kFactor * kMapMegabits / linkMbps)));
}

} // namespace

ExpertMapController::ExpertMapController(asio::io_context &context, GatewayState &state, Platform &platform, std::string pool, std::string group)
    : m_context(context)
    , m_state(state)
    , m_platform(platform)
    , m_pool(std::move(pool))
    , m_group(std::move(group))
    , m_leaseName(m_pool + '.' + m_group)
    , m_lease(context, state, platform, m_leaseName, LeaseOptions{.self = state.settings.host, .acquireDelay = linkAcquireDelay(state.settings.linkMbps)})
    , m_switchesDone(state.counters.registerCounter("fulmarlink_map_switches_total"))
    , m_switchesGivenUp(state.counters.registerCounter("fulmarlink_map_switches_given_up_total"))
    , m_copies(state.counters.registerCounter("fulmarlink_expert_copies_total"))
    , m_recoveries(state.counters.registerCounter("fulmarlink_map_recoveries_total"))
    , m_leader(state.counters.registerCounter("fulmarlink_map_leader"))
{
}

asio::awaitable<void> ExpertMapController::sleep(Duration duration)
{
    boost::system::error_code ignored; // the timer is not cancelled
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::optional<EngineSpec> ExpertMapController::engine() const
{
    const auto active = m_state.config.active();
    const ServiceSpec *service = active ? active->configuration.service(m_pool) : nullptr;
    return service != nullptr && service->engine && service->engine->layerSets > 0 ? service->engine : std::nullopt;
}

PoolGate &ExpertMapController::gate() const
{
    return m_state.pool(m_pool).gate(m_group);
}

bool ExpertMapController::ended() const
{
    return m_ended && m_lease.ended();
}

bool ExpertMapController::hasMembers()
{
    const bool any = !m_state.targets.listed(m_pool, m_group).empty();
    m_lastMemberAt = any || m_lastMemberAt == TimePoint{} ? m_state.clock.now() : m_lastMemberAt;
    return any;
}

/** How long this host waits before it acquires a free lease, so that better suited hosts can take it. */
Duration ExpertMapController::acquireDelay() const
{
    const bool streams = gate().meanEventInterval(m_state.clock.now()).has_value();
    const unsigned others = m_state.groupsOwned - (m_wasLeader ? 1 : 0);
    return linkAcquireDelay(m_state.settings.linkMbps) + (streams ? Duration(0) : kNoStreamsAcquireDelay)
           + kPerGroupAcquireDelay * static_cast<Duration::rep>(others);
}

/** Resets the state that belongs to a lease term when this host has gained or lost the lease. */
asio::awaitable<void> ExpertMapController::handleLeaseChange()
{
    const bool leader = m_lease.holds();
    if (leader == m_wasLeader) {
        co_return;
    }
    m_wasLeader = leader;
    leader ? ++m_state.groupsOwned : --m_state.groupsOwned;
    m_state.counters.set(m_leader, m_state.groupsOwned);
    logChange(leader ? "lease-taken" : "lease-lost",
              {{"pool", m_pool},
               {"group", m_group},
               {"term", std::to_string(m_lease.termId())},
               {"holder", m_lease.record().holder},
               {"renewals", std::to_string(m_lease.record().renewals)}});
    m_mapKnown = false;
    m_checkedPass = 0;
    m_switchPass = 0;
    m_slowdowns.clear();
    m_load.clear();
    if (leader) {
        co_await recover();
    }
}

asio::awaitable<void> ExpertMapController::run()
{
    auto lease = [this] {
        return m_lease.run();
    };
    asio::co_spawn(m_context, supervised(m_context, m_state.counters, "lease", std::move(lease)), asio::detached);
    m_lastMemberAt = m_state.clock.now();
    while (!m_state.drainStartedAt && m_state.clock.now() - m_lastMemberAt < kEmptyGroupTimeout) {
        co_await sleep(m_lease.holds() ? kLeaderInterval : kFollowerInterval);
        const auto spec = engine();
        if (!spec || !hasMembers()) {
            continue;
        }
        m_engine = *spec;
        if (isStalled()) {
            co_await sleep(Duration(static_cast<Duration::rep>(m_state.random() % kRecoveryJitter.count()))); // one host is enough to recover the group
            if (isStalled()) {
                co_await recover();
            }
        }
        m_lease.setAcquireDelay(acquireDelay());
        co_await handleLeaseChange();
        applySlowTargets();
        if (m_lease.holds() && !isStalled()) {
            co_await runLeaderIteration();
        }
    }
    co_await end();
}

asio::awaitable<void> ExpertMapController::end()
{
    const bool held = m_lease.holds();
    co_await m_lease.stop(kReacquireDelay);
    m_state.groupsOwned -= m_wasLeader ? 1 : 0;
    m_wasLeader = false;
    m_state.counters.set(m_leader, m_state.groupsOwned);
    if (held) {
        logChange("lease-released", {{"pool", m_pool}, {"group", m_group}});
    }
    m_ended = true;
}

asio::awaitable<void> ExpertMapController::runLeaderIteration()
{
    if (!m_mapKnown) {
        const TimePoint now = m_state.clock.now();
        if (now - m_lastMapReadAttempt < kMapReadInterval) {
            co_return;
        }
        m_lastMapReadAttempt = now;
        const bool complete = co_await readReports();
        if (!complete || !groupSettled(m_reports)) {
            co_return;
        }
        const bool known = co_await readPlacements();
        if (!known) {
            co_return;
        }
    }
    const bool shouldRelease = co_await activeWithoutLocalStreams();
    if (shouldRelease) {
        co_await releaseLease(); // a host with streams detects demand shifts at once
        co_return;
    }
    const bool slowKnown = !m_lease.record().slowTargets.empty() || !m_slowTargets.empty();
    if (slowKnown && m_state.clock.now() - m_slowdownsReadAt > kSlowRankRefresh) {
        co_await refreshSlowRanks(); // checks whether they are still slow
    }
    if (!shouldReadCounts()) {
        co_return;
    }
    const std::optional<Duration> baseline = m_shiftDetector.baselineInterval();
    co_await readCounts(); // start of the window
    m_load.take();
    for (unsigned passes = 0; passes < kMaxWindowPasses && m_load.pendingChoices() < kMinRoutingChoices; ++passes) {
        co_await waitForNextPass();
        co_await readCounts();
    }
    if (!m_mapKnown || m_load.pendingChoices() < kMinRoutingChoices) {
        co_return;
    }
    const auto load = m_load.take();
    if (load.size() != m_map.size() || load.front().size() != m_engine.experts) {
        co_return;
    }
    if (DemandShiftDetector::suggestsSlowRank(gate().meanEventInterval(m_state.clock.now()), baseline)) {
        co_await refreshSlowRanks();
    }
    const double minImprovement = m_state.settings.minImbalanceReduction * m_state.settings.costWeight / std::max(kMinWeight, m_state.settings.skewWeight);
    for (const Duration budget : {Duration(m_state.settings.firstCopyTime), Duration(m_state.settings.followUpCopyTime)}) {
        ExpertPlan plan = co_await computePlan(load, budget);
        if (plan.imbalanceBefore - plan.imbalanceAfter < minImprovement) {
            const bool changed = co_await refreshSlowRanks(); // the map fits the demand, but passes are still long
            if (!changed) {
                break;
            }
            plan = co_await computePlan(load, budget);
        }
        if (plan.imbalanceBefore - plan.imbalanceAfter >= minImprovement) {
            co_await applyPlan(plan);
        }
        if (!m_mapKnown || !remainingCopiesNeeded(baseline, plan.imbalanceAfter)) {
            break;
        }
    }
}

/** True if passes are expected to stay so long after the first switch that the remaining copies pay off. */
bool ExpertMapController::remainingCopiesNeeded(std::optional<Duration> baseline, double imbalance)
{
    const Duration target = gate().gapTarget();
    if (!baseline) {
        return true;
    }
    const std::chrono::duration<double> expected = std::chrono::duration<double>(*baseline) * passDurationRatio(m_engine, kTypicalImbalance, imbalance);
    return expected > std::chrono::duration<double>(target) * m_state.settings.followUpGapShare;
}

asio::awaitable<ExpertPlan> ExpertMapController::computePlan(const std::vector<std::vector<double>> &load, Duration copyBudget)
{
    const EngineSpec spec = m_engine;
    ExpertPlanOptions options;
    options.maxExpertsPerRank = spec.placements;
    options.maxNewPerSet = spec.newPerSwitch;
    options.slowdowns = m_slowdowns;
    options.maxNewPerRank = copiesWithin(spec, copyBudget);
    ExpertPlanner planner(m_map, load, options);
    while (planner.improve(kPlannerBatch)) {
        co_await sleep(Duration(0)); // lets request handling run between batches
    }
    ExpertPlan plan = planner.plan();
    logChange("map-planned",
              {{"pool", m_pool},
               {"group", m_group},
               {"map", std::to_string(m_mapVersion)},
               {"before", twoDecimals(plan.imbalanceBefore)},
               {"after", twoDecimals(plan.imbalanceAfter)},
               {"copies", std::to_string(plan.copies)}});
    co_return plan;
}

asio::awaitable<void> ExpertMapController::releaseLease()
{
    logWarning("lease-left", {{"pool", m_pool}, {"group", m_group}, {"term", std::to_string(m_lease.termId())}});
    co_await m_lease.release(kReacquireDelay);
}

asio::awaitable<void> ExpertMapController::recover()
{
    const Duration lag = m_engine.reportLag + kReportMargin;
    co_await sleep(std::max(Duration(0), m_lastOrder + lag - m_state.clock.now()));
    const bool complete = co_await readReports();
    const bool leader = m_lease.holds();
    if (!complete && leader && m_unreachableRanks > 0) {
        co_await releaseLease(); // another host may be able to reach the ranks
    }
    if (!complete || !m_switch.recover(m_reports, leader)) {
        co_return;
    }
    m_state.counters.add(m_recoveries);
    logWarning("switch-taken-over",
               {{"pool", m_pool},
                {"group", m_group},
                {"phase", switchPhaseName(m_switch.phase())},
                {"map", std::to_string(m_switch.version())},
                {"pass", std::to_string(m_switch.pass())},
                {"reports", m_reports.front().raw}});
    m_mapKnown = false;
    co_await driveSwitch(Duration(0), true);
}

asio::awaitable<void> ExpertMapController::applyPlan(ExpertPlan plan)
{
    const EngineSpec spec = m_engine;
    const std::uint64_t version = m_lease.termId() * kVersionsPerTerm + ++m_switchesBegun % kVersionsPerTerm;
    const Duration copyTime = copyDuration(spec, plan.maxRankCopies);
    co_await waitForLastSwitch();
    const TimePoint began = m_state.clock.now();
    m_switch.begin(static_cast<unsigned>(m_ranks.size()), m_mapEpoch, version, plan.map);
    m_mapKnown = false;
    co_await driveSwitch(copyTime, false);
    const bool done = m_switch.phase() == SwitchPhase::Idle && m_switch.completedRanks() > 0;
    m_state.counters.add(done ? m_switchesDone : m_switchesGivenUp);
    m_state.counters.add(m_copies, plan.copies);
    logChange("map-switch",
              {{"pool", m_pool},
               {"group", m_group},
               {"map", std::to_string(version)},
               {"done", done ? "true" : "false"},
               {"phase", switchPhaseName(m_switch.phase())},
               {"before", twoDecimals(plan.imbalanceBefore)},
               {"after", twoDecimals(plan.imbalanceAfter)},
               {"copies", std::to_string(plan.copies)},
               {"pass", std::to_string(m_switch.pass())},
               {"copy_ms", std::to_string(copyTime.count() / 1000)},
               {"ms", std::to_string((m_state.clock.now() - began).count() / 1000)}});
    if (done) {
        m_shiftDetector.restart(m_state.clock.now());
        m_switchPass = m_switch.pass();
        m_switchDoneAt = m_state.clock.now();
        m_map = std::move(plan.map);
        m_mapVersion = version;
        m_mapKnown = true;
    }
}

} // namespace fulmarlink
