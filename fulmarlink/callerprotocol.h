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

/** The properties of one request that its caller states, besides method, query and body. */
struct CallerRequest {
    std::string attemptId; ///< identifies this attempt; each repeat by a caller has a new one
    std::string host; ///< without a port
    std::string path; ///< without the query
    std::string apiKey; ///< empty: none was sent
    std::string lastEventId; ///< resumes the stream after this event; empty: from its beginning
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxAnswerTokens = 0;
    std::vector<std::string> sharedSegments; ///< ids of the prompt's leading segments, which other requests may share; the last segment is not one of them
    std::uint32_t ignoredSegments = 0; ///< segments before the last that are not among them: malformed ids, or too many
    std::uint32_t answerTokensHint = 0; ///< the caller's estimate of the answer's length; 0: none
    std::optional<Duration> deadline; ///< time that the caller will wait
};

/** What an entry adds to a request on its way to a runner. */
struct RunnerRequest {
    std::string targetId; ///< the only target that may run the request
    std::string customer; ///< empty: none
    Duration timeLeft{0};
    std::string lastEventId; ///< resume after this event; empty: as the caller requested
    std::optional<unsigned> priority; ///< 0 to 9; 0 is the most urgent
};

/** The contents of the head of a runner's answer. */
struct RunnerAnswer {
    static constexpr Duration kMaxBackoff = std::chrono::hours(24);

    std::string attemptId; ///< echoed from the request; empty: none
    bool isSigned = false; ///< the head carries the runner's signature, which vouches for the answer
    bool notRun = false; ///< the runner proves that it did not run the request
    std::optional<TargetLoad> load;
    std::optional<std::chrono::seconds> keepAlive; ///< how long the runner keeps an idle connection
    std::string faultyTarget; ///< the target that caused a refusal or failure; empty: not stated
    std::optional<double> requestLimit; ///< requests per second that the runner accepts from all hosts together; absent: not stated, or malformed
    std::string malformedLimit; ///< the text of a malformed request limit; empty: none
    std::optional<Duration> backoff; ///< with a refusal: time during which the runner wants no other request from this host; absent: not stated, or malformed
    std::string malformedBackoff; ///< the text of a malformed backoff; empty: none
    bool leaving = false; ///< the runner is about to shut down
    bool speaksForTarget = true; ///< the answer comes from the runner to which the request was sent
};

/**
 * Translates between the HTTP headers that callers, entries and runners exchange and the
 * structs above. Implementations only translate. Thread-safe.
 */
class CallerProtocol
{
public:
    using Fields = boost::beast::http::fields;

    virtual ~CallerProtocol() = default;
    virtual CallerRequest readRequest(const HttpRequest &request) const = 0;
    /** Turns the caller's request into the one for a runner: removes hop-by-hop headers and the API key, and adds @p extra. */
    virtual void writeRequest(HttpRequest &request, const RunnerRequest &extra) const = 0;
    virtual RunnerAnswer readAnswer(unsigned status, const Fields &head) const = 0;
    /** Copies the head of an answer for the caller, without hop-by-hop headers. */
    virtual void copyAnswerHead(const Fields &from, Fields &to) const = 0;
    /** Writes the headers of an answer that the load balancer itself generates. */
    virtual void writeOwnAnswer(Fields &head, std::string_view attemptId, std::optional<Duration> retryAfter) const = 0;
};

} // namespace fulmarlink
