#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "fulmarlink/expertmap.h"

namespace fulmarlink
{

/** The experts of a whole group: by set of layers, by rank, the experts that the rank holds. */
using GroupMap = std::vector<std::vector<std::vector<ExpertId>>>;

/** What a rank's engine says of itself; some hundred milliseconds old. */
struct RankReport {
    std::uint64_t born = 0; ///< when the runner started, Unix time in milliseconds; another value: it knows nothing of before; 0: not said
    std::string group; ///< empty: the runner is in no group
    std::uint64_t epoch = 0; ///< of the group; a new one begins whenever it has formed again
    unsigned rank = 0;
    unsigned size = 0; ///< ranks of the group
    bool open = false; ///< the group makes passes
    std::uint64_t pass = 0; ///< the last pass that was begun
    std::uint64_t map = 0; ///< version of the map in use
    std::uint64_t prepared = 0; ///< version whose experts have been copied; 0: none
    std::uint64_t armed = 0; ///< version that it will switch to; 0: none
    std::uint64_t armedPass = 0;
    std::optional<std::uint64_t> heldPass; ///< the pass that it holds back
    double slowdown = 1; ///< over 1: the engine is slower than its cost model says
    unsigned running = 0;
    unsigned waiting = 0;
    std::string raw; ///< for the log, when something in it could not be understood
};

struct RankReportRead {
    std::error_code error;
    RankReport report;
};

/** How often a rank's requests chose each expert since it started. */
struct ExpertCountsRead {
    std::error_code error;
    std::uint64_t born = 0; ///< as in RankReport; counts of two starts can't be compared
    std::uint64_t epoch = 0;
    std::uint64_t pass = 0;
    std::vector<std::vector<std::uint64_t>> counts; ///< by set, by expert
};

/** A rank's own part of the map in use. */
struct RankPlacementRead {
    std::error_code error;
    std::uint64_t version = 0;
    std::vector<std::vector<ExpertId>> experts; ///< by set
};

enum class RankOrderKind : std::uint8_t {
    Prepare, ///< copy the experts of a new map
    Arm, ///< switch to a prepared map as a pass begins
    Hold, ///< the group does not begin a pass until it is told to go on
    Release,
};

struct RankOrder {
    RankOrderKind kind = RankOrderKind::Prepare;
    std::uint64_t epoch = 0; ///< refused in another
    std::uint64_t version = 0;
    std::uint64_t pass = 0;
    GroupMap map; ///< of Prepare
};

/** What a rank answered to an order. */
enum class OrderResult : std::uint8_t {
    Accepted, ///< it has begun, is done, or the state already holds
    Refused, ///< it does not fit the rank's state
    Unknown, ///< no answer; it may be carried out, even seconds later
};

} // namespace fulmarlink
