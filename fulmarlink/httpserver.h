#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "fulmarlink/httpclient.h"

namespace fulmarlink
{

/** What the clients of an HttpServer may send and keep open. */
struct HttpServerLimits {
    std::size_t connections = 1024; ///< a further one takes the place of the oldest
    std::size_t bodyBytes = 2U << 20; ///< of one request
};

/**
 * A small HTTP/1.1 server for admin endpoints and stand-ins: whole requests, whole
 * answers, a coroutine for each connection. Callers' traffic has EntryServer and GatewayServer.
 *
 * A request beyond the limits, or one that can't be read, closes its connection.
 */
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;
    static constexpr std::size_t kMaxHeadBytes = 8U << 10; ///< of one request; also of a trailer section
    static constexpr std::size_t kMaxRequestOverhead = 128U << 10; ///< memory that one request takes besides its body

    HttpServer(boost::asio::any_io_executor executor, Handler handler, HttpServerLimits limits = {});

    /** Port 0 takes any free one. Gives the port; throws if the address can't be bound. */
    std::uint16_t listen(const std::string &address, std::uint16_t port);
    void close();

private:
    boost::asio::awaitable<void> acceptLoop();
    struct Connection;

    void makeRoom();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);

    boost::asio::any_io_executor m_executor;
    Handler m_handler;
    const HttpServerLimits m_limits;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<Connection>> m_connections; ///< the oldest first; used on the acceptor's executor only
};

/** An answer with a text body. */
HttpResponse textResponse(unsigned status, std::string text, std::string_view contentType = "text/plain");

} // namespace fulmarlink
