// Invariants: Pool::used is the sum of the bytes of the share's leases. A lease is in the list of its share exactly while it is
// neither complete nor evicted. The lists are ordered by the time of the last progress, so no clock is needed.

#include "fulmarlink/requestmemory.h"

#include <algorithm>
#include <utility>

#include "fulmarlink/memoryleaseowner.h"

namespace fulmarlink
{

RequestMemory::RequestMemory(RequestMemoryLimits limits)
{
    setLimits(limits);
}

void RequestMemory::setLimits(RequestMemoryLimits limits)
{
    pool(Share::SmallRequests).limit = limits.smallRequests;
    pool(Share::LargeRequests).limit = limits.largeRequests;
    pool(Share::Answers).limit = limits.answers;
}

std::size_t RequestMemory::used(Share share) const
{
    return pool(share).used;
}

std::size_t RequestMemory::limit(Share share) const
{
    return pool(share).limit;
}

std::uint64_t RequestMemory::evictions() const
{
    return m_evictions;
}

RequestMemory::Pool &RequestMemory::pool(Share share)
{
    return m_pools.at(static_cast<std::size_t>(share));
}

const RequestMemory::Pool &RequestMemory::pool(Share share) const
{
    return m_pools.at(static_cast<std::size_t>(share));
}

void RequestMemory::add(MemoryLease &lease)
{
    Leases &leases = pool(lease.m_share).incomplete;
    lease.m_position = leases.insert(leases.end(), &lease);
}

void RequestMemory::remove(MemoryLease &lease)
{
    Pool &own = pool(lease.m_share);
    if (!lease.m_complete && !lease.m_evicted) {
        own.incomplete.erase(lease.m_position);
    }
    own.used -= lease.m_bytes;
}

void RequestMemory::moveToBack(MemoryLease &lease, Share share)
{
    if (!lease.m_complete) {
        Leases &to = pool(share).incomplete;
        to.splice(to.end(), pool(lease.m_share).incomplete, lease.m_position);
    }
}

bool RequestMemory::grow(MemoryLease &lease, std::size_t bytes)
{
    if (lease.m_evicted) {
        return false;
    }
    const std::size_t total = lease.m_bytes + bytes;
    const bool becomesLarge = lease.m_share == Share::SmallRequests && total > kSmallBytes;
    const Share share = becomesLarge ? Share::LargeRequests : lease.m_share;
    const std::size_t needed = becomesLarge ? total : bytes;
    if (!makeRoom(share, needed, lease)) {
        return false;
    }
    if (becomesLarge) {
        moveToBack(lease, share);
        pool(lease.m_share).used -= lease.m_bytes;
        lease.m_share = share;
    }
    pool(share).used += needed;
    lease.m_bytes = total;
    return true;
}

bool RequestMemory::makeRoom(Share share, std::size_t bytes, const MemoryLease &requester)
{
    Pool &wanted = pool(share);
    if (bytes > wanted.limit) {
        return false;
    }
    while (wanted.used > wanted.limit - bytes) {
        if (wanted.incomplete.empty() || wanted.incomplete.front() == &requester) {
            return false;
        }
        evict(*wanted.incomplete.front());
    }
    return true;
}

void RequestMemory::evict(MemoryLease &lease)
{
    remove(lease);
    lease.m_bytes = 0;
    lease.m_evicted = true;
    ++m_evictions;
    lease.m_owner->evict();
}

MemoryLease::MemoryLease(std::shared_ptr<RequestMemory> memory, MemoryLeaseOwner &owner)
    : m_memory(std::move(memory))
    , m_owner(&owner)
{
    m_memory->add(*this);
}

MemoryLease::MemoryLease(std::shared_ptr<RequestMemory> memory)
    : m_memory(std::move(memory))
    , m_owner(nullptr)
    , m_share(Share::Answers)
    , m_complete(true)
{
}

MemoryLease::~MemoryLease()
{
    m_memory->remove(*this);
}

bool MemoryLease::grow(std::size_t bytes)
{
    const Share before = m_share;
    const bool granted = m_memory->grow(*this, bytes);
    if (m_share != before) {
        m_owner->leaseBecameLarge();
    }
    return granted;
}

void MemoryLease::shrink(std::size_t bytes)
{
    const std::size_t returned = std::min(bytes, m_bytes);
    m_memory->pool(m_share).used -= returned;
    m_bytes -= returned;
}

void MemoryLease::recordProgress(std::size_t receivedBytes)
{
    const std::size_t steps = receivedBytes / RequestMemory::kProgressBytes;
    if (steps > m_progressSteps && !m_evicted) {
        m_progressSteps = steps;
        m_memory->moveToBack(*this, m_share);
    }
}

void MemoryLease::markComplete()
{
    if (!m_complete && !m_evicted) {
        m_memory->pool(m_share).incomplete.erase(m_position);
        m_complete = true;
    }
}

bool MemoryLease::evicted() const
{
    return m_evicted;
}

std::size_t MemoryLease::bytes() const
{
    return m_bytes;
}

MemoryLease::Share MemoryLease::share() const
{
    return m_share;
}

} // namespace fulmarlink
