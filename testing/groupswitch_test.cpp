// One map in every pass on the platform's engines: thousands of random plays with late and
// lost orders, paused and replaced owners and helpers with old reports; broken variants.

#include <cstdlib>
#include <gtest/gtest.h>

#include "testing/harness/mutation_on.h"
#include "testing/harness/rankgroupsimulation.h"

namespace fulmarlink::testing
{

namespace
{

std::uint64_t plays()
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

TEST(GroupSwitch, NoPassBeginsWithTwoMapsAndNoGroupStandsForEver)
{
    std::uint64_t switches = 0;
    for (std::uint64_t seed = 1; seed <= plays(); ++seed) {
        RankGroupSimulation world(options(seed));
        ASSERT_EQ(world.run(), "") << "seed " << seed;
        switches += world.switches();
    }
    EXPECT_GT(switches, plays()); // the plays get somewhere
}

TEST_P(GroupSwitchMutation, IsCaught)
{
    const ScopedMutation mutation(GetParam());
    for (std::uint64_t seed = 1; seed <= 6000; ++seed) {
        RankGroupSimulation world(options(seed));
        if (!world.run().empty()) {
            return;
        }
    }
    FAIL() << "6000 plays did not notice";
}

INSTANTIATE_TEST_SUITE_P(All, GroupSwitchMutation, ::testing::Values(Mutation::GoUnarmed, Mutation::ArmUnheld, Mutation::LetGoBesideOwner));

TEST(GroupSwitch, AQuietSwitchTakesOneOrderARankAndPhase)
{
    GroupSwitch change;
    change.begin(4, 1, 7, {});
    for (unsigned rank = 0; rank < 4; ++rank) {
        change.recordResult(rank, OrderResult::Accepted);
    }
    EXPECT_TRUE(change.needsReports());
    change.assumePrepared();
    ASSERT_EQ(change.phase(), SwitchPhase::Hold);
    EXPECT_TRUE(change.needsPass());
    change.holdAt(40);
    ASSERT_EQ(change.pendingOrders().size(), 1U);
    change.recordResult(0, OrderResult::Accepted);
    ASSERT_EQ(change.pendingOrders().size(), 4U);
    for (unsigned rank = 0; rank < 4; ++rank) {
        EXPECT_EQ(change.phase(), SwitchPhase::Arm);
        change.recordResult(rank, OrderResult::Accepted);
    }
    ASSERT_EQ(change.phase(), SwitchPhase::Release);
    change.recordResult(0, OrderResult::Accepted);
    EXPECT_EQ(change.phase(), SwitchPhase::Idle);
}

TEST(GroupSwitch, ANewEpochEndsEverything)
{
    GroupSwitch change;
    change.begin(2, 1, 7, {});
    std::vector<RankReport> reports(2);
    reports[0].epoch = 2;
    reports[1].epoch = 2;
    change.observe(reports);
    EXPECT_EQ(change.phase(), SwitchPhase::Idle);
}

} // namespace fulmarlink::testing
