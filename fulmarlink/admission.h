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

/** What a request needs of the group that takes it. */
struct RequestDemand {
    double events = 0; ///< as in PoolLoad
    Duration timeLeft{0}; ///< as in PoolLoad
    bool admitted = false; ///< its pool took it before: only a stalled group is closed to it
};

/** Where a request goes, or why nowhere. */
struct Admission {
    std::optional<TargetInfo> target;
    std::string group; ///< of the target, or of the group that has to say when to come back
    GateDecision decision;
    double load = 0; ///< of that group's best runner
    double ceiling = 0; ///< of that group's gate
    unsigned runners = 0; ///< of that group
};

/**
 * Chooses the group of a pool, then the rank. Groups are asked in this order: those that
 * move before those that stand still, those with sound ranks before others, then by the
 * load of their best rank, which counts for more where passes take long. So a group that has lost a rank costs only the requests that it
 * holds: its gate refuses after a few, and new ones go to the other groups.
 *
 * If all refuse, the answer is the refusal that lets the caller come back soonest. Where
 * only runners are left that want no request from here now it is RunnersBackingOff or
 * RunnersLimited, and blockedRetryAfter() tells when to come back.
 */
Admission admitToPool(GatewayState &state, const std::string &pool, const RequestDemand &need, const std::set<std::string> &tried);

/** What a caller is told where @p blocked are all runners that are left. */
ResultCode blockedResultCode(const BlockedRunners &blocked);

/** For one more caller of @p pool that is sent away for that reason. */
Duration blockedRetryAfter(GatewayState &state, const std::string &pool);

} // namespace fulmarlink
