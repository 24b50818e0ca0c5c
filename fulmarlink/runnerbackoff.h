#pragma once

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/**
 * The period in which one runner wants no requests from this host, and the slow start after it.
 *
 * No requests are sent before the backoff expires. Then this host may have one request in flight
 * at the runner; the window doubles with each request that the runner accepts, and slow start ends
 * when an accepted request finds the window at the number of the runner's slots. Slow start is
 * needed because all hosts that the runner refused resume at about the same time.
 *
 * Contract: no I/O, and time is passed in; not thread-safe; O(1). A later, shorter backoff does not
 * shorten an earlier one, and answers to requests sent before the expiry don't widen the window.
 */
class RunnerBackoff
{
public:
    /** Returns false if the backoff already lasts until then or longer. */
    bool extend(TimePoint until);
    /** Call when the runner begins to answer a request that was sent at @p sent. */
    void recordAccepted(TimePoint sent, unsigned slots);

    bool isBackingOff(TimePoint now) const;
    /** True during the backoff and the slow start after it. */
    bool active() const;
    /** Whether another request may be sent while this host has @p inFlight requests open at the runner. */
    bool maySend(unsigned inFlight, TimePoint now) const;
    TimePoint until() const;

private:
    TimePoint m_until{};
    unsigned m_window = 0; ///< maximum requests in flight during slow start; 0: not in slow start
};

} // namespace fulmarlink
