// What passes between a runner and the caller of one exchange: the request on its way out,
// the answer's head, whole bodies, events.
//
// Each co_await stands in a statement of its own: GCC 12 evaluates both branches of a
// conditional expression, and loops wrongly, where one stands inside.

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

#include "fulmarlink/limitwatch.h"
#include "fulmarlink/mutation.h"
#include "fulmarlink/signalwatch.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr Duration kSilentPlain
    = std::chrono::milliseconds(200); ///< an idempotent request goes elsewhere after twice its objective, and never sooner than this
constexpr Duration kSilentStream = std::chrono::milliseconds(1000); ///< half of the time after which callers abandon a silent stream
constexpr Duration kLively = std::chrono::milliseconds(300); ///< a pool that gave a sign of work within this is not stalled
constexpr Duration kStallMargin = std::chrono::milliseconds(150);
constexpr std::size_t kReadBytes = 8192;
constexpr std::size_t kMaxPlainBytes = 32U << 20;
constexpr unsigned kMaxForeignAnswers = 3; ///< heads that belong to other requests before a connection is given up
constexpr unsigned kServerError = 500;
constexpr unsigned kHighestRank = 9;

bool isEventStream(const http::fields &head)
{
    return head[http::field::content_type].starts_with("text/event-stream");
}

} // namespace

asio::awaitable<bool> GatewayExchange::write(TargetConnection &connection, const TargetInfo &target)
{
    HttpRequest request = m_request;
    RunnerRequest extra;
    extra.targetId = target.id;
    extra.customer = m_customer;
    extra.timeLeft = timeLeft();
    extra.lastEventId = m_events.lastId();
    extra.priority = std::min(kHighestRank, m_route.rank);
    m_state.protocol.writeRequest(request, extra);
    boost::system::error_code error;
    connection.stream.expires_after(timerMs(timeLeft()));
    co_await http::async_write(connection.stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        m_reason = "write: " + error.message();
        m_cut = error != boost::beast::error::timeout;
        m_state.targets.requestFailed(target.id, m_state.clock.now());
    }
    co_return !error;
}

Duration GatewayExchange::answerPatience() const
{
    const Duration left = timeLeft();
    const bool another = m_ran < m_route.maxAttempts && m_sends < kMaxSends;
    if (!another || !m_route.idempotent) {
        return left;
    }
    if (!m_route.streaming) {
        return std::min(left, std::max(m_route.objective * 2, kSilentPlain));
    }
    const TimePoint now = m_state.clock.now();
    const bool lively = now - m_state.pool(m_pool).gate(m_group).lastAnswer() < kLively;
    const bool alive = now - m_state.targets.lastReceived(m_target) < kSilentStream; // it answers others: this request waits its turn
    return lively && !alive ? std::min(left, std::max(m_route.objective * 2, kSilentStream)) : left;
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

asio::awaitable<boost::system::error_code> GatewayExchange::readBody(TargetConnection &connection, AnswerParser &parser, std::string &body)
{
    std::array<char, kReadBytes> bytes{};
    boost::system::error_code error;
    while (!parser.is_done() && body.size() <= kMaxPlainBytes) {
        auto &piece = parser.get().body();
        piece.data = bytes.data();
        piece.size = bytes.size();
        co_await http::async_read(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer) {
            error = {};
        }
        body.append(bytes.data(), bytes.size() - piece.size);
        if (error) {
            co_return error;
        }
    }
    co_return parser.is_done() ? boost::system::error_code() : http::error::body_limit;
}

/** A refusal speaks for the group if it names another rank, or if slots are full; otherwise for its runner alone. */
void GatewayExchange::noteRefusal(const TargetInfo &target, const RunnerAnswer &answer)
{
    const TimePoint now = m_state.clock.now();
    if (answer.backoff && *answer.backoff > Duration(0)) {
        return; // it is known for how long
    }
    const bool ownChoice = answer.speaksForTarget && answer.faultyTarget.empty() && m_state.targets.requestRefused(target.id, answer.load, now);
    if (!ownChoice) {
        gate().recordRefusal(now);
    }
}

asio::awaitable<AttemptEnd> GatewayExchange::readAnswer(TargetConnection &connection, const TargetInfo &target)
{
    for (unsigned foreign = 0; foreign < kMaxForeignAnswers; ++foreign) {
        std::unique_ptr<AnswerParser> parser;
        connection.stream.expires_after(timerMs(answerPatience()));
        const boost::system::error_code error = co_await readHead(connection, parser);
        if (error) {
            const bool silent = error == boost::beast::error::timeout;
            m_reason = silent ? "silent" : "head: " + error.message();
            m_cut = !silent;
            if (!m_gone) {
                m_state.targets.requestFailed(target.id, m_state.clock.now());
            }
            co_return AttemptEnd::Broken;
        }
        const auto &head = parser->get();
        const RunnerAnswer answer = m_state.protocol.readAnswer(head.result_int(), head);
        connection.idleLimit = answer.keepAlive ? Duration(*answer.keepAlive) - TargetConnections::kIdleMargin : TargetConnections::kDefaultIdle;
        m_state.signalWatch->handleAnswer(target, answer, m_facts.attemptId);
        const bool foreignAnswer = !answer.attemptId.empty() && answer.attemptId != m_facts.attemptId;
        if (foreignAnswer && !mutated(Mutation::TrustForeignAnswer)) {
            std::string dropped;
            const boost::system::error_code dropError = co_await readBody(connection, *parser, dropped);
            if (dropError) {
                m_reason = "foreign answer: " + dropError.message();
                co_return AttemptEnd::Broken;
            }
            continue;
        }
        const TimePoint now = m_state.clock.now();
        m_backoff = answer.backoff;
        m_toldLoad = answer.load;
        m_state.limitWatch->handleAnswer(target, answer, m_attemptSent, m_facts.attemptId);
        if (answer.load) {
            m_state.targets.loadReported(target.id, *answer.load, now);
        }
        if (answer.notRun) {
            noteRefusal(target, answer);
            m_reason = "refused " + std::to_string(head.result_int()) + (answer.faultyTarget.empty() ? "" : " by " + answer.faultyTarget);
            std::string dropped;
            const boost::system::error_code dropError = co_await readBody(connection, *parser, dropped);
            if (!dropError && parser->keep_alive() && m_connection) {
                m_state.connections->release(m_connection);
            }
            co_return AttemptEnd::Refused;
        }
        if (answer.attemptId.empty() || (head.result_int() < 300 && !answer.sealed)) {
            m_reason = "invalid";
            m_state.targets.requestFailed(target.id, now);
            co_return AttemptEnd::Broken;
        }
        gate().recordAnswer(now);
        m_state.signals.recordAccepted({target.id, target.born}, m_attemptSent, target.slots);
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
    if (error) {
        m_reason = "body: " + error.message();
        m_cut = error != boost::beast::error::timeout;
        co_return AttemptEnd::Broken;
    }
    if (parser.keep_alive() && m_connection) {
        m_state.connections->release(m_connection);
    }
    if (m_answerBegun) { // a resumed stream got a failure
        m_reason = "resume failed " + std::to_string(parser.get().result_int());
        co_return AttemptEnd::Failed;
    }
    HttpResponse response(parser.get().result(), 11);
    m_state.protocol.copyAnswerHead(parser.get(), response);
    response.body() = std::move(body);
    if (response.result_int() >= kServerError) {
        m_reason = "failed " + std::to_string(response.result_int());
        m_failure = std::move(response);
        co_return AttemptEnd::Failed;
    }
    if (!m_gone) {
        co_await writeWhole(response);
    }
    co_return AttemptEnd::Answered;
}

asio::awaitable<AttemptEnd> GatewayExchange::relayStream(TargetConnection &connection, AnswerParser &parser)
{
    std::array<char, kReadBytes> bytes{};
    boost::system::error_code error;
    const Duration silence = Duration(m_state.settings.stallTimeout) + kStallMargin;
    while (!parser.is_done()) {
        auto &piece = parser.get().body();
        piece.data = bytes.data();
        piece.size = bytes.size();
        connection.stream.expires_after(timerMs(std::min(timeLeft(), silence)));
        co_await http::async_read_some(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer) {
            error = {};
        }
        m_events.push({bytes.data(), bytes.size() - piece.size});
        const std::string whole = m_events.takeWhole();
        if (!whole.empty() && !m_gone) {
            noteEvents(m_state.clock.now());
            bool taken = co_await writeStreamHead(parser);
            if (taken) {
                taken = co_await writeEvents(whole);
            }
            if (!taken) {
                m_reason = "caller does not read";
                m_broken = true;
                co_return AttemptEnd::Broken;
            }
        }
        if (!error && !parser.is_done() && shouldMove()) {
            m_reason = "moved from a slow runner";
            m_events.reset();
            co_return AttemptEnd::Broken;
        }
        if (error || m_events.tooLong()) {
            m_reason = "stream: " + error.message();
            m_cut = error && error != boost::beast::error::timeout;
            m_events.reset();
            co_return AttemptEnd::Broken;
        }
    }
    if (m_events.partial()) {
        m_reason = "stream: it ended inside an event";
        m_events.reset();
        co_return AttemptEnd::Broken;
    }
    if (parser.keep_alive() && m_connection) {
        m_state.connections->release(m_connection);
    }
    static const std::string kLastChunk = "0\r\n\r\n";
    bool taken = false;
    if (!m_gone) {
        taken = co_await writeStreamHead(parser);
    }
    if (taken) {
        co_await asio::async_write(m_caller, asio::buffer(kLastChunk), asio::redirect_error(asio::use_awaitable, error));
    }
    m_broken = m_broken || error;
    co_return AttemptEnd::Answered;
}

/**
 * Whether the stream should go on at another runner since its own is slow. A group in
 * lock-step waits for the slow rank's writers for as long as they last: with 12 of them at a
 * twelfth of the speed passes stay at 0.3 s for 4 s after its experts have been taken away.
 */
bool GatewayExchange::shouldMove()
{
    if (!m_route.resumable || !m_state.targets.isSlow(m_target) || m_gone) {
        return false;
    }
    const TimePoint now = m_state.clock.now();
    const TargetInfo *other = m_state.targets.pick(m_pool, m_tried, now, m_state.random);
    const bool better = other != nullptr && !m_state.targets.isSlow(other->id);
    AttemptState state = attemptState(AttemptEnd::Broken);
    return better && mayRetry() && nextStep(state) == NextStep::Again && m_state.pool(m_pool).budget.canTakeRepeat(now);
}

void GatewayExchange::noteEvents(TimePoint now)
{
    PoolGate &gate = this->gate();
    gate.recordAnswer(now);
    m_state.targets.dataReceived(m_target, now);
    m_state.attempts.markAnswering(m_attempt);
    const bool first = m_firstEvent == TimePoint{};
    const Duration pause = first ? now - m_arrived : now - m_lastEvent;
    const Duration target = first ? m_route.objective : m_route.gapTarget;
    if (first) {
        m_firstEvent = now;
        m_state.firstEventDelay.observe(pause);
    } else {
        m_state.eventInterval.observe(pause);
        m_longestPause = std::max(m_longestPause, pause);
        gate.recordEventInterval(pause, target, now);
    }
    m_lastEvent = now;
    if (target > Duration(0)) {
        gate.recordLatencyRatio(std::chrono::duration<double>(pause) / std::chrono::duration<double>(target), now);
    }
}

asio::awaitable<bool> GatewayExchange::writeStreamHead(const AnswerParser &parser)
{
    if (m_answerBegun) {
        co_return !m_broken;
    }
    http::response<http::empty_body> response(parser.get().result(), 11);
    m_state.protocol.copyAnswerHead(parser.get(), response);
    response.chunked(true);
    response.keep_alive(!closing());
    http::response_serializer<http::empty_body> serializer(response);
    boost::system::error_code error;
    m_answerBegun = true;
    m_status = response.result_int();
    m_caller.expires_after(kWriteTimeout);
    co_await http::async_write_header(m_caller, serializer, asio::redirect_error(asio::use_awaitable, error));
    m_broken = m_broken || error;
    co_return !error;
}

asio::awaitable<bool> GatewayExchange::writeEvents(std::string events)
{
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), events.size(), 16).ptr;
    std::string chunk(size.data(), end);
    chunk += "\r\n";
    chunk += events;
    chunk += "\r\n";
    boost::system::error_code error;
    m_caller.expires_after(kWriteTimeout);
    co_await asio::async_write(m_caller, asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

} // namespace fulmarlink
