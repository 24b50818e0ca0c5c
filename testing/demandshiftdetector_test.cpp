// Tests when a group's expert counts are due to be read. The tests model a group with passes of
// 60 ms whose demand shifts every 2 to 4 s; after a shift a pass takes 150 ms or more.

#include "fulmarlink/demandshiftdetector.h"

#include <gtest/gtest.h>

namespace fulmarlink::testing
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kBaseline(60);
constexpr milliseconds kSlowPass(150);
constexpr milliseconds kGapTarget(150);

TimePoint at(milliseconds time)
{
    return TimePoint(std::chrono::seconds(100)) + time;
}

/** Polls the detector every 20 ms while passes end every kBaseline; expects no read to be due. Returns the time of the last event. */
milliseconds simulateSteadyPasses(DemandShiftDetector &detector, milliseconds length)
{
    milliseconds lastEvent(0);
    for (milliseconds now(0); now <= length; now += milliseconds(20)) {
        lastEvent = now / kBaseline * kBaseline;
        EXPECT_FALSE(detector.countsDue({kBaseline, at(lastEvent), kGapTarget}, at(now))) << now.count();
    }
    return lastEvent;
}

} // namespace

TEST(DemandShiftDetector, SlowPassIsDetectedBeforeItEnds)
{
    DemandShiftDetector detector;
    detector.restart(at(milliseconds(0)));
    const milliseconds lastEvent = simulateSteadyPasses(detector, milliseconds(1200));
    milliseconds now = lastEvent;
    while (!detector.countsDue({kBaseline, at(lastEvent), kGapTarget}, at(now)) && now < lastEvent + kSlowPass) {
        now += milliseconds(20);
    }
    EXPECT_LE(now - lastEvent, milliseconds(110));
}

TEST(DemandShiftDetector, SteadyPassesCauseNoReadBeforeTheMaximumInterval)
{
    DemandShiftDetector detector;
    detector.restart(at(milliseconds(0)));
    const milliseconds lastEvent = simulateSteadyPasses(detector, milliseconds(4980));
    EXPECT_TRUE(detector.countsDue({kBaseline, at(lastEvent + kBaseline), kGapTarget}, at(milliseconds(5020))));
}

TEST(DemandShiftDetector, IntervalsFarBelowTheGapTargetCauseNoRead)
{
    DemandShiftDetector detector;
    detector.restart(at(milliseconds(0)));
    EXPECT_FALSE(detector.countsDue({milliseconds(20), at(milliseconds(990)), kGapTarget}, at(milliseconds(1000))));
    EXPECT_FALSE(detector.countsDue({milliseconds(40), at(milliseconds(990)), kGapTarget}, at(milliseconds(1100))));
}

TEST(DemandShiftDetector, LongerMeanIntervalsAreAShiftAndRestartDiscardsTheBaseline)
{
    DemandShiftDetector detector;
    detector.restart(at(milliseconds(0)));
    simulateSteadyPasses(detector, milliseconds(1200));
    EXPECT_TRUE(detector.countsDue({milliseconds(80), at(milliseconds(1210)), kGapTarget}, at(milliseconds(1220))));
    detector.restart(at(milliseconds(1220)));
    EXPECT_FALSE(detector.baselineInterval());
    EXPECT_FALSE(detector.countsDue({milliseconds(80), at(milliseconds(1600)), kGapTarget}, at(milliseconds(1610))));
}

TEST(DemandShiftDetector, HostWithoutStreamsReadsCountsRarely)
{
    DemandShiftDetector detector;
    detector.restart(at(milliseconds(0)));
    EXPECT_FALSE(detector.countsDue({std::nullopt, TimePoint{}, kGapTarget}, at(milliseconds(11'900))));
    EXPECT_TRUE(detector.countsDue({std::nullopt, TimePoint{}, kGapTarget}, at(milliseconds(12'100))));
}

// In a saturated group every pass is late, whether or not the map fits the demand, and a demand
// shift lengthens passes by less than kShiftFactor.
TEST(DemandShiftDetector, LateStreamsShortenTheReadInterval)
{
    DemandShiftDetector detector;
    detector.restart(at(milliseconds(0)));
    EXPECT_FALSE(detector.countsDue({milliseconds(170), at(milliseconds(390)), kGapTarget}, at(milliseconds(400))));
    EXPECT_TRUE(detector.countsDue({milliseconds(180), at(milliseconds(1090)), kGapTarget}, at(milliseconds(1100))));
}

// With a rank at a twelfth of its speed, passes are far longer than any demand shift makes them.
TEST(DemandShiftDetector, SlowRankIsDistinguishedFromADemandShift)
{
    using std::chrono::milliseconds;
    EXPECT_FALSE(DemandShiftDetector::suggestsSlowRank(milliseconds(115), milliseconds(55)));
    EXPECT_TRUE(DemandShiftDetector::suggestsSlowRank(milliseconds(740), milliseconds(60)));
    EXPECT_FALSE(DemandShiftDetector::suggestsSlowRank(std::nullopt, milliseconds(60)));
    EXPECT_FALSE(DemandShiftDetector::suggestsSlowRank(milliseconds(740), std::nullopt));
}

} // namespace fulmarlink::testing
