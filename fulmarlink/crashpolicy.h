#pragma once

#include <chrono>
#include <cstddef>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/** Figures of CrashHistory; the defaults are for any deployment. */
struct CrashPolicy {
    /** Runners that a request may end before it reaches no more. One is chance and two may be; the platform allows no fourth. */
    unsigned mostCrashes = 3;
    /**
     * Runners that ended before they gave the first part of its answer, after which it is held back. A request that crashes
     * runners does so as it begins; one that happened to be on two ending runners had mostly begun to be answered at one of them.
     */
    unsigned heldAfter = 2;
    /**
     * Until one try of a request that is held back. If it is to blame the try costs another runner, and its rank group all streams for 3 to 8 s, so it
     * shall be at most 3 in 100 of the time; if it is not, its caller has long given up, and only words that come again and again gain by it.
     */
    Duration holdFor = std::chrono::minutes(5);
    /** A request that ended well so shortly before a runner ended is not to blame: the same words of many callers are in progress everywhere, always. */
    Duration wellFor = std::chrono::seconds(10);
    /** Callers are told to come back then. Longer than any caller waits, shorter than an operator's shift. */
    Duration bannedRetry = std::chrono::hours(1);
    /** Records that hold nothing back; a repeat that comes later begins anew. */
    std::chrono::milliseconds keep = std::chrono::hours(1);
    /** Records of requests that are held back: a ban ends a day after the last runner's end, or when an operator clears it. */
    std::chrono::milliseconds keepHeld = std::chrono::hours(24);
    std::size_t maxRecords = 2048; ///< some 0.5 KB each; the oldest that hold nothing back go first
    std::size_t maxWell = 4096; ///< requests that ended well lately: 400 a second, ten times a busy host's
};

} // namespace fulmarlink
