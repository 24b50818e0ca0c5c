#pragma once

#include <chrono>
#include <string>

#include "fulmarlink/crashrecord.h"

namespace fulmarlink
{

/**
 * What one host tells the others of the limit that a runner has named. There is one record
 * for each life of a runner; it is written over when the limit changes and removed when it
 * has ended. Whichever host writes last is believed until the runner's next answer.
 */
struct LimitRecord {
    TargetIncarnation life;
    double perSecond = 0; ///< requests that the runner takes from all hosts together
    std::string host; ///< that wrote it
    std::chrono::milliseconds writtenAt{0}; ///< Unix time by that host's clock
};

} // namespace fulmarlink
