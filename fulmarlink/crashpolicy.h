#pragma once

#include <chrono>
#include <cstddef>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/** Thresholds, periods and limits of CrashHistory; the defaults suit any deployment. */
struct CrashPolicy {
    /** Crashes that count against a request, however they came about, only if chance is unlikely to explain them. One can be a coincidence and two may be. */
    unsigned maxCrashes = 3;
    /** Crashes after which a request is banned whatever the rate at which other runners end; maxCrashes if all were before the first part of the answer. */
    unsigned crashLimit = 4;
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
    /** Crashes that do not count towards maxCrashes because the runner had answered others after the request was given up there. Towards crashLimit they do. */
    unsigned maxExcusedCrashes = 1;
    /** A request is suspected only if its crashes are less likely than this by the rate at which runners ended without it. */
    double maxChance = 1e-4;
    /** Below this chance it is refused for holdTime or banned; above it, until runners have not ended for calmTime, which makes its trial conclusive. */
    double certainChance = 1e-6;
    Duration calmTime = std::chrono::seconds(10);
    /** The rate of other ends is that from this time before each crash of a request: long enough for a few waves of ends that follow each other within a
     * second. */
    std::chrono::milliseconds backgroundTime{2000};
    /** It is that until this time after each crash: runners that ended at the same time are detected up to this much later. */
    std::chrono::milliseconds detectionTime{300};
    /** How long a runner that still had the request when another ended counts in its favour; its own end would be detected well within it. */
    std::chrono::milliseconds survivalTime{2000};
    /**
     * Survivors for each time at which runners ended under a request that clear it of suspicion, if they are as many as the runners that ended. A few
     * copies may be stuck on their way; so many at different runners within survivalTime are not.
     */
    unsigned survivorsPerTime = 2;
    /** A request that completed within this time before a crash is not at fault: equal requests of many callers are in progress on all runners at any time. */
    Duration completionWindow = std::chrono::seconds(10);
    /** Retry-After of a banned request: longer than any caller waits, shorter than an operator's shift. */
    Duration banRetryAfter = std::chrono::hours(1);
    /** How long records are kept that hold no request back; a crash that comes later counts as the first. */
    std::chrono::milliseconds retention = std::chrono::hours(1);
    /** How long records of held-back requests are kept: a ban ends a day after the last crash, or when an operator clears it. */
    std::chrono::milliseconds heldRetention = std::chrono::hours(24);
    std::size_t maxRecords = 2048; ///< some 0.5 KB each; the oldest that hold no request back are evicted first
    std::size_t maxObservedEnds = 1024; ///< ends that only this host has observed; the oldest are forgotten first
    std::size_t maxAnsweredSegments = 8192; ///< prompt segments of which it is known when they were last answered; two for each shared segment in use
    std::size_t maxCompletions = 4096; ///< recent completions: 400 a second, ten times the rate of a busy host
};

} // namespace fulmarlink
