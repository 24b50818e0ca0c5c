#pragma once

#include <cstdint>
#include <span>

#include "fulmarlink/expertmap.h"
#include "fulmarlink/registry.h"

namespace fulmarlink
{

class LoadForecast;

/** What a deployment weighs, and what the platform allows. */
struct PlannerWeights {
    double skewWeight = 1; ///< worth of a second of step time saved
    double costWeight = 1; ///< worth of a second of the weight store's budget
    double quietFactor = 10; ///< costs count so many times in a quiet window
    bool quiet = false;
    double stepSeconds = 0.05; ///< of a step at perfect balance, over all layers
    double stepsPerInterval = 1200;
    double horizonIntervals = 10; ///< how long a move is taken to pay
    double expertBytes = 44e6; ///< of one expert of one layer
    double storeBytesPerSecond = 2e9; ///< this group's share of the weight store
    double maxBytes = 1e18; ///< that may be moved in this interval
    unsigned maxForecastAge = 3; ///< intervals without a report before a layer is left alone
};

/** One layer's input. */
struct LayerInput {
    const LayerMap &current;
    const LayerLoad &lastLoad; ///< the last interval's load
    const LoadForecast &forecast;
    const LayerLoad *nextLoad = nullptr; ///< the next interval's true load; only for the bound
};

/**
 * Plans the next map of a group. Planners are plug-ins by name.
 *
 * Contract: gives one map for each layer of the input, each valid (isValidLayer()); a
 * planner that finds nothing worth its price gives the current one. Pure.
 */
class MapPlanner
{
public:
    virtual ~MapPlanner() = default;
    virtual ExpertMap plan(std::span<const LayerInput> layers, const PlannerWeights &weights) = 0;
};

using MapPlannerRegistry = Registry<MapPlanner>;
using MapPlannerRegistrar = Registrar<MapPlanner>;

/** Full greedy placement: replicate the busiest, then pack the largest first. The slots of each rank are kept in place where its experts stay. */
LayerMap packGreedily(const LayerMap &current, const LayerLoad &load);

} // namespace fulmarlink
