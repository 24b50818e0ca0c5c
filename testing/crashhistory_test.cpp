// Who is to blame for runners that ended. Loads: one request that ends each runner that begins
// it, among a dozen innocent ones that differ from runner to runner; a wave of ends that has
// another cause, with the same words of many callers in progress everywhere; a stream that is
// taken up at the next runner to end. Grounds of the figures are at CrashPolicy.

#include "fulmarlink/crashhistory.h"

#include <gtest/gtest.h>
#include <random>

#include "testing/harness/mutation_on.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

TimePoint at(std::chrono::milliseconds time)
{
    return TimePoint(500s) + time;
}

CrashSuspect suspect(std::uint64_t number, bool answering = false)
{
    return {RequestFingerprint{1, 2, number}, "customer", "route", answering};
}

CrashRecord crash(const std::string &name, const TargetLife &life, std::vector<CrashSuspect> suspects)
{
    CrashRecord record;
    record.name = name;
    record.host = "entry-1";
    record.writtenAt = 1000ms;
    record.lives.push_back(life);
    record.suspects = std::move(suspects);
    return record;
}

TargetLife life(unsigned number)
{
    return {"i-" + std::to_string(number), 7000 + number};
}

const RequestFingerprint kBad = suspect(1).fingerprint;

CrashVerdict verdict(const CrashHistory &history, std::chrono::milliseconds time, const RequestFingerprint &fingerprint = kBad)
{
    return history.standing(fingerprint, at(time)).verdict;
}

} // namespace

TEST(CrashHistory, EachEndBringsItNearerToTheBan)
{
    CrashHistory history;
    EXPECT_EQ(verdict(history, 0ms), CrashVerdict::Clear);
    history.add(crash("a", life(1), {suspect(1), suspect(10)}), at(0ms));
    EXPECT_EQ(verdict(history, 0ms), CrashVerdict::Suspect);
    history.add(crash("b", life(2), {suspect(1), suspect(20)}), at(5s));
    EXPECT_EQ(verdict(history, 5s), CrashVerdict::HeldBack);
    EXPECT_EQ(history.standing(kBad, at(15s)).retryAfter, Duration(290s));
    EXPECT_EQ(verdict(history, 306s), CrashVerdict::TrialDue);
    history.add(crash("c", life(3), {suspect(1), suspect(30)}), at(306s));
    EXPECT_EQ(verdict(history, 306s), CrashVerdict::Banned);
    EXPECT_EQ(verdict(history, 10h), CrashVerdict::Banned);
    EXPECT_EQ(verdict(history, 306s, suspect(10).fingerprint), CrashVerdict::Suspect) << "innocent ones differ from end to end";
    ASSERT_EQ(history.held(at(306s)).size(), 1U);
    EXPECT_EQ(history.held(at(306s)).front().lives.size(), 3U);
}

TEST(CrashHistory, OneEndCountsOnceHoweverManyTellOfIt)
{
    CrashHistory history;
    for (unsigned host = 0; host < 16; ++host) {
        EXPECT_TRUE(history.add(crash("a" + std::to_string(host), life(1), {suspect(1)}), at(0ms)));
    }
    EXPECT_FALSE(history.add(crash("a3", life(1), {suspect(1)}), at(0ms)));
    EXPECT_EQ(history.standing(kBad, at(0ms)).crashes, 1U);
    history.add(crash("b", {"i-1", 9999}, {suspect(1)}), at(0ms));
    EXPECT_EQ(history.standing(kBad, at(0ms)).crashes, 2U) << "the next life of the same runner is another one";
}

TEST(CrashHistory, WhatEndsWellIsClearedOfAllBeforeAndOthersAreToldOnlyWhenTheyHoldIt)
{
    CrashHistory history;
    history.add(crash("a", life(1), {suspect(1)}), at(0ms));
    history.endedWell(kBad, at(1s));
    EXPECT_EQ(verdict(history, 1s), CrashVerdict::Clear);
    EXPECT_TRUE(history.takeClearings().empty()) << "one end holds nothing back anywhere";
    history.add(crash("b", life(2), {suspect(1)}), at(60s));
    EXPECT_EQ(verdict(history, 60s), CrashVerdict::Suspect);
    const std::vector<CrashRecord> told = history.takeClearings();
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told.front().lives, std::vector<TargetLife>{life(1)});
    EXPECT_TRUE(history.takeClearings().empty());
}

TEST(CrashHistory, AClearingOfAnotherHostLetsItGo)
{
    CrashHistory history;
    history.add(crash("a", life(1), {suspect(1)}), at(0ms));
    history.add(crash("b", life(2), {suspect(1)}), at(1s));
    EXPECT_EQ(verdict(history, 1s), CrashVerdict::HeldBack);
    CrashRecord cleared = crash("c", life(1), {suspect(1)});
    cleared.kind = CrashRecordKind::Cleared;
    history.add(cleared, at(2s));
    EXPECT_EQ(verdict(history, 2s), CrashVerdict::Suspect);
    history.add(crash("late", life(1), {suspect(1)}), at(3s)); // another host tells of the same end only now
    EXPECT_EQ(verdict(history, 3s), CrashVerdict::Suspect);
}

// The load: many callers ask in the same words all the time, and several runners end for a cause of their own.
TEST(CrashHistory, WordsThatEndWellAllTheTimeAreNeverHeldInAWaveOfEnds)
{
    CrashHistory history;
    for (unsigned i = 0; i < 20; ++i) {
        const auto now = 300ms * i;
        history.endedWell(kBad, at(now));
        history.add(crash("a" + std::to_string(i), life(i), {suspect(1), suspect(100 + i)}), at(now + 100ms));
        EXPECT_NE(verdict(history, now + 100ms), CrashVerdict::HeldBack);
        EXPECT_NE(verdict(history, now + 100ms), CrashVerdict::Banned);
    }
}

// The load: a runner ends in the middle of a stream, which goes on at the next runner to end.
TEST(CrashHistory, AStreamInTheMiddleOfItsAnswerTakesThreeEnds)
{
    CrashHistory history;
    history.add(crash("a", life(1), {suspect(1, true)}), at(0ms));
    history.add(crash("b", life(2), {suspect(1)}), at(1s));
    EXPECT_EQ(verdict(history, 1s), CrashVerdict::Suspect);
    history.add(crash("c", life(3), {suspect(1, true)}), at(2s));
    EXPECT_EQ(verdict(history, 2s), CrashVerdict::Banned) << "the bound holds for whatever crashes runners late in its answer too";
}

TEST(CrashHistory, TwoHostsThatSawOneEndDifferentlyCountItAsBeforeTheAnswer)
{
    CrashHistory history;
    history.add(crash("a", life(1), {suspect(1, true)}), at(0ms));
    history.add(crash("a2", life(1), {suspect(1, false)}), at(0ms));
    history.add(crash("b", life(2), {suspect(1)}), at(1s));
    EXPECT_EQ(verdict(history, 1s), CrashVerdict::HeldBack);
}

TEST(CrashHistory, OneTryIsDueAfterEachHold)
{
    CrashHistory history;
    history.add(crash("a", life(1), {suspect(1)}), at(0ms));
    history.add(crash("b", life(2), {suspect(1)}), at(0ms));
    EXPECT_EQ(verdict(history, 301s), CrashVerdict::TrialDue);
    CrashRecord trial = crash("t", life(1), {suspect(1)});
    trial.kind = CrashRecordKind::Trial;
    trial.lives.clear();
    history.add(trial, at(301s));
    EXPECT_EQ(verdict(history, 310s), CrashVerdict::HeldBack);
    EXPECT_EQ(history.standing(kBad, at(310s)).trials, 1U);
    EXPECT_EQ(verdict(history, 602s), CrashVerdict::TrialDue) << "the host that had the try may have been lost";
}

TEST(CrashHistory, RecordsThatHoldSomethingBackOutliveTheOthers)
{
    CrashHistory history;
    CrashRecord lone = crash("lone", life(9), {suspect(9)});
    history.add(lone, at(0ms));
    history.add(crash("a", life(1), {suspect(1)}), at(0ms));
    history.add(crash("b", life(2), {suspect(1)}), at(0ms));
    EXPECT_TRUE(history.expire(1000ms + 59min, "entry-1").empty());
    EXPECT_EQ(history.expire(1000ms + 61min, "entry-1"), std::vector<std::string>{"lone"});
    EXPECT_EQ(verdict(history, 10s, suspect(9).fingerprint), CrashVerdict::Clear);
    EXPECT_TRUE(history.expire(1000ms + 25h, "entry-2").empty()) << "they are entry-1's to remove, as long as it lives";
    EXPECT_EQ(history.expire(1000ms + 25h, "entry-1").size(), 2U);
    EXPECT_EQ(verdict(history, 10s), CrashVerdict::Clear);
    EXPECT_EQ(history.size(), 0U);
}

TEST(CrashHistory, AWaveOfRecordsDropsTheOldestThatHoldNothingBack)
{
    CrashPolicy policy;
    policy.maxRecords = 32;
    CrashHistory history(policy);
    history.add(crash("a", life(1), {suspect(1)}), at(0ms));
    history.add(crash("b", life(2), {suspect(1)}), at(0ms));
    for (unsigned i = 0; i < 500; ++i) {
        CrashRecord record = crash("w" + std::to_string(i), life(100 + i), {suspect(1000 + i)});
        record.writtenAt = std::chrono::milliseconds(2000 + i);
        history.add(record, at(1s));
        ASSERT_LE(history.size(), policy.maxRecords);
    }
    EXPECT_EQ(verdict(history, 1s), CrashVerdict::HeldBack);
    EXPECT_EQ(verdict(history, 1s, suspect(1499).fingerprint), CrashVerdict::Suspect);
    EXPECT_GT(history.dropped(), 400U);
}

TEST(CrashHistory, MemoryOfWhatEndsWellIsBounded)
{
    CrashPolicy policy;
    policy.maxWell = 16;
    CrashHistory history(policy);
    for (unsigned i = 0; i < 1000; ++i) {
        history.endedWell(suspect(i).fingerprint, at(0ms));
    }
    EXPECT_FALSE(history.endedWellLately(suspect(983).fingerprint, at(0ms)));
    EXPECT_TRUE(history.endedWellLately(suspect(984).fingerprint, at(0ms)));
    EXPECT_FALSE(history.endedWellLately(suspect(984).fingerprint, at(11s)));
}

// The order in which records come, and how often, changes nothing.
TEST(CrashHistory, AnyOrderOfTheSameRecordsGivesTheSameVerdicts)
{
    std::vector<CrashRecord> records;
    for (unsigned i = 0; i < 24; ++i) {
        CrashRecord record = crash("r" + std::to_string(i), life(i / 3), {suspect(i % 4), suspect(1 + i % 5, i % 2 == 0)});
        record.kind = i % 11 == 10 ? CrashRecordKind::Cleared : CrashRecordKind::Crash;
        records.push_back(record);
    }
    std::mt19937 random(7);
    std::vector<CrashVerdict> first;
    for (unsigned play = 0; play < 200; ++play) {
        std::ranges::shuffle(records, random);
        CrashHistory history;
        for (const CrashRecord &record : records) {
            history.add(record, at(0ms));
            history.add(records[random() % records.size()], at(0ms));
        }
        std::vector<CrashVerdict> verdicts;
        for (unsigned i = 0; i < 6; ++i) {
            verdicts.push_back(verdict(history, 1s, suspect(i).fingerprint));
        }
        first = play == 0 ? verdicts : first;
        ASSERT_EQ(verdicts, first);
    }
}

TEST(CrashHistory, ADozenInnocentOnesAtEachOfFiftyEndsAreNeverHeld)
{
    CrashHistory history;
    std::uint64_t next = 1000;
    for (unsigned i = 0; i < 50; ++i) {
        std::vector<CrashSuspect> suspects{suspect(1)};
        for (unsigned j = 0; j < 12; ++j) {
            suspects.push_back(suspect(++next));
        }
        history.add(crash("a" + std::to_string(i), life(i), suspects), at(100ms * i));
    }
    ASSERT_EQ(history.held(at(6s)).size(), 1U);
    EXPECT_EQ(history.held(at(6s)).front().fingerprint, kBad);
}

} // namespace fulmarlink::testing
