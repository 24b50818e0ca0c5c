#include "review/standin/server.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <random>
#include <sys/socket.h>
#include <thread>

namespace review
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr unsigned kFirstPort = 12000;
constexpr unsigned kLastPort = 31000;

tcp::endpoint loopback(unsigned short port)
{
    return {asio::ip::address_v4::loopback(), port};
}

} // namespace

Connection::Connection(tcp::socket socket)
    : m_socket(std::move(socket))
{
    boost::system::error_code ignored; // only makes the connection faster
    m_socket.set_option(tcp::no_delay(true), ignored);
}

bool Connection::read(Request &request)
{
    request = {};
    boost::system::error_code error;
    http::read(m_socket, m_buffer, request, error);
    return !error;
}

bool Connection::write(const std::string &bytes)
{
    boost::system::error_code error;
    asio::write(m_socket, asio::buffer(bytes), error);
    return !error;
}

void Connection::shutdown()
{
    ::shutdown(m_socket.native_handle(), SHUT_RDWR);
}

Server::Server(Handler handler)
    : m_acceptor(m_context, loopback(0))
    , m_handler(std::move(handler))
{
    std::thread([this] {
        acceptLoop();
    }).detach();
}

Server::~Server()
{
    end();
}

unsigned short Server::port() const
{
    return m_acceptor.local_endpoint().port();
}

void Server::end()
{
    const std::lock_guard lock(m_mutex);
    if (m_ended) {
        return;
    }
    m_ended = true;
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    for (const auto &connection : m_connections) {
        connection->shutdown();
    }
}

void Server::acceptLoop()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        const std::lock_guard lock(m_mutex);
        if (error || m_ended) {
            boost::system::error_code ignored; // it is closed in either case
            m_acceptor.close(ignored);
            return;
        }
        const auto connection = std::make_shared<Connection>(std::move(socket));
        m_connections.push_back(connection);
        std::thread([this, connection] {
            serve(connection);
        }).detach();
    }
}

void Server::serve(const std::shared_ptr<Connection> &connection)
{
    Request request;
    while (connection->read(request) && m_handler(*connection, request)) {
    }
    connection->shutdown();
    const std::lock_guard lock(m_mutex);
    m_connections.remove(connection);
}

std::string answer(const std::string &status, const std::string &head, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string header(const Request &request, const std::string &name)
{
    return std::string(request[name]);
}

unsigned short freePort()
{
    static std::mt19937 random{std::random_device()()};
    asio::io_context context;
    for (;;) {
        const auto port = static_cast<unsigned short>(std::uniform_int_distribution<unsigned>(kFirstPort, kLastPort)(random));
        tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(tcp::v4(), error);
        acceptor.bind(loopback(port), error);
        if (!error) {
            return port;
        }
    }
}

} // namespace review
