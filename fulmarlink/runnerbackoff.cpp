#include "fulmarlink/runnerbackoff.h"

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

bool RunnerBackoff::extend(TimePoint until)
{
    if (until <= m_until && !mutated(Mutation::ShortenBackoff)) {
        return false;
    }
    m_until = until;
    m_window = 1;
    return true;
}

void RunnerBackoff::recordAccepted(TimePoint sent, unsigned slots)
{
    if (m_window == 0 || (sent < m_until && !mutated(Mutation::EndBackoffByOldAnswer))) {
        return;
    }
    if (mutated(Mutation::EndBackoffByOldAnswer)) {
        m_until = sent;
    }
    m_window = m_window >= slots ? 0 : m_window * 2;
}

bool RunnerBackoff::isBackingOff(TimePoint now) const
{
    return now < m_until;
}

bool RunnerBackoff::active() const
{
    return m_window > 0;
}

bool RunnerBackoff::maySend(unsigned inFlight, TimePoint now) const
{
    if (isBackingOff(now)) {
        return false;
    }
    return m_window == 0 || inFlight < m_window || mutated(Mutation::SkipSlowStart);
}

TimePoint RunnerBackoff::until() const
{
    return m_until;
}

} // namespace fulmarlink
