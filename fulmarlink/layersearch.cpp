#include "fulmarlink/layersearch.h"

#include <algorithm>
#include <numeric>

namespace fulmarlink
{

namespace
{

constexpr double kMinGain = 1e-9;
constexpr std::size_t kColdRanks = 8; ///< of the least loaded, that may take something over

} // namespace

LayerSearch::LayerSearch(LayerMap map, const LayerLoad &load)
    : m_map(std::move(map))
    , m_load(load)
{
    recompute();
}

void LayerSearch::recompute()
{
    m_counts = replicaCounts(m_map, static_cast<unsigned>(m_load.size()));
    m_ranks = rankLoads(m_map, m_load);
    m_holders.assign(m_load.size(), {});
    for (std::size_t i = 0; i < m_map.slots.size(); ++i) {
        m_holders[m_map.slots[i]].push_back(rankOf(i));
    }
    m_order.resize(m_map.ranks);
    std::iota(m_order.begin(), m_order.end(), 0U);
    std::ranges::sort(m_order, [this](unsigned a, unsigned b) {
        return m_ranks[a] > m_ranks[b];
    });
}

bool LayerSearch::holds(unsigned rank, ExpertId expert) const
{
    const auto &holders = m_holders[expert];
    return std::ranges::find(holders, rank) != holders.end();
}

unsigned LayerSearch::rankOf(std::size_t slot) const
{
    return static_cast<unsigned>(slot / m_map.slotsPerRank);
}

double LayerSearch::peakWithout(unsigned a, unsigned b) const
{
    for (const unsigned rank : m_order) {
        if (rank != a && rank != b) {
            return m_ranks[rank];
        }
    }
    return 0;
}

LayerSearch::Change LayerSearch::swapped(std::size_t slot, std::size_t other) const
{
    const unsigned hot = rankOf(slot);
    const unsigned cold = rankOf(other);
    const ExpertId x = m_map.slots[slot];
    const ExpertId y = m_map.slots[other];
    const double moved = m_load[x] / m_counts[x] - m_load[y] / m_counts[y];
    const double touched = std::max(m_ranks[hot] - moved, m_ranks[cold] + moved);
    return {slot, other, false, std::max(touched, peakWithout(hot, cold)), touched, 2};
}

LayerSearch::Change LayerSearch::replicated(std::size_t slot, std::size_t other) const
{
    const unsigned hot = rankOf(slot);
    const unsigned cold = rankOf(other);
    const ExpertId x = m_map.slots[slot];
    const ExpertId y = m_map.slots[other];
    const double xBefore = m_load[x] / m_counts[x];
    const double xAfter = m_load[x] / (m_counts[x] + 1);
    const double yBefore = m_load[y] / m_counts[y];
    const double yAfter = m_load[y] / (m_counts[y] - 1);
    // The other holders of x are relieved and those of y burdened; a bound that counts only the burden is enough here.
    double touched = std::max(m_ranks[hot] - xBefore + xAfter, m_ranks[cold] + xAfter - yBefore);
    for (const unsigned rank : m_holders[y]) {
        if (rank != cold) {
            const double relief = rank == hot ? xBefore - xAfter : 0;
            touched = std::max(touched, m_ranks[rank] - relief - yBefore + yAfter);
        }
    }
    return {slot, other, true, std::max(touched, peakWithout(hot, cold)), touched, 1};
}

std::optional<LayerSearch::Change> LayerSearch::bestChange() const
{
    const unsigned hot = m_order.front();
    std::optional<Change> best;
    const std::size_t first = static_cast<std::size_t>(hot) * m_map.slotsPerRank;
    const std::size_t cold = std::min<std::size_t>(kColdRanks, m_order.size() - 1);
    for (std::size_t slot = first; slot < first + m_map.slotsPerRank; ++slot) {
        for (std::size_t i = 1; i < m_order.size(); ++i) {
            if (!holds(m_order[i], m_map.slots[slot])) {
                considerRank(slot, m_order[i], i >= m_order.size() - cold, best);
            }
        }
    }
    return best;
}

/** Looks for the best change between @p slot of the busiest rank and any slot of @p cold. */
void LayerSearch::considerRank(std::size_t slot, unsigned cold, bool swaps, std::optional<Change> &best) const
{
    const unsigned hot = m_order.front();
    const ExpertId x = m_map.slots[slot];
    const auto keep = [&](const Change &change) {
        if (change.touchedPeak >= peak() - kMinGain) {
            return;
        }
        // Most changes leave the second busiest rank as the peak: among those the flattest pair is best.
        if (!best || std::pair(change.peak, change.touchedPeak) < std::pair(best->peak, best->touchedPeak)) {
            best = change;
        }
    };
    const std::size_t first = static_cast<std::size_t>(cold) * m_map.slotsPerRank;
    for (std::size_t other = first; other < first + m_map.slotsPerRank; ++other) {
        const ExpertId y = m_map.slots[other];
        if (m_counts[y] > 1) {
            keep(replicated(slot, other));
        }
        if (swaps && m_load[x] / m_counts[x] > m_load[y] / m_counts[y] && !holds(hot, y)) {
            keep(swapped(slot, other));
        }
    }
}

void LayerSearch::apply(const Change &change)
{
    if (change.replicate) {
        m_map.slots[change.other] = m_map.slots[change.slot];
    } else {
        std::swap(m_map.slots[change.slot], m_map.slots[change.other]);
    }
    recompute();
}

double LayerSearch::peak() const
{
    return m_ranks[m_order.front()];
}

double LayerSearch::mean() const
{
    return std::accumulate(m_ranks.begin(), m_ranks.end(), 0.0) / static_cast<double>(m_ranks.size());
}

const LayerMap &LayerSearch::map() const
{
    return m_map;
}

} // namespace fulmarlink
