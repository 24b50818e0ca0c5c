#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "fulmarlink/customerlimiter.h"

namespace fulmarlink::testing
{

/** Entry nodes with real customer limiters on a virtual clock, which exchange messages with a latency of 1 ms. */
class CustomerLimiterSimulation
{
public:
    CustomerLimiterSimulation(unsigned entries, std::uint64_t seed);

    /** Submits a request for @p tokens at @p entry; does nothing if the entry is down. */
    void request(unsigned entry, std::uint64_t customer, std::uint32_t tokens, const TokenLimit &limit);
    /** Stops @p entry at once; the others' list of entries drops it after @p lag. */
    void kill(unsigned entry, Duration lag);
    /** Starts @p entry without state; the others' list of entries has it after @p lag. */
    void join(unsigned entry, Duration lag);
    /** While @p partitioned, all messages between different entries are lost. */
    void setPartitioned(bool partitioned);
    void run(Duration time);

    TimePoint now() const;
    bool up(unsigned entry) const;
    double granted(std::uint64_t customer) const; ///< in tokens
    unsigned refused() const;
    std::uint64_t messages() const;

private:
    struct Entry {
        std::unique_ptr<Counters> counters;
        std::unique_ptr<CustomerLimiter> limiter;
        bool up = false;
        bool listed = false;
    };
    struct MessageInFlight {
        unsigned from = 0;
        Envelope envelope;
    };

    void start(unsigned entry);
    void publishEntryList();
    void collectOutput(unsigned entry);

    std::vector<Entry> m_entries;
    std::map<NodeId, unsigned> m_entryOfNode;
    std::multimap<TimePoint, MessageInFlight> m_messagesInFlight;
    std::multimap<TimePoint, std::pair<unsigned, bool>> m_listChanges;
    std::map<RequestId, std::pair<std::uint64_t, std::uint32_t>> m_requests;
    std::map<std::uint64_t, double> m_granted;
    TimePoint m_now;
    TimePoint m_nextTick{};
    RequestId m_nextRequest = 1;
    unsigned m_refused = 0;
    std::uint64_t m_messageCount = 0;
    bool m_partitioned = false;
};

} // namespace fulmarlink::testing
