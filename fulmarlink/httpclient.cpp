#include "fulmarlink/httpclient.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

asio::awaitable<HttpResult> httpCall(HttpTarget target, HttpRequest request, std::chrono::milliseconds timeout)
{
    HttpResult result;
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    const auto address = asio::ip::make_address(target.address, error);
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    if (!error) {
        co_await stream.async_connect({address, target.port}, token);
    }
    if (error) {
        result.error = ResultCode::StoreUnavailable;
        co_return result;
    }
    request.set(http::field::host, target.address);
    request.keep_alive(false);
    request.prepare_payload();
    co_await http::async_write(stream, request, token);
    if (!error) {
        beast::flat_buffer buffer(kMaxUnparsedAnswerBytes);
        http::response_parser<http::string_body> parser;
        parser.body_limit(kMaxHttpAnswerBytes);
        co_await http::async_read(stream, buffer, parser, token);
        result.response = parser.release();
    }
    if (error) {
        result.error = ResultCode::StoreAnswerLost;
    }
    co_return result;
}

} // namespace fulmarlink
