// What runners say of the requests that they want, without sockets: backoffs that overlap, answers that overtake each other, slow start.

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>

#include "fulmarlink/returnqueue.h"
#include "fulmarlink/runnersignals.h"
#include "testing/harness/mutation_on.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

const TargetLife kRunner{"i-1", 1};
constexpr TimePoint kStart{1000s};
constexpr unsigned kSlots = 8;

RunnerSignals backingOff(Duration asked)
{
    RunnerSignals signals;
    signals.backOff(kRunner, asked, 0s, "attempt-1", kStart);
    return signals;
}

} // namespace

TEST(RunnerSignals, ARunnerThatBacksOffGetsNothingUntilItsTimeHasPassed)
{
    const RunnerSignals signals = backingOff(3s);
    EXPECT_EQ(signals.obstacle(kRunner, 0, kStart), RunnerObstacle::BackingOff);
    EXPECT_EQ(signals.obstacle(kRunner, 0, kStart + 3s - 1us), RunnerObstacle::BackingOff);
    EXPECT_EQ(signals.obstacle(kRunner, 0, kStart + 3s), RunnerObstacle::None);
    EXPECT_EQ(signals.nextRoom(kRunner, kStart), kStart + 3s);
    EXPECT_EQ(signals.obstacle({"i-2", 1}, 9, kStart), RunnerObstacle::None);
    EXPECT_EQ(signals.obstacle({"i-1", 2}, 9, kStart), RunnerObstacle::None) << "another life";
}

// Guards against a late answer that names less time and lets requests go to a runner that still wants none.
TEST(RunnerSignals, ALaterShorterBackoffDoesNotShortenAnEarlierOne)
{
    RunnerSignals signals = backingOff(3s);
    EXPECT_FALSE(signals.backOff(kRunner, 1s, 0s, "attempt-2", kStart + 500ms));
    EXPECT_EQ(signals.obstacle(kRunner, 0, kStart + 2s), RunnerObstacle::BackingOff);
    EXPECT_TRUE(signals.backOff(kRunner, 4s, 0s, "attempt-3", kStart + 1s));
    EXPECT_EQ(signals.obstacle(kRunner, 0, kStart + 4s), RunnerObstacle::BackingOff);
    EXPECT_EQ(signals.backoff(kRunner)->refused, 3U);
    EXPECT_EQ(signals.backoff(kRunner)->source, "attempt-3");
}

// Guards against an answer that was under way when the runner asked, and is taken for its consent.
TEST(RunnerSignals, AnAnswerToARequestThatWasSentBeforeItsEndDoesNotEndIt)
{
    RunnerSignals signals = backingOff(3s);
    signals.accepted(kRunner, kStart - 1s, kSlots);
    signals.accepted(kRunner, kStart + 1s, kSlots);
    EXPECT_EQ(signals.obstacle(kRunner, 0, kStart + 2s), RunnerObstacle::BackingOff);
    EXPECT_EQ(signals.obstacle(kRunner, 1, kStart + 3s), RunnerObstacle::SlowStart);
}

TEST(RunnerSignals, SlowStartDoublesWithEachRequestThatIsTaken)
{
    RunnerSignals signals = backingOff(3s);
    const TimePoint end = kStart + 3s;
    for (unsigned window = 1; window <= kSlots; window *= 2) {
        EXPECT_EQ(signals.obstacle(kRunner, window - 1, end), RunnerObstacle::None) << window;
        EXPECT_EQ(signals.obstacle(kRunner, window, end), RunnerObstacle::SlowStart) << window;
        signals.accepted(kRunner, end, kSlots);
    }
    EXPECT_EQ(signals.obstacle(kRunner, 100, end), RunnerObstacle::None);
}

// Guards against slow start that goes on where it had stopped when the runner asks to back off again.
TEST(RunnerSignals, ABackoffInSlowStartBeginsItAnew)
{
    RunnerSignals signals = backingOff(1s);
    signals.accepted(kRunner, kStart + 1s, kSlots);
    signals.accepted(kRunner, kStart + 1s, kSlots);
    EXPECT_TRUE(signals.backOff(kRunner, 1s, 0s, "attempt-2", kStart + 1s));
    EXPECT_EQ(signals.obstacle(kRunner, 1, kStart + 2s), RunnerObstacle::SlowStart);
}

TEST(RunnerSignals, TheLaterOfBackoffAndLimitCounts)
{
    RunnerSignals signals = backingOff(3s);
    Random random(1);
    signals.pacer.setHosts({"entry-0"}, "entry-0", kStart, random);
    signals.pacer.setLimit(kRunner, 0.2, kStart, random);
    const TimePoint free = *signals.nextRoom(kRunner, kStart);
    EXPECT_GE(free, kStart + 3s);
    EXPECT_EQ(signals.take(kRunner, 0, free + 5s), RunnerObstacle::None);
    EXPECT_EQ(signals.take(kRunner, 0, free + 5s), RunnerObstacle::Limited);
}

// Guards against a runner that leaves and is brought back by its backoff's end, or by being forgotten with it.
TEST(RunnerSignals, ARunnerThatIsLeavingGetsNothingInThisLife)
{
    RunnerSignals signals = backingOff(1s);
    EXPECT_TRUE(signals.leaving(kRunner));
    EXPECT_FALSE(signals.leaving(kRunner)) << "known";
    signals.takeEnded(kStart + 5s);
    EXPECT_EQ(signals.obstacle(kRunner, 0, kStart + 5s), RunnerObstacle::Leaving);
    EXPECT_FALSE(signals.nextRoom(kRunner, kStart + 5s));
    EXPECT_EQ(signals.obstacle({"i-1", 2}, 0, kStart + 5s), RunnerObstacle::None);
}

TEST(RunnerSignals, TheEndOfABackoffIsToldOnceAndWhatIsOverIsForgotten)
{
    RunnerSignals signals = backingOff(1s);
    EXPECT_TRUE(signals.takeEnded(kStart).empty());
    EXPECT_EQ(signals.backingOff(kStart), 1U);
    EXPECT_EQ(signals.takeEnded(kStart + 1s).size(), 1U);
    EXPECT_TRUE(signals.takeEnded(kStart + 2s).empty());
    EXPECT_EQ(signals.obstacle(kRunner, 1, kStart + 2s), RunnerObstacle::SlowStart) << "its slow start goes on";
    for (unsigned taken = 0; taken < 5; ++taken) {
        signals.accepted(kRunner, kStart + 2s, kSlots);
    }
    signals.takeEnded(kStart + 3s);
    EXPECT_TRUE(signals.lives().empty());
}

TEST(RunnerSignals, NoMoreLivesAreKeptThanAFleetMayHave)
{
    RunnerSignals signals;
    for (std::size_t i = 0; i < RunnerSignals::kMaxLives + 10; ++i) {
        signals.backOff({"i-" + std::to_string(i), 1}, 1s, 0s, "a", kStart);
    }
    EXPECT_EQ(signals.lives().size(), RunnerSignals::kMaxLives);
}

namespace
{

/** Refused arrivals at one runner in the 2 s after all of many hosts' backoffs, each host with requests waiting. */
unsigned refusedAfterBackoff(unsigned hosts, Duration service)
{
    constexpr Duration kStep = 1ms;
    Random random(hosts);
    std::vector<RunnerSignals> signals(hosts);
    std::vector<unsigned> open(hosts, 0);
    const double hostsPerSlot = static_cast<double>(hosts) / kSlots;
    const auto spread = static_cast<Duration::rep>(std::max(0.0, hostsPerSlot - 1) * static_cast<double>(service.count()));
    for (RunnerSignals &host : signals) {
        host.backOff(kRunner, 1s, Duration(std::uniform_int_distribution<Duration::rep>(0, spread)(random)), "a", kStart);
    }
    struct Running {
        TimePoint end;
        unsigned host;
    };
    std::deque<Running> running;
    unsigned refused = 0;
    const double perStep = 2.0 * kSlots / static_cast<double>(service.count()) * kStep.count(); // twice what the runner can do
    double due = 0;
    for (TimePoint now = kStart + 1s; now < kStart + 3s; now += kStep) {
        while (!running.empty() && running.front().end <= now) {
            --open[running.front().host];
            running.pop_front();
        }
        for (due += perStep; due >= 1; due -= 1) {
            const auto host = static_cast<unsigned>(random() % hosts);
            if (signals[host].take(kRunner, open[host], now) != RunnerObstacle::None) {
                continue;
            }
            if (running.size() >= kSlots * 2) { // as many wait as run
                ++refused;
                signals[host].backOff(kRunner, 1s, 0s, "b", now);
                continue;
            }
            signals[host].accepted(kRunner, now, kSlots);
            ++open[host];
            running.push_back({now + service, host});
        }
    }
    return refused;
}

} // namespace

// Pattern: every host was turned away at the same moment and has requests for the runner when its time has passed.
TEST(RunnerSignals, HostsThatComeBackTogetherAreMostlyTaken)
{
    for (const unsigned hosts : {1U, 5U, 16U, 100U, 370U}) {
        for (const Duration service : {Duration(30ms), Duration(800ms)}) {
            const double asked = 2.0 * kSlots * (2.0 / std::chrono::duration<double>(service).count());
            EXPECT_LE(refusedAfterBackoff(hosts, service), std::max(4.0, 0.5 * asked)) << hosts << " hosts, " << service.count() << " us";
        }
    }
}

TEST(RunnerSignalsMutation, BrokenVariantsAreCaught)
{
    {
        const ScopedMutation scoped(Mutation::ShortenBackoff);
        RunnerSignals signals = backingOff(3s);
        signals.backOff(kRunner, 1s, 0s, "attempt-2", kStart);
        EXPECT_EQ(signals.obstacle(kRunner, 0, kStart + 2s), RunnerObstacle::None);
    }
    {
        const ScopedMutation scoped(Mutation::EndBackoffByOldAnswer);
        RunnerSignals signals = backingOff(3s);
        signals.accepted(kRunner, kStart - 1s, kSlots);
        EXPECT_EQ(signals.obstacle(kRunner, 0, kStart + 2s), RunnerObstacle::None);
    }
    {
        const ScopedMutation scoped(Mutation::SkipSlowStart);
        EXPECT_EQ(backingOff(3s).obstacle(kRunner, 9, kStart + 3s), RunnerObstacle::None);
    }
    {
        const ScopedMutation scoped(Mutation::IgnoreBackoff);
        EXPECT_EQ(backingOff(3s).obstacle(kRunner, 0, kStart), RunnerObstacle::None);
    }
}

} // namespace fulmarlink::testing
