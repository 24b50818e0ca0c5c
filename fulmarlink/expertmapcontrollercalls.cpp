// The calls to a group's ranks, many at once: reports, placements, counts, and the orders of
// a switch until it is done.

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

constexpr Duration kFollowerRound = std::chrono::milliseconds(150);
constexpr Duration kLongestHelp = std::chrono::seconds(3); ///< then it looks again
constexpr Duration kReportMargin = std::chrono::milliseconds(80); ///< beyond the reports' stated lag
constexpr Duration kFreshReports = std::chrono::milliseconds(40); ///< a pass chosen from reports read this long ago is still ahead
constexpr Duration kPollPrepared = std::chrono::milliseconds(120); ///< when a copy takes longer than it should
constexpr Duration kArmPause = std::chrono::milliseconds(15); ///< a rank whose copy is late refuses to be armed until it is there
constexpr Duration kUsualPass = std::chrono::milliseconds(50); ///< where no events were seen lately
constexpr Duration kShortestPass = std::chrono::milliseconds(18); ///< of a group that has work
constexpr Duration kPassForgotten = std::chrono::milliseconds(1500); ///< some 20 passes, counted by their mean length to about two
constexpr unsigned kMostGuesses = 4; ///< of a pass that has not begun, in a row; a second way of knowing takes as long
constexpr Duration kLongestPrepare = std::chrono::seconds(4); ///< a copy that takes longer is given up; it does no harm

} // namespace

/** Parallel calls: each takes one from open; the last wakes the waiter. */
struct ExpertMapController::Gather {
    Gather(asio::io_context &context, unsigned count)
        : timer(context, asio::steady_timer::time_point::max())
        , open(count)
    {
    }

    void finishOne()
    {
        if (--open == 0) {
            timer.cancel();
        }
    }

    asio::steady_timer timer;
    unsigned open;
    std::vector<TargetInfo> targets;
    std::vector<RankReportRead> reports;
    std::vector<RankPlacementRead> placements;
    std::vector<ExpertCountsRead> counts;
    std::vector<std::pair<unsigned, OrderResult>> results;
};

asio::awaitable<void> ExpertMapController::waitFor(std::shared_ptr<Gather> gather)
{
    boost::system::error_code ignored; // cancelled when the last call has ended
    if (gather->open > 0) {
        co_await gather->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> ExpertMapController::reportOne(unsigned index, std::shared_ptr<Gather> gather)
{
    gather->reports[index] = co_await m_platform.readRankReport(gather->targets[index]);
    gather->finishOne();
}

/** Runners that have moved to another group are no longer this one's. */
void ExpertMapController::noteMembers(const std::vector<TargetInfo> &targets, const std::vector<RankReportRead> &reports)
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
    auto gather = std::make_shared<Gather>(m_context, static_cast<unsigned>(targets.size()));
    gather->targets = targets;
    gather->reports.resize(targets.size());
    for (unsigned i = 0; i < targets.size(); ++i) {
        asio::co_spawn(m_context, reportOne(i, gather), asio::detached);
    }
    co_await waitFor(gather);
    noteMembers(targets, gather->reports);
    const std::vector<RankGroup> groups = formGroups(gather->reports);
    const RankGroup *group = findGroup(groups, m_group);
    m_unreached = static_cast<unsigned>(std::ranges::count_if(gather->reports, [](const RankReportRead &read) {
        return static_cast<bool>(read.error);
    }));
    if (group == nullptr || !group->whole()) {
        logChange("reports-incomplete",
                  {{"pool", m_pool},
                   {"group", m_group},
                   {"asked", std::to_string(targets.size())},
                   {"got", std::to_string(group == nullptr ? 0 : group->members.size())},
                   {"ranks", std::to_string(group == nullptr ? 0 : group->size)},
                   {"defect", group == nullptr ? "nobody reports the group" : std::string(groupDefectName(group->defect))}});
        co_return false;
    }
    m_ranks.clear();
    m_reports.clear();
    for (const unsigned index : group->members) {
        m_ranks.push_back(gather->targets[index]);
        m_reports.push_back(gather->reports[index].report);
    }
    m_reportsAt = m_state.clock.now();
    co_return true;
}

asio::awaitable<void> ExpertMapController::placementOne(unsigned index, std::shared_ptr<Gather> gather)
{
    gather->placements[index] = co_await m_platform.readRankPlacement(gather->targets[index]);
    gather->finishOne();
}

asio::awaitable<bool> ExpertMapController::readPlacements()
{
    auto gather = std::make_shared<Gather>(m_context, static_cast<unsigned>(m_ranks.size()));
    gather->targets = m_ranks;
    gather->placements.resize(m_ranks.size());
    for (unsigned i = 0; i < m_ranks.size(); ++i) {
        asio::co_spawn(m_context, placementOne(i, gather), asio::detached);
    }
    co_await waitFor(gather);
    const std::size_t sets = m_engine.layerSets;
    const std::uint64_t version = gather->placements.front().version;
    GroupMap map(sets, std::vector<std::vector<ExpertId>>(m_ranks.size()));
    for (unsigned rank = 0; rank < gather->placements.size(); ++rank) {
        const RankPlacementRead &read = gather->placements[rank];
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
    m_knownVersion = version;
    m_knownEpoch = m_reports.front().epoch;
    m_mapKnown = true;
    logChange("map-read",
              {{"pool", m_pool},
               {"group", m_group},
               {"map", std::to_string(version)},
               {"epoch", std::to_string(m_knownEpoch)},
               {"ranks", std::to_string(m_ranks.size())},
               {"report", m_reports.front().raw}});
    co_return true;
}

asio::awaitable<void> ExpertMapController::countsOne(unsigned index, std::shared_ptr<Gather> gather)
{
    gather->counts[index] = co_await m_platform.readExpertCounts(gather->targets[index], m_engine.layerSets);
    gather->finishOne();
}

asio::awaitable<void> ExpertMapController::readCounts()
{
    auto gather = std::make_shared<Gather>(m_context, 0);
    const std::size_t sampled = std::min<std::size_t>(m_state.settings.sampledRanks, m_ranks.size());
    for (std::size_t i = 0; i < sampled; ++i) {
        gather->targets.push_back(m_ranks[i * m_ranks.size() / sampled]);
    }
    gather->open = static_cast<unsigned>(sampled);
    gather->counts.resize(sampled);
    for (unsigned i = 0; i < sampled; ++i) {
        asio::co_spawn(m_context, countsOne(i, gather), asio::detached);
    }
    co_await waitFor(gather);
    m_pace.restart(m_state.clock.now());
    for (unsigned i = 0; i < sampled; ++i) {
        const ExpertCountsRead &read = gather->counts[i];
        if (read.error) {
            logChange("counts-missing", {{"pool", m_pool}, {"group", m_group}, {"target", gather->targets[i].id}, {"error", read.error.message()}});
            continue;
        }
        if (read.epoch != m_knownEpoch) {
            m_mapKnown = false;
            m_switchPass = 0;
        }
        notePass(read.pass);
        m_load.add(gather->targets[i].id, read);
    }
}

asio::awaitable<void> ExpertMapController::sendOne(unsigned rank, RankOrder order, std::shared_ptr<Gather> gather)
{
    const OrderResult result = co_await m_platform.order(m_ranks[rank], std::move(order));
    gather->results.emplace_back(rank, result);
    gather->finishOne();
}

asio::awaitable<bool> ExpertMapController::sendOrders(std::vector<AddressedOrder> orders)
{
    bool accepted = true;
    auto gather = std::make_shared<Gather>(m_context, static_cast<unsigned>(orders.size()));
    for (AddressedOrder &order : orders) {
        asio::co_spawn(m_context, sendOne(order.rank, std::move(order.order), gather), asio::detached);
    }
    co_await waitFor(gather);
    m_lastOrder = m_state.clock.now();
    for (const auto &[rank, result] : gather->results) {
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
    for (const auto &[rank, result] : gather->results) {
        if (m_switch.phase() == phase) {
            m_switch.result(rank, result);
        }
    }
    co_return accepted;
}

void ExpertMapController::notePass(std::uint64_t pass)
{
    m_pass = pass;
    m_passAt = m_state.clock.now();
}

/**
 * Which pass is in progress, by the last one known and the pace of the events here; nothing where that is long ago or no events tell. A guess that
 * is too low is refused within a round trip, which costs a seventh of reading a rank's counts and does not stop the group.
 */
std::optional<std::uint64_t> ExpertMapController::passNow() const
{
    const TimePoint now = m_state.clock.now();
    const std::optional<Duration> length = gate().recentPause(now);
    if (!length || now - m_passAt > kPassForgotten) {
        return std::nullopt;
    }
    return m_pass + static_cast<std::uint64_t>((now - m_passAt) / std::max(kShortestPass, *length));
}

/** Which pass is in progress: a rank's counts tell it at once, reports only after their lag. */
asio::awaitable<bool> ExpertMapController::readPass()
{
    const ExpertCountsRead read = co_await m_platform.readExpertCounts(m_ranks.front(), m_engine.layerSets);
    if (read.error || read.epoch != m_knownEpoch) {
        logChange(
            "pass-unknown",
            {{"pool", m_pool}, {"group", m_group}, {"target", m_ranks.front().id}, {"error", read.error.message()}, {"epoch", std::to_string(read.epoch)}});
        co_return false;
    }
    notePass(read.pass);
    co_return true;
}

/**
 * The next pass that surely has not begun, by the reports and the pace of the events here.
 * If it has begun all the same, the hold is refused within a round trip and a later one is
 * tried, which costs less than a pass more of waiting.
 */
void ExpertMapController::choosePass(unsigned refusals)
{
    std::uint64_t pass = 0;
    for (const RankReport &report : m_reports) {
        pass = std::max(pass, report.pass);
    }
    const TimePoint now = m_state.clock.now();
    const Duration length = std::max(kShortestPass, gate().recentPause(now).value_or(kUsualPass));
    const Duration ahead = m_engine.reportLag + (now - m_reportsAt);
    m_switch.holdAt(pass + static_cast<std::uint64_t>(ahead / length) + 1 + refusals);
}

asio::awaitable<void> ExpertMapController::drive(Duration copyTime, bool helping)
{
    const TimePoint began = m_state.clock.now();
    const Duration lag = m_engine.reportLag + kReportMargin;
    TimePoint copiesBegan = began;
    unsigned refusals = 0;
    unsigned guesses = 0;
    while (m_switch.phase() != SwitchPhase::Idle) {
        const TimePoint now = m_state.clock.now();
        if ((!helping && !m_lease.holds()) || (helping && now - began > kLongestHelp)
            || (m_switch.phase() == SwitchPhase::Prepare && now - began > kLongestPrepare + copyTime)) {
            co_return;
        }
        const bool fresh = now - m_reportsAt < kFreshReports;
        if (m_switch.needsPass() && fresh) {
            choosePass(refusals++);
            continue;
        }
        if (m_switch.needsPass() && !helping) {
            if (m_switch.pass() != 0) {
                notePass(m_switch.pass()); // it was refused since it has begun
            }
            const std::optional<std::uint64_t> estimate = passNow();
            if (estimate && ++guesses <= kMostGuesses) {
                m_switch.holdAt(*estimate + 1);
                continue;
            }
            guesses = 0;
            const bool known = co_await readPass();
            if (known) {
                m_switch.holdAt(m_pass + 1);
                continue;
            }
        }
        if (m_switch.needsReports() || m_switch.needsPass()) {
            Duration wait = m_switch.needsPass() ? Duration(0) : lag;
            const bool preparing = m_switch.phase() == SwitchPhase::Prepare;
            if (preparing) {
                const bool all = now - copiesBegan < copyTime;
                wait = all ? copiesBegan + copyTime - now : kPollPrepared;
            }
            co_await sleep(wait);
            m_switch.assumePrepared();
            if (preparing && m_switch.needsPass() && !helping) {
                continue;
            }
            const bool complete = co_await readReports();
            if (!complete) {
                co_await sleep(kFollowerRound);
                const auto listed = m_state.targets.listed(m_pool, m_group).size();
                if (listed < m_ranks.size()) {
                    co_return; // a rank has gone, and with it the epoch
                }
                continue;
            }
            m_switch.observe(m_reports);
            continue;
        }
        const SwitchPhase phase = m_switch.phase();
        const bool accepted = co_await sendOrders(m_switch.orders());
        if (phase == SwitchPhase::Prepare) {
            copiesBegan = m_state.clock.now(); // the last rank's copy begins as late as this
        }
        if (phase == SwitchPhase::Arm && !accepted) {
            co_await sleep(kArmPause);
        }
    }
}

} // namespace fulmarlink
