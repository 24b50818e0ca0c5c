#pragma once

namespace fulmarlink
{

/** How often runners ended under a request, and how often others did in the same period. */
struct CrashComparison {
    unsigned crashes = 0; ///< runners that ended with the request in progress
    double exposure = 0; ///< seconds for which it had been in progress there, summed; 0: unknown
    unsigned otherEnds = 0; ///< runners that ended without it
    double runnerSeconds = 0; ///< number of runners times the length of the period in seconds; 0: unknown
};

/**
 * Returns the probability that at least as many runners end under a request that crashes none, if runners end at the rate at which they did
 * without it. 0 if that rate is not known or is zero: then nothing speaks for chance. Pure.
 */
double chanceOfCrashes(const CrashComparison &comparison);

} // namespace fulmarlink
