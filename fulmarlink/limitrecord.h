#pragma once

#include <chrono>
#include <string>

#include "fulmarlink/crashrecord.h"

namespace fulmarlink
{

/**
 * Record in the shared store by which one host tells the others a runner's limit. There is
 * one record for each incarnation of a runner; it is overwritten when the limit changes and removed
 * when the limit ends. The last write counts until the runner's next answer.
 */
struct LimitRecord {
    TargetIncarnation incarnation;
    double perSecond = 0; ///< requests that the runner accepts from all hosts together
    std::string host; ///< the host that wrote the record
    std::chrono::milliseconds writtenAt{0}; ///< Unix time on that host's clock
};

} // namespace fulmarlink
