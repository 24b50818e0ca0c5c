// Data transfer of an exchange between runner and caller: the outgoing request, the response
// head, buffered bodies and event streams.
//
// Each co_await is a statement of its own; the reason is in gatewayexchange.cpp.

#include "fulmarlink/gatewayexchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

#include "fulmarlink/crashwatch.h"
#include "fulmarlink/limitwatch.h"
#include "fulmarlink/mutation.h"
#include "fulmarlink/signalwatch.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr Duration kMinAnswerTimeout
    = std::chrono::milliseconds(200); ///< an idempotent request goes to another runner after twice its objective, but not sooner than this
constexpr Duration kMinStreamHeadTimeout = std::chrono::milliseconds(1000); ///< half the time after which callers abandon a silent stream
constexpr Duration kRecentAnswer = std::chrono::milliseconds(300); ///< a pool that answered within this time is not stalled
constexpr Duration kStallMargin = std::chrono::milliseconds(150);
constexpr unsigned kMaxForeignAnswers = 3; ///< answers to other requests that are skipped before the connection is given up
constexpr unsigned kServerError = 500;
constexpr unsigned kMaxPriority = 9;

bool isEventStream(const http::fields &head)
{
    return head[http::field::content_type].starts_with("text/event-stream");
}

} // namespace

asio::awaitable<bool> GatewayExchange::write(TargetConnection &connection, const TargetInfo &target)
{
    HttpRequest request;
    request.base() = m_request.base();
    request.body().swap(m_request.body()); // lent, not copied: bodies are large
    RunnerRequest runnerRequest;
    runnerRequest.targetId = target.id;
    runnerRequest.customer = m_customer;
    runnerRequest.timeLeft = timeLeft();
    runnerRequest.lastEventId = m_events.lastId();
    runnerRequest.priority = std::min(kMaxPriority, m_route.rank);
    m_state.protocol.writeRequest(request, runnerRequest);
    boost::system::error_code error;
    connection.stream.expires_after(timerMs(timeLeft()));
    m_current.requestBytes = co_await http::async_write(connection.stream, request, asio::redirect_error(asio::use_awaitable, error));
    request.body().swap(m_request.body());
    if (error) {
        m_reason = "write: " + error.message();
        m_connectionEnd = connectionEnd(error, false);
        m_state.targets.requestFailed(target.id, m_state.clock.now());
    }
    co_return !error;
}

Duration GatewayExchange::answerTimeout() const
{
    const Duration left = timeLeft();
    const bool attemptsLeft = m_possibleRuns < m_route.maxAttempts && m_sends < kMaxSends;
    if (!attemptsLeft || !m_route.idempotent) {
        return left;
    }
    if (!m_route.streaming) {
        return std::min(left, std::max(m_route.objective * 2, kMinAnswerTimeout));
    }
    const TimePoint now = m_state.clock.now();
    const bool poolAnswers = now - m_state.pool(m_pool).gate(m_group).lastAnswer() < kRecentAnswer;
    const bool runnerAnswers
        = now - m_state.targets.lastReceived(m_current.target.id) < kMinStreamHeadTimeout; // it answers other requests, so this one is queued there
    return poolAnswers && !runnerAnswers ? std::min(left, std::max(m_route.objective * 2, kMinStreamHeadTimeout)) : left;
}

asio::awaitable<boost::system::error_code> GatewayExchange::readHead(TargetConnection &connection, std::unique_ptr<AnswerParser> &parser)
{
    boost::system::error_code error;
    do {
        parser = std::make_unique<AnswerParser>();
        parser->body_limit(boost::none);
        co_await http::async_read_header(connection.stream, connection.buffer, *parser, asio::redirect_error(asio::use_awaitable, error));
    } while (!error && parser->get().result_int() < 200);
    co_return error;
}

/** Counts a refusal against the group if it names another rank or the slots are full, otherwise against its runner only. */
void GatewayExchange::recordRunnerRefusal(const TargetInfo &target, const RunnerAnswer &answer)
{
    const TimePoint now = m_state.clock.now();
    if (answer.backoff && *answer.backoff > Duration(0)) {
        return; // the backoff time already covers this refusal
    }
    const bool runnerOnly = answer.speaksForTarget && answer.faultyTarget.empty() && m_state.targets.requestRefused(target.id, answer.load, now);
    if (!runnerOnly) {
        gate().recordRefusal(now);
    }
}

asio::awaitable<AttemptEnd> GatewayExchange::readAnswer(TargetConnection &connection, const TargetInfo &target)
{
    for (unsigned foreign = 0; foreign < kMaxForeignAnswers; ++foreign) {
        std::unique_ptr<AnswerParser> parser;
        connection.stream.expires_after(timerMs(answerTimeout()));
        const boost::system::error_code error = co_await readHead(connection, parser);
        if (error) {
            const bool silent = error == boost::beast::error::timeout;
            m_reason = silent ? "silent" : "head: " + error.message();
            m_connectionEnd = connectionEnd(error, parser->got_some());
            if (!m_callerGone) {
                m_state.targets.requestFailed(target.id, m_state.clock.now());
            }
            co_return AttemptEnd::Broken;
        }
        const auto &head = parser->get();
        const RunnerAnswer answer = m_state.protocol.readAnswer(head.result_int(), head);
        connection.idleLimit = answer.keepAlive ? Duration(*answer.keepAlive) - TargetConnections::kIdleMargin : TargetConnections::kDefaultIdle;
        m_state.signalWatch->handleAnswer(target, answer, m_callerRequest.attemptId);
        // Runners answer with the request's id. An answer without one may be an additional answer to an earlier request, if there was one on the connection.
        const bool namesOther = answer.attemptId != m_callerRequest.attemptId;
        const bool foreignAnswer = namesOther && (!answer.attemptId.empty() || connection.reused);
        if (foreignAnswer && !mutated(Mutation::TrustForeignAnswer)) {
            const boost::system::error_code discardError = co_await discardBody(connection, *parser);
            if (discardError) {
                m_reason = "foreign answer: " + discardError.message();
                co_return AttemptEnd::Broken;
            }
            continue;
        }
        const TimePoint now = m_state.clock.now();
        m_backoff = answer.backoff;
        m_askedToBackOff = m_askedToBackOff || answer.backoff;
        m_reportedLoad = answer.load;
        m_state.limitWatch->handleAnswer(target, answer, m_current.sentAt, m_callerRequest.attemptId);
        if (answer.load) {
            m_state.targets.loadReported(target.id, *answer.load, now);
        }
        if (answer.speaksForTarget) {
            m_state.crashWatch->runnerAnswered({target.id, target.born});
        }
        if (answer.notRun) {
            recordRunnerRefusal(target, answer);
            m_reason = "refused " + std::to_string(head.result_int()) + (answer.faultyTarget.empty() ? "" : " by " + answer.faultyTarget);
            const boost::system::error_code discardError = co_await discardBody(connection, *parser);
            if (!discardError && parser->keep_alive() && m_current.connection) {
                m_state.connections->release(m_current.connection);
            }
            co_return AttemptEnd::Refused;
        }
        if (answer.attemptId.empty() || (head.result_int() < 300 && !answer.isSigned)) {
            m_reason = "invalid";
            m_state.targets.requestFailed(target.id, now);
            co_return AttemptEnd::Broken;
        }
        gate().recordAnswer(now);
        m_state.signals.recordAccepted({target.id, target.born}, m_current.sentAt, target.slots);
        m_state.targets.requestAccepted(target.id);
        m_state.targets.dataReceived(target.id, now);
        const bool stream = m_route.streaming && head.result_int() == 200 && isEventStream(head);
        AttemptEnd end = AttemptEnd::Broken;
        if (stream) {
            end = co_await relayStream(connection, *parser);
        } else {
            end = co_await relayPlain(connection, *parser);
        }
        co_return end;
    }
    m_reason = "foreign answers";
    co_return AttemptEnd::Broken;
}

asio::awaitable<AttemptEnd> GatewayExchange::relayPlain(TargetConnection &connection, AnswerParser &parser)
{
    std::string body;
    connection.stream.expires_after(timerMs(timeLeft()));
    const boost::system::error_code error = co_await readBody(connection, parser, body);
    if (error == asio::error::no_buffer_space && !m_answerBegun && parser.get().result_int() < kServerError) {
        const AttemptEnd end = co_await relayUnbuffered(connection, parser, std::move(body));
        co_return end;
    }
    if (error) {
        m_reason = "body: " + error.message();
        m_connectionEnd = connectionEnd(error, true);
        co_return AttemptEnd::Broken;
    }
    if (parser.keep_alive() && m_current.connection) {
        m_state.connections->release(m_current.connection);
    }
    if (m_answerBegun) { // the runner failed the resumption of a stream
        m_reason = "resume failed " + std::to_string(parser.get().result_int());
        co_return AttemptEnd::Failed;
    }
    HttpResponse response(parser.get().result(), 11);
    m_state.protocol.copyAnswerHead(parser.get(), response);
    response.body() = std::move(body);
    if (response.result_int() >= kServerError) {
        m_reason = "failed " + std::to_string(response.result_int());
        m_runnerFailure = std::move(response);
        co_return AttemptEnd::Failed;
    }
    if (!m_callerGone) {
        co_await writeResponse(response);
    }
    co_return AttemptEnd::Answered;
}

asio::awaitable<AttemptEnd> GatewayExchange::relayStream(TargetConnection &connection, AnswerParser &parser)
{
    std::array<char, kReadBufferBytes> bytes{};
    boost::system::error_code error;
    const Duration stallLimit = Duration(m_state.settings.stallTimeout) + kStallMargin;
    while (!parser.is_done()) {
        auto &piece = parser.get().body();
        piece.data = bytes.data();
        piece.size = bytes.size();
        connection.stream.expires_after(timerMs(std::min(timeLeft(), stallLimit)));
        co_await http::async_read_some(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer) {
            error = {};
        }
        m_events.push({bytes.data(), bytes.size() - piece.size});
        const std::string completeEvents = m_events.takeCompleteEvents();
        if (!completeEvents.empty() && !m_callerGone) {
            recordEvents(m_state.clock.now());
            bool written = co_await writeAnswerHead(parser, std::nullopt);
            if (written) {
                written = co_await writeChunk(completeEvents);
            }
            if (!written) {
                m_reason = "caller does not read";
                m_callerConnectionBroken = true;
                co_return AttemptEnd::Broken;
            }
        }
        if (!error && !parser.is_done() && shouldMoveStream()) {
            m_reason = "moved from a slow runner";
            m_events.reset();
            co_return AttemptEnd::Broken;
        }
        if (error || m_events.tooLong()) {
            m_reason = "stream: " + error.message();
            m_connectionEnd = connectionEnd(error, true);
            m_events.reset();
            co_return AttemptEnd::Broken;
        }
    }
    // Without a length or chunks the end of the connection ends the stream, also if the runner broke it off.
    const bool startsAtFirstEvent = m_callerRequest.lastEventId.empty();
    const bool lacksEvents = parser.need_eof() && m_events.events() == 0 && startsAtFirstEvent;
    if (m_events.partial() || lacksEvents) {
        m_reason = lacksEvents ? "stream: ended before its first event" : "stream: ended inside an event";
        m_connectionEnd = parser.need_eof() ? ConnectionEnd::InOrder : ConnectionEnd::Open;
        m_events.reset();
        co_return AttemptEnd::Broken;
    }
    if (parser.keep_alive() && m_current.connection) {
        m_state.connections->release(m_current.connection);
    }
    bool written = false;
    if (!m_callerGone) {
        written = co_await writeAnswerHead(parser, std::nullopt);
    }
    if (written) {
        written = co_await writeToCaller(std::string(kLastChunk));
        m_callerConnectionBroken = m_callerConnectionBroken || !written;
    }
    co_return AttemptEnd::Answered;
}

/**
 * Whether to move the stream to another runner because its own is slow. A group runs in
 * lock-step and waits for the slow rank as long as that rank has streams: with 12 streams at
 * a twelfth of the speed, passes stay at 0.3 s for 4 s after its experts have been moved away.
 */
bool GatewayExchange::shouldMoveStream()
{
    if (!m_route.resumable || !m_state.targets.isSlow(m_current.target.id) || m_callerGone) {
        return false;
    }
    const TimePoint now = m_state.clock.now();
    const TargetInfo *other = m_state.targets.pick(m_pool, m_triedTargets, now, m_state.random);
    const bool better = other != nullptr && !m_state.targets.isSlow(other->id);
    AttemptState state = attemptState(AttemptEnd::Broken);
    return better && mayRetry() && nextStep(state) == NextStep::Again && m_state.pool(m_pool).budget.canTakeRepeat(now);
}

void GatewayExchange::recordEvents(TimePoint now)
{
    PoolGate &gate = this->gate();
    gate.recordAnswer(now);
    m_state.targets.dataReceived(m_current.target.id, now);
    m_state.attempts.markAnswering(m_current.token);
    const bool first = m_firstEventTime == TimePoint{};
    const Duration interval = first ? now - m_arrived : now - m_lastEventTime;
    const Duration latencyTarget = first ? m_route.objective : m_route.gapTarget;
    if (first) {
        m_firstEventTime = now;
        m_state.crashWatch->segmentsAnswered(m_crashKeys.segments);
        m_state.firstEventDelay.observe(interval);
    } else {
        m_state.eventInterval.observe(interval);
        m_maxEventInterval = std::max(m_maxEventInterval, interval);
        gate.recordEventInterval(interval, latencyTarget, now);
    }
    m_lastEventTime = now;
    if (latencyTarget > Duration(0)) {
        gate.recordLatencyRatio(std::chrono::duration<double>(interval) / std::chrono::duration<double>(latencyTarget), now);
    }
}

} // namespace fulmarlink
