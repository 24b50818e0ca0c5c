#include "fulmarlink/poolgate.h"

#include <algorithm>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr Duration kWindow = std::chrono::milliseconds(400); ///< several passes of a loaded group, so that one long prompt does not move the ceiling
constexpr unsigned kLeastSeen = 8; ///< pauses that a window must hold to say something
constexpr double kLateShare = 0.1; ///< of a window's pauses; a stream with one late pause of 24 is late as a whole
constexpr double kDecrease = 0.92;
constexpr double kIncrease = 0.03;
constexpr Duration kOverloadedRetry = std::chrono::milliseconds(350); ///< about the time in which a tenth of the streams in progress end
constexpr Duration kStalledRetry = std::chrono::milliseconds(900); ///< groups form within 0.6 s of a rank's return
constexpr Duration kTooSlowRetry
    = std::chrono::milliseconds(1500); ///< an engine that slows a group down so far does it for seconds, and callers heed a third of their time
constexpr Duration kEmptyRetry = std::chrono::milliseconds(700);

} // namespace

Duration PoolGate::retryAfter(Duration base, Random &random) const
{
    return Duration(std::uniform_int_distribution<Duration::rep>(base.count() / 2, base.count() * 3 / 2)(random));
}

GateDecision PoolGate::decide(const PoolLoad &load, TimePoint now, Random &random)
{
    if (load.runners == 0) {
        return {false, ResultCode::EmptyPool, retryAfter(kEmptyRetry, random)};
    }
    if (stalled()) {
        if (now < m_nextProbe) {
            return {false, ResultCode::PoolStalled, retryAfter(kStalledRetry, random)};
        }
        m_nextProbe = now + kProbeInterval;
        return {};
    }
    if (load.lowestLoad >= m_ceiling) {
        return {false, ResultCode::PoolOverloaded, retryAfter(kOverloadedRetry, random)};
    }
    if (tooSlow(load, now)) {
        return {false, ResultCode::PoolTooSlow, retryAfter(kTooSlowRetry, random)};
    }
    return {};
}

void PoolGate::recordLatencyRatio(double ratio, TimePoint now)
{
    if (now - m_windowBegan >= kWindow) {
        if (m_seen >= kLeastSeen) {
            const bool late = m_late > m_seen * kLateShare;
            m_ceiling = std::clamp(late ? m_ceiling * kDecrease : m_ceiling + kIncrease, kMinCeiling, kMaxCeiling);
        }
        m_windowBegan = now;
        m_seen = 0;
        m_late = 0;
    }
    ++m_seen;
    m_late += ratio > 1 ? 1 : 0;
}

void PoolGate::recordEventInterval(Duration pause, Duration target, TimePoint now)
{
    m_gapTarget = target;
    m_pauses.emplace_back(now, pause);
    m_pauseSum += pause;
    while (now - m_pauses.front().first >= kIntervalWindow) {
        m_pauseSum -= m_pauses.front().second;
        m_pauses.pop_front();
    }
}

Duration PoolGate::gapTarget() const
{
    return m_gapTarget;
}

std::optional<Duration> PoolGate::meanEventInterval(TimePoint now) const
{
    if (m_pauses.size() < kMinIntervals || now - m_pauses.back().first > kIntervalExpiry) {
        return std::nullopt;
    }
    return m_pauseSum / static_cast<Duration::rep>(m_pauses.size());
}

bool PoolGate::tooSlow(const PoolLoad &load, TimePoint now) const
{
    const auto pause = meanEventInterval(now);
    if (mutated(Mutation::AdmitDoomed)) {
        return false;
    }
    return load.events > 0 && pause && std::chrono::duration<double>(*pause) * load.events > std::chrono::duration<double>(load.timeLeft);
}

void PoolGate::recordRefusal(TimePoint now)
{
    if (++m_refusals == kRefusalsToStall) {
        m_nextProbe = now + kProbeInterval;
    }
}

void PoolGate::recordAnswer(TimePoint now)
{
    m_refusals = 0;
    m_lastAnswer = now;
}

double PoolGate::ceiling() const
{
    return m_ceiling;
}

bool PoolGate::stalled() const
{
    return m_refusals >= kRefusalsToStall;
}

TimePoint PoolGate::lastAnswer() const
{
    return m_lastAnswer;
}

void PoolGate::recordWorkStart(TimePoint now)
{
    m_workStartedAt = now;
}

TimePoint PoolGate::lastActivity() const
{
    return std::max(m_lastAnswer, m_workStartedAt);
}

} // namespace fulmarlink
