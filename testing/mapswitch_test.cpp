// One map in every step: all interleavings of small groups within bounds on faults,
// random ones of larger groups, broken variants, and how long a group stands still.

#include <gtest/gtest.h>
#include <iostream>

#include "testing/harness/mapexplorer.h"
#include "testing/harness/mutation_on.h"

namespace fulmarlink::testing
{

namespace
{

struct ExploreCase {
    const char *name;
    ExplorerOptions options;
};

/** Names the case in the list of tests. */
std::ostream &operator<<(std::ostream &out, const ExploreCase &testCase)
{
    return out << testCase.name;
}

ExplorerOptions faults(std::uint32_t ranks, unsigned losses, unsigned duplicates, unsigned agents, unsigned engines, unsigned coordinators)
{
    ExplorerOptions options;
    options.ranks = ranks;
    options.losses = losses;
    options.duplicates = duplicates;
    options.agentReplacements = agents;
    options.engineRestarts = engines;
    options.coordinatorTakeovers = coordinators;
    options.resends = losses; // without losses there is nothing to send again
    return options;
}

std::string join(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += "\n  " + line;
    }
    return text;
}

class MapSwitchExploration : public ::testing::TestWithParam<ExploreCase>
{
};

TEST_P(MapSwitchExploration, EveryStepHasOneMap)
{
    const ExplorerResult result = exploreExhaustively(GetParam().options);
    std::cout << GetParam().name << ": " << result.states << " states, " << (result.complete ? "all" : "bounded") << '\n';
    EXPECT_EQ(result.violation, "") << join(result.path);
}

INSTANTIATE_TEST_SUITE_P(All,
                         MapSwitchExploration,
                         ::testing::Values(ExploreCase{"two_ranks", faults(2, 0, 0, 0, 0, 0)},
                                           ExploreCase{"two_ranks_loss", faults(2, 1, 0, 0, 0, 0)},
                                           ExploreCase{"two_ranks_duplicate", faults(2, 0, 1, 0, 0, 0)},
                                           ExploreCase{"two_ranks_agent", faults(2, 0, 0, 1, 0, 0)},
                                           ExploreCase{"two_ranks_engine", faults(2, 0, 0, 0, 1, 1)},
                                           ExploreCase{"two_ranks_coordinator", faults(2, 0, 0, 0, 0, 1)},
                                           ExploreCase{"three_ranks", faults(3, 0, 0, 0, 0, 0)},
                                           ExploreCase{"three_ranks_agent", faults(3, 0, 0, 1, 0, 0)}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

ExplorerOptions walkOptions(std::uint32_t ranks)
{
    ExplorerOptions options = faults(ranks, 3, 3, 2, 1, 2);
    options.switches = 3;
    options.steps = 8;
    options.resends = 4;
    return options;
}

TEST(MapSwitch, RandomWalksWithSeveralFaults)
{
    for (const std::uint32_t ranks : {2U, 3U, 4U}) {
        const ExplorerResult result = exploreRandomWalks(walkOptions(ranks), 3000, 5);
        std::cout << ranks << " ranks: 3000 walks, " << result.states << " states, seed 5\n";
        EXPECT_EQ(result.violation, "") << join(result.path);
    }
}

struct MutationCase {
    const char *name;
    Mutation mutation;
};

/** Names the case in the list of tests. */
std::ostream &operator<<(std::ostream &out, const MutationCase &testCase)
{
    return out << testCase.name;
}

class MapSwitchMutation : public ::testing::TestWithParam<MutationCase>
{
};

TEST_P(MapSwitchMutation, IsCaught)
{
    const ScopedMutation on(GetParam().mutation);
    for (const std::uint32_t ranks : {2U, 3U}) {
        const ExplorerResult result = exploreRandomWalks(walkOptions(ranks), 20000, 9);
        if (!result.violation.empty()) {
            std::cout << GetParam().name << " caught after " << result.states << " states: " << result.violation << '\n';
            return;
        }
    }
    FAIL() << GetParam().name << " was not caught";
}

INSTANTIATE_TEST_SUITE_P(All,
                         MapSwitchMutation,
                         ::testing::Values(MutationCase{"CommitUnarmed", Mutation::CommitUnarmed},
                                           MutationCase{"RankSkipsHold", Mutation::RankSkipsHold},
                                           MutationCase{"IgnoreFencing", Mutation::IgnoreFencing},
                                           MutationCase{"AbortArmed", Mutation::AbortArmed}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

TEST(MapSwitch, NobodyWaitsForEver)
{
    for (int i = 0; i <= static_cast<int>(MapFault::EngineRestarts); ++i) {
        const auto fault = static_cast<MapFault>(i);
        const StallResult result = measureStall(fault, 4);
        std::cout << mapFaultName(fault) << ": " << result.stalledSteps << " steps stalled, " << (result.switched ? "switched" : "not switched") << '\n';
        EXPECT_TRUE(result.steppingAtEnd) << mapFaultName(fault);
        EXPECT_LE(result.stalledSteps, 12U) << mapFaultName(fault);
    }
}

} // namespace

} // namespace fulmarlink::testing
