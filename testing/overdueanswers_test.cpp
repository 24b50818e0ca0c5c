// Runners that answer idempotent requests later than the time after which a host tries the next runner.
//
// Guards against a host that closes the connection of such an attempt: the answer is lost, though it serves the caller as well as any, and
// it shows that the request crashes no runner. A pool that had slowed down past the timeout answered no idempotent request at all, and a
// request that many callers share was banned as soon as three runners ended under it for other reasons.

#include <algorithm>
#include <gtest/gtest.h>

#include "testing/harness/gatewayfleet.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;
using standins::RunnerAct;

constexpr auto kAnswerTimeout = 400ms; ///< of the fleet's idempotent route: twice its objective

std::size_t arrivals(const GatewayFleet &fleet, unsigned runners)
{
    std::size_t result = 0;
    for (unsigned i = 0; i < runners; ++i) {
        result += fleet.requestsAt(i).size();
    }
    return result;
}

} // namespace

TEST(OverdueAnswers, PoolSlowerThanTheTimeoutAnswersEachRequest)
{
    GatewayFleet fleet({.gateways = 1, .runners = 8, .workTime = kAnswerTimeout + 50ms});
    ASSERT_TRUE(fleet.start());
    for (unsigned i = 0; i < 5; ++i) {
        EXPECT_EQ(fleet.ask(0, fleet.request("/again/slow", std::to_string(i))).status, 200U);
    }
}

// The second attempt is made before the first answer comes; its runner is not needed any more then.
TEST(OverdueAnswers, FirstAnswerIsTakenAndTheOtherConnectionIsClosed)
{
    GatewayFleet fleet({.gateways = 1, .runners = 2});
    ASSERT_TRUE(fleet.start());
    fleet.runner(0).workTime = kAnswerTimeout + 100ms;
    fleet.runner(1).workTime = kAnswerTimeout + 100ms;
    const auto began = GatewayFleet::Time::clock::now();
    const Answer answer = fleet.ask(0, fleet.request("/again/slow"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_LT(GatewayFleet::Time::clock::now() - began, 2 * kAnswerTimeout) << "the second answer would come later";
    EXPECT_EQ(arrivals(fleet, 2), 2U);
    fleet.runFor(kAnswerTimeout + 100ms);
    const unsigned second = fleet.requestsAt(0).front().at > fleet.requestsAt(1).front().at ? 0 : 1;
    EXPECT_EQ(fleet.runner(second).openConnections(), 0U);
}

// Nothing may be sent a second time without room in the retry budget; the first attempt still counts.
TEST(OverdueAnswers, AnswerIsAwaitedIfTheRetryBudgetAllowsNoOtherAttempt)
{
    GatewayFleet fleet({.gateways = 1, .runners = 2, .retryRatio = 0, .retrySlack = 0, .workTime = kAnswerTimeout + 100ms});
    ASSERT_TRUE(fleet.start());
    EXPECT_EQ(fleet.ask(0, fleet.request("/again/slow")).status, 200U);
    EXPECT_EQ(arrivals(fleet, 2), 1U);
}

// One runner ends while the other works on the request.
TEST(OverdueAnswers, AnswerIsAwaitedIfTheRunnerOfTheOtherAttemptEnds)
{
    GatewayFleet fleet({.gateways = 1, .runners = 2, .restartDelay = 5000ms, .workTime = kAnswerTimeout + 300ms});
    ASSERT_TRUE(fleet.start());
    const auto answer = fleet.send(0, fleet.request("/again/slow"));
    fleet.runUntil(
        [&fleet] {
            return arrivals(fleet, 2) == 2;
        },
        2000ms);
    fleet.crashRunner(fleet.requestsAt(0).front().at > fleet.requestsAt(1).front().at ? 0 : 1);
    fleet.runFor(500ms);
    EXPECT_EQ(answer->status, 200U);
}

TEST(OverdueAnswers, DeadlineEndsTheWorkAtAllRunners)
{
    GatewayFleet fleet({.gateways = 1, .runners = 2, .workTime = 1500ms});
    ASSERT_TRUE(fleet.start());
    HttpRequest request = fleet.request("/again/slow");
    request.set("Deadline-Ms", "600");
    EXPECT_EQ(fleet.ask(0, request).status, 504U);
    EXPECT_EQ(arrivals(fleet, 2), 2U);
    fleet.runFor(1500ms);
    const unsigned first = fleet.requestsAt(0).front().at < fleet.requestsAt(1).front().at ? 0 : 1;
    EXPECT_EQ(fleet.runner(first).openConnections(), 1U) << "idle: it showed that the runner accepts connections";
    EXPECT_EQ(fleet.runner(1 - first).openConnections(), 0U);
}

// What may run only once is sent once, however long it takes.
TEST(OverdueAnswers, NonIdempotentRequestIsNotSentAgain)
{
    GatewayFleet fleet({.gateways = 1, .runners = 2, .workTime = 2 * kAnswerTimeout});
    ASSERT_TRUE(fleet.start());
    EXPECT_EQ(fleet.ask(0, fleet.request("/once/slow")).status, 200U);
    EXPECT_EQ(arrivals(fleet, 2), 1U);
}

// A request that crashes runners and loses their last packets reaches no third one by the host's own sends.
TEST(OverdueAnswers, RunnersThatEndWithoutANoticeCountAsEnded)
{
    GatewayFleet fleet({.gateways = 1, .runners = 6, .restartDelay = 5000ms, .silentCrash = true});
    ASSERT_TRUE(fleet.start());
    for (unsigned i = 0; i < 6; ++i) {
        fleet.runner(i).act = [&fleet, i](const HttpRequest &) {
            fleet.crashRunner(i);
            return RunnerAct::Silent;
        };
    }
    HttpRequest request = fleet.request("/again/silent-end");
    request.set("Deadline-Ms", "1900");
    EXPECT_NE(fleet.ask(0, request).status, 200U);
    EXPECT_LE(fleet.runner(0).receivedRequests.size() + fleet.runner(1).receivedRequests.size() + fleet.runner(2).receivedRequests.size()
                  + fleet.runner(3).receivedRequests.size() + fleet.runner(4).receivedRequests.size() + fleet.runner(5).receivedRequests.size(),
              2U);
}

// Waves of ends under a request that many callers share, at runners that are slower than the timeout and answer each copy.
TEST(OverdueAnswers, SharedRequestIsNotHeldBackByEndsOfSlowRunners)
{
    GatewayFleet fleet({.runners = 8, .workTime = kAnswerTimeout + 50ms});
    ASSERT_TRUE(fleet.start());
    for (unsigned round = 0; round < 12; ++round) {
        ASSERT_TRUE(fleet.runUntilRunning(6));
        for (unsigned i = 0; i < 20; ++i) {
            fleet.send(i % 5, fleet.request("/again/status"));
        }
        fleet.runFor(8ms);
        fleet.crashRunner(round % 8);
        fleet.crashRunner((round + 3) % 8);
        fleet.runFor(250ms);
        EXPECT_EQ(fleet.counterSum("fulmarlink_requests_held_back"), 0U) << "round " << round;
    }
}

} // namespace fulmarlink::testing
