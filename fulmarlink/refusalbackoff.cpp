#include "fulmarlink/refusalbackoff.h"

#include <algorithm>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

void RefusalBackoff::recordRefusal(TimePoint now)
{
    if (mutated(Mutation::ForgetRefusals)) {
        return;
    }
    m_until = std::max(m_until, now + kInitialDelay * (1U << m_level));
    m_level = std::min(m_level + 1, kMaxDoublings);
}

void RefusalBackoff::recordAccepted()
{
    m_level -= m_level > 0 ? 1 : 0;
}

bool RefusalBackoff::isBackingOff(TimePoint now) const
{
    return now < m_until;
}

bool RefusalBackoff::hasRecentRefusals() const
{
    return m_level > 0;
}

} // namespace fulmarlink
