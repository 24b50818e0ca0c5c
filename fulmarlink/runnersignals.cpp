#include "fulmarlink/runnersignals.h"

#include <algorithm>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

std::string_view runnerObstacleName(RunnerObstacle obstacle)
{
    switch (obstacle) {
    case RunnerObstacle::None:
        return "none";
    case RunnerObstacle::Leaving:
        return "leaving";
    case RunnerObstacle::BackingOff:
        return "backing-off";
    case RunnerObstacle::SlowStart:
        return "slow-start";
    case RunnerObstacle::Limited:
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

bool RunnerSignals::backOff(const TargetIncarnation &life, Duration asked, Duration spread, const std::string &attempt, TimePoint now)
{
    Signal *signal = add(life);
    if (signal == nullptr) {
        return false;
    }
    if (!signal->requested) {
        signal->request = BackoffRequest();
        signal->request.since = now;
        signal->requested = true;
    }
    ++signal->request.refused;
    const bool extended = signal->backoff.extend(now + asked + spread);
    if (extended) {
        signal->request.asked = asked;
        signal->request.source = attempt;
    }
    return extended;
}

void RunnerSignals::accepted(const TargetIncarnation &life, TimePoint sent, unsigned slots)
{
    const auto it = m_signals.find(life);
    if (it != m_signals.end()) {
        it->second.backoff.accepted(sent, slots);
    }
}

bool RunnerSignals::leaving(const TargetIncarnation &life)
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

RunnerObstacle RunnerSignals::obstacle(const TargetIncarnation &life, unsigned open, TimePoint now) const
{
    const auto it = m_signals.find(life);
    if (it != m_signals.end()) {
        if (it->second.leaving && !mutated(Mutation::IgnoreLeavingAnswer)) {
            return RunnerObstacle::Leaving;
        }
        if (!it->second.backoff.mayOpen(open, now) && !mutated(Mutation::IgnoreBackoff)) {
            return it->second.backoff.backsOff(now) ? RunnerObstacle::BackingOff : RunnerObstacle::SlowStart;
        }
    }
    return !pacer.hasLimits() || pacer.canSend(life, now) ? RunnerObstacle::None : RunnerObstacle::Limited;
}

RunnerObstacle RunnerSignals::take(const TargetIncarnation &life, unsigned open, TimePoint now)
{
    const RunnerObstacle found = obstacle(life, open, now);
    if (found != RunnerObstacle::None) {
        return found;
    }
    return pacer.tryAcquire(life, now) ? RunnerObstacle::None : RunnerObstacle::Limited;
}

std::optional<TimePoint> RunnerSignals::nextRoom(const TargetIncarnation &life, TimePoint now) const
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
    return it != m_signals.end() && it->second.backoff.active() && !it->second.backoff.backsOff(now);
}

const BackoffRequest *RunnerSignals::backoff(const TargetIncarnation &life) const
{
    const auto it = m_signals.find(life);
    return it == m_signals.end() || !it->second.requested ? nullptr : &it->second.request;
}

std::size_t RunnerSignals::backingOff(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_signals, [now](const auto &entry) {
        return entry.second.backoff.backsOff(now);
    }));
}

std::map<TargetIncarnation, BackoffRequest> RunnerSignals::takeEnded(TimePoint now)
{
    std::map<TargetIncarnation, BackoffRequest> result;
    for (auto it = m_signals.begin(); it != m_signals.end();) {
        Signal &signal = it->second;
        if (signal.requested && !signal.backoff.backsOff(now)) {
            result.emplace(it->first, signal.request);
            signal.requested = false;
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
