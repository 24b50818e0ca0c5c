// Limits that each host enforces on its own but that apply to the sum over all hosts: the connections
// open to a runner and the writes to the store. Enforcing a limit per host instead of over all hosts
// also sent runners more requests a second than the limit that they had reported.

#include <algorithm>
#include <gtest/gtest.h>

#include "testing/harness/gatewayfleet.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned kHosts = 16;

/** Sends @p requests requests at once, to the hosts in turn, and waits until all are answered. */
void sendBurst(GatewayFleet &fleet, unsigned requests)
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

TEST(SumOverHosts, IdleConnectionsToARunnerStayWithinItsLimitOverAllHosts)
{
    constexpr unsigned kMaxConnections = 40;
    GatewayFleet fleet({.gateways = kHosts, .runners = 2, .maxConnections = kMaxConnections, .workTime = 100ms});
    ASSERT_TRUE(fleet.start());
    fleet.runFor(2000ms); // until the hosts have discovered each other
    for (unsigned round = 0; round < 3; ++round) {
        sendBurst(fleet, kHosts * 12);
    }
    fleet.runFor(500ms);
    for (unsigned i = 0; i < 2; ++i) {
        EXPECT_LE(fleet.runner(i).openConnections(), kMaxConnections);
        EXPECT_GE(fleet.runner(i).openConnections(), 8U) << "idle connections are kept for later requests";
    }
}

TEST(SumOverHosts, StoreWritesAreBoundedWhenRunnersChangeTheirLimitInEachAnswer)
{
    constexpr unsigned kRunners = 12;
    constexpr double kMaxWrites = 100; ///< a second; a quarter of the capacity of a small store
    GatewayFleet fleet({.gateways = kHosts, .runners = kRunners});
    ASSERT_TRUE(fleet.start());
    fleet.runFor(2000ms);
    const auto sendRound = [&fleet](unsigned round) {
        for (unsigned i = 0; i < kRunners; ++i) {
            fleet.runner(i).limit = std::to_string(900 - round % 400);
        }
        for (unsigned host = 0; host < kHosts; ++host) {
            fleet.send(host, fleet.request("/once/x"));
        }
        fleet.runFor(40ms);
    };
    unsigned round = 0;
    for (; round < 25; ++round) {
        sendRound(round);
    }
    const unsigned before = fleet.store.writes;
    const auto start = std::chrono::steady_clock::now();
    for (; round < 125; ++round) {
        sendRound(round);
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    EXPECT_LE((fleet.store.writes - before) / seconds, kMaxWrites);
    EXPECT_GE(fleet.counterSum("fulmarlink_limited_runners"), kHosts * kRunners) << "every host still knows the limited runners";
}

} // namespace fulmarlink::testing
