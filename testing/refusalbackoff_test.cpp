// Runners that refuse requests although they have free slots, and give no retry time. Load pattern: half of a pool's runners
// refuse nine of ten requests. They have nothing in progress, so least-loaded selection prefers them.

#include <array>
#include <gtest/gtest.h>

#include "fulmarlink/refusalbackoff.h"
#include "fulmarlink/targettable.h"
#include "testing/harness/mutation_on.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};
constexpr unsigned kRunners = 16;
constexpr unsigned kSlots = 12;

struct SimulationResult {
    unsigned sends = 0; ///< including retries
    unsigned refused = 0; ///< sends that were refused
    unsigned unserved = 0; ///< requests that were refused four times
};

std::string runnerId(unsigned runner)
{
    return "i-" + std::to_string(runner);
}

/** One host sends a request every 20 ms for 10 s; the first @p refusing runners refuse a share of @p share of their requests. */
SimulationResult simulate(unsigned refusing, double share)
{
    Random random(7);
    TargetTable table({});
    std::vector<TargetInfo> list;
    for (unsigned i = 0; i < kRunners; ++i) {
        list.push_back({.id = runnerId(i), .pool = "p", .address = {}, .zone = {}, .slots = kSlots});
    }
    table.setTargets(list, kStart);
    std::multimap<TimePoint, std::string> running;
    SimulationResult result;
    for (TimePoint now = kStart; now < kStart + 10s; now += 20ms) {
        while (!running.empty() && running.begin()->first <= now) {
            table.requestEnded(running.begin()->second);
            running.erase(running.begin());
        }
        std::set<std::string> tried;
        bool served = false;
        while (!served && tried.size() < 4) {
            const TargetInfo *target = table.pick("p", tried, now, random);
            ++result.sends;
            tried.insert(target->id);
            const bool refuses = std::stoul(target->id.substr(2)) < refusing && std::bernoulli_distribution(share)(random);
            if (refuses) {
                ++result.refused;
                table.requestRefused(target->id, TargetLoad{}, now);
                continue;
            }
            served = true;
            table.requestAccepted(target->id);
            table.requestSent(target->id);
            running.emplace(now + 800ms, target->id);
        }
        result.unserved += served ? 0 : 1;
    }
    return result;
}

} // namespace

TEST(RefusalBackoff, EachRefusalDoublesTheDelayAndEachAcceptedRequestHalvesTheNext)
{
    RefusalBackoff backoff;
    EXPECT_FALSE(backoff.hasRecentRefusals());
    backoff.recordRefusal(kStart);
    EXPECT_TRUE(backoff.isBackingOff(kStart + RefusalBackoff::kInitialDelay - 1us));
    EXPECT_FALSE(backoff.isBackingOff(kStart + RefusalBackoff::kInitialDelay));
    backoff.recordRefusal(kStart + 1s);
    EXPECT_TRUE(backoff.isBackingOff(kStart + 1s + RefusalBackoff::kInitialDelay * 2 - 1us));
    backoff.recordAccepted();
    backoff.recordAccepted();
    EXPECT_FALSE(backoff.hasRecentRefusals());
    for (unsigned i = 0; i < 100; ++i) {
        backoff.recordRefusal(kStart + 2s);
    }
    EXPECT_FALSE(backoff.isBackingOff(kStart + 2s + RefusalBackoff::kInitialDelay * 16)) << "the delay is capped";
}

// Guards against least-loaded selection that keeps sending to the runners that refuse, since they have no load.
TEST(RefusalBackoff, MostRequestsGoToTheRunnersThatAcceptThem)
{
    const SimulationResult half = simulate(kRunners / 2, 0.9);
    EXPECT_EQ(half.unserved, 0U);
    EXPECT_LE(half.refused, half.sends / 5);
    const SimulationResult few = simulate(2, 1);
    EXPECT_EQ(few.unserved, 0U);
    EXPECT_LE(few.refused, few.sends / 20);
}

// Guards against excluding runners that refuse only some of their requests.
TEST(RefusalBackoff, RunnersThatRefuseAThirdKeepMostOfTheirShare)
{
    const SimulationResult result = simulate(kRunners, 0.3);
    EXPECT_LE(result.unserved, 15U) << "expected: 0.3^4 * 500 = 4";
    EXPECT_LE(result.sends, 500 * 1.6) << "expected: 1 / 0.7 = 1.43 sends a request";
}

TEST(RefusalBackoff, RequestsAreStillSentWhenAllRunnersRefuseMostOfThem)
{
    const SimulationResult result = simulate(kRunners, 0.8);
    EXPECT_LE(result.unserved, 500 * 0.5) << "expected: 0.8^4 = 0.41 of the requests";
}

TEST(RefusalBackoff, ARefusalByARunnerWithoutFreeCapacityIsNotCounted)
{
    TargetTable table({});
    table.setTargets({{.id = "i-0", .pool = "p", .address = {}, .zone = {}, .slots = kSlots}}, kStart);
    EXPECT_FALSE(table.requestRefused("i-0", TargetLoad{kSlots, 0}, kStart));
    EXPECT_FALSE(table.requestRefused("i-0", TargetLoad{3, 1}, kStart)) << "its memory is full";
    EXPECT_FALSE(table.requestRefused("i-0", std::nullopt, kStart)) << "it reports no load";
    EXPECT_FALSE(table.requestRefused("i-1", TargetLoad{}, kStart)) << "it is not listed";
    EXPECT_TRUE(table.requestRefused("i-0", TargetLoad{3, 0}, kStart));
}

TEST(RefusalBackoffMutation, IgnoringRefusalsFailsTheRefusalBound)
{
    const ScopedMutation scoped(Mutation::ForgetRefusals);
    const SimulationResult half = simulate(kRunners / 2, 0.9);
    EXPECT_GT(half.refused, half.sends / 5);
}

} // namespace fulmarlink::testing
