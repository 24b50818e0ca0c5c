#pragma once

#include "fulmarlink/clock.h"

namespace fulmarlink
{

struct EngineSpec;

/** Work of the ranks of a group in one pass. */
struct PassLoad {
    double decodingRequests = 0; ///< requests per rank that generate tokens
    double promptTokens = 0; ///< prompt tokens per rank
    double contextTokens = 0; ///< mean context length of a decoding request
    double imbalance = 1; ///< ratio of the busiest rank's expert tokens to the mean, averaged over the sets
};

/**
 * Duration of a pass according to the engine's cost model.
 *
 * A pass has EngineSpec::stride steps. Each step takes a fixed time plus a time per decoding request, which grows with its context.
 * Processing prompt tokens adds to this. The experts' share of the total is multiplied by the imbalance, as all ranks wait for the
 * busiest one.
 *
 * Pure.
 */
Duration passDuration(const EngineSpec &engine, const PassLoad &load);

/** Time that a rank takes to copy @p copies experts, one after the other. */
Duration copyDuration(const EngineSpec &engine, unsigned copies);

/** Number of experts that can be copied in @p budget, rounded to the nearest integer; at least one. */
unsigned copiesWithin(const EngineSpec &engine, Duration budget);

/** Ratio of the pass durations at the imbalances @p to and @p from, for the same work. */
double passDurationRatio(const EngineSpec &engine, double from, double to);

} // namespace fulmarlink
