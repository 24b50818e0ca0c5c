#include "fulmarlink/leaseelector.h"

#include "fulmarlink/mutation.h"
#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

namespace
{

constexpr Duration kPollInterval = std::chrono::milliseconds(600); ///< of hosts that wait for the lease

} // namespace

LeaseElector::LeaseElector(LeaseOptions options)
    : m_options(std::move(options))
{
}

LeaseElector::Step LeaseElector::step(TimePoint now) const
{
    if (!m_recordKnown) {
        return Step::Read;
    }
    if (m_holding) {
        return (m_slowTargets && *m_slowTargets != m_record.slowTargets) || now - m_renewedAt >= m_options.renewInterval ? Step::Write : Step::Wait;
    }
    const bool heldBySelf = m_record.holder == m_options.self; // from before a restart of this process
    const bool free = m_record.revision == 0 || m_record.holder.empty();
    const Duration wait = m_options.acquireDelay + (free ? Duration(0) : m_options.takeoverTimeout);
    if (now >= m_standDownUntil && (heldBySelf || now - m_recordChangedAt >= wait)) {
        return Step::Write;
    }
    return now - m_lastReadAt >= kPollInterval ? Step::Poll : Step::Wait;
}

LeaseRecord LeaseElector::nextRecord() const
{
    LeaseRecord record = m_record;
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
    LeaseRecord record = m_record;
    record.holder.clear();
    ++record.renewals;
    return record;
}

void LeaseElector::handleRead(const LeaseRead &read, TimePoint now)
{
    m_lastReadAt = now;
    if (read.error) {
        return;
    }
    if (!m_recordKnown || read.record.revision != m_record.revision) {
        m_recordChangedAt = now;
    }
    m_recordKnown = true;
    m_record = read.record;
    m_holding = m_holding && read.record.holder == m_options.self;
}

void LeaseElector::handleWrite(const LeaseRead &written, TimePoint sentAt, TimePoint now)
{
    if (written.error) {
        m_recordKnown = false; // the write may have taken effect, so the stored record must be read again
        m_holding = m_holding && written.error != ResultCode::VersionConflict;
        return;
    }
    const bool lapsed = sentAt - m_renewedAt >= m_options.leaseDuration && !mutated(Mutation::KeepTerm);
    if (!m_holding || lapsed) { // after an expiry another host may have held the lease
        m_termId = written.record.revision;
        m_slowTargets.reset();
    }
    m_holding = true;
    m_record = written.record;
    m_recordChangedAt = now;
    m_renewedAt = sentAt;
}

void LeaseElector::standDown(TimePoint until)
{
    m_holding = false;
    m_slowTargets.reset();
    m_recordKnown = false;
    m_standDownUntil = until;
}

void LeaseElector::setAcquireDelay(Duration acquireDelay)
{
    m_options.acquireDelay = acquireDelay;
}

bool LeaseElector::holds(TimePoint now) const
{
    return m_holding && now - m_renewedAt < m_options.leaseDuration;
}

std::uint64_t LeaseElector::termId() const
{
    return m_termId;
}

const LeaseRecord &LeaseElector::record() const
{
    return m_record;
}

} // namespace fulmarlink
