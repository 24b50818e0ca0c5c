#pragma once

#include <optional>
#include <set>
#include <string>

#include "fulmarlink/clock.h"
#include "fulmarlink/poolgate.h"
#include "fulmarlink/targettable.h"

namespace fulmarlink
{

struct GatewayState;

/** The properties of a request that decide on its admission. */
struct RequestDemand {
    double events = 0; ///< as in PoolLoad
    Duration timeLeft{0}; ///< as in PoolLoad
    bool admitted = false; ///< its pool admitted it before: only a stalled group refuses it
};

/** The runner selected for a request, or why there is none. */
struct Admission {
    std::optional<TargetInfo> target;
    std::string group; ///< the target's group, or the one whose refusal is returned
    GateDecision decision;
    double load = 0; ///< requests per slot of that group's best runner
    double ceiling = 0; ///< load limit of that group's gate
    unsigned runners = 0; ///< candidates in that group
};

/**
 * Selects a rank group of the pool and a rank in it. The gates of the groups are asked in
 * this order: groups that make progress first, then groups whose best rank is healthy, then
 * by the load of that rank, weighted by the group's event interval. A group that
 * has lost a rank therefore costs only the requests that it holds: its gate refuses after a
 * few refusals, and new requests go to the other groups.
 *
 * If all groups refuse, the result is the refusal with the shortest retry time. If the only
 * runners left accept no request from this host now, it is RunnersBackingOff or
 * RunnersLimited, and blockedRetryAfter() gives the retry time.
 */
Admission admitToPool(GatewayState &state, const std::string &pool, const RequestDemand &need, const std::set<std::string> &tried);

/** The result code for a caller if only @p blocked runners are left. */
ResultCode blockedResultCode(const BlockedRunners &blocked);

/** Schedules the retry of one more caller of @p pool that is refused for that reason; returns the delay. */
Duration blockedRetryAfter(GatewayState &state, const std::string &pool);

} // namespace fulmarlink
