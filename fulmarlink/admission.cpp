#include "fulmarlink/admission.h"

#include <algorithm>
#include <tuple>

#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr double kIdleRunnerLoad = 0.05; ///< added to every load, so that the pace also counts for runners without requests
/**
 * Event intervals below this share of the target make no difference to callers; above it a group's load is weighted by its interval.
 * A group that waits for a slow rank, or whose map does not fit, thus gets fewer requests until it recovers.
 * This helps under heavy load with a slow rank, where a lower floor loses part of the gain; under other loads a lower floor makes no difference.
 */
constexpr double kPaceFloor = 0.7;

struct RankedCandidate {
    TargetCandidate candidate;
    bool noProgress = false;
    double cost = 0; ///< load weighted by the group's pace
    std::uint64_t tieBreak = 0;

    auto key() const
    {
        return std::tuple(noProgress && !mutated(Mutation::AskStillGroup), candidate.deprioritized, cost, tieBreak);
    }
};

/** The group's mean event interval divided by its target; 0 if unknown. */
double relativePace(const PoolGate &gate, TimePoint now)
{
    const std::optional<Duration> interval = gate.meanEventInterval(now);
    if (!interval || gate.gapTarget() <= Duration(0) || mutated(Mutation::IgnoreGroupPace)) {
        return 0;
    }
    return std::chrono::duration<double>(*interval) / std::chrono::duration<double>(gate.gapTarget());
}

std::vector<RankedCandidate> rankCandidates(GatewayState &state, const std::string &pool, const std::set<std::string> &tried, TimePoint now)
{
    std::vector<RankedCandidate> result;
    for (TargetCandidate &candidate : state.targets.candidates(pool, tried, now, state.random)) {
        const bool noProgress = state.isGroupStalled(pool, candidate.group, now);
        const double pace = std::max(kPaceFloor, relativePace(state.pool(pool).gate(candidate.group), now));
        const double cost = (candidate.load + kIdleRunnerLoad) * pace;
        result.push_back({std::move(candidate), noProgress, cost, state.random()});
    }
    std::ranges::sort(result, {}, &RankedCandidate::key);
    return result;
}

} // namespace

Admission admitToPool(GatewayState &state, const std::string &pool, const RequestDemand &need, const std::set<std::string> &tried)
{
    const TimePoint now = state.clock.now();
    Admission result;
    bool refused = false;
    for (const auto &[candidate, noProgress, cost, tieBreak] : rankCandidates(state, pool, tried, now)) {
        PoolGate &gate = state.pool(pool).gate(candidate.group);
        PoolLoad load;
        load.runners = candidate.runners;
        load.lowestLoad = need.admitted ? 0 : candidate.load;
        load.events = need.admitted ? 0 : need.events;
        load.timeLeft = need.timeLeft;
        const GateDecision decision = gate.decide(load, now, state.random);
        if (refused && !decision.admitted && decision.retryAfter >= result.decision.retryAfter) {
            continue;
        }
        result = {std::nullopt, candidate.group, decision, candidate.load, gate.ceiling(), candidate.runners};
        if (decision.admitted) {
            result.target = *candidate.target;
            return result;
        }
        refused = true;
    }
    const BlockedRunners blocked = refused ? BlockedRunners() : state.targets.blocked(pool, tried, now);
    if (blocked.runners() > 0) {
        result.decision = {false, blockedResultCode(blocked), Duration(0)};
    } else if (!refused) {
        result.decision = state.pool(pool).gate({}).decide({}, now, state.random);
    }
    return result;
}

ResultCode blockedResultCode(const BlockedRunners &blocked)
{
    return blocked.backingOff > 0 ? ResultCode::RunnersBackingOff : ResultCode::RunnersLimited;
}

Duration blockedRetryAfter(GatewayState &state, const std::string &pool)
{
    const TimePoint now = state.clock.now();
    const BlockedRunners blocked = state.targets.blocked(pool, {}, now);
    // All hosts refuse callers at about the same rate, and a caller may retry at any host.
    const double serviceSeconds = std::chrono::duration<double>(state.pool(pool).serviceTime.mean()).count();
    const double perSecond = (blocked.limitedPerSecond + blocked.slots / serviceSeconds) / state.signals.pacer.hostCount();
    const Duration soonest = blocked.nextRoom ? *blocked.nextRoom - now : Duration(0);
    return state.pool(pool).retryAfterPacer.nextDelay(perSecond, soonest, now, state.random);
}

} // namespace fulmarlink
