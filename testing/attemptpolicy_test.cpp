// Checks the step that is chosen after an attempt, over random attempt states.

#include "fulmarlink/attemptpolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace fulmarlink::testing
{

namespace
{

AttemptState randomState()
{
    AttemptState state;
    state.end = static_cast<AttemptEnd>(*rc::gen::inRange(0, 5));
    state.repeatable = *rc::gen::arbitrary<bool>();
    state.answerBegun = *rc::gen::arbitrary<bool>();
    state.resumable = *rc::gen::arbitrary<bool>();
    state.ran = *rc::gen::inRange(0U, 4U);
    state.sends = state.ran + *rc::gen::inRange(0U, 4U);
    state.maxAttempts = *rc::gen::inRange(1U, 4U);
    state.timeLeft = *rc::gen::arbitrary<bool>();
    return state;
}

} // namespace

TEST(AttemptPolicy, ResendsARunRequestOnlyIfRepeatableOrResumable)
{
    rc::check([] {
        const AttemptState state = randomState();
        if (nextStep(state) == NextStep::Again && state.ran > 0) {
            RC_ASSERT((state.answerBegun ? state.resumable : state.repeatable));
            RC_ASSERT(state.ran < state.maxAttempts);
        }
    });
}

TEST(AttemptPolicy, ReportsNotRunOnlyIfNoRunnerMayHaveRunIt)
{
    rc::check([] {
        const AttemptState state = randomState();
        for (const NextStep step : {nextStep(state), giveUp(state)}) {
            RC_ASSERT(step != NextStep::RefuseNotRun || (state.ran == 0 && !state.answerBegun));
        }
    });
}

TEST(AttemptPolicy, NeverSendsASecondHeadAfterTheAnswerBegan)
{
    rc::check([] {
        AttemptState state = randomState();
        state.answerBegun = true;
        RC_ASSERT(giveUp(state) == NextStep::Unknown);
        RC_ASSERT(nextStep(state) != NextStep::PassFailure);
    });
}

TEST(AttemptPolicy, StopsAtTheSendLimitOrDeadline)
{
    AttemptState state;
    state.end = AttemptEnd::Refused;
    state.sends = kMaxSends;
    EXPECT_EQ(nextStep(state), NextStep::RefuseNotRun);
    state.sends = 1;
    EXPECT_EQ(nextStep(state), NextStep::Again);
    state.timeLeft = false;
    EXPECT_EQ(nextStep(state), NextStep::RefuseNotRun);
}

// Guards against a stream that is resumed at one ended runner after the other until its own resumptions ban it.
TEST(AttemptPolicy, DoesNotResendUnderTwoEndedRunners)
{
    AttemptState state;
    state.end = AttemptEnd::Broken;
    state.answerBegun = true;
    state.resumable = true;
    state.ran = 2;
    state.sends = 2;
    state.maxAttempts = 3;
    state.endedRunners = 1;
    EXPECT_EQ(nextStep(state), NextStep::Again);
    state.endedRunners = 2;
    EXPECT_EQ(nextStep(state), NextStep::Unknown);
}

TEST(AttemptPolicy, ForwardsTheRunnerFailureWhenNoAttemptIsLeft)
{
    AttemptState state;
    state.end = AttemptEnd::Failed;
    state.repeatable = true;
    state.ran = 2;
    state.sends = 2;
    state.maxAttempts = 2;
    EXPECT_EQ(nextStep(state), NextStep::PassFailure);
    state.maxAttempts = 3;
    EXPECT_EQ(nextStep(state), NextStep::Again);
}

} // namespace fulmarlink::testing
