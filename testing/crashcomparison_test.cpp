// Tests how CrashHistory weighs a request's crashes against the ends of runners without it and against the
// runners that outlived it: streams that meet ends in waves, requests at fault beside such waves, requests
// of many callers that are in progress at most runners.

#include <gtest/gtest.h>
#include <random>

#include "fulmarlink/crashhistory.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned kRunners = 12;
constexpr unsigned kOthers = 100; ///< numbers of unrelated requests begin here

TimePoint at(std::chrono::milliseconds time)
{
    return TimePoint(500s) + time;
}

TargetIncarnation incarnation(unsigned number)
{
    return {"i-" + std::to_string(number), 7000 + number};
}

/** A suspect whose answer had begun and that had been in progress for @p exposure. */
CrashSuspect streaming(std::uint64_t number, std::chrono::milliseconds exposure)
{
    CrashSuspect result{RequestFingerprint{1, 2, number}, "customer", "route", true};
    result.exposure = exposure;
    return result;
}

/** A suspect that was lost before its answer began, after @p exposure. */
CrashSuspect unanswered(std::uint64_t number, std::chrono::milliseconds exposure)
{
    CrashSuspect result = streaming(number, exposure);
    result.answerStarted = false;
    result.unanswered = true;
    return result;
}

/** A suspect that its host had given up @p exposure before the runner ended. */
CrashSuspect givenUp(std::uint64_t number, std::chrono::milliseconds exposure)
{
    CrashSuspect result = streaming(number, exposure);
    result.unanswered = true;
    return result;
}

/** The history of one host; runners are numbered as they end. */
class CrashComparisonTest : public ::testing::Test
{
public:
    CrashComparisonTest()
    {
        history.setRunnerCount(kRunners);
    }

    /** Runners end at @p time, each under one of @p suspects. */
    void endRunners(std::chrono::milliseconds time, const std::vector<CrashSuspect> &suspects)
    {
        for (const CrashSuspect &suspect : suspects) {
            history.add(crash(time, ++m_ended, suspect), at(time));
        }
    }

    /** As many runners end at @p time under unrelated streams. */
    void endOthers(std::chrono::milliseconds time, unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            endRunners(time, {streaming(kOthers + m_ended, 500ms)});
        }
    }

    static CrashRecord crash(std::chrono::milliseconds time, unsigned runner, const CrashSuspect &suspect)
    {
        CrashRecord record;
        record.name = "r" + std::to_string(runner);
        record.host = "entry-1";
        record.writtenAt = time;
        record.incarnations.push_back(incarnation(runner));
        record.suspects.push_back(suspect);
        return record;
    }

    CrashStatus status(std::chrono::milliseconds time, std::uint64_t request = 1) const
    {
        return history.status(RequestFingerprint{1, 2, request}, at(time));
    }

    CrashVerdict verdict(std::chrono::milliseconds time, std::uint64_t request = 1) const
    {
        return status(time, request).verdict;
    }

    CrashHistory history;

private:
    unsigned m_ended = 0;
};

/** A request with copies in progress at the runners from 1000 on, as the record of an end has it. */
CrashSuspect withSurvivors(CrashSuspect suspect, unsigned survivors)
{
    for (unsigned i = 0; i < survivors; ++i) {
        suspect.survivors.push_back(incarnation(1000 + i));
    }
    return suspect;
}

} // namespace

TEST_F(CrashComparisonTest, TwoCrashesBeforeTheAnswerInACalmFleetHoldTheRequestBack)
{
    endRunners(0ms, {unanswered(1, 150ms)});
    endRunners(400ms, {unanswered(1, 150ms)});
    EXPECT_EQ(verdict(500ms), CrashVerdict::HeldBack);
    EXPECT_EQ(status(500ms).chance, 0);
    EXPECT_EQ(status(500ms).retryAfter, CrashPolicy().holdTime - 100ms);
}

// Guards against proper requests held back for minutes because two runners ended under them, of many that end in waves.
TEST_F(CrashComparisonTest, TwoCrashesBeforeTheAnswerBesideWavesDoNot)
{
    for (const auto time : {0ms, 400ms}) {
        endRunners(time, {unanswered(1, 150ms)});
        endOthers(time, 2);
    }
    EXPECT_EQ(verdict(500ms), CrashVerdict::Suspect);
}

// Guards against a request that crashes runners within milliseconds and passes for a victim of the waves beside it.
TEST_F(CrashComparisonTest, TwoCrashesRightAfterTheRequestWasSentAreNotPutDownToChance)
{
    for (const auto time : {0ms, 400ms}) {
        endRunners(time, {unanswered(1, 10ms)});
        endOthers(time, 3);
    }
    EXPECT_EQ(verdict(500ms), CrashVerdict::HeldBack);
    EXPECT_LE(status(500ms).retryAfter, CrashPolicy().calmTime) << "the evidence is weaker than in a calm fleet";
}

// Guards against a request refused for minutes after runners have stopped ending.
TEST_F(CrashComparisonTest, RefusalOnWeakEvidenceEndsWithOneTrialOnceRunnersNoLongerEnd)
{
    endRunners(0ms, {unanswered(1, 30ms)});
    endRunners(400ms, {unanswered(1, 30ms)});
    endOthers(400ms, 3);
    endOthers(6000ms, 1);
    EXPECT_EQ(verdict(15s), CrashVerdict::HeldBack) << "another runner ended 9 s before";
    EXPECT_EQ(verdict(17s), CrashVerdict::TrialDue);
    endRunners(17s, {unanswered(1, 10ms)});
    EXPECT_EQ(verdict(17s), CrashVerdict::Banned);
}

// Guards against two requests that crash runners at the same moments and excuse each other.
TEST_F(CrashComparisonTest, TwoRequestsThatSoonEndRunnersAtTheSameTimesAreBanned)
{
    for (unsigned wave = 0; wave < 3; ++wave) {
        endRunners(1000ms * wave, {streaming(1, 100ms), streaming(2, 100ms)});
    }
    EXPECT_EQ(verdict(3s), CrashVerdict::Banned);
    EXPECT_EQ(verdict(3s, 2), CrashVerdict::Banned);
}

// Two requests that end runners at the same times, a second into their answers, look like one wave after the other. The limit stops them.
TEST_F(CrashComparisonTest, TwoRequestsThatLateEndRunnersAtTheSameTimesGetFourEach)
{
    for (unsigned wave = 0; wave < 4; ++wave) {
        EXPECT_NE(verdict(1000ms * wave), CrashVerdict::Banned);
        endRunners(1000ms * wave, {streaming(1, 1000ms), streaming(2, 1000ms)});
    }
    EXPECT_EQ(verdict(4s), CrashVerdict::Banned);
    EXPECT_EQ(verdict(4s, 2), CrashVerdict::Banned);
}

TEST_F(CrashComparisonTest, OtherEndsFarFromTheCrashesSayNothing)
{
    for (unsigned crash = 0; crash < 3; ++crash) {
        endRunners(10'000ms * crash, {streaming(1, 500ms)});
        endOthers(10'000ms * crash + 5000ms, 2);
    }
    EXPECT_EQ(status(30s).chance, 0);
    EXPECT_EQ(verdict(30s), CrashVerdict::Banned);
}

// Guards against a request that gets a runner more each time it is given up at a runner that begins it all the same.
TEST_F(CrashComparisonTest, ThreeCrashesWithoutAnAnswerAreTheLimitBesideAnyNumberOfOthers)
{
    for (unsigned wave = 0; wave < 3; ++wave) {
        EXPECT_EQ(verdict(1000ms * wave), wave == 0 ? CrashVerdict::Clear : CrashVerdict::Suspect);
        endRunners(1000ms * wave, {givenUp(1, 800ms)});
        endOthers(1000ms * wave, 4);
    }
    EXPECT_EQ(verdict(3s), CrashVerdict::Banned);
}

// Guards against a request banned because it had been given up at runners that ended much later, among many others.
TEST_F(CrashComparisonTest, CrashesLongAfterTheRequestWasGivenUpAreLikelyByChance)
{
    endRunners(0ms, {givenUp(1, 3000ms)});
    endRunners(400ms, {givenUp(1, 3000ms)});
    endOthers(400ms, 1);
    endRunners(800ms, {streaming(1, 500ms)});
    EXPECT_EQ(verdict(1s), CrashVerdict::Suspect);
    endRunners(1200ms, {streaming(1, 500ms)});
    EXPECT_EQ(verdict(2s), CrashVerdict::Banned) << "the limit of all crashes";
}

// Guards against rates from those ends alone under which this host, or any, had a request.
TEST_F(CrashComparisonTest, EndsThatOnlyThisHostObservedCountTowardsTheRate)
{
    for (const auto time : {0ms, 400ms}) {
        endRunners(time, {unanswered(1, 150ms)});
    }
    ASSERT_EQ(verdict(500ms), CrashVerdict::HeldBack);
    for (unsigned runner = 500; runner < 504; ++runner) {
        history.observeEnd(incarnation(runner), runner % 2 == 0 ? 0ms : 400ms);
    }
    EXPECT_EQ(verdict(500ms), CrashVerdict::Suspect);
}

TEST_F(CrashComparisonTest, ObservedEndThatIsRecordedUnderTheRequestIsItsCrash)
{
    history.observeEnd(incarnation(1), 0ms);
    history.observeEnd(incarnation(2), 400ms);
    endRunners(0ms, {unanswered(1, 150ms)});
    endRunners(400ms, {unanswered(1, 150ms)});
    EXPECT_EQ(status(500ms).crashes, 2U);
    EXPECT_EQ(status(500ms).chance, 0) << "no other runner has ended";
}

// Guards against memory that grows with each end of a runner, and against rates from ends that were to be forgotten.
TEST_F(CrashComparisonTest, ObservedEndsAreBounded)
{
    CrashPolicy policy;
    policy.maxObservedEnds = 8;
    CrashHistory bounded(policy);
    bounded.setRunnerCount(kRunners);
    for (unsigned runner = 1; runner <= 2; ++runner) {
        bounded.add(crash(400ms, runner, unanswered(1, 150ms)), at(1s));
    }
    for (unsigned runner = 0; runner < 100; ++runner) {
        bounded.observeEnd(incarnation(5000 + runner), 400ms);
    }
    const std::chrono::duration<double> period = policy.backgroundTime + policy.detectionTime;
    const double mean = 8 / (kRunners * period.count()) * 0.3; // ends to be expected in the exposure of 0.3 s
    EXPECT_NEAR(bounded.status(RequestFingerprint{1, 2, 1}, at(1s)).chance, mean * mean / 2, mean * mean * mean);
}

// Guards against a request of many callers that is refused to all of them because two of eight runners ended at once, while the other six, which
// had it as long, did not.
TEST_F(CrashComparisonTest, RequestThatMoreRunnersSurviveThanNotIsNotAtFault)
{
    const CrashSuspect shared = withSurvivors(unanswered(1, 400ms), 6);
    endRunners(1s, {shared, shared});
    EXPECT_EQ(verdict(1s), CrashVerdict::Suspect);
    endRunners(1s, {shared, shared});
    EXPECT_EQ(verdict(1s), CrashVerdict::Suspect) << "more than the limit, but six runners live with it";
    endRunners(1s, {shared, shared, shared});
    EXPECT_EQ(verdict(1s), CrashVerdict::Banned) << "seven ended, six live";
}

TEST_F(CrashComparisonTest, SurvivorThatEndsAtTheSameTimeCountsAgainstTheRequest)
{
    for (unsigned runner = 1000; runner < 1004; ++runner) {
        history.add(crash(1s, runner, withSurvivors(unanswered(1, 400ms), 4)), at(1s));
    }
    EXPECT_EQ(verdict(1s), CrashVerdict::Banned);
}

// Guards against a shared request that is refused because runners which outlived it for long end under it in a later wave.
TEST_F(CrashComparisonTest, SurvivorThatEndsMuchLaterStillSpeaksForTheRequest)
{
    const CrashSuspect shared = withSurvivors(unanswered(1, 400ms), 4);
    endRunners(1s, {shared, shared});
    history.add(crash(1600ms, 1000, unanswered(1, 900ms)), at(1600ms));
    history.add(crash(1600ms, 1001, unanswered(1, 900ms)), at(1600ms));
    EXPECT_EQ(status(2s).survivors, 4U);
    EXPECT_EQ(verdict(2s), CrashVerdict::Suspect);
}

TEST_F(CrashComparisonTest, SurvivorsOfLongBeforeTheLastCrashDoNotCount)
{
    endRunners(1s, {withSurvivors(unanswered(1, 400ms), 6)});
    endRunners(9s, {unanswered(1, 10ms)});
    EXPECT_EQ(verdict(9s), CrashVerdict::HeldBack);
}

TEST_F(CrashComparisonTest, SurvivorsThatThisHostKnowsCountLikeThoseOfTheRecords)
{
    endRunners(1s, {unanswered(1, 400ms), unanswered(1, 400ms)});
    ASSERT_EQ(verdict(1s), CrashVerdict::HeldBack);
    const std::vector<TargetIncarnation> alive{incarnation(1000), incarnation(1001)};
    history.observeSurvivors(RequestFingerprint{1, 2, 1}, alive, 1s);
    EXPECT_EQ(verdict(1s), CrashVerdict::Suspect);
}

// Records may arrive in any order and more than once.
TEST_F(CrashComparisonTest, VerdictsAreIndependentOfRecordOrder)
{
    std::vector<CrashRecord> records;
    for (unsigned i = 0; i < 24; ++i) {
        CrashSuspect suspect = i % 2 == 0 ? streaming(i % 4, 40ms * (1 + i % 7)) : unanswered(1 + i % 5, 40ms * (1 + i % 7));
        suspect.survivors.assign(i % 4, incarnation(2 + i % 6));
        records.push_back(crash(130ms * i, i / 3, suspect));
        records.back().name += '.' + std::to_string(i);
        records.back().kind = i % 11 == 10 ? CrashRecordKind::Cleared : CrashRecordKind::Crash;
    }
    std::mt19937 random(7);
    std::vector<CrashVerdict> expected;
    for (unsigned round = 0; round < 200; ++round) {
        std::ranges::shuffle(records, random);
        CrashHistory shuffled;
        shuffled.setRunnerCount(kRunners);
        for (const CrashRecord &record : records) {
            shuffled.add(record, at(0ms));
            shuffled.add(records[random() % records.size()], at(0ms));
        }
        std::vector<CrashVerdict> verdicts;
        for (std::uint64_t request = 0; request < 6; ++request) {
            verdicts.push_back(shuffled.status(RequestFingerprint{1, 2, request}, at(1s)).verdict);
        }
        expected = round == 0 ? verdicts : expected;
        ASSERT_EQ(verdicts, expected);
    }
}

// Guards against a request of many callers that is banned on hosts that have not had an answer to it, though others are answered all the time:
// what another host had cleared it of were only the ends that had happened by then.
TEST_F(CrashComparisonTest, CompletionAtAnotherHostSpeaksForTheRequestAsLongAsOneHere)
{
    endRunners(0ms, {unanswered(1, 300ms), unanswered(1, 300ms)});
    CrashRecord cleared;
    cleared.name = "cleared";
    cleared.kind = CrashRecordKind::Cleared;
    cleared.host = "entry-2";
    cleared.writtenAt = 2000ms;
    cleared.completionAge = 1900ms;
    cleared.incarnations = {incarnation(1), incarnation(2)};
    cleared.suspects.push_back(unanswered(1, 0ms));
    history.add(cleared, at(2000ms));
    endRunners(2300ms, {unanswered(1, 300ms), unanswered(1, 300ms), unanswered(1, 300ms)});
    EXPECT_EQ(verdict(2300ms), CrashVerdict::Clear);
    endRunners(100ms + std::chrono::duration_cast<std::chrono::milliseconds>(CrashPolicy().completionWindow) + 1ms,
               {unanswered(1, 300ms), unanswered(1, 300ms), unanswered(1, 300ms)});
    EXPECT_EQ(verdict(11s), CrashVerdict::Banned) << "the answer is too long ago";
}

// An operator's release says nothing of later ends.
TEST_F(CrashComparisonTest, ReleaseWithoutACompletionClearsOnlyWhatItNames)
{
    endRunners(0ms, {unanswered(1, 300ms), unanswered(1, 300ms), unanswered(1, 300ms)});
    CrashRecord cleared;
    cleared.name = "cleared";
    cleared.kind = CrashRecordKind::Cleared;
    cleared.host = "operator";
    cleared.writtenAt = 100ms;
    cleared.incarnations = {incarnation(1), incarnation(2), incarnation(3)};
    cleared.suspects.push_back(unanswered(1, 0ms));
    history.add(cleared, at(100ms));
    EXPECT_EQ(verdict(200ms), CrashVerdict::Clear);
    endRunners(300ms, {unanswered(1, 300ms), unanswered(1, 300ms), unanswered(1, 300ms)});
    EXPECT_EQ(verdict(400ms), CrashVerdict::Banned);
}

TEST_F(CrashComparisonTest, ClearanceCarriesTheAgeOfTheCompletion)
{
    history.requestCompleted(RequestFingerprint{1, 2, 1}, at(0ms));
    endRunners(700ms, {unanswered(1, 300ms), unanswered(1, 300ms)});
    const std::vector<CrashRecord> clearances = history.takeClearances();
    ASSERT_EQ(clearances.size(), 1U);
    EXPECT_EQ(clearances.front().completionAge, 700ms);
}

} // namespace fulmarlink::testing
