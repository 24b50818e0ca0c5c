// Bodies of plain answers: held until they are complete, so that another runner's answer can take their place, or passed on as they
// arrive if there is no memory for them.
//
// Each co_await is a statement of its own; the reason is in gatewayexchange.cpp.

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include "fulmarlink/gatewayexchange.h"
#include "fulmarlink/leasedtext.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr std::size_t kMaxBufferedBodyBytes = 32U << 20;

} // namespace

/** Reads what arrives next of the body, at most kReadBufferBytes. */
asio::awaitable<boost::system::error_code> GatewayExchange::readBodyPiece(TargetConnection &connection, AnswerParser &parser, std::string &piece)
{
    std::array<char, kReadBufferBytes> bytes{};
    boost::system::error_code error;
    auto &space = parser.get().body();
    space.data = bytes.data();
    space.size = bytes.size();
    co_await http::async_read_some(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer) {
        error = {};
    }
    piece.assign(bytes.data(), bytes.size() - space.size);
    co_return error;
}

/** Reads the body as far as there is memory for it; then the result is no_buffer_space, and @p body has what has been read. */
asio::awaitable<boost::system::error_code> GatewayExchange::readBody(TargetConnection &connection, AnswerParser &parser, std::string &body)
{
    const boost::optional<std::uint64_t> length = parser.content_length();
    const std::size_t maxSize = length ? static_cast<std::size_t>(*length) : kMaxBufferedBodyBytes;
    std::string piece;
    parser.eager(true);
    while (!parser.is_done()) {
        const boost::system::error_code error = co_await readBodyPiece(connection, parser, piece);
        const bool room = body.size() + piece.size() <= kMaxBufferedBodyBytes && reserveLeased(body, body.size() + piece.size(), maxSize, m_answerLease);
        body.append(piece);
        if (error) {
            co_return error;
        }
        if (!room && !parser.is_done()) {
            co_return asio::error::no_buffer_space;
        }
        if (!m_wideBuffers && body.size() > RequestMemory::kSmallBytes) {
            m_wideBuffers.emplace(m_caller.socket(), m_answerLease);
        }
    }
    co_return boost::system::error_code();
}

asio::awaitable<boost::system::error_code> GatewayExchange::discardBody(TargetConnection &connection, AnswerParser &parser)
{
    std::string piece;
    boost::system::error_code error;
    parser.eager(true);
    while (!parser.is_done() && !error) {
        error = co_await readBodyPiece(connection, parser, piece);
    }
    co_return error;
}

/**
 * Passes on an answer for which there is no memory, as fast as its caller takes it. Nothing is read from the runner meanwhile but
 * @p piece, so the answer can't come from another runner any more if this one breaks off.
 */
asio::awaitable<AttemptEnd> GatewayExchange::relayUnbuffered(TargetConnection &connection, AnswerParser &parser, std::string piece)
{
    const boost::optional<std::uint64_t> announced = parser.content_length();
    const std::optional<std::uint64_t> length = announced ? std::optional(*announced) : std::nullopt;
    boost::system::error_code error;
    bool written = false;
    if (!m_callerGone) {
        written = co_await writeAnswerHead(parser, length);
    }
    m_state.counters.add(m_state.unbufferedAnswers);
    while (written && !error) {
        if (length) {
            written = co_await writeToCaller(std::move(piece));
        } else if (!piece.empty()) {
            written = co_await writeChunk(std::move(piece));
        }
        if (parser.is_done() || !written) {
            break;
        }
        connection.stream.expires_after(timerMs(timeLeft()));
        error = co_await readBodyPiece(connection, parser, piece);
    }
    if (error || !written) {
        m_reason = error ? "body: " + error.message() : "caller does not read";
        m_connectionEnd = connectionEnd(error, true);
        m_callerConnectionBroken = true;
        co_return AttemptEnd::Broken;
    }
    if (!length) {
        written = co_await writeToCaller(std::string(kLastChunk));
        m_callerConnectionBroken = m_callerConnectionBroken || !written;
    }
    if (parser.keep_alive() && m_current.connection) {
        m_state.connections->release(m_current.connection);
    }
    co_return AttemptEnd::Answered;
}

} // namespace fulmarlink
