#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/entrycore.h"
#include "fulmarlink/message.h"

namespace fulmarlink
{

struct LimiterOptions {
    NodeId self = 0;
    Duration homeTimeout = std::chrono::milliseconds(150); ///< wait for the home's answer before the fallback decides
    Duration prefetchLifetime = std::chrono::seconds(1); ///< tokens granted by the home expire after this time
    double prefetchSeconds = 0.2; ///< seconds of its own demand that an entry asks for in advance
    double fallbackShare = 0.5; ///< of rate / entries, granted by each entry while the home can't be reached
    std::size_t maxCustomers = 20'000; ///< tracked at the same time; requests of further customers are refused
};

struct LimitDecision {
    RequestId request = 0;
    bool granted = false;
    Duration retryAfter{0};
};

/**
 * Enforces a customer's token limit across all entry hosts without a shared store.
 *
 * Algorithm: rendezvous hashing over the host list gives each customer a home among the entries; the
 * home keeps the customer's only token bucket. An entry asks the home for the tokens of a request,
 * and prefetches tokens for part of its own demand, so that large customers cost few messages. While
 * a home does not answer in time, the entry falls back to a bucket of its own with an even share of
 * the rate. Buckets fill from the time of the last change of the host list, so a new home starts empty.
 *
 * Contract: while all entries see the same host list, the tokens granted over all entries stay within
 * rate * time + burst, plus the prefetched tokens (prefetchSeconds of demand). While the lists differ,
 * a customer may have two homes. A customer whose home is cut off from all other entries gets at most
 * the rate at the home's own entry, and fallbackShare of it at the others together. An entry without a
 * host list grants nothing. O(1) a request, O(entries) a new customer. Pure; not thread-safe.
 */
class CustomerLimiter
{
public:
    CustomerLimiter(LimiterOptions options, Counters &counters);

    void setEntries(TimePoint now, std::vector<NodeId> entries);
    /** Requests the tokens for one request. The decision follows within homeTimeout; see takeDecisions(). */
    void requestTokens(TimePoint now, const LimitAction &action);
    void receive(TimePoint now, NodeId from, const Message &message);
    void tick(TimePoint now);

    std::vector<Envelope> takeMessages();
    std::vector<LimitDecision> takeDecisions();

private:
    struct Bucket {
        double tokens = 0;
        TimePoint updatedAt{}; ///< the time for which tokens holds
        bool take(TimePoint now, double rate, double burst, double amount);
    };
    struct PendingRequest {
        RequestId request = 0;
        std::uint32_t tokens = 0;
        TimePoint deadline{};
    };
    struct Customer {
        TokenLimit limit;
        double prefetched = 0; ///< tokens granted by the home and not used yet
        TimePoint prefetchedUntil{};
        double demand = 0; ///< tokens a second, exponentially smoothed
        TimePoint lastDemand{};
        std::vector<PendingRequest> pending;
        std::uint64_t openAsk = 0; ///< sequence number of the unanswered LimitAsk; 0: none
        TimePoint askedAt{};
        TimePoint refusedUntil{}; ///< the home has no tokens before this time
        Bucket fallback;
        TimePoint fallbackUntil{}; ///< the home did not answer in time; it is not asked before this
        TimePoint lastUsed{};
    };

    NodeId homeOf(std::uint64_t customer) const;
    void ask(TimePoint now, std::uint64_t id, Customer &customer);
    void onAsk(TimePoint now, NodeId from, const wire::LimitAskT &ask);
    void onGrant(TimePoint now, const wire::LimitGrantT &grant);
    void grantFromPrefetched(TimePoint now, Customer &customer);
    void decideByFallback(TimePoint now, Customer &customer, const PendingRequest &pendingRequest);
    void decide(RequestId request, bool granted, Duration retryAfter);

    LimiterOptions m_options;
    Counters &m_counters;
    Counters::Id m_asks;
    Counters::Id m_fallbacks;
    std::vector<NodeId> m_entries; ///< sorted
    TimePoint m_entriesChangedAt{}; ///< when m_entries last changed
    std::unordered_map<std::uint64_t, Customer> m_customers;
    std::unordered_map<std::uint64_t, Bucket> m_buckets; ///< of the customers whose home is this entry
    std::uint64_t m_nextSequence = 1;
    std::vector<Envelope> m_messages;
    std::vector<LimitDecision> m_decisions;
};

} // namespace fulmarlink
