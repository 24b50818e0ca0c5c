#pragma once

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/**
 * Refusals of one runner that had slots free by its own word and named no time: it is passed
 * over for a while, twice as long with each of them, half as long with each request that it
 * takes. A runner that turns away a third of its requests is hardly ever passed over; one that
 * turns away nine of ten mostly is, although it looks the least loaded of all.
 *
 * Contract: pure; not thread-safe; O(1).
 */
class RefusalBackoff
{
public:
    static constexpr Duration kInitialDelay = std::chrono::milliseconds(100);
    static constexpr unsigned kMaxDoublings = 4;

    void recordRefusal(TimePoint now);
    void recordAccepted();
    bool isBackingOff(TimePoint now) const;
    /** It has refused more than it took lately, so a request that was refused before goes elsewhere if it can. */
    bool hasRecentRefusals() const;

private:
    unsigned m_level = 0;
    TimePoint m_until{};
};

} // namespace fulmarlink
