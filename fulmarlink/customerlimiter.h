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
    Duration homeTimeout = std::chrono::milliseconds(150); ///< for the home, before the fallback decides
    Duration prefetchLifetime = std::chrono::seconds(1); ///< granted tokens are used within this time
    double prefetchSeconds = 0.2; ///< of its own demand, that an entry asks for ahead
    double fallbackShare = 0.5; ///< of rate / entries, while the home can't be reached
    std::size_t maxCustomers = 20'000; ///< remembered at once
};

struct LimitDecision {
    RequestId request = 0;
    bool granted = false;
    Duration retryAfter{0};
};

/**
 * A customer's limit in tokens over all entry hosts, without a shared store.
 *
 * Algorithm: each customer has a home among the entries by rendezvous hash over the
 * host list; the home keeps the one token bucket. An entry asks it for the tokens of a
 * request, and for some of its own demand ahead, so that large customers cost few
 * messages. A home that does not answer in time is replaced by a bucket of the entry's
 * own with an even share of the rate. A bucket fills from the moment when
 * the list of entries last changed, so a new home starts empty.
 *
 * Contract: while all entries see the same host list, grants over all entries stay
 * within rate * time + burst, plus what asks ahead hold (prefetchSeconds of demand).
 * While they differ, a customer may have two homes. A customer whose home is cut off from all
 * other entries gets at most the rate at the home's own entry and fallbackShare of it at
 * the others together. An entry without a host list grants nothing. O(1) a request, O(entries) a new customer. Pure; not
 * thread-safe.
 */
class CustomerLimiter
{
public:
    CustomerLimiter(LimiterOptions options, Counters &counters);

    void setEntries(TimePoint now, std::vector<NodeId> entries);
    /** Asks for the tokens of a request; a decision follows, at homeTimeout at the latest. */
    void requestTokens(TimePoint now, const LimitAction &wanted);
    void receive(TimePoint now, NodeId from, const Message &message);
    void tick(TimePoint now);

    std::vector<Envelope> takeMessages();
    std::vector<LimitDecision> takeDecisions();

private:
    struct Bucket {
        double tokens = 0;
        TimePoint filled{}; ///< when tokens was right
        bool take(TimePoint now, double rate, double burst, double amount);
    };
    struct Waiting {
        RequestId request = 0;
        std::uint32_t tokens = 0;
        TimePoint until{};
    };
    struct Customer {
        TokenLimit limit;
        double stock = 0; ///< granted by the home and not used yet
        TimePoint stockUntil{};
        double demand = 0; ///< tokens a second, smoothed
        TimePoint lastDemand{};
        std::vector<Waiting> waiting;
        std::uint64_t asked = 0; ///< sequence number of the open ask; 0: none
        TimePoint askedAt{};
        TimePoint refusedUntil{}; ///< the home has no tokens before
        Bucket fallback;
        TimePoint fallbackUntil{}; ///< the home did not answer lately
        TimePoint used{};
    };

    NodeId homeOf(std::uint64_t customer) const;
    void ask(TimePoint now, std::uint64_t id, Customer &customer);
    void onAsk(TimePoint now, NodeId from, const wire::LimitAskT &ask);
    void onGrant(TimePoint now, const wire::LimitGrantT &grant);
    void serveStock(TimePoint now, Customer &customer);
    void decideAlone(TimePoint now, Customer &customer, const Waiting &waiting);
    void decide(RequestId request, bool granted, Duration retryAfter);

    LimiterOptions m_options;
    Counters &m_counters;
    Counters::Id m_asks;
    Counters::Id m_fallbacks;
    std::vector<NodeId> m_entries; ///< sorted
    TimePoint m_homesSince{}; ///< when the list last changed
    std::unordered_map<std::uint64_t, Customer> m_customers;
    std::unordered_map<std::uint64_t, Bucket> m_buckets; ///< of the customers whose home this is
    std::uint64_t m_nextSequence = 1;
    std::vector<Envelope> m_messages;
    std::vector<LimitDecision> m_decisions;
};

} // namespace fulmarlink
