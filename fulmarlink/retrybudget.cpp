#include "fulmarlink/retrybudget.h"

#include <algorithm>

namespace fulmarlink
{

void RetryBudget::countFirstAttempt()
{
    const std::lock_guard lock(m_mutex);
    m_balance = std::min(kMaxBalance, m_balance + m_share);
}

bool RetryBudget::takeRetry(double cost)
{
    const std::lock_guard lock(m_mutex);
    if (m_balance < cost) {
        return false;
    }
    m_balance -= cost;
    return true;
}

} // namespace fulmarlink
