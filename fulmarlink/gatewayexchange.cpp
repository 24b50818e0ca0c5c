// The lifecycle of a request: admit() selects the pool and target or refuses, runAttempts() makes
// attempts until one is answered or nextStep() ends the request, finish() answers the caller.
//
// Each co_await is a statement of its own: GCC 12 evaluates both branches of a conditional
// expression that contains one, and compiles loops with such an expression wrongly.
//
// The response head of a stream is not sent before its first complete event, so a failed
// attempt before that is invisible to the caller and the request can be sent to another runner.

#include "fulmarlink/gatewayexchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <utility>

#include "fulmarlink/crashwatch.h"
#include "fulmarlink/log.h"
#include "fulmarlink/mutation.h"
#include "fulmarlink/ruleset.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr Duration kDefaultDeadline = std::chrono::seconds(60); ///< for requests without a deadline
constexpr Duration kMaxProofAgeToDeny = std::chrono::milliseconds(1500); ///< with an older proof, a missing route or key may have been added since
constexpr Duration kUnprovedRetryAfter
    = std::chrono::milliseconds(500); ///< usually only one host has lost the store, and another host accepts the retry at once
constexpr Duration kDrainAdmitPeriod = std::chrono::milliseconds(3000); ///< a stream that starts later may not end before the shutdown limit
constexpr Duration kDrainRetryAfter = std::chrono::milliseconds(50); ///< another entry accepts the retry at once

} // namespace

GatewayExchange::GatewayExchange(GatewayState &state, boost::beast::tcp_stream &caller, HttpRequest request, bool keepAlive)
    : m_state(state)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_keepAlive(keepAlive)
    , m_arrived(state.clock.now())
    , m_callerRequest(state.protocol.readRequest(m_request))
    , m_answerLease(state.requestMemory)
{
    m_info.host = m_callerRequest.host;
    m_info.path = m_callerRequest.path;
    m_info.model = m_callerRequest.model;
    const auto method = m_request.method_string();
    m_info.method.assign(method.data(), method.size());
    m_info.idempotent = methodIsIdempotent(m_info.method);
    m_info.promptTokens = m_callerRequest.promptTokens;
    if (m_callerRequest.ignoredSegments > 0) {
        state.counters.add(state.ignoredSegments, m_callerRequest.ignoredSegments);
        logRequest("segments-ignored", {{"id", m_callerRequest.attemptId}, {"count", std::to_string(m_callerRequest.ignoredSegments)}});
    }
}

GatewayExchange::~GatewayExchange() = default;

bool GatewayExchange::mustCloseConnection() const
{
    return m_state.drainStartedAt || !m_keepAlive || m_state.proofIsStale(m_state.clock.now());
}

Duration GatewayExchange::timeLeft() const
{
    return m_deadline - m_state.clock.now();
}

bool GatewayExchange::refuse(ResultCode code, Duration retryAfter)
{
    m_result = code;
    m_retryAfter = retryAfter;
    return false;
}

bool GatewayExchange::checkKey()
{
    if (m_route.anonymous) {
        return true;
    }
    const TimePoint now = m_state.clock.now();
    const auto it = m_active->keys.find(m_callerRequest.apiKey);
    if (it == m_active->keys.end()) {
        return m_state.config.age(now) < kMaxProofAgeToDeny ? refuse(ResultCode::ApiKeyUnknown)
                                                            : refuse(ResultCode::ConfigurationUnproved, kUnprovedRetryAfter);
    }
    if (!m_state.keyProofValid(now)) {
        return refuse(ResultCode::ConfigurationUnproved, kUnprovedRetryAfter);
    }
    m_customer = it->second.customer;
    m_info.customer = m_customer;
    if (it->second.priority) {
        m_route.rank = *it->second.priority;
    }
    return true;
}

const std::string &GatewayExchange::choosePool()
{
    std::uint64_t total = 0;
    for (const PoolShare &share : m_route.pools) {
        total += share.weight;
    }
    std::uint64_t draw = m_state.random() % std::max<std::uint64_t>(1, total);
    for (const PoolShare &share : m_route.pools) {
        if (draw < share.weight) {
            return share.pool;
        }
        draw -= share.weight;
    }
    return m_route.pools.front().pool;
}

/** Event count of the engine's usual answer, capped by the caller's token limit. The limit alone is often a poor estimate. */
double GatewayExchange::expectedEvents() const
{
    const ServiceSpec *service = m_active->configuration.service(m_pool);
    if (!m_route.streaming || service == nullptr || !service->engine) {
        return 0;
    }
    const EngineSpec &engine = *service->engine;
    const double tokens
        = m_callerRequest.maxAnswerTokens > 0 ? std::min<double>(m_callerRequest.maxAnswerTokens, engine.usualAnswerTokens) : engine.usualAnswerTokens;
    return tokens / std::max(1U, engine.stride);
}

bool GatewayExchange::admit()
{
    m_deadline = m_arrived + m_callerRequest.deadline.value_or(kDefaultDeadline);
    if (m_state.drainStartedAt && m_arrived - *m_state.drainStartedAt > kDrainAdmitPeriod) {
        return refuse(ResultCode::ShuttingDown, kDrainRetryAfter);
    }
    m_active = m_state.config.active();
    if (!m_active || !m_state.crashRecordsLoaded || !m_state.backoffsRestored) {
        return refuse(ResultCode::NoConfiguration, kUnprovedRetryAfter);
    }
    m_route = m_active->rules->route(m_info);
    if (m_route.refusal != ResultCode::Ok) {
        const bool fresh = m_state.config.age(m_arrived) < kMaxProofAgeToDeny;
        return fresh ? refuse(m_route.refusal) : refuse(ResultCode::ConfigurationUnproved, kUnprovedRetryAfter);
    }
    if (m_route.deadline) {
        m_deadline = std::min(m_deadline, m_arrived + *m_route.deadline);
    }
    if (!checkKey()) {
        return false;
    }
    m_fingerprint = fingerprint();
    m_pool = choosePool();
    if (!checkCrashes()) {
        return false;
    }
    PoolState &pool = m_state.pool(m_pool);
    pool.budget.countRequest(m_arrived);
    const RequestDemand demand{.events = expectedEvents(), .timeLeft = m_deadline - m_arrived};
    const Admission admission = admitToPool(m_state, m_pool, demand, {});
    m_group = admission.group;
    m_admittedTarget = admission.target;
    if (!admission.target) {
        m_reason = "load " + twoDecimals(admission.load) + " ceiling " + twoDecimals(admission.ceiling) + " runners " + std::to_string(admission.runners);
        const BlockedRunners blocked = m_state.targets.blocked(m_pool, {}, m_arrived);
        m_reason += " backing-off " + std::to_string(blocked.backingOff) + " limited " + std::to_string(blocked.limited);
        const bool allBlocked = admission.decision.refusal == blockedResultCode(blocked);
        return refuse(admission.decision.refusal, allBlocked ? blockedRetryAfter(m_state, m_pool) : admission.decision.retryAfter);
    }
    return true;
}

asio::awaitable<bool> GatewayExchange::run()
{
    ++m_state.unansweredRequests;
    std::exception_ptr error;
    try {
        co_await respond();
    } catch (...) {
        error = std::current_exception();
    }
    closeOverdue();
    --m_state.unansweredRequests;
    if (error) {
        std::rethrow_exception(error);
    }
    m_state.counters.countResult(m_callerGone ? ResultCode::CallerGone : m_result);
    m_state.requestDuration.observe(m_state.clock.now() - m_arrived);
    log();
    co_return !m_callerConnectionBroken && !m_callerGone && !mustCloseConnection();
}

asio::awaitable<void> GatewayExchange::respond()
{
    bool admitted = admit();
    if (admitted && m_trialDue) {
        admitted = co_await claimTrial();
    }
    if (admitted) {
        co_await runAttempts();
    } else {
        co_await writeLocalReply(m_result, m_retryAfter);
    }
}

void GatewayExchange::callerGone()
{
    m_callerGone = true;
    if (m_current.connection) {
        m_current.connection->stream.close();
    }
    for (const OpenAttempt &overdue : m_overdue) {
        overdue.connection->stream.close();
    }
}

AttemptState GatewayExchange::attemptState(AttemptEnd end)
{
    AttemptState state;
    state.end = end;
    state.repeatable = m_route.idempotent;
    state.answerBegun = m_answerBegun;
    state.resumable = m_route.resumable && m_route.streaming;
    state.ran = m_possibleRuns;
    state.sends = m_sends;
    state.maxAttempts = m_route.maxAttempts;
    state.timeLeft = timeLeft() > kMinTimeToSend;
    state.runnerEnded = m_runnerEnded;
    state.endedRunners = endedRunners();
    return state;
}

/** Whether the current crash records, routes and keys still allow sending the request to its pool. */
bool GatewayExchange::mayRetry()
{
    const TimePoint now = m_state.clock.now();
    if (updateHeldBack()) {
        return false;
    }
    const auto active = m_state.config.active();
    if (active != m_active) {
        const Route route = active->rules->route(m_info);
        const bool stays = std::ranges::find(route.pools, m_pool, &PoolShare::pool) != route.pools.end();
        if (route.refusal != ResultCode::Ok || !stays) {
            m_reason = "route-changed";
            return false;
        }
    }
    if (!m_route.anonymous && (!m_state.keyProofValid(now) || !active->keys.contains(m_callerRequest.apiKey))) {
        m_reason = "key-unproved";
        return false;
    }
    return true;
}

/** Takes one retry from the pool's budget; @p previous is the end of the attempt before it. */
bool GatewayExchange::takeRetry(AttemptEnd previous)
{
    const TimePoint now = m_state.clock.now();
    WindowBudget &budget = m_state.pool(m_pool).budget;
    const RepeatAllowance allowance = budget.allowance(now);
    const bool granted = budget.takeRepeat(now);
    if (granted) {
        m_state.counters.add(m_state.grantedRetries.at(previous));
    } else {
        m_state.counters.add(m_state.deniedRetries);
    }
    logRequest("retry",
               {{"id", m_callerRequest.attemptId},
                {"pool", m_pool},
                {"outcome", granted ? "granted" : "denied"},
                {"after", attemptEndName(previous)},
                {"sends", std::to_string(m_sends)},
                {"earned", twoDecimals(allowance.earned)},
                {"granted", std::to_string(allowance.granted)},
                {"allowed", twoDecimals(allowance.allowed)},
                {"requests", std::to_string(allowance.requests)},
                {"slack_share", twoDecimals(allowance.slackShare)},
                {"hosts", std::to_string(m_state.recentEntries.maximum(now, m_state.settings.retryWindow))},
                {"process_ms", msText(now - m_state.startedAt)}});
    return granted;
}

asio::awaitable<void> GatewayExchange::pauseBeforeRetry(Duration pause)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(co_await asio::this_coro::executor, pause);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> GatewayExchange::runAttempts()
{
    AttemptEnd end = AttemptEnd::NotSent;
    NextStep step = NextStep::Again;
    while (step == NextStep::Again) {
        if (overdueReadable()) {
            end = co_await awaitOverdue();
            step = nextStep(attemptState(end));
            continue;
        }
        std::optional<TargetInfo> target;
        if (m_answerBegun) {
            target = co_await targetToResume();
        } else {
            target = nextTarget();
        }
        if (!target && !m_answerBegun && !m_refusedTargets.empty()) {
            target = co_await targetFromNextList();
        }
        if (m_callerGone) {
            co_return;
        }
        if (!target && overdueReadable()) {
            continue;
        }
        const bool repeat = m_sends > 0;
        if (!target || !mayRetry() || (repeat && !takeRetry(end))) {
            m_reason += !target ? " no-runner" : repeat ? " budget" : "";
            step = giveUp(attemptState(end));
            break;
        }
        end = co_await attempt(*target);
        if (m_callerGone) {
            co_return;
        }
        step = nextStep(attemptState(end));
    }
    while (step == NextStep::Unknown && !m_overdue.empty() && !m_callerGone && timeLeft() > kMinTimeToSend) {
        end = co_await awaitOverdue();
        step = end == AttemptEnd::Answered ? NextStep::Deliver : giveUp(attemptState(end));
    }
    if (m_callerGone) {
        co_return;
    }
    co_await finish(step);
}

} // namespace fulmarlink
