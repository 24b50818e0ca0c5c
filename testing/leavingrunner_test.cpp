// Runners that report in their answers that they are leaving.
//
// Guards against runner selection that uses nothing of what a runner reports in its answers, which is
// also how backoffs were ignored. The list of runners shows that a runner is leaving, but may be late,
// stale or unavailable, and the runner shuts down regardless. The tests measure the requests that the
// runner got from each host after it had informed that host.

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

#include "testing/harness/fleetload.h"
#include "testing/harness/gatewayfleet.h"
#include "testing/harness/mutation_on.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned kHosts = 3;
constexpr auto kInTransit = 500ms; ///< allowance for requests in transit when a host relays the first answer that says so

/** Number of requests that arrived more than kInTransit after the first one from the same host since @p from. */
std::size_t lateRequests(const std::vector<FleetArrival> &requests, GatewayFleet::Time from)
{
    std::map<unsigned, GatewayFleet::Time> firstArrivals;
    std::size_t late = 0;
    for (const FleetArrival &request : requests) {
        if (request.at < from) {
            continue;
        }
        const auto [it, first] = firstArrivals.try_emplace(request.gateway, request.at);
        late += !first && request.at > it->second + kInTransit ? 1 : 0;
    }
    return late;
}

/** The list of runners shows the runner as ready throughout. */
class LeavingRunner : public ::testing::Test
{
public:
    void SetUp() override
    {
        ASSERT_TRUE(fleet.start());
        load.run(500ms, "/again/x");
        fleet.runner(0).leaving = true;
        from = std::chrono::steady_clock::now();
    }

    void expectNoMoreRequests()
    {
        fleet.runFor(200ms);
        EXPECT_EQ(lateRequests(fleet.requestsAt(0), from), 0U) << "of " << fleet.requestsAt(0).size();
        EXPECT_EQ(load.answered(503), 0U) << "the other runners had capacity";
    }

    GatewayFleet fleet{{.gateways = kHosts, .runners = 3}};
    FleetLoad load{fleet, kHosts, 60};
    GatewayFleet::Time from;
};

} // namespace

// Guards against sending to a runner that has told this host it is leaving while the list still shows it as ready.
TEST_F(LeavingRunner, GetsNoRequestsFromAHostItHasInformed)
{
    load.run(2500ms, "/once/x");
    expectNoMoreRequests();
}

// Guards against trusting a list that is stale because the store is unreachable over the runner's own answer.
TEST_F(LeavingRunner, GetsNoRequestsWhileTheStoreIsUnreachable)
{
    for (const auto &proxy : fleet.storeProxies) {
        proxy->setMode(ProxyMode::Refuse);
    }
    load.run(2500ms, "/once/x");
    expectNoMoreRequests();
}

// Guards against resumed streams and second sends, which select a runner again, choosing the leaving one.
TEST_F(LeavingRunner, GetsNoResumedStreamsOrSecondSends)
{
    load.run(1500ms, "/stream/cut");
    load.run(1500ms, "/again/reset");
    expectNoMoreRequests();
}

// Guards against reading only Retry-After from the head of a refusal and missing that the runner is leaving.
TEST_F(LeavingRunner, GetsNoRequestsAfterReportingItInARefusalWithAShortBackoff)
{
    fleet.setRefusals(0, 1, "0.1");
    load.run(2500ms, "/again/x");
    expectNoMoreRequests();
}

TEST_F(LeavingRunner, GetsRequestsAgainOnlyInItsNextIncarnation)
{
    load.run(1500ms, "/again/x");
    fleet.store.set("servers", "unrelated", 7); // a change of the list must not make the runner usable again
    load.run(1500ms, "/again/x");
    expectNoMoreRequests();
    fleet.runner(0).leaving = false;
    fleet.crashRunner(0);
    ASSERT_TRUE(fleet.runUntilRunning(3));
    fleet.runFor(1000ms);
    const std::size_t before = fleet.requestsAt(0).size();
    load.run(3000ms, "/again/x");
    EXPECT_GE(fleet.requestsAt(0).size() - before, 30U) << "half of its share; ties in load are broken at random";
}

// Guards against a host that has sent the runner no request yet and ignores the leaving signal on its report.
TEST(LeavingRunners, AreRecognizedByTheirReports)
{
    GatewayFleet fleet({.gateways = 1, .runners = 2, .group = true});
    fleet.runner(0).leaving = true;
    ASSERT_TRUE(fleet.start());
    ASSERT_TRUE(fleet.runUntil(
        [&fleet] {
            return fleet.runner(0).reportReads > 0;
        },
        3s));
    fleet.runFor(200ms);
    FleetLoad load(fleet, 1, 40);
    load.run(1500ms, "/stream/x");
    EXPECT_EQ(fleet.requestsAt(0).size(), 0U);
    EXPECT_EQ(load.answered(503), 0U);
}

TEST_F(LeavingRunner, HostThatIgnoresLeavingAnswersIsDetected)
{
    const ScopedMutation scoped(Mutation::IgnoreLeavingAnswer);
    load.run(2000ms, "/once/x");
    EXPECT_GT(lateRequests(fleet.requestsAt(0), from), 0U);
}

} // namespace fulmarlink::testing
