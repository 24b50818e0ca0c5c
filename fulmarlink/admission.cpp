#include "fulmarlink/admission.h"

#include <algorithm>
#include <tuple>

#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr double kEmptyLoad = 0.05; ///< of a runner without requests, so that the pace counts there too
/**
 * Shorter pauses than this share of what is on time are all the same to callers; where a group's passes are longer its load counts for as much more.
 * A group that waits for a slow rank, or whose map does not fit, so gets less until it is well again: on heavy days with a slow rank 0.07 of the
 * worth more, by 8 plays with and without; 0.3 instead of 0.7 is 0.025 worse there, and no other day cares.
 */
constexpr double kEasyPace = 0.7;

struct RankedCandidate {
    TargetCandidate candidate;
    bool standsStill = false;
    double cost = 0; ///< of its load, by how long the group's passes take
    std::uint64_t tieBreak = 0;

    auto key() const
    {
        return std::tuple(standsStill && !mutated(Mutation::AskStillGroup), candidate.deprioritized, cost, tieBreak);
    }
};

/** The group's mean pause as a share of what is on time. */
double paceOf(const PoolGate &gate, TimePoint now)
{
    const std::optional<Duration> pause = gate.meanEventInterval(now);
    if (!pause || gate.gapTarget() <= Duration(0) || mutated(Mutation::IgnoreGroupPace)) {
        return 0;
    }
    return std::chrono::duration<double>(*pause) / std::chrono::duration<double>(gate.gapTarget());
}

std::vector<RankedCandidate> ranked(GatewayState &state, const std::string &pool, const std::set<std::string> &tried, TimePoint now)
{
    std::vector<RankedCandidate> result;
    for (TargetCandidate &candidate : state.targets.candidates(pool, tried, now, state.random)) {
        const bool still = state.standsStill(pool, candidate.group, now);
        const double pace = std::max(kEasyPace, paceOf(state.pool(pool).gate(candidate.group), now));
        const double cost = (candidate.load + kEmptyLoad) * pace;
        result.push_back({std::move(candidate), still, cost, state.random()});
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
    for (const auto &[candidate, still, cost, tieBreak] : ranked(state, pool, tried, now)) {
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
    // Every host sends callers away at about the rate that this one does, and they come back at any host.
    const double serviceSeconds = std::chrono::duration<double>(state.pool(pool).serviceTime.mean()).count();
    const double perSecond = (blocked.limitedPerSecond + blocked.slots / serviceSeconds) / state.signals.pacer.hostCount();
    const Duration soonest = blocked.nextRoom ? *blocked.nextRoom - now : Duration(0);
    return state.pool(pool).returns.nextDelay(perSecond, soonest, now, state.random);
}

} // namespace fulmarlink
