#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>
#include <system_error>

namespace fulmarlink
{

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** Where a service of the platform listens. */
struct HttpTarget {
    std::string address; ///< IP number
    std::uint16_t port = 0;
};

struct HttpResult {
    std::error_code error; ///< StoreUnavailable before the request was written, StoreAnswerLost after
    HttpResponse response;
};

/** The largest answer that httpCall() takes, in bytes. */
inline constexpr std::uint64_t kMaxHttpAnswerBytes = 8U << 20;

/** The most that is held of an answer before it can be parsed, in bytes: its head, the first line of a chunk, a trailer section. */
inline constexpr std::size_t kMaxUnparsedAnswerBytes = 64U << 10;

/** One call over a connection of its own, ended by @p timeout. */
boost::asio::awaitable<HttpResult> httpCall(HttpTarget target, HttpRequest request, std::chrono::milliseconds timeout);

} // namespace fulmarlink
