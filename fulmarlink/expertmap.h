#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace fulmarlink
{

/** Index of an expert within its layer. */
using ExpertId = std::uint16_t;

/**
 * Placement of the experts of one layer. Every rank has the same number of slots and each slot holds one expert.
 * Every expert has at least one slot; the load of an expert with several (replicas) is split evenly between them.
 */
struct LayerMap {
    unsigned ranks = 0;
    unsigned slotsPerRank = 0;
    std::vector<ExpertId> slots; ///< rank r has the slots [r * slotsPerRank, (r + 1) * slotsPerRank)

    std::span<const ExpertId> rank(unsigned index) const;
    bool holds(unsigned rank, ExpertId expert) const;
    bool operator==(const LayerMap &) const = default;
};

/** Placement of the experts in all layers of a group. */
using ExpertMap = std::vector<LayerMap>;

/** Tokens routed to each expert of a layer in one interval. */
using LayerLoad = std::vector<double>;

/** Assigns the experts to the slots in order; spare slots start again with the first expert. */
LayerMap initialLayer(unsigned ranks, unsigned experts, unsigned slotsPerRank);

/** Number of slots of each expert. */
std::vector<unsigned> replicaCounts(const LayerMap &map, unsigned experts);

/** Load of each rank. O(slots). */
std::vector<double> rankLoads(const LayerMap &map, const LayerLoad &load);

/** Ratio of the highest rank load to the mean; 1 is perfect balance. */
double imbalance(const LayerMap &map, const LayerLoad &load);

/** Number of expert copies that ranks must load to change from one map to the other. */
unsigned copiesBetween(const LayerMap &from, const LayerMap &to);

/** True if every expert has a slot and every slot holds a valid expert. */
bool isValidLayer(const LayerMap &map, unsigned experts);

} // namespace fulmarlink
