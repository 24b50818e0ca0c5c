#pragma once

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/**
 * Exponential backoff for one runner that refuses requests although it reports free slots and
 * gives no retry time. Each refusal doubles the delay for which the runner is deprioritised, up to
 * kMaxDoublings times; each accepted request halves the next delay. A runner that refuses a third
 * of its requests is hardly ever in backoff; one that refuses nine of ten mostly is, although it
 * has the least load and would be picked first.
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
    /** True while the runner should be picked only if no better one is left. */
    bool isBackingOff(TimePoint now) const;
    /** True if recent refusals outnumber accepted requests; a request that is being retried then prefers another runner. */
    bool hasRecentRefusals() const;

private:
    unsigned m_level = 0; ///< doublings of the next delay
    TimePoint m_until{};
};

} // namespace fulmarlink
