#include "fulmarlink/customerlimiter.h"

#include <algorithm>
#include <cmath>

namespace fulmarlink
{

namespace
{

constexpr double kDemandWindow = 1.0; ///< seconds over which demand is smoothed
constexpr Duration kFallbackFor = std::chrono::seconds(1); ///< before the home is asked again
constexpr Duration kForgetAfter = std::chrono::minutes(5);

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
    tokens = std::min(burst, tokens + rate * secondsBetween(filled, now));
    filled = now;
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
    m_homesSince = now;
    // What this node kept for customers that have moved on is void: their new home starts anew.
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

void CustomerLimiter::requestTokens(TimePoint now, const LimitAction &wanted)
{
    const bool full = m_customers.size() >= m_options.maxCustomers && !m_customers.contains(wanted.customer);
    if (full || m_entries.empty()) {
        decide(wanted.request, false, fromSeconds(1));
        return;
    }
    Customer &customer = m_customers[wanted.customer];
    customer.limit = wanted.limit;
    customer.fallback.filled = std::max(customer.fallback.filled, m_homesSince);
    customer.used = now;
    const auto tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(wanted.tokens, wanted.limit.burst));
    const double faded = std::exp(-secondsBetween(customer.lastDemand, now) / kDemandWindow);
    customer.demand = customer.demand * (customer.lastDemand == TimePoint{} ? 0 : faded) + tokens / kDemandWindow;
    customer.lastDemand = now;
    if (now < customer.refusedUntil) {
        decide(wanted.request, false, customer.refusedUntil - now);
        return;
    }
    customer.waiting.push_back({wanted.request, tokens, now + m_options.homeTimeout});
    serveStock(now, customer);
    if (customer.waiting.empty()) {
        return;
    }
    if (now < customer.fallbackUntil) {
        const Waiting last = customer.waiting.back();
        customer.waiting.pop_back();
        decideAlone(now, customer, last);
        return;
    }
    if (customer.asked == 0) {
        ask(now, wanted.customer, customer);
    }
}

void CustomerLimiter::ask(TimePoint now, std::uint64_t id, Customer &customer)
{
    double needed = 0;
    for (const Waiting &waiting : customer.waiting) {
        needed += waiting.tokens;
    }
    const double ahead = customer.demand * m_options.prefetchSeconds;
    customer.asked = m_nextSequence++;
    customer.askedAt = now;
    m_counters.add(m_asks);
    wire::LimitAskT message;
    message.customer = id;
    message.sequence = customer.asked;
    message.least = customer.waiting.front().tokens;
    message.tokens = static_cast<std::uint32_t>(std::min<double>(static_cast<double>(customer.limit.burst), std::max(needed, ahead)));
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
        return; // the asker sees another host list; its fallback decides
    }
    if (m_buckets.size() >= m_options.maxCustomers && !m_buckets.contains(ask.customer)) {
        return;
    }
    Bucket &bucket = m_buckets.try_emplace(ask.customer, Bucket{0, m_homesSince}).first->second;
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
    if (it == m_customers.end() || it->second.asked != grant.sequence) {
        return;
    }
    Customer &customer = it->second;
    customer.asked = 0;
    customer.stock = (now < customer.stockUntil ? customer.stock : 0) + grant.tokens;
    customer.stockUntil = now + m_options.prefetchLifetime;
    serveStock(now, customer);
    if (grant.tokens == 0) {
        customer.refusedUntil = now + std::chrono::milliseconds(grant.retry_after_ms);
        for (const Waiting &waiting : customer.waiting) {
            decide(waiting.request, false, std::chrono::milliseconds(grant.retry_after_ms));
        }
        customer.waiting.clear();
    } else if (!customer.waiting.empty()) {
        ask(now, grant.customer, customer);
    }
}

void CustomerLimiter::serveStock(TimePoint now, Customer &customer)
{
    if (now >= customer.stockUntil) {
        customer.stock = 0;
    }
    std::size_t served = 0;
    while (served < customer.waiting.size() && customer.stock >= customer.waiting[served].tokens) {
        customer.stock -= customer.waiting[served].tokens;
        decide(customer.waiting[served].request, true, Duration(0));
        ++served;
    }
    customer.waiting.erase(customer.waiting.begin(), customer.waiting.begin() + static_cast<std::ptrdiff_t>(served));
}

/** The home can't be reached: an even share of the rate, kept by this entry alone. */
void CustomerLimiter::decideAlone(TimePoint now, Customer &customer, const Waiting &waiting)
{
    m_counters.add(m_fallbacks);
    const double share = m_options.fallbackShare / static_cast<double>(std::max<std::size_t>(1, m_entries.size()));
    const double rate = static_cast<double>(customer.limit.tokensPerSecond) * share;
    const double burst = std::max<double>(waiting.tokens, static_cast<double>(customer.limit.burst) * share);
    if (customer.fallback.take(now, rate, burst, waiting.tokens)) {
        decide(waiting.request, true, Duration(0));
        return;
    }
    decide(waiting.request, false, fromSeconds((waiting.tokens - customer.fallback.tokens) / rate));
}

void CustomerLimiter::tick(TimePoint now)
{
    for (auto &[id, customer] : m_customers) {
        if (customer.waiting.empty() || now < customer.waiting.front().until) {
            continue;
        }
        customer.asked = 0;
        customer.fallbackUntil = now + kFallbackFor;
        for (const Waiting &waiting : std::exchange(customer.waiting, {})) {
            decideAlone(now, customer, waiting);
        }
    }
    std::erase_if(m_customers, [now](const auto &item) {
        return item.second.waiting.empty() && now >= item.second.used + kForgetAfter;
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
