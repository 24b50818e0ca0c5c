// Runners that refuse requests with 503 and Retry-After.
//
// Guards against a host that keeps sending to a runner during its Retry-After: one that had sent
// Retry-After: 3 got 17 requests from the same host in that time, and three of five callers were
// refused while eleven other ranks had capacity. Each refused request went on to the next runner, but
// the refusal was known only to that request and not kept with the runner, so the next request chose
// the runner that had just refused, since it looked the least loaded. A single host is enough to reproduce this, without a retry, a new configuration or
// a new list of runners. The tests measure the requests each runner got from each host, and the
// callers refused.

#include <algorithm>
#include <gtest/gtest.h>

#include "testing/harness/fleetload.h"
#include "testing/harness/gatewayfleet.h"
#include "testing/harness/mutation_on.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr auto kInTransit = 500ms; ///< allowance for requests in transit when the runner refused

/** Number of requests that reached the runner from a gateway that it had told to back off. */
std::size_t unwantedRequests(const std::vector<FleetArrival> &requests)
{
    return static_cast<std::size_t>(std::ranges::count_if(requests, [&](const FleetArrival &request) {
        return std::ranges::any_of(requests, [&](const FleetArrival &refused) {
            return refused.gateway == request.gateway && request.at > refused.at + kInTransit && request.at < refused.backoffUntil;
        });
    }));
}

std::size_t refusals(const std::vector<FleetArrival> &requests)
{
    return static_cast<std::size_t>(std::ranges::count_if(requests, [](const FleetArrival &request) {
        return request.backoffUntil != FleetArrival().backoffUntil;
    }));
}

struct Case {
    const char *name;
    unsigned gateways;
    unsigned runners;
    unsigned refusing; ///< number of runners that refuse requests
    double share; ///< fraction of their requests that they refuse
    const char *retryAfter;
    double demand; ///< requests per second
    const char *path;
    bool group;
};

void PrintTo(const Case &value, std::ostream *out) // NOLINT(readability-identifier-naming): found by GoogleTest
{
    *out << value.name;
}

std::string caseName(const ::testing::TestParamInfo<Case> &info)
{
    return info.param.name;
}

class RunnerBackoff : public ::testing::TestWithParam<Case>
{
};

} // namespace

// Guards against sending to a runner whose Retry-After for this host has not expired.
TEST_P(RunnerBackoff, NoRequestsAreSentBeforeRetryAfterExpires)
{
    const Case &value = GetParam();
    GatewayFleet fleet({.gateways = value.gateways, .runners = value.runners, .group = value.group});
    ASSERT_TRUE(fleet.start());
    FleetLoad load(fleet, value.gateways, value.demand);
    load.run(500ms, value.path);
    for (unsigned i = 0; i < value.refusing; ++i) {
        fleet.setRefusals(i, value.share, value.retryAfter);
    }
    load.run(5000ms, value.path);
    fleet.runFor(300ms);
    for (unsigned i = 0; i < value.refusing; ++i) {
        EXPECT_GE(refusals(fleet.requestsAt(i)), 1U);
        EXPECT_EQ(unwantedRequests(fleet.requestsAt(i)), 0U) << "of " << fleet.requestsAt(i).size() << " at runner " << i;
    }
    EXPECT_EQ(load.answered(503) + load.answered(429), 0U) << "the other runners had capacity";
}

INSTANTIATE_TEST_SUITE_P(Fleet,
                         RunnerBackoff,
                         ::testing::Values(Case{"OneHost", 1, 3, 1, 1, "3", 30, "/once/x", false},
                                           Case{"OneHostFractionsOfASecond", 1, 3, 1, 1, "0.8", 30, "/again/x", false},
                                           Case{"FiveHostsMostIsTurnedAway", 5, 6, 2, 0.9, "2", 60, "/again/x", false},
                                           Case{"FiveHostsFiveOfSixteenRanks", 5, 16, 5, 1, "3", 60, "/stream/x", true},
                                           Case{"SixteenHostsHalfIsTurnedAway", 16, 6, 2, 0.5, "2.5", 120, "/once/x", false}),
                         caseName);

// Guards against second sends and resumed streams that ignore the backoff.
TEST(RunnersBackoff, AppliesToSecondSendsAndResumedStreams)
{
    GatewayFleet fleet({.gateways = 2, .runners = 4});
    ASSERT_TRUE(fleet.start());
    fleet.setRefusals(0, 1, "3");
    fleet.setRefusals(1, 1, "3");
    FleetLoad load(fleet, 2, 40);
    load.run(2500ms, "/stream/cut");
    load.run(2500ms, "/again/reset");
    fleet.runFor(300ms);
    EXPECT_EQ(unwantedRequests(fleet.requestsAt(0)), 0U);
    EXPECT_EQ(unwantedRequests(fleet.requestsAt(1)), 0U);
}

// Guards against a Retry-After to callers that expires, or requests sent to runners, before the first runner's Retry-After does.
// A backoff is kept in memory: a host that is killed and starts again within it sends to the runner as if it had not asked.
TEST(RunnersBackoff, RestartedHostSendsNothingToARunnerThatAskedItToBackOff)
{
    constexpr unsigned kRunners = 3;
    GatewayFleet fleet({.gateways = 1, .runners = kRunners});
    ASSERT_TRUE(fleet.start());
    for (unsigned i = 0; i < kRunners; ++i) {
        fleet.setRefusals(i, 1, "3");
    }
    ASSERT_EQ(fleet.ask(0, fleet.request("/once/x")).status, 503U);
    for (unsigned i = 0; i < kRunners; ++i) {
        fleet.setRefusals(i, 0, "");
    }
    fleet.killGateway(0);
    fleet.runFor(1000ms);
    ASSERT_TRUE(fleet.start());
    for (unsigned i = 0; i < 10; ++i) {
        fleet.ask(0, fleet.request("/once/x"));
    }
    for (unsigned i = 0; i < kRunners; ++i) {
        EXPECT_EQ(unwantedRequests(fleet.requestsAt(i)), 0U);
    }
}

// Guards against a record that keeps a host off a runner after the backoff has expired, or off its next incarnation.
TEST(RunnersBackoff, RestartedHostUsesARunnerWhoseBackoffHasExpired)
{
    GatewayFleet fleet({.gateways = 1, .runners = 1});
    ASSERT_TRUE(fleet.start());
    fleet.setRefusals(0, 1, "1");
    ASSERT_EQ(fleet.ask(0, fleet.request("/once/x")).status, 503U);
    fleet.setRefusals(0, 0, "");
    fleet.killGateway(0);
    fleet.runFor(1100ms);
    ASSERT_TRUE(fleet.start());
    EXPECT_EQ(fleet.ask(0, fleet.request("/once/x")).status, 200U);
}

// Guards against a host that starts while the store is away, knows nothing of its backoffs and accepts requests.
TEST(RunnersBackoff, RestartedHostAcceptsNothingBeforeItHasReadItsBackoffs)
{
    GatewayFleet fleet({.gateways = 1, .runners = 1});
    ASSERT_TRUE(fleet.start());
    fleet.setRefusals(0, 1, "5");
    ASSERT_EQ(fleet.ask(0, fleet.request("/once/x")).status, 503U);
    fleet.setRefusals(0, 0, "");
    fleet.killGateway(0);
    fleet.store.faults.refusalStatus = 503;
    fleet.startGateway(0);
    fleet.runFor(500ms);
    EXPECT_FALSE(fleet.ready(0));
    fleet.store.faults = {};
    ASSERT_TRUE(fleet.runUntil(
        [&fleet] {
            return fleet.ready(0);
        },
        3000ms));
    EXPECT_EQ(fleet.ask(0, fleet.request("/once/x")).status, 503U);
    EXPECT_EQ(unwantedRequests(fleet.requestsAt(0)), 0U);
}

// Guards against refusals that wait for a store that takes no records.
TEST(RunnersBackoff, RefusalDoesNotWaitForAStoreThatFails)
{
    GatewayFleet fleet({.gateways = 1, .runners = 1});
    ASSERT_TRUE(fleet.start());
    fleet.store.faults.refusalStatus = 503;
    fleet.setRefusals(0, 1, "0.3");
    ASSERT_EQ(fleet.ask(0, fleet.request("/once/x")).status, 503U);
    auto shortest = std::chrono::steady_clock::duration::max(); // of several, so that a busy machine delays one of them at most
    for (unsigned i = 0; i < 4; ++i) {
        fleet.runFor(400ms); // the write has failed, and the runner may be asked again
        const auto began = std::chrono::steady_clock::now();
        ASSERT_EQ(fleet.ask(0, fleet.request("/once/x")).status, 503U);
        shortest = std::min(shortest, std::chrono::steady_clock::now() - began);
    }
    EXPECT_LT(shortest, 50ms);
    EXPECT_EQ(refusals(fleet.requestsAt(0)), 5U) << "each was refused by the runner, and not at admission";
}

TEST(RunnersBackoff, CallersAreRefusedAtOnceWhileAllRunnersBackOff)
{
    constexpr unsigned kRunners = 3;
    GatewayFleet fleet({.gateways = 1, .runners = kRunners});
    ASSERT_TRUE(fleet.start());
    for (unsigned i = 0; i < kRunners; ++i) {
        fleet.setRefusals(i, 1, "2");
    }
    const auto began = std::chrono::steady_clock::now();
    ASSERT_EQ(fleet.ask(0, fleet.request("/once/x")).status, 503U);
    for (unsigned i = 0; i < kRunners; ++i) {
        fleet.setRefusals(i, 0, "");
    }
    unsigned refused = 0;
    for (auto asked = began; asked < began + 1800ms; asked = std::chrono::steady_clock::now()) {
        const Answer answer = fleet.ask(0, fleet.request("/once/x"));
        EXPECT_LT(std::chrono::steady_clock::now() - asked, 200ms);
        ASSERT_EQ(answer.status, 503U);
        const auto back = asked + std::chrono::duration<double>(std::stod(answer["Retry-After"]));
        EXPECT_GE(back, began + 1900ms) << "too early";
        ++refused;
        fleet.runFor(100ms);
    }
    EXPECT_GE(refused, 10U);
    for (unsigned i = 0; i < kRunners; ++i) {
        EXPECT_EQ(unwantedRequests(fleet.requestsAt(i)), 0U);
    }
    fleet.runFor(300ms);
    EXPECT_EQ(fleet.ask(0, fleet.request("/once/x")).status, 200U) << "the runners accept requests again";
}

namespace
{

std::size_t arrivedBetween(const std::vector<FleetArrival> &requests, GatewayFleet::Time from, GatewayFleet::Time to)
{
    return static_cast<std::size_t>(std::ranges::count_if(requests, [&](const FleetArrival &request) {
        return request.at >= from && request.at < to;
    }));
}

GatewayFleet::Time lastBackoffEnd(const std::vector<FleetArrival> &requests)
{
    GatewayFleet::Time last{};
    for (const FleetArrival &request : requests) {
        last = std::max(last, request.backoffUntil);
    }
    return last;
}

} // namespace

// Guards against a runner left unused after its backoff expires, and against all hosts resuming with a burst.
TEST(RunnersBackoff, CapacityIsUsedSoonAfterExpiryWithoutABurst)
{
    constexpr unsigned kHosts = 5;
    constexpr unsigned kRunners = 4;
    constexpr double kDemand = 100;
    GatewayFleet fleet({.gateways = kHosts, .runners = kRunners, .workTime = 20ms});
    ASSERT_TRUE(fleet.start());
    FleetLoad load(fleet, kHosts, kDemand);
    load.run(1000ms, "/again/x");
    fleet.setRefusals(0, 1, "1.5");
    load.run(800ms, "/again/x");
    fleet.setRefusals(0, 0, "");
    load.run(3500ms, "/again/x");
    const auto &requests = fleet.requestsAt(0);
    const GatewayFleet::Time end = lastBackoffEnd(requests);
    EXPECT_EQ(unwantedRequests(requests), 0U);
    EXPECT_GE(arrivedBetween(requests, end, end + 250ms), 1U) << "unused";
    EXPECT_GE(static_cast<double>(arrivedBetween(requests, end, end + 1000ms)), 0.6 * kDemand / kRunners) << "most of its share";
    EXPECT_LE(static_cast<double>(arrivedBetween(requests, end, end + 200ms)), kHosts + 0.2 * kDemand) << "one per host, and its share of new requests";
    EXPECT_EQ(load.answered(503), 0U);
}

// Guards against a backoff that persists after the runner has restarted.
TEST(RunnersBackoff, AppliesToOneIncarnationOfTheRunner)
{
    GatewayFleet fleet({.gateways = 1, .runners = 2});
    ASSERT_TRUE(fleet.start());
    fleet.setRefusals(0, 1, "60");
    FleetLoad load(fleet, 1, 40);
    load.run(500ms, "/again/x");
    ASSERT_GE(refusals(fleet.requestsAt(0)), 1U);
    fleet.setRefusals(0, 0, "");
    fleet.crashRunner(0);
    ASSERT_TRUE(fleet.runUntilRunning(2));
    fleet.runFor(1000ms);
    const auto from = std::chrono::steady_clock::now();
    load.run(2000ms, "/again/x");
    EXPECT_GE(arrivedBetween(fleet.requestsAt(0), from, from + 2000ms), 20U) << "half of its share";
}

// Guards against a Retry-After that is not a number of seconds excluding the runner, or ending the backoff from another answer.
TEST(RunnersBackoff, IgnoresMalformedRetryAfter)
{
    GatewayFleet fleet({.gateways = 1, .runners = 2});
    ASSERT_TRUE(fleet.start());
    FleetLoad load(fleet, 1, 40);
    for (const std::string bad : {"soon", "-3", "nan", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        const std::size_t before = fleet.requestsAt(0).size();
        fleet.setRefusals(0, 0.5, bad);
        load.run(1000ms, "/again/x");
        EXPECT_GE(fleet.requestsAt(0).size() - before, 5U) << bad;
    }
    EXPECT_EQ(fleet.counterSum("fulmarlink_backoffs_total"), 0U);
    EXPECT_GE(fleet.counterSum("fulmarlink_malformed_backoffs_total"), 4U);
}

// Guards against treating Retry-After: 0 as a backoff, or not treating the answer as a refusal.
TEST(RunnersBackoff, OfZeroSecondsIsIgnored)
{
    GatewayFleet fleet({.gateways = 1, .runners = 2});
    ASSERT_TRUE(fleet.start());
    fleet.setRefusals(0, 0.5, "0");
    FleetLoad load(fleet, 1, 40);
    load.run(1000ms, "/again/x");
    EXPECT_GE(fleet.requestsAt(0).size(), 5U);
    EXPECT_EQ(fleet.counterSum("fulmarlink_backoffs_total"), 0U);
    EXPECT_EQ(load.answered(503), 0U);
}

// Guards against closing a group because some of its ranks asked a host to back off.
TEST(RunnersBackoff, OfSomeRanksDoesNotCloseTheirGroup)
{
    constexpr unsigned kRanks = 8;
    constexpr unsigned kHosts = 2;
    GatewayFleet fleet({.gateways = kHosts, .runners = kRanks, .group = true});
    ASSERT_TRUE(fleet.start());
    FleetLoad load(fleet, kHosts, 60);
    load.run(1000ms, "/stream/x");
    for (unsigned i = 0; i + 1 < kRanks; ++i) {
        fleet.setRefusals(i, 1, "1");
    }
    load.run(500ms, "/stream/x");
    const std::size_t refusedInitially = load.answered(503);
    EXPECT_LE(refusedInitially, kHosts) << "a request of each host may use all its sends on ranks that refuse it";
    load.run(4000ms, "/stream/x");
    EXPECT_EQ(load.answered(503), refusedInitially) << "one rank has capacity";
}

TEST(RunnerBackoffMutation, HostThatIgnoresBackoffsIsDetected)
{
    const ScopedMutation scoped(Mutation::IgnoreBackoff);
    GatewayFleet fleet({.gateways = 1, .runners = 2});
    ASSERT_TRUE(fleet.start());
    fleet.setRefusals(0, 1, "3");
    FleetLoad load(fleet, 1, 60);
    load.run(2500ms, "/again/x");
    EXPECT_GT(unwantedRequests(fleet.requestsAt(0)), 0U);
}

} // namespace fulmarlink::testing
