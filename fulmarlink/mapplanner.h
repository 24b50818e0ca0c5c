#pragma once

#include <cstdint>
#include <span>

#include "fulmarlink/expertmap.h"
#include "fulmarlink/registry.h"

namespace fulmarlink
{

class LoadForecast;

/** Weights of a deployment's objectives, and limits of the platform. */
struct PlannerWeights {
    double skewWeight = 1; ///< value of one second of step time saved
    double costWeight = 1; ///< cost of one second of weight store transfer
    double quietFactor = 10; ///< multiplies copy costs in a quiet window
    bool quiet = false;
    double stepSeconds = 0.05; ///< duration of a step at perfect balance, over all layers
    double stepsPerInterval = 1200;
    double horizonIntervals = 10; ///< intervals over which a change is assumed to pay off
    double expertBytes = 44e6; ///< size of one expert of one layer
    double storeBytesPerSecond = 2e9; ///< bandwidth share of this group at the weight store
    double maxBytes = 1e18; ///< bytes that may be copied in this interval
    unsigned maxForecastAge = 3; ///< intervals without a report from which on a layer's map is kept
};

/** Input of one layer. */
struct LayerInput {
    const LayerMap &current;
    const LayerLoad &lastLoad; ///< load of the last interval
    const LoadForecast &forecast;
    const LayerLoad *nextLoad = nullptr; ///< actual load of the next interval; set in simulations only, for the clairvoyant planner
};

/**
 * Plans the next expert map of a group. Implementations are registered by name.
 *
 * Contract: returns one valid map (isValidLayer()) for each layer of the input, which is the current map if no change is worth its
 * cost. Pure.
 */
class MapPlanner
{
public:
    virtual ~MapPlanner() = default;
    virtual ExpertMap plan(std::span<const LayerInput> layers, const PlannerWeights &weights) = 0;
};

using MapPlannerRegistry = Registry<MapPlanner>;
using MapPlannerRegistrar = Registrar<MapPlanner>;

/** Computes a new placement: replicates the busiest experts, then assigns replicas to ranks, heaviest first. Experts that stay on a rank keep their slots. */
LayerMap packGreedily(const LayerMap &current, const LayerLoad &load);

} // namespace fulmarlink
