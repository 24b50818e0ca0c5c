#pragma once

#include "fulmarlink/clock.h"

namespace fulmarlink
{

struct EngineSpec;

/** What the ranks of a group have to do in one pass. */
struct PassLoad {
    double decodingRequests = 0; ///< requests of a rank that produce tokens
    double promptTokens = 0; ///< that a rank reads
    double contextTokens = 0; ///< of a writer, on average
    double imbalance = 1; ///< tokens of the busiest rank's experts over the mean, averaged over the sets
};

/**
 * The length of a pass by the engine's own figures.
 *
 * A pass makes stride steps; each takes a fixed time, a time for each writer and one for its
 * context. Prompts are read meanwhile. A share of all this falls to the experts, and there
 * the busiest rank keeps the others waiting.
 *
 * Pure.
 */
Duration passDuration(const EngineSpec &engine, const PassLoad &load);

/** How long a rank copies @p copies experts that are new to it, one after the other. */
Duration copyDuration(const EngineSpec &engine, unsigned copies);

/** Experts whose copies take about @p budget, to the nearest; at least one. */
unsigned copiesWithin(const EngineSpec &engine, Duration budget);

/** How many times longer a pass becomes when the imbalance goes from @p from to @p to with the same work. */
double passDurationRatio(const EngineSpec &engine, double from, double to);

} // namespace fulmarlink
