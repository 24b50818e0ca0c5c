#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/message.h"
#include "fulmarlink/slottable.h"

namespace fulmarlink
{

/** What a key home knows of a key. The numbers travel in PermitOutcome. */
enum class KeyState : std::uint8_t {
    Granted = 0, ///< somebody may run it
    Located = 1, ///< dispatched; the runner's agent knows more
    Done = 2, ///< ran; the runner's agent may still hold the answer
    Unknown = 3, ///< may have run, and nobody knows any more
    NotRun = 4, ///< reported only: the key is free again
};

struct KeyLedgerOptions {
    std::string self; ///< host name of this entry
    std::uint64_t incarnation = 0;
    Duration retention = std::chrono::hours(1); ///< how long a key is remembered after it was last touched
    std::size_t maxKeys = 200'000; ///< hard limit on memory, about 200 bytes each
    unsigned homes = 16; ///< entries that are homes, chosen by rendezvous hash
    Duration listSettle = std::chrono::seconds(30); ///< how late the host list may be in showing a new entry
    Duration handoverTimeout = std::chrono::seconds(2);
    Duration drainLimit = std::chrono::seconds(10); ///< a leaving entry waits no longer for its successors
    Duration handoverBackoff = std::chrono::seconds(30); ///< after one that was refused or not answered
};

/** A conditional update of the slot table that the owner of the ledger must send to the object API. */
struct SlotTableUpdate {
    std::uint64_t expectedVersion = 0;
    std::string text;
};

/**
 * The home of a share of all idempotency keys: grants the one permit to run a key's
 * request and remembers what became of it, so that a request marked as not idempotent
 * runs at most once whichever entry its caller asks, and how often.
 *
 * How to use: feed it the slot table, the host list's entries, permit messages and
 * ticks; send what takeMessages() and takeUpdate() give.
 *
 * Contract:
 * - A permit is granted only by the owner of the key's slot, named with its
 *   incarnation in the newest slot table it has seen, and at most once a key while
 *   the key is remembered.
 * - A slot leaves a living owner only by the owner's own update, after the next owner
 *   has confirmed that it holds the slot's whole memory.
 * - A slot whose owner was dropped from the host list (had been in it; or is still missing
 *   listSettle after the table first named it), or was restarted, is taken over without
 *   memory: for the retention time its unknown keys are refused with
 *   KeyHistoryLost.
 * - Memory is bounded by maxKeys; at the bound new keys are refused, none is forgotten.
 * Not thread-safe; its owner holds a lock.
 */
class KeyLedger
{
public:
    KeyLedger(KeyLedgerOptions options, Counters &counters);

    /** Takes over a slot table; one that is not newer is ignored. */
    void setTable(TimePoint now, const SlotTable &table);
    /** The entries of the host list that are not leaving, and a test for hosts that the list has dropped. */
    void setEntries(TimePoint now, std::vector<std::string> entries, std::vector<std::string> allListed);

    void request(TimePoint now, NodeId from, const wire::PermitRequestT &request);
    /** An outcome for a slot that has moved on is passed to its owner, once. */
    void outcome(TimePoint now, const wire::PermitOutcomeT &outcome);
    void handover(TimePoint now, NodeId from, const wire::SlotHandoverT &handover);
    void handoverDone(TimePoint now, NodeId from, const wire::SlotHandoverDoneT &done);
    void tick(TimePoint now);
    /** Hands all slots over; used at shutdown. */
    void startDrain(TimePoint now);
    /** All slots are handed over, or nobody is there to take them, or drainLimit has passed. */
    bool drained(TimePoint now) const;

    std::vector<Envelope> takeMessages();
    /** The update to send, if any; asked again after updateFinished(). */
    std::optional<SlotTableUpdate> takeUpdate(TimePoint now);
    /** After an update was answered, failed or lost: the table is read anew before the next. */
    void updateFinished();
    bool wantsTable() const;

    /** The home of @p key as this node knows it: owner's node and term; node 0 if there is none. */
    std::pair<NodeId, std::uint64_t> homeOf(const KeyHash &key) const;
    std::size_t keys() const;
    unsigned ownedSlots() const;

private:
    struct Record {
        KeyState state = KeyState::Granted;
        DispatchId holder;
        DispatchId dispatch;
        NodeId runner = 0;
        std::uint64_t runnerIncarnation = 0;
        TimePoint touched{};
    };
    using Records = std::unordered_map<KeyHash, Record, KeyHashHasher>;

    struct Slot {
        Records records;
        TimePoint doubtUntil{};
        std::uint64_t heldTerm = 0; ///< the term whose memory `records` is; 0: none
        bool handingOver = false; ///< no grants any more
        std::uint64_t handoverSequence = 0; ///< of the newest copy sent or received
        bool confirmed = false; ///< the next owner holds the memory
        std::string nextOwner;
        std::uint64_t nextIncarnation = 0;
        TimePoint handoverSent{};
        TimePoint nextHandover{};
    };

    bool owns(std::uint32_t slot) const;
    std::string wantedOwner(std::uint32_t slot) const;
    void grant(TimePoint now, NodeId from, const wire::PermitRequestT &request, Records &records);
    void answerKnown(TimePoint now, NodeId from, const wire::PermitRequestT &request, Record &record);
    void refuse(NodeId from, const wire::PermitRequestT &request, ResultCode code);
    void considerHandover(TimePoint now, std::uint32_t slot);
    void sendHandover(TimePoint now, std::uint32_t slot);
    void giveUpHandover(TimePoint now, Slot &slot);
    void answerHandover(NodeId to, const wire::SlotHandoverT &handover, std::uint64_t incarnation);
    bool planSlot(TimePoint now, std::uint32_t slot, SlotOwner &owner);
    bool gone(TimePoint now, const std::string &owner);
    void expire(TimePoint now);

    KeyLedgerOptions m_options;
    Counters &m_counters;
    NodeId m_self;
    SlotTable m_table;
    std::vector<Slot> m_slots;
    std::vector<std::string> m_entries;
    std::vector<std::string> m_listed;
    std::set<NodeId> m_listedIds;
    std::set<NodeId> m_seen; ///< entries that this node's list has had
    std::map<std::string, TimePoint> m_unseenSince; ///< owners of slots that it has not had yet
    std::vector<std::string> m_homes;
    std::vector<Envelope> m_messages;
    std::size_t m_keys = 0;
    std::uint64_t m_nextSequence = 1;
    Counters::Id m_granted;
    Counters::Id m_takenOverClean;
    Counters::Id m_takenOverLost;
    bool m_updating = false;
    bool m_tableStale = true;
    bool m_draining = false;
    TimePoint m_drainUntil{};
    TimePoint m_lastExpiry{};
};

} // namespace fulmarlink
