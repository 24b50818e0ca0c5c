#include "fulmarlink/resultcode.h"

#include <algorithm>
#include <array>
#include <string>

namespace fulmarlink
{

namespace
{

using enum Outcome;

constexpr auto kTable = std::to_array<ResultInfo>({
    {ResultCode::Ok, "ok", 200, Answered, false, "The whole answer was given."},
    {ResultCode::MalformedRequest, "malformed-request", 400, NotRun, false, "The caller's request is not valid HTTP/1.1."},
    {ResultCode::HeaderTooLarge, "header-too-large", 431, NotRun, false, "The request's header is larger than entry.max_header_bytes."},
    {ResultCode::BodyTooLarge, "body-too-large", 413, NotRun, false, "The request's body is larger than entry.max_body_bytes."},
    {ResultCode::SlowSender, "slow-sender", 408, NotRun, false, "The caller did not send its whole request within entry.read_timeout_ms."},
    {ResultCode::NoRuleMatched, "no-rule-matched", 404, NotRun, false, "No rule matches the request."},
    {ResultCode::RefusedByRule, "refused-by-rule", 403, NotRun, false, "The first rule that matches refuses the request."},
    {ResultCode::UnknownPool, "unknown-pool", 503, NotRun, false, "The rule routes to a pool that the host list does not have."},
    {ResultCode::EmptyPool, "empty-pool", 503, NotRun, true, "No runner of the pool takes new work."},
    {ResultCode::CustomerLimit, "customer-limit", 429, NotRun, true, "The customer's token limit is used up."},
    {ResultCode::FairShareExceeded, "fair-share-exceeded", 429, NotRun, true, "The pool is overloaded and the customer is above its fair share."},
    {ResultCode::EntryOverloaded, "entry-overloaded", 503, NotRun, true, "The entry host holds as many requests as it may."},
    {ResultCode::RunnerBusy, "runner-busy", 503, NotRun, true, "Every runner that was tried is busy beyond its time bound."},
    {ResultCode::DeadlineBeforeRun, "deadline-before-run", 504, NotRun, false, "The deadline passed before the request was handed to an engine."},
    {ResultCode::ShuttingDown, "shutting-down", 503, NotRun, true, "The process is leaving and takes no new work."},
    {ResultCode::RunnerLeaving, "runner-leaving", 503, NotRun, true, "The runner is leaving and takes no new work."},
    {ResultCode::IncarnationChanged, "incarnation-changed", 503, NotRun, true, "The dispatch names another incarnation of the agent than the one it reached."},
    {ResultCode::DispatchNeverArrived, "dispatch-never-arrived", 503, NotRun, true, "The agent proves that the dispatch never reached it and will be refused."},
    {ResultCode::DispatchTableFull, "dispatch-table-full", 503, NotRun, true, "The agent can't remember more dispatches."},
    {ResultCode::NoRunnerReachable, "no-runner-reachable", 503, NotRun, true, "No runner of the pool could be reached."},
    {ResultCode::RetryBudgetSpent, "retry-budget-spent", 503, NotRun, true, "A retry was safe but the retry budget is used up."},
    {ResultCode::NoConfiguration, "no-configuration", 503, NotRun, true, "The node has not learned any rules yet."},
    {ResultCode::KeyInProgress, "key-in-progress", 409, NotRun, true, "This attempt was not run: an earlier one with the same idempotency key is running."},
    {ResultCode::KeyHomeUnreachable, "key-home-unreachable", 503, NotRun, true, "This attempt was not run: the home of its idempotency key can't be reached."},
    {ResultCode::KeyTableFull, "key-table-full", 503, NotRun, true, "This attempt was not run: the home of its idempotency key can't remember more keys."},
    {ResultCode::EngineRefused, "engine-refused", 503, NotRun, true, "The engine refused the request before running it."},
    {ResultCode::EngineUnreachable, "engine-unreachable", 502, NotRun, true, "The engine did not take the agent's connection."},
    {ResultCode::CancelledBeforeRun, "cancelled-before-run", 499, NotRun, false, "The caller left before the request was handed to an engine."},
    {ResultCode::ConfigurationTooOld, "configuration-too-old", 503, NotRun, true, "The node has been cut off for longer than config.max_isolation_ms."},
    {ResultCode::TooManyRequests, "too-many-requests", 503, NotRun, true, "The agent's queue is full."},
    {ResultCode::ApiKeyUnknown, "api-key-unknown", 401, NotRun, false, "The request bears no API key of the configuration in force."},
    {ResultCode::ConfigurationUnproved,
     "configuration-unproved",
     503,
     NotRun,
     true,
     "The store has not confirmed lately that the configuration, and so the API key, is still in force."},
    {ResultCode::PoolOverloaded, "pool-overloaded", 503, NotRun, true, "Every runner of the pool has as many requests as it can answer in time."},
    {ResultCode::PoolStalled, "pool-stalled", 503, NotRun, true, "The pool's runners refuse all work, as a group does that has lost a rank."},
    {ResultCode::PoolTooSlow, "pool-too-slow", 503, NotRun, true, "The pool's passes take so long that a usual stream could not end before its deadline."},
    {ResultCode::RequestEndsRunners,
     "request-ends-runners",
     503,
     NotRun,
     true,
     "This attempt was not run: runners ended while they ran the same request before, or others with a part of its prompt. It is held back; don't repeat it "
     "soon."},
    {ResultCode::RunnersLimited,
     "runners-limited",
     503,
     NotRun,
     true,
     "Every runner of the pool that takes work has named how many requests a second it takes, and has had them."},
    {ResultCode::RunnersBackingOff,
     "runners-backing-off",
     503,
     NotRun,
     true,
     "Every runner of the pool that takes work has asked this entry to send it nothing for a while."},
    {ResultCode::RequestMemoryFull,
     "request-memory-full",
     503,
     NotRun,
     true,
     "The requests that are being received or run hold all the memory that this entry has for them."},
    {ResultCode::LinkLost, "link-lost", 502, Unknown, false, "The link to the agent broke and the outcome could not be learned before the deadline."},
    {ResultCode::RunnerReplaced, "runner-replaced", 502, Unknown, false, "The agent that took the request is gone; it may have run."},
    {ResultCode::DeadlineAfterDispatch, "deadline-after-dispatch", 504, Unknown, false, "The deadline passed after the request was handed over."},
    {ResultCode::EngineBroke, "engine-broke", 502, Unknown, false, "The engine broke off before its answer was whole."},
    {ResultCode::AnswerCutShort, "answer-cut-short", 502, Unknown, false, "The answer broke off after its first byte had reached the caller."},
    {ResultCode::CutByShutdown, "cut-by-shutdown", 502, Unknown, false, "The process reached its shutdown limit with the request running."},
    {ResultCode::KeyOutcomeUnknown, "key-outcome-unknown", 409, Unknown, false, "An earlier attempt with the same idempotency key may have run."},
    {ResultCode::KeyHistoryLost, "key-history-lost", 409, Unknown, false, "This attempt was not run; whether an earlier one with this key ran is unknown."},
    {ResultCode::AnswerNoLongerHeld, "answer-no-longer-held", 410, Unknown, false, "The request ran once; its answer is no longer held."},
    {ResultCode::DispatchExpired, "dispatch-expired", 502, Unknown, false, "The agent no longer remembers the dispatch."},
    {ResultCode::CallerGone, "caller-gone", 499, Unknown, false, "The caller left while the request was running."},
    {ResultCode::RunnerFailed,
     "runner-failed",
     502,
     Unknown,
     false,
     "The runner ran the request and answered with a failure of its own, which the caller gets."},
    {ResultCode::AnswerInvalid, "answer-invalid", 502, Unknown, false, "What the runner sent is no answer to this request."},
    {ResultCode::RunnerEnded,
     "runner-ended",
     502,
     Unknown,
     false,
     "The runner ended, or may have, before it gave the first part of the answer; the request is not sent to another one, since it may be the cause."},
    {ResultCode::FrameTooLarge, "frame-too-large", 0, NotARequest, false, "A frame is larger than kMaxFrameBytes; the link is closed."},
    {ResultCode::FrameInvalid, "frame-invalid", 0, NotARequest, false, "A frame does not verify; the link is closed."},
    {ResultCode::ProtocolMajorDiffers, "protocol-major-differs", 0, NotARequest, false, "The peer speaks another major version; the link is closed."},
    {ResultCode::StaleLink, "stale-link", 0, NotARequest, false, "The peer has opened a newer link, or a newer incarnation of it has; this one is closed."},
    {ResultCode::HelloExpected, "hello-expected", 0, NotARequest, false, "The first frame on a link is not a hello; the link is closed."},
    {ResultCode::SettingsInvalid, "settings-invalid", 0, NotARequest, false, "The settings file has errors."},
    {ResultCode::RulesInvalid, "rules-invalid", 0, NotARequest, false, "The rule file has errors."},
    {ResultCode::VersionConflict, "version-conflict", 0, NotARequest, false, "The object has changed since it was read."},
    {ResultCode::StoreUnavailable, "store-unavailable", 0, NotARequest, false, "The object API can't be reached or answers with an error."},
    {ResultCode::StoreAnswerLost, "store-answer-lost", 0, NotARequest, false, "The object API's answer was lost; the write may have taken effect."},
    {ResultCode::VersionNotNewer, "version-not-newer", 0, NotARequest, false, "The offered configuration is not newer than the one in force."},
    {ResultCode::ObjectNotFound, "object-not-found", 0, NotARequest, false, "The object API has no such object."},
    {ResultCode::ConfigurationInvalid,
     "configuration-invalid",
     0,
     NotARequest,
     false,
     "The operator's configuration in the store can't be understood; the last good one stays in force."},
    {ResultCode::StoreHistoryGone, "store-history-gone", 0, NotARequest, false, "The store no longer has the changes that were asked for; all is read anew."},
    {ResultCode::AnswerUnreadable,
     "answer-unreadable",
     0,
     NotARequest,
     false,
     "An answer of the store or of a runner came but can't be read; nothing of it is used."},
});

static_assert(std::ranges::is_sorted(kTable, {}, &ResultInfo::code));

class ResultCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "fulmarlink";
    }

    std::string message(int value) const override
    {
        return std::string(resultInfo(static_cast<ResultCode>(value)).meaning);
    }
};

} // namespace

std::span<const ResultInfo> resultTable()
{
    return kTable;
}

const ResultInfo &resultInfo(ResultCode code)
{
    const auto it = std::ranges::lower_bound(kTable, code, {}, &ResultInfo::code);
    return it != kTable.end() && it->code == code ? *it : kTable.front();
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::NotARequest:
        return "-";
    }
    return "-";
}

const std::error_category &resultCategory()
{
    static const ResultCategory category;
    return category;
}

std::error_code make_error_code(ResultCode code)
{
    return {static_cast<int>(code), resultCategory()};
}

} // namespace fulmarlink
