// When a group's counts are worth reading. The load: a group of calm passes of 60 ms whose
// demand turns every two to four seconds, after which a pass takes 150 ms and more.

#include "fulmarlink/pacewatch.h"

#include <gtest/gtest.h>

namespace fulmarlink::testing
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kCalm(60);
constexpr milliseconds kSlow(150);
constexpr milliseconds kTarget(150);

TimePoint at(milliseconds time)
{
    return TimePoint(std::chrono::seconds(100)) + time;
}

/** A group whose passes end every kCalm until the last calm end, with looks each 20 ms. */
milliseconds playCalm(PaceWatch &watch, milliseconds length)
{
    milliseconds lastEvent(0);
    for (milliseconds now(0); now <= length; now += milliseconds(20)) {
        lastEvent = now / kCalm * kCalm;
        EXPECT_FALSE(watch.turned({kCalm, at(lastEvent), kTarget}, at(now))) << now.count();
    }
    return lastEvent;
}

} // namespace

TEST(PaceWatch, ASlowPassIsNoticedBeforeItEnds)
{
    PaceWatch watch;
    watch.restart(at(milliseconds(0)));
    const milliseconds lastEvent = playCalm(watch, milliseconds(1200));
    milliseconds now = lastEvent;
    while (!watch.turned({kCalm, at(lastEvent), kTarget}, at(now)) && now < lastEvent + kSlow) {
        now += milliseconds(20);
    }
    EXPECT_LE(now - lastEvent, milliseconds(110));
}

TEST(PaceWatch, AGroupOfCalmPassesIsLeftAloneUntilTheLongestRest)
{
    PaceWatch watch;
    watch.restart(at(milliseconds(0)));
    const milliseconds lastEvent = playCalm(watch, milliseconds(4980));
    EXPECT_TRUE(watch.turned({kCalm, at(lastEvent + kCalm), kTarget}, at(milliseconds(5020))));
}

TEST(PaceWatch, APauseFarBelowTheTargetNeedsNoSwitch)
{
    PaceWatch watch;
    watch.restart(at(milliseconds(0)));
    EXPECT_FALSE(watch.turned({milliseconds(20), at(milliseconds(990)), kTarget}, at(milliseconds(1000))));
    EXPECT_FALSE(watch.turned({milliseconds(40), at(milliseconds(990)), kTarget}, at(milliseconds(1100))));
}

TEST(PaceWatch, SlowerMeansCountAsTurnedAndARestartForgetsThem)
{
    PaceWatch watch;
    watch.restart(at(milliseconds(0)));
    playCalm(watch, milliseconds(1200));
    EXPECT_TRUE(watch.turned({milliseconds(80), at(milliseconds(1210)), kTarget}, at(milliseconds(1220))));
    watch.restart(at(milliseconds(1220)));
    EXPECT_FALSE(watch.calmPause());
    EXPECT_FALSE(watch.turned({milliseconds(80), at(milliseconds(1600)), kTarget}, at(milliseconds(1610))));
}

TEST(PaceWatch, AHostWithoutStreamsLooksSeldom)
{
    PaceWatch watch;
    watch.restart(at(milliseconds(0)));
    EXPECT_FALSE(watch.turned({std::nullopt, TimePoint{}, kTarget}, at(milliseconds(11'900))));
    EXPECT_TRUE(watch.turned({std::nullopt, TimePoint{}, kTarget}, at(milliseconds(12'100))));
}

// The load: a group so full that every pass is late, with the right map and with the wrong
// one; a turn then lengthens passes by less than kSlowdown.
TEST(PaceWatch, WhileStreamsAreLateTheCountsAreLookedAtSooner)
{
    PaceWatch watch;
    watch.restart(at(milliseconds(0)));
    EXPECT_FALSE(watch.turned({milliseconds(170), at(milliseconds(390)), kTarget}, at(milliseconds(400))));
    EXPECT_TRUE(watch.turned({milliseconds(180), at(milliseconds(1090)), kTarget}, at(milliseconds(1100))));
}

// The load: a rank works at a twelfth of its speed; the passes are far longer than any turn makes them.
TEST(PaceWatch, ATurnIsNotTakenForASlowRankNorTheOtherWayRound)
{
    using std::chrono::milliseconds;
    EXPECT_FALSE(PaceWatch::farSlower(milliseconds(115), milliseconds(55)));
    EXPECT_TRUE(PaceWatch::farSlower(milliseconds(740), milliseconds(60)));
    EXPECT_FALSE(PaceWatch::farSlower(std::nullopt, milliseconds(60)));
    EXPECT_FALSE(PaceWatch::farSlower(milliseconds(740), std::nullopt));
}

} // namespace fulmarlink::testing
