#pragma once

#include <vector>

#include "fulmarlink/expertmap.h"

namespace fulmarlink
{

/**
 * Forecasts the load of one layer's experts in the next interval from the loads of past intervals.
 *
 * Algorithm: exponential smoothing with an adaptive factor (Trigg and Leach, "Exponential smoothing
 * with an adaptive response rate", 1967). The factor follows the ratio of the smoothed error to the
 * smoothed absolute error, so steady drift or a sudden shift drives it towards one and pure noise
 * towards zero. A damped trend (Holt) is added while the factor is high. An expert whose recent peak
 * exceeds kVolatileRatio times its expected load alternates between two states; its peak is
 * forecast, so that the plan is balanced in either state. Loads are handled as shares of the layer's
 * total, so a change of the total does not change the forecast.
 *
 * Contract: observe() is O(experts); memory is 40 bytes an expert.
 */
class LoadForecast
{
public:
    explicit LoadForecast(unsigned experts);

    void observe(const LayerLoad &load);
    /** Records an interval without a report: the forecast stays unchanged and its age grows. */
    void recordMissedInterval();
    /** The forecast shares of the layer's load; they sum to one. */
    const LayerLoad &next() const;
    /** Smoothed relative error of recent forecasts; a plan can't resolve differences smaller than this. */
    double relativeError() const;
    /** Intervals since the last report. */
    unsigned age() const;
    bool ready() const;

private:
    struct Series {
        double level = 0;
        double trend = 0;
        double error = 0; ///< smoothed, signed
        double absoluteError = 0; ///< smoothed
        double recentPeak = 0; ///< highest recent share; decays by kPeakDecay an interval
    };

    void update(Series &series, double value) const;
    void refresh();

    std::vector<Series> m_series;
    LayerLoad m_next;
    double m_relativeError = 0;
    unsigned m_age = 0;
    unsigned m_seen = 0;
};

} // namespace fulmarlink
