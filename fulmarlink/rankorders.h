#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "fulmarlink/expertmap.h"

namespace fulmarlink
{

/** Expert placement of a whole group: for each layer set and each rank, the experts that the rank holds. */
using GroupMap = std::vector<std::vector<std::vector<ExpertId>>>;

/** State that the engine of a rank reports; a few hundred milliseconds old. */
struct RankReport {
    std::uint64_t born = 0; ///< start time of the runner, Unix time in milliseconds; it changes on a restart, which loses all state; 0: not reported
    std::string group; ///< empty if the runner is in no group
    std::uint64_t epoch = 0; ///< of the group; a new one begins each time the group re-forms
    unsigned rank = 0;
    unsigned size = 0; ///< number of ranks in the group
    bool open = false; ///< the group runs passes
    std::uint64_t pass = 0; ///< the last pass that began
    std::uint64_t mapVersion = 0; ///< of the map in use
    std::uint64_t preparedVersion = 0; ///< of the map whose experts have been copied; 0: none
    std::uint64_t armedVersion = 0; ///< of the map that it will switch to at armedPass; 0: none
    std::uint64_t armedPass = 0;
    std::optional<std::uint64_t> heldPass; ///< the pass that it holds
    double slowdown = 1; ///< ratio to the engine's cost model; over 1: slower than predicted
    unsigned running = 0;
    unsigned waiting = 0;
    std::string raw; ///< the answer, for the log
    std::string problem; ///< what can't be decoded, for the log
};

struct RankReportRead {
    std::error_code error;
    RankReport report;
};

/** How often the requests of a rank have selected each expert since the runner started. */
struct ExpertCountsRead {
    std::error_code error;
    std::string problem; ///< what can't be decoded, for the log
    std::uint64_t born = 0; ///< as in RankReport; counts from different starts can't be compared
    std::uint64_t epoch = 0;
    std::uint64_t pass = 0;
    std::vector<std::vector<std::uint64_t>> counts; ///< by layer set, by expert
};

/** The part of the map in use that one rank holds. */
struct RankPlacementRead {
    std::error_code error;
    std::string problem; ///< what can't be decoded, for the log
    std::uint64_t version = 0;
    std::vector<std::vector<ExpertId>> experts; ///< by layer set
};

enum class RankOrderKind : std::uint8_t {
    Prepare, ///< copy the experts of a new map
    Arm, ///< switch to a prepared map at the start of a pass
    Hold, ///< delay the start of a pass until it is released
    Release, ///< end the hold of a pass; "go" on the wire
};

struct RankOrder {
    RankOrderKind kind = RankOrderKind::Prepare;
    std::uint64_t epoch = 0; ///< the order is refused in any other epoch
    std::uint64_t version = 0;
    std::uint64_t pass = 0;
    GroupMap map; ///< for Prepare only
};

/** The answer of a rank to an order. */
enum class OrderResult : std::uint8_t {
    Accepted, ///< started, done, or already in the requested state
    Refused, ///< invalid in the present state of the rank
    Unknown, ///< no answer; the order may still take effect, even seconds later
};

} // namespace fulmarlink
