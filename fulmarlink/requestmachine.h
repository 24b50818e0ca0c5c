#pragma once

#include <cstdint>
#include <memory>

#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

/** The state of a request on the entry host. */
enum class RequestState : std::uint8_t {
    Waiting, ///< waits for the permit of its idempotency key or of its customer's limit
    Choosing, ///< waits for a runner, a link to it, or the end of a backoff
    Dispatched, ///< handed to a link; no byte of the answer has arrived
    Streaming, ///< bytes of the answer were given to the caller
    Recovering, ///< the link broke; asks the same runner incarnation for the request's outcome
    Finished,
};

/** What the entry must do after an event. */
enum class RequestStep : std::uint8_t {
    Nothing,
    Choose, ///< pick a runner and dispatch
    Reattach, ///< open a new link to the same runner and ask for the outcome
    Finish, ///< report the final code to the caller
};

/**
 * State machine of one request on the entry host.
 *
 * Usage: call the method of the event that occurred and carry out the step it returns.
 *
 * Contract on when "not run" may be reported: once sent() was called, only notRun(), which
 * carries a proof from the agent, leads to a code with Outcome::NotRun. A request that is
 * not idempotent returns to Choosing only through notRun(). An idempotent one returns only
 * while no byte was given to the caller; if it returned without a proof, it never ends
 * with "not run" afterwards.
 */
class RequestMachine
{
public:
    explicit RequestMachine(bool idempotent);
    ~RequestMachine();
    RequestMachine(RequestMachine &&) noexcept;
    RequestMachine &operator=(RequestMachine &&) noexcept;

    RequestStep ready(); ///< all permits were granted
    RequestStep sent(); ///< the dispatch was handed to an open link
    RequestStep giveUp(ResultCode code); ///< before sent(): the request ends with @p code
    RequestStep notRun(ResultCode code, bool mayRetry); ///< the agent proved that the request was not run
    RequestStep chunk(); ///< bytes of the answer arrived for the caller
    RequestStep end(); ///< the last chunk was given to the caller
    RequestStep lost(bool mayRetry); ///< the link broke
    RequestStep resumed(); ///< a new link asked the same runner incarnation for the outcome
    RequestStep broke(ResultCode code, bool mayRetry); ///< the answer can't be completed

    RequestState state() const;
    /** The final code; meaningful once Finished. */
    ResultCode code() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace fulmarlink
