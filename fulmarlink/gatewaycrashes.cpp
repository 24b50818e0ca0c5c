// What an exchange does about runners that end: whether the request may still go to one, and
// what the end of an attempt tells of the request and of its runner.
//
// Each co_await stands in a statement of its own, as in gatewayexchange.cpp.

#include "fulmarlink/crashwatch.h"
#include "fulmarlink/gatewayexchange.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace asio = boost::asio;

RequestFingerprint GatewayExchange::fingerprint() const
{
    const auto target = m_request.target();
    return fingerprintOf({m_customer, m_info.method, m_facts.host, {target.data(), target.size()}, m_request.body()});
}

CrashSuspect GatewayExchange::suspect() const
{
    return {m_fingerprint, m_customer, m_route.name, false};
}

bool GatewayExchange::checkCrashes()
{
    const CrashStanding standing = m_state.crashes.standing(m_fingerprint, m_arrived);
    m_trial = standing.verdict == CrashVerdict::TrialDue;
    if (standing.verdict != CrashVerdict::HeldBack && standing.verdict != CrashVerdict::Banned) {
        return true;
    }
    m_reason = std::string(crashVerdictName(standing.verdict)) + " crashes " + std::to_string(standing.crashes);
    return refuse(ResultCode::RequestEndsRunners, standing.retryAfter);
}

/** Whether runners have ended under it at other hosts since it was taken here. */
bool GatewayExchange::heldBack()
{
    const CrashStanding standing = m_state.crashes.standing(m_fingerprint, m_state.clock.now());
    const bool held = standing.verdict == CrashVerdict::HeldBack || standing.verdict == CrashVerdict::TrialDue;
    m_heldBack = standing.verdict == CrashVerdict::Banned || (held && !m_trial);
    m_retryAfter = m_heldBack ? standing.retryAfter : m_retryAfter;
    return m_heldBack;
}

asio::awaitable<bool> GatewayExchange::claimTrial()
{
    const bool claimed = co_await m_state.crashWatch->claimTrial(suspect());
    logRequest("trial", {{"id", m_facts.attemptId}, {"fingerprint", m_fingerprint.text()}, {"claimed", claimed ? "true" : "false"}});
    if (claimed) {
        co_return true;
    }
    m_reason = "trial at another host";
    co_return refuse(ResultCode::RequestEndsRunners, m_state.settings.crashes.holdFor);
}

/** What the attempt's end tells of the request and of its runner. */
asio::awaitable<void> GatewayExchange::noteEnd(const TargetInfo &target, AttemptEnd end)
{
    const TimePoint now = m_state.clock.now();
    const bool broken = end == AttemptEnd::Broken && !m_gone;
    m_state.attempts.ended(m_attempt, broken ? RunnerAttempts::End::BrokenOff : RunnerAttempts::End::Known, now);
    if (end == AttemptEnd::Answered || end == AttemptEnd::Failed) {
        m_state.crashes.endedWell(m_fingerprint, now);
    }
    if (broken && m_cut) {
        const bool ended = co_await m_state.crashWatch->seemsEnded(target);
        m_runnerEnded = ended && m_events.events() == m_eventsBefore;
    }
}

} // namespace fulmarlink
