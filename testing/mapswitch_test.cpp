// All ranks of a group must run each step on the same expert map. The tests explore all
// interleavings of small groups with a limited number of faults and random interleavings of
// larger groups, check that seeded bugs in the protocol are detected, and measure how long
// a group stalls after each kind of fault.

#include <gtest/gtest.h>
#include <iostream>

#include "testing/harness/mapexplorer.h"
#include "testing/harness/mutation_on.h"

namespace fulmarlink::testing
{

namespace
{

struct ExplorationCase {
    const char *name;
    ExplorerOptions options;
};

/** Prints the name of the case in the list of tests. */
std::ostream &operator<<(std::ostream &out, const ExplorationCase &testCase)
{
    return out << testCase.name;
}

ExplorerOptions faultLimits(std::uint32_t ranks, unsigned losses, unsigned duplicates, unsigned agents, unsigned engines, unsigned coordinators)
{
    ExplorerOptions options;
    options.ranks = ranks;
    options.losses = losses;
    options.duplicates = duplicates;
    options.agentReplacements = agents;
    options.engineRestarts = engines;
    options.coordinatorTakeovers = coordinators;
    options.resends = losses; // a resend matters only if messages can be lost
    return options;
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += "\n  " + line;
    }
    return text;
}

class MapSwitchExploration : public ::testing::TestWithParam<ExplorationCase>
{
};

TEST_P(MapSwitchExploration, AllRanksRunEachStepOnTheSameMap)
{
    const ExplorerResult result = exploreExhaustively(GetParam().options);
    std::cout << GetParam().name << ": " << result.states << " states, " << (result.complete ? "all" : "bounded") << '\n';
    EXPECT_EQ(result.violation, "") << joinLines(result.trace);
}

INSTANTIATE_TEST_SUITE_P(All,
                         MapSwitchExploration,
                         ::testing::Values(ExplorationCase{"two_ranks", faultLimits(2, 0, 0, 0, 0, 0)},
                                           ExplorationCase{"two_ranks_loss", faultLimits(2, 1, 0, 0, 0, 0)},
                                           ExplorationCase{"two_ranks_duplicate", faultLimits(2, 0, 1, 0, 0, 0)},
                                           ExplorationCase{"two_ranks_agent", faultLimits(2, 0, 0, 1, 0, 0)},
                                           ExplorationCase{"two_ranks_engine", faultLimits(2, 0, 0, 0, 1, 1)},
                                           ExplorationCase{"two_ranks_coordinator", faultLimits(2, 0, 0, 0, 0, 1)},
                                           ExplorationCase{"three_ranks", faultLimits(3, 0, 0, 0, 0, 0)},
                                           ExplorationCase{"three_ranks_agent", faultLimits(3, 0, 0, 1, 0, 0)}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

ExplorerOptions randomWalkOptions(std::uint32_t ranks)
{
    ExplorerOptions options = faultLimits(ranks, 3, 3, 2, 1, 2);
    options.switches = 3;
    options.steps = 8;
    options.resends = 4;
    return options;
}

TEST(MapSwitch, RandomWalksWithSeveralFaultsNeverMixMaps)
{
    for (const std::uint32_t ranks : {2U, 3U, 4U}) {
        const ExplorerResult result = exploreRandomWalks(randomWalkOptions(ranks), 3000, 5);
        std::cout << ranks << " ranks: 3000 walks, " << result.states << " states, seed 5\n";
        EXPECT_EQ(result.violation, "") << joinLines(result.trace);
    }
}

struct MutationCase {
    const char *name;
    Mutation mutation;
};

/** Prints the name of the case in the list of tests. */
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
        const ExplorerResult result = exploreRandomWalks(randomWalkOptions(ranks), 20000, 9);
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

TEST(MapSwitch, GroupResumesSteppingAfterEveryFault)
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
