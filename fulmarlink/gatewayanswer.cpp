// What an exchange writes to its caller: locally generated replies, whole answers, heads and pieces. And the request log line.
//
// Each co_await is a statement of its own; the reason is in gatewayexchange.cpp.

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

#include "fulmarlink/admission.h"
#include "fulmarlink/backoffrecorder.h"
#include "fulmarlink/gatewayexchange.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr std::size_t kMaxWriteBytes = 64U << 10; ///< written to a caller within one kWriteTimeout
constexpr Duration kRefusedRetryAfter = std::chrono::milliseconds(400);
constexpr Duration kMaxRecordingTime = std::chrono::milliseconds(100); ///< a write takes a few ms; callers don't wait for a slow store

} // namespace

ResultCode GatewayExchange::unknownOutcomeCode() const
{
    if (m_answerBegun) {
        return ResultCode::AnswerCutShort;
    }
    if (timeLeft() <= kMinTimeToSend) {
        return ResultCode::DeadlineAfterDispatch;
    }
    if (m_runnerEnded) {
        return ResultCode::RunnerEnded;
    }
    return m_reason == "invalid" || m_reason.starts_with("foreign") ? ResultCode::AnswerInvalid : ResultCode::EngineBroke;
}

asio::awaitable<void> GatewayExchange::finish(NextStep step)
{
    switch (step) {
    case NextStep::Deliver:
    case NextStep::Again:
        break;
    case NextStep::RefuseNotRun:
        if (m_askedToBackOff) {
            co_await m_state.backoffRecorder->awaitRecorded(kMaxRecordingTime);
        }
        if (m_heldBack) {
            m_result = ResultCode::RequestEndsRunners;
            co_await writeLocalReply(m_result, m_retryAfter);
            break;
        }
        if (const BlockedRunners blocked = m_state.targets.blocked(m_pool, {}, m_state.clock.now()); blocked.free == 0 && blocked.runners() > 0) {
            m_result = blockedResultCode(blocked);
            m_retryAfter = blockedRetryAfter(m_state, m_pool);
            co_await writeLocalReply(m_result, m_retryAfter);
            break;
        }
        m_result = m_sends > 0 ? ResultCode::RunnerBusy : ResultCode::NoRunnerReachable;
        m_retryAfter
            = Duration(kRefusedRetryAfter.count() / 2 + static_cast<Duration::rep>(m_state.random() % static_cast<std::uint64_t>(kRefusedRetryAfter.count())));
        co_await writeLocalReply(m_result, m_retryAfter);
        break;
    case NextStep::PassFailure:
        m_result = ResultCode::RunnerFailed;
        co_await writeResponse(m_runnerFailure);
        break;
    case NextStep::Unknown:
        m_result = unknownOutcomeCode();
        if (m_answerBegun) {
            m_callerConnectionBroken = true;
        } else {
            co_await writeLocalReply(m_result, Duration(0));
        }
        break;
    }
}

asio::awaitable<void> GatewayExchange::writeLocalReply(ResultCode code, Duration retryAfter)
{
    const ResultInfo &info = resultInfo(code);
    HttpResponse response(static_cast<http::status>(info.httpStatus), 11);
    m_state.protocol.writeOwnAnswer(response, m_callerRequest.attemptId, info.retryLater ? std::optional(retryAfter) : std::nullopt);
    response.set("Fulmarlink-Result", std::to_string(static_cast<int>(code)) + ' ' + std::string(info.name));
    response.set(http::field::content_type, "text/plain");
    response.body() = std::string(info.meaning) + '\n';
    co_await writeResponse(response);
}

asio::awaitable<void> GatewayExchange::writeResponse(HttpResponse &response)
{
    response.keep_alive(!mustCloseConnection());
    response.prepare_payload();
    m_answerBegun = true;
    m_status = response.result_int();
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    m_caller.expires_after(kWriteTimeout);
    if (response.body().size() <= kMaxWriteBytes) {
        co_await http::async_write(m_caller, response, token);
    } else {
        http::response_serializer<http::string_body> serializer(response);
        co_await http::async_write_header(m_caller, serializer, token);
        asio::const_buffer rest = asio::buffer(response.body());
        while (!error && rest.size() > 0) {
            m_caller.expires_after(kWriteTimeout); // for each piece: a slow caller is no reason to give up, one that does not read is
            rest += co_await asio::async_write(m_caller, asio::buffer(rest, kMaxWriteBytes), token);
        }
    }
    m_callerConnectionBroken = m_callerConnectionBroken || error;
}

/** Writes the head of an answer whose body follows in pieces, once; without a @p length they are chunks. */
asio::awaitable<bool> GatewayExchange::writeAnswerHead(const AnswerParser &parser, std::optional<std::uint64_t> length)
{
    if (m_answerBegun) {
        co_return !m_callerConnectionBroken;
    }
    http::response<http::empty_body> response(parser.get().result(), 11);
    m_state.protocol.copyAnswerHead(parser.get(), response);
    if (length) {
        response.content_length(*length);
    } else {
        response.chunked(true);
    }
    response.keep_alive(!mustCloseConnection());
    http::response_serializer<http::empty_body> serializer(response);
    boost::system::error_code error;
    m_answerBegun = true;
    m_status = response.result_int();
    m_caller.expires_after(kWriteTimeout);
    co_await http::async_write_header(m_caller, serializer, asio::redirect_error(asio::use_awaitable, error));
    m_callerConnectionBroken = m_callerConnectionBroken || error;
    co_return !error;
}

asio::awaitable<bool> GatewayExchange::writeChunk(std::string data)
{
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16).ptr;
    std::string chunk(size.data(), end);
    chunk += "\r\n";
    chunk += data;
    chunk += "\r\n";
    const bool written = co_await writeToCaller(std::move(chunk));
    co_return written;
}

asio::awaitable<bool> GatewayExchange::writeToCaller(std::string bytes)
{
    boost::system::error_code error;
    m_caller.expires_after(kWriteTimeout);
    co_await asio::async_write(m_caller, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

void GatewayExchange::log() const
{
    const TimePoint now = m_state.clock.now();
    const ResultInfo &info = resultInfo(m_callerGone ? ResultCode::CallerGone : m_result);
    logRequest("request",
               {{"id", m_callerRequest.attemptId},
                {"fingerprint", m_fingerprint.text()},
                {"segments", joined(m_callerRequest.sharedSegments)},
                {"route", m_route.name},
                {"pool", m_pool},
                {"group", m_group},
                {"customer", m_customer},
                {"config", std::to_string(m_state.config.version())},
                {"proof_ms", msText(m_state.config.age(now))},
                {"targets", m_targetIds},
                {"sends", std::to_string(m_sends)},
                {"ran", std::to_string(m_possibleRuns)},
                {"result", info.name},
                {"status", std::to_string(m_status)},
                {"reason", m_reason},
                {"retry_ms", msText(m_retryAfter)},
                {"first_ms", m_firstEventTime == TimePoint{} ? "-" : msText(m_firstEventTime - m_arrived)},
                {"pause_ms", msText(m_maxEventInterval)},
                {"left_ms", msText(timeLeft())},
                {"ms", msText(now - m_arrived)}});
}

} // namespace fulmarlink
