#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarlink/requestfingerprint.h"

namespace fulmarlink
{

/** One run of a runner's process, from its start to its end; a restart makes a new one. */
struct TargetIncarnation {
    std::string id;
    std::uint64_t born = 0; ///< start time, Unix time in milliseconds; 0: the runner does not report it

    auto operator<=>(
        const TargetIncarnation &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the generated comparison with 0 for a pointer's
};

/** What had become of an attempt by the time at which its runner was found to have ended. */
enum class SuspectState : std::uint8_t {
    InProgress,
    Lost, ///< the runner or the network had closed its connection
    GivenUp, ///< this host had closed its connection: no answer in time, or bytes that are not an answer
    Survived, ///< given up, and the runner had answered others since
};

std::string_view suspectStateName(SuspectState state);

/** A request that was in progress at a runner when it ended. */
struct CrashSuspect {
    RequestFingerprint fingerprint;
    std::string customer; ///< for operators
    std::string route; ///< for operators
    bool answerStarted = false; ///< parts of its answer had been received, or may have been: counts towards a ban only
    bool unanswered = false; ///< no part of its answer was received, though the runner may not have begun it
    bool unlikely = false; ///< the runner had answered others after this host had given the request up
    bool unread = false; ///< its connection was reset, which tells that the runner had not read it if runners of the pool close others in order
    bool closedInOrder = false; ///< its connection was closed in order, so the runner had read it
    SuspectState state = SuspectState::InProgress; ///< for this host's log; not part of the record
    std::chrono::milliseconds exposure{0}; ///< how long the runner had the request before it ended; 0: unknown, as in records of earlier versions
    std::vector<TargetIncarnation> survivors{}; ///< other runners that had the request at least as long and had not ended
    std::vector<std::string> segments{}; ///< ids of the segments of its prompt that other requests may share
};

enum class CrashRecordKind : std::uint8_t {
    Crash, ///< a runner ended while these requests of one host were in progress there
    Cleared, ///< a request has completed, so it did not cause these crashes
    Trial, ///< one host's claim to run a request that is held back, once
};

/**
 * A record that hosts share about requests in progress when runners ended. Records are never
 * changed, and applying them is commutative and idempotent: no host waits for another, and
 * a write whose answer was lost is repeated.
 */
struct CrashRecord {
    std::string name; ///< unique among all records; a Trial's is the same on all hosts, so that only one of them can write it
    CrashRecordKind kind = CrashRecordKind::Crash;
    std::string host; ///< the writer
    std::chrono::milliseconds writtenAt{0}; ///< Unix time by that host's clock
    std::string pool; ///< Crash: of the runner; empty: unknown, as in records of earlier versions
    std::vector<TargetIncarnation> incarnations; ///< Crash: one; Trial: none
    std::vector<CrashSuspect> suspects; ///< Cleared and Trial: one
    /** Cleared: how long before writtenAt the writer had last seen the request answered; empty: it was cleared for another reason. */
    std::optional<std::chrono::milliseconds> completionAge{};
};

/** Lists for log lines, separated by commas: the fingerprints, what had become of each attempt, the runners and their starts. */
std::string textOf(std::span<const CrashSuspect> suspects);
std::string statesOf(std::span<const CrashSuspect> suspects);
/** The shared segments of each suspect's prompt, joined by '+'. */
std::string segmentsOf(std::span<const CrashSuspect> suspects);
std::string textOf(std::span<const TargetIncarnation> incarnations);

} // namespace fulmarlink
