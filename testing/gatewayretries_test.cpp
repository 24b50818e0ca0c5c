// Retries of several gateways over sockets, counted at the runners and in the gateways' metrics.

#include <gtest/gtest.h>

#include "testing/harness/gatewayfleet.h"

namespace fulmarlink::testing
{

namespace
{

std::size_t arrivals(const GatewayFleet &fleet, unsigned runners)
{
    std::size_t result = 0;
    for (unsigned i = 0; i < runners; ++i) {
        result += fleet.requestsAt(i).size();
    }
    return result;
}

} // namespace

// The first attempt of each request is reset.
TEST(GatewayRetries, GrantedAndDeniedRetriesAreCounted)
{
    constexpr unsigned kRunners = 4;
    constexpr unsigned kRequests = 30;
    GatewayFleet fleet({.gateways = 1, .runners = kRunners, .retryRatio = 0.2, .retrySlack = 5});
    ASSERT_TRUE(fleet.start());
    unsigned answered = 0;
    for (unsigned i = 0; i < kRequests; ++i) {
        answered += fleet.ask(0, fleet.request("/again/reset")).status == 200 ? 1 : 0;
    }
    const std::size_t granted = fleet.counterSum("fulmarlink_retries_granted_total{after=\"broken\"}");
    EXPECT_GT(granted, 0U);
    EXPECT_EQ(granted, answered);
    EXPECT_EQ(granted, arrivals(fleet, kRunners) - kRequests);
    EXPECT_EQ(fleet.counterSum("fulmarlink_retries_denied_total"), kRequests - granted);
}

// All gateways are killed several times within one window, while the first attempt of each request is reset.
TEST(GatewayRetries, SumOverHostsAndRestartsStaysWithinTheBudget)
{
    constexpr unsigned kGateways = 3;
    constexpr unsigned kRunners = 4;
    constexpr unsigned kLives = 4;
    constexpr unsigned kRequestsPerLife = 20;
    constexpr double kRatio = 0.2;
    constexpr double kSlack = 20;
    GatewayFleet fleet({.gateways = kGateways, .runners = kRunners, .retryRatio = kRatio, .retrySlack = kSlack});
    for (unsigned life = 0; life < kLives; ++life) {
        ASSERT_TRUE(fleet.start());
        for (unsigned i = 0; i < kGateways * kRequestsPerLife; ++i) {
            fleet.ask(i % kGateways, fleet.request("/again/reset"));
        }
        for (unsigned gateway = 0; gateway < kGateways; ++gateway) {
            fleet.killGateway(gateway);
        }
    }
    constexpr unsigned kRequests = kLives * kGateways * kRequestsPerLife;
    const std::size_t retries = arrivals(fleet, kRunners) - kRequests;
    EXPECT_LE(static_cast<double>(retries), kRatio * kRequests + kSlack);
    EXPECT_GT(retries, 0U);
}

} // namespace fulmarlink::testing
