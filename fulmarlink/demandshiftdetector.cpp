#include "fulmarlink/demandshiftdetector.h"

#include <algorithm>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr Duration kSettle = std::chrono::milliseconds(300); ///< after a switch, some passes, so that the calm pace is known again
constexpr Duration kLongestRest = std::chrono::milliseconds(5000); ///< without a look at the counts
constexpr Duration kLateRest
    = std::chrono::milliseconds(800); ///< while streams are late: the pace of a full group says little, and one more look costs 0.02 s of its time
constexpr Duration kLongestBlindRest = std::chrono::seconds(12); ///< where this host has no streams by whose pace it could tell
constexpr double kEasyShare = 0.3; ///< of the gap target: with shorter pauses all are on time, and a switch would serve nobody better
constexpr double kSlowdown = 1.25; ///< of the calm pause: demand has turned, or the batch has grown
constexpr double kSilence = 1.5; ///< times the calm pause without an event; prompts lengthen single passes by less

/**
 * A turn takes the busiest rank's load from 1.2 to 2.5 times the mean at the most, and so a pass to 2.1 times its length where the experts take 0.85
 * of it. Reports that are read in vain cost a hundredth of a look at the counts.
 */
constexpr double kFarSlowdown = 2.5;

std::chrono::duration<double> seconds(Duration duration)
{
    return duration;
}

} // namespace

void DemandShiftDetector::restart(TimePoint now)
{
    m_restarted = now;
    m_calm.reset();
}

bool DemandShiftDetector::countsDue(const EventTiming &view, TimePoint now)
{
    const Duration rested = now - m_restarted;
    if (!view.meanInterval) {
        return rested > kLongestBlindRest;
    }
    m_calm = m_calm ? std::min(*m_calm, *view.meanInterval) : *view.meanInterval;
    const bool easy = seconds(*view.meanInterval) < seconds(view.gapTarget) * kEasyShare;
    if (easy || rested < kSettle) {
        return false;
    }
    const bool slower = seconds(*view.meanInterval) > seconds(*m_calm) * kSlowdown;
    const bool silent = !mutated(Mutation::BlindToSilence) && seconds(now - view.lastEvent) > seconds(*m_calm) * kSilence;
    const bool late = *view.meanInterval > view.gapTarget && rested > kLateRest;
    return slower || silent || late || rested > kLongestRest;
}

bool DemandShiftDetector::suggestsSlowRank(std::optional<Duration> meanInterval, std::optional<Duration> calm)
{
    return meanInterval && calm && seconds(*meanInterval) > seconds(*calm) * kFarSlowdown;
}

std::optional<Duration> DemandShiftDetector::baselineInterval() const
{
    return m_calm;
}

} // namespace fulmarlink
