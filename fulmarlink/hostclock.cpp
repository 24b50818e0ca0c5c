#include "fulmarlink/hostclock.h"

#include <ctime>

namespace fulmarlink
{

TimePoint HostClock::now() const
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec)));
}

unsigned HostClock::minuteOfDay() const
{
    return SystemClock().minuteOfDay();
}

} // namespace fulmarlink
