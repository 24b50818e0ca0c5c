#pragma once

#include <chrono>

#include "fulmarlink/crashrecord.h"

namespace fulmarlink
{

/** A backoff that a runner has asked of one host, as that host stores it for its own next start. */
struct BackoffRecord {
    TargetIncarnation incarnation;
    std::chrono::milliseconds until{0}; ///< Unix time on that host's clock
    std::chrono::milliseconds remaining{0}; ///< when it was written; bounds the backoff if the clock has been set back since
};

} // namespace fulmarlink
