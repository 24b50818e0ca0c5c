#include "fulmarlink/demandshiftdetector.h"

#include <algorithm>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr Duration kSettleTime = std::chrono::milliseconds(300); ///< some passes after restart(), to establish the baseline
constexpr Duration kMaxReadInterval = std::chrono::milliseconds(5000); ///< between two reads of the counts
constexpr Duration kLateReadInterval
    = std::chrono::milliseconds(800); ///< while streams are late: intervals of a saturated group say little, and a further read costs 0.02 s of its time
constexpr Duration kNoStreamsReadInterval = std::chrono::seconds(12); ///< on a host without streams of the group
constexpr double kOnTimeShare = 0.3; ///< of the gap target: with shorter intervals all streams are on time and a switch improves nothing
constexpr double kShiftFactor = 1.25; ///< relative to the baseline: demand has shifted, or the batch has grown
constexpr double kSilenceFactor = 1.5; ///< baseline intervals without an event; prompts lengthen single passes by less

/**
 * A demand shift raises the busiest rank's load from 1.2 to at most 2.5 times the mean, and thus the pass to at most 2.1 times its length if the experts
 * take 85% of it. An unnecessary read of the reports costs a hundredth of a read of the counts.
 */
constexpr double kSlowRankFactor = 2.5;

std::chrono::duration<double> seconds(Duration duration)
{
    return duration;
}

} // namespace

void DemandShiftDetector::restart(TimePoint now)
{
    m_restartedAt = now;
    m_baseline.reset();
}

bool DemandShiftDetector::countsDue(const EventTiming &timing, TimePoint now)
{
    const Duration sinceRestart = now - m_restartedAt;
    if (!timing.meanInterval) {
        return sinceRestart > kNoStreamsReadInterval;
    }
    m_baseline = m_baseline ? std::min(*m_baseline, *timing.meanInterval) : *timing.meanInterval;
    const bool wellOnTime = seconds(*timing.meanInterval) < seconds(timing.gapTarget) * kOnTimeShare;
    if (wellOnTime || sinceRestart < kSettleTime) {
        return false;
    }
    const bool slower = seconds(*timing.meanInterval) > seconds(*m_baseline) * kShiftFactor;
    const bool silent = !mutated(Mutation::BlindToSilence) && seconds(now - timing.lastEvent) > seconds(*m_baseline) * kSilenceFactor;
    const bool late = *timing.meanInterval > timing.gapTarget && sinceRestart > kLateReadInterval;
    return slower || silent || late || sinceRestart > kMaxReadInterval;
}

bool DemandShiftDetector::suggestsSlowRank(std::optional<Duration> meanInterval, std::optional<Duration> baseline)
{
    return meanInterval && baseline && seconds(*meanInterval) > seconds(*baseline) * kSlowRankFactor;
}

std::optional<Duration> DemandShiftDetector::baselineInterval() const
{
    return m_baseline;
}

} // namespace fulmarlink
