// Parallel calls to the ranks of a group (reports, placements, counts, orders) and the loop
// that drives a switch to its end.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fulmarlink/expertmapcontroller.h"
#include "fulmarlink/log.h"
#include "fulmarlink/rankgroups.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kFollowerInterval = std::chrono::milliseconds(150);
constexpr Duration kMaxAssistTime = std::chrono::seconds(3); ///< for another host's switch; afterwards the group's state is evaluated again
constexpr Duration kReportMargin = std::chrono::milliseconds(80); ///< beyond the reports' stated lag
constexpr Duration kReportsFreshFor = std::chrono::milliseconds(40); ///< a pass chosen from reports of at most this age has not begun yet
constexpr Duration kPreparePollInterval = std::chrono::milliseconds(120); ///< of reports, after the expected copy time has passed
constexpr Duration kArmRetryInterval = std::chrono::milliseconds(15); ///< a rank refuses to be armed until its copy is complete
constexpr Duration kDefaultPassLength = std::chrono::milliseconds(50); ///< if no events were seen recently
constexpr Duration kMinPassLength = std::chrono::milliseconds(18); ///< of a group with requests
constexpr Duration kPassEstimateExpiry = std::chrono::milliseconds(1500); ///< about 20 passes; the estimate is then off by about two
constexpr unsigned kMaxPassEstimates = 4; ///< in a row before the pass is read from a rank, which takes about as long as these
constexpr Duration kMaxPrepareTime = std::chrono::seconds(4); ///< beyond the expected copy time; then the switch is abandoned, which is harmless in this phase

} // namespace

/** A set of parallel calls. Each decrements pending when it ends; the last one wakes the waiter. */
struct ExpertMapController::ParallelCalls {
    ParallelCalls(asio::io_context &context, unsigned count)
        : timer(context, asio::steady_timer::time_point::max())
        , pending(count)
    {
    }

    void finishCall()
    {
        if (--pending == 0) {
            timer.cancel();
        }
    }

    asio::steady_timer timer;
    unsigned pending;
    std::vector<TargetInfo> targets;
    std::vector<RankReportRead> reports;
    std::vector<RankPlacementRead> placements;
    std::vector<ExpertCountsRead> counts;
    std::vector<std::pair<unsigned, OrderResult>> results;
};

asio::awaitable<void> ExpertMapController::waitForCalls(std::shared_ptr<ParallelCalls> calls)
{
    boost::system::error_code ignored; // the last call cancels the timer
    if (calls->pending > 0) {
        co_await calls->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> ExpertMapController::readOneReport(unsigned index, std::shared_ptr<ParallelCalls> calls)
{
    calls->reports[index] = co_await m_platform.readRankReport(calls->targets[index]);
    calls->finishCall();
}

/** Records the group that each runner reports; a runner may have moved to another group. */
void ExpertMapController::updateGroupMembership(const std::vector<TargetInfo> &targets, const std::vector<RankReportRead> &reports)
{
    for (unsigned i = 0; i < reports.size(); ++i) {
        if (!reports[i].error) {
            m_state.targets.setGroup(targets[i].id, reports[i].report.group);
        }
    }
}

asio::awaitable<bool> ExpertMapController::readReports()
{
    const std::vector<TargetInfo> targets = m_state.targets.listed(m_pool, m_group);
    auto calls = std::make_shared<ParallelCalls>(m_context, static_cast<unsigned>(targets.size()));
    calls->targets = targets;
    calls->reports.resize(targets.size());
    for (unsigned i = 0; i < targets.size(); ++i) {
        asio::co_spawn(m_context, readOneReport(i, calls), asio::detached);
    }
    co_await waitForCalls(calls);
    updateGroupMembership(targets, calls->reports);
    const std::vector<RankGroup> groups = formGroups(calls->reports);
    const RankGroup *group = findGroup(groups, m_group);
    m_unreachableRanks = static_cast<unsigned>(std::ranges::count_if(calls->reports, [](const RankReportRead &read) {
        return static_cast<bool>(read.error);
    }));
    if (group == nullptr || !group->isComplete()) {
        logChange("reports-incomplete",
                  {{"pool", m_pool},
                   {"group", m_group},
                   {"asked", std::to_string(targets.size())},
                   {"got", std::to_string(group == nullptr ? 0 : group->members.size())},
                   {"ranks", std::to_string(group == nullptr ? 0 : group->size)},
                   {"defect", group == nullptr ? "no runner reports the group" : std::string(groupDefectName(group->defect))}});
        co_return false;
    }
    m_ranks.clear();
    m_reports.clear();
    for (const unsigned index : group->members) {
        m_ranks.push_back(calls->targets[index]);
        m_reports.push_back(calls->reports[index].report);
    }
    m_reportsAt = m_state.clock.now();
    co_return true;
}

asio::awaitable<void> ExpertMapController::readOnePlacement(unsigned index, std::shared_ptr<ParallelCalls> calls)
{
    calls->placements[index] = co_await m_platform.readRankPlacement(calls->targets[index]);
    calls->finishCall();
}

asio::awaitable<bool> ExpertMapController::readPlacements()
{
    auto calls = std::make_shared<ParallelCalls>(m_context, static_cast<unsigned>(m_ranks.size()));
    calls->targets = m_ranks;
    calls->placements.resize(m_ranks.size());
    for (unsigned i = 0; i < m_ranks.size(); ++i) {
        asio::co_spawn(m_context, readOnePlacement(i, calls), asio::detached);
    }
    co_await waitForCalls(calls);
    const std::size_t sets = m_engine.layerSets;
    const std::uint64_t version = calls->placements.front().version;
    GroupMap map(sets, std::vector<std::vector<ExpertId>>(m_ranks.size()));
    for (unsigned rank = 0; rank < calls->placements.size(); ++rank) {
        const RankPlacementRead &read = calls->placements[rank];
        if (read.error || read.version != version || read.experts.size() != sets) {
            logChange("placements-incomplete",
                      {{"pool", m_pool},
                       {"group", m_group},
                       {"rank", std::to_string(rank)},
                       {"error", read.error.message()},
                       {"version", std::to_string(read.version)}});
            co_return false;
        }
        for (std::size_t set = 0; set < sets; ++set) {
            map[set][rank] = read.experts[set];
        }
    }
    m_map = std::move(map);
    m_mapVersion = version;
    m_mapEpoch = m_reports.front().epoch;
    m_mapKnown = true;
    logChange("map-read",
              {{"pool", m_pool},
               {"group", m_group},
               {"map", std::to_string(version)},
               {"epoch", std::to_string(m_mapEpoch)},
               {"ranks", std::to_string(m_ranks.size())},
               {"report", m_reports.front().raw}});
    co_return true;
}

asio::awaitable<void> ExpertMapController::readOneCounts(unsigned index, std::shared_ptr<ParallelCalls> calls)
{
    calls->counts[index] = co_await m_platform.readExpertCounts(calls->targets[index], m_engine.layerSets);
    calls->finishCall();
}

asio::awaitable<void> ExpertMapController::readCounts()
{
    auto calls = std::make_shared<ParallelCalls>(m_context, 0);
    const std::size_t sampled = std::min<std::size_t>(m_state.settings.sampledRanks, m_ranks.size());
    for (std::size_t i = 0; i < sampled; ++i) {
        calls->targets.push_back(m_ranks[i * m_ranks.size() / sampled]);
    }
    calls->pending = static_cast<unsigned>(sampled);
    calls->counts.resize(sampled);
    for (unsigned i = 0; i < sampled; ++i) {
        asio::co_spawn(m_context, readOneCounts(i, calls), asio::detached);
    }
    co_await waitForCalls(calls);
    m_shiftDetector.restart(m_state.clock.now());
    for (unsigned i = 0; i < sampled; ++i) {
        const ExpertCountsRead &read = calls->counts[i];
        if (read.error) {
            logChange("counts-missing", {{"pool", m_pool}, {"group", m_group}, {"target", calls->targets[i].id}, {"error", read.error.message()}});
            continue;
        }
        if (read.epoch != m_mapEpoch) {
            m_mapKnown = false;
            m_switchPass = 0;
        }
        recordPass(read.pass);
        m_load.add(calls->targets[i].id, read);
    }
}

asio::awaitable<void> ExpertMapController::sendOrder(unsigned rank, RankOrder order, std::shared_ptr<ParallelCalls> calls)
{
    const OrderResult result = co_await m_platform.order(m_ranks[rank], std::move(order));
    calls->results.emplace_back(rank, result);
    calls->finishCall();
}

asio::awaitable<bool> ExpertMapController::sendOrders(std::vector<AddressedOrder> orders)
{
    bool accepted = true;
    auto calls = std::make_shared<ParallelCalls>(m_context, static_cast<unsigned>(orders.size()));
    for (AddressedOrder &order : orders) {
        asio::co_spawn(m_context, sendOrder(order.rank, std::move(order.order), calls), asio::detached);
    }
    co_await waitForCalls(calls);
    m_lastOrder = m_state.clock.now();
    for (const auto &[rank, result] : calls->results) {
        if (result != OrderResult::Accepted) {
            accepted = false;
            logChange("order-not-accepted",
                      {{"pool", m_pool},
                       {"group", m_group},
                       {"rank", std::to_string(rank)},
                       {"phase", switchPhaseName(m_switch.phase())},
                       {"map", std::to_string(m_switch.version())},
                       {"pass", std::to_string(m_switch.pass())},
                       {"answer", result == OrderResult::Unknown ? "none" : "refused"}});
        }
    }
    const SwitchPhase phase = m_switch.phase();
    for (const auto &[rank, result] : calls->results) {
        if (m_switch.phase() == phase) {
            m_switch.recordResult(rank, result);
        }
    }
    co_return accepted;
}

void ExpertMapController::recordPass(std::uint64_t pass)
{
    m_latestPass = pass;
    m_latestPassAt = m_state.clock.now();
}

/**
 * Extrapolates the pass in progress from the last known one and the mean event interval of local streams. Returns nothing if that pass is too old or
 * there are no recent events. An estimate that is too low is refused within one round trip; that costs a seventh of reading a rank's counts and does
 * not stop the group.
 */
std::optional<std::uint64_t> ExpertMapController::estimateCurrentPass() const
{
    const TimePoint now = m_state.clock.now();
    const std::optional<Duration> length = gate().meanEventInterval(now);
    if (!length || now - m_latestPassAt > kPassEstimateExpiry) {
        return std::nullopt;
    }
    return m_latestPass + static_cast<std::uint64_t>((now - m_latestPassAt) / std::max(kMinPassLength, *length));
}

/** Reads the pass in progress from a rank's counts, which are current; reports have a lag. */
asio::awaitable<bool> ExpertMapController::readCurrentPass()
{
    const ExpertCountsRead read = co_await m_platform.readExpertCounts(m_ranks.front(), m_engine.layerSets);
    if (read.error || read.epoch != m_mapEpoch) {
        logChange(
            "pass-unknown",
            {{"pool", m_pool}, {"group", m_group}, {"target", m_ranks.front().id}, {"error", read.error.message()}, {"epoch", std::to_string(read.epoch)}});
        co_return false;
    }
    recordPass(read.pass);
    co_return true;
}

/**
 * Chooses the earliest pass that should not have begun yet, by the reports and the mean event
 * interval. If it has begun, the hold is refused within one round trip and a later pass is
 * tried, which costs less than waiting for one more pass.
 */
void ExpertMapController::chooseHoldPass(unsigned refusals)
{
    std::uint64_t pass = 0;
    for (const RankReport &report : m_reports) {
        pass = std::max(pass, report.pass);
    }
    const TimePoint now = m_state.clock.now();
    const Duration length = std::max(kMinPassLength, gate().meanEventInterval(now).value_or(kDefaultPassLength));
    const Duration ahead = m_engine.reportLag + (now - m_reportsAt);
    m_switch.holdAt(pass + static_cast<std::uint64_t>(ahead / length) + 1 + refusals);
}

asio::awaitable<void> ExpertMapController::driveSwitch(Duration copyTime, bool assisting)
{
    const TimePoint began = m_state.clock.now();
    const Duration lag = m_engine.reportLag + kReportMargin;
    TimePoint copiesBegan = began;
    unsigned refusals = 0;
    unsigned estimates = 0;
    while (m_switch.phase() != SwitchPhase::Idle) {
        const TimePoint now = m_state.clock.now();
        if ((!assisting && !m_lease.holds()) || (assisting && now - began > kMaxAssistTime)
            || (m_switch.phase() == SwitchPhase::Prepare && now - began > kMaxPrepareTime + copyTime)) {
            co_return;
        }
        const bool fresh = now - m_reportsAt < kReportsFreshFor;
        if (m_switch.needsPass() && fresh) {
            chooseHoldPass(refusals++);
            continue;
        }
        if (m_switch.needsPass() && !assisting) {
            if (m_switch.pass() != 0) {
                recordPass(m_switch.pass()); // the hold was refused, so this pass has begun
            }
            const std::optional<std::uint64_t> estimate = estimateCurrentPass();
            if (estimate && ++estimates <= kMaxPassEstimates) {
                m_switch.holdAt(*estimate + 1);
                continue;
            }
            estimates = 0;
            const bool known = co_await readCurrentPass();
            if (known) {
                m_switch.holdAt(m_latestPass + 1);
                continue;
            }
        }
        if (m_switch.needsReports() || m_switch.needsPass()) {
            Duration wait = m_switch.needsPass() ? Duration(0) : lag;
            const bool preparing = m_switch.phase() == SwitchPhase::Prepare;
            if (preparing) {
                const bool all = now - copiesBegan < copyTime;
                wait = all ? copiesBegan + copyTime - now : kPreparePollInterval;
            }
            co_await sleep(wait);
            m_switch.assumePrepared();
            if (preparing && m_switch.needsPass() && !assisting) {
                continue;
            }
            const bool complete = co_await readReports();
            if (!complete) {
                co_await sleep(kFollowerInterval);
                const auto listed = m_state.targets.listed(m_pool, m_group).size();
                if (listed < m_ranks.size()) {
                    co_return; // a rank is gone, which ends the group's epoch
                }
                continue;
            }
            m_switch.observe(m_reports);
            continue;
        }
        const SwitchPhase phase = m_switch.phase();
        const bool accepted = co_await sendOrders(m_switch.pendingOrders());
        if (phase == SwitchPhase::Prepare) {
            copiesBegan = m_state.clock.now(); // latest start of the last rank's copy
        }
        if (phase == SwitchPhase::Arm && !accepted) {
            co_await sleep(kArmRetryInterval);
        }
    }
}

} // namespace fulmarlink
