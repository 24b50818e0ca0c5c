#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/message.h"
#include "fulmarlink/requestinfo.h"
#include "fulmarlink/requestmachine.h"
#include "fulmarlink/route.h"
#include "fulmarlink/slottable.h"

namespace fulmarlink
{

class Counters;
class RetryBudget;
class RunnerDirectory;

/** A caller's request on one entry host. */
using RequestId = std::uint64_t;

using Headers = std::vector<std::pair<std::string, std::string>>;
using Body = std::vector<std::uint8_t>;

/** Part of an answer for the caller. The first one carries status and headers. */
struct DeliverAction {
    RequestId request = 0;
    unsigned status = 0; ///< 0 for all but the first
    Headers headers;
    Body data;
    std::uint32_t nextSequence = 0; ///< for EntryCore::callerTook()
};

/** The request's end: Ok after the whole answer, else the code for the caller. */
struct FinishAction {
    RequestId request = 0;
    ResultCode code = ResultCode::Ok;
    Duration retryAfter{0}; ///< 0: none
};

struct SendAction {
    Envelope envelope;
};

/** Open a link to an agent; linkUp() or linkFailed() follows. */
struct OpenLinkAction {
    NodeId node = 0;
};

/** Ask the customer's limit for tokens; limitDecided() follows. */
struct LimitAction {
    RequestId request = 0;
    std::uint64_t customer = 0;
    std::uint32_t tokens = 0;
    TokenLimit limit;
};

using EntryAction = std::variant<DeliverAction, FinishAction, SendAction, OpenLinkAction, LimitAction>;

/** Where the home of an idempotency key is. */
class KeyHomes
{
public:
    virtual ~KeyHomes() = default;
    /** Node and term; node 0 if no home is known. */
    virtual std::pair<NodeId, std::uint64_t> homeOf(const KeyHash &key) const = 0;
};

struct EntryOptions {
    NodeId self = 0;
    std::uint64_t incarnation = 0;
    unsigned shard = 0;
    unsigned shards = 1; ///< sequence numbers of a shard are equal to it modulo shards
    std::size_t maxRequests = 4096; ///< in this shard
    std::size_t maxHeldChunks = 128; ///< chunks of one answer that came too early
    Duration permitResend = std::chrono::milliseconds(200);
    Duration permitWait = std::chrono::seconds(2);
    Duration relinkBackoff = std::chrono::milliseconds(100);
    Duration defaultRetryAfter = std::chrono::seconds(1);
    Duration linkWait = std::chrono::seconds(1); ///< for a link to open
};

/**
 * The decisions of an entry host on callers' requests, for one shard.
 *
 * How to use: report what happens (a request, a message, a link's change, time
 * passing) and carry out what takeActions() gives, in order.
 *
 * Contract:
 * - Each started request ends with exactly one FinishAction, at its deadline at the latest.
 * - DeliverActions of a request are in order, without gap or repetition, all from one dispatch.
 * - A code with Outcome::NotRun is only given with a proof; see RequestMachine.
 * - Memory is bounded by maxRequests, each with maxHeldChunks.
 * Pure: no clock, no sockets. Not thread-safe; its owner holds the shard's lock.
 */
class EntryCore
{
public:
    struct Services {
        RunnerDirectory &directory;
        RetryBudget &budget;
        Counters &counters;
        KeyHomes &homes;
    };

    EntryCore(EntryOptions options, Services services, std::uint64_t seed);
    ~EntryCore();
    EntryCore(const EntryCore &) = delete;
    EntryCore &operator=(const EntryCore &) = delete;

    void start(TimePoint now, RequestId id, RequestInfo info, const Route &route, std::shared_ptr<const Body> body);
    void receive(TimePoint now, NodeId from, const Message &message);
    void linkUp(TimePoint now, NodeId node);
    /** The link could not be opened; nothing was sent on it. */
    void linkFailed(TimePoint now, NodeId node);
    void linkDown(TimePoint now, NodeId node);
    void limitDecided(TimePoint now, RequestId id, bool granted, Duration retryAfter);
    void callerGone(TimePoint now, RequestId id);
    /** The caller's socket has taken all chunks before @p nextSequence. */
    void callerTook(TimePoint now, RequestId id, std::uint32_t nextSequence);
    /** Ends whatever still runs at the shutdown limit. */
    void cutAll(TimePoint now);
    void tick(TimePoint now);

    std::vector<EntryAction> takeActions();
    std::size_t requests() const;

private:
    struct Request;
    using RequestMap = std::unordered_map<RequestId, std::unique_ptr<Request>>;

    void begin(TimePoint now, Request &request);
    void askPermit(TimePoint now, Request &request);
    void onPermitReply(TimePoint now, const wire::PermitReplyT &reply);
    void onRefuse(TimePoint now, NodeId from, const wire::RefuseT &refuse);
    void onChunk(TimePoint now, NodeId from, const wire::ChunkT &chunk);
    void deliver(TimePoint now, Request &request, const wire::ChunkT &chunk);
    void deliverHeld(TimePoint now, Request &request);
    void noteLoad(TimePoint now, NodeId from, const wire::LoadT *load);
    void follow(TimePoint now, Request &request, RequestStep step);
    void choose(TimePoint now, Request &request);
    void dispatch(TimePoint now, Request &request);
    void attach(TimePoint now, Request &request);
    void onLinkUp(TimePoint now, Request &request);
    void onLinkFailed(TimePoint now, Request &request);
    void onDeadline(TimePoint now, Request &request);
    void wake(TimePoint now, Request &request);
    void leaveRunner(TimePoint now, Request &request, bool good);
    void finish(TimePoint now, Request &request);
    void acknowledge(const Request &request, std::uint32_t nextSequence);
    void reportKey(const Request &request, ResultCode code);
    void locateKey(const Request &request);
    void sendKeyOutcome(const Request &request, std::uint8_t state);
    bool mayRetry(const Request &request, double cost) const;
    RequestStep breakOff(Request &request, ResultCode code);
    void setWake(Request &request, TimePoint at);
    void dropDispatch(Request &request);
    void send(NodeId to, Message message);
    Request *findDispatch(const DispatchId &id);
    std::vector<Request *> requestsOn(NodeId node);

    EntryOptions m_options;
    Services m_services;
    Random m_random;
    std::uint64_t m_nextSequence;
    RequestMap m_requests;
    std::unordered_map<DispatchId, Request *, DispatchIdHash> m_byDispatch;
    std::set<std::pair<TimePoint, RequestId>> m_wakes;
    std::vector<EntryAction> m_actions;
};

} // namespace fulmarlink
