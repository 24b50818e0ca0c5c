// The life of a request: admit() settles where it may go, serve() sends it until an
// attempt answers or nextStep() says that it must end, finish() tells the caller.
//
// Each co_await stands in a statement of its own: GCC 12 evaluates both branches of a
// conditional expression, and loops wrongly, where one stands inside.
//
// A stream's head is held back until its first whole event is there: until then a
// failed attempt leaves no trace and the request can go to another runner as if new.

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

#include "fulmarlink/log.h"
#include "fulmarlink/mutation.h"
#include "fulmarlink/ruleset.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr Duration kDefaultDeadline = std::chrono::seconds(60); ///< for callers that state none
constexpr Duration kFreshEnoughToDeny = std::chrono::milliseconds(1500); ///< a route or key that an older configuration does not have may be new
constexpr Duration kUnprovedRetry = std::chrono::milliseconds(500); ///< mostly one host has lost the store, and another one takes the request at once
constexpr Duration kRefusedRetry = std::chrono::milliseconds(400);
constexpr std::chrono::milliseconds kConnectTimeout{300}; ///< far above a cross-zone round trip; a lost opening packet comes again only after a second
constexpr Duration kLeastTimeToSend = std::chrono::milliseconds(20); ///< with less left no answer can arrive
constexpr std::chrono::milliseconds kWriteTimeout{4000}; ///< to a caller that does not read
constexpr Duration kSilentPlain
    = std::chrono::milliseconds(200); ///< an idempotent request goes elsewhere after twice its objective, and never sooner than this
constexpr Duration kSilentStream = std::chrono::milliseconds(1000); ///< half of the time after which callers abandon a silent stream
constexpr Duration kDrainAdmits = std::chrono::milliseconds(3000); ///< a stream that begins later may not end before the shutdown limit
constexpr Duration kDrainRetry = std::chrono::milliseconds(50); ///< another entry takes it at once
constexpr Duration kLively = std::chrono::milliseconds(300); ///< a pool that gave a sign of work within this is not stalled
constexpr Duration kStallMargin = std::chrono::milliseconds(150);
constexpr Duration kResumePatience = std::chrono::milliseconds(1900); ///< callers abandon a stream after two seconds without an event
constexpr Duration kResumePause = std::chrono::milliseconds(100);
constexpr std::size_t kReadBytes = 8192;
constexpr std::size_t kMaxPlainBytes = 32U << 20;
constexpr unsigned kMaxForeignAnswers = 3; ///< heads that belong to other requests before a connection is given up
constexpr unsigned kServerError = 500;
constexpr unsigned kHighestRank = 9;

std::chrono::milliseconds wholeMs(Duration value)
{
    return std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(value));
}

std::string msText(Duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

bool isEventStream(const http::fields &head)
{
    return head[http::field::content_type].starts_with("text/event-stream");
}

} // namespace

GatewayExchange::GatewayExchange(GatewayState &state, boost::beast::tcp_stream &caller, HttpRequest request, bool keepAlive)
    : m_state(state)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_keepAlive(keepAlive)
    , m_arrived(state.clock.now())
    , m_facts(state.protocol.readRequest(m_request))
{
    m_info.host = m_facts.host;
    m_info.path = m_facts.path;
    m_info.model = m_facts.model;
    const auto method = m_request.method_string();
    m_info.method.assign(method.data(), method.size());
    m_info.idempotent = methodIsIdempotent(m_info.method);
    m_info.promptTokens = m_facts.promptTokens;
}

GatewayExchange::~GatewayExchange() = default;

bool GatewayExchange::closing() const
{
    return m_state.drainBegan || !m_keepAlive || m_state.proofAges(m_state.clock.now());
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
    const auto it = m_active->keys.find(m_facts.apiKey);
    if (it == m_active->keys.end()) {
        return m_state.config.age(now) < kFreshEnoughToDeny ? refuse(ResultCode::ApiKeyUnknown) : refuse(ResultCode::ConfigurationUnproved, kUnprovedRetry);
    }
    if (!m_state.keysProved(now)) {
        return refuse(ResultCode::ConfigurationUnproved, kUnprovedRetry);
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

bool GatewayExchange::admit()
{
    m_deadline = m_arrived + m_facts.deadline.value_or(kDefaultDeadline);
    if (m_state.drainBegan && m_arrived - *m_state.drainBegan > kDrainAdmits) {
        return refuse(ResultCode::ShuttingDown, kDrainRetry);
    }
    m_active = m_state.config.active();
    if (!m_active) {
        return refuse(ResultCode::NoConfiguration, kUnprovedRetry);
    }
    m_route = m_active->rules->route(m_info);
    if (m_route.refusal != ResultCode::Ok) {
        const bool fresh = m_state.config.age(m_arrived) < kFreshEnoughToDeny;
        return fresh ? refuse(m_route.refusal) : refuse(ResultCode::ConfigurationUnproved, kUnprovedRetry);
    }
    if (m_route.deadline) {
        m_deadline = std::min(m_deadline, m_arrived + *m_route.deadline);
    }
    if (!checkKey()) {
        return false;
    }
    m_pool = choosePool();
    PoolState &pool = m_state.pool(m_pool);
    pool.budget.countRequest(m_arrived);
    PoolLoad load;
    load.runners = m_state.targets.available(m_pool, m_arrived);
    if (const TargetInfo *best = m_state.targets.pick(m_pool, {}, m_arrived, m_state.random)) {
        load.leastLoad = m_state.targets.load(best->id, m_arrived);
        load.leastLoadKnown = true;
    }
    const GateDecision decision = pool.gate.decide(load, m_arrived, m_state.random);
    if (!decision.admitted) {
        m_reason = "load " + std::to_string(load.leastLoad).substr(0, 4) + " ceiling " + std::to_string(pool.gate.ceiling()).substr(0, 4) + " runners "
                   + std::to_string(load.runners);
        return refuse(decision.refusal, decision.retryAfter);
    }
    return true;
}

asio::awaitable<bool> GatewayExchange::run()
{
    ++m_state.exchanges;
    if (admit()) {
        co_await serve();
    } else {
        co_await writeOwn(m_result, m_retryAfter);
    }
    --m_state.exchanges;
    m_state.counters.countResult(m_gone ? ResultCode::CallerGone : m_result);
    m_state.requestDuration.observe(m_state.clock.now() - m_arrived);
    log();
    co_return !m_broken && !m_gone && !closing();
}

void GatewayExchange::callerGone()
{
    m_gone = true;
    if (m_connection) {
        m_connection->stream.close();
    }
}

AttemptState GatewayExchange::attemptState(AttemptEnd end) const
{
    AttemptState state;
    state.end = end;
    state.repeatable = m_route.idempotent;
    state.answerBegun = m_answerBegun;
    state.resumable = m_route.resumable;
    state.ran = m_ran;
    state.sends = m_sends;
    state.maxAttempts = m_route.maxAttempts;
    state.timeLeft = timeLeft() > kLeastTimeToSend;
    return state;
}

/** Whether the configuration of now still lets this request go to its pool. */
bool GatewayExchange::mayRetry()
{
    const TimePoint now = m_state.clock.now();
    const auto active = m_state.config.active();
    if (active != m_active) {
        const Route route = active->rules->route(m_info);
        const bool stays = std::ranges::find(route.pools, m_pool, &PoolShare::pool) != route.pools.end();
        if (route.refusal != ResultCode::Ok || !stays) {
            m_reason = "route-changed";
            return false;
        }
    }
    if (!m_route.anonymous && (!m_state.keysProved(now) || !active->keys.contains(m_facts.apiKey))) {
        m_reason = "key-unproved";
        return false;
    }
    return true;
}

asio::awaitable<void> GatewayExchange::pauseBeforeRetry(Duration pause)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(co_await asio::this_coro::executor, pause);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> GatewayExchange::serve()
{
    PoolState &pool = m_state.pool(m_pool);
    AttemptEnd end = AttemptEnd::NotSent;
    NextStep step = NextStep::Again;
    while (step == NextStep::Again) {
        const TargetInfo *picked = m_state.targets.pick(m_pool, m_tried, m_state.clock.now(), m_state.random);
        if (picked == nullptr && m_answerBegun && !m_tried.empty()) {
            m_tried.clear(); // a runner that broke off may be back
            picked = m_state.targets.pick(m_pool, m_tried, m_state.clock.now(), m_state.random);
        }
        const bool repeat = m_sends > 0;
        if (picked == nullptr || !mayRetry() || (repeat && !pool.budget.takeRepeat(m_state.clock.now()))) {
            m_reason += picked == nullptr ? " no-runner" : repeat ? " budget" : "";
            step = giveUp(attemptState(end));
            break;
        }
        const TargetInfo target = *picked; // the list may change while the attempt lasts
        end = co_await attempt(target);
        if (m_gone) {
            co_return;
        }
        step = nextStep(attemptState(end));
        const bool stalled = pool.gate.stalled();
        if (step == NextStep::Again && stalled && !m_answerBegun && m_ran == 0) {
            step = NextStep::RefuseNotRun;
        }
        while (step == NextStep::Again && stalled && m_answerBegun && !m_gone) {
            co_await pauseBeforeRetry(kResumePause);
            const TimePoint now = m_state.clock.now();
            if (now - m_lastEvent > kResumePatience) {
                step = NextStep::Unknown;
            } else if (pool.gate.decide({1, 0, true}, now, m_state.random).admitted) {
                break;
            }
        }
    }
    if (!m_gone) {
        co_await finish(step);
    }
}

asio::awaitable<AttemptEnd> GatewayExchange::attempt(const TargetInfo &target)
{
    const TimePoint began = m_state.clock.now();
    m_target = target.id;
    m_tried.insert(target.id);
    m_state.targets.sent(target.id);
    AttemptEnd end = AttemptEnd::NotSent;
    const auto connection = co_await m_state.connections->acquire(target, std::min(kConnectTimeout, wholeMs(timeLeft())));
    if (!connection) {
        m_reason = "connect";
        m_state.targets.failed(target.id, m_state.clock.now());
    } else if (m_gone || !m_state.targets.mayTake(target.id, m_state.clock.now()) || !mayRetry()) {
        m_reason = "leaving";
        connection->idleLimit = TargetConnections::kDefaultIdle;
        m_state.connections->release(connection);
    } else {
        m_connection = connection;
        ++m_sends;
        ++m_ran;
        end = AttemptEnd::Broken;
        const bool written = co_await write(*connection, target);
        if (written) {
            end = co_await readAnswer(*connection, target);
        }
        m_connection.reset();
        if (end == AttemptEnd::Refused) {
            --m_ran;
        }
    }
    m_state.targets.ended(target.id);
    noteAttempt(target, end, began);
    co_return end;
}

void GatewayExchange::noteAttempt(const TargetInfo &target, AttemptEnd end, TimePoint began)
{
    m_targets += (m_targets.empty() ? "" : ",") + target.id;
    if (end == AttemptEnd::Answered) {
        m_state.targets.succeeded(target.id);
        return;
    }
    if (m_gone) {
        return;
    }
    const TimePoint now = m_state.clock.now();
    logRequest("attempt-ended",
               {{"id", m_facts.attemptId},
                {"target", target.id},
                {"reason", m_reason},
                {"sends", std::to_string(m_sends)},
                {"ran", std::to_string(m_ran)},
                {"ms", msText(now - began)},
                {"events", std::to_string(m_events.events())}});
}

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
    connection.stream.expires_after(wholeMs(timeLeft()));
    co_await http::async_write(connection.stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        m_reason = "write: " + error.message();
        m_state.targets.failed(target.id, m_state.clock.now());
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
    const bool lively = now - m_state.pools.at(m_pool).gate.lastAnswer() < kLively;
    const bool alive = now - m_state.targets.lastHeard(m_target) < kSilentStream; // it answers others: this request waits its turn
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

asio::awaitable<AttemptEnd> GatewayExchange::readAnswer(TargetConnection &connection, const TargetInfo &target)
{
    for (unsigned foreign = 0; foreign < kMaxForeignAnswers; ++foreign) {
        std::unique_ptr<AnswerParser> parser;
        connection.stream.expires_after(wholeMs(answerPatience()));
        const boost::system::error_code error = co_await readHead(connection, parser);
        if (error) {
            const bool silent = error == boost::beast::error::timeout;
            m_reason = silent ? "silent" : "head: " + error.message();
            if (!m_gone) {
                m_state.targets.failed(target.id, m_state.clock.now());
            }
            co_return AttemptEnd::Broken;
        }
        const auto &head = parser->get();
        const RunnerAnswer answer = m_state.protocol.readAnswer(head.result_int(), head);
        connection.idleLimit = answer.keepAlive ? Duration(*answer.keepAlive) - TargetConnections::kIdleMargin : TargetConnections::kDefaultIdle;
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
        if (answer.load) {
            m_state.targets.loadReported(target.id, *answer.load, now);
        }
        PoolGate &gate = m_state.pool(m_pool).gate;
        if (answer.notRun) {
            gate.refusalSeen(now);
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
            m_state.targets.failed(target.id, now);
            co_return AttemptEnd::Broken;
        }
        gate.answerSeen(now);
        m_state.targets.heard(target.id, now);
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
    connection.stream.expires_after(wholeMs(timeLeft()));
    const boost::system::error_code error = co_await readBody(connection, parser, body);
    if (error) {
        m_reason = "body: " + error.message();
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
    const Duration silence = Duration(m_state.settings.stall) + kStallMargin;
    while (!parser.is_done()) {
        auto &piece = parser.get().body();
        piece.data = bytes.data();
        piece.size = bytes.size();
        connection.stream.expires_after(wholeMs(std::min(timeLeft(), silence)));
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
        if (error || m_events.tooLong()) {
            m_reason = "stream: " + error.message();
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

void GatewayExchange::noteEvents(TimePoint now)
{
    PoolGate &gate = m_state.pool(m_pool).gate;
    gate.answerSeen(now);
    m_state.targets.heard(m_target, now);
    const bool first = m_firstEvent == TimePoint{};
    const Duration pause = first ? now - m_arrived : now - m_lastEvent;
    const Duration target = first ? m_route.objective : m_route.gapTarget;
    if (first) {
        m_firstEvent = now;
        m_state.firstEvent.observe(pause);
    } else {
        m_state.eventPause.observe(pause);
        m_longestPause = std::max(m_longestPause, pause);
        gate.pauseSeen(pause, now);
        gate.recentPause(now); // keeps the window short
    }
    m_lastEvent = now;
    if (target > Duration(0)) {
        gate.paceSeen(std::chrono::duration<double>(pause) / std::chrono::duration<double>(target), now);
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

ResultCode GatewayExchange::unknownCode() const
{
    if (m_answerBegun) {
        return ResultCode::AnswerCutShort;
    }
    if (timeLeft() <= kLeastTimeToSend) {
        return ResultCode::DeadlineAfterDispatch;
    }
    return m_reason == "invalid" || m_reason.starts_with("foreign") ? ResultCode::AnswerInvalid : ResultCode::EngineBroke;
}

asio::awaitable<void> GatewayExchange::finish(NextStep step)
{
    switch (step) {
    case NextStep::Deliver:
    case NextStep::Again:
        break;
    case NextStep::RefuseNotRun:
        m_result = m_sends > 0 ? ResultCode::RunnerBusy : ResultCode::NoRunnerReachable;
        m_retryAfter = Duration(kRefusedRetry.count() / 2 + static_cast<Duration::rep>(m_state.random() % static_cast<std::uint64_t>(kRefusedRetry.count())));
        co_await writeOwn(m_result, m_retryAfter);
        break;
    case NextStep::PassFailure:
        m_result = ResultCode::RunnerFailed;
        co_await writeWhole(m_failure);
        break;
    case NextStep::Unknown:
        m_result = unknownCode();
        if (m_answerBegun) {
            m_broken = true;
        } else {
            co_await writeOwn(m_result, Duration(0));
        }
        break;
    }
}

asio::awaitable<void> GatewayExchange::writeOwn(ResultCode code, Duration retryAfter)
{
    const ResultInfo &info = resultInfo(code);
    HttpResponse response(static_cast<http::status>(info.httpStatus), 11);
    m_state.protocol.writeOwnAnswer(response, m_facts.attemptId, info.retryLater ? std::optional(retryAfter) : std::nullopt);
    response.set("Fulmarlink-Result", std::to_string(static_cast<int>(code)) + ' ' + std::string(info.name));
    response.set(http::field::content_type, "text/plain");
    response.body() = std::string(info.meaning) + '\n';
    co_await writeWhole(response);
}

asio::awaitable<void> GatewayExchange::writeWhole(HttpResponse &response)
{
    response.keep_alive(!closing());
    response.prepare_payload();
    m_answerBegun = true;
    m_status = response.result_int();
    boost::system::error_code error;
    m_caller.expires_after(kWriteTimeout);
    co_await http::async_write(m_caller, response, asio::redirect_error(asio::use_awaitable, error));
    m_broken = m_broken || error;
}

void GatewayExchange::log() const
{
    const TimePoint now = m_state.clock.now();
    const ResultInfo &info = resultInfo(m_gone ? ResultCode::CallerGone : m_result);
    logRequest("request",
               {{"id", m_facts.attemptId},
                {"route", m_route.name},
                {"pool", m_pool},
                {"customer", m_customer},
                {"config", std::to_string(m_state.config.version())},
                {"proof_ms", msText(m_state.config.age(now))},
                {"targets", m_targets},
                {"sends", std::to_string(m_sends)},
                {"ran", std::to_string(m_ran)},
                {"result", info.name},
                {"status", std::to_string(m_status)},
                {"reason", m_reason},
                {"retry_ms", msText(m_retryAfter)},
                {"first_ms", m_firstEvent == TimePoint{} ? "-" : msText(m_firstEvent - m_arrived)},
                {"pause_ms", msText(m_longestPause)},
                {"left_ms", msText(timeLeft())},
                {"ms", msText(now - m_arrived)}});
}

} // namespace fulmarlink
