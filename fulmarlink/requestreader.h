#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>

#include "fulmarlink/httpclient.h"
#include "fulmarlink/leasedbody.h"

namespace fulmarlink
{

class MemoryLease;

/** Limits of one request, in bytes. */
struct RequestLimits {
    std::size_t head = 0; ///< request line and header section; also each chunk's first line, and the trailer section
    std::uint64_t body = 0; ///< without the framing of chunks
};

/**
 * Reads one request. Whatever the caller sends, it holds no more than the limits allow and what the lease grants: the head, each
 * chunk's first line with its extensions, and the trailer section are bounded by RequestLimits::head.
 *
 * Trailer fields are discarded (RFC 9110, 6.5.1): they must not decide on a request that is routed by its header fields.
 *
 * Errors: header_limit and body_limit of Beast; no_buffer_space without room for the request; partial_message if the caller
 * closes the connection; those of the parser and the socket.
 */
class RequestReader
{
public:
    using Parser = boost::beast::http::request_parser<LeasedBody>;
    static constexpr std::size_t kReadBytes = 4096;

    /** @p buffer may hold bytes already received; bytes that follow the request stay there. All arguments must outlive the reader. */
    RequestReader(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, MemoryLease &lease, RequestLimits limits);

    boost::asio::awaitable<boost::system::error_code> readHead();
    /** Reads what follows the head. The head must have been read without an error. */
    boost::asio::awaitable<boost::system::error_code> readBody();

    /** The head, as far as it has been read. */
    const Parser::value_type::header_type &head() const;
    bool isDone() const;
    /** Bytes that have arrived, including those after the request. */
    std::size_t received() const;
    /** Whether the head allows further requests on the connection. */
    bool keepAlive() const;
    /** The received request; leaves the reader empty. */
    HttpRequest takeRequest();
    /** Frees the body. */
    void discardBody();

private:
    boost::asio::awaitable<boost::system::error_code> readMore();
    bool leaseHead(std::size_t headBytes);

    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer &m_buffer;
    MemoryLease &m_lease;
    const RequestLimits m_limits;
    Parser m_parser;
    std::size_t m_received = 0; ///< bytes of the request
    std::size_t m_leasedHead = 0;
    bool m_keepAlive = false;
};

} // namespace fulmarlink
