// Callers that are sent away while the only runners left take so many requests a second.

#include "fulmarlink/retryafterpacer.h"

#include <gtest/gtest.h>
#include <vector>

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

const TimePoint kStart{1000s};

} // namespace

TEST(RetryAfterPacer, ACrowdThatIsSentAwayAtOnceReturnsAsFastAsThereIsRoom)
{
    RetryAfterPacer pacer;
    Random random(1);
    std::vector<double> returns;
    for (unsigned i = 0; i < 36; ++i) {
        returns.push_back(std::chrono::duration<double>(pacer.nextDelay(4, 0s, kStart, random)).count());
    }
    EXPECT_NEAR(returns.front(), 0.25, 0.03);
    EXPECT_NEAR(returns.back(), 9, 0.91);
}

TEST(RetryAfterPacer, NobodyIsToldToComeBackBeforeThereIsRoom)
{
    RetryAfterPacer pacer;
    Random random(1);
    EXPECT_GE(pacer.nextDelay(1, 3s, kStart, random), 3s);
}

TEST(RetryAfterPacer, AfterAQuietTimeTheNextCallerWaitsForOnePlaceOnly)
{
    RetryAfterPacer pacer;
    Random random(1);
    for (unsigned i = 0; i < 20; ++i) {
        pacer.nextDelay(1, 0s, kStart, random);
    }
    EXPECT_LE(pacer.nextDelay(1, 0s, kStart + 60s, random), 1200ms);
}

TEST(RetryAfterPacer, TimesAreBoundedHoweverManyComeAndHoweverLittleRoomThereIs)
{
    RetryAfterPacer pacer;
    Random random(1);
    for (unsigned i = 0; i < 1000; ++i) {
        EXPECT_LE(pacer.nextDelay(0, 1h, kStart, random), RetryAfterPacer::kMaxDelay * 11 / 10);
    }
}

} // namespace fulmarlink::testing
