#include "standins/engine.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

#include "fulmarlink/httpserver.h"
#include "fulmarlink/nodeid.h"

namespace fulmarlink::standins
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr int kHttp11 = 11;
constexpr unsigned kMaxTokens = 100'000;
constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::chrono::microseconds kStallPollInterval{5000};
constexpr unsigned kCachedPrefillDivisor = 10; ///< divisor: prefill of a cached prompt takes a tenth of the time

std::uint64_t parseNumber(beast::string_view text, std::uint64_t fallback)
{
    std::uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string toString(beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

Engine::Engine(asio::any_io_executor executor, EngineOptions options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_acceptor(asio::make_strand(m_executor))
{
}

std::uint16_t Engine::listen(const std::string &address, std::uint16_t port)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    const std::uint16_t actual = m_acceptor.local_endpoint().port();
    asio::co_spawn(
        m_acceptor.get_executor(),
        [self = shared_from_this()]() -> asio::awaitable<void> {
            co_await self->acceptLoop();
        },
        asio::detached);
    return actual;
}

asio::awaitable<void> Engine::acceptLoop()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket socket(asio::make_strand(m_executor));
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            continue;
        }
        const auto executor = socket.get_executor();
        asio::co_spawn(
            executor,
            [self = shared_from_this(), moved = std::move(socket)]() mutable -> asio::awaitable<void> {
                co_await self->serve(std::move(moved));
            },
            asio::detached);
    }
}

asio::awaitable<void> Engine::serve(tcp::socket socket)
{
    boost::system::error_code error;
    socket.set_option(tcp::no_delay(true), error);
    const auto stream = std::make_shared<Stream>(std::move(socket));
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_streams, [](const auto &weak) {
            return weak.expired();
        });
        m_streams.push_back(stream);
    }
    beast::flat_buffer buffer;
    HttpRequest request;
    co_await http::async_read(*stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
    if (error || m_killed) {
        co_return;
    }
    const std::string target = toString(request.target());
    if (target == "/v1/orders") {
        HttpResponse response = acceptOrder(request);
        co_await http::async_write(*stream, response, asio::redirect_error(asio::use_awaitable, error));
        co_return;
    }
    if (m_refusing || m_running >= m_options.batch) {
        HttpResponse response = textResponse(503, "busy\n");
        response.prepare_payload();
        co_await http::async_write(*stream, response, asio::redirect_error(asio::use_awaitable, error));
        co_return;
    }
    if (target.starts_with("/v1/generate")) {
        co_await generate(*stream, request);
    } else {
        co_await answerPlain(*stream, request);
    }
    stream->socket().shutdown(tcp::socket::shutdown_send, error);
}

asio::awaitable<void> Engine::generate(Stream &stream, const HttpRequest &request)
{
    const std::size_t line = beginRequest(request);
    const unsigned tokens = static_cast<unsigned>(std::min<std::uint64_t>(parseNumber(request["X-Tokens"], 8), kMaxTokens));
    const std::string serial = toString(request["X-Serial"]);
    const auto prompt = static_cast<std::int64_t>(request.body().size() / kBytesPerToken + 1);
    co_await pause(m_options.prefillPerToken * prompt / (prefixCached(request.body()) ? kCachedPrefillDivisor : 1));

    boost::system::error_code error;
    http::response<http::empty_body> head(http::status::ok, kHttp11);
    head.set(http::field::content_type, "text/event-stream");
    head.set("X-Serial", serial);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    co_await http::async_write_header(stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    for (unsigned i = 0; i < tokens && !error; ++i) {
        if (m_killed || (m_breakAfter != 0 && i >= m_breakAfter)) {
            endRequest(line, false);
            stream.close();
            co_return;
        }
        co_await pause(m_options.step + m_options.stepPerRequest * m_running.load());
        const std::string event = "data: " + serial + ' ' + std::to_string(i) + "\n\n";
        co_await asio::async_write(stream, http::make_chunk(asio::buffer(event)), asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
        co_await asio::async_write(stream, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, error));
    }
    endRequest(line, !error);
}

asio::awaitable<void> Engine::answerPlain(Stream &stream, const HttpRequest &request)
{
    const std::size_t line = beginRequest(request);
    co_await pause(m_options.step);
    boost::system::error_code error;
    const std::string serial = toString(request["X-Serial"]);
    HttpResponse response = textResponse(200, "{\"serial\":\"" + serial + "\"}\n", "application/json");
    response.set("X-Serial", serial);
    response.prepare_payload();
    if (m_killed) {
        endRequest(line, false);
        co_return;
    }
    co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
    endRequest(line, !error);
}

HttpResponse Engine::acceptOrder(const HttpRequest &request)
{
    const std::uint64_t number = parseNumber(request["Fencing-Number"], 0);
    const std::lock_guard lock(m_mutex);
    const bool stale = number < m_highestFencing;
    m_highestFencing = std::max(m_highestFencing, number);
    HttpResponse response = stale && m_options.checksFencing ? textResponse(409, "older fencing number\n") : textResponse(200, "ok\n");
    response.prepare_payload();
    return response;
}

asio::awaitable<void> Engine::pause(std::chrono::microseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    do {
        boost::system::error_code ignored;
        timer.expires_after(m_stalled ? kStallPollInterval : time);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    } while (m_stalled && !m_killed);
}

std::size_t Engine::beginRequest(const HttpRequest &request)
{
    ++m_running;
    const std::lock_guard lock(m_mutex);
    m_ledger.push_back({toString(request["X-Serial"]), m_options.name, false});
    return m_ledger.size() - 1;
}

void Engine::endRequest(std::size_t line, bool finished)
{
    --m_running;
    const std::lock_guard lock(m_mutex);
    m_ledger[line].finished = finished;
}

bool Engine::prefixCached(const std::string &body)
{
    const std::uint64_t prefix = hashOf(std::string_view(body).substr(0, kPrefixBytes));
    const std::lock_guard lock(m_mutex);
    const auto it = std::ranges::find(m_prefixes, prefix);
    const bool hit = it != m_prefixes.end();
    if (hit) {
        m_prefixes.erase(it);
        ++m_prefixHits;
    }
    m_prefixes.push_front(prefix);
    if (m_prefixes.size() > m_options.prefixes) {
        m_prefixes.pop_back();
    }
    return hit;
}

void Engine::kill()
{
    m_killed = true;
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
    });
    const std::lock_guard lock(m_mutex);
    for (const auto &weak : m_streams) {
        if (const auto stream = weak.lock()) {
            asio::post(stream->get_executor(), [stream] {
                stream->close();
            });
        }
    }
}

void Engine::setRefusing(bool refusing)
{
    m_refusing = refusing;
}

void Engine::setBreakAfter(unsigned tokens)
{
    m_breakAfter = tokens;
}

void Engine::setStalled(bool stalled)
{
    m_stalled = stalled;
}

std::vector<EngineLedgerEntry> Engine::ledger() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger;
}

std::uint64_t Engine::prefixHits() const
{
    const std::lock_guard lock(m_mutex);
    return m_prefixHits;
}

} // namespace fulmarlink::standins
