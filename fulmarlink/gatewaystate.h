#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fulmarlink/clock.h"
#include "fulmarlink/configstate.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/gatewaysettings.h"
#include "fulmarlink/latencyhistogram.h"
#include "fulmarlink/poolgate.h"
#include "fulmarlink/targettable.h"
#include "fulmarlink/windowbudget.h"

namespace fulmarlink
{

class CallerProtocol;
class TargetConnections;

/** One pool as this entry sees it. */
struct PoolState {
    explicit PoolState(WindowBudgetOptions options)
        : budget(options)
    {
    }

    WindowBudget budget;
    PoolGate gate;
};

/** What all requests of one entry's process share. Used by one thread. */
struct GatewayState {
    /** Assumed until the list of entries has been read, so that an entry that has just started takes a small part of a budget. */
    static constexpr unsigned kEntriesUnknown = 16;

    GatewayState(GatewaySettings theSettings, const Clock &theClock, Counters &theCounters, const CallerProtocol &theProtocol);

    PoolState &pool(const std::string &name);
    WindowBudgetOptions budgetOptions() const;
    /** A keyed request may only run while the configuration's proof is younger than this. */
    Duration keyProofLimit() const;
    /** The store has not confirmed the configuration for so long that callers should move to other entries. */
    bool proofAges(TimePoint now) const;
    /** True if a keyed request that is here now may still be run. */
    bool keysProved(TimePoint now) const;

    GatewaySettings settings;
    const Clock &clock;
    Counters &counters;
    const CallerProtocol &protocol;
    ConfigState config;
    TargetTable targets;
    TargetConnections *connections = nullptr;
    std::map<std::string, PoolState> pools;
    Random random;
    LatencyHistogram requestDuration; ///< from the last byte of a request to the end of its answer
    LatencyHistogram firstEvent; ///< of a stream, from the last byte of its request
    LatencyHistogram eventPause; ///< between two events of a stream
    unsigned entries = kEntriesUnknown; ///< entries that share budgets, this one included
    std::optional<TimePoint> drainBegan; ///< set: the process is leaving
    unsigned exchanges = 0; ///< requests that are not answered yet
};

} // namespace fulmarlink
