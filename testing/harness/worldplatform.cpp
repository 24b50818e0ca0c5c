// World: the object API and the host list, as its entries see them.

#include <algorithm>
#include <stdexcept>

#include "testing/harness/worldnodes.h"

namespace fulmarlink::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration kStoreRetry = 300ms;
constexpr const char *kRules = "rules";
constexpr const char *kKeyHomes = "key-homes";

} // namespace

void World::watchStore(EntryNode &entry, const std::string &document)
{
    // A read every kStoreRetry stands for a watch; only watchers and nodes without the document read.
    atNode(m_now + m_storeDelay, entry, [this, &entry, document] {
        const auto it = m_store.find(document);
        const bool reads = entry.spread->isWatcher() || entry.spread->document(document).version == 0;
        if (!m_storeDown && reads && it != m_store.end()) {
            const auto [version, text] = it->second;
            useDocument(entry, document, version, text);
        }
        atNode(m_now + kStoreRetry, entry, [this, &entry, document] {
            watchStore(entry, document);
        });
    });
}

void World::useDocument(EntryNode &entry, const std::string &name, std::uint64_t version, const std::string &text)
{
    const bool changed = entry.spread->offer(m_now, name, version, text);
    performSpread(entry);
    if (changed) {
        if (name == kKeyHomes) {
            SlotTable table;
            if (!table.parse(text, version)) {
                entry.ledger->setTable(m_now, table);
            }
            return;
        }
        FileErrors errors;
        const auto parsed = RuleSet::parse(text, "rules", errors);
        if (version < entry.rulesVersion) {
            violate(entry.host.name + " went from rules version " + std::to_string(entry.rulesVersion) + " to " + std::to_string(version));
        }
        if (parsed) {
            entry.rules = parsed;
            entry.rulesVersion = version;
        }
    }
}

void World::updateTable(EntryNode &entry)
{
    if (const auto update = entry.ledger->takeUpdate(m_now)) {
        const Duration delay = m_storeDelay;
        at(m_now + delay, [this, name = entry.host.name, incarnation = entry.incarnation, wanted = *update] {
            bool lost = m_storeDown;
            bool written = false;
            auto &object = m_store[kKeyHomes];
            if (!m_storeDown && object.first == wanted.expectedVersion) {
                object = {object.first + 1, wanted.text};
                ++m_storeWrites;
                written = true;
                if (m_lostAnswers > 0) {
                    --m_lostAnswers;
                    lost = true;
                }
            }
            Node *node = find(name);
            if (!node->up || node->incarnation != incarnation) {
                return;
            }
            const std::uint64_t version = object.first;
            atNode(m_now + latency(), *node, [this, node, written, lost, version, text = wanted.text] {
                auto &self = static_cast<EntryNode &>(*node);
                self.ledger->updateFinished();
                self.nextRead = TimePoint{};
                if (written && !lost) {
                    SlotTable table;
                    if (!table.parse(text, version)) {
                        self.ledger->setTable(m_now, table);
                    }
                    useDocument(self, kKeyHomes, version, text);
                }
            });
        });
    }
    if (entry.ledger->wantsTable() && !entry.reading && m_now >= entry.nextRead) {
        entry.reading = true;
        entry.nextRead = m_now + kStoreRetry;
        readTable(entry);
    }
}

void World::readTable(EntryNode &entry)
{
    atNode(m_now + m_storeDelay + latency(), entry, [this, &entry] {
        entry.reading = false;
        if (m_storeDown) {
            return;
        }
        const auto it = m_store.find(kKeyHomes);
        SlotTable table;
        if (it != m_store.end() && it->second.first != 0 && table.parse(it->second.second, it->second.first)) {
            return;
        }
        entry.ledger->setTable(m_now, table);
        if (it != m_store.end() && it->second.first != 0) {
            useDocument(entry, kKeyHomes, it->second.first, it->second.second);
        }
    });
}

void World::performSpread(EntryNode &entry)
{
    for (const Envelope &envelope : entry.spread->takeMessages()) {
        send(entry, envelope.to, envelope.message);
    }
}

void World::performLedger(EntryNode &entry)
{
    for (const Envelope &envelope : entry.ledger->takeMessages()) {
        send(entry, envelope.to, envelope.message);
    }
}

void World::publishList()
{
    for (auto &[name, node] : m_nodes) {
        if (auto *asEntry = dynamic_cast<EntryNode *>(node.get()); asEntry != nullptr && asEntry->up) {
            const Duration lag(std::uniform_int_distribution<std::int64_t>(0, m_options.listLag.count())(m_random));
            atNode(m_now + lag, *asEntry, [this, asEntry] {
                refreshList(*asEntry);
            });
        }
    }
}

void World::refreshList(EntryNode &entry)
{
    std::vector<HostInfo> hosts;
    std::vector<NodeId> entries;
    std::vector<std::string> live;
    std::vector<std::string> listed;
    for (const auto &[name, host] : m_listed) {
        hosts.push_back(host);
        if (host.role != "entry") {
            continue;
        }
        entries.push_back(nodeId(name));
        listed.push_back(name);
        if (!host.leaving) {
            live.push_back(name);
        }
    }
    entry.directory->setHosts(m_now, hosts);
    entry.ledger->setEntries(m_now, live, listed);
    entry.spread->setPeers(entries);
}

} // namespace fulmarlink::testing
