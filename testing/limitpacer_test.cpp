// The share of a runner's limit that each host computes alone, played in virtual time for
// many hosts at once: what the runner gets from all of them together, and what it could have
// taken and did not get.

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
constexpr Duration kSpan = 4s; ///< in which the platform counts
constexpr Duration kStep = 5ms;

/** How many callers come to which host. */
enum class Pattern : std::uint8_t {
    Even,
    OneHost, ///< four fifths of them to one host
    Bursts, ///< nobody for 10 s, then everybody at once
};

struct Play {
    unsigned hosts = 5;
    double perSecond = 1;
    double demand = 10; ///< of all callers, in limits
    Pattern pattern = Pattern::Even;
    Duration length = 120s;
    std::uint64_t seed = 1;
};

std::vector<std::string> names(unsigned hosts)
{
    std::vector<std::string> result;
    for (unsigned i = 0; i < hosts; ++i) {
        result.push_back("entry-" + std::to_string(i));
    }
    return result;
}

/** Hosts that know the same of each other. */
std::vector<LimitPacer> pacers(const Play &play, Random &random)
{
    std::vector<LimitPacer> result;
    for (const std::string &name : names(play.hosts)) {
        LimitPacer &pacer = result.emplace_back();
        pacer.setHosts(names(play.hosts), name, kStart, random);
        pacer.setLimit(kRunner, play.perSecond, kStart, random);
    }
    return result;
}

std::size_t chooseHost(const Play &play, Random &random)
{
    const bool one = play.pattern == Pattern::OneHost && random() % 5 != 0;
    return one ? 0 : random() % play.hosts;
}

/** When requests reached the runner. */
std::vector<TimePoint> arrivals(const Play &play)
{
    Random random(play.seed);
    std::vector<LimitPacer> hosts = pacers(play, random);
    std::vector<TimePoint> result;
    const double each = play.demand * play.perSecond * std::chrono::duration<double>(kStep).count();
    for (TimePoint now = kStart; now < kStart + play.length; now += kStep) {
        const bool quiet = play.pattern == Pattern::Bursts && (now - kStart) % Duration(20s) < 10s;
        const unsigned callers = quiet ? 0 : std::poisson_distribution<unsigned>(each)(random);
        for (unsigned i = 0; i < callers; ++i) {
            if (hosts[chooseHost(play, random)].tryAcquire(kRunner, now)) {
                result.push_back(now);
            }
        }
    }
    return result;
}

std::size_t mostInSpan(const std::vector<TimePoint> &times)
{
    std::size_t most = 0;
    for (auto first = times.begin(), last = times.begin(); last != times.end(); ++last) {
        while (*last - *first >= kSpan) {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

double allowedInSpan(double perSecond)
{
    return 1.5 * perSecond * 4 + 5;
}

double used(const Play &play)
{
    return static_cast<double>(arrivals(play).size()) / (play.perSecond * std::chrono::duration<double>(play.length).count());
}

} // namespace

TEST(LimitPacer, TheSumOverHostsHoldsForAllSizesAndDemands)
{
    for (const unsigned hosts : {1U, 3U, 5U, 16U, 100U}) {
        for (const double perSecond : {0.2, 1.0, 3.7, 20.0}) {
            for (const double demand : {0.1, 1.0, 10.0}) {
                for (const Pattern pattern : {Pattern::Even, Pattern::OneHost, Pattern::Bursts}) {
                    const Play play{.hosts = hosts, .perSecond = perSecond, .demand = demand, .pattern = pattern};
                    const std::vector<TimePoint> times = arrivals(play);
                    const double whole = perSecond * std::chrono::duration<double>(play.length).count();
                    EXPECT_LE(mostInSpan(times), allowedInSpan(perSecond)) << hosts << " hosts, " << perSecond << " a second, " << demand;
                    EXPECT_LE(static_cast<double>(times.size()), whole + std::max(5.0, perSecond))
                        << hosts << " hosts, " << perSecond << " a second, " << demand;
                }
            }
        }
    }
}

RC_GTEST_PROP(LimitPacer, TheSumHoldsWhateverTheHostsDo, ())
{
    Play play;
    play.hosts = *rc::gen::inRange(1U, 40U);
    play.perSecond = *rc::gen::inRange(0, 3000) / 100.0;
    play.demand = *rc::gen::inRange(1, 200) / 10.0;
    play.pattern = *rc::gen::element(Pattern::Even, Pattern::OneHost, Pattern::Bursts);
    play.length = 30s;
    play.seed = *rc::gen::arbitrary<std::uint64_t>();
    RC_ASSERT(static_cast<double>(mostInSpan(arrivals(play))) <= allowedInSpan(std::max(play.perSecond, LimitPacerOptions().minPerSecond)));
}

TEST(LimitPacer, WhileTenTimesAsManyCallersComeTheWholeLimitIsUsed)
{
    for (const unsigned hosts : {1U, 3U, 5U, 16U}) {
        for (const double perSecond : {1.0, 3.7, 20.0}) {
            EXPECT_GE(used({.hosts = hosts, .perSecond = perSecond, .demand = 10}), 0.85) << hosts << " hosts, " << perSecond << " a second";
        }
    }
}

TEST(LimitPacer, WhereHostsAreManyAFewShareARunnerAndEveryRunnerHasItsFew)
{
    Random random(1);
    std::vector<unsigned> runnersOfHost(16, 0);
    for (std::uint64_t born = 1; born <= 200; ++born) {
        unsigned sharers = 0;
        for (unsigned i = 0; i < 16; ++i) {
            LimitPacer pacer;
            pacer.setHosts(names(16), names(16)[i], kStart, random);
            pacer.setLimit({"i-1", born}, 1, kStart, random);
            const bool shares = *pacer.shareOf({"i-1", born}) > 0;
            EXPECT_EQ(pacer.nextSendTime({"i-1", born}, kStart).has_value(), shares);
            sharers += shares ? 1 : 0;
            runnersOfHost[i] += shares ? 1 : 0;
        }
        EXPECT_EQ(sharers, 5U);
    }
    EXPECT_GT(*std::ranges::min_element(runnersOfHost), 200U * 5 / 16 / 2) << "each host has its part";
}

TEST(LimitPacer, AHostThatWasAwayHasOneSlotAndNotThoseOfTheTimeBetween)
{
    Random random(3);
    LimitPacer pacer;
    pacer.setHosts(names(5), "entry-0", kStart, random);
    pacer.setLimit(kRunner, 5, kStart, random);
    TimePoint now = kStart + 60s;
    EXPECT_EQ(pacer.tryAcquire(kRunner, now) + pacer.tryAcquire(kRunner, now) + pacer.tryAcquire(kRunner, now), 1);
    now += 600s;
    EXPECT_EQ(pacer.tryAcquire(kRunner, now) + pacer.tryAcquire(kRunner, now) + pacer.tryAcquire(kRunner, now), 1);
}

TEST(LimitPacer, ChangesOfHostsAndLimitsBringNoSlotsOfTheirOwn)
{
    Random random(4);
    LimitPacer pacer;
    pacer.setHosts(names(5), "entry-0", kStart, random);
    pacer.setLimit(kRunner, 1, kStart, random);
    unsigned taken = 0;
    for (Duration passed = 0s; passed < 60s; passed += 100ms) {
        const unsigned turn = static_cast<unsigned>(passed / 100ms);
        pacer.setHosts(names(4 + turn % 2), "entry-0", kStart + passed, random);
        pacer.setLimit(kRunner, turn % 3 == 0 ? 1.2 : 1, kStart + passed, random);
        taken += pacer.tryAcquire(kRunner, kStart + passed) ? 1 : 0;
    }
    EXPECT_LE(taken, 60 * 1.2 / 4 + 2);
    EXPECT_GE(taken, 60 * 1.0 / 5 - 2);
}

TEST(LimitPacer, WhoIsNamedNoneGetsAFewRequestsAMinuteSoThatItsEndIsLearnt)
{
    const Play play{.hosts = 5, .perSecond = 0, .demand = 1};
    Random random(5);
    std::vector<LimitPacer> hosts = pacers(play, random);
    unsigned got = 0;
    for (TimePoint now = kStart; now < kStart + 100s; now += 50ms) {
        for (LimitPacer &host : hosts) {
            got += host.tryAcquire(kRunner, now) ? 1 : 0;
        }
    }
    EXPECT_GE(got, 8U);
    EXPECT_LE(got, 15U);
}

TEST(LimitPacer, FiguresBeyondAllReasonAreNoLimit)
{
    Random random(6);
    LimitPacer pacer;
    pacer.setHosts(names(1), "entry-0", kStart, random);
    pacer.setLimit(kRunner, 1e9, kStart, random);
    unsigned taken = 0;
    for (Duration passed = 1s; passed < 2s; passed += 100us) {
        taken += pacer.tryAcquire(kRunner, kStart + passed) ? 1 : 0;
    }
    EXPECT_EQ(taken, 10'000U);
}

TEST(LimitPacer, WhileTheListOfHostsIsUnknownItTakesASmallPart)
{
    Random random(7);
    LimitPacer pacer;
    pacer.setLimit(kRunner, 16, kStart, random);
    EXPECT_DOUBLE_EQ(*pacer.shareOf(kRunner), 1.0);
    pacer.setHosts({"entry-1"}, "entry-0", kStart, random);
    EXPECT_DOUBLE_EQ(*pacer.shareOf(kRunner), 8.0) << "it counts itself";
    pacer.removeLimit(kRunner);
    EXPECT_FALSE(pacer.shareOf(kRunner));
    EXPECT_TRUE(pacer.tryAcquire(kRunner, kStart));
}

TEST(LimitPacerMutation, AHostThatTakesTheWholeLimitIsCaught)
{
    const ScopedMutation mutation(Mutation::WholeLimitEach);
    EXPECT_GT(mostInSpan(arrivals({})), allowedInSpan(1));
}

} // namespace fulmarlink::testing
