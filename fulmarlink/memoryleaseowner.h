#pragma once

namespace fulmarlink
{

/** Holds the memory that a MemoryLease accounts for. */
class MemoryLeaseOwner
{
public:
    virtual ~MemoryLeaseOwner() = default;
    /** Frees the memory and gives up the request, which is incomplete. The lease is empty and grants nothing more. */
    virtual void evict() = 0;
    /** The lease has just become large. May grow it further. */
    virtual void leaseBecameLarge()
    {
    }
};

} // namespace fulmarlink
