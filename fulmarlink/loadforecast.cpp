#include "fulmarlink/loadforecast.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fulmarlink
{

namespace
{

constexpr double kErrorSmoothing = 0.2;
constexpr double kNoiseMargin = 1.8;
constexpr double kLeastFactor = 0.05;
constexpr double kMostFactor = 0.95;
constexpr double kTrendFactor = 0.2;
constexpr double kTrendDamping = 0.7;
constexpr double kTrendFrom = 0.5; ///< the factor above which a trend is believed
constexpr double kVolatile = 2.5; ///< recent peak over expectation
constexpr double kPeakDecay = 0.95; ///< an interval
constexpr unsigned kReadyAfter = 3; ///< observations

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
    series.absolute += kErrorSmoothing * (std::abs(error) - series.absolute);
    const double signal = series.absolute > 0 ? std::abs(series.error) / series.absolute : 0;
    // Noise alone has a signal around sqrt(smoothing / (2 - smoothing)): only what is well above speaks of drift.
    const double noiseSignal = kNoiseMargin * std::sqrt(kErrorSmoothing / (2 - kErrorSmoothing));
    const double factor = std::clamp((signal - noiseSignal) / (1 - noiseSignal), kLeastFactor, kMostFactor);
    const double before = series.level;
    series.level += factor * error;
    series.trend += kTrendFactor * ((series.level - before) - series.trend);
    if (factor < kTrendFrom) {
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
        // One that jumps to and fro is planned for as busy as it lately was.
        const double expected = std::max(0.0, series.level + kTrendDamping * series.trend);
        m_next[i] = series.recentPeak > kVolatile * expected ? series.recentPeak : expected;
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
    return m_seen >= kReadyAfter;
}

} // namespace fulmarlink
