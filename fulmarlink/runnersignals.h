#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fulmarlink/clock.h"
#include "fulmarlink/crashrecord.h"
#include "fulmarlink/limitpacer.h"
#include "fulmarlink/runnerbackoff.h"
#include "fulmarlink/runnerlimits.h"

namespace fulmarlink
{

/** Why this host currently sends no requests to a listed runner, according to what the runner itself has reported. */
enum class RunnerExclusion : std::uint8_t {
    None,
    Leaving, ///< the runner is about to shut down
    BackingOff, ///< the runner has asked this host to send nothing for some time, and that time has not passed
    SlowStart, ///< the backoff has expired, and the slow-start window is full
    RateLimited, ///< this host has used its share of the requests per second that the runner accepts from all hosts
};

std::string_view runnerExclusionName(RunnerExclusion exclusion);

/** A runner's request that this host back off, as kept for the log. */
struct BackoffRequest {
    Duration duration{0};
    TimePoint since{}; ///< time of the first refusal in an uninterrupted series
    std::string source; ///< the attempt whose refusal last set the backoff
    unsigned refusedAttempts = 0; ///< in that series
};

/**
 * Flow-control state that runners have reported to this host in their answers: whether they are
 * leaving, how long they want no requests, and how many per second they accept from all hosts.
 *
 * Every send is checked here; a new kind of signal is a field here and a rule in exclusion().
 * State is kept per incarnation, so that a restarted runner begins with none.
 *
 * Contract: no I/O, and time is passed in; not thread-safe; O(log n) in the incarnations tracked,
 * except for backingOffCount(), backoffs(), takeExpiredBackoffs() and incarnations(), which visit all of them.
 */
class RunnerSignals
{
public:
    static constexpr std::size_t kMaxIncarnations = 4096; ///< a fleet has a few hundred runners

    /** Backs off for @p duration plus @p spread, the delay that staggers the hosts. Returns false if that extends nothing or the state is full. */
    bool recordBackoff(const TargetIncarnation &incarnation, Duration duration, Duration spread, const std::string &source, TimePoint now);
    /** Call when the runner begins to answer a request that was sent at @p sent. */
    void recordAccepted(const TargetIncarnation &incarnation, TimePoint sent, unsigned slots);
    /** Returns false if the runner was already marked. */
    bool markLeaving(const TargetIncarnation &incarnation);
    void forget(const TargetIncarnation &incarnation);

    /** @p inFlight is the number of requests that this host has open at the runner. */
    RunnerExclusion exclusion(const TargetIncarnation &incarnation, unsigned inFlight, TimePoint now) const;
    /** Same as exclusion(), but for a request that is sent now: also consumes rate-limit capacity for it. */
    RunnerExclusion reserveSend(const TargetIncarnation &incarnation, unsigned inFlight, TimePoint now);
    /** Earliest time for the next request; empty if unknown. */
    std::optional<TimePoint> nextSendTime(const TargetIncarnation &incarnation, TimePoint now) const;

    bool isLeaving(const TargetIncarnation &incarnation) const;
    /** True if the backoff has expired but the runner has not yet accepted enough requests to be used for second sends. */
    bool inSlowStart(const TargetIncarnation &incarnation, TimePoint now) const;
    /** Null if the runner has not asked for a backoff, or takeExpiredBackoffs() has returned it. */
    const BackoffRequest *activeBackoff(const TargetIncarnation &incarnation) const;
    std::size_t backingOffCount(TimePoint now) const;
    /** Ends of the backoffs that have not expired. */
    std::map<TargetIncarnation, TimePoint> backoffs(TimePoint now) const;
    /** Returns each backoff once, when it has expired by @p now, and drops entries that have no state left. */
    std::map<TargetIncarnation, BackoffRequest> takeExpiredBackoffs(TimePoint now);
    std::vector<TargetIncarnation> incarnations() const;

    RunnerLimits limits; ///< requests per second that runners have announced
    LimitPacer pacer; ///< this host's share of them

private:
    struct Signal {
        RunnerBackoff backoff;
        BackoffRequest request;
        bool hasRequest = false; ///< whether `request` is valid
        bool leaving = false;
    };

    Signal *findOrAdd(const TargetIncarnation &incarnation);

    std::map<TargetIncarnation, Signal> m_signals;
};

} // namespace fulmarlink
