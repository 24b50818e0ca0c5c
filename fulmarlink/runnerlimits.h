#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/crashrecord.h"

namespace fulmarlink
{

/** Limit on the rate of requests that a runner accepts from all hosts together, as known to this host. */
struct RunnerLimit {
    double perSecond = 0; ///< requests per second
    TimePoint since{}; ///< when this host first learned that the runner has a limit
    TimePoint confirmedAt{}; ///< when a runner's answer or another host's record last stated the limit
    std::string source; ///< the attempt whose answer set the current value, or the host whose record did
};

enum class LimitChange : std::uint8_t {
    None,
    Named, ///< the first known limit of this incarnation of the runner
    Changed,
    Ended,
};

std::string_view limitChangeName(LimitChange change);

/** What one answer of a runner says about the runner's limit. */
struct LimitObservation {
    std::optional<double> perSecond; ///< absent: the answer states no limit
    TimePoint sent{}; ///< when the answered request was sent
    TimePoint now{};
    std::string attempt; ///< identifier of the attempt
};

/**
 * The limits that runners have announced, as known to this host. A limit belongs to one incarnation
 * of a runner.
 *
 * Answers can arrive out of order. An answer therefore removes or raises a limit only if its
 * request was sent after the limit was last confirmed. A lower limit takes effect at once,
 * whichever answer carries it.
 *
 * Contract: pure; not thread-safe; O(log n).
 */
class RunnerLimits
{
public:
    static constexpr std::size_t kMaxLimits = 4096; ///< incarnations of runners; a fleet has a few hundred runners

    LimitChange applyAnswer(const TargetIncarnation &incarnation, const LimitObservation &observation);
    /** Applies a limit that @p source, another host's record or an attempt's answer, states. */
    LimitChange applyRecord(const TargetIncarnation &incarnation, double perSecond, const std::string &source, TimePoint now);
    /** For when another host found that the runner no longer has a limit, or when the runner is gone. */
    LimitChange remove(const TargetIncarnation &incarnation);

    /** Null if no limit is known. */
    const RunnerLimit *find(const TargetIncarnation &incarnation) const;
    std::vector<TargetIncarnation> incarnations() const;
    std::size_t size() const;

private:
    std::map<TargetIncarnation, RunnerLimit> m_limits;
};

} // namespace fulmarlink
