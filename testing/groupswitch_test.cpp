// Checks that every pass uses one map: thousands of random simulations with delayed and lost
// orders, paused and replaced leaders, and helpers that act on stale reports. The mutation tests
// check that the simulation detects broken variants of the protocol.

#include <cstdlib>
#include <gtest/gtest.h>

#include "testing/harness/mutation_on.h"
#include "testing/harness/rankgroupsimulation.h"

namespace fulmarlink::testing
{

namespace
{

std::uint64_t simulationCount()
{
    const char *text = std::getenv("FULMARLINK_GROUP_PLAYS"); // NOLINT(concurrency-mt-unsafe): tests have one thread here
    return text == nullptr ? 6000 : std::strtoull(text, nullptr, 10);
}

RankGroupSimulationOptions options(std::uint64_t seed)
{
    RankGroupSimulationOptions result;
    result.seed = seed;
    result.ranks = 2 + seed % 3;
    return result;
}

class GroupSwitchMutation : public ::testing::TestWithParam<Mutation>
{
};

} // namespace

TEST(GroupSwitch, NoPassBeginsWithTwoMapsAndNoGroupStallsForever)
{
    std::uint64_t switches = 0;
    for (std::uint64_t seed = 1; seed <= simulationCount(); ++seed) {
        RankGroupSimulation simulation(options(seed));
        ASSERT_EQ(simulation.run(), "") << "seed " << seed;
        switches += simulation.switches();
    }
    EXPECT_GT(switches, simulationCount()); // the simulations do complete switches
}

TEST_P(GroupSwitchMutation, IsCaught)
{
    const ScopedMutation mutation(GetParam());
    for (std::uint64_t seed = 1; seed <= 6000; ++seed) {
        RankGroupSimulation simulation(options(seed));
        if (!simulation.run().empty()) {
            return;
        }
    }
    FAIL() << "not detected in 6000 simulations";
}

INSTANTIATE_TEST_SUITE_P(All, GroupSwitchMutation, ::testing::Values(Mutation::GoUnarmed, Mutation::ArmUnheld, Mutation::LetGoBesideOwner));

TEST(GroupSwitch, SwitchWithoutFaultsSendsOneOrderPerRankAndPhase)
{
    GroupSwitch groupSwitch;
    groupSwitch.begin(4, 1, 7, {});
    for (unsigned rank = 0; rank < 4; ++rank) {
        groupSwitch.recordResult(rank, OrderResult::Accepted);
    }
    EXPECT_TRUE(groupSwitch.needsReports());
    groupSwitch.assumePrepared();
    ASSERT_EQ(groupSwitch.phase(), SwitchPhase::Hold);
    EXPECT_TRUE(groupSwitch.needsPass());
    groupSwitch.holdAt(40);
    ASSERT_EQ(groupSwitch.pendingOrders().size(), 1U);
    groupSwitch.recordResult(0, OrderResult::Accepted);
    ASSERT_EQ(groupSwitch.pendingOrders().size(), 4U);
    for (unsigned rank = 0; rank < 4; ++rank) {
        EXPECT_EQ(groupSwitch.phase(), SwitchPhase::Arm);
        groupSwitch.recordResult(rank, OrderResult::Accepted);
    }
    ASSERT_EQ(groupSwitch.phase(), SwitchPhase::Release);
    groupSwitch.recordResult(0, OrderResult::Accepted);
    EXPECT_EQ(groupSwitch.phase(), SwitchPhase::Idle);
}

TEST(GroupSwitch, NewEpochAbortsTheSwitch)
{
    GroupSwitch groupSwitch;
    groupSwitch.begin(2, 1, 7, {});
    std::vector<RankReport> reports(2);
    reports[0].epoch = 2;
    reports[1].epoch = 2;
    groupSwitch.observe(reports);
    EXPECT_EQ(groupSwitch.phase(), SwitchPhase::Idle);
}

} // namespace fulmarlink::testing
