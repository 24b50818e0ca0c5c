#pragma once

#include <optional>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/** The pace of a group as its streams show it here. */
struct EventTiming {
    std::optional<Duration> meanInterval; ///< between events of the last few passes; nothing where too few were seen
    TimePoint lastEvent{}; ///< when an event last came
    Duration gapTarget{0}; ///< the longest pause that is on time
};

/**
 * Tells from the pauses between events, which cost nothing, when a group's expert map no
 * longer fits what is in demand and its counts are worth reading.
 *
 * All ranks wait for the busiest one, so a turn of demand shows in the first pass after
 * it, on each stream at once. That pass is noticed while it lasts: a group that has been
 * silent for half as long again as its calm passes take is in a slow one. Waiting for
 * its end would cost what is left of it, 0.05 s of 0.15.
 *
 * Contract: pure; not thread-safe.
 */
class DemandShiftDetector
{
public:
    /** Counts were read, or a switch has ended: the pace is measured anew. */
    void restart(TimePoint now);
    /** True if the counts should be read now. To be asked often: the calm pace is learned on the way. */
    bool countsDue(const EventTiming &view, TimePoint now);
    /** Whether passes take so much longer than @p calm ones that no turn of demand explains it: a rank must be slow. */
    static bool suggestsSlowRank(std::optional<Duration> meanInterval, std::optional<Duration> calm);
    /** The shortest mean pause since restart(). */
    std::optional<Duration> baselineInterval() const;

private:
    std::optional<Duration> m_calm;
    TimePoint m_restarted{};
};

} // namespace fulmarlink
