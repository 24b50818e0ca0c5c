#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "fulmarlink/httpclient.h"

namespace fulmarlink
{

/**
 * A small HTTP/1.1 server for admin endpoints and stand-ins: whole requests, whole
 * answers, a coroutine for each connection. Callers' traffic has EntryServer.
 */
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;
    static constexpr std::uint64_t kMaxBodyBytes = 2U << 20;

    HttpServer(boost::asio::any_io_executor executor, Handler handler);

    /** Port 0 takes any free one. Gives the port; throws if the address can't be bound. */
    std::uint16_t listen(const std::string &address, std::uint16_t port);
    void close();

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor m_executor;
    Handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

/** An answer with a text body. */
HttpResponse textResponse(unsigned status, std::string text, std::string_view contentType = "text/plain");

} // namespace fulmarlink
