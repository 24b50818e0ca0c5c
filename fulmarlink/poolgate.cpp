#include "fulmarlink/poolgate.h"

#include <algorithm>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr Duration kCeilingWindow
    = std::chrono::milliseconds(400); ///< several passes of a loaded group, so that a single long prompt does not change the ceiling
constexpr unsigned kMinSamples = 8; ///< samples that a window needs before the ceiling is adjusted
constexpr double kMaxLateShare = 0.1; ///< of a window's samples; low, since a single late interval of 24 makes a whole stream late
constexpr double kCeilingDecreaseFactor = 0.92;
constexpr double kCeilingIncrease = 0.03;
constexpr Duration kOverloadedRetry = std::chrono::milliseconds(350); ///< about the time in which a tenth of the streams in progress finish
constexpr Duration kStalledRetry = std::chrono::milliseconds(900); ///< a group forms within 0.6 s of a rank's return
constexpr Duration kTooSlowRetry = std::chrono::milliseconds(1500); ///< an engine this slow stays slow for seconds, and callers heed a third of their time
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
    if (missesDeadline(load, now)) {
        return {false, ResultCode::PoolTooSlow, retryAfter(kTooSlowRetry, random)};
    }
    return {};
}

void PoolGate::recordLatencyRatio(double ratio, TimePoint now)
{
    if (now - m_windowStartedAt >= kCeilingWindow) {
        if (m_samples >= kMinSamples) {
            const bool late = m_lateSamples > m_samples * kMaxLateShare;
            m_ceiling = std::clamp(late ? m_ceiling * kCeilingDecreaseFactor : m_ceiling + kCeilingIncrease, kMinCeiling, kMaxCeiling);
        }
        m_windowStartedAt = now;
        m_samples = 0;
        m_lateSamples = 0;
    }
    ++m_samples;
    m_lateSamples += ratio > 1 ? 1 : 0;
}

void PoolGate::recordEventInterval(Duration interval, Duration target, TimePoint now)
{
    m_gapTarget = target;
    m_intervals.emplace_back(now, interval);
    m_intervalSum += interval;
    while (now - m_intervals.front().first >= kIntervalWindow) {
        m_intervalSum -= m_intervals.front().second;
        m_intervals.pop_front();
    }
}

Duration PoolGate::gapTarget() const
{
    return m_gapTarget;
}

std::optional<Duration> PoolGate::meanEventInterval(TimePoint now) const
{
    if (m_intervals.size() < kMinIntervals || now - m_intervals.back().first > kIntervalExpiry) {
        return std::nullopt;
    }
    return m_intervalSum / static_cast<Duration::rep>(m_intervals.size());
}

bool PoolGate::missesDeadline(const PoolLoad &load, TimePoint now) const
{
    const auto interval = meanEventInterval(now);
    if (mutated(Mutation::AdmitDoomed)) {
        return false;
    }
    return load.events > 0 && interval && std::chrono::duration<double>(*interval) * load.events > std::chrono::duration<double>(load.timeLeft);
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
