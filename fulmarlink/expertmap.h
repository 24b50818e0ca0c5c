#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace fulmarlink
{

/** An expert of one layer. */
using ExpertId = std::uint16_t;

/**
 * Where the experts of one layer are: each rank has the same number of slots, each slot
 * holds one expert, every expert has at least one slot and may have several (replicas
 * share its load evenly).
 */
struct LayerMap {
    unsigned ranks = 0;
    unsigned slotsPerRank = 0;
    std::vector<ExpertId> slots; ///< of rank r: [r * slotsPerRank, (r + 1) * slotsPerRank)

    std::span<const ExpertId> rank(unsigned index) const;
    bool holds(unsigned rank, ExpertId expert) const;
    bool operator==(const LayerMap &) const = default;
};

/** One map: all layers of a group. */
using ExpertMap = std::vector<LayerMap>;

/** Tokens of one interval for each expert of a layer. */
using LayerLoad = std::vector<double>;

/** Experts in order over the ranks, the spare slots filled from the first expert on. */
LayerMap initialLayer(unsigned ranks, unsigned experts, unsigned slotsPerRank);

std::vector<unsigned> replicaCounts(const LayerMap &map, unsigned experts);

/** The load of each rank. O(slots). */
std::vector<double> rankLoads(const LayerMap &map, const LayerLoad &load);

/** Slowest rank over mean rank; 1 is perfect. */
double imbalance(const LayerMap &map, const LayerLoad &load);

/** Expert copies that ranks must load to go from one map to the other. */
unsigned copiesBetween(const LayerMap &from, const LayerMap &to);

/** True if every expert has a slot and every slot a valid expert. */
bool isValidLayer(const LayerMap &map, unsigned experts);

} // namespace fulmarlink
