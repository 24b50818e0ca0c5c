#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/httpclient.h"
#include "fulmarlink/targettable.h"

namespace fulmarlink
{

/** What a caller says of one request, beside method, path and body. */
struct CallerRequest {
    std::string attemptId; ///< of this attempt; each repeat by a caller has its own
    std::string host; ///< without a port
    std::string path; ///< without the query
    std::string apiKey; ///< empty: none was sent
    std::string lastEventId; ///< a stream that goes on behind this event; empty: from its beginning
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxAnswerTokens = 0;
    std::uint32_t answerTokensHint = 0; ///< the caller's guess; 0: none
    std::optional<Duration> deadline; ///< how long the caller will wait
};

/** What an entry adds to a request on its way to a runner. */
struct RunnerRequest {
    std::string targetId; ///< the only runner that may run it
    std::string customer; ///< empty: none
    Duration timeLeft{0};
    std::string lastEventId; ///< resume behind this event; empty: as the caller said
    std::optional<unsigned> priority; ///< 0 to 9, 0 first
};

/** What the head of a runner's answer says. */
struct RunnerAnswer {
    static constexpr Duration kMaxBackoff = std::chrono::hours(24);

    std::string attemptId; ///< echoed; empty: none
    bool isSigned = false; ///< the runner vouches for the answer
    bool notRun = false; ///< the runner proves that it did not run the request
    std::optional<TargetLoad> load;
    std::optional<std::chrono::seconds> keepAlive; ///< how long the runner keeps an idle connection
    std::string faultyTarget; ///< the runner that a refusal or failure is due to; empty: not said
    std::optional<double> requestLimit; ///< requests a second that the runner takes from all hosts together; absent: it names none that makes sense
    std::string malformedLimit; ///< what it names instead of such a number; empty: nothing
    std::optional<Duration> backoff; ///< with a refusal: how long the runner wants no other request from this host; absent: it names no time that makes sense
    std::string malformedBackoff; ///< what it names instead of such a time; empty: nothing
    bool leaving = false; ///< the runner is about to end
    bool speaksForTarget = true; ///< the answer is of the runner that the request was sent to
};

/**
 * The names under which callers, entries and runners speak of requests over HTTP.
 * Implementations only translate. Thread-safe.
 */
class CallerProtocol
{
public:
    using Fields = boost::beast::http::fields;

    virtual ~CallerProtocol() = default;
    virtual CallerRequest readRequest(const HttpRequest &request) const = 0;
    /** Turns the caller's own request into the one for a runner: drops what concerns one connection and the key, adds the rest. */
    virtual void writeRequest(HttpRequest &request, const RunnerRequest &extra) const = 0;
    virtual RunnerAnswer readAnswer(unsigned status, const Fields &head) const = 0;
    /** Copies the head of an answer for the caller, without what concerns one connection. */
    virtual void copyAnswerHead(const Fields &from, Fields &to) const = 0;
    /** Marks an answer of our own. */
    virtual void writeOwnAnswer(Fields &head, std::string_view attemptId, std::optional<Duration> retryAfter) const = 0;
};

} // namespace fulmarlink
