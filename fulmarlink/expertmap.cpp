#include "fulmarlink/expertmap.h"

#include <algorithm>
#include <numeric>

namespace fulmarlink
{

std::span<const ExpertId> LayerMap::rank(unsigned index) const
{
    return std::span(slots).subspan(static_cast<std::size_t>(index) * slotsPerRank, slotsPerRank);
}

bool LayerMap::holds(unsigned rankIndex, ExpertId expert) const
{
    const auto held = rank(rankIndex);
    return std::ranges::find(held, expert) != held.end();
}

LayerMap initialLayer(unsigned ranks, unsigned experts, unsigned slotsPerRank)
{
    LayerMap map;
    map.ranks = ranks;
    map.slotsPerRank = slotsPerRank;
    const std::size_t total = static_cast<std::size_t>(ranks) * slotsPerRank;
    for (std::size_t i = 0; i < total; ++i) {
        map.slots.push_back(static_cast<ExpertId>(i % experts));
    }
    return map;
}

std::vector<unsigned> replicaCounts(const LayerMap &map, unsigned experts)
{
    std::vector<unsigned> counts(experts, 0);
    for (const ExpertId expert : map.slots) {
        ++counts[expert];
    }
    return counts;
}

std::vector<double> rankLoads(const LayerMap &map, const LayerLoad &load)
{
    const auto counts = replicaCounts(map, static_cast<unsigned>(load.size()));
    std::vector<double> loads(map.ranks, 0);
    for (std::size_t i = 0; i < map.slots.size(); ++i) {
        const ExpertId expert = map.slots[i];
        loads[i / map.slotsPerRank] += load[expert] / counts[expert];
    }
    return loads;
}

double imbalance(const LayerMap &map, const LayerLoad &load)
{
    const auto loads = rankLoads(map, load);
    const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
    return sum <= 0 ? 1.0 : std::ranges::max(loads) * static_cast<double>(loads.size()) / sum;
}

unsigned copiesBetween(const LayerMap &from, const LayerMap &to)
{
    unsigned copies = 0;
    for (unsigned rank = 0; rank < to.ranks; ++rank) {
        std::vector<ExpertId> before(from.rank(rank).begin(), from.rank(rank).end());
        for (const ExpertId expert : to.rank(rank)) {
            const auto it = std::ranges::find(before, expert);
            if (it == before.end()) {
                ++copies;
            } else {
                before.erase(it);
            }
        }
    }
    return copies;
}

bool isValidLayer(const LayerMap &map, unsigned experts)
{
    const bool known = std::ranges::all_of(map.slots, [experts](ExpertId expert) {
        return expert < experts;
    });
    return known && map.slots.size() == static_cast<std::size_t>(map.ranks) * map.slotsPerRank
           && std::ranges::all_of(replicaCounts(map, experts), [](unsigned count) {
                  return count > 0;
              });
}

} // namespace fulmarlink
