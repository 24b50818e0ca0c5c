// Invariant: earnedRatio() + 2 * windowRatio() = kRatioShare * ratio, and the parts of the slack over all entries add
// up to kSlackShare + kEarnedShare.
//
// Why the bound holds for a window that begins at s: what is granted of m_earned was earned within the window, or
// before it and kept, which is at most maxEarned(). The other repeats are bounded at the last of them, at t, by the
// requests from t - window to t, all of which are later than s - window. A process starts with nothing, and uses the
// slack only when all that earlier processes granted has left the window.

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

/** 0 where so many entries share the slack that none could keep a whole repeat. */
double WindowBudget::maxEarned() const
{
    const double share = m_options.entries == 0 ? 0 : kEarnedShare * m_options.slack / m_options.entries;
    return share >= 1 ? share : 0;
}

double WindowBudget::earnedRatio() const
{
    return maxEarned() > 0 ? kRatioShare * m_options.ratio / 2 : 0;
}

double WindowBudget::windowRatio() const
{
    return (kRatioShare * m_options.ratio - earnedRatio()) / (mutated(Mutation::CountOneWindow) ? 1 : 2);
}

double WindowBudget::slackShare(TimePoint now) const
{
    const bool isFirstWindow = now < m_options.processStart + m_options.window && !mutated(Mutation::FullBudgetAtStart);
    if (m_options.entries == 0 || isFirstWindow) {
        return 0;
    }
    return kSlackShare * m_options.slack / m_options.entries;
}

void WindowBudget::countRequest(TimePoint now)
{
    expire(now);
    m_requests.push_back(now);
    m_earned = std::min(m_earned + earnedRatio(), maxEarned());
}

RepeatAllowance WindowBudget::allowance(TimePoint now)
{
    expire(now);
    RepeatAllowance result;
    result.earned = m_earned;
    result.requests = m_requests.size();
    result.granted = m_repeats.size();
    result.slackShare = slackShare(now);
    result.allowed = windowRatio() * static_cast<double>(m_requests.size()) + result.slackShare;
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
    if (m_earned >= 1) {
        m_earned -= 1;
    } else {
        m_repeats.push_back(now);
    }
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
