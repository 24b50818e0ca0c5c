#include "fulmarlink/runnerlimits.h"

#include <utility>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

std::string_view limitChangeName(LimitChange change)
{
    switch (change) {
    case LimitChange::None:
        return "none";
    case LimitChange::Named:
        return "named";
    case LimitChange::Changed:
        return "changed";
    case LimitChange::Ended:
        return "ended";
    }
    return "none";
}

LimitChange RunnerLimits::applyAnswer(const TargetIncarnation &incarnation, const LimitObservation &observation)
{
    const auto it = m_limits.find(incarnation);
    if (it == m_limits.end()) {
        return observation.perSecond ? applyRecord(incarnation, *observation.perSecond, observation.attempt, observation.now) : LimitChange::None;
    }
    const bool sentAfterConfirmation = observation.sent > it->second.confirmedAt || mutated(Mutation::EndLimitByOldAnswer);
    if (!observation.perSecond) {
        return sentAfterConfirmation ? remove(incarnation) : LimitChange::None;
    }
    if (*observation.perSecond > it->second.perSecond && !sentAfterConfirmation) {
        return LimitChange::None;
    }
    return applyRecord(incarnation, *observation.perSecond, observation.attempt, observation.now);
}

LimitChange RunnerLimits::applyRecord(const TargetIncarnation &incarnation, double perSecond, const std::string &source, TimePoint now)
{
    const auto it = m_limits.find(incarnation);
    if (it == m_limits.end()) {
        if (m_limits.size() >= kMaxLimits) {
            return LimitChange::None;
        }
        m_limits.emplace(incarnation, RunnerLimit{perSecond, now, now, source});
        return LimitChange::Named;
    }
    RunnerLimit &limit = it->second;
    limit.confirmedAt = now;
    if (limit.perSecond == perSecond) {
        return LimitChange::None;
    }
    limit.perSecond = perSecond;
    limit.source = source;
    return LimitChange::Changed;
}

LimitChange RunnerLimits::remove(const TargetIncarnation &incarnation)
{
    return m_limits.erase(incarnation) > 0 ? LimitChange::Ended : LimitChange::None;
}

const RunnerLimit *RunnerLimits::find(const TargetIncarnation &incarnation) const
{
    const auto it = m_limits.find(incarnation);
    return it == m_limits.end() ? nullptr : &it->second;
}

std::vector<TargetIncarnation> RunnerLimits::incarnations() const
{
    std::vector<TargetIncarnation> result;
    for (const auto &[incarnation, limit] : m_limits) {
        result.push_back(incarnation);
    }
    return result;
}

std::size_t RunnerLimits::size() const
{
    return m_limits.size();
}

} // namespace fulmarlink
