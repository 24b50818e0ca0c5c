// The argument for "at most once". A permit for a key can come from two owners of its
// slot only if both grant it. Owners follow one another by conditional updates of one
// object, so their order is agreed. If the earlier handed over, it stopped granting
// before it sent its memory, and the later starts with that memory. If the earlier was
// dropped from the host list, it is gone, and what it granted is unknown: the later one
// refuses every key it does not know until the retention has passed, that is, until the
// earlier one would have forgotten it as well. If the earlier restarted, the later is
// its own next incarnation and the same holds. A paused owner that was not dropped
// keeps its slots, and its keys are refused as unreachable meanwhile.

#include "fulmarlink/keyledger.h"

#include <algorithm>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr Duration kExpiryInterval = std::chrono::seconds(1);

std::chrono::milliseconds toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

KeyLedger::KeyLedger(KeyLedgerOptions options, Counters &counters)
    : m_options(std::move(options))
    , m_counters(counters)
    , m_self(nodeId(m_options.self))
    , m_slots(SlotTable::kSlots)
    , m_granted(counters.registerCounter("fulmarlink_key_permits_total"))
    , m_takenOverClean(counters.registerCounter("fulmarlink_key_slots_taken_over_total{memory=\"kept\"}"))
    , m_takenOverLost(counters.registerCounter("fulmarlink_key_slots_taken_over_total{memory=\"lost\"}"))
{
}

void KeyLedger::setTable(TimePoint now, const SlotTable &table)
{
    m_tableStale = false;
    if (table.version <= m_table.version) {
        return;
    }
    m_table = table;
    for (std::uint32_t i = 0; i < SlotTable::kSlots; ++i) {
        Slot &slot = m_slots[i];
        const SlotOwner &owner = m_table.owners[i];
        if (!owns(i)) {
            if (owner.term > slot.heldTerm && !(owner.name == m_options.self)) {
                m_keys -= slot.records.size();
                slot = Slot{};
            }
            continue;
        }
        if (slot.heldTerm == owner.term) {
            continue;
        }
        // Owner now. With the memory of the term before it goes on; otherwise what that owner granted is unknown.
        const bool hasMemory = owner.clean && (slot.heldTerm + 1 == owner.term || owner.term == 1);
        if (!hasMemory && !mutated(Mutation::ForgetDoubt)) {
            slot.doubtUntil = now + m_options.retention;
        }
        m_counters.add(hasMemory ? m_takenOverClean : m_takenOverLost);
        slot.heldTerm = owner.term;
        slot.handingOver = false;
        slot.confirmed = false;
    }
}

void KeyLedger::setEntries(TimePoint now, std::vector<std::string> entries, std::vector<std::string> allListed)
{
    if (allListed.empty()) {
        return;
    }
    m_entries = std::move(entries);
    m_listed = std::move(allListed);
    m_homes = m_entries;
    std::ranges::sort(m_homes, {}, [](const std::string &name) {
        return hashOf(name);
    });
    m_homes.resize(std::min<std::size_t>(m_homes.size(), m_options.homes));
    m_listedIds.clear();
    for (const std::string &name : m_listed) {
        m_listedIds.insert(nodeId(name));
        m_unseenSince.erase(name);
    }
    m_seen.insert(m_listedIds.begin(), m_listedIds.end());
    for (Slot &slot : m_slots) {
        for (auto &item : slot.records) {
            // The holder of a permit is gone and never said where it went: nobody will ever know.
            Record &record = item.second;
            const NodeId holder = record.holder.entry();
            if (record.state == KeyState::Granted && m_seen.contains(holder) && !m_listedIds.contains(holder)) {
                record.state = KeyState::Unknown;
                record.touched = now;
            }
        }
    }
}

bool KeyLedger::owns(std::uint32_t slot) const
{
    const SlotOwner &owner = m_table.owners[slot];
    return owner.name == m_options.self && owner.incarnation == m_options.incarnation;
}

std::string KeyLedger::wantedOwner(std::uint32_t slot) const
{
    std::string best;
    std::uint64_t bestHash = 0;
    for (const std::string &home : m_homes) {
        if (m_draining && home == m_options.self) {
            continue;
        }
        const std::uint64_t hash = mixHash(hashOf(home), slot);
        if (best.empty() || hash > bestHash) {
            best = home;
            bestHash = hash;
        }
    }
    return best;
}

std::pair<NodeId, std::uint64_t> KeyLedger::homeOf(const KeyHash &key) const
{
    const SlotOwner &owner = m_table.owners[SlotTable::slotOf(key)];
    return {owner.name.empty() ? 0 : nodeId(owner.name), owner.term};
}

void KeyLedger::request(TimePoint now, NodeId from, const wire::PermitRequestT &request)
{
    if (request.slot >= SlotTable::kSlots || !request.id) {
        return;
    }
    Slot &slot = m_slots[request.slot];
    const bool handingOver = slot.handingOver && !mutated(Mutation::GrantInHandover);
    if (!owns(request.slot) || handingOver || request.term != slot.heldTerm) {
        m_tableStale = m_tableStale || request.term > m_table.owners[request.slot].term;
        refuse(from, request, ResultCode::KeyHomeUnreachable);
        return;
    }
    const auto it = slot.records.find({request.key_hi, request.key_lo});
    if (it != slot.records.end()) {
        answerKnown(now, from, request, it->second);
        return;
    }
    if (now < slot.doubtUntil) {
        refuse(from, request, ResultCode::KeyHistoryLost);
        return;
    }
    if (m_keys >= m_options.maxKeys) {
        refuse(from, request, ResultCode::KeyTableFull);
        return;
    }
    grant(now, from, request, slot.records);
}

void KeyLedger::grant(TimePoint now, NodeId from, const wire::PermitRequestT &request, Records &records)
{
    Record record;
    record.holder = *request.id;
    record.touched = now;
    records.insert_or_assign({request.key_hi, request.key_lo}, record);
    ++m_keys;
    m_counters.add(m_granted);
    wire::PermitReplyT reply;
    reply.id = std::make_unique<DispatchId>(*request.id);
    reply.granted = true;
    m_messages.push_back({from, std::move(reply)});
}

void KeyLedger::answerKnown(TimePoint now, NodeId from, const wire::PermitRequestT &request, Record &record)
{
    wire::PermitReplyT reply;
    reply.id = std::make_unique<DispatchId>(*request.id);
    if (record.holder == *request.id || (mutated(Mutation::GrantTwice) && record.state != KeyState::Done)) {
        reply.granted = true; // the same permit, asked again because its answer was late
        m_messages.push_back({from, std::move(reply)});
        return;
    }
    switch (record.state) {
    case KeyState::Granted:
        reply.code = static_cast<std::uint16_t>(ResultCode::KeyInProgress);
        break;
    case KeyState::Located:
    case KeyState::Done:
        reply.code = static_cast<std::uint16_t>(record.state == KeyState::Done ? ResultCode::AnswerNoLongerHeld : ResultCode::KeyOutcomeUnknown);
        reply.attach = std::make_unique<DispatchId>(record.dispatch);
        reply.attach_runner = record.runner;
        reply.attach_incarnation = record.runnerIncarnation;
        break;
    case KeyState::Unknown:
    case KeyState::NotRun:
        reply.code = static_cast<std::uint16_t>(ResultCode::KeyOutcomeUnknown);
        break;
    }
    record.touched = now;
    m_messages.push_back({from, std::move(reply)});
}

void KeyLedger::refuse(NodeId from, const wire::PermitRequestT &request, ResultCode code)
{
    wire::PermitReplyT reply;
    reply.id = std::make_unique<DispatchId>(*request.id);
    reply.code = static_cast<std::uint16_t>(code);
    m_messages.push_back({from, std::move(reply)});
}

void KeyLedger::outcome(TimePoint now, const wire::PermitOutcomeT &outcome)
{
    if (outcome.slot >= SlotTable::kSlots || !outcome.id || outcome.state > static_cast<std::uint8_t>(KeyState::NotRun)) {
        return;
    }
    const NodeId owner = m_table.owners[outcome.slot].name.empty() ? 0 : nodeId(m_table.owners[outcome.slot].name);
    if (owner != 0 && owner != m_self && !outcome.forwarded) {
        wire::PermitOutcomeT copy = outcome;
        copy.forwarded = true;
        m_messages.push_back({owner, std::move(copy)});
        return;
    }
    Slot &slot = m_slots[outcome.slot];
    const auto it = slot.records.find({outcome.key_hi, outcome.key_lo});
    if (it == slot.records.end() || !(it->second.holder == *outcome.id)) {
        return;
    }
    Record &record = it->second;
    const auto state = static_cast<KeyState>(outcome.state);
    // A handover copies the memory; what is reported after that must not change it, or the two would differ.
    if (slot.handingOver && state == KeyState::NotRun) {
        return;
    }
    if (state == KeyState::NotRun || (state == KeyState::Done && mutated(Mutation::ForgetKeys))) {
        slot.records.erase(it);
        --m_keys;
        return;
    }
    if (state < record.state) {
        return; // late
    }
    record.state = state;
    record.touched = now;
    if (outcome.dispatch) {
        record.dispatch = *outcome.dispatch;
        record.runner = outcome.runner;
        record.runnerIncarnation = outcome.runner_incarnation;
    }
}

void KeyLedger::considerHandover(TimePoint now, std::uint32_t index)
{
    Slot &slot = m_slots[index];
    if (!owns(index) || slot.confirmed) {
        return;
    }
    if (slot.handingOver) {
        if (now >= slot.handoverSent + m_options.handoverTimeout) {
            giveUpHandover(now, slot);
        }
        return;
    }
    const std::string wanted = wantedOwner(index);
    if (wanted.empty() || wanted == m_options.self || now < slot.nextHandover) {
        return;
    }
    slot.nextOwner = wanted;
    sendHandover(now, index);
}

/** Back to granting: the table still names this node, and a confirmation that comes now has an old sequence number. */
void KeyLedger::giveUpHandover(TimePoint now, Slot &slot)
{
    slot.handingOver = false;
    slot.nextHandover = now + (m_draining ? m_options.handoverTimeout : m_options.handoverBackoff);
}

void KeyLedger::sendHandover(TimePoint now, std::uint32_t index)
{
    Slot &slot = m_slots[index];
    slot.handingOver = true;
    slot.handoverSent = now;
    wire::SlotHandoverT message;
    slot.handoverSequence = m_nextSequence++;
    message.sequence = slot.handoverSequence;
    message.slot = index;
    message.term = slot.heldTerm;
    message.doubt_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMs(slot.doubtUntil - now).count()));
    for (const auto &[key, record] : slot.records) {
        auto copy = std::make_unique<wire::KeyRecordT>();
        copy->key_hi = key.high;
        copy->key_lo = key.low;
        copy->state = static_cast<std::uint8_t>(record.state);
        copy->holder = std::make_unique<DispatchId>(record.holder);
        copy->dispatch = std::make_unique<DispatchId>(record.dispatch);
        copy->runner = record.runner;
        copy->runner_incarnation = record.runnerIncarnation;
        copy->age_ms = static_cast<std::uint32_t>(toMs(now - record.touched).count());
        message.records.push_back(std::move(copy));
    }
    m_messages.push_back({nodeId(slot.nextOwner), std::move(message)});
}

void KeyLedger::handover(TimePoint now, NodeId from, const wire::SlotHandoverT &handover)
{
    if (handover.slot >= SlotTable::kSlots || owns(handover.slot)) {
        return;
    }
    if (m_draining) {
        answerHandover(from, handover, 0);
        return;
    }
    Slot &slot = m_slots[handover.slot];
    if (handover.term < slot.heldTerm || (handover.term == slot.heldTerm && handover.sequence <= slot.handoverSequence)) {
        return; // an older copy, late
    }
    m_keys -= slot.records.size();
    slot = Slot{};
    slot.heldTerm = handover.term;
    slot.handoverSequence = handover.sequence;
    slot.doubtUntil = now + std::chrono::milliseconds(handover.doubt_ms);
    for (const auto &copy : handover.records) {
        if (!copy || !copy->holder || !copy->dispatch) {
            continue;
        }
        Record record;
        record.state = static_cast<KeyState>(copy->state);
        record.holder = *copy->holder;
        record.dispatch = *copy->dispatch;
        record.runner = copy->runner;
        record.runnerIncarnation = copy->runner_incarnation;
        record.touched = now - std::chrono::milliseconds(copy->age_ms);
        slot.records.emplace(KeyHash{copy->key_hi, copy->key_lo}, record);
    }
    m_keys += slot.records.size();
    answerHandover(from, handover, m_options.incarnation);
}

void KeyLedger::answerHandover(NodeId to, const wire::SlotHandoverT &handover, std::uint64_t incarnation)
{
    wire::SlotHandoverDoneT done;
    done.slot = handover.slot;
    done.term = handover.term;
    done.sequence = handover.sequence;
    done.incarnation = incarnation;
    m_messages.push_back({to, done});
}

void KeyLedger::handoverDone(TimePoint now, NodeId from, const wire::SlotHandoverDoneT &done)
{
    if (done.slot >= SlotTable::kSlots) {
        return;
    }
    Slot &slot = m_slots[done.slot];
    if (!slot.handingOver || !owns(done.slot) || done.term != slot.heldTerm || done.sequence != slot.handoverSequence || from != nodeId(slot.nextOwner)) {
        return;
    }
    if (done.incarnation == 0) {
        giveUpHandover(now, slot);
        return;
    }
    slot.confirmed = true;
    slot.nextIncarnation = done.incarnation;
}

/** An owner that this node's list has never had may be newer than the list: it is only gone if it stays missing. */
bool KeyLedger::gone(TimePoint now, const std::string &owner)
{
    const NodeId id = nodeId(owner);
    if (m_listedIds.contains(id)) {
        return false;
    }
    return m_seen.contains(id) || now >= m_unseenSince.try_emplace(owner, now).first->second + m_options.listSettle;
}

/** True if this node must change @p owner, which then holds the new value. */
bool KeyLedger::planSlot(TimePoint now, std::uint32_t index, SlotOwner &owner)
{
    const Slot &slot = m_slots[index];
    if (owns(index)) {
        if (!slot.confirmed) {
            return false;
        }
        owner = {slot.nextOwner, slot.nextIncarnation, owner.term + 1, true};
        return true;
    }
    if (m_draining) {
        return false;
    }
    const bool former = owner.name == m_options.self;
    if (!former && (wantedOwner(index) != m_options.self || !(owner.name.empty() || gone(now, owner.name)))) {
        return false;
    }
    owner = {m_options.self, m_options.incarnation, owner.term + 1, owner.name.empty()};
    return true;
}

std::optional<SlotTableUpdate> KeyLedger::takeUpdate(TimePoint now)
{
    if (m_updating || m_tableStale || m_listed.empty()) {
        return std::nullopt;
    }
    SlotTable next = m_table;
    bool changed = false;
    for (std::uint32_t i = 0; i < SlotTable::kSlots; ++i) {
        changed = planSlot(now, i, next.owners[i]) || changed;
    }
    if (!changed) {
        return std::nullopt;
    }
    m_updating = true;
    return SlotTableUpdate{m_table.version, next.serialize()};
}

void KeyLedger::updateFinished()
{
    m_updating = false;
    m_tableStale = true;
}

bool KeyLedger::wantsTable() const
{
    return m_tableStale;
}

void KeyLedger::tick(TimePoint now)
{
    for (std::uint32_t i = 0; i < SlotTable::kSlots; ++i) {
        considerHandover(now, i);
    }
    if (now >= m_lastExpiry + kExpiryInterval) {
        m_lastExpiry = now;
        expire(now);
    }
}

void KeyLedger::expire(TimePoint now)
{
    for (Slot &slot : m_slots) {
        if (slot.handingOver) {
            continue;
        }
        m_keys -= std::erase_if(slot.records, [&](const auto &item) {
            return now >= item.second.touched + m_options.retention;
        });
    }
}

void KeyLedger::startDrain(TimePoint now)
{
    m_draining = true;
    m_drainUntil = now + m_options.drainLimit;
}

bool KeyLedger::drained(TimePoint now) const
{
    return m_draining && (ownedSlots() == 0 || wantedOwner(0).empty() || now >= m_drainUntil);
}

std::vector<Envelope> KeyLedger::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::size_t KeyLedger::keys() const
{
    return m_keys;
}

unsigned KeyLedger::ownedSlots() const
{
    unsigned owned = 0;
    for (std::uint32_t i = 0; i < SlotTable::kSlots; ++i) {
        owned += owns(i) ? 1 : 0;
    }
    return owned;
}

} // namespace fulmarlink
