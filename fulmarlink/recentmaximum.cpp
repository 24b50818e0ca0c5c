#include "fulmarlink/recentmaximum.h"

#include <algorithm>

namespace fulmarlink
{

void RecentMaximum::set(unsigned value, TimePoint now)
{
    m_former.push_back({m_value, now});
    m_value = value;
    // A former value matters only while it is larger than every later one.
    while (!m_former.empty() && m_former.back().value <= value) {
        m_former.pop_back();
    }
}

unsigned RecentMaximum::maximum(TimePoint now, Duration window)
{
    while (!m_former.empty() && m_former.front().until <= now - window) {
        m_former.pop_front();
    }
    return m_former.empty() ? m_value : std::max(m_value, m_former.front().value);
}

} // namespace fulmarlink
