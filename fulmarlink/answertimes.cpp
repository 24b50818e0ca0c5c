#include "fulmarlink/answertimes.h"

#include <algorithm>
#include <vector>

namespace fulmarlink
{

namespace
{

constexpr std::size_t kForgetDivisor = 16; ///< 1/16 is forgotten at a time, so that the search for the oldest is rare

} // namespace

AnswerTimes::AnswerTimes(std::size_t maxSegments)
    : m_maxSegments(maxSegments)
{
}

void AnswerTimes::record(const RequestFingerprint &segment, TimePoint now)
{
    m_times[segment] = now;
    if (m_times.size() > m_maxSegments) {
        forgetOldest();
    }
}

std::optional<TimePoint> AnswerTimes::last(const RequestFingerprint &segment) const
{
    const auto it = m_times.find(segment);
    return it == m_times.end() ? std::nullopt : std::optional(it->second);
}

std::size_t AnswerTimes::size() const
{
    return m_times.size();
}

void AnswerTimes::forgetOldest()
{
    std::vector<TimePoint> times;
    times.reserve(m_times.size());
    for (const auto &[segment, time] : m_times) {
        times.push_back(time);
    }
    const auto bound = times.begin() + static_cast<std::ptrdiff_t>(times.size() / kForgetDivisor);
    std::ranges::nth_element(times, bound);
    std::erase_if(m_times, [latest = *bound](const auto &entry) {
        return entry.second <= latest;
    });
}

} // namespace fulmarlink
