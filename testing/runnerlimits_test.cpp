#include "fulmarlink/runnerlimits.h"

#include <gtest/gtest.h>

#include "testing/harness/mutation_on.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

const TargetIncarnation kRunner{"i-1", 100};
const TimePoint kStart{1000s};

LimitObservation observation(std::optional<double> perSecond, Duration sent, Duration now)
{
    return {perSecond, kStart + sent, kStart + now, "attempt"};
}

} // namespace

TEST(RunnerLimits, AnswersAddChangeAndRemoveLimit)
{
    RunnerLimits limits;
    EXPECT_EQ(limits.applyAnswer(kRunner, observation({}, 0s, 1s)), LimitChange::None);
    EXPECT_EQ(limits.applyAnswer(kRunner, observation(2, 1s, 2s)), LimitChange::Named);
    EXPECT_EQ(limits.applyAnswer(kRunner, observation(2, 2s, 3s)), LimitChange::None);
    EXPECT_EQ(limits.find(kRunner)->since, kStart + 2s);
    EXPECT_EQ(limits.applyAnswer(kRunner, observation(5, 4s, 5s)), LimitChange::Changed);
    EXPECT_EQ(limits.find(kRunner)->perSecond, 5);
    EXPECT_EQ(limits.applyAnswer(kRunner, observation({}, 6s, 7s)), LimitChange::Ended);
    EXPECT_EQ(limits.find(kRunner), nullptr);
}

TEST(RunnerLimits, OutOfOrderAnswerNeitherRemovesNorRaisesLimit)
{
    RunnerLimits limits;
    limits.applyAnswer(kRunner, observation(2, 1s, 5s));
    EXPECT_EQ(limits.applyAnswer(kRunner, observation({}, 4s, 6s)), LimitChange::None);
    EXPECT_EQ(limits.applyAnswer(kRunner, observation(9, 4s, 6s)), LimitChange::None);
    EXPECT_EQ(limits.find(kRunner)->perSecond, 2);
    EXPECT_EQ(limits.applyAnswer(kRunner, observation(1, 4s, 6s)), LimitChange::Changed) << "a lower limit takes effect at once";
    EXPECT_EQ(limits.find(kRunner)->perSecond, 1);
}

TEST(RunnerLimitsMutation, DetectsOldAnswerThatRemovesLimit)
{
    const ScopedMutation mutation(Mutation::EndLimitByOldAnswer);
    RunnerLimits limits;
    limits.applyAnswer(kRunner, observation(2, 1s, 5s));
    EXPECT_EQ(limits.applyAnswer(kRunner, observation({}, 4s, 6s)), LimitChange::Ended);
}

TEST(RunnerLimits, LimitDoesNotApplyToAnotherIncarnationOfRunner)
{
    RunnerLimits limits;
    limits.applyAnswer(kRunner, observation(2, 1s, 2s));
    EXPECT_EQ(limits.find({"i-1", 101}), nullptr);
    EXPECT_EQ(limits.applyAnswer({"i-1", 101}, observation({}, 3s, 4s)), LimitChange::None);
    EXPECT_NE(limits.find(kRunner), nullptr);
}

TEST(RunnerLimits, RecordOfAnotherHostCountsAsConfirmationNow)
{
    RunnerLimits limits;
    EXPECT_EQ(limits.applyRecord(kRunner, 3, "entry-1", kStart + 10s), LimitChange::Named);
    EXPECT_EQ(limits.find(kRunner)->source, "entry-1");
    EXPECT_EQ(limits.applyAnswer(kRunner, observation({}, 9s, 11s)), LimitChange::None) << "its request was sent before the record was applied";
    EXPECT_EQ(limits.remove(kRunner), LimitChange::Ended);
    EXPECT_EQ(limits.remove(kRunner), LimitChange::None);
}

TEST(RunnerLimits, IgnoresLimitsBeyondCapacity)
{
    RunnerLimits limits;
    for (std::uint64_t born = 1; born <= RunnerLimits::kMaxLimits + 5; ++born) {
        limits.applyRecord({"i-1", born}, 1, "entry-1", kStart);
    }
    EXPECT_EQ(limits.size(), RunnerLimits::kMaxLimits);
}

} // namespace fulmarlink::testing
