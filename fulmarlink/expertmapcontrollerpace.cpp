// What the owner of a group's map learns of its pace: whether the group stands still, whether
// demand has turned, which ranks are slow, when a pass has ended.

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "fulmarlink/expertmapcontroller.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kLongestWindow = std::chrono::milliseconds(300); ///< of the counts that a plan rests on, where no event tells that a pass has begun
constexpr Duration kPassPoll = std::chrono::milliseconds(8); ///< a tenth of a usual pass
constexpr Duration kSamePass = std::chrono::milliseconds(15); ///< events of one pass arrive within this: a way between zones and a busy host
constexpr Duration kLongestPass = std::chrono::milliseconds(2000); ///< of a group that is worth ordering about
constexpr int kWindowPauses = 2; ///< of the last passes; in that time a pass has ended even if it is a long one
constexpr double kSlowPace = 1.5; ///< a rank that takes half as long again makes every pass longer than a wrong map's second best plan would
constexpr Duration kBlindLook = std::chrono::milliseconds(1000); ///< a host without streams asks a rank for its pass so often
constexpr std::uint64_t kWorkingPasses = 3; ///< in that time: the group has work, so that other hosts see its pace

} // namespace

/** Streams are under way here, and none of them has moved for long. */
bool ExpertMapController::standsStill() const
{
    return m_state.standsStill(m_pool, m_group, m_state.clock.now());
}

bool ExpertMapController::paceTurned()
{
    const TimePoint now = m_state.clock.now();
    const PoolGate &gate = this->gate();
    return m_pace.countsDue({gate.recentPause(now), gate.lastAnswer(), gate.gapTarget()}, now);
}

/** Whether the group works while this host has no streams by whose pace it could tell. */
asio::awaitable<bool> ExpertMapController::blind()
{
    const TimePoint now = m_state.clock.now();
    if (gate().recentPause(now) || now - m_blindLook < kBlindLook) {
        co_return false;
    }
    m_blindLook = now;
    const bool known = co_await readPass();
    const std::uint64_t before = std::exchange(m_blindPass, m_pass);
    co_return known &&before != 0 && m_pass >= before + kWorkingPasses;
}

/** Reads how fast each rank works; true if that has changed. */
asio::awaitable<bool> ExpertMapController::lookForSlowRanks()
{
    m_pacesAt = m_state.clock.now();
    const bool complete = co_await readReports();
    if (!complete) {
        co_return false;
    }
    std::vector<double> paces;
    std::vector<std::string> slow;
    std::string text;
    for (unsigned rank = 0; rank < m_reports.size(); ++rank) {
        const bool isSlow = m_reports[rank].pace >= kSlowPace;
        paces.push_back(isSlow ? m_reports[rank].pace : 1);
        if (!isSlow) {
            continue;
        }
        slow.push_back(m_ranks[rank].id);
        text += (text.empty() ? "" : ",") + m_ranks[rank].id + ':' + twoDecimals(m_reports[rank].pace);
    }
    const bool any = !slow.empty() || std::ranges::any_of(m_paces, [](double pace) {
        return pace > 1;
    });
    const bool changed = any && paces != m_paces;
    if (changed) {
        logWarning("slow-ranks", {{"pool", m_pool}, {"group", m_group}, {"ranks", text}, {"of", std::to_string(m_reports.size())}});
    }
    m_paces = std::move(paces);
    m_lease.setSlowTargets(std::move(slow));
    co_return changed;
}

/** Requests go to the ranks that are not slow, here and on every other host. */
void ExpertMapController::applySlowTargets()
{
    if (m_lease.record().slowTargets == m_slowTargets) {
        return;
    }
    m_slowTargets = m_lease.record().slowTargets;
    m_state.targets.setSlow(m_pool, m_group, m_slowTargets);
    logChange("slow-targets", {{"pool", m_pool}, {"group", m_group}, {"count", std::to_string(m_slowTargets.size())}, {"holder", m_lease.record().holder}});
}

/** Until events tell that a pass has ended and the next one begun. */
asio::awaitable<void> ExpertMapController::waitForPass()
{
    const PoolGate &gate = this->gate();
    const TimePoint began = m_state.clock.now();
    const TimePoint seen = gate.lastAnswer();
    const Duration limit = std::max(kLongestWindow, gate.recentPause(began).value_or(Duration(0)) * kWindowPauses);
    while (gate.lastAnswer() - seen < kSamePass && m_state.clock.now() - began < limit) {
        co_await sleep(kPassPoll);
    }
}

/** Until the last switch is in force: a rank that is armed takes no new map. */
asio::awaitable<void> ExpertMapController::waitForSwitch()
{
    const TimePoint began = m_state.clock.now();
    const auto inForce = [this] {
        return m_pass >= m_switchPass || gate().lastAnswer() - m_switchGo > kSamePass; // the pass before it has ended
    };
    while (!inForce() && m_state.clock.now() - began < kLongestPass) {
        co_await waitForPass();
        const bool events = gate().recentPause(m_state.clock.now()).has_value();
        if (!events) {
            const bool known = co_await readPass();
            if (!known) {
                co_return;
            }
        }
    }
}

} // namespace fulmarlink
