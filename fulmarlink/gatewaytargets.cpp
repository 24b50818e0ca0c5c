// The part of GatewayExchange that chooses the runner of the next attempt.
//
// Each co_await is a statement of its own; the reason is in gatewayexchange.cpp.

#include <utility>

#include "fulmarlink/gatewayexchange.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kResumeTimeout = std::chrono::milliseconds(1900); ///< callers abandon a stream after 2 s without an event
constexpr Duration kResumeRetryInterval = std::chrono::milliseconds(100);
constexpr Duration kListTimeout = std::chrono::milliseconds(500); ///< a healthy store answers within milliseconds; a caller that is refused returns no sooner
constexpr Duration kListPollInterval = std::chrono::milliseconds(10);

} // namespace

PoolGate &GatewayExchange::gate()
{
    return m_state.pool(m_pool).gate(m_group);
}

/** The runner for the next attempt, or nothing if every group of the pool is closed. */
std::optional<TargetInfo> GatewayExchange::nextTarget()
{
    if (m_admittedTarget) {
        return std::exchange(m_admittedTarget, std::nullopt);
    }
    const Admission admission = admitToPool(m_state, m_pool, {.timeLeft = timeLeft(), .admitted = true}, m_triedTargets);
    if (admission.target) {
        m_group = admission.group;
    }
    return admission.target;
}

/** Waits up to kResumeTimeout for a target that can resume a stream whose answer has started. */
asio::awaitable<std::optional<TargetInfo>> GatewayExchange::targetToResume()
{
    std::optional<TargetInfo> target = nextTarget();
    while (!target && !m_callerGone && m_state.clock.now() - m_lastEventTime <= kResumeTimeout) {
        m_triedTargets.clear(); // a runner whose connection failed may be reachable again
        co_await pauseBeforeRetry(kResumeRetryInterval);
        target = nextTarget();
    }
    co_return target;
}

/** Makes refused targets eligible again that have been listed with another start or address since. Returns whether there are any. */
bool GatewayExchange::forgetRestartedTargets()
{
    const std::size_t forgotten = std::erase_if(m_refusedTargets, [this](const auto &refused) {
        const auto &[id, before] = refused;
        const TargetInfo *listed = m_state.targets.find(id);
        const bool moved = listed != nullptr && (listed->address.port != before.address.port || listed->address.address != before.address.address);
        const bool restarted = listed != nullptr && listed->born != before.born;
        if (moved || restarted) {
            m_triedTargets.erase(id);
        }
        return moved || restarted;
    });
    return forgotten > 0;
}

/**
 * No process listens at the addresses of the targets left, so the list is out of date: waits for one that was read since, up to kListTimeout, and
 * returns a target that it lists with another start or address.
 */
asio::awaitable<std::optional<TargetInfo>> GatewayExchange::targetFromNextList()
{
    const TimePoint began = m_state.clock.now();
    m_state.refreshTargets();
    std::optional<TargetInfo> target;
    while (!target && !m_callerGone && !overdueReadable() && m_state.targetsListedAt <= began && m_state.clock.now() - began < kListTimeout
           && timeLeft() > kMinTimeToSend) {
        co_await pauseBeforeRetry(kListPollInterval);
        if (forgetRestartedTargets()) {
            target = nextTarget();
        }
    }
    const TimePoint now = m_state.clock.now();
    const bool unchanged = !target && m_state.targetsListedAt > began;
    logRequest("list-awaited",
               {{"id", m_callerRequest.attemptId},
                {"pool", m_pool},
                {"refused", std::to_string(m_refusedTargets.size())},
                {"outcome",
                 target      ? "found"
                 : unchanged ? "unchanged"
                             : "no-list"},
                {"target", target ? target->id : std::string()},
                {"list_age_ms", msText(now - m_state.targetsListedAt)},
                {"ms", msText(now - began)}});
    co_return target;
}

} // namespace fulmarlink
