// Implementations of MapPlanner.
//
// Baselines: never (keeps the current map), full_greedy (computes a new placement in each
// interval from the loads of the last one; the idea was published as EPLB with DeepSeek-V3),
// threshold_swap (one swap per layer if the busiest rank is a fifth above the mean) and
// clairvoyant (knows the loads of the next interval; the bound for the others).
//
// priced is this project's own planner. For each layer it improves the current map by single
// changes on the forecast load, as long as they relieve the busiest rank, and computes the
// net benefit after each: the step time saved over the horizon, less the cost of the
// copies. It applies the changes up to the highest net benefit, none if that is not
// positive, or a new placement if that is clearly better. The recent forecast error is
// subtracted from the saving first, so that noise causes no copies. A layer whose forecast
// is too old keeps its map.

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>

#include "fulmarlink/layersearch.h"
#include "fulmarlink/loadforecast.h"
#include "fulmarlink/mapplanner.h"

namespace fulmarlink
{

namespace
{

constexpr double kSwapThreshold = 1.2; ///< imbalance above which threshold_swap acts
constexpr unsigned kMaxChangesPerRank = 2; ///< bounds the search: changes of a layer, per rank
constexpr double kForecastErrorShare = 0.8; ///< share of the forecast error of a rank's load that is subtracted from a gain
constexpr double kRepackAdvantage = 1.1; ///< a new placement must be this much better than single changes
constexpr unsigned kMaxChangesWithoutGain = 6; ///< consecutive changes without a higher net benefit that end the search

/** Chooses replica counts that fill @p slots slots; returns one entry per replica, the replica with the highest load first. */
std::vector<ExpertId> replicasByLoad(const LayerLoad &load, std::size_t slots)
{
    std::vector<unsigned> counts(load.size(), 1);
    using Entry = std::pair<double, ExpertId>;
    std::priority_queue<Entry> heaviest;
    for (std::size_t i = 0; i < load.size(); ++i) {
        heaviest.emplace(load[i], static_cast<ExpertId>(i));
    }
    for (std::size_t used = load.size(); used < slots; ++used) {
        const ExpertId expert = heaviest.top().second;
        heaviest.pop();
        ++counts[expert];
        heaviest.emplace(load[expert] / counts[expert], expert);
    }
    std::vector<ExpertId> replicas;
    for (std::size_t i = 0; i < load.size(); ++i) {
        replicas.insert(replicas.end(), counts[i], static_cast<ExpertId>(i));
    }
    std::ranges::stable_sort(replicas, [&](ExpertId a, ExpertId b) {
        return load[a] / counts[a] > load[b] / counts[b];
    });
    return replicas;
}

/** Builds a map with the experts of @p byRank; an expert that stays on its rank keeps its slot. */
LayerMap keepInPlace(const LayerMap &current, const std::vector<std::vector<ExpertId>> &byRank)
{
    LayerMap result = current;
    for (unsigned rank = 0; rank < current.ranks; ++rank) {
        std::vector<ExpertId> wanted = byRank[rank];
        std::vector<std::size_t> free;
        for (unsigned i = 0; i < current.slotsPerRank; ++i) {
            const std::size_t slot = static_cast<std::size_t>(rank) * current.slotsPerRank + i;
            const auto it = std::ranges::find(wanted, current.slots[slot]);
            if (it == wanted.end()) {
                free.push_back(slot);
            } else {
                wanted.erase(it);
            }
        }
        for (std::size_t i = 0; i < free.size(); ++i) {
            result.slots[free[i]] = wanted[i];
        }
    }
    return result;
}

ExpertMap currentMaps(std::span<const LayerInput> layers)
{
    ExpertMap result;
    for (const LayerInput &layer : layers) {
        result.push_back(layer.current);
    }
    return result;
}

class NeverPlanner final : public MapPlanner
{
public:
    ExpertMap plan(std::span<const LayerInput> layers, const PlannerWeights & /*weights*/) override
    {
        return currentMaps(layers);
    }
};

class FullGreedyPlanner final : public MapPlanner
{
public:
    ExpertMap plan(std::span<const LayerInput> layers, const PlannerWeights & /*weights*/) override
    {
        ExpertMap result;
        for (const LayerInput &layer : layers) {
            result.push_back(packGreedily(layer.current, layer.lastLoad));
        }
        return result;
    }
};

class ThresholdSwapPlanner final : public MapPlanner
{
public:
    ExpertMap plan(std::span<const LayerInput> layers, const PlannerWeights & /*weights*/) override
    {
        ExpertMap result = currentMaps(layers);
        for (std::size_t i = 0; i < layers.size(); ++i) {
            if (imbalance(result[i], layers[i].lastLoad) > kSwapThreshold) {
                swapOnce(result[i], layers[i].lastLoad);
            }
        }
        return result;
    }

private:
    static void swapOnce(LayerMap &map, const LayerLoad &load)
    {
        const auto loads = rankLoads(map, load);
        const auto counts = replicaCounts(map, static_cast<unsigned>(load.size()));
        const auto hot = static_cast<unsigned>(std::ranges::max_element(loads) - loads.begin());
        const auto cold = static_cast<unsigned>(std::ranges::min_element(loads) - loads.begin());
        const auto share = [&](std::size_t slot) {
            return load[map.slots[slot]] / counts[map.slots[slot]];
        };
        std::size_t from = static_cast<std::size_t>(hot) * map.slotsPerRank;
        std::size_t to = static_cast<std::size_t>(cold) * map.slotsPerRank;
        const std::size_t fromEnd = from + map.slotsPerRank;
        const std::size_t toEnd = to + map.slotsPerRank;
        for (std::size_t i = from + 1; i < fromEnd; ++i) {
            from = share(i) > share(from) ? i : from;
        }
        for (std::size_t i = to + 1; i < toEnd; ++i) {
            to = share(i) < share(to) ? i : to;
        }
        std::swap(map.slots[from], map.slots[to]);
    }
};

/** Improves the map by single changes, whatever the copies cost. */
LayerMap searchWithoutCost(LayerMap start, const LayerLoad &load)
{
    LayerSearch search(std::move(start), load);
    for (unsigned i = 0; i < search.map().ranks * kMaxChangesPerRank; ++i) {
        const auto change = search.bestChange();
        if (!change) {
            break;
        }
        search.apply(*change);
    }
    return search.map();
}

class ClairvoyantPlanner final : public MapPlanner
{
public:
    ExpertMap plan(std::span<const LayerInput> layers, const PlannerWeights & /*weights*/) override
    {
        ExpertMap result;
        for (const LayerInput &layer : layers) {
            const LayerLoad &load = layer.nextLoad != nullptr ? *layer.nextLoad : layer.lastLoad;
            LayerMap packed = searchWithoutCost(packGreedily(layer.current, load), load);
            LayerMap kept = searchWithoutCost(layer.current, load);
            result.push_back(imbalance(packed, load) < imbalance(kept, load) ? packed : kept);
        }
        return result;
    }
};

class PricedPlanner final : public MapPlanner
{
public:
    ExpertMap plan(std::span<const LayerInput> layers, const PlannerWeights &weights) override
    {
        ExpertMap result;
        double bytesLeft = weights.maxBytes;
        for (const LayerInput &layer : layers) {
            const bool known = layer.forecast.ready() && layer.forecast.age() < weights.maxForecastAge;
            result.push_back(known ? planLayer(layer, weights, layers.size(), bytesLeft) : layer.current);
        }
        return result;
    }

private:
    static LayerMap planLayer(const LayerInput &layer, const PlannerWeights &weights, std::size_t layers, double &bytesLeft)
    {
        LayerSearch search(layer.current, layer.forecast.next());
        const double before = search.peak() / search.mean();
        // Step time of this layer over the horizon; it grows in proportion to the imbalance.
        const double secondsPerUnit = weights.stepSeconds / static_cast<double>(layers) * weights.stepsPerInterval * weights.horizonIntervals;
        const double secondsPerCopy = weights.expertBytes / weights.storeBytesPerSecond * (weights.quiet ? weights.quietFactor : 1);
        const double forecastError = kForecastErrorShare * layer.forecast.relativeError() / std::sqrt(static_cast<double>(layer.current.slotsPerRank));
        LayerMap best = layer.current;
        double bestBenefit = 0;
        unsigned copies = 0;
        unsigned bestCopies = 0;
        unsigned changesWithoutGain = 0;
        for (unsigned i = 0; i < layer.current.ranks * kMaxChangesPerRank && changesWithoutGain < kMaxChangesWithoutGain; ++i) {
            const auto change = search.bestChange();
            if (!change || (copies + change->copies) * weights.expertBytes > bytesLeft) {
                break;
            }
            search.apply(*change);
            copies += change->copies;
            const double gain = before - search.peak() / search.mean() - forecastError;
            const double benefit = gain * secondsPerUnit * weights.skewWeight - copies * secondsPerCopy * weights.costWeight;
            ++changesWithoutGain;
            if (benefit > bestBenefit) {
                bestBenefit = benefit;
                best = search.map();
                bestCopies = copies;
                changesWithoutGain = 0;
            }
        }
        // A new placement costs many copies and is seldom better, but single changes can end in a local optimum.
        const LayerMap packed = packGreedily(layer.current, layer.forecast.next());
        const unsigned packedCopies = copiesBetween(layer.current, packed);
        const double packedGain = before - imbalance(packed, layer.forecast.next()) - forecastError;
        const double packedBenefit = packedGain * secondsPerUnit * weights.skewWeight - packedCopies * secondsPerCopy * weights.costWeight;
        if (packedBenefit > kRepackAdvantage * bestBenefit && packedBenefit > 0 && packedCopies * weights.expertBytes <= bytesLeft) {
            best = packed;
            bestCopies = packedCopies;
        }
        bytesLeft -= bestCopies * weights.expertBytes;
        return best;
    }
};

template<typename T>
MapPlannerRegistry::Factory factory()
{
    return [] {
        return std::make_unique<T>();
    };
}

const MapPlannerRegistrar kNever("never", factory<NeverPlanner>());
const MapPlannerRegistrar kFullGreedy("full_greedy", factory<FullGreedyPlanner>());
const MapPlannerRegistrar kThresholdSwap("threshold_swap", factory<ThresholdSwapPlanner>());
const MapPlannerRegistrar kClairvoyant("clairvoyant", factory<ClairvoyantPlanner>());
const MapPlannerRegistrar kPriced("priced", factory<PricedPlanner>());

} // namespace

LayerMap packGreedily(const LayerMap &current, const LayerLoad &load)
{
    std::vector<std::vector<ExpertId>> byRank(current.ranks);
    std::vector<double> loads(current.ranks, 0);
    std::vector<unsigned> counts(load.size(), 0);
    const auto replicas = replicasByLoad(load, current.slots.size());
    for (const ExpertId expert : replicas) {
        ++counts[expert];
    }
    for (const ExpertId expert : replicas) {
        unsigned best = current.ranks;
        for (unsigned rank = 0; rank < current.ranks; ++rank) {
            const bool full = byRank[rank].size() >= current.slotsPerRank;
            if (!full && (best == current.ranks || loads[rank] < loads[best])) {
                best = rank;
            }
        }
        byRank[best].push_back(expert);
        loads[best] += load[expert] / counts[expert];
    }
    return keepInPlace(current, byRank);
}

} // namespace fulmarlink
