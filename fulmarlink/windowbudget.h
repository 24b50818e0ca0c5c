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

/** What a WindowBudget allows at one time, and what that is made of. */
struct RepeatAllowance {
    std::size_t requests = 0; ///< in the window
    std::size_t granted = 0; ///< repeats granted in the window
    double slackShare = 0; ///< this entry's part of the slack
    double allowed = 0; ///< repeats allowed in the window

    bool permitsOneMore() const
    {
        return static_cast<double>(granted) + 1 <= allowed;
    }
};

/**
 * Limits the repeats that one entry sends to a pool in any sliding window.
 *
 * Each entry keeps to the ratio of its own requests and to its part of the slack, so the sum over
 * all entries keeps to the ratio and the slack without any communication between them. A process
 * does not know what earlier processes of its entry have granted, so it grants nothing of the
 * slack until a whole window has passed since its start.
 *
 * An entry uses only kUsableShare of both. The rest covers requests that one entry counts in an
 * earlier window than the others, and entries that disagree on their number.
 *
 * Contract: in any window that ends with a grant the repeats granted are at most
 * kUsableShare * (ratio * requests of that window + slack / entries), and without the slack before
 * processStart + window. O(1) amortised; not thread-safe.
 */
class WindowBudget
{
public:
    static constexpr double kUsableShare = 0.7;

    explicit WindowBudget(WindowBudgetOptions options);

    void setOptions(WindowBudgetOptions options);
    void countRequest(TimePoint now);
    RepeatAllowance allowance(TimePoint now);
    /** Returns whether one more repeat at @p now is within the bound. */
    bool canTakeRepeat(TimePoint now);
    /** Counts one more repeat and returns true if it is within the bound. */
    bool takeRepeat(TimePoint now);

private:
    void expire(TimePoint now);

    WindowBudgetOptions m_options;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_repeats;
};

} // namespace fulmarlink
