#include "fulmarlink/customerlimiter.h"

#include <algorithm>
#include <cmath>

namespace fulmarlink
{

namespace
{

constexpr double kDemandWindow = 1.0; ///< seconds over which demand is smoothed
constexpr Duration kFallbackDuration = std::chrono::seconds(1); ///< for this long after a timeout the home is not asked again
constexpr Duration kIdleExpiry = std::chrono::minutes(5);

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

CustomerLimiter::CustomerLimiter(LimiterOptions options, Counters &counters)
    : m_options(options)
    , m_counters(counters)
    , m_asks(counters.registerCounter("fulmarlink_limit_asks_total"))
    , m_fallbacks(counters.registerCounter("fulmarlink_limit_fallbacks_total"))
{
}

bool CustomerLimiter::Bucket::take(TimePoint now, double rate, double burst, double amount)
{
    tokens = std::min(burst, tokens + rate * secondsBetween(updatedAt, now));
    updatedAt = now;
    if (tokens < amount) {
        return false;
    }
    tokens -= amount;
    return true;
}

void CustomerLimiter::setEntries(TimePoint now, std::vector<NodeId> entries)
{
    std::ranges::sort(entries);
    if (entries == m_entries) {
        return;
    }
    m_entries = std::move(entries);
    m_entriesChangedAt = now;
    // Drops the buckets of customers whose home is now another entry, which starts with an empty bucket.
    std::erase_if(m_buckets, [this](const auto &item) {
        return homeOf(item.first) != m_options.self;
    });
}

NodeId CustomerLimiter::homeOf(std::uint64_t customer) const
{
    NodeId best = 0;
    std::uint64_t bestHash = 0;
    for (const NodeId entry : m_entries) {
        const std::uint64_t hash = mixHash(entry, customer);
        if (hash > bestHash) {
            bestHash = hash;
            best = entry;
        }
    }
    return best;
}

void CustomerLimiter::requestTokens(TimePoint now, const LimitAction &action)
{
    const bool full = m_customers.size() >= m_options.maxCustomers && !m_customers.contains(action.customer);
    if (full || m_entries.empty()) {
        decide(action.request, false, fromSeconds(1));
        return;
    }
    Customer &customer = m_customers[action.customer];
    customer.limit = action.limit;
    customer.fallback.updatedAt = std::max(customer.fallback.updatedAt, m_entriesChangedAt);
    customer.lastUsed = now;
    const auto tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(action.tokens, action.limit.burst));
    const double decay = std::exp(-secondsBetween(customer.lastDemand, now) / kDemandWindow);
    customer.demand = customer.demand * (customer.lastDemand == TimePoint{} ? 0 : decay) + tokens / kDemandWindow;
    customer.lastDemand = now;
    if (now < customer.refusedUntil) {
        decide(action.request, false, customer.refusedUntil - now);
        return;
    }
    customer.pending.push_back({action.request, tokens, now + m_options.homeTimeout});
    grantFromPrefetched(now, customer);
    if (customer.pending.empty()) {
        return;
    }
    if (now < customer.fallbackUntil) {
        const PendingRequest last = customer.pending.back();
        customer.pending.pop_back();
        decideByFallback(now, customer, last);
        return;
    }
    if (customer.openAsk == 0) {
        ask(now, action.customer, customer);
    }
}

void CustomerLimiter::ask(TimePoint now, std::uint64_t id, Customer &customer)
{
    double needed = 0;
    for (const PendingRequest &pendingRequest : customer.pending) {
        needed += pendingRequest.tokens;
    }
    const double prefetch = customer.demand * m_options.prefetchSeconds;
    customer.openAsk = m_nextSequence++;
    customer.askedAt = now;
    m_counters.add(m_asks);
    wire::LimitAskT message;
    message.customer = id;
    message.sequence = customer.openAsk;
    message.least = customer.pending.front().tokens;
    message.tokens = static_cast<std::uint32_t>(std::min<double>(static_cast<double>(customer.limit.burst), std::max(needed, prefetch)));
    message.rate = customer.limit.tokensPerSecond;
    message.burst = customer.limit.burst;
    m_messages.push_back({homeOf(id), message});
}

void CustomerLimiter::receive(TimePoint now, NodeId from, const Message &message)
{
    if (const auto *asked = std::get_if<wire::LimitAskT>(&message)) {
        onAsk(now, from, *asked);
    } else if (const auto *grant = std::get_if<wire::LimitGrantT>(&message)) {
        onGrant(now, *grant);
    }
}

void CustomerLimiter::onAsk(TimePoint now, NodeId from, const wire::LimitAskT &ask)
{
    if (homeOf(ask.customer) != m_options.self || ask.rate == 0 || ask.least > ask.tokens) {
        return; // the sender has a different host list; its fallback decides when the answer times out
    }
    if (m_buckets.size() >= m_options.maxCustomers && !m_buckets.contains(ask.customer)) {
        return;
    }
    Bucket &bucket = m_buckets.try_emplace(ask.customer, Bucket{0, m_entriesChangedAt}).first->second;
    const auto rate = static_cast<double>(ask.rate);
    const auto burst = static_cast<double>(ask.burst);
    wire::LimitGrantT grant;
    grant.customer = ask.customer;
    grant.sequence = ask.sequence;
    bucket.take(now, rate, burst, 0);
    if (bucket.tokens >= ask.least) {
        grant.tokens = static_cast<std::uint32_t>(std::min<double>(bucket.tokens, ask.tokens));
        bucket.take(now, rate, burst, grant.tokens);
    } else {
        grant.retry_after_ms = static_cast<std::uint32_t>(1000 * (ask.least - bucket.tokens) / rate) + 1;
    }
    m_messages.push_back({from, grant});
}

void CustomerLimiter::onGrant(TimePoint now, const wire::LimitGrantT &grant)
{
    const auto it = m_customers.find(grant.customer);
    if (it == m_customers.end() || it->second.openAsk != grant.sequence) {
        return;
    }
    Customer &customer = it->second;
    customer.openAsk = 0;
    customer.prefetched = (now < customer.prefetchedUntil ? customer.prefetched : 0) + grant.tokens;
    customer.prefetchedUntil = now + m_options.prefetchLifetime;
    grantFromPrefetched(now, customer);
    if (grant.tokens == 0) {
        customer.refusedUntil = now + std::chrono::milliseconds(grant.retry_after_ms);
        for (const PendingRequest &pendingRequest : customer.pending) {
            decide(pendingRequest.request, false, std::chrono::milliseconds(grant.retry_after_ms));
        }
        customer.pending.clear();
    } else if (!customer.pending.empty()) {
        ask(now, grant.customer, customer);
    }
}

void CustomerLimiter::grantFromPrefetched(TimePoint now, Customer &customer)
{
    if (now >= customer.prefetchedUntil) {
        customer.prefetched = 0;
    }
    std::size_t served = 0;
    while (served < customer.pending.size() && customer.prefetched >= customer.pending[served].tokens) {
        customer.prefetched -= customer.pending[served].tokens;
        decide(customer.pending[served].request, true, Duration(0));
        ++served;
    }
    customer.pending.erase(customer.pending.begin(), customer.pending.begin() + static_cast<std::ptrdiff_t>(served));
}

/** Decides from this entry's fallback bucket, which fills at an even share of the rate, because the home can't be reached. */
void CustomerLimiter::decideByFallback(TimePoint now, Customer &customer, const PendingRequest &pendingRequest)
{
    m_counters.add(m_fallbacks);
    const double share = m_options.fallbackShare / static_cast<double>(std::max<std::size_t>(1, m_entries.size()));
    const double rate = static_cast<double>(customer.limit.tokensPerSecond) * share;
    const double burst = std::max<double>(pendingRequest.tokens, static_cast<double>(customer.limit.burst) * share);
    if (customer.fallback.take(now, rate, burst, pendingRequest.tokens)) {
        decide(pendingRequest.request, true, Duration(0));
        return;
    }
    decide(pendingRequest.request, false, fromSeconds((pendingRequest.tokens - customer.fallback.tokens) / rate));
}

void CustomerLimiter::tick(TimePoint now)
{
    for (auto &[id, customer] : m_customers) {
        if (customer.pending.empty() || now < customer.pending.front().deadline) {
            continue;
        }
        customer.openAsk = 0;
        customer.fallbackUntil = now + kFallbackDuration;
        for (const PendingRequest &pendingRequest : std::exchange(customer.pending, {})) {
            decideByFallback(now, customer, pendingRequest);
        }
    }
    std::erase_if(m_customers, [now](const auto &item) {
        return item.second.pending.empty() && now >= item.second.lastUsed + kIdleExpiry;
    });
}

void CustomerLimiter::decide(RequestId request, bool granted, Duration retryAfter)
{
    m_decisions.push_back({request, granted, retryAfter});
}

std::vector<Envelope> CustomerLimiter::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<LimitDecision> CustomerLimiter::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

} // namespace fulmarlink
