// A customer's token limit over all entries: the tokens granted never exceed the limit and come close to it.

#include <gtest/gtest.h>
#include <iostream>

#include "testing/harness/customerlimitersimulation.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr TokenLimit kLimit = {10'000, 10'000};
constexpr std::uint64_t kCustomer = 77;
constexpr std::uint32_t kTokens = 100;

/** Requests @p factor times the limit for @p seconds, spread over the entries at random. */
void requestAtMultiple(CustomerLimiterSimulation &world, unsigned entries, double factor, unsigned seconds, Random &random)
{
    const auto perStep = static_cast<unsigned>(factor * static_cast<double>(kLimit.tokensPerSecond) / kTokens / 100);
    for (unsigned step = 0; step < seconds * 100; ++step) {
        for (unsigned i = 0; i < perStep; ++i) {
            world.request(static_cast<unsigned>(random() % entries), kCustomer, kTokens, kLimit);
        }
        world.run(10ms);
    }
}

double shareOfRate(double granted, double seconds)
{
    return granted / (static_cast<double>(kLimit.tokensPerSecond) * seconds);
}

} // namespace

TEST(CustomerLimiter, SustainedRateMatchesTheLimit)
{
    for (const unsigned entries : {3U, 40U}) {
        Random random(3);
        CustomerLimiterSimulation world(entries, 3);
        world.run(2s);
        requestAtMultiple(world, entries, 3, 1, random);
        const double first = world.granted(kCustomer);
        requestAtMultiple(world, entries, 3, 10, random);
        const double sustained = world.granted(kCustomer) - first;
        std::cout << entries << " entries at 3x the limit: first second " << shareOfRate(first, 1) << " of the rate (burst 1 allows 2), sustained "
                  << shareOfRate(sustained, 10) << ", messages " << world.messages() << '\n';
        EXPECT_LE(shareOfRate(first, 1), 2.1);
        EXPECT_LE(shareOfRate(sustained, 10), 1.05);
        EXPECT_GE(shareOfRate(sustained, 10), 0.90);
    }
}

TEST(CustomerLimiter, BelowTheLimitNothingIsRefused)
{
    Random random(4);
    CustomerLimiterSimulation world(10, 4);
    world.run(2s);
    requestAtMultiple(world, 10, 0.8, 5, random);
    EXPECT_EQ(world.refused(), 0U);
}

TEST(CustomerLimiter, LimitHoldsWhileEntriesDieAndJoin)
{
    Random random(5);
    CustomerLimiterSimulation world(20, 5);
    world.run(2s);
    requestAtMultiple(world, 20, 3, 2, random);
    const double before = world.granted(kCustomer);
    constexpr unsigned kSeconds = 20;
    for (unsigned second = 0; second < kSeconds; ++second) {
        const unsigned replaced = second % 20;
        world.kill(replaced, 500ms);
        requestAtMultiple(world, 20, 3, 1, random);
        world.join(replaced, 200ms);
    }
    const double sustained = shareOfRate(world.granted(kCustomer) - before, kSeconds);
    std::cout << "one of 20 entries dies and one joins each second: " << sustained << " of the rate\n";
    EXPECT_LE(sustained, 1.05);
    EXPECT_GE(sustained, 0.5);
}

TEST(CustomerLimiter, LimitHoldsWhileHomesAreUnreachable)
{
    Random random(6);
    CustomerLimiterSimulation world(10, 6);
    world.run(2s);
    requestAtMultiple(world, 10, 3, 2, random);
    world.setPartitioned(true);
    requestAtMultiple(world, 10, 3, 1, random); // uses up the burst that the fallback buckets hold
    const double before = world.granted(kCustomer);
    requestAtMultiple(world, 10, 3, 10, random);
    const double sustained = shareOfRate(world.granted(kCustomer) - before, 10);
    std::cout << "all entries cut off from each other: " << sustained << " of the rate\n";
    EXPECT_LE(sustained, 1.05);
    EXPECT_GE(sustained, 0.5);
}

} // namespace fulmarlink::testing
