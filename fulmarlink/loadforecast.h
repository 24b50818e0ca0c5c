#pragma once

#include <vector>

#include "fulmarlink/expertmap.h"

namespace fulmarlink
{

/**
 * Forecasts the next interval's load of one layer's experts from the intervals before.
 *
 * Algorithm: exponential smoothing whose factor follows the evidence (Trigg and Leach,
 * "Exponential smoothing with an adaptive response rate", 1967): the factor is the
 * smoothed error over the smoothed absolute error, so steady drift or a sudden shift
 * drives it towards one and pure noise towards zero. A damped trend is added while the
 * factor is high (Holt). An expert whose recent peak is twice its expectation flips to
 * and fro and is planned for at its peak, so that either state is balanced. Loads are handled as shares of the layer's total, so a change
 * of the total is no change of popularity.
 *
 * Contract: O(experts) an observation; 40 bytes an expert.
 */
class LoadForecast
{
public:
    explicit LoadForecast(unsigned experts);

    void observe(const LayerLoad &load);
    /** An interval without a report: the forecast stays, trust in it sinks. */
    void recordMissedInterval();
    /** Shares of the layer's load, summing to one. */
    const LayerLoad &next() const;
    /** Mean relative error of the last forecasts; what a plan can't see below. */
    double relativeError() const;
    /** Intervals since the last report. */
    unsigned age() const;
    bool ready() const;

private:
    struct Series {
        double level = 0;
        double trend = 0;
        double error = 0;
        double absolute = 0;
        double recentPeak = 0; ///< decays slowly
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
