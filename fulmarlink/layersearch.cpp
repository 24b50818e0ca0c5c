#include "fulmarlink/layersearch.h"

#include <algorithm>
#include <numeric>

namespace fulmarlink
{

namespace
{

constexpr double kMinGain = 1e-9; ///< ignores rounding errors
constexpr std::size_t kSwapPartnerRanks = 8; ///< number of the least loaded ranks that are considered for swaps

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
    m_rankLoads = rankLoads(m_map, m_load);
    m_holders.assign(m_load.size(), {});
    for (std::size_t i = 0; i < m_map.slots.size(); ++i) {
        m_holders[m_map.slots[i]].push_back(rankOf(i));
    }
    m_order.resize(m_map.ranks);
    std::iota(m_order.begin(), m_order.end(), 0U);
    std::ranges::sort(m_order, [this](unsigned a, unsigned b) {
        return m_rankLoads[a] > m_rankLoads[b];
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
            return m_rankLoads[rank];
        }
    }
    return 0;
}

LayerSearch::Change LayerSearch::swapped(std::size_t slot, std::size_t other) const
{
    const unsigned hot = rankOf(slot);
    const unsigned cold = rankOf(other);
    const ExpertId hotExpert = m_map.slots[slot];
    const ExpertId otherExpert = m_map.slots[other];
    const double moved = m_load[hotExpert] / m_counts[hotExpert] - m_load[otherExpert] / m_counts[otherExpert];
    const double touchedPeak = std::max(m_rankLoads[hot] - moved, m_rankLoads[cold] + moved);
    return {slot, other, false, std::max(touchedPeak, peakWithout(hot, cold)), touchedPeak, 2};
}

LayerSearch::Change LayerSearch::replicated(std::size_t slot, std::size_t other) const
{
    const unsigned hot = rankOf(slot);
    const unsigned cold = rankOf(other);
    const ExpertId hotExpert = m_map.slots[slot];
    const ExpertId otherExpert = m_map.slots[other];
    const double hotBefore = m_load[hotExpert] / m_counts[hotExpert];
    const double hotAfter = m_load[hotExpert] / (m_counts[hotExpert] + 1);
    const double evictedBefore = m_load[otherExpert] / m_counts[otherExpert];
    const double evictedAfter = m_load[otherExpert] / (m_counts[otherExpert] - 1);
    // The other ranks with hotExpert lose load and those with otherExpert gain load; the upper bound from the gains alone is enough here.
    double touchedPeak = std::max(m_rankLoads[hot] - hotBefore + hotAfter, m_rankLoads[cold] + hotAfter - evictedBefore);
    for (const unsigned rank : m_holders[otherExpert]) {
        if (rank != cold) {
            const double relief = rank == hot ? hotBefore - hotAfter : 0;
            touchedPeak = std::max(touchedPeak, m_rankLoads[rank] - relief - evictedBefore + evictedAfter);
        }
    }
    return {slot, other, true, std::max(touchedPeak, peakWithout(hot, cold)), touchedPeak, 1};
}

std::optional<LayerSearch::Change> LayerSearch::bestChange() const
{
    const unsigned hot = m_order.front();
    std::optional<Change> best;
    const std::size_t first = static_cast<std::size_t>(hot) * m_map.slotsPerRank;
    const std::size_t cold = std::min<std::size_t>(kSwapPartnerRanks, m_order.size() - 1);
    for (std::size_t slot = first; slot < first + m_map.slotsPerRank; ++slot) {
        for (std::size_t i = 1; i < m_order.size(); ++i) {
            if (!holds(m_order[i], m_map.slots[slot])) {
                considerRank(slot, m_order[i], i >= m_order.size() - cold, best);
            }
        }
    }
    return best;
}

/** Updates @p best with the changes between @p slot of the busiest rank and the slots of @p cold; swaps only if @p swaps is set. */
void LayerSearch::considerRank(std::size_t slot, unsigned cold, bool swaps, std::optional<Change> &best) const
{
    const unsigned hot = m_order.front();
    const ExpertId hotExpert = m_map.slots[slot];
    const auto consider = [&](const Change &change) {
        if (change.touchedPeak >= peak() - kMinGain) {
            return;
        }
        // Most changes leave the second busiest rank as the peak; among those the one with the lowest load on the affected ranks is best.
        if (!best || std::pair(change.peak, change.touchedPeak) < std::pair(best->peak, best->touchedPeak)) {
            best = change;
        }
    };
    const std::size_t first = static_cast<std::size_t>(cold) * m_map.slotsPerRank;
    for (std::size_t other = first; other < first + m_map.slotsPerRank; ++other) {
        const ExpertId otherExpert = m_map.slots[other];
        if (m_counts[otherExpert] > 1) {
            consider(replicated(slot, other));
        }
        if (swaps && m_load[hotExpert] / m_counts[hotExpert] > m_load[otherExpert] / m_counts[otherExpert] && !holds(hot, otherExpert)) {
            consider(swapped(slot, other));
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
    return m_rankLoads[m_order.front()];
}

double LayerSearch::mean() const
{
    return std::accumulate(m_rankLoads.begin(), m_rankLoads.end(), 0.0) / static_cast<double>(m_rankLoads.size());
}

const LayerMap &LayerSearch::map() const
{
    return m_map;
}

} // namespace fulmarlink
