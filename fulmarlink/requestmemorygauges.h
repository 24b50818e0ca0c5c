#pragma once

#include <map>

#include "fulmarlink/counters.h"
#include "fulmarlink/memorylease.h"

namespace fulmarlink
{

class RequestMemory;

/** Shows the use of a RequestMemory among the counters. */
class RequestMemoryGauges
{
public:
    /** @p counters must outlive it. */
    explicit RequestMemoryGauges(Counters &counters);

    void update(const RequestMemory &memory);

private:
    /** Of one share. */
    struct Ids {
        Counters::Id used = 0;
        Counters::Id limit = 0;
    };

    Counters &m_counters;
    std::map<MemoryLease::Share, Ids> m_shares;
    Counters::Id m_evictions;
};

} // namespace fulmarlink
