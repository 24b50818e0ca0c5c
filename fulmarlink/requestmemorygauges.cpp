#include "fulmarlink/requestmemorygauges.h"

#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "fulmarlink/requestmemory.h"

namespace fulmarlink
{

namespace
{

constexpr auto kShareNames = std::to_array<std::pair<MemoryLease::Share, std::string_view>>({
    {MemoryLease::Share::SmallRequests, "small-requests"},
    {MemoryLease::Share::LargeRequests, "large-requests"},
    {MemoryLease::Share::Answers, "answers"},
});

} // namespace

RequestMemoryGauges::RequestMemoryGauges(Counters &counters)
    : m_counters(counters)
    , m_evictions(counters.registerCounter("fulmarlink_requests_evicted_total"))
{
    for (const auto &[share, name] : kShareNames) {
        const std::string label = "{share=\"" + std::string(name) + "\"}";
        m_shares[share]
            = {counters.registerCounter("fulmarlink_request_memory_bytes" + label), counters.registerCounter("fulmarlink_request_memory_limit_bytes" + label)};
    }
}

void RequestMemoryGauges::update(const RequestMemory &memory)
{
    for (const auto &[share, ids] : m_shares) {
        m_counters.set(ids.used, memory.used(share));
        m_counters.set(ids.limit, memory.limit(share));
    }
    m_counters.set(m_evictions, memory.evictions());
}

} // namespace fulmarlink
