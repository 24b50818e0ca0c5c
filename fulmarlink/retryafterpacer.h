#pragma once

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/**
 * When callers that were sent away for want of room may come back: one after the other, as
 * fast as there is room, so that they don't return together and are sent away again.
 *
 * Contract: pure; not thread-safe; O(1).
 */
class RetryAfterPacer
{
public:
    /** Callers that are told of a later time have mostly given up by then, and their places are free again. */
    static constexpr Duration kMaxDelay = std::chrono::seconds(10);

    /** For the next caller, where @p perSecond of them find room and the first one no sooner than @p soonest from now. */
    Duration nextDelay(double perSecond, Duration soonest, TimePoint now, Random &random);

private:
    TimePoint m_last{};
};

} // namespace fulmarlink
