// The part of GatewayExchange that handles runner crashes: whether the request may still be
// sent to a runner, and what the end of an attempt shows about the request and its runner.
//
// Each co_await is a statement of its own; the reason is in gatewayexchange.cpp.

#include <algorithm>

#include "fulmarlink/crashwatch.h"
#include "fulmarlink/gatewayexchange.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned kFirstFailureStatus = 400;

/** The verdict, its number of crashes, and the prompt segment that it is about, if any. */
std::string reasonOf(const CrashStatus &status)
{
    std::string result = std::string(crashVerdictName(status.verdict)) + " crashes " + std::to_string(status.crashes);
    return status.segment.empty() ? result : result + " segment " + status.segment + ' ' + status.key.text();
}

} // namespace

RequestFingerprint GatewayExchange::fingerprint() const
{
    const auto target = m_request.target();
    return fingerprintOf({m_customer, m_info.method, m_callerRequest.host, {target.data(), target.size()}, m_request.body()});
}

CrashSuspect GatewayExchange::crashSuspect() const
{
    CrashSuspect suspect{m_fingerprint, m_customer, m_route.name, false};
    suspect.segments = m_callerRequest.sharedSegments;
    return suspect;
}

void GatewayExchange::countSegmentRefusal(const CrashStatus &status)
{
    if (!status.segment.empty()) {
        m_state.counters.add(m_state.segmentRefusals);
    }
}

bool GatewayExchange::checkCrashes()
{
    m_crashKeys = crashKeysOf(m_fingerprint, m_callerRequest.sharedSegments);
    const CrashStatus status = m_state.crashes.gravestStatus(m_crashKeys, m_arrived);
    m_trialDue = status.verdict == CrashVerdict::TrialDue;
    m_trialKey = status.trialKey;
    if (status.verdict != CrashVerdict::HeldBack && status.verdict != CrashVerdict::Banned) {
        return true;
    }
    m_reason = reasonOf(status);
    countSegmentRefusal(status);
    return refuse(ResultCode::RequestEndsRunners, status.retryAfter);
}

/** Whether the request must be held back by now, because of crashes that became known after its arrival. */
bool GatewayExchange::updateHeldBack()
{
    const CrashStatus status = m_state.crashes.gravestStatus(m_crashKeys, m_state.clock.now());
    const bool held = status.verdict == CrashVerdict::HeldBack || status.verdict == CrashVerdict::TrialDue;
    m_heldBack = status.verdict == CrashVerdict::Banned || (held && !m_trialDue);
    if (m_heldBack) {
        m_retryAfter = status.retryAfter;
        m_reason = reasonOf(status);
        countSegmentRefusal(status);
    }
    return m_heldBack;
}

asio::awaitable<bool> GatewayExchange::claimTrial()
{
    CrashSuspect subject{m_trialKey, m_customer, m_route.name, false};
    const bool claimed = co_await m_state.crashWatch->claimTrial(std::move(subject));
    logRequest("trial",
               {{"id", m_callerRequest.attemptId}, {"fingerprint", m_fingerprint.text()}, {"of", m_trialKey.text()}, {"claimed", claimed ? "true" : "false"}});
    if (claimed) {
        co_return true;
    }
    m_reason = "trial at another host";
    const CrashPolicy &policy = m_state.settings.crashes;
    co_return refuse(ResultCode::RequestEndsRunners, std::min(policy.calmTime, policy.holdTime));
}

/** Runners that ended under the request, as far as is known, and those of this exchange's broken attempts that may have. */
unsigned GatewayExchange::endedRunners()
{
    const TimePoint now = m_state.clock.now();
    const std::size_t unresolved = m_state.attempts.unresolved(m_brokenAttempts, now);
    const auto unreachable = std::ranges::count(m_overdue, false, &OpenAttempt::runnerLives);
    return m_state.crashes.status(m_fingerprint, now).crashes + static_cast<unsigned>(unresolved) + static_cast<unsigned>(unreachable);
}

/** Records the end of the attempt: in the runner's attempts, for the request's crash status, and, if the connection broke off, whether the runner ended. */
asio::awaitable<void> GatewayExchange::recordCrashEvidence(AttemptEnd end)
{
    const TargetInfo target = m_current.target;
    const TimePoint now = m_state.clock.now();
    const bool broken = end == AttemptEnd::Broken && !m_callerGone;
    const bool answerStarted = m_events.events() > m_eventsBefore;
    const RunnerAttempts::Outcome outcome
        = broken ? RunnerAttempts::brokenOutcome(m_connectionEnd, m_current.requestBytes, answerStarted) : RunnerAttempts::Outcome::Resolved;
    const bool reported = m_state.attempts.recordEnd(m_current.token, outcome, now);
    if (end == AttemptEnd::Answered || end == AttemptEnd::Failed) {
        m_state.crashes.requestCompleted(m_fingerprint, now);
    }
    if (end == AttemptEnd::Answered && m_status < kFirstFailureStatus) {
        m_state.crashWatch->segmentsAnswered(m_crashKeys.segments);
    }
    if (!broken) {
        co_return;
    }
    m_brokenAttempts.push_back(m_current.token);
    if (m_connectionEnd != ConnectionEnd::Open) {
        if (reported && !answerStarted) {
            CrashSuspect suspect = crashSuspect();
            suspect.unread = outcome == RunnerAttempts::Outcome::LostUnread;
            suspect.closedInOrder = outcome == RunnerAttempts::Outcome::LostInOrder;
            m_state.crashWatch->suspectLost({target.id, target.born}, std::move(suspect));
        }
        const RunnerProbe probe = co_await m_state.crashWatch->probe(target);
        m_runnerEnded = probe != RunnerProbe::Accepts && !answerStarted;
        if (probe == RunnerProbe::Accepts) {
            m_state.attempts.markAccepting(m_current.token);
        }
    }
}

} // namespace fulmarlink
