#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "fulmarlink/clock.h"
#include "fulmarlink/runnerattempts.h"
#include "fulmarlink/targettable.h"

namespace fulmarlink
{

struct TargetConnection;

/** How the connection of an attempt ended before its answer was complete. */
enum class ConnectionEnd : std::uint8_t {
    Open, ///< this host closed it
    InOrder, ///< the runner closed it, and had read all of the request
    Reset, ///< by the runner or the network
    Failed, ///< it broke in another way
};

/** One send of an exchange's request to a runner, from the choice of the runner until its answer has been read or the connection has been closed. */
struct OpenAttempt {
    TargetInfo target;
    std::string group; ///< rank group of the target
    TimePoint began{}; ///< before the connection was opened
    TimePoint sentAt{};
    std::size_t requestBytes = 0; ///< sent
    RunnerAttempts::Token token = 0;
    std::shared_ptr<TargetConnection> connection; ///< null before the send and after the answer
    bool runnerLives = false; ///< once overdue: the runner has answered others since the send, or accepts connections
};

} // namespace fulmarlink
