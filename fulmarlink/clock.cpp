#include "fulmarlink/clock.h"

#include <ctime>

namespace fulmarlink
{

TimePoint SystemClock::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

unsigned SystemClock::minuteOfDay() const
{
    const std::time_t now = std::time(nullptr);
    std::tm local{};
    localtime_r(&now, &local);
    return static_cast<unsigned>(local.tm_hour * 60 + local.tm_min);
}

} // namespace fulmarlink
