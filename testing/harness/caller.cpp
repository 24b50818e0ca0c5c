#include "testing/harness/caller.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace fulmarlink::testing
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

asio::awaitable<void> callOnce(asio::io_context &context, HttpTarget gateway, HttpRequest message, std::shared_ptr<Answer> answer, std::shared_ptr<bool> done)
{
    boost::system::error_code error;
    boost::beast::tcp_stream stream(context);
    co_await stream.async_connect({asio::ip::make_address(gateway.address), gateway.port}, asio::redirect_error(asio::use_awaitable, error));
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    answer->status = parser.is_header_done() ? parser.get().result_int() : 0;
    answer->whole = !error;
    answer->body = parser.get().body();
    answer->head = parser.get();
    *done = true;
}

} // namespace fulmarlink::testing
