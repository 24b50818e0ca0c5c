#pragma once

#include <chrono>
#include <cstddef>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/** Thresholds, periods and limits of CrashHistory; the defaults suit any deployment. */
struct CrashPolicy {
    /** Crashes after which a request is banned. One can be a coincidence and two may be; the platform allows a request no fourth. */
    unsigned maxCrashes = 3;
    /**
     * Crashes before the first part of the answer after which a request is held back. A request that crashes runners does so as
     * it begins; one that happened to be on two runners that ended had usually begun to be answered at one of them.
     */
    unsigned holdAfterCrashes = 2;
    /**
     * Time until one trial of a request that is held back. A trial of a request at fault costs another runner, and its rank group all streams for
     * 3 to 8 s, which must be at most 3 % of the time. For a request not at fault, its caller has given up long before, and only requests that are
     * repeated again and again gain by an earlier trial.
     */
    Duration holdTime = std::chrono::minutes(5);
    /**
     * Two runners that end within this time, by the clocks of the hosts that detect it, may have ended for one reason. Long enough for the probes
     * of a runner that seems to have ended, short against the time in which a caller repeats a request.
     */
    std::chrono::milliseconds waveWindow{300};
    /** Other runners that end within waveWindow and explain an end whatever was in progress there: hardly so many requests crash runners at once. */
    unsigned waveSize = 3;
    /**
     * Crashes after the answer had started that may be explained without the request. Bounds the additional runners of a request that crashes them
     * late in its answer, or after its host has given it up.
     */
    unsigned maxExplainedCrashes = 1;
    /** A request that completed within this time before a crash is not at fault: equal requests of many callers are in progress on all runners at any time. */
    Duration completionWindow = std::chrono::seconds(10);
    /** Retry-After of a banned request: longer than any caller waits, shorter than an operator's shift. */
    Duration banRetryAfter = std::chrono::hours(1);
    /** How long records are kept that hold no request back; a crash that comes later counts as the first. */
    std::chrono::milliseconds retention = std::chrono::hours(1);
    /** How long records of held-back requests are kept: a ban ends a day after the last crash, or when an operator clears it. */
    std::chrono::milliseconds heldRetention = std::chrono::hours(24);
    std::size_t maxRecords = 2048; ///< some 0.5 KB each; the oldest that hold no request back are evicted first
    std::size_t maxCompletions = 4096; ///< recent completions: 400 a second, ten times the rate of a busy host
};

} // namespace fulmarlink
