#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_set>

#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

struct CallerConnection;
class RequestReader;

/**
 * HTTP/1.1 server for callers. Reads complete requests within the configured limits, passes each
 * to a GatewayExchange, and notifies the exchange when its caller disconnects.
 *
 * At most GatewaySettings::maxCallerConnections connections are open. A further one takes the place of one that is not
 * needed (see leastNeeded()); if there is none, it is closed without reading from it, so that its caller may try another host at once. All requests together
 * hold no more than GatewayState::requestMemory allows; one without room is refused as not run.
 */
class GatewayServer
{
public:
    GatewayServer(const boost::asio::any_io_executor &executor, GatewayState &state);
    ~GatewayServer();

    /** Starts to accept connections. Throws if the address can't be bound. */
    void listen();
    /** Closes connections on which no byte of a request has arrived and none is in progress. */
    void closeIdle();
    void stop();

private:
    boost::asio::awaitable<void> acceptLoop();
    bool makeRoom();
    CallerConnection *leastNeeded() const;
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerConnection> connection);
    boost::asio::awaitable<bool> serveRequest(const std::shared_ptr<CallerConnection> &connection);
    boost::asio::awaitable<bool> awaitRequest(CallerConnection &connection);
    boost::asio::awaitable<bool> readRequest(CallerConnection &connection, RequestReader &reader, std::chrono::milliseconds headerTimeout);
    boost::asio::awaitable<void> rejectUnreadable(CallerConnection &connection, RequestReader &reader, boost::system::error_code error);
    boost::asio::awaitable<void> discardInput(CallerConnection &connection);
    static void watchForDisconnect(const std::shared_ptr<CallerConnection> &connection);

    boost::asio::any_io_executor m_executor;
    GatewayState &m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_set<CallerConnection *> m_connections;
    Counters::Id m_accepted;
    Counters::Id m_acceptFailures;
    Counters::Id m_open;
    Counters::Id m_closedUnread; ///< new connections for which there was no room
    Counters::Id m_closedStalled; ///< connections that were closed to make room, within a request that had made no progress for long
    Counters::Id m_closedIdle; ///< idle connections that were closed to make room
    bool m_full = false; ///< the last new connection found no room
    Counters::Id m_exceptions;
};

} // namespace fulmarlink
