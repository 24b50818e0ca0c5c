#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <unordered_set>

#include "fulmarlink/gatewaystate.h"

namespace fulmarlink
{

/**
 * HTTP/1.1 for callers of the gateway: reads whole requests within the configuration's
 * limits, hands each to a GatewayExchange, and tells it when its caller leaves.
 */
class GatewayServer
{
public:
    GatewayServer(const boost::asio::any_io_executor &executor, GatewayState &state);
    ~GatewayServer();

    /** Throws if the address can't be bound. */
    void listen();
    /** Closes connections on which no request has begun. */
    void closeIdle();
    void stop();

private:
    struct Connection;
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<bool> serveOne(const std::shared_ptr<Connection> &connection);
    boost::asio::awaitable<bool> readRequest(Connection &connection, RequestParser &parser);
    boost::asio::awaitable<void> refuseInput(Connection &connection, const RequestParser &parser, boost::system::error_code error);
    static void watch(const std::shared_ptr<Connection> &connection);

    boost::asio::any_io_executor m_executor;
    GatewayState &m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_set<Connection *> m_connections;
    Counters::Id m_accepted;
    Counters::Id m_acceptFailures;
    Counters::Id m_exceptions;
};

} // namespace fulmarlink
