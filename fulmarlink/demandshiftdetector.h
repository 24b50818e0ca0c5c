#pragma once

#include <optional>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/** Event timing of a group's streams on this host. */
struct EventTiming {
    std::optional<Duration> meanInterval; ///< between events of the last few passes; unset if too few were seen
    TimePoint lastEvent{}; ///< arrival of the last event
    Duration gapTarget{0}; ///< longest interval that meets the latency target
};

/**
 * Detects from the intervals between stream events, which cost nothing to observe, that a
 * group's expert map may no longer fit the demand, so that its expert counts should be read.
 *
 * All ranks wait for the busiest one, so a shift in demand lengthens the next pass and shows
 * on every stream at once. It is detected during that pass: a group without an event for 1.5
 * times its baseline interval is in a slow pass. Waiting for the end of the pass would cost
 * the rest of it, 0.05 s of 0.15 s.
 *
 * Does no I/O. Not thread-safe.
 */
class DemandShiftDetector
{
public:
    /** Discards the baseline. To be called after a read of the counts and after a switch. */
    void restart(TimePoint now);
    /** True if the counts should be read now. Each call also updates the baseline, so it is to be called often. */
    bool countsDue(const EventTiming &timing, TimePoint now);
    /** True if passes are so much longer than @p baseline that no demand shift explains it, so a rank must be slow. */
    static bool suggestsSlowRank(std::optional<Duration> meanInterval, std::optional<Duration> baseline);
    /** Shortest mean interval since restart(). */
    std::optional<Duration> baselineInterval() const;

private:
    std::optional<Duration> m_baseline;
    TimePoint m_restartedAt{};
};

} // namespace fulmarlink
