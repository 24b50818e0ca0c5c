#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/fairqueue.h"
#include "fulmarlink/message.h"
#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

struct AgentOptions {
    NodeId self = 0;
    std::uint64_t incarnation = 0;
    unsigned concurrency = 8; ///< requests that the engine runs at once
    Duration maxQueueTime = std::chrono::milliseconds(800); ///< a request waits no longer before the engine
    std::size_t maxDispatches = 4096; ///< remembered at once, finished ones included
    std::size_t windowBytes = 256U << 10; ///< of an answer not yet taken by the entry
    std::size_t maxKeptBytes = 1U << 20; ///< of one keyed answer, kept for later attempts
    std::size_t maxKeptTotal = 32U << 20; ///< of all keyed answers together
    Duration keepFinished = std::chrono::seconds(60); ///< an answer waits for its entry, a tombstone is kept
    Duration keepKeyed = std::chrono::minutes(10); ///< a keyed answer is kept for later attempts
    Duration orphanGrace = std::chrono::seconds(10); ///< a request whose entry is gone runs on for so long
};

/** Hand the request to the engine. The shell reports engineCommitted() and what follows. */
struct StartEngineAction {
    DispatchId id;
    std::shared_ptr<const wire::DispatchT> request;
};

struct CancelEngineAction {
    DispatchId id;
};

/** The entry has taken enough of the answer: read on. */
struct ResumeEngineAction {
    DispatchId id;
};

using AgentAction = std::variant<Envelope, StartEngineAction, CancelEngineAction, ResumeEngineAction>;

/** Which link a message came on: the entry, its incarnation, and a number that rises with each link it opens. */
struct LinkRef {
    NodeId node = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
};

/**
 * The decisions of an agent: takes dispatches of entry hosts, queues them before its
 * one engine, and keeps numbered chunks of the answers until they are taken.
 *
 * How to use: report links, messages, the engine's progress and ticks; carry out
 * what takeActions() gives, in order.
 *
 * Contract:
 * - A dispatch id is handed to the engine at most once in this incarnation, however
 *   often and late its message comes. Messages of an older link, or of an older
 *   incarnation of an entry, are dropped.
 * - A refusal with not_run set is true for ever: the id is never handed to the engine
 *   after it, and was not before.
 * - Memory: maxDispatches records; windowBytes for each running answer, maxKeptTotal
 *   for finished keyed ones. At the bound new dispatches are refused.
 * - A draining agent takes no new dispatch and finishes all it has.
 * Pure: no clock, no sockets. Not thread-safe; its owner holds a lock.
 */
class AgentCore
{
public:
    AgentCore(AgentOptions options, Counters &counters);
    ~AgentCore();

    /** False if a newer link of the entry, or a newer incarnation of it, is known: close this one. */
    bool linkUp(TimePoint now, const LinkRef &link);
    void linkDown(TimePoint now, const LinkRef &link);
    void receive(TimePoint now, const LinkRef &link, const Message &message);

    /** The first byte of the request is about to be written to the engine: "not run" may no longer be said. */
    void engineCommitted(TimePoint now, const DispatchId &id);
    void engineHead(TimePoint now, const DispatchId &id, unsigned status, std::vector<std::pair<std::string, std::string>> headers);
    /** False: the window is full; stop reading until ResumeEngineAction. */
    bool engineData(TimePoint now, const DispatchId &id, std::span<const std::uint8_t> data);
    void engineEnd(TimePoint now, const DispatchId &id);
    /** The engine failed. @p notRun is only true before engineCommitted(), or when the engine itself says so. */
    void engineFailed(TimePoint now, const DispatchId &id, ResultCode code, bool notRun);

    void startDrain(TimePoint now);
    /** True once nothing runs and every answer was taken or its wait is over. */
    bool drained(TimePoint now) const;
    /** At the shutdown limit: refuses what is queued, breaks off what runs, and says so. */
    void cutAll(TimePoint now);
    void tick(TimePoint now);

    std::vector<AgentAction> takeActions();
    wire::LoadT load() const;
    std::size_t dispatches() const;
    unsigned running() const;

private:
    enum class State : std::uint8_t {
        Queued,
        Starting, ///< given to the shell, not yet committed
        Running, ///< the engine has it
        Finished, ///< all chunks are there
        Tombstone, ///< refused for ever
    };
    struct Subscriber {
        DispatchId id; ///< chunks are sent under this id
        NodeId entry = 0;
        std::uint32_t sent = 0; ///< next chunk to send
        std::uint32_t taken = 0; ///< next chunk that the entry waits for
        bool linked = true;
    };
    struct Chunk {
        std::vector<std::uint8_t> data;
        bool last = false;
        ResultCode broken = ResultCode::Ok;
    };
    struct Record;
    using RecordPtr = std::unique_ptr<Record>;
    struct EntrySeen {
        std::uint64_t incarnation = 0;
        std::uint64_t epoch = 0;
        bool linked = false;
        TimePoint lostAt{};
        std::uint64_t floor = 0; ///< ids up to here that have no record are expired
    };

    void onDispatch(TimePoint now, const LinkRef &link, const wire::DispatchT &dispatch);
    void onAttach(TimePoint now, const LinkRef &link, const wire::AttachT &attach);
    void onAck(TimePoint now, const wire::AckT &ack);
    void onCancel(TimePoint now, const wire::CancelT &cancel);
    ResultCode refusalFor(TimePoint now, const wire::DispatchT &dispatch, const EntrySeen &entry) const;
    void bury(TimePoint now, const DispatchId &id);
    void refuse(NodeId to, const DispatchId &id, ResultCode code, bool notRun);
    void startNext(TimePoint now);
    void append(TimePoint now, Record &record, Chunk chunk);
    void finishRecord(TimePoint now, Record &record);
    void sendChunks(Record &record, Subscriber &subscriber);
    void trim(Record &record);
    void cancelRecord(TimePoint now, Record &record);
    void expireQueue(TimePoint now);
    void expireRecords(TimePoint now);
    void watchDeadlines(TimePoint now);
    void broadcastLoad();
    Duration expectedWait() const;
    Record *find(const DispatchId &id);
    Subscriber *subscriberOf(Record &record, const DispatchId &id);
    void send(NodeId to, Message message);

    AgentOptions m_options;
    Counters &m_counters;
    std::unordered_map<DispatchId, RecordPtr, DispatchIdHash> m_records;
    std::unordered_map<DispatchId, DispatchId, DispatchIdHash> m_subscriptions; ///< subscription id -> dispatch id
    std::map<NodeId, EntrySeen> m_entries;
    FairQueue m_queue;
    std::vector<AgentAction> m_actions;
    unsigned m_running = 0;
    std::size_t m_keptBytes = 0;
    double m_serviceSeconds = 0; ///< smoothed time that the engine takes for a request
    Duration m_firstByte{0}; ///< smoothed time to first byte
    TimePoint m_lastExpiry{};
    bool m_draining = false;
};

} // namespace fulmarlink
