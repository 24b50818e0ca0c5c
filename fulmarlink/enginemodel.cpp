#include "fulmarlink/enginemodel.h"

#include <algorithm>

#include "fulmarlink/configuration.h"

namespace fulmarlink
{

namespace
{

/** Factor by which an imbalance lengthens a pass; only the experts' share of the time grows. */
double imbalanceFactor(const EngineSpec &engine, double imbalance)
{
    return 1 - engine.expertShare + engine.expertShare * std::max(1.0, imbalance);
}

} // namespace

Duration passDuration(const EngineSpec &engine, const PassLoad &load)
{
    const double msPerRequest = engine.perSequenceMs + engine.contextPerThousandMs * load.contextTokens / 1000;
    const double decodeMs = load.decodingRequests > 0 ? engine.stride * (engine.stepMs + msPerRequest * load.decodingRequests) : engine.stepMs;
    const double promptMs = engine.readTokensPerMs > 0 ? load.promptTokens / engine.readTokensPerMs : 0;
    const double ms = (decodeMs + promptMs) * imbalanceFactor(engine, load.imbalance);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

Duration copyDuration(const EngineSpec &engine, unsigned copies)
{
    constexpr double kMegabitsPerMegabyte = 8;
    constexpr double kMargin = 1.03; ///< allows for other traffic on the link
    const double seconds = copies * engine.expertMb * kMegabitsPerMegabyte / std::max(1.0, engine.linkMbps);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * kMargin));
}

unsigned copiesWithin(const EngineSpec &engine, Duration budget)
{
    const Duration singleCopy = std::max(Duration(1), copyDuration(engine, 1));
    return static_cast<unsigned>(std::max<Duration::rep>(1, (budget + singleCopy / 2) / singleCopy));
}

double passDurationRatio(const EngineSpec &engine, double from, double to)
{
    return imbalanceFactor(engine, to) / imbalanceFactor(engine, from);
}

} // namespace fulmarlink
