// The planners. Baselines: never (keeps the first map), full_greedy (a whole new
// placement each interval from the last interval's loads, the idea published as EPLB
// with DeepSeek-V3), threshold_swap (one swap a layer when the busiest rank is a fifth
// above the mean) and clairvoyant (knows the next interval; the bound).
//
// priced: the product's own. For each layer it improves the current map by single
// changes on the forecast, as long as the busiest rank gets relief, and remembers the
// net worth after each: step time saved over the horizon, less the price of the copies.
// It keeps the prefix with the highest worth, none if that is not positive, or a whole new
// placement if that is worth clearly more. What the
// forecast can't see (its own recent error) is taken off the saving first, so noise
// moves nothing. With an old forecast it leaves the layer alone.

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

constexpr double kSwapThreshold = 1.2;
constexpr unsigned kMaxChangesPerRank = 2; ///< bounds the search: changes a layer, times ranks
constexpr double kBlindShare = 0.8; ///< of a rank's noise that a gain must be above
constexpr double kRepackMargin = 1.1; ///< a new placement must be worth so much more than single changes
constexpr unsigned kMaxFruitless = 6; ///< changes in a row that don't raise the worth

/** Experts by replica, the heaviest replica first. */
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

/** Puts the experts of each rank into the slots where they were, if they were there. */
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

LayerMap searchFreely(LayerMap start, const LayerLoad &load)
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
            LayerMap packed = searchFreely(packGreedily(layer.current, load), load);
            LayerMap kept = searchFreely(layer.current, load);
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
        // A layer's share of the step, stretched by its imbalance, over the horizon.
        const double secondsPerUnit = weights.stepSeconds / static_cast<double>(layers) * weights.stepsPerInterval * weights.horizonIntervals;
        const double secondsPerCopy = weights.expertBytes / weights.storeBytesPerSecond * (weights.quiet ? weights.quietFactor : 1);
        const double blind = kBlindShare * layer.forecast.relativeError() / std::sqrt(static_cast<double>(layer.current.slotsPerRank));
        LayerMap best = layer.current;
        double bestWorth = 0;
        unsigned copies = 0;
        unsigned bestCopies = 0;
        unsigned fruitless = 0;
        for (unsigned i = 0; i < layer.current.ranks * kMaxChangesPerRank && fruitless < kMaxFruitless; ++i) {
            const auto change = search.bestChange();
            if (!change || (copies + change->copies) * weights.expertBytes > bytesLeft) {
                break;
            }
            search.apply(*change);
            copies += change->copies;
            const double gain = before - search.peak() / search.mean() - blind;
            const double worth = gain * secondsPerUnit * weights.skewWeight - copies * secondsPerCopy * weights.costWeight;
            ++fruitless;
            if (worth > bestWorth) {
                bestWorth = worth;
                best = search.map();
                bestCopies = copies;
                fruitless = 0;
            }
        }
        // A whole new placement is dear and seldom worth it; single changes get stuck where it would not.
        const LayerMap packed = packGreedily(layer.current, layer.forecast.next());
        const unsigned packedCopies = copiesBetween(layer.current, packed);
        const double packedGain = before - imbalance(packed, layer.forecast.next()) - blind;
        const double packedWorth = packedGain * secondsPerUnit * weights.skewWeight - packedCopies * secondsPerCopy * weights.costWeight;
        if (packedWorth > kRepackMargin * bestWorth && packedWorth > 0 && packedCopies * weights.expertBytes <= bytesLeft) {
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
