// Runners that turn requests away although they have slots free, and name no time. Load pattern: half of a pool's runners turn away
// nine of ten requests; they have nothing in progress and look the least loaded.

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

struct Played {
    unsigned arrivals = 0;
    unsigned refused = 0; ///< of them
    unsigned unserved = 0; ///< requests that four sends could not place
};

std::string name(unsigned runner)
{
    return "i-" + std::to_string(runner);
}

/** One host sends a request each 20 ms for 10 s; the first @p refusing runners turn away @p share of theirs. */
Played play(unsigned refusing, double share)
{
    Random random(7);
    TargetTable table({});
    std::vector<TargetInfo> list;
    for (unsigned i = 0; i < kRunners; ++i) {
        list.push_back({.id = name(i), .pool = "p", .address = {}, .zone = {}, .slots = kSlots});
    }
    table.setTargets(list, kStart);
    std::multimap<TimePoint, std::string> running;
    Played result;
    for (TimePoint now = kStart; now < kStart + 10s; now += 20ms) {
        while (!running.empty() && running.begin()->first <= now) {
            table.ended(running.begin()->second);
            running.erase(running.begin());
        }
        std::set<std::string> tried;
        bool served = false;
        while (!served && tried.size() < 4) {
            const TargetInfo *target = table.pick("p", tried, now, random);
            ++result.arrivals;
            tried.insert(target->id);
            const bool refuses = std::stoul(target->id.substr(2)) < refusing && std::bernoulli_distribution(share)(random);
            if (refuses) {
                ++result.refused;
                table.refused(target->id, TargetLoad{}, now);
                continue;
            }
            served = true;
            table.took(target->id);
            table.sent(target->id);
            running.emplace(now + 800ms, target->id);
        }
        result.unserved += served ? 0 : 1;
    }
    return result;
}

} // namespace

TEST(RefusalBackoff, EachRefusalDoublesThePauseAndEachRequestTakenHalvesTheNext)
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
    EXPECT_FALSE(backoff.isBackingOff(kStart + 2s + RefusalBackoff::kInitialDelay * 16)) << "no longer than this";
}

// Guards against work that goes to the runners that refuse it, since they look the least loaded.
TEST(RefusalBackoff, MostRequestsGoToTheRunnersThatTakeThem)
{
    const Played half = play(kRunners / 2, 0.9);
    EXPECT_EQ(half.unserved, 0U);
    EXPECT_LE(half.refused, half.arrivals / 5);
    const Played few = play(2, 1);
    EXPECT_EQ(few.unserved, 0U);
    EXPECT_LE(few.refused, few.arrivals / 20);
}

// Guards against runners that are left out for refusing now and then.
TEST(RefusalBackoff, ARunnerThatTurnsAwayAThirdKeepsMostOfItsPart)
{
    const Played played = play(kRunners, 0.3);
    EXPECT_LE(played.unserved, 15U) << "0.3 to the fourth of 500 is 4";
    EXPECT_LE(played.arrivals, 500 * 1.6) << "1.43 sends each";
}

TEST(RefusalBackoff, WhereAllTurnMostAwayRequestsAreTriedAllTheSame)
{
    const Played played = play(kRunners, 0.8);
    EXPECT_LE(played.unserved, 500 * 0.5) << "0.41 by chance";
}

TEST(RefusalBackoff, ARunnerWhoseSlotsAreFullIsNotToBlame)
{
    TargetTable table({});
    table.setTargets({{.id = "i-0", .pool = "p", .address = {}, .zone = {}, .slots = kSlots}}, kStart);
    EXPECT_FALSE(table.refused("i-0", TargetLoad{kSlots, 0}, kStart));
    EXPECT_FALSE(table.refused("i-0", TargetLoad{3, 1}, kStart)) << "memory is full";
    EXPECT_FALSE(table.refused("i-0", std::nullopt, kStart)) << "it does not say";
    EXPECT_FALSE(table.refused("i-1", TargetLoad{}, kStart)) << "it is not listed";
    EXPECT_TRUE(table.refused("i-0", TargetLoad{3, 0}, kStart));
}

TEST(RefusalBackoffMutation, ATableThatForgetsRefusalsIsCaught)
{
    const ScopedMutation scoped(Mutation::ForgetRefusals);
    const Played half = play(kRunners / 2, 0.9);
    EXPECT_GT(half.refused, half.arrivals / 5);
}

} // namespace fulmarlink::testing
