// Runners that say in their answers that they are leaving.
//
// Same cause as for runners that ask to back off: what a runner says of itself in its answers
// reached no decision. The list of runners tells of its leaving, but the list is late, stale or
// away at times, and the runner ends all the same. What counts is what the runner got from each
// host after it had told that host.

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
constexpr auto kDrain = 500ms; ///< in which a host that has passed on such an answer sends there no more

/** Requests that came from a host later than kDrain after the first one of it since @p from. */
std::size_t lateRequests(const std::vector<FleetArrival> &requests, GatewayFleet::Time from)
{
    std::map<unsigned, GatewayFleet::Time> told;
    std::size_t late = 0;
    for (const FleetArrival &request : requests) {
        if (request.at < from) {
            continue;
        }
        const auto [it, first] = told.try_emplace(request.gateway, request.at);
        late += !first && request.at > it->second + kDrain ? 1 : 0;
    }
    return late;
}

/** The list says all the while that the runner is ready. */
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
        fleet.run(200ms);
        EXPECT_EQ(lateRequests(fleet.requestsAt(0), from), 0U) << "of " << fleet.requestsAt(0).size();
        EXPECT_EQ(load.answered(503), 0U) << "the others had room";
    }

    GatewayFleet fleet{{.gateways = kHosts, .runners = 3}};
    FleetLoad load{fleet, kHosts, 60};
    GatewayFleet::Time from;
};

} // namespace

// Guards against requests to a runner that has told this host that it is leaving, while the list still says that it is ready.
TEST_F(LeavingRunner, GetsNoRequestFromAHostThatItHasTold)
{
    load.run(2500ms, "/once/x");
    expectNoMoreRequests();
}

// Guards against a list that is stale since the store is away, and is believed more than the runner.
TEST_F(LeavingRunner, GetsNoneWhileTheStoreIsAway)
{
    for (const auto &proxy : fleet.storeProxies) {
        proxy->setMode(ProxyMode::Refuse);
    }
    load.run(2500ms, "/once/x");
    expectNoMoreRequests();
}

// Guards against resumed streams and second sends, which choose a runner anew.
TEST_F(LeavingRunner, GetsNoResumedStreamsNorSecondSends)
{
    load.run(1500ms, "/stream/cut");
    load.run(1500ms, "/again/reset");
    expectNoMoreRequests();
}

// Guards against a refusal whose head is read for its time alone.
TEST_F(LeavingRunner, GetsNoneAfterItHasSaidSoInARefusalThatAsksToBackOffForAMoment)
{
    fleet.refuse(0, 1, "0.1");
    load.run(2500ms, "/again/x");
    expectNoMoreRequests();
}

TEST_F(LeavingRunner, GetsRequestsAgainInItsNextLifeAndNotBefore)
{
    load.run(1500ms, "/again/x");
    fleet.store.set("servers", "unrelated", 7); // a change of the list brings nobody back
    load.run(1500ms, "/again/x");
    expectNoMoreRequests();
    fleet.runner(0).leaving = false;
    fleet.crashRunner(0);
    ASSERT_TRUE(fleet.runUntilUp(3));
    fleet.run(1000ms);
    const std::size_t before = fleet.requestsAt(0).size();
    load.run(3000ms, "/again/x");
    EXPECT_GE(fleet.requestsAt(0).size() - before, 30U) << "half of its part; runners that are equally loaded are chosen by chance";
}

// Guards against a host that has sent it nothing yet, and reads its report without hearing what the answer says.
TEST(LeavingRunners, AreHeardInTheirReports)
{
    GatewayFleet fleet({.gateways = 1, .runners = 2, .group = true});
    fleet.runner(0).leaving = true;
    ASSERT_TRUE(fleet.start());
    ASSERT_TRUE(fleet.runUntil(
        [&fleet] {
            return fleet.runner(0).reports > 0;
        },
        3s));
    fleet.run(200ms);
    FleetLoad load(fleet, 1, 40);
    load.run(1500ms, "/stream/x");
    EXPECT_EQ(fleet.requestsAt(0).size(), 0U);
    EXPECT_EQ(load.answered(503), 0U);
}

TEST_F(LeavingRunner, AHostThatDoesNotHearWhatItsAnswersSayIsCaught)
{
    const ScopedMutation scoped(Mutation::IgnoreLeavingAnswer);
    load.run(2000ms, "/once/x");
    EXPECT_GT(lateRequests(fleet.requestsAt(0), from), 0U);
}

} // namespace fulmarlink::testing
