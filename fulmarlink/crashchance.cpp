// Runners that end for reasons of their own are taken as a Poisson process whose rate per runner is
// estimated from the ends without the request. Under a request that was in progress for a given time,
// the number of ends is then Poisson distributed as well, and the result is the tail of that distribution.

#include "fulmarlink/crashchance.h"

#include <algorithm>
#include <cmath>

namespace fulmarlink
{

namespace
{

constexpr double kNegligible = 1e-12; ///< relative size of a term at which the sum ends
constexpr double kMaxMean = 100; ///< above it as many ends as judged here are certain, and exp() would reach zero

/** P(X >= @p least) for a Poisson distributed X; summed from the first term, since 1 - P(X < least) loses small results to rounding. */
double poissonTail(unsigned least, double mean)
{
    if (mean > kMaxMean && least < kMaxMean / 2) {
        return 1;
    }
    double term = std::exp(-mean);
    for (unsigned i = 1; i <= least; ++i) {
        term *= mean / i;
    }
    double sum = term;
    for (unsigned i = least + 1; term > sum * kNegligible || i < mean; ++i) {
        term *= mean / i;
        sum += term;
    }
    return std::min(sum, 1.0);
}

} // namespace

double chanceOfCrashes(const CrashComparison &comparison)
{
    if (comparison.crashes == 0) {
        return 1;
    }
    if (comparison.otherEnds == 0 || comparison.runnerSeconds <= 0 || comparison.exposure <= 0) {
        return 0;
    }
    const double rate = comparison.otherEnds / comparison.runnerSeconds;
    return poissonTail(comparison.crashes, rate * comparison.exposure);
}

} // namespace fulmarlink
