#pragma once

#include <cstddef>
#include <deque>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

struct WindowBudgetOptions {
    Duration window = std::chrono::seconds(10);
    double ratio = 0.2; ///< repeats allowed for each request in the window
    double slack = 10; ///< further repeats allowed in the window, over all entries
    unsigned entries = 5; ///< entries that share the slack; 0: not known, and no slack is granted
    TimePoint processStart{}; ///< earlier processes of this entry may have granted repeats until then
};

/** What a WindowBudget can grant at one time, and of what. */
struct RepeatAllowance {
    double earned = 0; ///< repeats earned by the latest requests and not granted yet
    std::size_t requests = 0; ///< in the window
    std::size_t granted = 0; ///< repeats in the window, without those granted of `earned`
    double slackShare = 0; ///< this entry's part of the slack
    double allowed = 0; ///< bound of `granted`, by the requests of the window and the slack

    bool hasEarned() const
    {
        return earned >= 1;
    }

    bool permitsOneMore() const
    {
        return hasEarned() || static_cast<double>(granted) + 1 <= allowed;
    }
};

/**
 * Limits the repeats that one entry sends to a pool, so that the repeats of all entries in any window
 * keep to the ratio and the slack without any communication: the ratio of the requests of that window or
 * of the one before it, whichever are more.
 *
 * A repeat is granted of what the latest requests have earned, or else within a sliding window of this
 * entry. What is earned counts in the window of its requests, but is kept only up to a small part of the
 * slack. A sliding window allows bursts in proportion to the load, but ends at another time on each
 * entry, so that its requests may come from two windows of the bound; its ratio counts twice.
 *
 * A process does not know what earlier processes of its entry have granted, so it grants nothing of the
 * slack until a whole window has passed since its start.
 *
 * Contract: over all processes that an entry had in a window, it grants at most
 * earnedRatio * r + windowRatio * (r + r') + maxEarned + kSlackShare * slack / entries repeats, for its r requests
 * in that window and r' in the one before. O(1) amortised; not thread-safe.
 */
class WindowBudget
{
public:
    static constexpr double kRatioShare = 0.9; ///< callers may have sent a request before the window in which it is counted
    static constexpr double kSlackShare = 0.65; ///< granted within a window
    static constexpr double kEarnedShare = 0.25; ///< of the slack, for what is earned; the rest covers entries that disagree on their number

    explicit WindowBudget(WindowBudgetOptions options);

    void setOptions(WindowBudgetOptions options);
    void countRequest(TimePoint now);
    RepeatAllowance allowance(TimePoint now);
    /** Returns whether one more repeat at @p now is within the bound. */
    bool canTakeRepeat(TimePoint now);
    /** Counts one more repeat and returns true if it is within the bound. */
    bool takeRepeat(TimePoint now);

private:
    double maxEarned() const;
    double earnedRatio() const;
    double windowRatio() const;
    double slackShare(TimePoint now) const;
    void expire(TimePoint now);

    WindowBudgetOptions m_options;
    double m_earned = 0;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_repeats; ///< without those granted of m_earned
};

} // namespace fulmarlink
