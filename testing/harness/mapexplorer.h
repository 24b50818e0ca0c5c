#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarlink::testing
{

/** Limits of an exploration: how many faults of each kind it may inject, and when it stops. */
struct ExplorerOptions {
    std::uint32_t ranks = 2;
    std::uint64_t steps = 4; ///< steps that the group runs at most
    std::uint64_t stepMargin = 2; ///< see CoordinatorOptions
    unsigned switches = 1;
    unsigned losses = 0;
    unsigned duplicates = 0;
    unsigned agentReplacements = 0;
    unsigned engineRestarts = 0;
    unsigned coordinatorTakeovers = 0; ///< a new coordinator takes over while the old one keeps running, unaware of it
    unsigned resends = 1; ///< timer ticks of each coordinator
    std::uint64_t maxStates = 200'000;
};

struct ExplorerResult {
    std::uint64_t states = 0;
    bool complete = false; ///< every reachable state within the limits was visited
    std::string violation; ///< first violation found; empty: none
    std::vector<std::string> trace; ///< actions that led to the violation
};

/** Explores all interleavings of messages, steps and faults depth first, visiting each state once. */
ExplorerResult exploreExhaustively(const ExplorerOptions &options);

/** Runs @p walks random interleavings. */
ExplorerResult exploreRandomWalks(const ExplorerOptions &options, unsigned walks, std::uint64_t seed);

/** Result of one switch with a fault. Time is counted in steps; a message takes one step's time. */
struct StallResult {
    unsigned stalledSteps = 0; ///< steps' time in which the group did not complete a step
    bool switched = false;
    bool steppingAtEnd = false; ///< the group completed a step in the last round
};
/** Fault that measureStall() injects. */
enum class MapFault : std::uint8_t {
    None,
    LoseStage,
    LoseStaged,
    LoseArm,
    LoseArmed,
    LoseCommit,
    LoseAllCommits,
    CoordinatorReplacedWhileStaging,
    CoordinatorReplacedWhileArming,
    CoordinatorReplacedWhileCommitting,
    AgentReplacedWhileStaged,
    AgentReplacedWhileArmed,
    EngineRestarts,
};
/** Runs one switch with @p fault in a group of @p ranks ranks and measures how long the group stalls. */
StallResult measureStall(MapFault fault, std::uint32_t ranks);
std::string mapFaultName(MapFault fault);

} // namespace fulmarlink::testing
