// Callers that are rejected while the remaining runners accept a limited number of requests a second.

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

TEST(RetryAfterPacer, CallersRejectedAtTheSameTimeReturnAtTheRateOfFreeCapacity)
{
    RetryAfterPacer pacer;
    Random random(1);
    std::vector<double> delays;
    for (unsigned i = 0; i < 36; ++i) {
        delays.push_back(std::chrono::duration<double>(pacer.nextDelay(4, 0s, kStart, random)).count());
    }
    EXPECT_NEAR(delays.front(), 0.25, 0.03);
    EXPECT_NEAR(delays.back(), 9, 0.91);
}

TEST(RetryAfterPacer, NoDelayEndsBeforeCapacityIsFree)
{
    RetryAfterPacer pacer;
    Random random(1);
    EXPECT_GE(pacer.nextDelay(1, 3s, kStart, random), 3s);
}

TEST(RetryAfterPacer, AfterAnIdlePeriodTheNextCallerWaitsForOneInterval)
{
    RetryAfterPacer pacer;
    Random random(1);
    for (unsigned i = 0; i < 20; ++i) {
        pacer.nextDelay(1, 0s, kStart, random);
    }
    EXPECT_LE(pacer.nextDelay(1, 0s, kStart + 60s, random), 1200ms);
}

TEST(RetryAfterPacer, DelaysAreBoundedForAnyNumberOfCallersAndAnyCapacity)
{
    RetryAfterPacer pacer;
    Random random(1);
    for (unsigned i = 0; i < 1000; ++i) {
        EXPECT_LE(pacer.nextDelay(0, 1h, kStart, random), RetryAfterPacer::kMaxDelay * 11 / 10);
    }
}

} // namespace fulmarlink::testing
