#include "fulmarlink/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/write.hpp>

#include "fulmarlink/log.h"
#include "fulmarlink/memorylease.h"
#include "fulmarlink/memoryleaseowner.h"
#include "fulmarlink/requestmemory.h"
#include "fulmarlink/requestreader.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr std::chrono::seconds kIdleTimeout{60};
constexpr std::chrono::milliseconds kAcceptRetryDelay{20}; ///< delay before the next accept after a failure, as when file descriptors have run out
constexpr int kHttp11 = 11;

} // namespace

/** Its memory is accounted for by itself, since connections of one server may be served by several threads. */
struct HttpServer::Connection : MemoryLeaseOwner {
    Connection(tcp::socket socket, const HttpServerLimits &limits)
        : stream(std::move(socket))
        , memory(std::make_shared<RequestMemory>(
              RequestMemoryLimits{.smallRequests = RequestMemory::kSmallBytes, .largeRequests = limits.bodyBytes + kMaxRequestOverhead, .answers = 0}))
    {
    }

    void evict() override
    {
        // Not called: a request is not evicted for its own growth, and there is no other.
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    const std::shared_ptr<RequestMemory> memory;
};

HttpServer::HttpServer(asio::any_io_executor executor, Handler handler, HttpServerLimits limits)
    : m_executor(std::move(executor))
    , m_handler(std::move(handler))
    , m_limits(limits)
    , m_acceptor(asio::make_strand(m_executor))
{
}

std::uint16_t HttpServer::listen(const std::string &address, std::uint16_t port)
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

asio::awaitable<void> HttpServer::acceptLoop()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket(asio::make_strand(m_executor));
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (!m_acceptor.is_open()) {
            co_return;
        }
        if (error) {
            logWarning("accept-failed", {{"error", error.message()}});
            asio::steady_timer timer(m_acceptor.get_executor(), kAcceptRetryDelay);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        makeRoom();
        const auto executor = socket.get_executor();
        auto connection = std::make_shared<Connection>(std::move(socket), m_limits);
        m_connections.push_back(connection);
        asio::co_spawn(
            executor,
            [self = shared_from_this(), moved = std::move(connection)]() mutable -> asio::awaitable<void> {
                co_await self->serve(std::move(moved));
            },
            asio::detached);
    }
}

/** Closes the oldest connection if there is no room for another one. */
void HttpServer::makeRoom()
{
    std::erase_if(m_connections, [](const std::weak_ptr<Connection> &connection) {
        return connection.expired();
    });
    if (m_connections.size() < m_limits.connections) {
        return;
    }
    if (const auto oldest = m_connections.front().lock()) {
        asio::post(oldest->stream.get_executor(), [oldest] {
            oldest->stream.close();
        });
    }
    m_connections.pop_front();
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<Connection> connection)
{
    beast::tcp_stream &stream = connection->stream;
    for (;;) {
        MemoryLease lease(connection->memory, *connection);
        RequestReader reader(stream, connection->buffer, lease, {kMaxHeadBytes, m_limits.bodyBytes});
        stream.expires_after(kIdleTimeout);
        boost::system::error_code error = co_await reader.readHead();
        if (!error) {
            error = co_await reader.readBody();
        }
        if (error) {
            co_return;
        }
        const bool keepAlive = reader.keepAlive();
        HttpResponse response = co_await m_handler(reader.takeRequest());
        response.keep_alive(keepAlive);
        response.prepare_payload();
        stream.expires_after(kIdleTimeout);
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !keepAlive) {
            co_return;
        }
    }
}

void HttpServer::close()
{
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
    });
}

HttpResponse textResponse(unsigned status, std::string text, std::string_view contentType)
{
    HttpResponse response(static_cast<http::status>(status), kHttp11);
    response.set(http::field::content_type, boost::beast::string_view(contentType.data(), contentType.size()));
    response.body() = std::move(text);
    return response;
}

} // namespace fulmarlink
