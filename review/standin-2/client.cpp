#include "review/standin-2/client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <unistd.h>

namespace review
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto kConnectTime = std::chrono::seconds(1); ///< clients allow a new connection one second
constexpr auto kProbeTime = std::chrono::seconds(1);
constexpr std::uint16_t kFirstPort = 20'000; ///< below the ports that the system gives to outgoing connections
constexpr std::uint16_t kPortRange = 10'000;
constexpr int kPortsApart = 97; ///< between processes that are started one after the other

tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

} // namespace

asio::awaitable<ClientAnswer> sendRequest(std::uint16_t port, ClientRequest request)
{
    ClientAnswer answer;
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    boost::beast::tcp_stream connection(co_await asio::this_coro::executor);
    connection.expires_after(kConnectTime);
    co_await connection.async_connect(loopback(port), token);
    if (error) {
        co_return answer;
    }
    answer.connected = true;
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, "models.example");
    message.set("Attempt-Id", request.attemptId);
    message.set("Deadline-Ms", std::to_string(request.deadlineMs));
    if (!request.key.empty()) {
        message.set(http::field::authorization, "Token " + request.key);
    }
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    connection.expires_after(std::chrono::milliseconds(request.deadlineMs));
    co_await http::async_write(connection, message, token);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    if (!error) {
        co_await http::async_read(connection, buffer, parser, token);
    }
    if (parser.is_header_done()) {
        answer.status = parser.get().result_int();
        answer.seal = std::string(parser.get()["Server-Seal"]);
        answer.body = parser.get().body();
    }
    answer.complete = !error && parser.is_done();
    co_return answer;
}

asio::awaitable<bool> isReady(std::uint16_t port)
{
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    boost::beast::tcp_stream connection(co_await asio::this_coro::executor);
    connection.expires_after(kProbeTime);
    co_await connection.async_connect(loopback(port), token);
    const http::request<http::empty_body> probe(http::verb::get, "/v1/readyz", 11);
    if (!error) {
        co_await http::async_write(connection, probe, token);
    }
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!error) {
        co_await http::async_read(connection, buffer, response, token);
    }
    co_return !error && response.result() == http::status::ok;
}

std::vector<std::uint16_t> freePorts(asio::io_context &context, std::size_t count)
{
    std::vector<tcp::acceptor> acceptors;
    std::vector<std::uint16_t> ports;
    const auto offset = static_cast<std::uint16_t>(getpid() * kPortsApart % kPortRange);
    for (std::uint16_t i = 0; i < kPortRange && ports.size() < count; ++i) {
        const auto port = static_cast<std::uint16_t>(kFirstPort + (offset + i) % kPortRange);
        boost::system::error_code error;
        tcp::acceptor acceptor(context);
        acceptor.open(tcp::v4());
        acceptor.bind(loopback(port), error);
        if (!error) {
            acceptors.push_back(std::move(acceptor));
            ports.push_back(port);
        }
    }
    return ports;
}

} // namespace review
