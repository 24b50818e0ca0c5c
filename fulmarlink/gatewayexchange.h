#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <exception>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fulmarlink/admission.h"
#include "fulmarlink/attemptpolicy.h"
#include "fulmarlink/callerprotocol.h"
#include "fulmarlink/configstate.h"
#include "fulmarlink/crashkeys.h"
#include "fulmarlink/eventsplitter.h"
#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/memorylease.h"
#include "fulmarlink/openattempt.h"
#include "fulmarlink/requestfingerprint.h"
#include "fulmarlink/route.h"
#include "fulmarlink/targetconnections.h"
#include "fulmarlink/widesocketbuffers.h"

namespace fulmarlink
{

/**
 * Handles one caller request, from the receipt of its last byte to the end of its answer.
 *
 * The caller gets exactly one response head and one answer. A truncated answer is never
 * terminated like a complete one. Once a byte has been sent to a runner, the request is
 * reported as not run only if that runner says so.
 *
 * Call run() once. callerGone() may be called at any time from the same thread.
 */
class GatewayExchange
{
public:
    static constexpr Duration kMinTimeToSend = std::chrono::milliseconds(20); ///< an answer can't arrive within less
    static constexpr std::chrono::milliseconds kWriteTimeout{4000}; ///< limit for one write to a caller that does not read

    GatewayExchange(GatewayState &state, boost::beast::tcp_stream &caller, HttpRequest request, bool keepAlive);
    ~GatewayExchange();
    GatewayExchange(const GatewayExchange &) = delete;
    GatewayExchange &operator=(const GatewayExchange &) = delete;

    /** Returns true if the caller's connection can be reused for another request. */
    boost::asio::awaitable<bool> run();
    /** Handles the disconnection of the caller: closes the runner connection so that the runner stops; nothing more is sent. */
    void callerGone();

private:
    static constexpr std::size_t kReadBufferBytes = 8192; ///< of one read of an answer
    static constexpr std::string_view kLastChunk = "0\r\n\r\n";
    using AnswerParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    bool admit();
    bool checkCrashes();
    bool updateHeldBack();
    void countSegmentRefusal(const CrashStatus &status);
    boost::asio::awaitable<bool> claimTrial();
    boost::asio::awaitable<void> recordCrashEvidence(AttemptEnd end);
    CrashSuspect crashSuspect() const;
    bool checkKey();
    RequestFingerprint fingerprint() const;
    double expectedEvents() const;
    bool refuse(ResultCode code, Duration retryAfter = Duration(0));
    const std::string &choosePool();
    boost::asio::awaitable<void> respond();
    boost::asio::awaitable<void> runAttempts();
    std::optional<TargetInfo> nextTarget();
    boost::asio::awaitable<std::optional<TargetInfo>> targetToResume();
    boost::asio::awaitable<std::optional<TargetInfo>> targetFromNextList();
    bool forgetRestartedTargets();
    PoolGate &gate();
    boost::asio::awaitable<AttemptEnd> attempt(const TargetInfo &target);
    boost::asio::awaitable<AttemptEnd> sendTo(const TargetInfo &target);
    boost::asio::awaitable<AttemptEnd> awaitAnswer(Duration timeout);
    boost::asio::awaitable<AttemptEnd> awaitOverdue();
    boost::asio::awaitable<void> setCurrentOverdue();
    void closeCurrent(AttemptEnd end, const std::exception_ptr &error);
    void closeOverdue();
    bool keepsOverdueAttempts() const;
    bool overdueReadable() const;
    RunnerExclusion reserveSendTo(const TargetInfo &target);
    boost::asio::awaitable<bool> write(TargetConnection &connection, const TargetInfo &target);
    boost::asio::awaitable<AttemptEnd> readAnswer(TargetConnection &connection, const TargetInfo &target);
    boost::asio::awaitable<boost::system::error_code> readHead(TargetConnection &connection, std::unique_ptr<AnswerParser> &parser);
    boost::asio::awaitable<boost::system::error_code> readBodyPiece(TargetConnection &connection, AnswerParser &parser, std::string &piece);
    boost::asio::awaitable<boost::system::error_code> readBody(TargetConnection &connection, AnswerParser &parser, std::string &body);
    boost::asio::awaitable<boost::system::error_code> discardBody(TargetConnection &connection, AnswerParser &parser);
    boost::asio::awaitable<AttemptEnd> relayPlain(TargetConnection &connection, AnswerParser &parser);
    boost::asio::awaitable<AttemptEnd> relayUnbuffered(TargetConnection &connection, AnswerParser &parser, std::string piece);
    boost::asio::awaitable<AttemptEnd> relayStream(TargetConnection &connection, AnswerParser &parser);
    boost::asio::awaitable<bool> writeAnswerHead(const AnswerParser &parser, std::optional<std::uint64_t> length);
    boost::asio::awaitable<bool> writeChunk(std::string data);
    boost::asio::awaitable<bool> writeToCaller(std::string bytes);
    boost::asio::awaitable<void> finish(NextStep step);
    boost::asio::awaitable<void> writeLocalReply(ResultCode code, Duration retryAfter);
    boost::asio::awaitable<void> writeResponse(HttpResponse &response);
    boost::asio::awaitable<void> pauseBeforeRetry(Duration pause);
    void recordEvents(TimePoint now);
    void recordAttemptResult(AttemptEnd end);
    void logAttemptEnd(const OpenAttempt &attempt, std::string_view reason) const;
    void recordRunnerRefusal(const TargetInfo &target, const RunnerAnswer &answer);
    bool mayRetry();
    bool takeRetry(AttemptEnd previous);
    bool shouldMoveStream();
    Duration timeLeft() const;
    Duration answerTimeout() const;
    AttemptState attemptState(AttemptEnd end);
    unsigned endedRunners();
    ResultCode unknownOutcomeCode() const;
    void log() const;
    bool mustCloseConnection() const;

    GatewayState &m_state;
    boost::beast::tcp_stream &m_caller;
    HttpRequest m_request;
    const bool m_keepAlive;
    const TimePoint m_arrived;
    CallerRequest m_callerRequest;
    RequestInfo m_info;
    Route m_route;
    std::shared_ptr<const ActiveConfiguration> m_active;
    std::string m_pool;
    std::string m_group; ///< rank group that the last attempt was sent to
    std::optional<TargetInfo> m_admittedTarget; ///< target chosen at admission, used by the first attempt
    std::string m_customer;
    RequestFingerprint m_fingerprint; ///< set once the customer is known
    CrashKeys m_crashKeys; ///< as m_fingerprint
    TimePoint m_deadline{};
    ResultCode m_result = ResultCode::Ok;
    Duration m_retryAfter{0};
    std::string m_reason; ///< why the last attempt was not answered; logged

    OpenAttempt m_current; ///< the last attempt, or the one whose answer is being read
    std::vector<OpenAttempt> m_overdue; ///< other attempts whose answers may still come
    std::set<std::string> m_triedTargets;
    std::map<std::string, TargetInfo> m_refusedTargets; ///< by id: the tried ones at whose address no process listens
    std::string m_targetIds; ///< comma-separated runner ids of all attempts; logged
    unsigned m_sends = 0;
    unsigned m_possibleRuns = 0; ///< sends, less those that their runner reported as not run
    bool m_callerGone = false;
    bool m_callerConnectionBroken = false; ///< the caller's connection can't be reused
    bool m_answerBegun = false;
    bool m_trialDue = false; ///< the request is held back after crashes and a trial run is due
    RequestFingerprint m_trialKey; ///< of the request or the segment that is to be tried
    bool m_heldBack = false; ///< by crashes that became known after admission
    ConnectionEnd m_connectionEnd = ConnectionEnd::Open; ///< of the last attempt
    bool m_runnerEnded = false; ///< the last attempt's runner ended, or may have, before it sent an event
    std::vector<RunnerAttempts::Token> m_brokenAttempts; ///< attempts whose outcome is unknown
    std::optional<Duration> m_backoff; ///< requested by the runner of the last attempt
    bool m_askedToBackOff = false; ///< by the runner of any attempt
    std::optional<TargetLoad> m_reportedLoad; ///< reported by the runner of the last attempt
    std::uint64_t m_eventsBefore = 0; ///< stream events received from earlier attempts
    unsigned m_status = 0; ///< HTTP status sent to the caller; 0 if none was sent
    MemoryLease m_answerLease; ///< for what is held of answers
    std::optional<WideSocketBuffers> m_wideBuffers; ///< while a large answer is passed on
    HttpResponse m_runnerFailure; ///< last failure response of a runner, passed on to the caller
    EventSplitter m_events;
    TimePoint m_lastEventTime{};
    TimePoint m_firstEventTime{};
    Duration m_maxEventInterval{0};
};

} // namespace fulmarlink
