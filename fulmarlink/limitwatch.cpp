#include "fulmarlink/limitwatch.h"

#include "fulmarlink/callerprotocol.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace
{

constexpr std::size_t kMaxMalformed = 1000; ///< lives remembered, so that each is told of once

} // namespace

LimitWatch::LimitWatch(GatewayState &state)
    : m_state(state)
    , m_limited(state.counters.registerCounter("fulmarlink_limited_runners"))
    , m_malformedLimits(state.counters.registerCounter("fulmarlink_malformed_limits_total"))
{
}

void LimitWatch::answered(const TargetInfo &target, const RunnerAnswer &answer, TimePoint sent, const std::string &attempt)
{
    const TargetLife life{target.id, target.born};
    if (!answer.malformedLimit.empty()) {
        noteMalformed(life, answer.malformedLimit);
        return;
    }
    const bool ownWord = answer.speaksForTarget && (answer.requestLimit || (answer.sealed && !answer.attemptId.empty()));
    if (!ownWord) {
        return;
    }
    const NamedLimit *known = m_state.limits.find(life);
    const NamedLimit before = known == nullptr ? NamedLimit{} : *known;
    const LimitEvidence evidence{answer.requestLimit, sent, m_state.clock.now(), attempt};
    noteChange(life, m_state.limits.answered(life, evidence), before);
}

void LimitWatch::noteChange(const TargetLife &life, LimitChange change, const NamedLimit &before)
{
    if (change == LimitChange::None) {
        return;
    }
    m_state.counters.set(m_limited, m_state.limits.size());
    const NamedLimit *known = m_state.limits.find(life);
    const NamedLimit &limit = known == nullptr ? before : *known;
    const std::string age = msText(m_state.clock.now() - limit.since);
    logChange("runner-limit",
              {{"target", life.id},
               {"born", std::to_string(life.born)},
               {"change", limitChangeName(change)},
               {"per_second", known == nullptr ? "none" : twoDecimals(known->perSecond)},
               {"before", change == LimitChange::Named ? "none" : twoDecimals(before.perSecond)},
               {"age_ms", age},
               {"source", limit.source}});
}

void LimitWatch::noteMalformed(const TargetLife &life, const std::string &text)
{
    m_state.counters.add(m_malformedLimits);
    if (m_malformed.size() < kMaxMalformed && m_malformed.insert(life).second) {
        logWarning("runner-limit-malformed", {{"target", life.id}, {"born", std::to_string(life.born)}, {"text", text.substr(0, 64)}});
    }
}

} // namespace fulmarlink
