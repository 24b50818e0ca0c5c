#include "fulmarlink/httpconnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/tcp.h>
#include <poll.h>
#include <utility>

#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/** Unacknowledged bytes end a connection after this; shorter than the time that callers wait for a stream's next event, longer than a few lost packets. */
constexpr unsigned kUserTimeoutMs = 5000;

} // namespace

struct HttpConnection::Parts {
    explicit Parts(const asio::any_io_executor &executor)
        : stream(executor)
        , buffer(kMaxUnparsedAnswerBytes)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

bool isReadable(beast::tcp_stream &stream)
{
    // Unlike a read, poll() leaves the error of a reset connection to be reported by the next read.
    pollfd descriptor{stream.socket().native_handle(), POLLIN, 0};
    return ::poll(&descriptor, 1, 0) != 0;
}

void tuneSocket(beast::tcp_stream &stream)
{
    boost::system::error_code ignored; // options only make a connection better, none is needed
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    stream.socket().set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUserTimeoutMs), ignored);
}

HttpConnection::HttpConnection(asio::any_io_executor executor, HttpTarget target)
    : m_executor(std::move(executor))
    , m_target(std::move(target))
{
}

HttpConnection::~HttpConnection() = default;

bool HttpConnection::busy() const
{
    return m_busy;
}

void HttpConnection::close()
{
    m_parts.reset();
}

asio::awaitable<HttpResult> HttpConnection::callOnce(HttpRequest &request, std::chrono::milliseconds timeout)
{
    HttpResult result;
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    if (m_parts && (m_parts->buffer.size() > 0 || isReadable(m_parts->stream))) {
        close(); // it would take what is left of the last answer, or a second one, for the answer to this call
    }
    if (!m_parts) {
        m_parts = std::make_unique<Parts>(m_executor);
        const auto address = asio::ip::make_address(m_target.address, error);
        m_parts->stream.expires_after(timeout);
        if (!error) {
            co_await m_parts->stream.async_connect({address, m_target.port}, token);
        }
        if (error) {
            close();
            result.error = ResultCode::StoreUnavailable;
            co_return result;
        }
        tuneSocket(m_parts->stream);
    }
    m_parts->stream.expires_after(timeout);
    co_await http::async_write(m_parts->stream, request, token);
    http::response_parser<http::string_body> parser;
    if (!error) {
        parser.body_limit(kMaxHttpAnswerBytes);
        co_await http::async_read(m_parts->stream, m_parts->buffer, parser, token);
    }
    if (error) {
        close();
        result.error = ResultCode::StoreAnswerLost;
        co_return result;
    }
    m_parts->stream.expires_never();
    result.response = parser.release();
    if (!result.response.keep_alive()) {
        close();
    }
    co_return result;
}

asio::awaitable<HttpResult> HttpConnection::call(HttpRequest request, std::chrono::milliseconds timeout, bool repeatable)
{
    m_busy = true;
    const bool kept = m_parts != nullptr;
    const auto began = std::chrono::steady_clock::now();
    request.set(http::field::host, m_target.address);
    request.keep_alive(true);
    request.prepare_payload();
    HttpResult result = co_await callOnce(request, timeout);
    const auto left = timeout - std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began);
    if (result.error == ResultCode::StoreAnswerLost && kept && repeatable && left > timeout / 2) {
        result = co_await callOnce(request, left);
    }
    m_busy = false;
    co_return result;
}

} // namespace fulmarlink
