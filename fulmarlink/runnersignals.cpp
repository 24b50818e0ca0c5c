#include "fulmarlink/runnersignals.h"

#include <algorithm>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

std::string_view runnerExclusionName(RunnerExclusion exclusion)
{
    switch (exclusion) {
    case RunnerExclusion::None:
        return "none";
    case RunnerExclusion::Leaving:
        return "leaving";
    case RunnerExclusion::BackingOff:
        return "backing-off";
    case RunnerExclusion::SlowStart:
        return "slow-start";
    case RunnerExclusion::RateLimited:
        return "limited";
    }
    return "none";
}

/** Null if there are too many. */
RunnerSignals::Signal *RunnerSignals::add(const TargetIncarnation &life)
{
    if (m_signals.size() >= kMaxLives && !m_signals.contains(life)) {
        return nullptr;
    }
    return &m_signals[life];
}

bool RunnerSignals::recordBackoff(const TargetIncarnation &life, Duration asked, Duration spread, const std::string &attempt, TimePoint now)
{
    Signal *signal = add(life);
    if (signal == nullptr) {
        return false;
    }
    if (!signal->hasRequest) {
        signal->request = BackoffRequest();
        signal->request.since = now;
        signal->hasRequest = true;
    }
    ++signal->request.refusedAttempts;
    const bool extended = signal->backoff.extend(now + asked + spread);
    if (extended) {
        signal->request.duration = asked;
        signal->request.source = attempt;
    }
    return extended;
}

void RunnerSignals::recordAccepted(const TargetIncarnation &life, TimePoint sent, unsigned slots)
{
    const auto it = m_signals.find(life);
    if (it != m_signals.end()) {
        it->second.backoff.recordAccepted(sent, slots);
    }
}

bool RunnerSignals::markLeaving(const TargetIncarnation &life)
{
    Signal *signal = add(life);
    const bool news = signal != nullptr && !signal->leaving;
    if (news) {
        signal->leaving = true;
    }
    return news;
}

void RunnerSignals::forget(const TargetIncarnation &life)
{
    m_signals.erase(life);
}

RunnerExclusion RunnerSignals::exclusion(const TargetIncarnation &life, unsigned open, TimePoint now) const
{
    const auto it = m_signals.find(life);
    if (it != m_signals.end()) {
        if (it->second.leaving && !mutated(Mutation::IgnoreLeavingAnswer)) {
            return RunnerExclusion::Leaving;
        }
        if (!it->second.backoff.maySend(open, now) && !mutated(Mutation::IgnoreBackoff)) {
            return it->second.backoff.isBackingOff(now) ? RunnerExclusion::BackingOff : RunnerExclusion::SlowStart;
        }
    }
    return !pacer.hasLimits() || pacer.canSend(life, now) ? RunnerExclusion::None : RunnerExclusion::RateLimited;
}

RunnerExclusion RunnerSignals::reserveSend(const TargetIncarnation &life, unsigned open, TimePoint now)
{
    const RunnerExclusion found = exclusion(life, open, now);
    if (found != RunnerExclusion::None) {
        return found;
    }
    return pacer.tryAcquire(life, now) ? RunnerExclusion::None : RunnerExclusion::RateLimited;
}

std::optional<TimePoint> RunnerSignals::nextSendTime(const TargetIncarnation &life, TimePoint now) const
{
    const auto it = m_signals.find(life);
    if (it != m_signals.end() && it->second.leaving) {
        return std::nullopt;
    }
    const std::optional<TimePoint> limited = pacer.nextSendTime(life, now);
    if (!limited || it == m_signals.end()) {
        return limited;
    }
    return std::max(*limited, it->second.backoff.until());
}

bool RunnerSignals::isLeaving(const TargetIncarnation &life) const
{
    const auto it = m_signals.find(life);
    return it != m_signals.end() && it->second.leaving;
}

bool RunnerSignals::inSlowStart(const TargetIncarnation &life, TimePoint now) const
{
    const auto it = m_signals.find(life);
    return it != m_signals.end() && it->second.backoff.active() && !it->second.backoff.isBackingOff(now);
}

const BackoffRequest *RunnerSignals::activeBackoff(const TargetIncarnation &life) const
{
    const auto it = m_signals.find(life);
    return it == m_signals.end() || !it->second.hasRequest ? nullptr : &it->second.request;
}

std::size_t RunnerSignals::backingOffCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_signals, [now](const auto &entry) {
        return entry.second.backoff.isBackingOff(now);
    }));
}

std::map<TargetIncarnation, BackoffRequest> RunnerSignals::takeExpiredBackoffs(TimePoint now)
{
    std::map<TargetIncarnation, BackoffRequest> result;
    for (auto it = m_signals.begin(); it != m_signals.end();) {
        Signal &signal = it->second;
        if (signal.hasRequest && !signal.backoff.isBackingOff(now)) {
            result.emplace(it->first, signal.request);
            signal.hasRequest = false;
        }
        const bool empty = !signal.leaving && !signal.backoff.active();
        it = empty ? m_signals.erase(it) : std::next(it);
    }
    return result;
}

std::vector<TargetIncarnation> RunnerSignals::lives() const
{
    std::vector<TargetIncarnation> result;
    for (const auto &[life, signal] : m_signals) {
        result.push_back(life);
    }
    return result;
}

} // namespace fulmarlink
