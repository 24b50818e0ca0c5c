#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>

namespace review
{

using Request = boost::beast::http::request<boost::beast::http::string_body>;

/** One accepted connection of a Server. Writes are raw bytes, so that a stand-in can also send what is no answer. */
class Connection
{
public:
    explicit Connection(boost::asio::ip::tcp::socket socket);

    /** Blocks until a whole request has arrived; false at the end of the connection. */
    bool read(Request &request);
    /** False if the peer has closed the connection. */
    bool write(const std::string &bytes);
    /** Wakes a blocked read(). Thread-safe. */
    void shutdown();

    std::string pendingExtra; ///< bytes that belong to no request, to be sent when the next request has arrived

private:
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

/** Blocking HTTP/1.1 server on a loopback port, with a thread for each connection. */
class Server
{
public:
    /** Handles one request; false closes the connection. */
    using Handler = std::function<bool(Connection &, const Request &)>;

    explicit Server(Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    unsigned short port() const;
    /** Ends like a process that exits: closes the port and all connections. */
    void end();

private:
    void acceptLoop();
    void serve(const std::shared_ptr<Connection> &connection);

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::mutex m_mutex;
    std::list<std::shared_ptr<Connection>> m_connections;
    bool m_ended = false;
};

/** The bytes of an answer with a length. @p head holds further header lines, each ended by CRLF. */
std::string answer(const std::string &status, const std::string &head, const std::string &body);
std::string header(const Request &request, const std::string &name);
/** A loopback port that was free a moment ago, below those that the system hands to outgoing connections. */
unsigned short freePort();

} // namespace review
