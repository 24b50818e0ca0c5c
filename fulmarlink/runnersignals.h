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

/** Why a listed runner gets no request from this host now, by its own word. */
enum class RunnerExclusion : std::uint8_t {
    None,
    Leaving, ///< it is about to end
    BackingOff, ///< it wants nothing from this host for some time
    SlowStart, ///< that time is over, and enough requests are open there for now
    RateLimited, ///< this host has used its part of the requests a second that the runner takes from all hosts
};

std::string_view runnerExclusionName(RunnerExclusion exclusion);

/** That a runner asked this host to back off, for the log. */
struct BackoffRequest {
    Duration duration{0};
    TimePoint since{}; ///< the first one of an unbroken row
    std::string source; ///< the attempt that was refused last
    unsigned refusedAttempts = 0; ///< attempts in that row
};

/**
 * What runners' own answers have told this host of the requests that they want: whether they
 * are leaving, for how long they want none, and how many a second they take from all hosts.
 *
 * The one place that is asked before a request goes out; a further signal is a field here and
 * a rule in exclusion(). All is kept by life: a runner that has started again has said nothing.
 *
 * Contract: pure; not thread-safe; O(log n) in the runners that have told anything.
 */
class RunnerSignals
{
public:
    static constexpr std::size_t kMaxLives = 4096; ///< a fleet has some hundred runners

    /** @p spread: how much later than @p asked this host begins again. False if it backs off for that long already. */
    bool recordBackoff(const TargetIncarnation &life, Duration asked, Duration spread, const std::string &attempt, TimePoint now);
    /** The runner has begun to answer a request that was sent at @p sent. */
    void recordAccepted(const TargetIncarnation &life, TimePoint sent, unsigned slots);
    /** False if that was known. */
    bool markLeaving(const TargetIncarnation &life);
    void forget(const TargetIncarnation &life);

    /** @p open: this host's requests there. */
    RunnerExclusion exclusion(const TargetIncarnation &life, unsigned open, TimePoint now) const;
    /** The same for a request that goes out now, and uses up the room that it takes. */
    RunnerExclusion reserveSend(const TargetIncarnation &life, unsigned open, TimePoint now);
    /** When a request may go there again; nothing if that can't be told. */
    std::optional<TimePoint> nextSendTime(const TargetIncarnation &life, TimePoint now) const;

    bool isLeaving(const TargetIncarnation &life) const;
    /** Its backoff is over, and it has not taken enough requests since then to be trusted with second sends. */
    bool inSlowStart(const TargetIncarnation &life, TimePoint now) const;
    /** Null if the runner has not asked for it, or it is over. */
    const BackoffRequest *activeBackoff(const TargetIncarnation &life) const;
    std::size_t backingOffCount(TimePoint now) const;
    /** Ends what has passed; the lives whose time was over at @p now for the first time. */
    std::map<TargetIncarnation, BackoffRequest> takeExpiredBackoffs(TimePoint now);
    std::vector<TargetIncarnation> lives() const;

    RunnerLimits limits; ///< requests a second that runners have named
    LimitPacer pacer; ///< this host's part of them

private:
    struct Signal {
        RunnerBackoff backoff;
        BackoffRequest request;
        bool hasRequest = false; ///< `request` holds
        bool leaving = false;
    };

    Signal *add(const TargetIncarnation &life);

    std::map<TargetIncarnation, Signal> m_signals;
};

} // namespace fulmarlink
