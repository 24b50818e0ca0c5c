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

LimitChange RunnerLimits::answered(const TargetLife &life, const LimitEvidence &evidence)
{
    const auto it = m_limits.find(life);
    if (it == m_limits.end()) {
        return evidence.perSecond ? told(life, *evidence.perSecond, evidence.attempt, evidence.now) : LimitChange::None;
    }
    const bool later = evidence.sent > it->second.proved || mutated(Mutation::EndLimitByOldAnswer);
    if (!evidence.perSecond) {
        return later ? ended(life) : LimitChange::None;
    }
    if (*evidence.perSecond > it->second.perSecond && !later) {
        return LimitChange::None;
    }
    return told(life, *evidence.perSecond, evidence.attempt, evidence.now);
}

LimitChange RunnerLimits::told(const TargetLife &life, double perSecond, const std::string &host, TimePoint now)
{
    const auto it = m_limits.find(life);
    if (it == m_limits.end()) {
        if (m_limits.size() >= kMaxLimits) {
            return LimitChange::None;
        }
        m_limits.emplace(life, NamedLimit{perSecond, now, now, host});
        return LimitChange::Named;
    }
    NamedLimit &limit = it->second;
    limit.proved = now;
    if (limit.perSecond == perSecond) {
        return LimitChange::None;
    }
    limit.perSecond = perSecond;
    limit.source = host;
    return LimitChange::Changed;
}

LimitChange RunnerLimits::ended(const TargetLife &life)
{
    return m_limits.erase(life) > 0 ? LimitChange::Ended : LimitChange::None;
}

const NamedLimit *RunnerLimits::find(const TargetLife &life) const
{
    const auto it = m_limits.find(life);
    return it == m_limits.end() ? nullptr : &it->second;
}

std::vector<TargetLife> RunnerLimits::lives() const
{
    std::vector<TargetLife> result;
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
