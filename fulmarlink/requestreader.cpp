// Beast's own read operations repeat reads until a head or a trailer section is complete, and its header limit applies to what
// has not been parsed yet: fields that arrive one by one pass without end. So each read and each step of the parser is made here.
//
// Beast keeps an incomplete first line of a chunk, and an incomplete trailer section, in the read buffer, whose size is bounded.

#include "fulmarlink/requestreader.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>

#include "fulmarlink/memorylease.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr std::size_t kMinReadBytes = 512;
constexpr std::size_t kFieldOverhead = 96; ///< of one header field: Beast's list and tree nodes, and the allocator's header
constexpr std::size_t kHeadCopies = 3; ///< the parser's, the one sent to a runner, and the decoded values

} // namespace

RequestReader::RequestReader(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, MemoryLease &lease, RequestLimits limits)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_lease(lease)
    , m_limits(limits)
{
    m_parser.header_limit(static_cast<std::uint32_t>(limits.head));
    m_parser.body_limit(limits.body);
    m_parser.get().body().lease = &lease;
    m_buffer.max_size(std::max(m_buffer.size(), limits.head + kReadBytes));
}

asio::awaitable<boost::system::error_code> RequestReader::readMore()
{
    const std::size_t room = m_buffer.max_size() - m_buffer.size();
    const std::size_t wanted = std::max({kMinReadBytes, m_buffer.size() == 0 ? kReadBytes : 0, m_buffer.capacity() - m_buffer.size()});
    if (room == 0) {
        co_return http::error::header_limit;
    }
    boost::system::error_code error;
    const auto space = m_buffer.prepare(std::min(room, wanted));
    const std::size_t bytes = co_await m_stream.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
    m_buffer.commit(bytes);
    m_received += bytes;
    if (m_lease.evicted()) {
        co_return asio::error::no_buffer_space;
    }
    m_lease.recordProgress(m_received);
    if (error == asio::error::eof) {
        error = http::error::partial_message;
    }
    co_return error;
}

/** Accounts for a head of @p headBytes, and for the read buffer, which grows only as long as the head or a chunked body is incomplete. */
bool RequestReader::leaseHead(std::size_t headBytes)
{
    const auto fields = static_cast<std::size_t>(std::distance(m_parser.get().begin(), m_parser.get().end()));
    const bool bufferGrows = !m_parser.is_header_done() || m_parser.chunked();
    const std::size_t buffered = bufferGrows ? m_buffer.max_size() : m_buffer.capacity();
    const std::size_t needed = kHeadCopies * headBytes + 2 * kFieldOverhead * fields + buffered;
    if (needed < m_leasedHead) {
        m_lease.shrink(m_leasedHead - needed);
    } else if (!m_lease.grow(needed - m_leasedHead)) {
        return false;
    }
    m_leasedHead = needed;
    return true;
}

asio::awaitable<boost::system::error_code> RequestReader::readHead()
{
    m_received = m_buffer.size();
    m_parser.eager(false);
    std::size_t parsed = 0;
    for (;;) {
        boost::system::error_code error;
        const std::size_t used = m_parser.put(m_buffer.data(), error);
        m_buffer.consume(used);
        parsed += used;
        if (error && error != http::error::need_more) {
            co_return error;
        }
        const bool done = m_parser.is_header_done();
        const std::size_t headBytes = parsed + (done ? 0 : m_buffer.size());
        if (headBytes > m_limits.head) {
            co_return http::error::header_limit;
        }
        if (!leaseHead(headBytes)) {
            co_return asio::error::no_buffer_space;
        }
        if (done) {
            m_keepAlive = m_parser.keep_alive();
            co_return boost::system::error_code();
        }
        error = co_await readMore();
        if (error) {
            co_return error;
        }
    }
}

asio::awaitable<boost::system::error_code> RequestReader::readBody()
{
    http::request_header<> head;
    if (m_parser.chunked()) {
        head = m_parser.get().base(); // the parser adds trailer fields to its own
    }
    m_parser.eager(true);
    bool starved = m_buffer.size() == 0;
    while (!m_parser.is_done()) {
        boost::system::error_code error;
        if (starved) {
            error = co_await readMore();
            if (error) {
                co_return error;
            }
        }
        m_buffer.consume(m_parser.put(m_buffer.data(), error));
        if (error && error != http::error::need_more) {
            co_return error;
        }
        starved = true;
    }
    if (m_parser.chunked()) {
        m_parser.get().base() = std::move(head);
    }
    co_return boost::system::error_code();
}

const RequestReader::Parser::value_type::header_type &RequestReader::head() const
{
    return m_parser.get().base();
}

bool RequestReader::isDone() const
{
    return m_parser.is_done();
}

std::size_t RequestReader::received() const
{
    return m_received;
}

bool RequestReader::keepAlive() const
{
    return m_keepAlive;
}

HttpRequest RequestReader::takeRequest()
{
    auto message = m_parser.release();
    HttpRequest request;
    request.base() = std::move(message.base());
    request.body() = std::move(message.body().text);
    return request;
}

void RequestReader::discardBody()
{
    std::string().swap(m_parser.get().body().text); // an assignment would keep the capacity
}

} // namespace fulmarlink
