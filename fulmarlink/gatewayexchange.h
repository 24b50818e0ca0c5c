#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <set>
#include <string>

#include "fulmarlink/admission.h"
#include "fulmarlink/attemptpolicy.h"
#include "fulmarlink/callerprotocol.h"
#include "fulmarlink/configstate.h"
#include "fulmarlink/eventsplitter.h"
#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/requestfingerprint.h"
#include "fulmarlink/route.h"
#include "fulmarlink/targetconnections.h"

namespace fulmarlink
{

/**
 * One request of a caller from its last byte to the end of its answer.
 *
 * Invariants: the caller gets one head and one answer; an answer that ends early is
 * never made to look whole; after the first byte went out to a runner only the runner's
 * own word lets the request be called not run.
 *
 * How to use: run() once; callerGone() at any time from the same thread.
 */
class GatewayExchange
{
public:
    static constexpr Duration kLeastTimeToSend = std::chrono::milliseconds(20); ///< with less left no answer can arrive
    static constexpr std::chrono::milliseconds kWriteTimeout{4000}; ///< to a caller that does not read

    GatewayExchange(GatewayState &state, boost::beast::tcp_stream &caller, HttpRequest request, bool keepAlive);
    ~GatewayExchange();
    GatewayExchange(const GatewayExchange &) = delete;
    GatewayExchange &operator=(const GatewayExchange &) = delete;

    /** True if the caller's connection can take another request. */
    boost::asio::awaitable<bool> run();
    /** The caller has left: the runner's work is stopped, nothing more is sent. */
    void callerGone();

private:
    using AnswerParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    bool admit();
    bool checkCrashes();
    bool heldBack();
    boost::asio::awaitable<bool> claimTrial();
    boost::asio::awaitable<void> noteEnd(const TargetInfo &target, AttemptEnd end);
    CrashSuspect suspect() const;
    bool checkKey();
    RequestFingerprint fingerprint() const;
    double usualEvents() const;
    bool refuse(ResultCode code, Duration retryAfter = Duration(0));
    const std::string &choosePool();
    boost::asio::awaitable<void> answer();
    boost::asio::awaitable<void> serve();
    std::optional<TargetInfo> nextTarget();
    boost::asio::awaitable<std::optional<TargetInfo>> targetToResume();
    PoolGate &gate();
    boost::asio::awaitable<AttemptEnd> attempt(const TargetInfo &target);
    boost::asio::awaitable<AttemptEnd> sendTo(const TargetInfo &target);
    RunnerExclusion takeRoom(const TargetInfo &target);
    boost::asio::awaitable<bool> write(TargetConnection &connection, const TargetInfo &target);
    boost::asio::awaitable<AttemptEnd> readAnswer(TargetConnection &connection, const TargetInfo &target);
    boost::asio::awaitable<boost::system::error_code> readHead(TargetConnection &connection, std::unique_ptr<AnswerParser> &parser);
    boost::asio::awaitable<boost::system::error_code> readBody(TargetConnection &connection, AnswerParser &parser, std::string &body);
    boost::asio::awaitable<AttemptEnd> relayPlain(TargetConnection &connection, AnswerParser &parser);
    boost::asio::awaitable<AttemptEnd> relayStream(TargetConnection &connection, AnswerParser &parser);
    boost::asio::awaitable<bool> writeStreamHead(const AnswerParser &parser);
    boost::asio::awaitable<bool> writeEvents(std::string events);
    boost::asio::awaitable<void> finish(NextStep step);
    boost::asio::awaitable<void> writeOwn(ResultCode code, Duration retryAfter);
    boost::asio::awaitable<void> writeWhole(HttpResponse &response);
    boost::asio::awaitable<void> pauseBeforeRetry(Duration pause);
    void noteEvents(TimePoint now);
    void noteAttempt(const TargetInfo &target, AttemptEnd end, TimePoint began);
    void noteRefusal(const TargetInfo &target, const RunnerAnswer &answer);
    bool mayRetry();
    bool shouldMove();
    Duration timeLeft() const;
    Duration answerPatience() const;
    AttemptState attemptState(AttemptEnd end) const;
    ResultCode unknownCode() const;
    void log() const;
    bool closing() const;

    GatewayState &m_state;
    boost::beast::tcp_stream &m_caller;
    HttpRequest m_request;
    const bool m_keepAlive;
    const TimePoint m_arrived;
    CallerRequest m_facts;
    RequestInfo m_info;
    Route m_route;
    std::shared_ptr<const ActiveConfiguration> m_active;
    std::string m_pool;
    std::string m_group; ///< of ranks, to which the last attempt went
    std::optional<TargetInfo> m_admitted; ///< for the first attempt
    std::string m_customer;
    RequestFingerprint m_fingerprint; ///< set once the customer is known
    TimePoint m_deadline{};
    ResultCode m_result = ResultCode::Ok;
    Duration m_retryAfter{0};
    std::string m_reason; ///< of the last attempt that did not answer, for the log

    std::shared_ptr<TargetConnection> m_connection; ///< in use, so that callerGone() can close it
    std::set<std::string> m_tried;
    std::string m_target; ///< id of the runner of the last attempt
    std::string m_targets; ///< ids, for the log
    unsigned m_sends = 0;
    unsigned m_ran = 0;
    bool m_gone = false;
    bool m_broken = false; ///< the caller's connection can't be used any more
    bool m_answerBegun = false;
    bool m_trial = false; ///< it is held back, and this host has a try
    bool m_heldBack = false; ///< since it was taken
    bool m_cut = false; ///< the runner or the way to it broke the last attempt's connection
    bool m_runnerEnded = false; ///< of the last attempt, before the first part of its answer
    RunnerAttempts::Token m_attempt = 0; ///< the last one
    TimePoint m_attemptSent{}; ///< when the last one's request went out
    std::optional<Duration> m_backoff; ///< that the runner of the last attempt asked for
    std::optional<TargetLoad> m_toldLoad; ///< by the runner of the last attempt
    std::uint64_t m_eventsBefore = 0; ///< of a stream, from earlier attempts
    unsigned m_status = 0; ///< given to the caller; 0: nothing
    HttpResponse m_failure; ///< the last failure that a runner gave, for the caller
    EventSplitter m_events;
    TimePoint m_lastEvent{};
    TimePoint m_firstEvent{};
    Duration m_longestPause{0};
};

} // namespace fulmarlink
