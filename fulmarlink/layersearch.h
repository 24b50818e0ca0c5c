#pragma once

#include <optional>
#include <vector>

#include "fulmarlink/expertmap.h"

namespace fulmarlink
{

/**
 * Local search on one layer: finds the change that lowers the highest rank load most.
 *
 * A change either swaps two slots between ranks (two copies to load) or overwrites a slot of a replicated expert with a replica of
 * an expert on the busiest rank (one copy). Invariant: rank loads and replica counts agree with the map.
 *
 * Slots to overwrite are considered on all ranks, swaps only with the eight least loaded ones. bestChange() is
 * O(slotsPerRank * slots), apply() is O(slots + ranks log ranks).
 */
class LayerSearch
{
public:
    LayerSearch(LayerMap map, const LayerLoad &load);

    struct Change {
        std::size_t slot = 0; ///< on the busiest rank
        std::size_t other = 0;
        bool replicate = false; ///< other is overwritten with the expert of slot; otherwise the two are swapped
        double peak = 0; ///< highest load of all ranks after the change
        double touchedPeak = 0; ///< highest load of the affected ranks after the change; decides between equal peaks
        unsigned copies = 0; ///< expert copies to load
    };

    /** The change that results in the lowest peak; nothing if none relieves the busiest rank. */
    std::optional<Change> bestChange() const;
    void apply(const Change &change);

    /** Highest rank load. */
    double peak() const;
    /** Mean rank load. */
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
    std::vector<unsigned> m_counts; ///< by expert, its replicas
    std::vector<std::vector<unsigned>> m_holders; ///< by expert, the rank of each replica
    std::vector<double> m_rankLoads;
    std::vector<unsigned> m_order; ///< ranks, busiest first
};

} // namespace fulmarlink
