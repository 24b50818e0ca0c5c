#include "fulmarlink/retryafterpacer.h"

#include <algorithm>

namespace fulmarlink
{

namespace
{

constexpr double kMinPerSecond = 0.01;
constexpr double kJitter = 0.1; ///< relative; spreads out callers that several hosts reject at the same time

} // namespace

Duration RetryAfterPacer::nextDelay(double perSecond, Duration soonest, TimePoint now, Random &random)
{
    const auto spacing = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / std::max(perSecond, kMinPerSecond)));
    m_last = std::min(std::max(m_last, now + soonest) + spacing, now + kMaxDelay);
    const double jitter = std::uniform_real_distribution<double>(1 - kJitter, 1 + kJitter)(random);
    return std::chrono::duration_cast<Duration>((m_last - now) * jitter);
}

} // namespace fulmarlink
