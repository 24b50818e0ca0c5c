#include "review/standin/client.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace review
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

Client::Client(unsigned short port)
    : m_socket(m_context)
    , m_port(port)
{
}

bool Client::connect()
{
    boost::system::error_code error;
    if (!m_socket.is_open()) {
        m_buffer.clear();
        m_socket.connect({asio::ip::address_v4::loopback(), m_port}, error);
    }
    if (error) {
        boost::system::error_code ignored; // it is not connected
        m_socket.close(ignored);
    }
    return !error;
}

Reply Client::send(const std::string &method, const std::string &path, const std::string &head, const std::string &body)
{
    Reply reply;
    if (!connect()) {
        return reply;
    }
    boost::system::error_code error;
    const std::string length = body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    asio::write(m_socket, asio::buffer(method + ' ' + path + " HTTP/1.1\r\n" + head + length + "\r\n" + body), error);
    http::response_parser<http::string_body> parser;
    if (!error) {
        http::read(m_socket, m_buffer, parser, error);
    }
    boost::system::error_code ignored; // the connection is given up
    if (error) {
        m_socket.close(ignored);
        return reply;
    }
    const auto &response = parser.get();
    reply.status = response.result_int();
    reply.seal = std::string(response["Server-Seal"]);
    reply.attemptId = std::string(response["Attempt-Id"]);
    reply.body = response.body();
    if (!response.keep_alive()) {
        m_socket.close(ignored);
    }
    return reply;
}

} // namespace review
