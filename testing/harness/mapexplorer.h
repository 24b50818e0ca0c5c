#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarlink::testing
{

/** How many of each fault an exploration may put in, and where it stops. */
struct ExplorerOptions {
    std::uint32_t ranks = 2;
    std::uint64_t steps = 4; ///< of the group
    std::uint64_t stepMargin = 2; ///< see CoordinatorOptions
    unsigned switches = 1;
    unsigned losses = 0;
    unsigned duplicates = 0;
    unsigned agentReplacements = 0;
    unsigned engineRestarts = 0;
    unsigned coordinatorTakeovers = 0; ///< a new one takes over; the old one goes on, believing
    unsigned resends = 1; ///< ticks of each coordinator
    std::uint64_t maxStates = 200'000;
};

struct ExplorerResult {
    std::uint64_t states = 0;
    bool complete = false; ///< every reachable state within the bounds was seen
    std::string violation; ///< empty: none
    std::vector<std::string> path; ///< that led to it
};

/** Visits every interleaving of messages, steps and faults, depth first, each state once. */
ExplorerResult exploreExhaustively(const ExplorerOptions &options);

/** Follows @p walks random interleavings. */
ExplorerResult exploreRandomWalks(const ExplorerOptions &options, unsigned walks, std::uint64_t seed);

/**
 * Runs one switch with a fault and gives the number of steps' time that the group
 * stood still, message latency being one step's time.
 */
struct StallResult {
    unsigned stalledSteps = 0;
    bool switched = false;
    bool steppingAtEnd = false; ///< the group steps at the end
};
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
StallResult measureStall(MapFault fault, std::uint32_t ranks);
std::string mapFaultName(MapFault fault);

} // namespace fulmarlink::testing
