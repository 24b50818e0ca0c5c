#pragma once

#include <deque>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

struct WindowBudgetOptions {
    Duration window = std::chrono::seconds(10);
    double ratio = 0.2; ///< repeats allowed for each request of the window
    double slack = 10; ///< and this many more, over all entries
    unsigned entries = 5; ///< entries that share the slack
};

/**
 * Bounds the repeats that one entry sends to a pool within any sliding window.
 *
 * Each entry keeps to the ratio of its own requests and to its part of the slack, so the
 * sum over all entries keeps to the ratio and the slack without a message between them.
 * kUsableShare leaves the rest of both for entries that have just been restarted and have
 * forgotten what they sent.
 *
 * Contract: in any window the repeats granted are at most kUsableShare x (ratio x requests
 * of that window + slack / entries). O(1) amortised; not thread-safe.
 */
class WindowBudget
{
public:
    static constexpr double kUsableShare = 0.7;

    explicit WindowBudget(WindowBudgetOptions options);

    void setOptions(WindowBudgetOptions options);
    void countRequest(TimePoint now);
    /** True if one more repeat would keep the bound now. */
    bool canTakeRepeat(TimePoint now);
    /** True, and counted, if one more repeat keeps the bound. */
    bool takeRepeat(TimePoint now);

private:
    void expire(TimePoint now);

    WindowBudgetOptions m_options;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_repeats;
};

} // namespace fulmarlink
