#include "fulmarlink/clock.h"

#include <ctime>

namespace fulmarlink
{

std::chrono::milliseconds unixNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

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
