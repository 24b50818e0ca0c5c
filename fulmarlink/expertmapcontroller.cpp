// A leader's round: look at the pace of the events here; when it has turned, read the counts
// of some ranks twice and plan; if the plan is worth it, drive the switch. Reports are the
// expensive and old part, so they are read only to choose the pass to hold, when an order was
// refused, and when the group seems to stand still.

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

constexpr Duration kRound = std::chrono::milliseconds(20); ///< between two looks at the pace; a third of a usual pass
constexpr unsigned kWindowPasses = 2; ///< at the most
constexpr Duration kFollowerRound = std::chrono::milliseconds(150);
constexpr Duration kHelpSpread = std::chrono::milliseconds(250); ///< entries that see a standstill look at the reports one after the other
constexpr Duration kSlowLook = std::chrono::milliseconds(1000); ///< at ranks that were slow; an engine's trouble lasts seconds
constexpr Duration kUnknownLook = std::chrono::milliseconds(200); ///< at a group that forms or starts, as old as its reports are
constexpr Duration kBlindPatience = std::chrono::milliseconds(1500); ///< longer than hosts with streams need to see a lease that was left
/**
 * For each group whose map the host keeps already: longer than hosts without streams wait (kBlindPatience) and than two looks at a lease take, so that
 * groups lie on different hosts where there are any. A host that freezes then costs one group its maps, not all: 0.06 of worth on days with a
 * frozen owner, by 8 plays with 1.3 s and 8 with 3 s.
 */
constexpr Duration kOtherGroupPatience = std::chrono::milliseconds(3000);
constexpr Duration kGroupForgotten = std::chrono::seconds(10); ///< without a member; ranks that are replaced one after the other take less
constexpr Duration kYield = std::chrono::seconds(4); ///< a partition lasts seconds; by then another entry has the lease
constexpr Duration kReportMargin = std::chrono::milliseconds(80); ///< beyond the reports' stated lag
constexpr double kLeastWeight = 0.001; ///< keeps a weight of zero from dividing
constexpr double kLeastChoices = 2000; ///< in the counts of a round, so that noise moves nothing
constexpr double kUsualImbalance = 1.2; ///< of a map that fits what is in demand, with the noise of a short window
constexpr unsigned kChangesAtOnce = 64; ///< about a millisecond of a core for 72 ranks
constexpr std::uint64_t kVersionsOfTerm = 1U << 20; ///< at a switch each three seconds a term would have to last a month to run out of them

/**
 * The map goes to each rank: 72 ranks of 12 sets take 0.65 MB, 0.13 s of a link of 40 Mbit/s and 0.03 s of one of 200, while the group runs on the
 * old map. The others look at the lease each 0.6 s, so eight times the difference lets the faster host take it first.
 */
Duration takeoverPatience(double linkMbps)
{
    constexpr double kOrdersMegabits = 5.2;
    constexpr double kFactor = 8;
    constexpr Duration kMost = std::chrono::milliseconds(1500);
    if (linkMbps <= 0) {
        return Duration(0);
    }
    return std::min(kMost, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kFactor * kOrdersMegabits / linkMbps)));
}

} // namespace

ExpertMapController::ExpertMapController(asio::io_context &context, GatewayState &state, Platform &platform, std::string pool, std::string group)
    : m_context(context)
    , m_state(state)
    , m_platform(platform)
    , m_pool(std::move(pool))
    , m_group(std::move(group))
    , m_leaseName(m_pool + '.' + m_group)
    , m_lease(context, state, platform, m_leaseName, LeaseOptions{.self = state.settings.host, .acquireDelay = takeoverPatience(state.settings.linkMbps)})
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
    m_lastMember = any || m_lastMember == TimePoint{} ? m_state.clock.now() : m_lastMember;
    return any;
}

/** How long this host lets others take the group's lease first. */
Duration ExpertMapController::acquireDelay() const
{
    const bool streams = gate().recentPause(m_state.clock.now()).has_value();
    const unsigned others = m_state.groupsOwned - (m_wasLeader ? 1 : 0);
    return takeoverPatience(m_state.settings.linkMbps) + (streams ? Duration(0) : kBlindPatience) + kOtherGroupPatience * static_cast<Duration::rep>(others);
}

/** What the host does when its lease has begun or ended. */
asio::awaitable<void> ExpertMapController::noteLease()
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
    m_blindPass = 0;
    m_switchPass = 0;
    m_paces.clear();
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
    m_lastMember = m_state.clock.now();
    while (!m_state.drainBegan && m_state.clock.now() - m_lastMember < kGroupForgotten) {
        co_await sleep(m_lease.holds() ? kRound : kFollowerRound);
        const auto spec = engine();
        if (!spec || !hasMembers()) {
            continue;
        }
        m_engine = *spec;
        if (standsStill()) {
            co_await sleep(Duration(static_cast<Duration::rep>(m_state.random() % kHelpSpread.count()))); // one entry is enough
            if (standsStill()) {
                co_await recover();
            }
        }
        m_lease.setAcquireDelay(acquireDelay());
        co_await noteLease();
        applySlowTargets();
        if (m_lease.holds() && !standsStill()) {
            co_await leaderRound();
        }
    }
    co_await end();
}

asio::awaitable<void> ExpertMapController::end()
{
    const bool held = m_lease.holds();
    co_await m_lease.stop(kYield);
    m_state.groupsOwned -= m_wasLeader ? 1 : 0;
    m_wasLeader = false;
    m_state.counters.set(m_leader, m_state.groupsOwned);
    if (held) {
        logChange("lease-released", {{"pool", m_pool}, {"group", m_group}});
    }
    m_ended = true;
}

asio::awaitable<void> ExpertMapController::leaderRound()
{
    if (!m_mapKnown) {
        const TimePoint now = m_state.clock.now();
        if (now - m_unknownLook < kUnknownLook) {
            co_return;
        }
        m_unknownLook = now;
        const bool complete = co_await readReports();
        if (!complete || !groupSettled(m_reports)) {
            co_return;
        }
        const bool known = co_await readPlacements();
        if (!known) {
            co_return;
        }
    }
    const bool leaves = co_await blind();
    if (leaves) {
        co_await leave(); // a host that has streams sees turns at once
        co_return;
    }
    const bool slowKnown = !m_lease.record().slowTargets.empty() || !m_slowTargets.empty();
    if (slowKnown && m_state.clock.now() - m_pacesAt > kSlowLook) {
        co_await lookForSlowRanks(); // whether they are slow still
    }
    if (!paceTurned()) {
        co_return;
    }
    const std::optional<Duration> calm = m_pace.baselineInterval();
    co_await readCounts(); // the window's beginning
    m_load.take();
    for (unsigned passes = 0; passes < kWindowPasses && m_load.gathered() < kLeastChoices; ++passes) {
        co_await waitForPass();
        co_await readCounts();
    }
    if (!m_mapKnown || m_load.gathered() < kLeastChoices) {
        co_return;
    }
    const auto load = m_load.take();
    if (load.size() != m_map.size() || load.front().size() != m_engine.experts) {
        co_return;
    }
    if (DemandShiftDetector::suggestsSlowRank(gate().recentPause(m_state.clock.now()), calm)) {
        co_await lookForSlowRanks();
    }
    const double least = m_state.settings.leastImprovement * m_state.settings.costWeight / std::max(kLeastWeight, m_state.settings.skewWeight);
    for (const Duration budget : {Duration(m_state.settings.firstCopies), Duration(m_state.settings.copies)}) {
        ExpertPlan plan = co_await planned(load, budget);
        if (plan.before - plan.after < least) {
            const bool changed = co_await lookForSlowRanks(); // the map fits, and still passes are long
            if (!changed) {
                break;
            }
            plan = co_await planned(load, budget);
        }
        if (plan.before - plan.after >= least) {
            co_await change(plan);
        }
        if (!m_mapKnown || !restNeeded(calm, plan.after)) {
            break;
        }
    }
}

/** Whether passes stay so long after a first switch that the rest of the copies is worth its price. */
bool ExpertMapController::restNeeded(std::optional<Duration> calm, double imbalance)
{
    const Duration target = gate().gapTarget();
    if (!calm) {
        return true;
    }
    const std::chrono::duration<double> expected = std::chrono::duration<double>(*calm) * passRatio(m_engine, kUsualImbalance, imbalance);
    return expected > std::chrono::duration<double>(target) * m_state.settings.restShare;
}

asio::awaitable<ExpertPlan> ExpertMapController::planned(const std::vector<std::vector<double>> &load, Duration copyBudget)
{
    const EngineSpec spec = m_engine;
    ExpertPlanOptions options;
    options.placements = spec.placements;
    options.newPerSwitch = spec.newPerSwitch;
    options.paces = m_paces;
    options.newPerRank = copiesWithin(spec, copyBudget);
    ExpertPlanner planner(m_map, load, options);
    while (planner.improve(kChangesAtOnce)) {
        co_await sleep(Duration(0)); // requests go on meanwhile
    }
    ExpertPlan plan = planner.plan();
    logChange("map-planned",
              {{"pool", m_pool},
               {"group", m_group},
               {"map", std::to_string(m_knownVersion)},
               {"before", twoDecimals(plan.before)},
               {"after", twoDecimals(plan.after)},
               {"copies", std::to_string(plan.copies)}});
    co_return plan;
}

asio::awaitable<void> ExpertMapController::leave()
{
    logWarning("lease-left", {{"pool", m_pool}, {"group", m_group}, {"term", std::to_string(m_lease.termId())}});
    co_await m_lease.release(kYield);
}

asio::awaitable<void> ExpertMapController::recover()
{
    const Duration lag = m_engine.reportLag + kReportMargin;
    co_await sleep(std::max(Duration(0), m_lastOrder + lag - m_state.clock.now()));
    const bool complete = co_await readReports();
    const bool leader = m_lease.holds();
    if (!complete && leader && m_unreached > 0) {
        co_await leave(); // another entry may reach the ranks
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
    co_await drive(Duration(0), true);
}

asio::awaitable<void> ExpertMapController::change(ExpertPlan plan)
{
    const EngineSpec spec = m_engine;
    const std::uint64_t version = m_lease.termId() * kVersionsOfTerm + ++m_switches % kVersionsOfTerm;
    const Duration copyTime = copyLength(spec, plan.mostCopies);
    co_await waitForSwitch();
    const TimePoint began = m_state.clock.now();
    m_switch.begin(static_cast<unsigned>(m_ranks.size()), m_knownEpoch, version, plan.map);
    m_mapKnown = false;
    co_await drive(copyTime, false);
    const bool done = m_switch.phase() == SwitchPhase::Idle && m_switch.done() > 0;
    m_state.counters.add(done ? m_switchesDone : m_switchesGivenUp);
    m_state.counters.add(m_copies, plan.copies);
    logChange("map-switch",
              {{"pool", m_pool},
               {"group", m_group},
               {"map", std::to_string(version)},
               {"done", done ? "true" : "false"},
               {"phase", switchPhaseName(m_switch.phase())},
               {"before", twoDecimals(plan.before)},
               {"after", twoDecimals(plan.after)},
               {"copies", std::to_string(plan.copies)},
               {"pass", std::to_string(m_switch.pass())},
               {"copy_ms", std::to_string(copyTime.count() / 1000)},
               {"ms", std::to_string((m_state.clock.now() - began).count() / 1000)}});
    if (done) {
        m_pace.restart(m_state.clock.now());
        m_switchPass = m_switch.pass();
        m_switchGo = m_state.clock.now();
        m_map = std::move(plan.map);
        m_knownVersion = version;
        m_mapKnown = true;
    }
}

} // namespace fulmarlink
