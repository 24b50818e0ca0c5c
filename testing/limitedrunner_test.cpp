// Runners that state in their answers how many requests per second they accept from all hosts
// together.
//
// Guards against this failure: runners with limits of 1 and 1.2 requests per second received 13
// requests in 4 s each, from five hosts that each sent no more than the limit allows a single
// host. The hosts ignored the limit; had each one kept to it on its own, the total would have
// been the same, because nothing divided the limit among them. One host that ignores the limit
// exceeds it too, and so do hosts that each use the whole of it (Mutation::WholeLimitEach).
//
// The tests check the requests that a runner receives from all hosts within any 4 s, and that
// runners are not left idle while callers are refused.

#include <algorithm>
#include <gtest/gtest.h>

#include "testing/harness/fleetload.h"
#include "testing/harness/gatewayfleet.h"
#include "testing/harness/mutation_on.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;
using Time = GatewayFleet::Time;

constexpr auto kSpan = 4000ms; ///< window over which the platform checks the limit
constexpr auto kSettle = 1000ms; ///< after the first answer that states a limit; a third of the time that the platform allows for hosts to learn it
constexpr auto kMeasured = 9000ms;
constexpr double kSpanFactor = 1.5; ///< tolerance over what the limit allows in a span; kSpanSlack is added
constexpr double kSpanSlack = 5;

double seconds(std::chrono::milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

/** The most requests that a runner with a limit may receive in any span. */
double maxInSpan(double perSecond)
{
    return perSecond * seconds(kSpan) * kSpanFactor + kSpanSlack;
}

/** The most arrivals within any span of kSpan that begins at @p from or later. */
std::size_t maxArrivalsInSpan(const std::vector<Time> &arrivals, Time from)
{
    std::size_t highest = 0;
    auto first = std::ranges::lower_bound(arrivals, from);
    for (auto last = first; last != arrivals.end(); ++last) {
        while (*last - *first >= kSpan) {
            ++first;
        }
        highest = std::max(highest, static_cast<std::size_t>(last - first) + 1);
    }
    return highest;
}

std::size_t arrivalsSince(const std::vector<Time> &arrivals, Time from)
{
    return static_cast<std::size_t>(arrivals.end() - std::ranges::lower_bound(arrivals, from));
}

struct Case {
    const char *name;
    unsigned gateways;
    const char *limit; ///< the limit as the runner sends it
    double perSecond; ///< the same limit as a number
    double demand; ///< requests per second, for all runners together
    const char *path;
    bool group;
};

void PrintTo(const Case &value, std::ostream *out) // NOLINT(readability-identifier-naming): found by GoogleTest
{
    *out << value.name;
}

std::string caseName(const ::testing::TestParamInfo<Case> &info)
{
    return info.param.name;
}

class LimitedRunner : public ::testing::TestWithParam<Case>
{
protected:
    GatewayFleetOptions options(unsigned runners) const
    {
        GatewayFleetOptions result;
        result.gateways = GetParam().gateways;
        result.runners = runners;
        result.group = GetParam().group;
        return result;
    }
};

} // namespace

TEST_P(LimitedRunner, TotalFromAllHostsStaysWithinLimit)
{
    constexpr unsigned kRunners = 3;
    GatewayFleet fleet(options(kRunners));
    ASSERT_TRUE(fleet.start());
    FleetLoad load(fleet, GetParam().gateways, GetParam().demand);
    load.run(500ms, GetParam().path);
    fleet.runner(0).limit = GetParam().limit;
    load.run(kSettle, GetParam().path);
    const Time from = std::chrono::steady_clock::now();
    load.run(kMeasured, GetParam().path);
    const auto &arrivals = fleet.arrivalTimesAt(0);
    const double allowed = GetParam().perSecond * seconds(kMeasured);
    EXPECT_LE(maxArrivalsInSpan(arrivals, from), maxInSpan(GetParam().perSecond));
    EXPECT_LE(arrivalsSince(arrivals, from), allowed * 1.1 + kSpanSlack);
    EXPECT_GE(arrivalsSince(arrivals, from), allowed * 0.6 - 2) << "the runner could have served more";
    EXPECT_EQ(load.answered(503) + load.answered(429), 0U) << "the other runners had capacity";
}

INSTANTIATE_TEST_SUITE_P(Fleet,
                         LimitedRunner,
                         ::testing::Values(Case{"OneHostOneASecond", 1, "1", 1, 30, "/stream/x", false},
                                           Case{"ThreeHostsAFewASecond", 3, "3.7", 3.7, 40, "/again/x", false},
                                           Case{"FiveHostsOneInFiveSeconds", 5, "0.2", 0.2, 30, "/stream/x", false},
                                           Case{"FiveHostsOneASecond", 5, "1", 1, 30, "/stream/x", false},
                                           Case{"FiveHostsOneASecondInGroup", 5, "1.0", 1, 30, "/stream/x", true},
                                           Case{"FiveHostsTwentyASecond", 5, "20", 20, 120, "/once/x", false},
                                           Case{"SixteenHostsOneASecond", 16, "1", 1, 40, "/once/x", false},
                                           Case{"SixteenHostsTwentyASecond", 16, "20", 20, 120, "/again/x", false}),
                         caseName);

TEST(LimitedRunners, ReceiveTheirWholeLimitUnderOverloadAndExcessIsRefused)
{
    constexpr unsigned kRunners = 4;
    constexpr unsigned kGateways = 5;
    constexpr double kPerSecond = 3;
    GatewayFleet fleet({.gateways = kGateways, .runners = kRunners});
    ASSERT_TRUE(fleet.start());
    for (unsigned i = 0; i < kRunners; ++i) {
        fleet.runner(i).limit = "3";
    }
    FleetLoad load(fleet, kGateways, 60);
    load.run(kSettle, "/once/x");
    const Time from = std::chrono::steady_clock::now();
    load.run(kMeasured, "/once/x");
    fleet.runFor(300ms);
    double received = 0;
    for (unsigned i = 0; i < kRunners; ++i) {
        EXPECT_LE(maxArrivalsInSpan(fleet.arrivalTimesAt(i), from), maxInSpan(kPerSecond));
        received += static_cast<double>(arrivalsSince(fleet.arrivalTimesAt(i), from));
    }
    EXPECT_GE(received, 0.85 * kRunners * kPerSecond * seconds(kMeasured)) << "the runners could have served more";
    for (std::size_t i = 0; i < load.answers().size(); ++i) {
        const Answer &answer = *load.answers()[i];
        ASSERT_TRUE(answer.status == 200 || answer.status == 503) << answer.status;
        EXPECT_EQ(answer.status == 200, load.ran(i));
        EXPECT_TRUE(answer.status == 200 || !answer["Retry-After"].empty());
    }
}

namespace
{

constexpr unsigned kHosts = 5;
constexpr const char *kLimited = "fulmarlink_limited_runners";

/** Five hosts and three runners; the first runner has a limit of 1 request per second, which one host has learned. */
class LimitAtOneHost : public ::testing::Test
{
public:
    void SetUp() override
    {
        ASSERT_TRUE(fleet.start());
        setLimit("1");
        ASSERT_TRUE(askUntil(0, [this] {
            return fleet.counterSum(kLimited) > 0;
        }));
    }

    void setLimit(const std::string &limit)
    {
        fleet.runner(0).limit = limit;
    }

    /** Sends requests to one host until @p condition holds or @p limit has passed. */
    template<typename Condition>
    bool askUntil(unsigned gateway, Condition condition, std::chrono::milliseconds limit = 8s)
    {
        const Time end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            fleet.ask(gateway, fleet.request("/again/x"));
        }
        return condition();
    }

    bool knownBy(unsigned hosts, std::chrono::milliseconds limit = 500ms)
    {
        return fleet.runUntil(
            [this, hosts] {
                return fleet.counterSum(kLimited) == hosts;
            },
            limit);
    }

    GatewayFleet fleet{{.gateways = kHosts, .runners = 3}};
    FleetLoad load{fleet, kHosts, 40};
};

} // namespace

TEST_F(LimitAtOneHost, ReachesAllHosts)
{
    EXPECT_TRUE(knownBy(kHosts));
}

TEST_F(LimitAtOneHost, IsLoadedByRestartedHostBeforeItsFirstRequest)
{
    ASSERT_TRUE(knownBy(kHosts));
    fleet.killGateway(1);
    fleet.startGateway(1);
    ASSERT_TRUE(fleet.runUntil(
        [this] {
            return fleet.ready(1);
        },
        6s));
    EXPECT_EQ(fleet.counterSum(kLimited), kHosts);
}

TEST_F(LimitAtOneHost, EndsOnAllHostsAfterOneAnswerWithoutLimit)
{
    ASSERT_TRUE(knownBy(kHosts));
    setLimit("");
    ASSERT_TRUE(askUntil(
        0,
        [this] {
            return fleet.counterSum(kLimited) < kHosts;
        },
        12s));
    EXPECT_TRUE(knownBy(0));
    const Time from = std::chrono::steady_clock::now();
    load.run(2000ms, "/again/x");
    EXPECT_GE(arrivalsSince(fleet.arrivalTimesAt(0), from), 15U) << "a third of the load";
}

TEST_F(LimitAtOneHost, IncreaseReachesAllHosts)
{
    ASSERT_TRUE(knownBy(kHosts));
    setLimit("8");
    load.run(6000ms, "/again/x");
    const Time from = std::chrono::steady_clock::now();
    load.run(4000ms, "/again/x");
    EXPECT_GE(arrivalsSince(fleet.arrivalTimesAt(0), from), 20U);
    EXPECT_LE(arrivalsSince(fleet.arrivalTimesAt(0), from), maxInSpan(8));
}

TEST_F(LimitAtOneHost, AppliesToOneIncarnationOfTheRunner)
{
    ASSERT_TRUE(knownBy(kHosts));
    setLimit("");
    fleet.crashRunner(0);
    ASSERT_TRUE(fleet.runUntilRunning(3));
    fleet.runFor(1000ms);
    const Time from = std::chrono::steady_clock::now();
    load.run(2000ms, "/again/x");
    EXPECT_GE(arrivalsSince(fleet.arrivalTimesAt(0), from), 15U);
}

TEST_F(LimitAtOneHost, IgnoresMalformedValues)
{
    ASSERT_TRUE(knownBy(kHosts));
    for (const std::string bad : {"many", "-3", "nan"}) {
        setLimit(bad);
        const Time from = std::chrono::steady_clock::now();
        load.run(2000ms, "/again/x");
        EXPECT_LE(arrivalsSince(fleet.arrivalTimesAt(0), from), maxInSpan(1)) << bad;
        EXPECT_EQ(fleet.counterSum(kLimited), kHosts) << bad;
    }
    EXPECT_GE(fleet.counterSum("fulmarlink_malformed_limits_total"), 1U);
}

TEST_F(LimitAtOneHost, HoldsDuringStoreOutageAsDoesANewLimit)
{
    ASSERT_TRUE(knownBy(kHosts));
    load.run(2000ms, "/again/x"); // lets the hosts learn of each other
    for (const auto &proxy : fleet.storeProxies) {
        proxy->setMode(ProxyMode::Refuse);
    }
    fleet.runner(1).limit = "1";
    load.run(kSettle, "/again/x");
    const Time from = std::chrono::steady_clock::now();
    load.run(3000ms, "/again/x");
    EXPECT_LE(arrivalsSince(fleet.arrivalTimesAt(0), from), maxInSpan(1));
    EXPECT_LE(arrivalsSince(fleet.arrivalTimesAt(1), from), maxInSpan(1));
}

TEST(LimitedRunners, RetriesAndResumedStreamsStayWithinLimits)
{
    constexpr unsigned kRunners = 4;
    constexpr double kPerSecond = 3;
    GatewayFleet fleet({.gateways = kHosts, .runners = kRunners});
    ASSERT_TRUE(fleet.start());
    for (unsigned i = 0; i < kRunners; ++i) {
        fleet.runner(i).limit = "3";
    }
    FleetLoad load(fleet, kHosts, 40);
    load.run(kSettle, "/stream/cut");
    const Time from = std::chrono::steady_clock::now();
    load.run(4000ms, "/stream/cut");
    load.run(4000ms, "/again/reset");
    for (unsigned i = 0; i < kRunners; ++i) {
        EXPECT_LE(maxArrivalsInSpan(fleet.arrivalTimesAt(i), from), maxInSpan(kPerSecond));
    }
    EXPECT_GE(fleet.counterSum("fulmarlink_results_total{code=\"136\",name=\"runners-limited\"}"), 1U);
}

TEST(LimitedRunners, RefuseCallersAtOnceWithIncreasingRetryAfter)
{
    GatewayFleet fleet({.gateways = 1, .runners = 2});
    ASSERT_TRUE(fleet.start());
    fleet.runner(0).limit = "1";
    fleet.runner(1).limit = "1";
    fleet.runFor(2000ms); // lets the host learn that it is the only one
    std::vector<double> retryAfter;
    for (unsigned i = 0; i < 14; ++i) {
        const Time sent = std::chrono::steady_clock::now();
        const Answer answer = fleet.ask(0, fleet.request("/once/x"));
        if (answer.status == 503) {
            EXPECT_LT(std::chrono::steady_clock::now() - sent, 200ms);
            EXPECT_EQ(answer["Fulmarlink-Result"], "136 runners-limited");
            retryAfter.push_back(std::stod(answer["Retry-After"]));
        }
    }
    ASSERT_GE(retryAfter.size(), 8U);
    EXPECT_GT(retryAfter.back() - retryAfter.front(), 2) << "two requests can run in each second";
}

TEST(LimitedRunnerMutation, DetectsHostsThatIgnoreLimitsOrEachUseTheWholeLimit)
{
    for (const Mutation mutation : {Mutation::IgnoreLimits, Mutation::WholeLimitEach}) {
        const ScopedMutation scoped(mutation);
        GatewayFleet fleet({.gateways = kHosts, .runners = 2});
        ASSERT_TRUE(fleet.start());
        fleet.runner(0).limit = "2";
        FleetLoad load(fleet, kHosts, 60);
        load.run(kSettle, "/once/x");
        const Time from = std::chrono::steady_clock::now();
        load.run(4500ms, "/once/x");
        EXPECT_GT(maxArrivalsInSpan(fleet.arrivalTimesAt(0), from), maxInSpan(2));
    }
}

} // namespace fulmarlink::testing
