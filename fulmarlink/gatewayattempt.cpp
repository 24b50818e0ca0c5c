// The attempts of an exchange: connecting to the chosen runner, sending, waiting, and recording the result.
//
// A plain request that is idempotent goes to another runner if no answer comes in time, but the attempt before stays open: a runner that
// is slow rather than silent answers it soon, and its answer serves the caller as well as any. The first answer to any open attempt is taken.
//
// Each co_await is a statement of its own; the reason is in gatewayexchange.cpp.

#include <algorithm>
#include <exception>

#include "fulmarlink/awaitreadable.h"
#include "fulmarlink/crashwatch.h"
#include "fulmarlink/gatewayexchange.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds kConnectTimeout{300}; ///< far above a cross-zone round trip; a lost SYN is retransmitted only after 1 s

} // namespace

asio::awaitable<AttemptEnd> GatewayExchange::attempt(const TargetInfo &target)
{
    m_current = OpenAttempt{.target = target, .group = m_group, .began = m_state.clock.now()};
    m_triedTargets.insert(target.id);
    if (m_state.targets.ownRequests(m_pool, m_group) == 0) {
        gate().recordWorkStart(m_current.began);
    }
    m_state.targets.requestSent(target.id);
    AttemptEnd end = AttemptEnd::NotSent;
    std::exception_ptr error;
    try {
        end = co_await sendTo(target);
    } catch (...) {
        error = std::current_exception();
    }
    closeCurrent(end, error);
    co_return end;
}

void GatewayExchange::closeCurrent(AttemptEnd end, const std::exception_ptr &error)
{
    if (end == AttemptEnd::Overdue && !error) {
        return; // now one of m_overdue
    }
    m_state.targets.requestEnded(m_current.target.id);
    if (error) {
        m_state.attempts.recordEnd(m_current.token, RunnerAttempts::Outcome::Resolved, m_state.clock.now());
        std::rethrow_exception(error);
    }
    recordAttemptResult(end);
}

/**
 * Reserves a send to the target. Every send to a runner passes here: first sends, repeats, resumed streams and trials.
 * Called after the connection is open, so that signals which arrived meanwhile count.
 */
RunnerExclusion GatewayExchange::reserveSendTo(const TargetInfo &target)
{
    const unsigned own = m_state.targets.ownRequests(target.id); // this request included
    const RunnerExclusion exclusion = m_state.signals.reserveSend({target.id, target.born}, own - std::min(own, 1U), m_state.clock.now());
    if (exclusion == RunnerExclusion::RateLimited) {
        m_state.counters.add(m_state.limitedSends);
    } else if (exclusion != RunnerExclusion::None) {
        m_state.counters.add(m_state.backoffSends);
    }
    return exclusion;
}

asio::awaitable<AttemptEnd> GatewayExchange::sendTo(const TargetInfo &target)
{
    AttemptEnd end = AttemptEnd::NotSent;
    const AcquiredConnection acquired = co_await m_state.connections->acquire(target, std::min(kConnectTimeout, timerMs(timeLeft())));
    const std::shared_ptr<TargetConnection> &connection = acquired.connection;
    if (!connection) {
        m_reason = "connect";
        if (acquired.refused) {
            m_state.crashWatch->noteEnd({target.id, target.born}, "refused");
            m_refusedTargets[target.id] = target;
        }
        m_state.targets.requestFailed(target.id, m_state.clock.now());
    } else if (m_callerGone || !m_state.targets.isUsable(target.id, m_state.clock.now()) || !mayRetry()) {
        m_reason = "leaving";
        connection->idleLimit = TargetConnections::kDefaultIdle;
        m_state.connections->release(connection);
    } else if (const RunnerExclusion exclusion = reserveSendTo(target); exclusion != RunnerExclusion::None) {
        m_reason = runnerExclusionName(exclusion);
        connection->idleLimit = TargetConnections::kDefaultIdle;
        m_state.connections->release(connection);
    } else {
        m_current.connection = connection;
        ++m_sends;
        ++m_possibleRuns;
        end = AttemptEnd::Broken;
        m_connectionEnd = ConnectionEnd::Open;
        m_runnerEnded = false;
        m_eventsBefore = m_events.events();
        m_current.sentAt = m_state.clock.now();
        // A rank of a group begins nothing while another rank holds up the pass, whatever room it has.
        const bool hasSlot = m_group.empty() && m_state.targets.load(target.id, m_current.sentAt) <= 1;
        m_current.token = m_state.attempts.add({target.id, target.born}, crashSuspect(), RunnerAttempts::Start{m_current.sentAt, hasSlot});
        m_backoff.reset();
        m_reportedLoad.reset();
        const bool written = co_await write(*connection, target);
        if (written) {
            end = co_await awaitAnswer(answerTimeout());
        } else {
            m_current.connection.reset();
            co_await recordCrashEvidence(end);
        }
    }
    co_return end;
}

/** A late answer can take the place of another attempt's only if it is sent in one piece. */
bool GatewayExchange::keepsOverdueAttempts() const
{
    return m_route.idempotent && !m_route.streaming;
}

/** Waits for the answer to the current attempt, or for that to an overdue one, which then becomes the current one. */
asio::awaitable<AttemptEnd> GatewayExchange::awaitAnswer(Duration timeout)
{
    if (keepsOverdueAttempts()) {
        std::vector<std::shared_ptr<TargetConnection>> connections{m_current.connection};
        for (const OpenAttempt &overdue : m_overdue) {
            connections.push_back(overdue.connection);
        }
        const std::optional<std::size_t> readable = co_await awaitReadable(std::move(connections), timeout);
        if (!readable && !m_callerGone) {
            co_await setCurrentOverdue();
            co_return AttemptEnd::Overdue;
        }
        if (readable.value_or(0) > 0) {
            std::swap(m_current, m_overdue[*readable - 1]);
            m_group = m_current.group;
        }
    }
    const AttemptEnd end = co_await readAnswer(*m_current.connection, m_current.target);
    m_current.connection.reset();
    if (end == AttemptEnd::Refused) {
        --m_possibleRuns;
    }
    co_await recordCrashEvidence(end);
    co_return end;
}

/** Whether an overdue attempt has been answered or lost. */
bool GatewayExchange::overdueReadable() const
{
    return std::ranges::any_of(m_overdue, [](const OpenAttempt &overdue) {
        return overdue.connection->hasInput();
    });
}

/** Waits for the answer to an overdue attempt, or its loss. */
asio::awaitable<AttemptEnd> GatewayExchange::awaitOverdue()
{
    m_current = std::move(m_overdue.back());
    m_overdue.pop_back();
    m_group = m_current.group;
    AttemptEnd end = AttemptEnd::Broken;
    std::exception_ptr error;
    try {
        end = co_await awaitAnswer(timeLeft());
    } catch (...) {
        error = std::current_exception();
    }
    closeCurrent(end, error);
    co_return end;
}

/** Leaves the current attempt open as an overdue one. Finds out first whether its runner may have ended. */
asio::awaitable<void> GatewayExchange::setCurrentOverdue()
{
    m_reason = "overdue";
    m_state.targets.requestFailed(m_current.target.id, m_state.clock.now());
    m_current.runnerLives = m_state.targets.lastReceived(m_current.target.id) > m_current.sentAt;
    if (!m_current.runnerLives && timeLeft() > kMinTimeToSend) {
        const RunnerProbe probe = co_await m_state.crashWatch->probe(m_current.target);
        m_current.runnerLives = probe == RunnerProbe::Accepts;
    }
    logRequest("attempt-overdue",
               {{"id", m_callerRequest.attemptId},
                {"fingerprint", m_fingerprint.text()},
                {"target", m_current.target.id},
                {"born", std::to_string(m_current.target.born)},
                {"runner_lives", m_current.runnerLives ? "true" : "false"},
                {"sends", std::to_string(m_sends)},
                {"ms", msText(m_state.clock.now() - m_current.began)}});
    m_overdue.push_back(std::move(m_current));
    m_current = {};
}

/**
 * Ends the attempts that are still open when the exchange ends. Their connections are closed, so that their runners stop; only if the deadline
 * has passed, at which runners stop by themselves, they stay open to tell what becomes of the attempt.
 */
void GatewayExchange::closeOverdue()
{
    const TimePoint now = m_state.clock.now();
    for (const OpenAttempt &overdue : m_overdue) {
        m_state.targets.requestEnded(overdue.target.id);
        m_state.attempts.recordEnd(overdue.token, m_callerGone ? RunnerAttempts::Outcome::Resolved : RunnerAttempts::Outcome::Broken, now);
        if (m_callerGone || timeLeft() > kMinTimeToSend || !m_state.crashWatch->watchExpired(overdue)) {
            overdue.connection->stream.close();
        }
        m_targetIds += (m_targetIds.empty() ? "" : ",") + overdue.target.id;
        logAttemptEnd(overdue, "overdue");
    }
    m_overdue.clear();
}

void GatewayExchange::recordAttemptResult(AttemptEnd end)
{
    m_targetIds += (m_targetIds.empty() ? "" : ",") + m_current.target.id;
    if (end == AttemptEnd::Answered) {
        m_state.targets.requestSucceeded(m_current.target.id);
        m_state.pool(m_pool).serviceTime.record(m_state.clock.now() - m_current.began);
        return;
    }
    if (!m_callerGone) {
        logAttemptEnd(m_current, m_reason);
    }
}

void GatewayExchange::logAttemptEnd(const OpenAttempt &attempt, std::string_view reason) const
{
    logRequest("attempt-ended",
               {{"id", m_callerRequest.attemptId},
                {"fingerprint", m_fingerprint.text()},
                {"segments", joined(m_callerRequest.sharedSegments)},
                {"target", attempt.target.id},
                {"born", std::to_string(attempt.target.born)},
                {"group", attempt.group},
                {"reason", reason},
                {"backoff_ms", m_backoff ? msText(*m_backoff) : "none"},
                {"running", m_reportedLoad ? std::to_string(m_reportedLoad->running) : "-"},
                {"waiting", m_reportedLoad ? std::to_string(m_reportedLoad->waiting) : "-"},
                {"sends", std::to_string(m_sends)},
                {"ran", std::to_string(m_possibleRuns)},
                {"ms", msText(m_state.clock.now() - attempt.began)},
                {"events", std::to_string(m_events.events())}});
}

} // namespace fulmarlink
