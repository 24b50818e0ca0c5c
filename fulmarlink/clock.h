#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace fulmarlink
{

using Duration = std::chrono::microseconds;

/** A point on one process's monotonic clock; points of two processes can't be compared. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** The random source handed to decision code; seeded by whoever owns it. */
using Random = std::mt19937_64;

/** @p value in milliseconds for a timer, at least one. */
inline std::chrono::milliseconds timerMs(Duration value)
{
    return std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(value));
}

/** Milliseconds since the Unix epoch by the machine's clock, which may be set forward or back. */
std::chrono::milliseconds unixNow();

/** Where decision code's callers take the time from: the machine's clock, or a virtual one. */
class Clock
{
public:
    virtual ~Clock() = default;
    /** Monotonic time; never goes back. */
    virtual TimePoint now() const = 0;
    /** Minutes since local midnight, 0 to 1439, for rules with a time window. */
    virtual unsigned minuteOfDay() const = 0;
};

/** The machine's clocks. */
class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    unsigned minuteOfDay() const override;
};

} // namespace fulmarlink
