#include "fulmarlink/latencyhistogram.h"

#include <array>
#include <string>

namespace fulmarlink
{

namespace
{

/** Upper bounds in milliseconds: the objectives in use (100 to 500 ms) lie between two of them. */
constexpr auto kBounds = std::to_array<unsigned>({5, 10, 20, 40, 80, 120, 160, 240, 350, 500, 800, 1500, 3000, 8000});

} // namespace

LatencyHistogram::LatencyHistogram(Counters &counters, std::string_view name)
    : m_counters(counters)
    , m_infinite(counters.registerCounter(std::string(name) + "_bucket{le=\"+Inf\"}"))
    , m_sum(counters.registerCounter(std::string(name) + "_sum"))
    , m_count(counters.registerCounter(std::string(name) + "_count"))
{
    for (const unsigned bound : kBounds) {
        const std::string label = std::string(name) + "_bucket{le=\"" + std::to_string(bound) + "\"}";
        m_buckets.push_back({std::chrono::milliseconds(bound), counters.registerCounter(label)});
    }
}

void LatencyHistogram::observe(Duration value)
{
    for (const Bucket &bucket : m_buckets) {
        if (value > bucket.upTo) {
            continue;
        }
        m_counters.add(bucket.id);
    }
    m_counters.add(m_infinite);
    m_counters.add(m_sum, static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()));
    m_counters.add(m_count);
}

} // namespace fulmarlink
