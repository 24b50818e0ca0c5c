#pragma once

#include <cstdint>
#include <string>

#include "fulmarlink/clock.h"
#include "fulmarlink/nodeid.h"

namespace fulmarlink
{

/** Where a process of ours or a runner is, as the host list says. */
struct HostInfo {
    std::string name;
    std::string role; ///< "entry", or the pool of the runner beside an agent
    std::string zone;
    std::string address; ///< IP number
    std::uint16_t port = 0; ///< of our process's links
    bool leaving = false;
};

/** A runner's life as an entry host sees it. */
enum class RunnerState : std::uint8_t {
    Joining, ///< listed, in slow start
    Live,
    Suspect, ///< ejected for a while after errors, or its link fails
    Leaving, ///< sticky for an incarnation
    Gone, ///< dropped from the host list
};

std::string_view runnerStateName(RunnerState state);

/** A runner's load as its agent last reported it. */
struct RunnerLoad {
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t queuedTokens = 0;
    std::uint32_t capacity = 0; ///< requests that the engine runs at once; 0: not known
    Duration latency{0}; ///< recent median time to first byte
    TimePoint reportedAt{}; ///< on the receiving entry's clock
};

} // namespace fulmarlink
