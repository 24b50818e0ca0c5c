#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "fulmarlink/requestfingerprint.h"

namespace fulmarlink
{

/** One life of a runner, from its start to its end. */
struct TargetLife {
    std::string id;
    std::uint64_t born = 0; ///< Unix time in milliseconds; 0: the runner does not say

    auto operator<=>(const TargetLife &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 takes the generated comparison with 0 for a pointer's
};

/** A request that was in progress at a runner that ended. */
struct CrashSuspect {
    RequestFingerprint fingerprint;
    std::string customer; ///< for operators
    std::string route; ///< for operators
    bool answering = false; ///< events of its answer had come: the runner had got past its beginning
};

enum class CrashRecordKind : std::uint8_t {
    Crash, ///< a runner ended, and these requests of one host were in progress there
    Cleared, ///< a request ended well at a runner, so these ends were not its doing
    Trial, ///< one host may run a request that is held back, once
};

/**
 * What one host tells the others about requests under which runners ended. Records are
 * only ever added, and mean the same in any order and however often they are read: no
 * host waits for another, and a write whose answer was lost is simply made again.
 */
struct CrashRecord {
    std::string name; ///< unique among all records; of a Trial: the claim, so that only one host can write it
    CrashRecordKind kind = CrashRecordKind::Crash;
    std::string host; ///< that wrote it
    std::chrono::milliseconds writtenAt{0}; ///< Unix time by that host's clock
    std::vector<TargetLife> lives; ///< of a Crash: one; of a Trial: none
    std::vector<CrashSuspect> suspects; ///< of Cleared and Trial: one
};

} // namespace fulmarlink
