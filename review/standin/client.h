#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <string>

namespace review
{

/** What a client got for one attempt. */
struct Reply {
    unsigned status = 0; ///< 0: the connection ended without a complete answer
    std::string seal;
    std::string attemptId;
    std::string body;
};

/** A client with one kept connection, which it opens anew when needed. Repeats nothing by itself. */
class Client
{
public:
    explicit Client(unsigned short port);

    /** Sends one request, blocks for its answer. @p head holds header lines, each ended by CRLF. */
    Reply send(const std::string &method, const std::string &path, const std::string &head, const std::string &body);

private:
    bool connect();

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    unsigned short m_port;
};

} // namespace review
