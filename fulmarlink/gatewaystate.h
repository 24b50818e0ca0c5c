#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fulmarlink/attemptpolicy.h"
#include "fulmarlink/clock.h"
#include "fulmarlink/configstate.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/crashhistory.h"
#include "fulmarlink/gatewaysettings.h"
#include "fulmarlink/latencyhistogram.h"
#include "fulmarlink/poolgate.h"
#include "fulmarlink/recentmaximum.h"
#include "fulmarlink/requestmemory.h"
#include "fulmarlink/retryafterpacer.h"
#include "fulmarlink/runnerattempts.h"
#include "fulmarlink/runnersignals.h"
#include "fulmarlink/servicetime.h"
#include "fulmarlink/targettable.h"
#include "fulmarlink/windowbudget.h"

namespace fulmarlink
{

class BackoffRecorder;
class CallerProtocol;
class CrashWatch;
class LimitWatch;
class SignalWatch;
class TargetConnections;

/** State of one pool, as known to this host. */
struct PoolState {
    explicit PoolState(WindowBudgetOptions options)
        : budget(options)
    {
    }

    /** Gate of a rank group, whose ranks stall and slow down together; an empty name stands for the runners in no group. */
    PoolGate &gate(const std::string &group);

    WindowBudget budget;
    std::map<std::string, PoolGate> gates; ///< by group name
    RetryAfterPacer retryAfterPacer; ///< spreads the return of callers that are rejected while all runners of the pool back off
    ServiceTime serviceTime;
};

/** State shared by all requests of a gateway process. Not thread-safe. */
struct GatewayState {
    /** Number of hosts assumed until the list of entries has been read, so that a host that has just started takes a small share of each budget. */
    static constexpr unsigned kAssumedEntries = 16;

    static constexpr unsigned kSharedWritesPerSecond = 100; ///< by all hosts together; a quarter of the write rate of a small store

    GatewayState(GatewaySettings theSettings, const Clock &theClock, Counters &theCounters, const CallerProtocol &theProtocol);

    PoolState &pool(const std::string &name);
    /** True if this host has requests open at the group's runners and none of them has made progress for too long. */
    bool isGroupStalled(const std::string &poolName, const std::string &group, TimePoint now);
    WindowBudgetOptions budgetOptions();
    /** Sets the number of live hosts, including this one, and divides the retry budgets accordingly. */
    void setEntries(unsigned count);
    /** Applies the current settings and number of hosts to the retry budgets of all pools. */
    void updateBudgets();
    /** Warns if the configuration in force allows larger bodies than there is memory for. These are refused, whatever the configuration says. */
    void checkBodyLimit() const;
    /** Interval between this host's writes of shared records, so that all hosts together stay within kSharedWritesPerSecond. */
    Duration sharedWriteInterval() const;
    /** Maximum age of the configuration's last confirmation by the store at which requests with an API key may run. */
    Duration maxKeyProofAge() const;
    /** True if the store's last confirmation of the configuration is so old that callers should move to other hosts. */
    bool proofIsStale(TimePoint now) const;
    /** True if a request with an API key may be run at @p now. */
    bool keyProofValid(TimePoint now) const;

    GatewaySettings settings;
    const Clock &clock;
    Counters &counters;
    const CallerProtocol &protocol;
    ConfigState config;
    TargetTable targets;
    const std::shared_ptr<RequestMemory> requestMemory; ///< held by requests and answers of callers
    TargetConnections *connections = nullptr;
    RunnerAttempts attempts;
    CrashHistory crashes; ///< crashes attributed to requests, merged from all hosts
    CrashWatch *crashWatch = nullptr;
    RunnerSignals signals; ///< limits and backoffs reported by runners
    SignalWatch *signalWatch = nullptr;
    BackoffRecorder *backoffRecorder = nullptr;
    LimitWatch *limitWatch = nullptr;
    bool crashRecordsLoaded = false; ///< the crash records of other hosts have been read; no request is accepted before
    bool backoffsRestored = false; ///< the backoffs of this host's previous process have been read; no request is accepted before
    std::map<std::string, PoolState> pools;
    const TimePoint startedAt; ///< start of this process
    Random random;
    LatencyHistogram requestDuration; ///< from the last byte of the request to the end of its answer
    LatencyHistogram firstEventDelay; ///< of a stream, measured from the last byte of its request
    LatencyHistogram eventInterval; ///< between consecutive events of a stream
    std::map<AttemptEnd, Counters::Id> grantedRetries; ///< by the end of the attempt before the retry
    Counters::Id deniedRetries; ///< requests that ended because the retry budget of their pool was used up
    Counters::Id limitedSends; ///< requests that were not sent on an open connection because the runner's limit was used up meanwhile
    Counters::Id segmentRefusals; ///< requests that did not reach a runner because a segment of their prompts is held back
    Counters::Id ignoredSegments; ///< segments of prompts that are not judged: their ids are malformed, or there are too many
    Counters::Id unbufferedAnswers; ///< answers that were passed on piece by piece, since there was no memory for them
    Counters::Id backoffSends; ///< requests that were not sent on an open connection because the runner had asked to back off meanwhile
    unsigned entries = kAssumedEntries; ///< live hosts that share budgets and limits, including this one
    RecentMaximum recentEntries; ///< of `entries`, as read from the store
    std::optional<TimePoint> drainStartedAt; ///< set once the process is draining
    unsigned unansweredRequests = 0; ///< requests in progress
    TimePoint targetsListedAt{}; ///< the latest list of runners was current at this time
    std::function<void()> refreshTargets = [] {
    }; ///< reads the list of runners soon; calls in quick succession count as one
    unsigned groupsOwned = 0; ///< rank groups that this host leads
};

} // namespace fulmarlink
