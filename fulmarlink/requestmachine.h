#pragma once

#include <cstdint>
#include <memory>

#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

/** Where a request is in its life on the entry host. */
enum class RequestState : std::uint8_t {
    Waiting, ///< for the permit of its idempotency key or of its customer's limit
    Choosing, ///< a runner, a link to it, or the end of a backoff
    Dispatched, ///< handed to a link; no byte of the answer has come
    Streaming, ///< bytes have reached the caller
    Recovering, ///< the link broke; asks the same incarnation what became of it
    Finished,
};

/** What the entry must do after an event. */
enum class RequestStep : std::uint8_t {
    Nothing,
    Choose, ///< pick a runner and dispatch
    Reattach, ///< open a link to the same runner and ask
    Finish, ///< tell the caller the final code
};

/**
 * The life of one request on the entry host as a state machine.
 *
 * How to use: call the event that happened, act on the step it gives.
 *
 * Contract, the moment after which "not run" may no longer be said: once sent() was
 * called, only notRun(), which carries a proof from the agent, leads to a code with
 * Outcome::NotRun. A request that is not idempotent goes back to Choosing only by
 * notRun(). One that is idempotent goes back only while no byte has reached the caller;
 * if it did so without a proof, it never ends with "not run" any more.
 */
class RequestMachine
{
public:
    explicit RequestMachine(bool idempotent);
    ~RequestMachine();
    RequestMachine(RequestMachine &&) noexcept;
    RequestMachine &operator=(RequestMachine &&) noexcept;

    RequestStep ready(); ///< the permits are there
    RequestStep sent(); ///< the dispatch was handed to an open link
    RequestStep giveUp(ResultCode code); ///< before sent(): the request ends with @p code
    RequestStep notRun(ResultCode code, bool mayRetry); ///< the agent proved it
    RequestStep chunk(); ///< bytes for the caller
    RequestStep end(); ///< the last chunk was given to the caller
    RequestStep lost(bool mayRetry); ///< the link broke
    RequestStep resumed(); ///< the same incarnation was asked over a new link
    RequestStep broke(ResultCode code, bool mayRetry); ///< the answer can't be completed

    RequestState state() const;
    /** The final code; meaningful once Finished. */
    ResultCode code() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace fulmarlink
