#include "fulmarlink/gatewayserver.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <sys/socket.h>

#include "fulmarlink/callerconnection.h"
#include "fulmarlink/callerprotocol.h"
#include "fulmarlink/gatewayexchange.h"
#include "fulmarlink/httpconnection.h"
#include "fulmarlink/log.h"
#include "fulmarlink/memoryplan.h"
#include "fulmarlink/readtimeout.h"
#include "fulmarlink/requestreader.h"
#include "fulmarlink/supervised.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr std::chrono::milliseconds kAcceptRetryDelay{20}; ///< delay before the next accept after a failure, as when file descriptors have run out
constexpr std::chrono::milliseconds kBodyTimeout{10'000}; ///< enough for a body of the maximum size over a slow link
constexpr std::chrono::milliseconds kRejectionTimeout{2000}; ///< for an answer to a request that was not read, and again for what its caller still sends
constexpr Duration kMinStall = std::chrono::milliseconds(1000); ///< a lost packet of a request is retransmitted within this time
constexpr std::size_t kDiscardBytes = 16U << 10; ///< of one read whose content is discarded
constexpr std::chrono::milliseconds kMinMemoryRetryAfter{200}; ///< senders without progress are evicted at once, so there is room soon
constexpr std::chrono::milliseconds kMemoryRetrySpread{400};

ResultCode unreadableRequestCode(const boost::system::error_code &error)
{
    if (error == http::error::header_limit) {
        return ResultCode::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return ResultCode::BodyTooLarge;
    }
    if (error == asio::error::no_buffer_space) {
        return ResultCode::RequestMemoryFull;
    }
    return error == boost::beast::error::timeout ? ResultCode::SlowSender : ResultCode::MalformedRequest;
}

/** Whether @p error, of a read, means that nobody waits for an answer. */
bool isClosedByCaller(const boost::system::error_code &error)
{
    const bool failed = error.category() == asio::error::get_system_category() && error != asio::error::no_buffer_space;
    return failed || error == http::error::end_of_stream || error == http::error::partial_message;
}

std::string addressOf(const tcp::socket &socket)
{
    boost::system::error_code error;
    const tcp::endpoint endpoint = socket.remote_endpoint(error);
    return error ? "unknown" : endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

} // namespace

GatewayServer::GatewayServer(const asio::any_io_executor &executor, GatewayState &state)
    : m_executor(executor)
    , m_state(state)
    , m_acceptor(executor)
    , m_accepted(state.counters.registerCounter("fulmarlink_caller_connections_total"))
    , m_acceptFailures(state.counters.registerCounter("fulmarlink_accept_failures_total"))
    , m_open(state.counters.registerCounter("fulmarlink_caller_connections_open"))
    , m_closedUnread(state.counters.registerCounter("fulmarlink_caller_connections_unread_total"))
    , m_closedStalled(state.counters.registerCounter("fulmarlink_caller_connections_stalled_total"))
    , m_closedIdle(state.counters.registerCounter("fulmarlink_caller_connections_evicted_total"))
    , m_exceptions(state.counters.registerCounter("fulmarlink_exceptions_total"))
{
}

GatewayServer::~GatewayServer() = default;

void GatewayServer::listen()
{
    const tcp::endpoint endpoint(asio::ip::make_address(m_state.settings.callers.address), m_state.settings.callers.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    // Accepted sockets inherit the sizes, so that they apply to connections in the backlog too.
    m_acceptor.set_option(tcp::acceptor::receive_buffer_size(static_cast<int>(MemoryPlan::kSocketBufferBytes)));
    m_acceptor.set_option(tcp::acceptor::send_buffer_size(static_cast<int>(MemoryPlan::kSocketBufferBytes)));
    m_acceptor.listen(MemoryPlan::kBacklog);
    asio::co_spawn(m_executor, acceptLoop(), asio::detached);
}

void GatewayServer::stop()
{
    boost::system::error_code ignored; // the process is about to exit
    m_acceptor.close(ignored);
}

void GatewayServer::closeIdle()
{
    for (CallerConnection *connection : m_connections) {
        if (connection->idle()) {
            connection->stream.close();
        }
    }
}

asio::awaitable<void> GatewayServer::acceptLoop()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            m_state.counters.add(m_acceptFailures);
            logWarning("accept-failed", {{"error", error.message()}});
            asio::steady_timer timer(m_executor, kAcceptRetryDelay);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        m_state.counters.add(m_accepted);
        if (!makeRoom()) {
            m_state.counters.add(m_closedUnread);
            logRequest("connection-closed-unread", {{"caller", addressOf(socket)}, {"open", std::to_string(m_connections.size())}});
            continue; // closes the socket
        }
        auto connection = std::make_shared<CallerConnection>(std::move(socket));
        asio::co_spawn(m_executor, serve(std::move(connection)), asio::detached);
    }
}

/** Returns false if the maximum number of connections is open and all of them are needed. */
bool GatewayServer::makeRoom()
{
    const bool hasRoom = m_connections.size() < m_state.settings.maxCallerConnections;
    CallerConnection *const unneeded = hasRoom ? nullptr : leastNeeded();
    const bool full = !hasRoom && unneeded == nullptr;
    if (full != m_full) {
        m_full = full;
        logWarning("caller-connections", {{"full", full ? "true" : "false"}, {"open", std::to_string(m_connections.size())}});
    }
    if (unneeded != nullptr) {
        const bool stalled = unneeded->reader != nullptr;
        m_state.counters.add(stalled ? m_closedStalled : m_closedIdle);
        if (stalled) {
            logRequest("connection-closed-stalled",
                       {{"caller", addressOf(unneeded->stream.socket())}, {"received", std::to_string(unneeded->reader->received())}});
        }
        unneeded->stream.close();
        m_connections.erase(unneeded);
    }
    return !full;
}

/**
 * A connection whose last answer has been sent, or else the one that has been idle for longest, or else the one whose incomplete
 * request has made no progress for longest, and for kMinStall at least; null if there is none.
 */
CallerConnection *GatewayServer::leastNeeded() const
{
    const TimePoint now = m_state.clock.now();
    CallerConnection *idle = nullptr;
    CallerConnection *stalled = nullptr;
    for (CallerConnection *connection : m_connections) {
        if (connection->rejected) {
            return connection;
        }
        const bool waits = connection->exchange == nullptr && !connection->reading;
        if (waits && (idle == nullptr || connection->lastUsed < idle->lastUsed)) {
            idle = connection;
        }
        if (connection->reader == nullptr) {
            continue;
        }
        connection->updateProgress(now);
        if (now - connection->progressAt >= kMinStall && (stalled == nullptr || connection->progressAt < stalled->progressAt)) {
            stalled = connection;
        }
    }
    return idle != nullptr && idle->idle() ? idle : stalled;
}

asio::awaitable<void> GatewayServer::serve(std::shared_ptr<CallerConnection> connection)
{
    connection->lastUsed = m_state.clock.now();
    m_connections.insert(connection.get());
    m_state.counters.set(m_open, m_connections.size());
    tuneSocket(connection->stream);
    std::exception_ptr failure;
    try {
        bool again = true;
        while (again) {
            again = co_await serveRequest(connection);
        }
        if (connection->rejected) {
            co_await discardInput(*connection);
        }
    } catch (...) {
        // An exception in the handling of a request must close only its own connection: the same request may be sent again, to this host or another.
        failure = std::current_exception();
    }
    if (failure) {
        m_state.counters.add(m_exceptions);
        logWarning("request-broke-off", {{"error", whatOf(failure)}});
    }
    connection->exchange = nullptr;
    connection->endRequest();
    m_connections.erase(connection.get());
    m_state.counters.set(m_open, m_connections.size());
    connection->stream.close();
}

/** Waits for the caller to close the connection while its request is answered, so that the exchange can stop work that nobody waits for. */
void GatewayServer::watchForDisconnect(const std::shared_ptr<CallerConnection> &connection)
{
    if (connection->watching) {
        return;
    }
    connection->watching = true;
    connection->stream.socket().async_wait(tcp::socket::wait_read, [connection](const boost::system::error_code &error) {
        connection->watching = false;
        if (connection->exchange == nullptr) {
            return;
        }
        char byte = 0;
        const auto received = error ? 0 : recv(connection->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            connection->exchange->callerGone();
        }
    });
}

/** Waits for the first byte of a request. Returns false if there will be none. */
asio::awaitable<bool> GatewayServer::awaitRequest(CallerConnection &connection)
{
    connection.reading = connection.buffer.size() > 0;
    if (connection.reading) {
        co_return true;
    }
    if (connection.buffer.capacity() > RequestReader::kReadBytes) {
        connection.buffer.shrink_to_fit();
    }
    const auto active = m_state.config.active();
    boost::system::error_code error;
    connection.stream.expires_after(active ? active->configuration.limits.idleTimeout : CallerLimits().idleTimeout);
    const std::size_t bytes
        = co_await connection.stream.async_read_some(connection.buffer.prepare(RequestReader::kReadBytes), asio::redirect_error(asio::use_awaitable, error));
    // closeIdle() may have closed the socket after the read completed; the answer could not be delivered, so the request is not accepted.
    const bool closed = !connection.stream.socket().is_open();
    if (error || bytes == 0 || closed) {
        co_return false;
    }
    connection.buffer.commit(bytes);
    connection.reading = true;
    co_return true;
}

asio::awaitable<bool> GatewayServer::readRequest(CallerConnection &connection, RequestReader &reader, std::chrono::milliseconds headerTimeout)
{
    connection.stream.expires_never();
    ReadTimeout timeout(m_executor, connection.stream);
    timeout.start(headerTimeout);
    boost::system::error_code error = co_await reader.readHead();
    if (!error && !reader.isDone()) {
        timeout.start(kBodyTimeout);
        if (boost::beast::iequals(reader.head()[http::field::expect], "100-continue")) {
            http::response<http::empty_body> continueResponse(http::status::continue_, 11);
            co_await http::async_write(connection.stream, continueResponse, asio::redirect_error(asio::use_awaitable, error));
        }
        if (!error) {
            error = co_await reader.readBody();
        }
    }
    timeout.stop();
    if (connection.lease->evicted()) {
        error = asio::error::no_buffer_space;
    } else if (error && timeout.expired()) {
        error = boost::beast::error::timeout;
    }
    if (error) {
        co_await rejectUnreadable(connection, reader, error);
        co_return false;
    }
    connection.lease->markComplete();
    co_return true;
}

asio::awaitable<void> GatewayServer::rejectUnreadable(CallerConnection &connection, RequestReader &reader, boost::system::error_code error)
{
    const ResultCode code = unreadableRequestCode(error);
    const ResultInfo &info = resultInfo(code);
    const bool closed = isClosedByCaller(error);
    HttpRequest head;
    head.base() = reader.head();
    const CallerRequest callerRequest = m_state.protocol.readRequest(head);
    logRequest("request-unreadable",
               {{"id", callerRequest.attemptId},
                {"caller", addressOf(connection.stream.socket())},
                {"result", info.name},
                {"error", error.message()},
                {"received", std::to_string(reader.received())},
                {"held", std::to_string(connection.lease->bytes())},
                {"evicted", connection.lease->evicted() ? "true" : "false"},
                {"small", std::to_string(m_state.requestMemory->used(MemoryLease::Share::SmallRequests))},
                {"large", std::to_string(m_state.requestMemory->used(MemoryLease::Share::LargeRequests))},
                {"caller_closed", closed ? "true" : "false"}});
    if (closed) {
        co_return;
    }
    reader.discardBody();
    connection.lease->markComplete(); // an eviction would cancel the answer
    m_state.counters.countResult(code);
    HttpResponse response(static_cast<http::status>(info.httpStatus), 11);
    std::optional<Duration> retryAfter;
    if (code == ResultCode::RequestMemoryFull) {
        retryAfter = kMinMemoryRetryAfter + std::chrono::milliseconds(m_state.random() % kMemoryRetrySpread.count());
    }
    m_state.protocol.writeOwnAnswer(response, callerRequest.attemptId, retryAfter);
    response.keep_alive(false);
    response.body() = std::string(info.meaning) + '\n';
    response.prepare_payload();
    boost::system::error_code ignored; // the connection is closed in either case
    connection.stream.expires_after(kRejectionTimeout);
    co_await http::async_write(connection.stream, response, asio::redirect_error(asio::use_awaitable, ignored));
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection.rejected = true;
}

/** Reads what a rejected caller still sends: to close a connection with unread bytes resets it, and the caller could lose the answer. */
asio::awaitable<void> GatewayServer::discardInput(CallerConnection &connection)
{
    static std::array<char, kDiscardBytes> discarded; // shared by all connections, since nothing reads it
    boost::system::error_code error;
    connection.buffer = {};
    connection.stream.expires_after(kRejectionTimeout);
    while (!error) {
        co_await connection.stream.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<bool> GatewayServer::serveRequest(const std::shared_ptr<CallerConnection> &connection)
{
    const bool begun = co_await awaitRequest(*connection);
    if (!begun) {
        co_return false;
    }
    const auto active = m_state.config.active();
    const CallerLimits limits = active ? active->configuration.limits : CallerLimits();
    connection->lease.emplace(m_state.requestMemory, *connection);
    HttpRequest request;
    bool keepAlive = false;
    {
        RequestReader reader(connection->stream, connection->buffer, *connection->lease, {limits.maxHeaderBytes, limits.maxBodyBytes});
        connection->reader = &reader;
        connection->progressAt = m_state.clock.now();
        connection->progressSteps = 0;
        const bool read = co_await readRequest(*connection, reader, limits.headerTimeout);
        connection->reader = nullptr;
        if (!read) {
            connection->endRequest();
            co_return false;
        }
        keepAlive = reader.keepAlive();
        request = reader.takeRequest();
    }
    connection->stream.expires_never();
    GatewayExchange exchange(m_state, connection->stream, std::move(request), keepAlive);
    connection->exchange = &exchange;
    watchForDisconnect(connection);
    const bool again = co_await exchange.run();
    connection->exchange = nullptr;
    connection->endRequest();
    connection->reading = false;
    connection->lastUsed = m_state.clock.now();
    co_return again;
}

} // namespace fulmarlink
