#pragma once

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/**
 * Computes the retry delay for callers that are rejected for lack of capacity. Successive callers
 * get successive times, spaced at the rate at which capacity becomes free, so that they don't all
 * return at once and get rejected again.
 *
 * Contract: pure; not thread-safe; O(1).
 */
class RetryAfterPacer
{
public:
    /** Upper bound before jitter. Callers that are given a longer delay have mostly given up by then, so their places are free again. */
    static constexpr Duration kMaxDelay = std::chrono::seconds(10);

    /**
     * The delay for the next caller. Capacity frees up for @p perSecond callers a second, and for the first
     * one no sooner than @p soonest from now.
     */
    Duration nextDelay(double perSecond, Duration soonest, TimePoint now, Random &random);

private:
    TimePoint m_last{}; ///< return time given to the last caller, before jitter
};

} // namespace fulmarlink
