#include "fulmarlink/retrybudget.h"

#include <algorithm>

namespace fulmarlink
{

void RetryBudget::countFirst()
{
    const std::lock_guard lock(m_mutex);
    m_saved = std::min(kMaxSaved, m_saved + m_share);
}

bool RetryBudget::takeRetry(double cost)
{
    const std::lock_guard lock(m_mutex);
    if (m_saved < cost) {
        return false;
    }
    m_saved -= cost;
    return true;
}

} // namespace fulmarlink
