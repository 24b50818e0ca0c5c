// World: links between its nodes, and messages on them.

#include <algorithm>
#include <stdexcept>

#include "testing/harness/worldnodes.h"

namespace fulmarlink::testing
{

using namespace std::chrono_literals;

void World::openLink(EntryNode &from, NodeId to)
{
    if (const auto link = linkBetween(from.id, to); link && link->from == from.id) {
        atNode(m_now, from, [this, &from, to] {
            from.core->linkUp(m_now, to);
            performEntry(from);
        });
        return;
    }
    if (from.opening[to]) {
        return;
    }
    from.opening[to] = true;
    const auto link = std::make_shared<LinkState>();
    link->from = from.id;
    link->to = to;
    link->fromIncarnation = from.incarnation;
    link->epoch = m_nextEpoch++;
    at(m_now + latency(), [this, link, &from] {
        Node *target = find(link->to);
        const auto fail = [this, &from, link] {
            atNode(m_now + latency(), from, [this, &from, link] {
                from.opening[link->to] = false;
                from.core->linkFailed(m_now, link->to);
                performEntry(from);
            });
        };
        if (target == nullptr || !target->up || isCut(link->from, link->to)) {
            fail();
            return;
        }
        atNode(m_now, *target, [this, link, target, &from, fail] {
            link->toIncarnation = target->incarnation;
            if (auto *agent = dynamic_cast<RunnerNode *>(target)) {
                if (!agent->core->linkUp(m_now, {link->from, link->fromIncarnation, link->epoch})) {
                    fail();
                    return;
                }
            }
            if (!from.up || from.incarnation != link->fromIncarnation) {
                return;
            }
            const bool leaving = target->draining;
            atNode(m_now + latency(), from, [this, link, &from, leaving] {
                from.opening[link->to] = false;
                link->open = true;
                m_links.push_back(link);
                from.directory->linkUp(m_now, link->to, link->toIncarnation, leaving);
                from.core->linkUp(m_now, link->to);
                performEntry(from);
            });
        });
    });
}

std::shared_ptr<World::LinkState> World::linkBetween(NodeId a, NodeId b)
{
    for (auto it = m_links.rbegin(); it != m_links.rend(); ++it) {
        const LinkState &link = **it;
        if (link.open && ((link.from == a && link.to == b) || (link.from == b && link.to == a))) {
            return *it;
        }
    }
    return nullptr;
}

void World::send(Node &from, NodeId to, const Message &message)
{
    if (to == from.id) {
        atNode(m_now, from, [this, &from, message] {
            receiveEntry(static_cast<EntryNode &>(from), from.id, message);
        });
        return;
    }
    auto link = linkBetween(from.id, to);
    if (!link) {
        // Between entries a link opens by itself and the message waits for it; the fake just takes longer.
        auto *entry = dynamic_cast<EntryNode *>(&from);
        Node *target = find(to);
        if (entry == nullptr || target == nullptr || dynamic_cast<EntryNode *>(target) == nullptr || !target->up) {
            return;
        }
        link = std::make_shared<LinkState>();
        link->from = from.id;
        link->to = to;
        link->fromIncarnation = from.incarnation;
        link->toIncarnation = target->incarnation;
        link->epoch = m_nextEpoch++;
        link->open = true;
        m_links.push_back(link);
    }
    const bool forward = link->from == from.id;
    const auto roll = [this] {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    };
    if (roll() < m_drops) {
        note("lost: a message from " + from.host.name);
        return;
    }
    const unsigned copies = roll() < m_duplicates ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
        TimePoint arrival = m_now + latency();
        if (m_reorder.count() > 0) {
            arrival += Duration(std::uniform_int_distribution<std::int64_t>(0, m_reorder.count())(m_random));
        } else {
            arrival = std::max(arrival, link->lastArrival[forward ? 1 : 0]);
            link->lastArrival[forward ? 1 : 0] = arrival;
        }
        at(arrival, [this, link, forward, message] {
            deliver(link, forward, message);
        });
    }
}

void World::deliver(const std::shared_ptr<LinkState> &link, bool forward, const Message &message)
{
    const auto it = m_cuts.find(ordered(link->from, link->to));
    if (it != m_cuts.end() && m_now < it->second) {
        at(it->second + latency(), [this, link, forward, message] {
            deliver(link, forward, message);
        });
        return;
    }
    Node *target = find(forward ? link->to : link->from);
    const std::uint64_t incarnation = forward ? link->toIncarnation : link->fromIncarnation;
    if (target == nullptr || !target->up || target->incarnation != incarnation) {
        return;
    }
    const NodeId sender = forward ? link->from : link->to;
    atNode(m_now, *target, [this, link, target, sender, message] {
        if (auto *agent = dynamic_cast<RunnerNode *>(target)) {
            agent->core->receive(m_now, {link->from, link->fromIncarnation, link->epoch}, message);
            performRunner(*agent);
            return;
        }
        receiveEntry(static_cast<EntryNode &>(*target), sender, message);
    });
}

void World::receiveEntry(EntryNode &entry, NodeId from, const Message &message)
{
    entry.core->receive(m_now, from, message);
    performEntry(entry);
    std::visit(Overloaded{
                   [&](const wire::PermitRequestT &request) {
                       entry.ledger->request(m_now, from, request);
                   },
                   [&](const wire::PermitOutcomeT &outcome) {
                       entry.ledger->outcome(m_now, outcome);
                   },
                   [&](const wire::SlotHandoverT &handover) {
                       entry.ledger->handover(m_now, from, handover);
                   },
                   [&](const wire::SlotHandoverDoneT &done) {
                       entry.ledger->handoverDone(m_now, from, done);
                   },
                   [&](const wire::DocumentReplyT &reply) {
                       useDocument(entry, reply.document, reply.version, reply.text);
                   },
                   [&](const auto & /*other*/) {
                       entry.spread->receive(m_now, from, message);
                   },
               },
               message);
    performLedger(entry);
    performSpread(entry);
}

void World::linkBroken(LinkState &link)
{
    link.open = false;
    Node *from = find(link.from);
    Node *to = find(link.to);
    if (auto *entry = dynamic_cast<EntryNode *>(from); entry != nullptr && entry->up && entry->incarnation == link.fromIncarnation) {
        atNode(m_now + latency(), *entry, [this, entry, node = link.to] {
            if (!linkBetween(entry->id, node)) {
                entry->directory->linkDown(node);
            }
            entry->core->linkDown(m_now, node);
            performEntry(*entry);
        });
    }
    if (auto *agent = dynamic_cast<RunnerNode *>(to); agent != nullptr && agent->up && agent->incarnation == link.toIncarnation) {
        const LinkRef ref{link.from, link.fromIncarnation, link.epoch};
        atNode(m_now + latency(), *agent, [this, agent, ref] {
            agent->core->linkDown(m_now, ref);
            performRunner(*agent);
        });
    }
}

bool World::isCut(NodeId a, NodeId b) const
{
    const auto it = m_cuts.find(ordered(a, b));
    return it != m_cuts.end() && m_now < it->second;
}

Duration World::latency()
{
    return 500us + Duration(std::uniform_int_distribution<std::int64_t>(0, 1000)(m_random));
}

} // namespace fulmarlink::testing
