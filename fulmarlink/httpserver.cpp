#include "fulmarlink/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace fulmarlink
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr std::chrono::seconds kIdleTimeout{60};
constexpr int kHttp11 = 11;

} // namespace

HttpServer::HttpServer(asio::any_io_executor executor, Handler handler)
    : m_executor(std::move(executor))
    , m_handler(std::move(handler))
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

asio::awaitable<void> HttpServer::serve(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
        boost::system::error_code error;
        http::request_parser<http::string_body> parser;
        parser.body_limit(kMaxBodyBytes);
        stream.expires_after(kIdleTimeout);
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        HttpRequest request = parser.release();
        const bool keepAlive = request.keep_alive();
        HttpResponse response = co_await m_handler(std::move(request));
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
