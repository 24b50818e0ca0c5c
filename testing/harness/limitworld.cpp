#include "testing/harness/limitworld.h"

namespace fulmarlink::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration kLatency = 1ms;
constexpr Duration kTick = 10ms;

NodeId idOf(unsigned entry)
{
    return nodeId("entry-" + std::to_string(entry));
}

} // namespace

LimitWorld::LimitWorld(unsigned entries, std::uint64_t seed)
    : m_entries(entries)
    , m_now(TimePoint(1h) + Duration(seed))
{
    for (unsigned i = 0; i < entries; ++i) {
        m_index[idOf(i)] = i;
        m_entries[i].listed = true;
        start(i);
    }
    publish();
}

void LimitWorld::start(unsigned entry)
{
    LimiterOptions options;
    options.self = idOf(entry);
    m_entries[entry].counters = std::make_unique<Counters>();
    m_entries[entry].limiter = std::make_unique<CustomerLimiter>(options, *m_entries[entry].counters);
    m_entries[entry].up = true;
}

void LimitWorld::publish()
{
    std::vector<NodeId> listed;
    for (unsigned i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].listed) {
            listed.push_back(idOf(i));
        }
    }
    for (Entry &entry : m_entries) {
        if (entry.up) {
            entry.limiter->setEntries(m_now, listed);
        }
    }
}

void LimitWorld::request(unsigned entry, std::uint64_t customer, std::uint32_t tokens, const TokenLimit &limit)
{
    if (!m_entries[entry].up) {
        return;
    }
    const RequestId id = m_nextRequest++;
    m_requests[id] = {customer, tokens};
    m_entries[entry].limiter->take(m_now, {id, customer, tokens, limit});
    collect(entry);
}

void LimitWorld::kill(unsigned entry, Duration lag)
{
    m_entries[entry].up = false;
    m_listings.emplace(m_now + lag, std::pair(entry, false));
}

void LimitWorld::join(unsigned entry, Duration lag)
{
    start(entry);
    m_listings.emplace(m_now + lag, std::pair(entry, true));
}

void LimitWorld::cutAll(bool cut)
{
    m_cut = cut;
}

void LimitWorld::collect(unsigned entry)
{
    for (Envelope &envelope : m_entries[entry].limiter->takeMessages()) {
        ++m_messages;
        m_flights.emplace(m_now + kLatency, Flight{entry, std::move(envelope)});
    }
    for (const LimitDecision &decision : m_entries[entry].limiter->takeDecisions()) {
        const auto it = m_requests.find(decision.request);
        if (decision.granted) {
            m_granted[it->second.first] += it->second.second;
        } else {
            ++m_refused;
        }
        m_requests.erase(it);
    }
}

void LimitWorld::run(Duration time)
{
    const TimePoint until = m_now + time;
    while (m_now < until) {
        m_now += kLatency;
        while (!m_listings.empty() && m_listings.begin()->first <= m_now) {
            const auto [entry, listed] = m_listings.begin()->second;
            m_listings.erase(m_listings.begin());
            m_entries[entry].listed = listed;
            publish();
        }
        while (!m_flights.empty() && m_flights.begin()->first <= m_now) {
            const Flight flight = std::move(m_flights.begin()->second);
            m_flights.erase(m_flights.begin());
            const unsigned to = m_index.at(flight.envelope.to);
            if (!m_entries[to].up || (m_cut && to != flight.from)) {
                continue;
            }
            m_entries[to].limiter->receive(m_now, idOf(flight.from), flight.envelope.message);
            collect(to);
        }
        if (m_now < m_nextTick) {
            continue;
        }
        m_nextTick = m_now + kTick;
        for (unsigned i = 0; i < m_entries.size(); ++i) {
            if (m_entries[i].up) {
                m_entries[i].limiter->tick(m_now);
                collect(i);
            }
        }
    }
}

TimePoint LimitWorld::now() const
{
    return m_now;
}

bool LimitWorld::up(unsigned entry) const
{
    return m_entries[entry].up;
}

double LimitWorld::granted(std::uint64_t customer) const
{
    const auto it = m_granted.find(customer);
    return it == m_granted.end() ? 0 : it->second;
}

unsigned LimitWorld::refused() const
{
    return m_refused;
}

std::uint64_t LimitWorld::messages() const
{
    return m_messages;
}

} // namespace fulmarlink::testing
