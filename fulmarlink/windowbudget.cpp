#include "fulmarlink/windowbudget.h"

#include <algorithm>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

WindowBudget::WindowBudget(WindowBudgetOptions options)
    : m_options(options)
{
}

void WindowBudget::setOptions(WindowBudgetOptions options)
{
    m_options = options;
}

void WindowBudget::countRequest(TimePoint now)
{
    expire(now);
    m_requests.push_back(now);
}

RepeatAllowance WindowBudget::allowance(TimePoint now)
{
    expire(now);
    RepeatAllowance result;
    result.requests = m_requests.size();
    result.granted = m_repeats.size();
    const bool isFirstWindow = now < m_options.processStart + m_options.window && !mutated(Mutation::FullBudgetAtStart);
    if (m_options.entries > 0 && !isFirstWindow) {
        result.slackShare = kUsableShare * m_options.slack / m_options.entries;
    }
    result.allowed = kUsableShare * (m_options.ratio * static_cast<double>(m_requests.size())) + result.slackShare;
    return result;
}

bool WindowBudget::canTakeRepeat(TimePoint now)
{
    return allowance(now).permitsOneMore() || mutated(Mutation::UnboundedRepeats);
}

bool WindowBudget::takeRepeat(TimePoint now)
{
    if (!canTakeRepeat(now)) {
        return false;
    }
    m_repeats.push_back(now);
    return true;
}

void WindowBudget::expire(TimePoint now)
{
    const TimePoint oldest = now - m_options.window;
    for (auto *times : {&m_requests, &m_repeats}) {
        while (!times->empty() && times->front() <= oldest) {
            times->pop_front();
        }
    }
}

} // namespace fulmarlink
