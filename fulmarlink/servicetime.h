#pragma once

#include <optional>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/** How long a pool's runners take for one request, as a moving mean of the newest ones. Not thread-safe. */
class ServiceTime
{
public:
    static constexpr Duration kInitialEstimate = std::chrono::milliseconds(100); ///< assumed before the first one has ended
    static constexpr int kMeanWindow = 16; ///< requests that the mean reaches back

    void record(Duration time)
    {
        m_mean = m_mean ? *m_mean + (time - *m_mean) / kMeanWindow : time;
    }

    Duration mean() const
    {
        return m_mean.value_or(kInitialEstimate);
    }

private:
    std::optional<Duration> m_mean;
};

} // namespace fulmarlink
