#include "fulmarlink/enginemodel.h"

#include <algorithm>

#include "fulmarlink/configuration.h"

namespace fulmarlink
{

namespace
{

/** The part of a pass's time that imbalance stretches, and the part that it does not. */
double stretch(const EngineSpec &engine, double imbalance)
{
    return 1 - engine.expertShare + engine.expertShare * std::max(1.0, imbalance);
}

} // namespace

Duration passDuration(const EngineSpec &engine, const PassLoad &load)
{
    const double perWriter = engine.perSequenceMs + engine.contextPerThousandMs * load.contextTokens / 1000;
    const double writing = load.decodingRequests > 0 ? engine.stride * (engine.stepMs + perWriter * load.decodingRequests) : engine.stepMs;
    const double reading = engine.readTokensPerMs > 0 ? load.promptTokens / engine.readTokensPerMs : 0;
    const double ms = (writing + reading) * stretch(engine, load.imbalance);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

Duration copyDuration(const EngineSpec &engine, unsigned copies)
{
    constexpr double kMegabitsPerMegabyte = 8;
    constexpr double kMargin = 1.03; ///< of a link that is not quite free
    const double seconds = copies * engine.expertMb * kMegabitsPerMegabyte / std::max(1.0, engine.linkMbps);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * kMargin));
}

unsigned copiesWithin(const EngineSpec &engine, Duration budget)
{
    const Duration one = std::max(Duration(1), copyDuration(engine, 1));
    return static_cast<unsigned>(std::max<Duration::rep>(1, (budget + one / 2) / one));
}

double passDurationRatio(const EngineSpec &engine, double from, double to)
{
    return stretch(engine, to) / stretch(engine, from);
}

} // namespace fulmarlink
