#pragma once

#include <cstdint>
#include <string>

#include "fulmarlink/clock.h"
#include "fulmarlink/nodeid.h"

namespace fulmarlink
{

/** Location of a process of this system or of a runner, as given by the host list. */
struct HostInfo {
    std::string name;
    std::string role; ///< "entry", or the pool of the runner that an agent runs beside
    std::string zone;
    std::string address; ///< IP address
    std::uint16_t port = 0; ///< for links to the process from its peers
    bool leaving = false;
};

/** Lifecycle state of a runner as an entry host sees it. */
enum class RunnerState : std::uint8_t {
    Joining, ///< listed, in slow start
    Live,
    Suspect, ///< temporarily ejected after errors, or its link is failing
    Leaving, ///< final for this incarnation
    Gone, ///< no longer on the host list
};

std::string_view runnerStateName(RunnerState state);

/** Load of a runner as last reported by its agent. */
struct RunnerLoad {
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t queuedTokens = 0;
    std::uint32_t capacity = 0; ///< requests that the engine runs concurrently; 0: unknown
    Duration latency{0}; ///< recent median time to first byte
    TimePoint reportedAt{}; ///< by the receiving entry's clock
};

} // namespace fulmarlink
