#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <string>

#include "fulmarlink/clock.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/settings.h"

namespace fulmarlink
{

class CallerStream;

/** Where the callers' server hands requests to. Thread-safe. */
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;
    /** The answer comes through @p stream. */
    virtual std::uint64_t startRequest(RequestInfo info, std::shared_ptr<const std::vector<std::uint8_t>> body, std::shared_ptr<CallerStream> stream) = 0;
    virtual void callerGone(std::uint64_t request) = 0;
    virtual void callerTook(std::uint64_t request, std::uint32_t nextSequence) = 0;
};

/**
 * HTTP/1.1 for callers: keep-alive, any method and path, streamed answers.
 *
 * Contract: an answer is sent chunked and its last chunk only after the whole answer
 * was given; a broken one ends with the connection's end, and, if it is an event
 * stream, with an event named "error" before it. A refusal carries Fulmarlink-Result
 * (code and name), Fulmarlink-Outcome and, if it makes sense, Retry-After. Header,
 * body, time to send and number of connections are bounded by the settings.
 */
class EntryServer : public std::enable_shared_from_this<EntryServer>
{
public:
    EntryServer(boost::asio::any_io_executor executor, const EntrySettings &settings, CallerHandler &handler, const Clock &clock, Counters &counters);

    std::uint16_t listen();
    /** Stops accepting; open connections end with their current answer. */
    void startDrain();
    /** Requests whose answer is not written yet. */
    std::size_t exchanges() const;

private:
    using Stream = boost::beast::tcp_stream;
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    struct Exchange;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> serveOne(Stream &stream, boost::beast::flat_buffer &buffer);
    boost::asio::awaitable<void> readRest(Stream &stream, boost::beast::flat_buffer &buffer, RequestParser &parser, boost::system::error_code &error);
    boost::asio::awaitable<bool> readRequest(Stream &stream, boost::beast::flat_buffer &buffer, HttpRequest &request, bool &close);
    boost::asio::awaitable<void> relay(Exchange &exchange);
    boost::asio::awaitable<bool> writeHead(Exchange &exchange, const struct DeliverAction &action);
    boost::asio::awaitable<bool> writeData(Exchange &exchange, const std::vector<std::uint8_t> &data);
    boost::asio::awaitable<void> writeEnd(Exchange &exchange, const struct FinishAction &action);
    boost::asio::awaitable<void> refuse(Stream &stream, ResultCode code, Duration retryAfter, bool keepAlive, bool &written);
    boost::asio::awaitable<void> watchCaller(boost::asio::ip::tcp::socket &socket);
    RequestInfo describe(const HttpRequest &request) const;

    boost::asio::any_io_executor m_executor;
    const EntrySettings &m_settings;
    CallerHandler &m_handler;
    const Clock &m_clock;
    Counters &m_counters;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_draining = false;
    std::atomic<std::size_t> m_connections = 0;
    std::atomic<std::size_t> m_exchanges = 0;
};

} // namespace fulmarlink
