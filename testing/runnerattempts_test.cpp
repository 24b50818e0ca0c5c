#include "fulmarlink/runnerattempts.h"

#include <gtest/gtest.h>

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;
using Outcome = RunnerAttempts::Outcome;

const TargetIncarnation kLife{"i-1", 7};
const TargetIncarnation kNext{"i-1", 8};
const TargetIncarnation kOther{"i-2", 7};

TimePoint at(std::chrono::milliseconds time)
{
    return TimePoint(500s) + time;
}

CrashSuspect suspect(std::uint64_t number)
{
    return {RequestFingerprint{1, 2, number}, "customer", "route", false};
}

std::vector<std::uint64_t> numbers(const std::vector<CrashSuspect> &suspects)
{
    std::vector<std::uint64_t> result;
    result.reserve(suspects.size());
    for (const CrashSuspect &one : suspects) {
        result.push_back(one.fingerprint.low);
    }
    return result;
}

} // namespace

TEST(RunnerAttempts, OnlyWhatWasInProgressAtTheRunnerThatEndedIsSuspected)
{
    RunnerAttempts attempts;
    const auto answered = attempts.add(kLife, suspect(1));
    const auto cut = attempts.add(kLife, suspect(2));
    attempts.add(kLife, suspect(3));
    attempts.add(kOther, suspect(4));
    attempts.add(kNext, suspect(5));
    attempts.recordEnd(answered, Outcome::Resolved, at(0ms));
    attempts.recordEnd(cut, Outcome::Broken, at(0ms));
    EXPECT_TRUE(attempts.anyInProgress(kLife));
    EXPECT_EQ(numbers(attempts.takeSuspects(kLife, at(100ms))), (std::vector<std::uint64_t>{2, 3}));
}

TEST(RunnerAttempts, EachSuspectIsGivenOnce)
{
    RunnerAttempts attempts;
    const auto open = attempts.add(kLife, suspect(1));
    EXPECT_EQ(attempts.takeSuspects(kLife, at(0ms)).size(), 1U);
    EXPECT_TRUE(attempts.takeSuspects(kLife, at(0ms)).empty());
    attempts.recordEnd(open, Outcome::Broken, at(1ms));
    EXPECT_TRUE(attempts.takeSuspects(kLife, at(1ms)).empty());
    EXPECT_TRUE(attempts.livesOf("i-1", at(1ms)).empty());
}

TEST(RunnerAttempts, WhatBrokeOffLongBeforeTheEndIsForgotten)
{
    RunnerAttempts attempts;
    attempts.recordEnd(attempts.add(kLife, suspect(1)), Outcome::Broken, at(0ms));
    EXPECT_EQ(attempts.livesOf("i-1", at(5s)), std::vector<TargetIncarnation>{kLife});
    EXPECT_TRUE(attempts.takeSuspects(kLife, at(5001ms)).empty());
}

TEST(RunnerAttempts, AnAnswerThatHasBegunIsNoted)
{
    RunnerAttempts attempts;
    attempts.markAnswering(attempts.add(kLife, suspect(1)));
    attempts.add(kLife, suspect(2));
    const auto suspects = attempts.takeSuspects(kLife, at(0ms));
    ASSERT_EQ(suspects.size(), 2U);
    EXPECT_TRUE(suspects[0].answerStarted);
    EXPECT_FALSE(suspects[1].answerStarted);
}

} // namespace fulmarlink::testing
