#pragma once

#include <optional>
#include <vector>

#include "fulmarlink/expertmap.h"

namespace fulmarlink
{

/**
 * Local search on one layer: finds the change that most relieves the busiest rank.
 *
 * A change is a swap of two slots of two ranks (two copies to load), or a slot of a
 * replicated expert that is overwritten by a replica of one on the busiest rank (one
 * copy). Invariant: rank loads and replica counts agree with the map.
 *
 * Spare replicas are looked for on all ranks, partners of a swap on the eight least
 * loaded ones. Complexity of bestChange():
 * O(slotsPerRank * slots); of apply(): O(slots + ranks log ranks).
 */
class LayerSearch
{
public:
    LayerSearch(LayerMap map, const LayerLoad &load);

    struct Change {
        std::size_t slot = 0; ///< on the busiest rank
        std::size_t other = 0;
        bool replicate = false; ///< other is overwritten by slot's expert; else the two swap
        double peak = 0; ///< of all ranks, after it
        double touchedPeak = 0; ///< the higher load of the ranks that it touches; decides between equal peaks
        unsigned copies = 0;
    };

    /** The change that gives the lowest peak, if any lowers it. */
    std::optional<Change> bestChange() const;
    void apply(const Change &change);

    double peak() const;
    double mean() const;
    const LayerMap &map() const;

private:
    Change swapped(std::size_t slot, std::size_t other) const;
    Change replicated(std::size_t slot, std::size_t other) const;
    double peakWithout(unsigned a, unsigned b) const;
    void considerRank(std::size_t slot, unsigned cold, bool swaps, std::optional<Change> &best) const;
    bool holds(unsigned rank, ExpertId expert) const;
    unsigned rankOf(std::size_t slot) const;
    void recompute();

    LayerMap m_map;
    LayerLoad m_load;
    std::vector<unsigned> m_counts;
    std::vector<std::vector<unsigned>> m_holders; ///< ranks, by expert
    std::vector<double> m_ranks;
    std::vector<unsigned> m_order; ///< ranks, busiest first
};

} // namespace fulmarlink
