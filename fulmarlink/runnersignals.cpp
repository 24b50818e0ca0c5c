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

/** Returns null if the incarnation is not tracked yet and kMaxIncarnations others are. */
RunnerSignals::Signal *RunnerSignals::findOrAdd(const TargetIncarnation &incarnation)
{
    if (m_signals.size() >= kMaxIncarnations && !m_signals.contains(incarnation)) {
        return nullptr;
    }
    return &m_signals[incarnation];
}

bool RunnerSignals::recordBackoff(const TargetIncarnation &incarnation, Duration duration, Duration spread, const std::string &source, TimePoint now)
{
    Signal *signal = findOrAdd(incarnation);
    if (signal == nullptr) {
        return false;
    }
    if (!signal->hasRequest) {
        signal->request = BackoffRequest();
        signal->request.since = now;
        signal->hasRequest = true;
    }
    ++signal->request.refusedAttempts;
    const bool extended = signal->backoff.extend(now + duration + spread);
    if (extended) {
        signal->request.duration = duration;
        signal->request.source = source;
    }
    return extended;
}

void RunnerSignals::recordAccepted(const TargetIncarnation &incarnation, TimePoint sent, unsigned slots)
{
    const auto it = m_signals.find(incarnation);
    if (it != m_signals.end()) {
        it->second.backoff.recordAccepted(sent, slots);
    }
}

bool RunnerSignals::markLeaving(const TargetIncarnation &incarnation)
{
    Signal *signal = findOrAdd(incarnation);
    const bool isNew = signal != nullptr && !signal->leaving;
    if (isNew) {
        signal->leaving = true;
    }
    return isNew;
}

void RunnerSignals::forget(const TargetIncarnation &incarnation)
{
    m_signals.erase(incarnation);
}

RunnerExclusion RunnerSignals::exclusion(const TargetIncarnation &incarnation, unsigned inFlight, TimePoint now) const
{
    const auto it = m_signals.find(incarnation);
    if (it != m_signals.end()) {
        if (it->second.leaving && !mutated(Mutation::IgnoreLeavingAnswer)) {
            return RunnerExclusion::Leaving;
        }
        if (!it->second.backoff.maySend(inFlight, now) && !mutated(Mutation::IgnoreBackoff)) {
            return it->second.backoff.isBackingOff(now) ? RunnerExclusion::BackingOff : RunnerExclusion::SlowStart;
        }
    }
    return !pacer.hasLimits() || pacer.canSend(incarnation, now) ? RunnerExclusion::None : RunnerExclusion::RateLimited;
}

RunnerExclusion RunnerSignals::reserveSend(const TargetIncarnation &incarnation, unsigned inFlight, TimePoint now)
{
    const RunnerExclusion reason = exclusion(incarnation, inFlight, now);
    if (reason != RunnerExclusion::None) {
        return reason;
    }
    return pacer.tryAcquire(incarnation, now) ? RunnerExclusion::None : RunnerExclusion::RateLimited;
}

std::optional<TimePoint> RunnerSignals::nextSendTime(const TargetIncarnation &incarnation, TimePoint now) const
{
    const auto it = m_signals.find(incarnation);
    if (it != m_signals.end() && it->second.leaving) {
        return std::nullopt;
    }
    const std::optional<TimePoint> limited = pacer.nextSendTime(incarnation, now);
    if (!limited || it == m_signals.end()) {
        return limited;
    }
    return std::max(*limited, it->second.backoff.until());
}

bool RunnerSignals::isLeaving(const TargetIncarnation &incarnation) const
{
    const auto it = m_signals.find(incarnation);
    return it != m_signals.end() && it->second.leaving;
}

bool RunnerSignals::inSlowStart(const TargetIncarnation &incarnation, TimePoint now) const
{
    const auto it = m_signals.find(incarnation);
    return it != m_signals.end() && it->second.backoff.active() && !it->second.backoff.isBackingOff(now);
}

const BackoffRequest *RunnerSignals::activeBackoff(const TargetIncarnation &incarnation) const
{
    const auto it = m_signals.find(incarnation);
    return it == m_signals.end() || !it->second.hasRequest ? nullptr : &it->second.request;
}

std::size_t RunnerSignals::backingOffCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_signals, [now](const auto &entry) {
        return entry.second.backoff.isBackingOff(now);
    }));
}

std::map<TargetIncarnation, TimePoint> RunnerSignals::backoffs(TimePoint now) const
{
    std::map<TargetIncarnation, TimePoint> result;
    for (const auto &[incarnation, signal] : m_signals) {
        if (signal.backoff.isBackingOff(now)) {
            result.emplace(incarnation, signal.backoff.until());
        }
    }
    return result;
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

std::vector<TargetIncarnation> RunnerSignals::incarnations() const
{
    std::vector<TargetIncarnation> result;
    for (const auto &[incarnation, signal] : m_signals) {
        result.push_back(incarnation);
    }
    return result;
}

} // namespace fulmarlink
