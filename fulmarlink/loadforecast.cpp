#include "fulmarlink/loadforecast.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fulmarlink
{

namespace
{

constexpr double kErrorSmoothing = 0.2;
constexpr double kNoiseSignalMargin = 1.8;
constexpr double kMinFactor = 0.05;
constexpr double kMaxFactor = 0.95;
constexpr double kTrendFactor = 0.2;
constexpr double kTrendDamping = 0.7;
constexpr double kTrendMinFactor = 0.5; ///< below this factor the trend is damped
constexpr double kVolatileRatio = 2.5; ///< recent peak over expected share, above which the peak is forecast
constexpr double kPeakDecay = 0.95; ///< factor an interval
constexpr unsigned kMinObservations = 3; ///< before the forecast is used

} // namespace

LoadForecast::LoadForecast(unsigned experts)
    : m_series(experts)
    , m_next(experts, 1.0 / experts)
{
}

void LoadForecast::update(Series &series, double value) const
{
    if (m_seen == 0) {
        series.level = value;
        series.recentPeak = value;
        return;
    }
    series.recentPeak = std::max(value, kPeakDecay * series.recentPeak);
    const double error = value - series.level;
    series.error += kErrorSmoothing * (error - series.error);
    series.absoluteError += kErrorSmoothing * (std::abs(error) - series.absoluteError);
    const double signal = series.absoluteError > 0 ? std::abs(series.error) / series.absoluteError : 0;
    // Pure noise gives a signal of about sqrt(smoothing / (2 - smoothing)); only a signal well above that indicates drift.
    const double noiseSignal = kNoiseSignalMargin * std::sqrt(kErrorSmoothing / (2 - kErrorSmoothing));
    const double factor = std::clamp((signal - noiseSignal) / (1 - noiseSignal), kMinFactor, kMaxFactor);
    const double previousLevel = series.level;
    series.level += factor * error;
    series.trend += kTrendFactor * ((series.level - previousLevel) - series.trend);
    if (factor < kTrendMinFactor) {
        series.trend *= kTrendDamping;
    }
}

void LoadForecast::observe(const LayerLoad &load)
{
    const double sum = std::accumulate(load.begin(), load.end(), 0.0);
    if (sum <= 0) {
        recordMissedInterval();
        return;
    }
    double error = 0;
    for (std::size_t i = 0; i < m_series.size(); ++i) {
        const double share = load[i] / sum;
        error += std::abs(share - m_next[i]);
        update(m_series[i], share);
    }
    m_relativeError += m_seen == 0 ? 0 : kErrorSmoothing * (error - m_relativeError);
    ++m_seen;
    m_age = 0;
    refresh();
}

void LoadForecast::refresh()
{
    double sum = 0;
    for (std::size_t i = 0; i < m_series.size(); ++i) {
        const Series &series = m_series[i];
        // A share that alternates between two states is forecast at its recent peak.
        const double expected = std::max(0.0, series.level + kTrendDamping * series.trend);
        m_next[i] = series.recentPeak > kVolatileRatio * expected ? series.recentPeak : expected;
        sum += m_next[i];
    }
    for (double &share : m_next) {
        share /= sum > 0 ? sum : 1;
    }
}

void LoadForecast::recordMissedInterval()
{
    ++m_age;
}

const LayerLoad &LoadForecast::next() const
{
    return m_next;
}

double LoadForecast::relativeError() const
{
    return m_relativeError;
}

unsigned LoadForecast::age() const
{
    return m_age;
}

bool LoadForecast::ready() const
{
    return m_seen >= kMinObservations;
}

} // namespace fulmarlink
