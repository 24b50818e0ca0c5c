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

/** What this host knows of the requests that a runner takes from all hosts together. */
struct RunnerLimit {
    double perSecond = 0;
    TimePoint since{}; ///< this host has known of a limit of the runner
    TimePoint confirmedAt{}; ///< it was last named, to this host or in another one's record
    std::string source; ///< the attempt whose answer named it, or the host that told of it
};

enum class LimitChange : std::uint8_t {
    None,
    Named, ///< the first that is known of a limit of this life of the runner
    Changed,
    Ended,
};

std::string_view limitChangeName(LimitChange change);

/** One answer of a runner, as far as it tells of a limit. */
struct LimitObservation {
    std::optional<double> perSecond; ///< as it names it; absent: it names none
    TimePoint sent{}; ///< when the request was sent that it answers
    TimePoint now{};
    std::string attempt;
};

/**
 * The limits that runners have named, as far as this host knows.
 *
 * Answers overtake each other, so one that bears no limit ends one only if its request was
 * sent after the limit had last been named; so does one that raises it. A lower limit holds
 * at once, whichever answer bears it. A limit belongs to one life of a runner.
 *
 * Contract: pure; not thread-safe; O(log n).
 */
class RunnerLimits
{
public:
    static constexpr std::size_t kMaxLimits = 4096; ///< lives; a fleet has some hundred runners

    LimitChange applyAnswer(const TargetIncarnation &life, const LimitObservation &observation);
    /** Another host's record. */
    LimitChange applyRecord(const TargetIncarnation &life, double perSecond, const std::string &host, TimePoint now);
    /** Another host has seen that the runner names none any more, or the runner is gone. */
    LimitChange remove(const TargetIncarnation &life);

    /** Null if none is known. */
    const RunnerLimit *find(const TargetIncarnation &life) const;
    std::vector<TargetIncarnation> lives() const;
    std::size_t size() const;

private:
    std::map<TargetIncarnation, RunnerLimit> m_limits;
};

} // namespace fulmarlink
