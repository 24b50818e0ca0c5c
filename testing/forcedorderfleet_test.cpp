// Orders of events that load makes likely, forced in a fleet of gateways by its fakes, without load.
//
// Guards against a fleet that refuses requests it could serve because of the order in which hosts learn of ends, answers and
// new addresses, and against one that lets a request through to one runner after the other before it has learned of their ends.

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>

#include "testing/harness/gatewayfleet.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;
using standins::RunnerAct;

constexpr std::chrono::milliseconds kLongestReadInterval{306}; ///< of the list of runners, with the fleet's bound on leaving runners
constexpr std::chrono::milliseconds kLongestRetryPause{275}; ///< after a failed read of the store
constexpr std::chrono::milliseconds kLongestDetection{350}; ///< from a runner's end until all hosts have its records, without load
constexpr std::size_t kMostCrashes = 3; ///< runners that one request may crash, not counting copies that were in progress at the same time

void restartAllRunners(GatewayFleet &fleet, unsigned runners)
{
    for (unsigned i = 0; i < runners; ++i) {
        fleet.crashRunner(i);
    }
}

/** Sends a new request to each gateway every 20 ms for @p time; returns by gateway when the last one was sent that got no proper answer. */
std::vector<std::chrono::milliseconds> lastRefusals(GatewayFleet &fleet, unsigned gateways, std::chrono::milliseconds time)
{
    struct Sent {
        unsigned gateway;
        std::chrono::milliseconds at;
        std::shared_ptr<Answer> answer;
    };
    std::vector<Sent> sent;
    const auto began = GatewayFleet::Time::clock::now();
    const auto elapsed = [began] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(GatewayFleet::Time::clock::now() - began);
    };
    while (elapsed() < time) {
        for (unsigned gateway = 0; gateway < gateways; ++gateway) {
            const auto sentAt = elapsed();
            sent.push_back({gateway, sentAt, fleet.send(gateway, fleet.request("/again/probe", "body " + std::to_string(sent.size())))});
        }
        fleet.runFor(20ms);
    }
    fleet.runFor(150ms);
    std::vector<std::chrono::milliseconds> result(gateways);
    for (const Sent &each : sent) {
        if (each.answer->status != 200) {
            result[each.gateway] = each.at;
        }
    }
    return result;
}

/** Whether the request is refused at the gateway, as opposed to sent to a runner. */
bool refusedAtOnce(GatewayFleet &fleet, unsigned gateway, const std::string &path)
{
    const auto answer = fleet.send(gateway, fleet.request(path));
    fleet.runFor(40ms);
    return answer->status == 503 || answer->status == 429;
}

} // namespace

// A silent link: what was sent meanwhile arrives at the return.
TEST(ForcedOrderStore, HostsKnowNewAddressesOneReadAfterASilentLinkReturns)
{
    constexpr unsigned kGateways = 5;
    GatewayFleet fleet({.gateways = kGateways, .runners = 8, .restartDelay = 100ms});
    ASSERT_TRUE(fleet.start());
    for (const auto &proxy : fleet.storeProxies) {
        proxy->setMode(ProxyMode::Silent);
    }
    restartAllRunners(fleet, 8);
    fleet.runFor(1300ms);
    for (const auto &proxy : fleet.storeProxies) {
        proxy->setMode(ProxyMode::Pass);
    }
    for (const auto refusedFor : lastRefusals(fleet, kGateways, 1100ms)) {
        EXPECT_LE(refusedFor, kLongestReadInterval + kLongestRetryPause);
    }
}

// A store that has lost the calls that it got while it was silent.
TEST(ForcedOrderStore, HostsKnowNewAddressesOneReadAfterAStoreThatLostCallsReturns)
{
    constexpr unsigned kGateways = 5;
    GatewayFleet fleet({.gateways = kGateways, .runners = 8, .restartDelay = 100ms});
    ASSERT_TRUE(fleet.start());
    fleet.store.faults.silent = true;
    restartAllRunners(fleet, 8);
    fleet.runFor(1300ms); // the second call of each host is in progress
    fleet.store.faults.silent = false;
    for (const auto refusedFor : lastRefusals(fleet, kGateways, 1100ms)) {
        EXPECT_LE(refusedFor, kLongestReadInterval + kLongestRetryPause);
    }
}

// A store that answers each call 50 ms after the call's timeout. The bound: the answer, one read interval and one retry pause.
TEST(ForcedOrderStore, HostLearnsNewAddressesFromAStoreThatAnswersLate)
{
    constexpr auto kStoreDelay = 750ms;
    GatewayFleet fleet({.gateways = 1, .runners = 2, .restartDelay = 50ms});
    ASSERT_TRUE(fleet.start());
    fleet.store.faults.delay = kStoreDelay;
    restartAllRunners(fleet, 2);
    fleet.runFor(kStoreDelay + kLongestReadInterval + kLongestRetryPause);
    EXPECT_EQ(fleet.ask(0, fleet.request("/again/probe")).status, 200U);
}

TEST(ForcedOrderFleet, SharedRequestIsNotHeldBackWhileItsCopiesAreInProgressAtRunnersThatLive)
{
    constexpr unsigned kGateways = 5;
    GatewayFleet fleet({.gateways = kGateways, .runners = 8, .restartDelay = 5000ms, .workTime = 900ms});
    ASSERT_TRUE(fleet.start());
    std::vector<std::shared_ptr<Answer>> answers;
    for (unsigned copy = 0; copy < 28; ++copy) {
        answers.push_back(fleet.send(copy % kGateways, fleet.request("/once/status")));
    }
    fleet.runFor(60ms);
    ASSERT_EQ(fleet.arrivalCount("/once/status"), 28U);
    for (unsigned i = 0; i < 8; ++i) {
        ASSERT_FALSE(fleet.requestsAt(i).empty());
    }
    for (unsigned pair = 0; pair < 2; ++pair) {
        fleet.crashRunner(2 * pair);
        fleet.crashRunner(2 * pair + 1);
        fleet.runFor(kLongestDetection);
        for (unsigned gateway = 0; gateway < kGateways; gateway += 4) {
            EXPECT_FALSE(refusedAtOnce(fleet, gateway, "/once/status")) << "gateway " << gateway << " after " << 2 * (pair + 1) << " ends";
        }
    }
    fleet.runFor(200ms);
    EXPECT_GT(std::ranges::count(answers,
                                 200U,
                                 [](const auto &answer) {
                                     return answer->status;
                                 }),
              0);
    for (unsigned gateway = 0; gateway < kGateways; gateway += 4) {
        EXPECT_FALSE(refusedAtOnce(fleet, gateway, "/once/status")) << "gateway " << gateway << " after copies have been answered";
    }
}

TEST(ForcedOrderFleet, CompletionAtOneHostReleasesTheRequestAtAnother)
{
    GatewayFleet fleet({.gateways = 2, .runners = 4, .restartDelay = 5000ms, .workTime = 400ms});
    ASSERT_TRUE(fleet.start());
    ASSERT_EQ(fleet.ask(0, fleet.request("/once/status")).status, 200U);
    std::vector<std::size_t> before;
    for (unsigned i = 0; i < 4; ++i) {
        before.push_back(fleet.requestsAt(i).size());
    }
    fleet.send(1, fleet.request("/once/status"));
    fleet.send(1, fleet.request("/once/status"));
    fleet.runFor(60ms);
    unsigned ended = 0;
    for (unsigned i = 0; i < 4; ++i) {
        if (fleet.requestsAt(i).size() > before[i]) {
            fleet.crashRunner(i);
            ++ended;
        }
    }
    ASSERT_EQ(ended, 2U);
    fleet.runFor(kLongestDetection);
    EXPECT_EQ(fleet.counterSum("fulmarlink_runners_ended_total"), 2U);
    EXPECT_FALSE(refusedAtOnce(fleet, 1, "/once/status"));
    EXPECT_FALSE(refusedAtOnce(fleet, 0, "/once/status"));
}

class CrashingPath : public ::testing::TestWithParam<const char *>
{
};

TEST_P(CrashingPath, TwoRepeatsAtOnceReachThreeRunnersInAll)
{
    GatewayFleet fleet({.runners = 8, .restartDelay = 5000ms});
    ASSERT_TRUE(fleet.start());
    const std::string path = GetParam();
    fleet.ask(0, fleet.request(path));
    fleet.runFor(kLongestDetection);
    ASSERT_EQ(fleet.crashCount(path), 1U);
    fleet.send(1, fleet.request(path)); // both at one host, which sends them to different runners
    fleet.send(1, fleet.request(path));
    fleet.runFor(kLongestDetection);
    for (unsigned repeat = 0; repeat < 5; ++repeat) {
        fleet.ask(repeat, fleet.request(path));
    }
    EXPECT_EQ(fleet.crashCount(path), kMostCrashes);
}

// A caller that waits for nothing: its next repeat follows the answer to the last one, at the next host.
TEST_P(CrashingPath, RepeatsWithoutPauseReachThreeRunnersAtMost)
{
    GatewayFleet fleet({.runners = 8, .restartDelay = 5000ms});
    ASSERT_TRUE(fleet.start());
    const std::string path = GetParam();
    for (unsigned repeat = 0; repeat < 10 && fleet.runningRunners() > 0; ++repeat) {
        fleet.ask(repeat % 5, fleet.request(path));
    }
    EXPECT_LE(fleet.crashCount(path), kMostCrashes);
}

// The same at one host, which has seen each of the connections break off.
TEST_P(CrashingPath, RepeatsWithoutPauseAtOneHostReachThreeRunnersAtMost)
{
    GatewayFleet fleet({.gateways = 1, .runners = 8, .restartDelay = 5000ms});
    ASSERT_TRUE(fleet.start());
    const std::string path = GetParam();
    for (unsigned repeat = 0; repeat < 10 && fleet.runningRunners() > 0; ++repeat) {
        fleet.ask(0, fleet.request(path));
    }
    EXPECT_LE(fleet.crashCount(path), kMostCrashes);
}

INSTANTIATE_TEST_SUITE_P(ForcedOrder, CrashingPath, ::testing::Values("/once/crash", "/again/crash", "/stream/crash"));

TEST(ForcedOrderFleet, SilentRunnersThatLiveAreNoEnds)
{
    constexpr unsigned kRunners = 4;
    GatewayFleet fleet({.gateways = 2, .runners = kRunners, .workTime = 0ms});
    ASSERT_TRUE(fleet.start());
    std::vector<std::function<RunnerAct(const HttpRequest &)>> acts;
    std::size_t silentAttempts = 0;
    for (unsigned i = 0; i < kRunners; ++i) {
        acts.push_back(fleet.runner(i).act);
        fleet.runner(i).act = [&silentAttempts](const HttpRequest &) {
            ++silentAttempts;
            return RunnerAct::Silent;
        };
    }
    HttpRequest request = fleet.request("/again/slow");
    request.set("Deadline-Ms", "1500");
    EXPECT_EQ(fleet.ask(0, request).status, 504U) << "the third attempt is silent until the deadline";
    EXPECT_GE(silentAttempts, 3U);
    for (unsigned i = 0; i < kRunners; ++i) {
        fleet.runner(i).act = acts[i];
    }
    EXPECT_EQ(fleet.counterSum("fulmarlink_runners_ended_total"), 0U);
    EXPECT_TRUE(fleet.store.names("fulmarlink-crashes").empty());
    EXPECT_EQ(fleet.counterSum("fulmarlink_requests_held_back"), 0U);
    EXPECT_EQ(fleet.ask(0, fleet.request("/again/slow")).status, 200U);
    EXPECT_EQ(fleet.ask(1, fleet.request("/again/slow")).status, 200U);
}

// Two runners are silent to the request and accept new connections; the route allows a third attempt and the time suffices for it.
TEST(ForcedOrderFleet, SilentRunnersThatLiveLeaveTheRequestItsThirdAttempt)
{
    constexpr unsigned kRunners = 4;
    GatewayFleet fleet({.gateways = 1, .runners = kRunners});
    ASSERT_TRUE(fleet.start());
    unsigned attempts = 0;
    for (unsigned i = 0; i < kRunners; ++i) {
        fleet.runner(i).act = [&attempts](const HttpRequest &) {
            return ++attempts <= 2 ? RunnerAct::Silent : RunnerAct::Answer;
        };
    }
    EXPECT_EQ(fleet.ask(0, fleet.request("/again/slow")).status, 200U);
    EXPECT_EQ(attempts, 3U);
}

} // namespace fulmarlink::testing
