// How the controller observes a group's progress: whether it is stalled, whether demand has
// shifted, which ranks are slow, and when a pass has ended.

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

constexpr Duration kMaxCountWindow = std::chrono::milliseconds(300); ///< of one wait for a pass, if no event shows its end
constexpr Duration kPassPollInterval = std::chrono::milliseconds(8); ///< about a tenth of a typical pass
constexpr Duration kSamePassSpread
    = std::chrono::milliseconds(15); ///< events of one pass arrive within this time, including the latency between zones and a busy host
constexpr Duration kMaxSwitchWait = std::chrono::milliseconds(2000); ///< longest pass of a group for which switches pay off
constexpr int kWindowIntervals = 2; ///< mean event intervals to wait for; even a long pass ends in that time
constexpr double kSlowRankThreshold
    = 1.5; ///< at 1.5 times the normal duration a rank lengthens every pass more than the second-best plan for an outdated map would
constexpr Duration kPassCheckInterval = std::chrono::milliseconds(1000); ///< of the pass number, on a host without streams
constexpr std::uint64_t kMinActivePasses = 3; ///< in kPassCheckInterval: the group has requests, so other hosts observe its event intervals

} // namespace

/** True if requests from this host are open at the group and none has made progress for too long. */
bool ExpertMapController::isStalled() const
{
    return m_state.isGroupStalled(m_pool, m_group, m_state.clock.now());
}

bool ExpertMapController::shouldReadCounts()
{
    const TimePoint now = m_state.clock.now();
    const PoolGate &gate = this->gate();
    return m_shiftDetector.countsDue({gate.meanEventInterval(now), gate.lastAnswer(), gate.gapTarget()}, now);
}

/** True if the group processes requests while this host has no streams from which it could detect a demand shift. */
asio::awaitable<bool> ExpertMapController::activeWithoutLocalStreams()
{
    const TimePoint now = m_state.clock.now();
    if (gate().meanEventInterval(now) || now - m_lastPassCheck < kPassCheckInterval) {
        co_return false;
    }
    m_lastPassCheck = now;
    const bool known = co_await readCurrentPass();
    const std::uint64_t before = std::exchange(m_checkedPass, m_latestPass);
    co_return known &&before != 0 && m_latestPass >= before + kMinActivePasses;
}

/** Reads the slowdown of each rank from its report; returns true if the set of slow ranks or a slowdown has changed. */
asio::awaitable<bool> ExpertMapController::refreshSlowRanks()
{
    m_slowdownsReadAt = m_state.clock.now();
    const bool complete = co_await readReports();
    if (!complete) {
        co_return false;
    }
    std::vector<double> slowdowns;
    std::vector<std::string> slow;
    std::string text;
    for (unsigned rank = 0; rank < m_reports.size(); ++rank) {
        const bool isSlow = m_reports[rank].slowdown >= kSlowRankThreshold;
        slowdowns.push_back(isSlow ? m_reports[rank].slowdown : 1);
        if (!isSlow) {
            continue;
        }
        slow.push_back(m_ranks[rank].id);
        text += (text.empty() ? "" : ",") + m_ranks[rank].id + ':' + twoDecimals(m_reports[rank].slowdown);
    }
    const bool any = !slow.empty() || std::ranges::any_of(m_slowdowns, [](double pace) {
        return pace > 1;
    });
    const bool changed = any && slowdowns != m_slowdowns;
    if (changed) {
        logWarning("slow-ranks", {{"pool", m_pool}, {"group", m_group}, {"ranks", text}, {"of", std::to_string(m_reports.size())}});
    }
    m_slowdowns = std::move(slowdowns);
    m_lease.setSlowTargets(std::move(slow));
    co_return changed;
}

/** Applies the slow ranks of the lease record to target selection. Every host does so, not only the leader. */
void ExpertMapController::applySlowTargets()
{
    if (m_lease.record().slowTargets == m_slowTargets) {
        return;
    }
    m_slowTargets = m_lease.record().slowTargets;
    m_state.targets.setSlow(m_pool, m_group, m_slowTargets);
    logChange("slow-targets", {{"pool", m_pool}, {"group", m_group}, {"count", std::to_string(m_slowTargets.size())}, {"holder", m_lease.record().holder}});
}

/** Waits until events show that a pass has ended and the next one has begun, or until a time limit. */
asio::awaitable<void> ExpertMapController::waitForNextPass()
{
    const PoolGate &gate = this->gate();
    const TimePoint began = m_state.clock.now();
    const TimePoint seen = gate.lastAnswer();
    const Duration limit = std::max(kMaxCountWindow, gate.meanEventInterval(began).value_or(Duration(0)) * kWindowIntervals);
    while (gate.lastAnswer() - seen < kSamePassSpread && m_state.clock.now() - began < limit) {
        co_await sleep(kPassPollInterval);
    }
}

/** Waits until the last switch has taken effect: an armed rank accepts no new map. */
asio::awaitable<void> ExpertMapController::waitForLastSwitch()
{
    const TimePoint began = m_state.clock.now();
    const auto inForce = [this] {
        return m_latestPass >= m_switchPass
               || gate().lastAnswer() - m_switchDoneAt > kSamePassSpread; // an event later than kSamePassSpread: the previous pass has ended
    };
    while (!inForce() && m_state.clock.now() - began < kMaxSwitchWait) {
        co_await waitForNextPass();
        const bool events = gate().meanEventInterval(m_state.clock.now()).has_value();
        if (!events) {
            const bool known = co_await readCurrentPass();
            if (!known) {
                co_return;
            }
        }
    }
}

} // namespace fulmarlink
