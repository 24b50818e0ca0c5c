#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>

#include "fulmarlink/memorylease.h"

namespace fulmarlink
{

/** Limits of RequestMemory, in bytes. */
struct RequestMemoryLimits {
    std::size_t smallRequests = 12U << 20; ///< of all requests up to RequestMemory::kSmallBytes together
    std::size_t largeRequests = 25U << 20; ///< of all larger requests together
    std::size_t answers = 25U << 20; ///< of all answers together
};

/**
 * Bounds the memory that a process holds for all callers' requests and answers together.
 *
 * They take memory through a MemoryLease as their bytes arrive. Small requests, large requests and answers draw on separate
 * shares, so that large requests, or callers that don't read their answers, can't keep small requests out. If a requests' share
 * is used up, incomplete requests are evicted in the order of their last progress, so that senders that stop before the end of
 * their request go before those that continue. A requester that would itself be next gets no room. Nothing ever waits for room;
 * an answer without room is passed on as it arrives.
 *
 * Not thread-safe.
 */
class RequestMemory
{
public:
    /** A request that holds more is large. */
    static constexpr std::size_t kSmallBytes = 64U << 10;
    /** A sender makes progress each time that so many more bytes have arrived. */
    static constexpr std::size_t kProgressBytes = 16U << 10;

    using Share = MemoryLease::Share;

    explicit RequestMemory(RequestMemoryLimits limits);

    /** Applies to what is taken from now on. */
    void setLimits(RequestMemoryLimits limits);
    std::size_t used(Share share) const;
    std::size_t limit(Share share) const;
    std::uint64_t evictions() const; ///< since the start

private:
    friend class MemoryLease;
    using Leases = std::list<MemoryLease *>;

    struct Pool {
        std::size_t limit = 0;
        std::size_t used = 0;
        Leases incomplete; ///< the one that has gone without progress for longest comes first
    };

    void add(MemoryLease &lease);
    void remove(MemoryLease &lease);
    bool grow(MemoryLease &lease, std::size_t bytes);
    bool makeRoom(Share share, std::size_t bytes, const MemoryLease &requester);
    void evict(MemoryLease &lease);
    void moveToBack(MemoryLease &lease, Share share);
    Pool &pool(Share share);
    const Pool &pool(Share share) const;

    std::array<Pool, 3> m_pools;
    std::uint64_t m_evictions = 0;
};

} // namespace fulmarlink
