// What runners say of the requests that they want, without sockets: backoffs that overlap, answers that overtake each other, slow start.

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <vector>

#include "fulmarlink/returnqueue.h"
#include "fulmarlink/runnersignals.h"
#include "testing/harness/mutation_on.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

const TargetIncarnation kRunner{"i-1", 1};
constexpr TimePoint kStart{1000s};
constexpr unsigned kSlots = 8;

RunnerSignals backingOff(Duration asked)
{
    RunnerSignals signals;
    signals.recordBackoff(kRunner, asked, 0s, "attempt-1", kStart);
    return signals;
}

} // namespace

TEST(RunnerSignals, ARunnerThatBacksOffGetsNothingUntilItsTimeHasPassed)
{
    const RunnerSignals signals = backingOff(3s);
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart), RunnerExclusion::BackingOff);
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 3s - 1us), RunnerExclusion::BackingOff);
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 3s), RunnerExclusion::None);
    EXPECT_EQ(signals.nextSendTime(kRunner, kStart), kStart + 3s);
    EXPECT_EQ(signals.exclusion({"i-2", 1}, 9, kStart), RunnerExclusion::None);
    EXPECT_EQ(signals.exclusion({"i-1", 2}, 9, kStart), RunnerExclusion::None) << "another life";
}

// Guards against a late answer that names less time and lets requests go to a runner that still wants none.
TEST(RunnerSignals, ALaterShorterBackoffDoesNotShortenAnEarlierOne)
{
    RunnerSignals signals = backingOff(3s);
    EXPECT_FALSE(signals.recordBackoff(kRunner, 1s, 0s, "attempt-2", kStart + 500ms));
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 2s), RunnerExclusion::BackingOff);
    EXPECT_TRUE(signals.recordBackoff(kRunner, 4s, 0s, "attempt-3", kStart + 1s));
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 4s), RunnerExclusion::BackingOff);
    EXPECT_EQ(signals.activeBackoff(kRunner)->refusedAttempts, 3U);
    EXPECT_EQ(signals.activeBackoff(kRunner)->source, "attempt-3");
}

// Guards against an answer that was under way when the runner asked, and is taken for its consent.
TEST(RunnerSignals, AnAnswerToARequestThatWasSentBeforeItsEndDoesNotEndIt)
{
    RunnerSignals signals = backingOff(3s);
    signals.recordAccepted(kRunner, kStart - 1s, kSlots);
    signals.recordAccepted(kRunner, kStart + 1s, kSlots);
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 2s), RunnerExclusion::BackingOff);
    EXPECT_EQ(signals.exclusion(kRunner, 1, kStart + 3s), RunnerExclusion::SlowStart);
}

TEST(RunnerSignals, SlowStartDoublesWithEachRequestThatIsTaken)
{
    RunnerSignals signals = backingOff(3s);
    const TimePoint end = kStart + 3s;
    for (unsigned window = 1; window <= kSlots; window *= 2) {
        EXPECT_EQ(signals.exclusion(kRunner, window - 1, end), RunnerExclusion::None) << window;
        EXPECT_EQ(signals.exclusion(kRunner, window, end), RunnerExclusion::SlowStart) << window;
        signals.recordAccepted(kRunner, end, kSlots);
    }
    EXPECT_EQ(signals.exclusion(kRunner, 100, end), RunnerExclusion::None);
}

// Guards against slow start that goes on where it had stopped when the runner asks to back off again.
TEST(RunnerSignals, ABackoffInSlowStartBeginsItAnew)
{
    RunnerSignals signals = backingOff(1s);
    signals.recordAccepted(kRunner, kStart + 1s, kSlots);
    signals.recordAccepted(kRunner, kStart + 1s, kSlots);
    EXPECT_TRUE(signals.recordBackoff(kRunner, 1s, 0s, "attempt-2", kStart + 1s));
    EXPECT_EQ(signals.exclusion(kRunner, 1, kStart + 2s), RunnerExclusion::SlowStart);
}

TEST(RunnerSignals, TheLaterOfBackoffAndLimitCounts)
{
    RunnerSignals signals = backingOff(3s);
    Random random(1);
    signals.pacer.setHosts({"entry-0"}, "entry-0", kStart, random);
    signals.pacer.setLimit(kRunner, 0.2, kStart, random);
    const TimePoint free = *signals.nextSendTime(kRunner, kStart);
    EXPECT_GE(free, kStart + 3s);
    EXPECT_EQ(signals.reserveSend(kRunner, 0, free + 5s), RunnerExclusion::None);
    EXPECT_EQ(signals.reserveSend(kRunner, 0, free + 5s), RunnerExclusion::RateLimited);
}

// Guards against a runner that leaves and is brought back by its backoff's end, or by being forgotten with it.
TEST(RunnerSignals, ARunnerThatIsLeavingGetsNothingInThisLife)
{
    RunnerSignals signals = backingOff(1s);
    EXPECT_TRUE(signals.markLeaving(kRunner));
    EXPECT_FALSE(signals.markLeaving(kRunner)) << "known";
    signals.takeExpiredBackoffs(kStart + 5s);
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 5s), RunnerExclusion::Leaving);
    EXPECT_FALSE(signals.nextSendTime(kRunner, kStart + 5s));
    EXPECT_EQ(signals.exclusion({"i-1", 2}, 0, kStart + 5s), RunnerExclusion::None);
}

TEST(RunnerSignals, TheEndOfABackoffIsToldOnceAndWhatIsOverIsForgotten)
{
    RunnerSignals signals = backingOff(1s);
    EXPECT_TRUE(signals.takeExpiredBackoffs(kStart).empty());
    EXPECT_EQ(signals.backingOffCount(kStart), 1U);
    EXPECT_EQ(signals.takeExpiredBackoffs(kStart + 1s).size(), 1U);
    EXPECT_TRUE(signals.takeExpiredBackoffs(kStart + 2s).empty());
    EXPECT_EQ(signals.exclusion(kRunner, 1, kStart + 2s), RunnerExclusion::SlowStart) << "its slow start goes on";
    for (unsigned taken = 0; taken < 5; ++taken) {
        signals.recordAccepted(kRunner, kStart + 2s, kSlots);
    }
    signals.takeExpiredBackoffs(kStart + 3s);
    EXPECT_TRUE(signals.lives().empty());
}

TEST(RunnerSignals, NoMoreLivesAreKeptThanAFleetMayHave)
{
    RunnerSignals signals;
    for (std::size_t i = 0; i < RunnerSignals::kMaxLives + 10; ++i) {
        signals.recordBackoff({"i-" + std::to_string(i), 1}, 1s, 0s, "a", kStart);
    }
    EXPECT_EQ(signals.lives().size(), RunnerSignals::kMaxLives);
}

namespace
{

/** One runner with kSlots slots and as many places to wait. */
class Runner
{
public:
    explicit Runner(Duration service)
        : m_service(service)
    {
    }

    /** When the request will have ended; nothing: it is turned away. */
    std::optional<TimePoint> take(TimePoint now)
    {
        std::erase_if(m_ends, [now](TimePoint end) {
            return end <= now;
        });
        if (m_ends.size() >= 2 * kSlots) {
            return std::nullopt;
        }
        // It begins when the slot of the one that is kSlots places before it is free.
        std::ranges::sort(m_ends);
        const TimePoint begins = m_ends.size() < kSlots ? now : m_ends[m_ends.size() - kSlots];
        m_ends.push_back(begins + m_service);
        return m_ends.back();
    }

    unsigned load() const
    {
        return static_cast<unsigned>(m_ends.size());
    }

private:
    const Duration m_service;
    std::vector<TimePoint> m_ends;
};

/** A host as far as it sends to that runner. */
struct Sender {
    RunnerSignals signals;
    std::vector<TimePoint> open; ///< ends of its requests there
    std::map<TimePoint, unsigned> answers; ///< heads that are on their way, with the load that they tell
    unsigned toldLoad = 0;
    TimePoint toldAt{};

    void read(TimePoint now)
    {
        std::erase_if(open, [now](TimePoint end) {
            return end <= now;
        });
        while (!answers.empty() && answers.begin()->first <= now) {
            signals.recordAccepted(kRunner, now, kSlots);
            toldLoad = answers.begin()->second;
            toldAt = answers.begin()->first;
            answers.erase(answers.begin());
        }
    }
};

constexpr Duration kHead = 150ms; ///< from a request's begin to the head of its answer, which tells the load
constexpr Duration kLoadTrust = 1200ms; ///< a host sends nothing for so long after it was told of full slots
constexpr double kPoolRunners = 16; ///< the demand is what all of them can do, and each request seeks the least loaded one

/** Requests that the runner turns away in the 2 s after @p hosts backoffs that ended together. */
unsigned refusedAfterBackoff(unsigned hosts, Duration service)
{
    constexpr Duration kStep = 1ms;
    Random random(hosts);
    Runner runner(service);
    std::vector<Sender> senders(hosts);
    const double hostsPerSlot = static_cast<double>(hosts) / kSlots;
    const auto spread = static_cast<Duration::rep>(std::max(0.0, hostsPerSlot - 1) * static_cast<double>(service.count()));
    for (Sender &sender : senders) {
        sender.signals.recordBackoff(kRunner, 1s, Duration(std::uniform_int_distribution<Duration::rep>(0, spread)(random)), "a", kStart);
    }
    unsigned refused = 0;
    double due = 0;
    const double perStep = kPoolRunners * kSlots * static_cast<double>(kStep.count()) / static_cast<double>(service.count());
    for (TimePoint now = kStart + 1s; now < kStart + 3s; now += kStep) {
        for (due += perStep; due >= 1; due -= 1) {
            Sender &sender = senders[random() % hosts];
            sender.read(now);
            const bool seemsFull = sender.toldLoad >= kSlots && now - sender.toldAt < kLoadTrust;
            const auto open = static_cast<unsigned>(sender.open.size());
            if (seemsFull || open >= kSlots || sender.signals.reserveSend(kRunner, open, now) != RunnerExclusion::None) {
                continue;
            }
            const std::optional<TimePoint> end = runner.take(now);
            if (!end) {
                ++refused;
                sender.signals.recordBackoff(kRunner, 1s, Duration(0), "b", now);
                continue;
            }
            sender.open.push_back(*end);
            sender.answers[*end - service + std::min(service, kHead)] = runner.load();
        }
    }
    return refused;
}

} // namespace

// Pattern: every host was turned away at the same moment and has requests for the runner when its time has passed.
TEST(RunnerSignals, HostsThatComeBackTogetherAreRarelyTurnedAwayAgain)
{
    for (const unsigned hosts : {1U, 5U, 16U, 100U, 370U}) {
        for (const Duration service : {Duration(30ms), Duration(800ms)}) {
            EXPECT_LE(refusedAfterBackoff(hosts, service), hosts - 1) << hosts << " hosts, " << service.count() << " us: less than one for each of them";
        }
    }
}

TEST(RunnerSignalsMutation, BrokenVariantsAreCaught)
{
    {
        const ScopedMutation scoped(Mutation::ShortenBackoff);
        RunnerSignals signals = backingOff(3s);
        signals.recordBackoff(kRunner, 1s, 0s, "attempt-2", kStart);
        EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 2s), RunnerExclusion::None);
    }
    {
        const ScopedMutation scoped(Mutation::EndBackoffByOldAnswer);
        RunnerSignals signals = backingOff(3s);
        signals.recordAccepted(kRunner, kStart - 1s, kSlots);
        EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 2s), RunnerExclusion::None);
    }
    {
        const ScopedMutation scoped(Mutation::SkipSlowStart);
        EXPECT_EQ(backingOff(3s).exclusion(kRunner, 9, kStart + 3s), RunnerExclusion::None);
        EXPECT_GT(refusedAfterBackoff(16, 30ms), 16U);
        EXPECT_GT(refusedAfterBackoff(16, 800ms), 16U);
    }
    {
        const ScopedMutation scoped(Mutation::IgnoreBackoff);
        EXPECT_EQ(backingOff(3s).exclusion(kRunner, 0, kStart), RunnerExclusion::None);
    }
}

} // namespace fulmarlink::testing
