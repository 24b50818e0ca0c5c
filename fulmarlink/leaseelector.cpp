#include "fulmarlink/leaseelector.h"

#include "fulmarlink/mutation.h"
#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

namespace
{

constexpr Duration kReadInterval = std::chrono::milliseconds(600); ///< of those that wait for the lease

} // namespace

LeaseElector::LeaseElector(LeaseOptions options)
    : m_options(std::move(options))
{
}

LeaseElector::Step LeaseElector::step(TimePoint now) const
{
    if (!m_known) {
        return Step::Read;
    }
    if (m_holding) {
        return (m_slowTargets && *m_slowTargets != m_seen.slowTargets) || now - m_renewed >= m_options.renewInterval ? Step::Write : Step::Wait;
    }
    const bool own = m_seen.holder == m_options.self; // of an earlier start of this process
    const bool free = m_seen.revision == 0 || m_seen.holder.empty();
    const Duration wait = m_options.acquireDelay + (free ? Duration(0) : m_options.takeoverTimeout);
    if (now >= m_yieldedUntil && (own || now - m_seenChanged >= wait)) {
        return Step::Write;
    }
    return now - m_lastRead >= kReadInterval ? Step::Poll : Step::Wait;
}

LeaseRecord LeaseElector::nextRecord() const
{
    LeaseRecord record = m_seen;
    record.holder = m_options.self;
    ++record.renewals;
    if (m_holding && m_slowTargets && !mutated(Mutation::LoseSlowRanks)) {
        record.slowTargets = *m_slowTargets;
    }
    return record;
}

void LeaseElector::setSlowTargets(std::vector<std::string> ids)
{
    m_slowTargets = std::move(ids);
}

LeaseRecord LeaseElector::releasedRecord() const
{
    LeaseRecord record = m_seen;
    record.holder.clear();
    ++record.renewals;
    return record;
}

void LeaseElector::handleRead(const LeaseRead &read, TimePoint now)
{
    m_lastRead = now;
    if (read.error) {
        return;
    }
    if (!m_known || read.record.revision != m_seen.revision) {
        m_seenChanged = now;
    }
    m_known = true;
    m_seen = read.record;
    m_holding = m_holding && read.record.holder == m_options.self;
}

void LeaseElector::handleWrite(const LeaseRead &written, TimePoint began, TimePoint now)
{
    if (written.error) {
        m_known = false; // what the store holds must be read again: the write may have taken effect
        m_holding = m_holding && written.error != ResultCode::VersionConflict;
        return;
    }
    const bool lapsed = began - m_renewed >= m_options.leaseDuration && !mutated(Mutation::KeepTerm);
    if (!m_holding || lapsed) { // it had lapsed: somebody else may have held it meanwhile
        m_term = written.record.revision;
        m_slowTargets.reset();
    }
    m_holding = true;
    m_seen = written.record;
    m_seenChanged = now;
    m_renewed = began;
}

void LeaseElector::standDown(TimePoint until)
{
    m_holding = false;
    m_slowTargets.reset();
    m_known = false;
    m_yieldedUntil = until;
}

void LeaseElector::setAcquireDelay(Duration acquireDelay)
{
    m_options.acquireDelay = acquireDelay;
}

bool LeaseElector::holds(TimePoint now) const
{
    return m_holding && now - m_renewed < m_options.leaseDuration;
}

std::uint64_t LeaseElector::termId() const
{
    return m_term;
}

const LeaseRecord &LeaseElector::record() const
{
    return m_seen;
}

} // namespace fulmarlink
