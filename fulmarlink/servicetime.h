#pragma once

#include <optional>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/** Exponential moving average of the time that a pool's runners take for one request. Not thread-safe. */
class ServiceTime
{
public:
    static constexpr Duration kInitialEstimate = std::chrono::milliseconds(100); ///< used until the first request has ended
    static constexpr int kMeanWindow = 16; ///< requests; each one has a weight of 1 / kMeanWindow

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
