// Runners that end before they have read a request.
//
// Guards against a request that many callers share and that is banned for the ends of runners that never read it. On a machine so busy that runners
// read nothing for a quarter of a second, two of eight ended in each wave: 326 of 343 lost copies had been reset unread, and each of these
// ends counted against the request, before any runner could have answered it.

#include <gtest/gtest.h>

#include "fulmarlink/crashhistory.h"
#include "fulmarlink/runnerattempts.h"
#include "testing/harness/gatewayfleet.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr auto kPropagationTime = 1000ms; ///< from the ends of six runners until all hosts have the records of them
constexpr const char *kPool = "pool";

TimePoint at(std::chrono::milliseconds time)
{
    return TimePoint(500s) + time;
}

TargetIncarnation incarnation(unsigned number)
{
    return {"i-" + std::to_string(number), 7000 + number};
}

enum class Loss {
    Reset,
    InOrder,
    Other,
};

CrashSuspect lost(std::uint64_t request, Loss loss)
{
    CrashSuspect result{RequestFingerprint{1, 2, request}, "customer", "route", false};
    result.unanswered = true;
    result.exposure = 600ms;
    result.unread = loss == Loss::Reset;
    result.closedInOrder = loss == Loss::InOrder;
    return result;
}

/** The history of one host; runners are numbered as they end. */
class UnreadRequests : public ::testing::Test
{
public:
    UnreadRequests()
    {
        history.setRunnerCount(8);
    }

    void endRunner(unsigned runner, std::vector<CrashSuspect> suspects, const std::string &pool = kPool)
    {
        CrashRecord record;
        record.name = "r" + std::to_string(++m_records);
        record.host = "entry-1";
        record.writtenAt = 100ms * runner;
        record.pool = pool;
        record.incarnations.push_back(incarnation(runner));
        record.suspects = std::move(suspects);
        history.add(std::move(record), at(100ms * runner));
    }

    CrashStatus status(std::uint64_t request = 1) const
    {
        return history.status(RequestFingerprint{1, 2, request}, at(1s));
    }

    CrashHistory history;

private:
    unsigned m_records = 0;
};

} // namespace

TEST_F(UnreadRequests, EndsOfRunnersThatHadNotReadARequestDoNotCountAgainstIt)
{
    for (unsigned runner = 1; runner <= 5; ++runner) {
        endRunner(runner, {lost(1, Loss::Reset), lost(100 + runner, Loss::InOrder)});
    }
    EXPECT_EQ(status().crashes, 0U);
    EXPECT_EQ(status().verdict, CrashVerdict::Clear);
}

// The evidence that resets tell something may come later, from another host.
TEST_F(UnreadRequests, OrderlyCloseOfALaterEndCountsForEarlierOnes)
{
    for (unsigned runner = 1; runner <= 3; ++runner) {
        endRunner(runner, {lost(1, Loss::Reset)});
    }
    EXPECT_EQ(status().verdict, CrashVerdict::Banned);
    endRunner(4, {lost(2, Loss::InOrder)});
    EXPECT_EQ(status().verdict, CrashVerdict::Clear);
}

// Guards against a request that gets runners without end where a server resets all its connections when it ends.
TEST_F(UnreadRequests, ResetsCountInAPoolWhoseRunnersHaveClosedNoConnectionInOrder)
{
    endRunner(1, {lost(3, Loss::InOrder)}, "another pool");
    endRunner(2, {lost(3, Loss::InOrder)}, "");
    for (unsigned runner = 3; runner <= 5; ++runner) {
        endRunner(runner, {lost(1, Loss::Reset)});
    }
    EXPECT_EQ(status().verdict, CrashVerdict::Banned);
}

// Two copies at one runner, of one or two hosts: one was read, so it may have ended the runner.
TEST_F(UnreadRequests, EndCountsIfOneCopyWasRead)
{
    for (unsigned runner = 1; runner <= 3; ++runner) {
        endRunner(runner, {lost(1, Loss::Reset), lost(1, Loss::InOrder)});
        endRunner(runner, {lost(1, Loss::Reset)});
    }
    EXPECT_EQ(status().crashes, 3U);
    EXPECT_EQ(status().verdict, CrashVerdict::Banned);
}

TEST_F(UnreadRequests, EndCountsIfOneCopyWasLostInAnotherWay)
{
    endRunner(9, {lost(2, Loss::InOrder)});
    for (unsigned runner = 1; runner <= 3; ++runner) {
        endRunner(runner, {lost(1, Loss::Reset), lost(1, Loss::Other)});
    }
    EXPECT_EQ(status().verdict, CrashVerdict::Banned);
}

// Guards against a request that is banned because copies of it were reset unread at a runner that had answered others since it was given up there.
TEST_F(UnreadRequests, UnreadCopiesLeaveWhatOtherCopiesTellAsItIs)
{
    CrashSuspect survived = lost(1, Loss::Other);
    survived.answerStarted = true;
    survived.unlikely = true;
    endRunner(9, {lost(2, Loss::InOrder)});
    endRunner(1, {lost(1, Loss::Reset), survived});
    EXPECT_EQ(status().crashes, 1U);
    endRunner(2, {lost(1, Loss::Reset), survived});
    endRunner(3, {lost(1, Loss::Reset), survived});
    EXPECT_EQ(status().crashes, 3U);
    EXPECT_EQ(status().chanceBeforeAnswer, 1) << "no copy was lost before its answer had begun";
}

// Guards against a request that is suspected for ends of runners that did not read it until its deadline, and not after that either.
TEST(UnreadAttempts, GivenUpAttemptBecomesWhatItsConnectionShowsLater)
{
    RunnerAttempts attempts;
    const CrashSuspect suspect{RequestFingerprint{1, 2, 3}, "customer", "route", false};
    std::vector<RunnerAttempts::Token> tokens;
    for (unsigned i = 0; i < 4; ++i) {
        tokens.push_back(attempts.add(incarnation(1), suspect));
        attempts.recordEnd(tokens.back(), RunnerAttempts::Outcome::Broken, at(0ms));
    }
    attempts.updateEnd(tokens[0], RunnerAttempts::Outcome::LostUnread, at(100ms));
    attempts.updateEnd(tokens[1], RunnerAttempts::Outcome::LostInOrder, at(100ms));
    attempts.updateEnd(tokens[2], RunnerAttempts::Outcome::Resolved, at(100ms));
    const std::vector<CrashSuspect> suspects = attempts.takeSuspects(incarnation(1), at(200ms));
    ASSERT_EQ(suspects.size(), 3U);
    EXPECT_TRUE(suspects[0].unread);
    EXPECT_EQ(suspects[0].state, SuspectState::Lost);
    EXPECT_TRUE(suspects[1].closedInOrder);
    EXPECT_EQ(suspects[2].state, SuspectState::GivenUp);
    EXPECT_EQ(attempts.takeSurvived(incarnation(1), at(200ms)).size(), 1U) << "it was answered after all";
}

TEST(UnreadAttempts, ResetAttemptIsUnreadUntilItsRunnerAcceptsConnections)
{
    RunnerAttempts attempts;
    const CrashSuspect suspect{RequestFingerprint{1, 2, 3}, "customer", "route", false};
    const auto reset = attempts.add(incarnation(1), suspect);
    const auto accepted = attempts.add(incarnation(1), suspect);
    const auto closed = attempts.add(incarnation(1), suspect);
    attempts.recordEnd(reset, RunnerAttempts::Outcome::LostUnread, at(0ms));
    attempts.recordEnd(accepted, RunnerAttempts::Outcome::LostUnread, at(0ms));
    attempts.recordEnd(closed, RunnerAttempts::Outcome::LostInOrder, at(0ms));
    attempts.markAccepting(accepted);
    const std::vector<CrashSuspect> suspects = crashEvidence(attempts.takeSuspects(incarnation(1), at(1ms)));
    ASSERT_EQ(suspects.size(), 3U);
    EXPECT_TRUE(suspects[0].unread);
    EXPECT_FALSE(suspects[0].answerStarted);
    EXPECT_FALSE(suspects[1].unread);
    EXPECT_TRUE(suspects[2].closedInOrder);
    EXPECT_FALSE(suspects[2].unread);
}

namespace
{

constexpr unsigned kGateways = 5;
constexpr unsigned kRunners = 8;

/**
 * All runners but one accept copies of a request that many callers share, and read none. Six of the eight end; the other one of these had read
 * another request. Then the two left go on. Returns whether any host refuses the shared request.
 */
bool refusedAfterEndsOfStalledRunners(const std::string &body)
{
    GatewayFleet fleet({.gateways = kGateways, .runners = kRunners, .restartDelay = 5000ms, .workTime = 600ms});
    EXPECT_TRUE(fleet.start());
    fleet.send(0, fleet.request("/once/other"));
    fleet.runFor(30ms);
    unsigned reader = kRunners;
    for (unsigned i = 0; i < kRunners; ++i) {
        reader = fleet.requestsAt(i).empty() ? reader : i;
        fleet.runner(i).stalled = true;
    }
    EXPECT_LT(reader, kRunners);
    for (unsigned copy = 0; copy < 28; ++copy) {
        fleet.send(copy % kGateways, fleet.request("/once/status", body));
    }
    fleet.runFor(60ms);
    for (unsigned i = 0; i < 6; ++i) {
        fleet.crashRunner((reader + i) % kRunners);
    }
    fleet.runFor(kPropagationTime);
    fleet.runner((reader + 6) % kRunners).stalled = false;
    fleet.runner((reader + 7) % kRunners).stalled = false;
    bool refused = false;
    for (unsigned gateway = 0; gateway < kGateways; ++gateway) {
        const auto answer = fleet.send(gateway, fleet.request("/once/status", body));
        fleet.runFor(20ms);
        refused = refused || answer->status != 0;
    }
    return refused;
}

} // namespace

TEST(UnreadRequestsFleet, SharedRequestThatNoEndedRunnerHadReadIsNotRefused)
{
    EXPECT_FALSE(refusedAfterEndsOfStalledRunners("text"));
}

// A runner may have read and worked on the first part of a request that it does not read at once.
TEST(UnreadRequestsFleet, LongRequestMayHaveBeenReadInPart)
{
    EXPECT_TRUE(refusedAfterEndsOfStalledRunners(std::string(4096, 'x')));
}

} // namespace fulmarlink::testing
