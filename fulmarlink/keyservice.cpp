#include "fulmarlink/keyservice.h"

#include "fulmarlink/objectstore.h"
#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

namespace
{

constexpr Duration kReadBackoff = std::chrono::milliseconds(500);
constexpr Duration kMaxReadBackoff = std::chrono::seconds(8);

} // namespace

KeyService::KeyService(KeyLedgerOptions options, Counters &counters, ObjectStore &store, Send send, NewTable newTable)
    : m_ledger(std::move(options), counters)
    , m_store(store)
    , m_send(std::move(send))
    , m_newTable(std::move(newTable))
{
}

std::pair<NodeId, std::uint64_t> KeyService::homeOf(const KeyHash &key) const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.homeOf(key);
}

void KeyService::receive(TimePoint now, NodeId from, const Message &message)
{
    std::vector<Envelope> messages;
    {
        const std::lock_guard lock(m_mutex);
        std::visit(Overloaded{
                       [&](const wire::PermitRequestT &request) {
                           m_ledger.request(now, from, request);
                       },
                       [&](const wire::PermitOutcomeT &outcome) {
                           m_ledger.outcome(now, outcome);
                       },
                       [&](const wire::SlotHandoverT &handover) {
                           m_ledger.handover(now, from, handover);
                       },
                       [&](const wire::SlotHandoverDoneT &done) {
                           m_ledger.handoverDone(now, from, done);
                       },
                       [](const auto & /*other*/) {
                       },
                   },
                   message);
        messages = m_ledger.takeMessages();
    }
    flush(messages);
}

void KeyService::setTable(TimePoint now, std::uint64_t version, const std::string &text)
{
    SlotTable table;
    if (!text.empty() && table.parse(text, version)) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_ledger.setTable(now, table);
}

void KeyService::setEntries(TimePoint now, std::vector<std::string> entries, std::vector<std::string> allListed)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.setEntries(now, std::move(entries), std::move(allListed));
}

void KeyService::tick(TimePoint now)
{
    std::optional<SlotTableUpdate> wanted;
    std::vector<Envelope> messages;
    bool read = false;
    {
        const std::lock_guard lock(m_mutex);
        m_ledger.tick(now);
        wanted = m_ledger.takeUpdate(now);
        messages = m_ledger.takeMessages();
        read = m_ledger.wantsTable() && !m_reading && now >= m_nextRead;
        if (read) {
            m_reading = true;
            m_readBackoff = std::min(std::max(kReadBackoff, m_readBackoff * 2), kMaxReadBackoff);
            m_nextRead = now + m_readBackoff;
        }
    }
    flush(messages);
    if (wanted) {
        update(*wanted);
    }
    if (read) {
        readTable();
    }
}

void KeyService::update(const SlotTableUpdate &update)
{
    m_store.put(kDocument, update.expectedVersion, update.text, [this, text = update.text](std::error_code error, const StoredObject &object) {
        {
            // Whatever came of it, the table is read again before the next change: a lost answer proves nothing.
            const std::lock_guard lock(m_mutex);
            m_ledger.updateFinished();
            m_nextRead = TimePoint{};
        }
        if (!error) {
            m_newTable(object.version, text);
        }
    });
}

void KeyService::readTable()
{
    m_store.get(kDocument, [this](std::error_code error, const StoredObject &object) {
        {
            const std::lock_guard lock(m_mutex);
            m_reading = false;
            if (!error || error == ResultCode::ObjectNotFound) {
                m_readBackoff = Duration(0);
            }
        }
        if (!error || error == ResultCode::ObjectNotFound) {
            m_newTable(error ? 0 : object.version, error ? std::string() : object.text);
        }
    });
}

void KeyService::flush(const std::vector<Envelope> &messages)
{
    for (const Envelope &envelope : messages) {
        m_send(envelope.to, envelope.message);
    }
}

void KeyService::startDrain(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.startDrain(now);
}

bool KeyService::drained(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.drained(now);
}

unsigned KeyService::ownedSlots() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.ownedSlots();
}

std::size_t KeyService::keys() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.keys();
}

} // namespace fulmarlink
