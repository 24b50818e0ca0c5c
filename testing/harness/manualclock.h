#pragma once

#include "fulmarlink/clock.h"

namespace fulmarlink::testing
{

/** Time as a test sets it. */
class ManualClock final : public Clock
{
public:
    TimePoint now() const override
    {
        return time;
    }

    unsigned minuteOfDay() const override
    {
        return 0;
    }

    TimePoint time{std::chrono::seconds(500)};
};

} // namespace fulmarlink::testing
