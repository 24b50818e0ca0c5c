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

LimitChange RunnerLimits::applyAnswer(const TargetIncarnation &life, const LimitObservation &observation)
{
    const auto it = m_limits.find(life);
    if (it == m_limits.end()) {
        return observation.perSecond ? applyRecord(life, *observation.perSecond, observation.attempt, observation.now) : LimitChange::None;
    }
    const bool sentAfterConfirmation = observation.sent > it->second.confirmedAt || mutated(Mutation::EndLimitByOldAnswer);
    if (!observation.perSecond) {
        return sentAfterConfirmation ? remove(life) : LimitChange::None;
    }
    if (*observation.perSecond > it->second.perSecond && !sentAfterConfirmation) {
        return LimitChange::None;
    }
    return applyRecord(life, *observation.perSecond, observation.attempt, observation.now);
}

LimitChange RunnerLimits::applyRecord(const TargetIncarnation &life, double perSecond, const std::string &source, TimePoint now)
{
    const auto it = m_limits.find(life);
    if (it == m_limits.end()) {
        if (m_limits.size() >= kMaxLimits) {
            return LimitChange::None;
        }
        m_limits.emplace(life, RunnerLimit{perSecond, now, now, source});
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

LimitChange RunnerLimits::remove(const TargetIncarnation &life)
{
    return m_limits.erase(life) > 0 ? LimitChange::Ended : LimitChange::None;
}

const RunnerLimit *RunnerLimits::find(const TargetIncarnation &life) const
{
    const auto it = m_limits.find(life);
    return it == m_limits.end() ? nullptr : &it->second;
}

std::vector<TargetIncarnation> RunnerLimits::lives() const
{
    std::vector<TargetIncarnation> result;
    for (const auto &[life, limit] : m_limits) {
        result.push_back(life);
    }
    return result;
}

std::size_t RunnerLimits::size() const
{
    return m_limits.size();
}

} // namespace fulmarlink
