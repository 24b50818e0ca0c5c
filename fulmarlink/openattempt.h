#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "fulmarlink/clock.h"
#include "fulmarlink/runnerattempts.h"
#include "fulmarlink/targettable.h"

namespace fulmarlink
{

struct TargetConnection;

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
