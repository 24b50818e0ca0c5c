// Flow-control signals of runners, without sockets: overlapping backoffs, answers that arrive out of order, slow start.

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <vector>

#include "fulmarlink/retryafterpacer.h"
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

TEST(RunnerSignals, NoRequestsAreSentUntilBackoffExpires)
{
    const RunnerSignals signals = backingOff(3s);
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart), RunnerExclusion::BackingOff);
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 3s - 1us), RunnerExclusion::BackingOff);
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 3s), RunnerExclusion::None);
    EXPECT_EQ(signals.nextSendTime(kRunner, kStart), kStart + 3s);
    EXPECT_EQ(signals.exclusion({"i-2", 1}, 9, kStart), RunnerExclusion::None);
    EXPECT_EQ(signals.exclusion({"i-1", 2}, 9, kStart), RunnerExclusion::None) << "another incarnation";
}

// Guards against a later answer with a shorter backoff that lets requests reach a runner still backing off.
TEST(RunnerSignals, ShorterBackoffDoesNotShortenAnEarlierOne)
{
    RunnerSignals signals = backingOff(3s);
    EXPECT_FALSE(signals.recordBackoff(kRunner, 1s, 0s, "attempt-2", kStart + 500ms));
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 2s), RunnerExclusion::BackingOff);
    EXPECT_TRUE(signals.recordBackoff(kRunner, 4s, 0s, "attempt-3", kStart + 1s));
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 4s), RunnerExclusion::BackingOff);
    EXPECT_EQ(signals.activeBackoff(kRunner)->refusedAttempts, 3U);
    EXPECT_EQ(signals.activeBackoff(kRunner)->source, "attempt-3");
}

// Guards against treating the answer to a request sent before the backoff expired as the end of the backoff.
TEST(RunnerSignals, AnswerToRequestSentBeforeExpiryDoesNotEndBackoff)
{
    RunnerSignals signals = backingOff(3s);
    signals.recordAccepted(kRunner, kStart - 1s, kSlots);
    signals.recordAccepted(kRunner, kStart + 1s, kSlots);
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 2s), RunnerExclusion::BackingOff);
    EXPECT_EQ(signals.exclusion(kRunner, 1, kStart + 3s), RunnerExclusion::SlowStart);
}

TEST(RunnerSignals, SlowStartWindowDoublesWithEachAcceptedRequest)
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

// Guards against slow start resuming with its previous window after another backoff.
TEST(RunnerSignals, BackoffDuringSlowStartRestartsSlowStart)
{
    RunnerSignals signals = backingOff(1s);
    signals.recordAccepted(kRunner, kStart + 1s, kSlots);
    signals.recordAccepted(kRunner, kStart + 1s, kSlots);
    EXPECT_TRUE(signals.recordBackoff(kRunner, 1s, 0s, "attempt-2", kStart + 1s));
    EXPECT_EQ(signals.exclusion(kRunner, 1, kStart + 2s), RunnerExclusion::SlowStart);
}

TEST(RunnerSignals, NextSendTimeIsTheLaterOfBackoffAndRateLimit)
{
    RunnerSignals signals = backingOff(3s);
    Random random(1);
    signals.pacer.setHosts({"entry-0"}, "entry-0", kStart, random);
    signals.pacer.setLimit(kRunner, 0.2, kStart, random);
    const TimePoint nextSend = *signals.nextSendTime(kRunner, kStart);
    EXPECT_GE(nextSend, kStart + 3s);
    EXPECT_EQ(signals.reserveSend(kRunner, 0, nextSend + 5s), RunnerExclusion::None);
    EXPECT_EQ(signals.reserveSend(kRunner, 0, nextSend + 5s), RunnerExclusion::RateLimited);
}

// Guards against a leaving runner becoming usable when its backoff expires, or when the state is dropped with the backoff.
TEST(RunnerSignals, LeavingRunnerIsExcludedForTheRestOfItsIncarnation)
{
    RunnerSignals signals = backingOff(1s);
    EXPECT_TRUE(signals.markLeaving(kRunner));
    EXPECT_FALSE(signals.markLeaving(kRunner)) << "known";
    signals.takeExpiredBackoffs(kStart + 5s);
    EXPECT_EQ(signals.exclusion(kRunner, 0, kStart + 5s), RunnerExclusion::Leaving);
    EXPECT_FALSE(signals.nextSendTime(kRunner, kStart + 5s));
    EXPECT_EQ(signals.exclusion({"i-1", 2}, 0, kStart + 5s), RunnerExclusion::None);
}

TEST(RunnerSignals, ExpiredBackoffIsReturnedOnceAndFinishedStateIsDropped)
{
    RunnerSignals signals = backingOff(1s);
    EXPECT_TRUE(signals.takeExpiredBackoffs(kStart).empty());
    EXPECT_EQ(signals.backingOffCount(kStart), 1U);
    EXPECT_EQ(signals.takeExpiredBackoffs(kStart + 1s).size(), 1U);
    EXPECT_TRUE(signals.takeExpiredBackoffs(kStart + 2s).empty());
    EXPECT_EQ(signals.exclusion(kRunner, 1, kStart + 2s), RunnerExclusion::SlowStart) << "slow start continues";
    for (unsigned taken = 0; taken < 5; ++taken) {
        signals.recordAccepted(kRunner, kStart + 2s, kSlots);
    }
    signals.takeExpiredBackoffs(kStart + 3s);
    EXPECT_TRUE(signals.incarnations().empty());
}

TEST(RunnerSignals, NumberOfTrackedIncarnationsIsBounded)
{
    RunnerSignals signals;
    for (std::size_t i = 0; i < RunnerSignals::kMaxIncarnations + 10; ++i) {
        signals.recordBackoff({"i-" + std::to_string(i), 1}, 1s, 0s, "a", kStart);
    }
    EXPECT_EQ(signals.incarnations().size(), RunnerSignals::kMaxIncarnations);
}

namespace
{

/** One runner with kSlots slots and a queue of the same length. */
class SimulatedRunner
{
public:
    explicit SimulatedRunner(Duration service)
        : m_service(service)
    {
    }

    /** Returns the time when the request will have completed; empty if it is refused. */
    std::optional<TimePoint> submit(TimePoint now)
    {
        std::erase_if(m_ends, [now](TimePoint end) {
            return end <= now;
        });
        if (m_ends.size() >= 2 * kSlots) {
            return std::nullopt;
        }
        // The request starts when the request kSlots places ahead of it frees its slot.
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

/** A host, reduced to what it sends to that runner. */
struct SimulatedHost {
    RunnerSignals signals;
    std::vector<TimePoint> open; ///< completion times of its requests in flight
    std::map<TimePoint, unsigned> answers; ///< answer heads in transit by arrival time, with the load that they report
    unsigned reportedLoad = 0;
    TimePoint reportedAt{};

    void processAnswers(TimePoint now)
    {
        std::erase_if(open, [now](TimePoint end) {
            return end <= now;
        });
        while (!answers.empty() && answers.begin()->first <= now) {
            signals.recordAccepted(kRunner, now, kSlots);
            reportedLoad = answers.begin()->second;
            reportedAt = answers.begin()->first;
            answers.erase(answers.begin());
        }
    }
};

constexpr Duration kAnswerHeadDelay = 150ms; ///< from the start of a request to the head of its answer, which reports the load
constexpr Duration kFullLoadHold = 1200ms; ///< how long a host sends nothing after a report of full slots
constexpr double kPoolRunners = 16; ///< demand equals the capacity of all of them, and each request prefers the least loaded one

/** Number of requests that the runner refuses in the 2 s after the backoffs of @p hosts hosts, which were set to expire together and then spread. */
unsigned refusedAfterBackoff(unsigned hosts, Duration service)
{
    constexpr Duration kStep = 1ms;
    Random random(hosts);
    SimulatedRunner runner(service);
    std::vector<SimulatedHost> simulatedHosts(hosts);
    const double hostsPerSlot = static_cast<double>(hosts) / kSlots;
    const auto spread = static_cast<Duration::rep>(std::max(0.0, hostsPerSlot - 1) * static_cast<double>(service.count()));
    for (SimulatedHost &host : simulatedHosts) {
        host.signals.recordBackoff(kRunner, 1s, Duration(std::uniform_int_distribution<Duration::rep>(0, spread)(random)), "a", kStart);
    }
    unsigned refused = 0;
    double due = 0;
    const double perStep = kPoolRunners * kSlots * static_cast<double>(kStep.count()) / static_cast<double>(service.count());
    for (TimePoint now = kStart + 1s; now < kStart + 3s; now += kStep) {
        for (due += perStep; due >= 1; due -= 1) {
            SimulatedHost &host = simulatedHosts[random() % hosts];
            host.processAnswers(now);
            const bool seemsFull = host.reportedLoad >= kSlots && now - host.reportedAt < kFullLoadHold;
            const auto open = static_cast<unsigned>(host.open.size());
            if (seemsFull || open >= kSlots || host.signals.reserveSend(kRunner, open, now) != RunnerExclusion::None) {
                continue;
            }
            const std::optional<TimePoint> end = runner.submit(now);
            if (!end) {
                ++refused;
                host.signals.recordBackoff(kRunner, 1s, Duration(0), "b", now);
                continue;
            }
            host.open.push_back(*end);
            host.answers[*end - service + std::min(service, kAnswerHeadDelay)] = runner.load();
        }
    }
    return refused;
}

} // namespace

// Guards against a burst when all hosts were refused at the same moment and have requests waiting when the backoff expires.
TEST(RunnerSignals, HostsResumingAfterSimultaneousBackoffAreRarelyRefused)
{
    for (const unsigned hosts : {1U, 5U, 16U, 100U, 370U}) {
        for (const Duration service : {Duration(30ms), Duration(800ms)}) {
            EXPECT_LE(refusedAfterBackoff(hosts, service), hosts - 1) << hosts << " hosts, " << service.count() << " us: fewer than one refusal per host";
        }
    }
}

TEST(RunnerSignalsMutation, BrokenVariantsAreDetected)
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
