#pragma once

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/**
 * Time that goes on while the host is suspended (CLOCK_BOOTTIME). The age of a proof
 * or a lease is only true on this clock: the steady clock stands still meanwhile, and
 * the time of day jumps.
 */
class HostClock final : public Clock
{
public:
    TimePoint now() const override;
    unsigned minuteOfDay() const override;
};

} // namespace fulmarlink
