#pragma once

#include <functional>
#include <mutex>

#include "fulmarlink/entrycore.h"
#include "fulmarlink/keyledger.h"

namespace fulmarlink
{

class LinkHub;
class ObjectStore;

/**
 * Runs this entry's KeyLedger: its lock, its messages and its updates of the slot
 * table in the object API. Thread-safe.
 */
class KeyService final : public KeyHomes
{
public:
    static constexpr const char *kDocument = "key-homes";
    using Send = std::function<void(NodeId, const Message &)>;
    using NewTable = std::function<void(std::uint64_t, const std::string &)>;

    /** @p newTable is told of each table that the store gives; the lock is not held. */
    KeyService(KeyLedgerOptions options, Counters &counters, ObjectStore &store, Send send, NewTable newTable);

    std::pair<NodeId, std::uint64_t> homeOf(const KeyHash &key) const override;
    void receive(TimePoint now, NodeId from, const Message &message);
    void setTable(TimePoint now, std::uint64_t version, const std::string &text);
    void setEntries(TimePoint now, std::vector<std::string> entries, std::vector<std::string> allListed);
    void tick(TimePoint now);
    void startDrain(TimePoint now);
    bool drained(TimePoint now) const;
    unsigned ownedSlots() const;
    std::size_t keys() const;

private:
    void flush(const std::vector<Envelope> &messages);
    void update(const SlotTableUpdate &update);
    void readTable();

    mutable std::mutex m_mutex;
    KeyLedger m_ledger;
    ObjectStore &m_store;
    Send m_send;
    NewTable m_newTable;
    bool m_reading = false;
    TimePoint m_nextRead{};
    Duration m_readBackoff{0};
};

} // namespace fulmarlink
