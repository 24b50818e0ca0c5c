// Simulates many hosts in virtual time, each with its independently computed share of a
// runner's limit. Measures the requests that the runner receives from all of them together,
// against the limit and against what it could have served.

#include "fulmarlink/limitpacer.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "testing/harness/mutation_on.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

const TargetIncarnation kRunner{"i-1", 100};
const TimePoint kStart{1000s};
constexpr Duration kSpan = 4s; ///< window over which the platform checks the limit
constexpr Duration kStep = 5ms;

/** How requests are distributed over hosts and time. */
enum class Pattern : std::uint8_t {
    Even,
    OneHost, ///< four fifths of them at one host
    Bursts, ///< alternately 10 s without requests and 10 s with
};

struct Scenario {
    unsigned hosts = 5;
    double perSecond = 1;
    double demand = 10; ///< rate of all requests, as a multiple of the limit
    Pattern pattern = Pattern::Even;
    Duration length = 120s;
    std::uint64_t seed = 1;
};

std::vector<std::string> hostNames(unsigned hosts)
{
    std::vector<std::string> result;
    for (unsigned i = 0; i < hosts; ++i) {
        result.push_back("entry-" + std::to_string(i));
    }
    return result;
}

/** One pacer for each host, all with the same list of hosts. */
std::vector<LimitPacer> makePacers(const Scenario &scenario, Random &random)
{
    std::vector<LimitPacer> result;
    for (const std::string &name : hostNames(scenario.hosts)) {
        LimitPacer &pacer = result.emplace_back();
        pacer.setHosts(hostNames(scenario.hosts), name, kStart, random);
        pacer.setLimit(kRunner, scenario.perSecond, kStart, random);
    }
    return result;
}

std::size_t chooseHost(const Scenario &scenario, Random &random)
{
    const bool skewed = scenario.pattern == Pattern::OneHost && random() % 5 != 0;
    return skewed ? 0 : random() % scenario.hosts;
}

/** The times at which the runner received requests. */
std::vector<TimePoint> arrivals(const Scenario &scenario)
{
    Random random(scenario.seed);
    std::vector<LimitPacer> hosts = makePacers(scenario, random);
    std::vector<TimePoint> result;
    const double requestsPerStep = scenario.demand * scenario.perSecond * std::chrono::duration<double>(kStep).count();
    for (TimePoint now = kStart; now < kStart + scenario.length; now += kStep) {
        const bool pause = scenario.pattern == Pattern::Bursts && (now - kStart) % Duration(20s) < 10s;
        const unsigned requests = pause ? 0 : std::poisson_distribution<unsigned>(requestsPerStep)(random);
        for (unsigned i = 0; i < requests; ++i) {
            if (hosts[chooseHost(scenario, random)].tryAcquire(kRunner, now)) {
                result.push_back(now);
            }
        }
    }
    return result;
}

/** Like arrivals(), with ten times the limit's demand, while each process of a host lives for @p life and reads the list of hosts 1 s after its start. */
std::vector<TimePoint> arrivalsWithRestarts(unsigned hosts, double perSecond, Duration life)
{
    constexpr Duration kListRead = 1s;
    Random random(1);
    std::vector<LimitPacer> pacers;
    std::vector<TimePoint> result;
    const std::vector<std::string> names = hostNames(hosts);
    Duration age = life;
    for (TimePoint now = kStart; now < kStart + 30s; now += kStep, age += kStep) {
        if (age >= life) {
            age = Duration(0);
            pacers = std::vector<LimitPacer>(hosts);
            for (LimitPacer &pacer : pacers) {
                pacer.setLimit(kRunner, perSecond, now, random);
            }
        }
        for (std::size_t i = 0; i < hosts && age == kListRead; ++i) {
            pacers[i].setHosts(names, names[i], now, random);
        }
        const unsigned requests = std::poisson_distribution<unsigned>(10 * perSecond * std::chrono::duration<double>(kStep).count())(random);
        for (unsigned i = 0; i < requests; ++i) {
            if (pacers[random() % hosts].tryAcquire(kRunner, now)) {
                result.push_back(now);
            }
        }
    }
    return result;
}

std::size_t maxInSpan(const std::vector<TimePoint> &times)
{
    std::size_t highest = 0;
    for (auto first = times.begin(), last = times.begin(); last != times.end(); ++last) {
        while (*last - *first >= kSpan) {
            ++first;
        }
        highest = std::max(highest, static_cast<std::size_t>(last - first) + 1);
    }
    return highest;
}

double allowedInSpan(double perSecond)
{
    return 1.5 * perSecond * 4 + 5;
}

double utilization(const Scenario &scenario)
{
    return static_cast<double>(arrivals(scenario).size()) / (scenario.perSecond * std::chrono::duration<double>(scenario.length).count());
}

} // namespace

TEST(LimitPacer, TotalOverHostsStaysWithinLimit)
{
    for (const unsigned hosts : {1U, 3U, 5U, 16U, 100U}) {
        for (const double perSecond : {0.2, 1.0, 3.7, 20.0}) {
            for (const double demand : {0.1, 1.0, 10.0}) {
                for (const Pattern pattern : {Pattern::Even, Pattern::OneHost, Pattern::Bursts}) {
                    const Scenario scenario{.hosts = hosts, .perSecond = perSecond, .demand = demand, .pattern = pattern};
                    const std::vector<TimePoint> times = arrivals(scenario);
                    const double whole = perSecond * std::chrono::duration<double>(scenario.length).count();
                    EXPECT_LE(maxInSpan(times), allowedInSpan(perSecond)) << hosts << " hosts, " << perSecond << " per second, " << demand;
                    EXPECT_LE(static_cast<double>(times.size()), whole + std::max(5.0, perSecond))
                        << hosts << " hosts, " << perSecond << " per second, " << demand;
                }
            }
        }
    }
}

RC_GTEST_PROP(LimitPacer, TotalStaysWithinLimitForRandomScenarios, ())
{
    Scenario scenario;
    scenario.hosts = *rc::gen::inRange(1U, 40U);
    scenario.perSecond = *rc::gen::inRange(0, 3000) / 100.0;
    scenario.demand = *rc::gen::inRange(1, 200) / 10.0;
    scenario.pattern = *rc::gen::element(Pattern::Even, Pattern::OneHost, Pattern::Bursts);
    scenario.length = 30s;
    scenario.seed = *rc::gen::arbitrary<std::uint64_t>();
    RC_ASSERT(static_cast<double>(maxInSpan(arrivals(scenario))) <= allowedInSpan(std::max(scenario.perSecond, LimitPacerOptions().minPerSecond)));
}

// A process that has just started does not know how many hosts share a limit.
TEST(LimitPacer, TotalStaysWithinLimitWhileAllHostsRestartAgainAndAgain)
{
    for (const unsigned hosts : {5U, 16U, 100U, 370U}) {
        for (const double perSecond : {1.0, 20.0}) {
            for (const Duration life : {Duration(800ms), Duration(3s)}) {
                EXPECT_LE(maxInSpan(arrivalsWithRestarts(hosts, perSecond, life)), allowedInSpan(perSecond))
                    << hosts << " hosts, " << perSecond << " per second, lives of " << life.count() / 1000 << " ms";
            }
        }
    }
}

TEST(LimitPacer, UsesMostOfLimitUnderTenfoldDemand)
{
    for (const unsigned hosts : {1U, 3U, 5U, 16U}) {
        for (const double perSecond : {1.0, 3.7, 20.0}) {
            EXPECT_GE(utilization({.hosts = hosts, .perSecond = perSecond, .demand = 10}), 0.85) << hosts << " hosts, " << perSecond << " per second";
        }
    }
}

TEST(LimitPacer, FiveOfManyHostsShareEachRunner)
{
    Random random(1);
    std::vector<unsigned> runnersOfHost(16, 0);
    for (std::uint64_t born = 1; born <= 200; ++born) {
        unsigned sharers = 0;
        for (unsigned i = 0; i < 16; ++i) {
            LimitPacer pacer;
            pacer.setHosts(hostNames(16), hostNames(16)[i], kStart, random);
            pacer.setLimit({"i-1", born}, 1, kStart, random);
            const bool shares = *pacer.shareOf({"i-1", born}) > 0;
            EXPECT_EQ(pacer.nextSendTime({"i-1", born}, kStart).has_value(), shares);
            sharers += shares ? 1 : 0;
            runnersOfHost[i] += shares ? 1 : 0;
        }
        EXPECT_EQ(sharers, 5U);
    }
    EXPECT_GT(*std::ranges::min_element(runnersOfHost), 200U * 5 / 16 / 2) << "every host shares some runners";
}

TEST(LimitPacer, IdleHostDoesNotAccumulateSlots)
{
    Random random(3);
    LimitPacer pacer;
    pacer.setHosts(hostNames(5), "entry-0", kStart, random);
    pacer.setLimit(kRunner, 5, kStart, random);
    TimePoint now = kStart + 60s;
    EXPECT_EQ(pacer.tryAcquire(kRunner, now) + pacer.tryAcquire(kRunner, now) + pacer.tryAcquire(kRunner, now), 1);
    now += 600s;
    EXPECT_EQ(pacer.tryAcquire(kRunner, now) + pacer.tryAcquire(kRunner, now) + pacer.tryAcquire(kRunner, now), 1);
}

TEST(LimitPacer, ChangesOfHostsAndLimitsCreateNoAdditionalSlots)
{
    Random random(4);
    LimitPacer pacer;
    pacer.setHosts(hostNames(5), "entry-0", kStart, random);
    pacer.setLimit(kRunner, 1, kStart, random);
    unsigned sent = 0;
    for (Duration passed = 0s; passed < 60s; passed += 100ms) {
        const unsigned turn = static_cast<unsigned>(passed / 100ms);
        pacer.setHosts(hostNames(4 + turn % 2), "entry-0", kStart + passed, random);
        pacer.setLimit(kRunner, turn % 3 == 0 ? 1.2 : 1, kStart + passed, random);
        sent += pacer.tryAcquire(kRunner, kStart + passed) ? 1 : 0;
    }
    EXPECT_LE(sent, 60 * 1.2 / 4 + 2);
    EXPECT_GE(sent, 60 * 1.0 / 5 - 2);
}

TEST(LimitPacer, ZeroLimitAllowsAFewRequestsPerMinuteToDetectItsEnd)
{
    const Scenario scenario{.hosts = 5, .perSecond = 0, .demand = 1};
    Random random(5);
    std::vector<LimitPacer> hosts = makePacers(scenario, random);
    unsigned accepted = 0;
    for (TimePoint now = kStart; now < kStart + 100s; now += 50ms) {
        for (LimitPacer &host : hosts) {
            accepted += host.tryAcquire(kRunner, now) ? 1 : 0;
        }
    }
    EXPECT_GE(accepted, 8U);
    EXPECT_LE(accepted, 15U);
}

TEST(LimitPacer, VeryHighLimitDoesNotThrottle)
{
    Random random(6);
    LimitPacer pacer;
    pacer.setHosts(hostNames(1), "entry-0", kStart, random);
    pacer.setLimit(kRunner, 1e9, kStart, random);
    unsigned sent = 0;
    for (Duration passed = 1s; passed < 2s; passed += 100us) {
        sent += pacer.tryAcquire(kRunner, kStart + passed) ? 1 : 0;
    }
    EXPECT_EQ(sent, 10'000U);
}

TEST(LimitPacer, TakesSmallShareUntilListOfHostsIsKnown)
{
    Random random(7);
    LimitPacer pacer;
    pacer.setLimit(kRunner, 16, kStart, random);
    EXPECT_DOUBLE_EQ(*pacer.shareOf(kRunner), 16.0 / 400);
    pacer.setHosts({"entry-1"}, "entry-0", kStart, random);
    EXPECT_DOUBLE_EQ(*pacer.shareOf(kRunner), 8.0) << "the host counts itself";
    pacer.removeLimit(kRunner);
    EXPECT_FALSE(pacer.shareOf(kRunner));
    EXPECT_TRUE(pacer.tryAcquire(kRunner, kStart));
}

TEST(LimitPacerMutation, DetectsHostsThatEachUseTheWholeLimit)
{
    const ScopedMutation mutation(Mutation::WholeLimitEach);
    EXPECT_GT(maxInSpan(arrivals({})), allowedInSpan(1));
}

} // namespace fulmarlink::testing
