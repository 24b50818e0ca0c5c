#pragma once

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/**
 * The time for which one runner wants no request from this host, and the slow start after it.
 *
 * While it backs off the runner gets nothing. Then this host has one request open there, and
 * twice as many with each one that the runner takes, until there is one for each of its slots:
 * the hosts that it turned away come back at about the same time.
 *
 * Contract: pure; not thread-safe; O(1). A later, shorter request to back off does not shorten
 * an earlier one, and answers to requests that were sent before its end prove nothing.
 */
class RunnerBackoff
{
public:
    /** False if it already lasts that long. */
    bool extend(TimePoint until);
    /** The runner has begun to answer a request that was sent at @p sent. */
    void recordAccepted(TimePoint sent, unsigned slots);

    bool isBackingOff(TimePoint now) const;
    /** Slow start goes on; also true while it backs off. */
    bool active() const;
    /** Whether another request may be sent while @p open of this host's are open there. */
    bool maySend(unsigned open, TimePoint now) const;
    TimePoint until() const;

private:
    TimePoint m_until{};
    unsigned m_window = 0; ///< requests that may be open in slow start; 0: it is over
};

} // namespace fulmarlink
