#include "fulmarlink/admission.h"

#include <algorithm>
#include <tuple>

#include "fulmarlink/gatewaystate.h"

namespace fulmarlink
{

namespace
{

struct RankedCandidate {
    TargetCandidate candidate;
    bool standsStill = false;
    std::uint64_t tieBreak = 0;

    auto key() const
    {
        return std::tuple(standsStill, candidate.passedOver, candidate.load, tieBreak);
    }
};

std::vector<RankedCandidate> ranked(GatewayState &state, const std::string &pool, const std::set<std::string> &tried, TimePoint now)
{
    std::vector<RankedCandidate> result;
    for (TargetCandidate &candidate : state.targets.candidates(pool, tried, now, state.random)) {
        const bool still = state.standsStill(pool, candidate.group, now);
        result.push_back({std::move(candidate), still, state.random()});
    }
    std::ranges::sort(result, {}, &RankedCandidate::key);
    return result;
}

} // namespace

Admission admitToPool(GatewayState &state, const std::string &pool, const RequestNeed &need, const std::set<std::string> &tried)
{
    const TimePoint now = state.clock.now();
    Admission result;
    bool refused = false;
    for (const auto &[candidate, still, tieBreak] : ranked(state, pool, tried, now)) {
        PoolGate &gate = state.pool(pool).gate(candidate.group);
        PoolLoad load;
        load.runners = candidate.runners;
        load.leastLoad = need.admitted ? 0 : candidate.load;
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
    if (!refused) {
        result.decision = state.pool(pool).gate({}).decide({}, now, state.random);
    }
    return result;
}

} // namespace fulmarlink
