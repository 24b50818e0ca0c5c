// Bounds that a receiver feels as the sum over all hosts, while each host holds them alone:
// connections that a runner takes, and writes that the store takes. The same cause as that of
// runners that got more requests a second than they had named.

#include <algorithm>
#include <gtest/gtest.h>

#include "testing/harness/gatewayfleet.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned kHosts = 16;

/** Sends @p requests at once, to each host in turn, and waits until all are answered. */
void crowd(GatewayFleet &fleet, unsigned requests)
{
    std::vector<std::shared_ptr<bool>> done;
    for (unsigned i = 0; i < requests; ++i) {
        done.push_back(std::make_shared<bool>(false));
        fleet.send(i % kHosts, fleet.request("/again/x"), done.back());
    }
    fleet.runUntil(
        [&done] {
            return std::ranges::all_of(done, [](const auto &each) {
                return *each;
            });
        },
        5s);
}

} // namespace

TEST(SumOverHosts, ConnectionsKeptToARunnerAreNoMoreThanItTakes)
{
    constexpr unsigned kMost = 40;
    GatewayFleet fleet({.gateways = kHosts, .runners = 2, .maxConnections = kMost, .work = 100ms});
    ASSERT_TRUE(fleet.start());
    fleet.run(2000ms); // until the hosts know of each other
    for (unsigned round = 0; round < 3; ++round) {
        crowd(fleet, kHosts * 12);
    }
    fleet.run(500ms);
    for (unsigned i = 0; i < 2; ++i) {
        EXPECT_LE(fleet.runner(i).openConnections(), kMost);
        EXPECT_GE(fleet.runner(i).openConnections(), 8U) << "some are kept for the next requests";
    }
}

TEST(SumOverHosts, RunnersThatNameAnotherLimitInEachAnswerCostTheStoreABoundedNumberOfWrites)
{
    constexpr unsigned kRunners = 12;
    constexpr double kMostWrites = 100; ///< a second; a quarter of what a small store takes
    GatewayFleet fleet({.gateways = kHosts, .runners = kRunners});
    ASSERT_TRUE(fleet.start());
    fleet.run(2000ms);
    const auto turn = [&fleet](unsigned round) {
        for (unsigned i = 0; i < kRunners; ++i) {
            fleet.runner(i).limit = std::to_string(900 - round % 400);
        }
        for (unsigned host = 0; host < kHosts; ++host) {
            fleet.send(host, fleet.request("/once/x"));
        }
        fleet.run(40ms);
    };
    unsigned round = 0;
    for (; round < 25; ++round) {
        turn(round);
    }
    const unsigned before = fleet.store.writes;
    const auto began = std::chrono::steady_clock::now();
    for (; round < 125; ++round) {
        turn(round);
    }
    const double passed = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    EXPECT_LE((fleet.store.writes - before) / passed, kMostWrites);
    EXPECT_GE(fleet.count("fulmarlink_limited_runners"), kHosts * kRunners) << "they are known all the same";
}

} // namespace fulmarlink::testing
