#include "fulmarlink/refusalhistory.h"

#include <algorithm>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

void RefusalHistory::refused(TimePoint now)
{
    if (mutated(Mutation::ForgetRefusals)) {
        return;
    }
    m_until = std::max(m_until, now + kFirstPause * (1U << m_level));
    m_level = std::min(m_level + 1, kMostDoublings);
}

void RefusalHistory::took()
{
    m_level -= m_level > 0 ? 1 : 0;
}

bool RefusalHistory::passedOver(TimePoint now) const
{
    return now < m_until;
}

bool RefusalHistory::doubtful() const
{
    return m_level > 0;
}

} // namespace fulmarlink
