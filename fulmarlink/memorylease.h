#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

namespace fulmarlink
{

class MemoryLeaseOwner;
class RequestMemory;

/**
 * The memory that one request or answer holds. A request may be evicted until markComplete(); then it keeps what it holds until its end.
 * Not thread-safe.
 */
class MemoryLease
{
public:
    /** The part of the memory that a lease draws on. */
    enum class Share : std::uint8_t {
        SmallRequests,
        LargeRequests, ///< a request that has become large stays so
        Answers,
    };

    /** The lease of a request. @p owner must outlive it. */
    MemoryLease(std::shared_ptr<RequestMemory> memory, MemoryLeaseOwner &owner);
    /** The lease of an answer, which is never evicted. */
    explicit MemoryLease(std::shared_ptr<RequestMemory> memory);
    ~MemoryLease();
    MemoryLease(const MemoryLease &) = delete;
    MemoryLease &operator=(const MemoryLease &) = delete;

    /** Takes @p bytes more. Returns false, and takes nothing, if there is no room or the lease has been evicted. */
    bool grow(std::size_t bytes);
    /** Returns @p bytes, at most what the lease holds. */
    void shrink(std::size_t bytes);
    /** Tells how much of the request has been received in total; a sender that makes progress is evicted later. */
    void recordProgress(std::size_t receivedBytes);
    /** The request has been received: it can't be evicted any more. */
    void markComplete();

    bool evicted() const;
    std::size_t bytes() const;
    Share share() const;

private:
    friend class RequestMemory;

    const std::shared_ptr<RequestMemory> m_memory; ///< shared, since coroutines that hold leases may outlive the server
    MemoryLeaseOwner *const m_owner; ///< null for an answer
    std::size_t m_bytes = 0;
    std::size_t m_progressSteps = 0;
    Share m_share = Share::SmallRequests;
    bool m_evicted = false;
    bool m_complete = false;
    std::list<MemoryLease *>::iterator m_position; ///< in the share's list of incomplete leases, unless complete or evicted
};

} // namespace fulmarlink
