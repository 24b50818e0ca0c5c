#include "review/standin-2/rankserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace
{

constexpr unsigned kOk = 200;
constexpr unsigned kMisdirected = 421;
constexpr int kMinLateMs = 2000;
constexpr int kMaxLateMs = 12'000;

std::string statusLine(unsigned status)
{
    return "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(http::obsolete_reason(static_cast<http::status>(status))) + "\r\n";
}

std::string answerText(const HttpRequest &request, unsigned status, const std::string &body, const std::string &extraLines = {})
{
    const std::string attempt(request["Attempt-Id"]);
    return statusLine(status) + (attempt.empty() ? std::string() : "Attempt-Id: " + attempt + "\r\n") + extraLines
           + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

/** An order without the map, for the record. */
std::string brief(const std::string &order)
{
    json::object body = json::parse(order).as_object();
    body.erase("map");
    return json::serialize(body);
}

} // namespace

RankServer::RankServer(asio::io_context &context, RankGroup &group, unsigned rank, unsigned seed)
    : m_context(context)
    , m_group(group)
    , m_rank(rank)
    , m_id("rank-" + std::to_string(rank))
    , m_random(seed)
    , m_acceptor(context)
    , m_passTimer(context, asio::steady_timer::time_point::max())
{
}

std::uint16_t RankServer::listen()
{
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), 0);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    return m_acceptor.local_endpoint().port();
}

const std::string &RankServer::id() const
{
    return m_id;
}

void RankServer::passEnded()
{
    m_passTimer.cancel();
}

bool RankServer::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

asio::awaitable<void> RankServer::acceptLoop()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> RankServer::carryOutLate(std::string body)
{
    boost::system::error_code ignored; // the timer is not cancelled
    asio::steady_timer timer(m_context, std::chrono::milliseconds(std::uniform_int_distribution<>(kMinLateMs, kMaxLateMs)(m_random)));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const unsigned status = m_group.order(m_rank, json::parse(body).as_object());
    log(m_id + " carries out late " + brief(body) + ": " + std::to_string(status));
}

std::string RankServer::orderAnswer(const HttpRequest &request)
{
    if (chance(trouble.lateOrders)) {
        log(m_id + " leaves unanswered " + brief(request.body()));
        asio::co_spawn(m_context, carryOutLate(request.body()), asio::detached);
        return {};
    }
    const unsigned status = m_group.order(m_rank, json::parse(request.body()).as_object());
    log(m_id + " answers " + std::to_string(status) + " to " + brief(request.body()));
    return answerText(request, status, "{}");
}

std::string RankServer::controlAnswer(const HttpRequest &request)
{
    const std::string target(request.target());
    const std::string expected(request["Expect-Instance"]);
    if (!expected.empty() && expected != m_id) {
        return answerText(request, kMisdirected, "{}", "Instance-Id: " + m_id + "\r\n");
    }
    if (target == "/v1/order") {
        return orderAnswer(request);
    }
    if (target == "/v1/report") {
        return answerText(request, kOk, json::serialize(m_group.report(m_rank)));
    }
    if (target.starts_with("/v1/picked")) {
        return answerText(request, kOk, json::serialize(m_group.picked(m_rank, target.find("lists") != std::string::npos)));
    }
    return answerText(request, kOk, "{}", "Instance-Id: " + m_id + "\r\n");
}

asio::awaitable<bool> RankServer::stream(boost::beast::tcp_stream &connection, const HttpRequest &request)
{
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    const std::string head = statusLine(kOk) + "Attempt-Id: " + std::string(request["Attempt-Id"]) + "\r\nServer-Seal: " + m_id
                             + "\r\nServer-Load: 1,0,12\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string last(request["Last-Event-Id"]);
    m_group.streamBegan(m_rank);
    co_await asio::async_write(connection, asio::buffer(head), token);
    for (unsigned event = last.empty() ? 1 : std::stoul(last) + 1; event <= events && !error; ++event) {
        boost::system::error_code ignored; // cancelled at the end of a pass
        co_await m_passTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const std::string text = chunk("id: " + std::to_string(event) + "\ndata: " + m_id + "\n\n");
        co_await asio::async_write(connection, asio::buffer(text), token);
    }
    if (!error) {
        const std::string end = "0\r\n\r\n";
        co_await asio::async_write(connection, asio::buffer(end), token);
    }
    m_group.streamEnded(m_rank);
    co_return !error;
}

asio::awaitable<void> RankServer::serve(tcp::socket socket)
{
    socket.set_option(tcp::no_delay(true));
    boost::beast::tcp_stream connection(std::move(socket));
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    std::string extra; // a second copy of an answer, sent where the next one is expected
    for (;;) {
        HttpRequest request;
        co_await http::async_read(connection, buffer, request, token);
        if (error) {
            co_return;
        }
        if (request.target().starts_with("/m/")) {
            const bool open = co_await stream(connection, request);
            if (!open) {
                co_return;
            }
            continue;
        }
        if (trouble.extraAnswers <= 0) {
            extra.clear(); // the spell is over
        }
        if (!extra.empty()) {
            log(m_id + " sends its last answer on this connection a second time: " + extra.substr(0, extra.find('\r')));
            co_await asio::async_write(connection, asio::buffer(extra), token);
            extra.clear();
        }
        const std::string answer = controlAnswer(request);
        if (answer.empty()) {
            continue; // waits for the caller to close the connection
        }
        co_await asio::async_write(connection, asio::buffer(answer), token);
        if (chance(trouble.extraAnswers)) {
            extra = answer;
        }
    }
}

} // namespace review
