#include "testing/harness/customerlimitersimulation.h"

namespace fulmarlink::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration kLatency = 1ms;
constexpr Duration kTick = 10ms;

NodeId nodeIdOf(unsigned entry)
{
    return nodeId("entry-" + std::to_string(entry));
}

} // namespace

CustomerLimiterSimulation::CustomerLimiterSimulation(unsigned entries, std::uint64_t seed)
    : m_entries(entries)
    , m_now(TimePoint(1h) + Duration(seed))
{
    for (unsigned i = 0; i < entries; ++i) {
        m_entryOfNode[nodeIdOf(i)] = i;
        m_entries[i].listed = true;
        start(i);
    }
    publishEntryList();
}

void CustomerLimiterSimulation::start(unsigned entry)
{
    LimiterOptions options;
    options.self = nodeIdOf(entry);
    m_entries[entry].counters = std::make_unique<Counters>();
    m_entries[entry].limiter = std::make_unique<CustomerLimiter>(options, *m_entries[entry].counters);
    m_entries[entry].up = true;
}

void CustomerLimiterSimulation::publishEntryList()
{
    std::vector<NodeId> listed;
    for (unsigned i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].listed) {
            listed.push_back(nodeIdOf(i));
        }
    }
    for (Entry &entry : m_entries) {
        if (entry.up) {
            entry.limiter->setEntries(m_now, listed);
        }
    }
}

void CustomerLimiterSimulation::request(unsigned entry, std::uint64_t customer, std::uint32_t tokens, const TokenLimit &limit)
{
    if (!m_entries[entry].up) {
        return;
    }
    const RequestId id = m_nextRequest++;
    m_requests[id] = {customer, tokens};
    m_entries[entry].limiter->requestTokens(m_now, {id, customer, tokens, limit});
    collectOutput(entry);
}

void CustomerLimiterSimulation::kill(unsigned entry, Duration lag)
{
    m_entries[entry].up = false;
    m_listChanges.emplace(m_now + lag, std::pair(entry, false));
}

void CustomerLimiterSimulation::join(unsigned entry, Duration lag)
{
    start(entry);
    m_listChanges.emplace(m_now + lag, std::pair(entry, true));
}

void CustomerLimiterSimulation::setPartitioned(bool partitioned)
{
    m_partitioned = partitioned;
}

void CustomerLimiterSimulation::collectOutput(unsigned entry)
{
    for (Envelope &envelope : m_entries[entry].limiter->takeMessages()) {
        ++m_messageCount;
        m_messagesInFlight.emplace(m_now + kLatency, MessageInFlight{entry, std::move(envelope)});
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

void CustomerLimiterSimulation::run(Duration time)
{
    const TimePoint until = m_now + time;
    while (m_now < until) {
        m_now += kLatency;
        while (!m_listChanges.empty() && m_listChanges.begin()->first <= m_now) {
            const auto [entry, listed] = m_listChanges.begin()->second;
            m_listChanges.erase(m_listChanges.begin());
            m_entries[entry].listed = listed;
            publishEntryList();
        }
        while (!m_messagesInFlight.empty() && m_messagesInFlight.begin()->first <= m_now) {
            const MessageInFlight inFlight = std::move(m_messagesInFlight.begin()->second);
            m_messagesInFlight.erase(m_messagesInFlight.begin());
            const unsigned to = m_entryOfNode.at(inFlight.envelope.to);
            if (!m_entries[to].up || (m_partitioned && to != inFlight.from)) {
                continue;
            }
            m_entries[to].limiter->receive(m_now, nodeIdOf(inFlight.from), inFlight.envelope.message);
            collectOutput(to);
        }
        if (m_now < m_nextTick) {
            continue;
        }
        m_nextTick = m_now + kTick;
        for (unsigned i = 0; i < m_entries.size(); ++i) {
            if (m_entries[i].up) {
                m_entries[i].limiter->tick(m_now);
                collectOutput(i);
            }
        }
    }
}

TimePoint CustomerLimiterSimulation::now() const
{
    return m_now;
}

bool CustomerLimiterSimulation::up(unsigned entry) const
{
    return m_entries[entry].up;
}

double CustomerLimiterSimulation::granted(std::uint64_t customer) const
{
    const auto it = m_granted.find(customer);
    return it == m_granted.end() ? 0 : it->second;
}

unsigned CustomerLimiterSimulation::refused() const
{
    return m_refused;
}

std::uint64_t CustomerLimiterSimulation::messages() const
{
    return m_messageCount;
}

} // namespace fulmarlink::testing
