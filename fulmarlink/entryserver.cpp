#include "fulmarlink/entryserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <charconv>

#include "fulmarlink/callerstream.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr int kHttp11 = 11;
constexpr std::size_t kAckBytes = 32U << 10; ///< taken by the caller since the last acknowledgement; an eighth of the agent's window
constexpr std::size_t kPrefixBytes = 1024; ///< of a prompt, for cache affinity
constexpr std::chrono::seconds kWriteTimeout{60};

std::string toString(beast::string_view view)
{
    return {view.data(), view.size()};
}

std::string_view toStd(beast::string_view view)
{
    return {view.data(), view.size()};
}

ResultCode codeFor(const boost::system::error_code &error)
{
    if (error == http::error::header_limit) {
        return ResultCode::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return ResultCode::BodyTooLarge;
    }
    return error == beast::error::timeout ? ResultCode::SlowSender : ResultCode::MalformedRequest;
}

std::string refusalBody(ResultCode code)
{
    const ResultInfo &info = resultInfo(code);
    return boost::json::serialize(boost::json::object{{"code", static_cast<int>(code)},
                                                      {"result", boost::json::string_view(info.name.data(), info.name.size())},
                                                      {"outcome", boost::json::string_view(outcomeName(info.outcome).data(), outcomeName(info.outcome).size())},
                                                      {"message", boost::json::string_view(info.meaning.data(), info.meaning.size())}})
           + '\n';
}

bool hasBody(const std::string &method, unsigned status)
{
    return method != "HEAD" && status != 204 && status != 304;
}

} // namespace

/** One request and its answer on a connection. */
struct EntryServer::Exchange {
    explicit Exchange(Stream &connection)
        : stream(connection)
    {
    }

    Stream &stream;
    std::shared_ptr<CallerStream> caller;
    std::uint64_t id = 0;
    std::string method;
    bool keepAlive = true;
    bool headWritten = false;
    bool bodyAllowed = true;
    bool eventStream = false;
    bool finished = false;
    bool usable = false; ///< the connection may carry another request
    std::size_t unacked = 0; ///< bytes
};

EntryServer::EntryServer(asio::any_io_executor executor, const EntrySettings &settings, CallerHandler &handler, const Clock &clock, Counters &counters)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_handler(handler)
    , m_clock(clock)
    , m_counters(counters)
    , m_acceptor(asio::make_strand(m_executor))
{
}

std::uint16_t EntryServer::listen()
{
    const tcp::endpoint endpoint(asio::ip::make_address(m_settings.listen.address), m_settings.listen.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    const std::uint16_t port = m_acceptor.local_endpoint().port();
    asio::co_spawn(
        m_acceptor.get_executor(),
        [self = shared_from_this()]() -> asio::awaitable<void> {
            co_await self->acceptLoop();
        },
        asio::detached);
    return port;
}

asio::awaitable<void> EntryServer::acceptLoop()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket(asio::make_strand(m_executor));
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (!m_acceptor.is_open()) {
            co_return;
        }
        if (error || m_connections >= m_settings.maxConnections) {
            continue; // closes the socket
        }
        ++m_connections;
        const auto executor = socket.get_executor();
        asio::co_spawn(
            executor,
            [self = shared_from_this(), moved = std::move(socket)]() mutable -> asio::awaitable<void> {
                co_await self->serve(std::move(moved));
            },
            [self = shared_from_this()](const std::exception_ptr & /*failure*/) {
                --self->m_connections;
            });
    }
}

asio::awaitable<void> EntryServer::serve(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    Stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (co_await serveOne(stream, buffer)) {
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

/** Reads what is still missing of a request. */
asio::awaitable<void> EntryServer::readRest(Stream &stream, beast::flat_buffer &buffer, RequestParser &parser, boost::system::error_code &error)
{
    if (!error && !parser.is_header_done()) {
        co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed(http::status::continue_, kHttp11);
        co_await http::async_write(stream, proceed, asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error && !parser.is_done()) {
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<bool> EntryServer::readRequest(Stream &stream, beast::flat_buffer &buffer, HttpRequest &request, bool &close)
{
    using namespace boost::asio::experimental::awaitable_operators;
    boost::system::error_code error;
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(m_settings.maxHeaderBytes));
    parser.body_limit(m_settings.maxBodyBytes);
    stream.expires_after(m_settings.idleTimeout);
    co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error && !parser.got_some()) {
        close = true;
        co_return false;
    }
    // A timer beside the read, for the stream's own timeout closes the connection and nobody could be told.
    stream.expires_never();
    asio::steady_timer timer(stream.get_executor(), m_settings.readTimeout);
    const auto first = co_await (readRest(stream, buffer, parser, error) || timer.async_wait(asio::use_awaitable));
    if (first.index() == 1) {
        error = beast::error::timeout;
    }
    if (!error && parser.get().version() != kHttp11) {
        error = http::error::bad_version;
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message || error == asio::error::connection_reset) {
        m_counters.countResult(ResultCode::MalformedRequest); // half a request: nobody is left to be told
        close = true;
        co_return false;
    }
    if (error) {
        const ResultCode code = codeFor(error);
        m_counters.countResult(code);
        bool written = false;
        co_await refuse(stream, code, Duration(0), false, written);
        close = true;
        co_return false;
    }
    request = parser.release();
    co_return true;
}

asio::awaitable<bool> EntryServer::serveOne(Stream &stream, beast::flat_buffer &buffer)
{
    using namespace boost::asio::experimental::awaitable_operators;
    HttpRequest request;
    bool close = false;
    if (!co_await readRequest(stream, buffer, request, close)) {
        co_return !close;
    }
    Exchange exchange(stream);
    exchange.caller = std::make_shared<CallerStream>(stream.get_executor());
    exchange.method = toString(request.method_string());
    exchange.keepAlive = request.keep_alive() && !m_draining;
    const std::string &text = request.body();
    auto body = std::make_shared<const std::vector<std::uint8_t>>(text.begin(), text.end());
    stream.expires_never();
    ++m_exchanges;
    exchange.id = m_handler.startRequest(describe(request), std::move(body), exchange.caller);
    co_await (relay(exchange) || watchCaller(stream.socket()));
    --m_exchanges;
    if (!exchange.finished) {
        m_handler.callerGone(exchange.id);
        co_return false;
    }
    co_return exchange.usable && !m_draining;
}

/** Ends when the caller has closed its connection. */
asio::awaitable<void> EntryServer::watchCaller(tcp::socket &socket)
{
    boost::system::error_code error;
    co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    char byte = 0;
    if (!error) {
        socket.non_blocking(true, error);
        const std::size_t size = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        if (size == 0 && error != asio::error::would_block) {
            co_return;
        }
    }
    // The next request is waiting already: the caller is there. Wait until the relay ends.
    asio::steady_timer forever(socket.get_executor(), asio::steady_timer::time_point::max());
    co_await forever.async_wait(asio::use_awaitable);
}

asio::awaitable<void> EntryServer::relay(Exchange &exchange)
{
    for (;;) {
        const EntryAction action = co_await exchange.caller->channel().async_receive(asio::use_awaitable);
        if (const auto *finish = std::get_if<FinishAction>(&action)) {
            exchange.finished = true;
            co_await writeEnd(exchange, *finish);
            co_return;
        }
        const auto *deliver = std::get_if<DeliverAction>(&action);
        if (deliver == nullptr) {
            continue;
        }
        if (!exchange.headWritten && !co_await writeHead(exchange, *deliver)) {
            co_return;
        }
        if (!deliver->data.empty() && exchange.bodyAllowed && !co_await writeData(exchange, deliver->data)) {
            co_return;
        }
        exchange.unacked += deliver->data.size();
        if (exchange.unacked >= kAckBytes) {
            exchange.unacked = 0;
            m_handler.callerTook(exchange.id, deliver->nextSequence);
        }
    }
}

asio::awaitable<bool> EntryServer::writeHead(Exchange &exchange, const DeliverAction &action)
{
    boost::system::error_code error;
    http::response<http::empty_body> head(static_cast<http::status>(action.status), kHttp11);
    for (const auto &[name, value] : action.headers) {
        head.insert(name, value);
        exchange.eventStream = exchange.eventStream || (equalsIgnoringCase(name, "content-type") && value.starts_with("text/event-stream"));
    }
    exchange.bodyAllowed = hasBody(exchange.method, action.status);
    head.chunked(exchange.bodyAllowed);
    head.keep_alive(exchange.keepAlive);
    http::response_serializer<http::empty_body> serializer(head);
    exchange.stream.expires_after(kWriteTimeout);
    co_await http::async_write_header(exchange.stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    exchange.headWritten = true;
    co_return !error;
}

asio::awaitable<bool> EntryServer::writeData(Exchange &exchange, const std::vector<std::uint8_t> &data)
{
    boost::system::error_code error;
    exchange.stream.expires_after(kWriteTimeout);
    co_await asio::async_write(exchange.stream, http::make_chunk(asio::buffer(data)), asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<void> EntryServer::writeEnd(Exchange &exchange, const FinishAction &action)
{
    boost::system::error_code error;
    exchange.stream.expires_after(kWriteTimeout);
    if (!exchange.headWritten) {
        bool written = false;
        co_await refuse(exchange.stream, action.code, action.retryAfter, exchange.keepAlive, written);
        exchange.usable = written && exchange.keepAlive;
        co_return;
    }
    if (action.code == ResultCode::Ok) {
        if (exchange.bodyAllowed) {
            co_await asio::async_write(exchange.stream, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, error));
        }
        exchange.usable = !error && exchange.keepAlive;
        co_return;
    }
    // Cut short: without the last chunk the caller can tell.
    if (exchange.eventStream && exchange.bodyAllowed) {
        const std::string event = "event: error\ndata: " + refusalBody(action.code) + "\n";
        co_await asio::async_write(exchange.stream, http::make_chunk(asio::buffer(event)), asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<void> EntryServer::refuse(Stream &stream, ResultCode code, Duration retryAfter, bool keepAlive, bool &written)
{
    boost::system::error_code error;
    const ResultInfo &info = resultInfo(code);
    HttpResponse response(static_cast<http::status>(info.httpStatus), kHttp11);
    response.set(http::field::content_type, "application/json");
    response.set("Fulmarlink-Result", std::to_string(static_cast<int>(code)) + ' ' + std::string(info.name));
    response.set("Fulmarlink-Outcome", std::string(outcomeName(info.outcome)));
    if (retryAfter.count() > 0) {
        response.set(http::field::retry_after, std::to_string(std::chrono::ceil<std::chrono::seconds>(retryAfter).count()));
    }
    response.body() = refusalBody(code);
    response.keep_alive(keepAlive);
    response.prepare_payload();
    stream.expires_after(kWriteTimeout);
    co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
    written = !error;
}

RequestInfo EntryServer::describe(const HttpRequest &request) const
{
    RequestInfo info;
    const CallerHeaders &names = m_settings.headers;
    info.method = toString(request.method_string());
    info.path = toString(request.target());
    for (const auto &field : request) {
        info.headers.emplace_back(toString(field.name_string()), toString(field.value()));
    }
    info.customer = toString(request[names.customer]);
    info.model = toString(request[names.model]);
    info.idempotencyKey = toString(request[names.idempotencyKey]);
    info.idempotent = methodIsIdempotent(info.method);
    parsePriority(toStd(request[names.priority]), info.priority);
    info.promptTokens = estimateTokens(request.body().size());
    info.prefixHash = request.body().empty() ? 0 : hashOf(std::string_view(request.body()).substr(0, kPrefixBytes));
    info.minuteOfDay = m_clock.minuteOfDay();
    info.budget = m_settings.defaultDeadline;
    const auto deadline = request[names.deadlineMs];
    std::uint32_t milliseconds = 0;
    const auto [end, error] = std::from_chars(deadline.data(), deadline.data() + deadline.size(), milliseconds);
    if (!deadline.empty() && error == std::errc() && end == deadline.data() + deadline.size()) {
        info.budget = std::min<Duration>(info.budget, std::chrono::milliseconds(milliseconds));
    }
    return info;
}

void EntryServer::startDrain()
{
    m_draining = true;
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
    });
}

std::size_t EntryServer::exchanges() const
{
    return m_exchanges;
}

} // namespace fulmarlink
