#pragma once

#include <deque>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/**
 * The largest value that a number had within the last window, its present value included.
 *
 * Contract: neither time nor the begin of the window goes back from call to call. O(1) amortised; not thread-safe.
 */
class RecentMaximum
{
public:
    /** The number has @p value from @p now on. */
    void set(unsigned value, TimePoint now);
    /** 0 until a value has been set. */
    unsigned maximum(TimePoint now, Duration window);

private:
    struct Former {
        unsigned value = 0;
        TimePoint until{};
    };

    unsigned m_value = 0;
    std::deque<Former> m_former; ///< larger former values, in order of time; they decrease
};

} // namespace fulmarlink
