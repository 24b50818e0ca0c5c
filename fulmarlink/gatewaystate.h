#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fulmarlink/clock.h"
#include "fulmarlink/configstate.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/crashhistory.h"
#include "fulmarlink/gatewaysettings.h"
#include "fulmarlink/latencyhistogram.h"
#include "fulmarlink/poolgate.h"
#include "fulmarlink/retryafterpacer.h"
#include "fulmarlink/runnerattempts.h"
#include "fulmarlink/runnersignals.h"
#include "fulmarlink/servicetime.h"
#include "fulmarlink/targettable.h"
#include "fulmarlink/windowbudget.h"

namespace fulmarlink
{

class CallerProtocol;
class CrashWatch;
class LimitWatch;
class SignalWatch;
class TargetConnections;

/** One pool as this entry sees it. */
struct PoolState {
    explicit PoolState(WindowBudgetOptions options)
        : budget(options)
    {
    }

    /** Of a rank group, whose ranks stall and slow down together, or of the runners in no group: an empty name. */
    PoolGate &gate(const std::string &group);

    WindowBudget budget;
    std::map<std::string, PoolGate> gates; ///< by group name
    RetryAfterPacer retryAfterPacer; ///< of callers that were sent away since its runners want no request now
    ServiceTime serviceTime;
};

/** What all requests of one entry's process share. Used by one thread. */
struct GatewayState {
    /** Assumed until the list of entries has been read, so that an entry that has just started takes a small part of a budget. */
    static constexpr unsigned kAssumedEntries = 16;

    static constexpr unsigned kSharedWritesPerSecond = 100; ///< a quarter of the rate of a small store

    GatewayState(GatewaySettings theSettings, const Clock &theClock, Counters &theCounters, const CallerProtocol &theProtocol);

    PoolState &pool(const std::string &name);
    /** Requests are open at the group's runners, and none of them has moved for long. */
    bool isGroupStalled(const std::string &poolName, const std::string &group, TimePoint now);
    WindowBudgetOptions budgetOptions() const;
    /** Between two records that this host writes for the others: all hosts together write kSharedWritesPerSecond a second at most. */
    Duration sharedWriteInterval() const;
    /** A keyed request may only run while the configuration's proof is younger than this. */
    Duration maxKeyProofAge() const;
    /** The store has not confirmed the configuration for so long that callers should move to other entries. */
    bool proofIsStale(TimePoint now) const;
    /** True if a keyed request that is here now may still be run. */
    bool keyProofValid(TimePoint now) const;

    GatewaySettings settings;
    const Clock &clock;
    Counters &counters;
    const CallerProtocol &protocol;
    ConfigState config;
    TargetTable targets;
    TargetConnections *connections = nullptr;
    RunnerAttempts attempts;
    CrashHistory crashes; ///< of requests under which runners ended, as all hosts know it
    CrashWatch *crashWatch = nullptr;
    RunnerSignals signals; ///< what runners have said of the requests that they want
    SignalWatch *signalWatch = nullptr;
    LimitWatch *limitWatch = nullptr;
    bool crashRecordsLoaded = false; ///< what other hosts had written before this process started has been read; no request is taken before
    std::map<std::string, PoolState> pools;
    Random random;
    LatencyHistogram requestDuration; ///< from the last byte of a request to the end of its answer
    LatencyHistogram firstEventDelay; ///< of a stream, from the last byte of its request
    LatencyHistogram eventInterval; ///< between two events of a stream
    Counters::Id limitedSends; ///< of requests for which a runner had no room left when its connection was open
    Counters::Id backoffSends; ///< the same, since it had asked to back off meanwhile
    unsigned entries = kAssumedEntries; ///< entries that live and share budgets and bounds, this one included
    std::optional<TimePoint> drainStartedAt; ///< set: the process is leaving
    unsigned unansweredRequests = 0; ///< requests that are not answered yet
    unsigned groupsOwned = 0; ///< rank groups whose maps this host keeps
};

} // namespace fulmarlink
