// A request's way through this file: start() -> [askPermit()] -> choose() -> [link] ->
// dispatch() -> onChunk() ... -> finish(). RequestMachine decides which steps are safe;
// this file does the bookkeeping around it. Invariants:
// - m_byDispatch has the permit id and the current dispatch id of every live request,
//   and nothing else, so messages about a dispatch that was given up find nobody.
// - Each request has exactly one entry in m_wakes.

#include "fulmarlink/entrycore.h"

#include <algorithm>

#include "fulmarlink/counters.h"
#include "fulmarlink/keyledger.h"
#include "fulmarlink/mutation.h"
#include "fulmarlink/retrybudget.h"
#include "fulmarlink/runnerdirectory.h"

namespace fulmarlink
{

namespace
{

constexpr double kFullRetryCost = 1.0;

Duration jittered(Duration base, Random &random)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(base.count() / 2, base.count())(random));
}

RetryReason reasonFor(ResultCode code)
{
    switch (code) {
    case ResultCode::RunnerLeaving:
    case ResultCode::ShuttingDown:
    case ResultCode::IncarnationChanged:
        return RetryReason::RunnerLeaving;
    case ResultCode::DispatchNeverArrived:
        return RetryReason::NeverArrived;
    case ResultCode::EngineRefused:
    case ResultCode::EngineUnreachable:
        return RetryReason::EngineRefused;
    case ResultCode::NoRunnerReachable:
        return RetryReason::LinkNeverSent;
    case ResultCode::LinkLost:
    case ResultCode::RunnerReplaced:
    case ResultCode::EngineBroke:
        return RetryReason::IdempotentLost;
    default:
        return RetryReason::RunnerBusy;
    }
}

bool isRunnerError(ResultCode code)
{
    return code == ResultCode::EngineRefused || code == ResultCode::EngineUnreachable || code == ResultCode::EngineBroke || code == ResultCode::LinkLost
           || code == ResultCode::RunnerReplaced;
}

} // namespace

struct EntryCore::Request {
    explicit Request(bool idempotent)
        : machine(idempotent)
    {
    }

    RequestId id = 0;
    RequestInfo info;
    Route route;
    std::shared_ptr<const Body> body;
    RequestMachine machine;
    TimePoint deadline{};
    TimePoint wakeAt{};
    TimePoint permitUntil{};
    TimePoint linkUntil{};

    bool limited = false; ///< waits for its customer's limit
    bool keyed = false; ///< needs a permit of its key's home
    KeyHash key;
    DispatchId permitId;

    bool observer = false; ///< reads the answer of another request's dispatch
    DispatchId observed;
    DispatchId current; ///< sequence 0: none
    NodeId runner = 0; ///< 0: none chosen
    std::uint64_t runnerIncarnation = 0;
    bool linking = false; ///< waits for a link to runner
    bool counted = false; ///< the directory counts it in flight on runner
    unsigned attempts = 0;
    std::vector<NodeId> tried;
    ResultCode lastRefusal = ResultCode::EmptyPool;
    Duration retryAfter{0};

    bool headGiven = false;
    std::uint32_t nextSequence = 0;
    std::map<std::uint32_t, wire::ChunkT> held; ///< came before its turn
};

EntryCore::EntryCore(EntryOptions options, Services services, std::uint64_t seed)
    : m_options(options)
    , m_services(services)
    , m_random(seed)
    , m_nextSequence(options.shards + options.shard)
{
}

EntryCore::~EntryCore() = default;

void EntryCore::start(TimePoint now, RequestId id, RequestInfo info, const Route &route, std::shared_ptr<const Body> body)
{
    ResultCode refusal = route.refusal;
    if (refusal == ResultCode::Ok && m_requests.size() >= m_options.maxRequests) {
        refusal = ResultCode::EntryOverloaded;
    }
    if (refusal == ResultCode::Ok && !m_services.directory.hasPool(route.pool)) {
        refusal = ResultCode::UnknownPool;
    }
    if (refusal != ResultCode::Ok) {
        m_services.counters.countResult(refusal);
        m_actions.push_back(FinishAction{id, refusal, resultInfo(refusal).retryLater ? m_options.defaultRetryAfter : Duration(0)});
        return;
    }
    auto owned = std::make_unique<Request>(route.idempotent);
    Request &request = *owned;
    request.id = id;
    request.info = std::move(info);
    request.route = route;
    request.body = std::move(body);
    request.deadline = now + (route.deadline ? std::min(*route.deadline, request.info.budget) : request.info.budget);
    request.permitId = DispatchId(m_options.self, m_options.incarnation, m_nextSequence);
    m_nextSequence += m_options.shards;
    request.keyed = !route.idempotent && !request.info.idempotencyKey.empty();
    m_requests.emplace(id, std::move(owned));
    setWake(request, request.deadline);
    m_services.budget.countFirst();
    if (route.limit) {
        request.limited = true;
        m_actions.push_back(LimitAction{id, hashOf(request.info.customer), std::max(1U, request.info.promptTokens), *route.limit});
        return;
    }
    begin(now, request);
}

void EntryCore::limitDecided(TimePoint now, RequestId id, bool granted, Duration retryAfter)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || !it->second->limited) {
        return;
    }
    Request &request = *it->second;
    request.limited = false;
    if (granted) {
        begin(now, request);
        return;
    }
    request.retryAfter = retryAfter;
    follow(now, request, request.machine.giveUp(ResultCode::CustomerLimit));
}

/** The limit allows it: ask for the key's permit, or choose a runner. */
void EntryCore::begin(TimePoint now, Request &request)
{
    if (!request.keyed) {
        follow(now, request, request.machine.ready());
        return;
    }
    request.key = hashKey(request.info.customer, request.info.idempotencyKey);
    request.permitUntil = now + m_options.permitWait;
    m_byDispatch.emplace(request.permitId, &request);
    askPermit(now, request);
}

void EntryCore::askPermit(TimePoint now, Request &request)
{
    const auto [home, term] = m_services.homes.homeOf(request.key);
    if (home != 0) {
        wire::PermitRequestT message;
        message.id = std::make_unique<DispatchId>(request.permitId);
        message.key_hi = request.key.high;
        message.key_lo = request.key.low;
        message.slot = SlotTable::slotOf(request.key);
        message.term = term;
        send(home, std::move(message));
    }
    setWake(request, std::min({request.deadline, request.permitUntil, now + m_options.permitResend}));
}

void EntryCore::receive(TimePoint now, NodeId from, const Message &message)
{
    std::visit(Overloaded{
                   [&](const wire::PermitReplyT &reply) {
                       onPermitReply(now, reply);
                   },
                   [&](const wire::RefuseT &refuse) {
                       onRefuse(now, from, refuse);
                   },
                   [&](const wire::ChunkT &chunk) {
                       onChunk(now, from, chunk);
                   },
                   [&](const wire::AcceptT &accept) {
                       noteLoad(now, from, accept.load.get());
                   },
                   [&](const wire::ProbeReplyT &reply) {
                       noteLoad(now, from, reply.load.get());
                   },
                   [](const auto & /*other*/) {
                   },
               },
               message);
}

void EntryCore::onPermitReply(TimePoint now, const wire::PermitReplyT &reply)
{
    Request *request = reply.id ? findDispatch(*reply.id) : nullptr;
    if (request == nullptr || request->machine.state() != RequestState::Waiting) {
        return;
    }
    if (reply.granted) {
        follow(now, *request, request->machine.ready());
        return;
    }
    const auto code = static_cast<ResultCode>(reply.code);
    if (code == ResultCode::KeyHomeUnreachable) {
        return; // the slot is moving; the next resend asks its new owner
    }
    if (!reply.attach || reply.attach_runner == 0) {
        follow(now, *request, request->machine.giveUp(code));
        return;
    }
    request->observer = true;
    request->observed = *reply.attach;
    request->runner = reply.attach_runner;
    request->runnerIncarnation = reply.attach_incarnation;
    request->lastRefusal = code;
    request->machine.ready();
    attach(now, *request);
}

void EntryCore::onRefuse(TimePoint now, NodeId from, const wire::RefuseT &refuse)
{
    noteLoad(now, from, refuse.load.get());
    Request *request = refuse.id ? findDispatch(*refuse.id) : nullptr;
    if (request == nullptr || request->runner != from) {
        return;
    }
    const auto code = static_cast<ResultCode>(refuse.code);
    request->retryAfter = std::chrono::milliseconds(refuse.retry_after_ms);
    if (!refuse.not_run) {
        leaveRunner(now, *request, !isRunnerError(code));
        follow(now, *request, breakOff(*request, code));
        return;
    }
    request->lastRefusal = code;
    leaveRunner(now, *request, !isRunnerError(code));
    const bool cheap = code == ResultCode::RunnerBusy || code == ResultCode::RunnerLeaving;
    const bool retry = !request->observer && mayRetry(*request, cheap ? RetryBudget::kRefusalCost : kFullRetryCost);
    follow(now, *request, request->machine.notRun(code, retry));
}

void EntryCore::onChunk(TimePoint now, NodeId from, const wire::ChunkT &chunk)
{
    noteLoad(now, from, chunk.load.get());
    Request *request = chunk.id ? findDispatch(*chunk.id) : nullptr;
    if (request == nullptr || request->runner != from) {
        return;
    }
    if (request->machine.state() != RequestState::Dispatched && request->machine.state() != RequestState::Streaming) {
        return; // it will come again after the link is resumed
    }
    if (mutated(Mutation::SkipChunk)) {
        request->nextSequence = std::max(request->nextSequence, chunk.sequence);
    }
    if (chunk.sequence < request->nextSequence) {
        return; // repeated
    }
    if (chunk.sequence > request->nextSequence) {
        if (request->held.size() < m_options.maxHeldChunks) {
            request->held.emplace(chunk.sequence, chunk);
        }
        return;
    }
    const RequestId id = request->id;
    deliver(now, *request, chunk);
    if (m_requests.contains(id)) {
        deliverHeld(now, *request);
    }
}

void EntryCore::deliverHeld(TimePoint now, Request &request)
{
    const RequestId id = request.id;
    while (m_requests.contains(id)) {
        const auto it = request.held.find(request.nextSequence);
        if (it == request.held.end()) {
            return;
        }
        const wire::ChunkT chunk = std::move(it->second);
        request.held.erase(it);
        deliver(now, request, chunk);
    }
}

void EntryCore::deliver(TimePoint now, Request &request, const wire::ChunkT &chunk)
{
    ++request.nextSequence;
    if (chunk.broken_code != 0 && !mutated(Mutation::CutIsWhole)) {
        leaveRunner(now, request, false);
        follow(now, request, breakOff(request, static_cast<ResultCode>(chunk.broken_code)));
        return;
    }
    DeliverAction action;
    action.request = request.id;
    action.nextSequence = request.nextSequence;
    action.data = chunk.data;
    if (!request.headGiven) {
        action.status = chunk.status;
        for (const auto &header : chunk.headers) {
            action.headers.emplace_back(header->name, header->value);
        }
        request.headGiven = true;
    }
    m_actions.emplace_back(std::move(action));
    if (!chunk.last) {
        request.machine.chunk();
        return;
    }
    leaveRunner(now, request, true);
    follow(now, request, request.machine.end());
}

void EntryCore::noteLoad(TimePoint now, NodeId from, const wire::LoadT *load)
{
    if (load == nullptr) {
        return;
    }
    RunnerLoad seen;
    seen.inFlight = load->in_flight;
    seen.queued = load->queued;
    seen.queuedTokens = load->queued_tokens;
    seen.capacity = load->capacity;
    seen.latency = Duration(load->latency_us);
    seen.reportedAt = now;
    m_services.directory.reportLoad(from, load->incarnation, seen, load->leaving);
}

void EntryCore::follow(TimePoint now, Request &request, RequestStep step)
{
    switch (step) {
    case RequestStep::Nothing:
        return;
    case RequestStep::Choose:
        dropDispatch(request);
        choose(now, request);
        return;
    case RequestStep::Reattach:
        request.linking = true;
        request.linkUntil = now + m_options.linkWait;
        setWake(request, std::min(request.deadline, request.linkUntil));
        m_actions.push_back(OpenLinkAction{request.runner});
        return;
    case RequestStep::Finish:
        finish(now, request);
        return;
    }
}

void EntryCore::choose(TimePoint now, Request &request)
{
    PickContext context;
    context.now = now;
    context.prefixHash = request.info.prefixHash;
    context.preferLocalZone = request.route.preferLocalZone;
    context.attempt = request.attempts;
    context.last = request.attempts + 1 >= request.route.maxAttempts;
    auto runner = m_services.directory.pick(request.route.pool, context, request.tried);
    if (!runner && !request.tried.empty()) {
        runner = m_services.directory.pick(request.route.pool, context, {});
    }
    if (!runner) {
        follow(now, request, request.machine.giveUp(request.lastRefusal));
        return;
    }
    request.runner = *runner;
    request.tried.push_back(*runner);
    ++request.attempts;
    request.counted = true;
    m_services.directory.started(*runner);
    if (m_services.directory.linkedIncarnation(*runner) != 0) {
        dispatch(now, request);
        return;
    }
    request.linking = true;
    request.linkUntil = now + m_options.linkWait;
    setWake(request, std::min(request.deadline, request.linkUntil));
    m_actions.push_back(OpenLinkAction{*runner});
}

void EntryCore::dispatch(TimePoint now, Request &request)
{
    request.linking = false;
    request.runnerIncarnation = m_services.directory.linkedIncarnation(request.runner);
    request.current = DispatchId(m_options.self, m_options.incarnation, m_nextSequence);
    m_nextSequence += m_options.shards;
    m_byDispatch.emplace(request.current, &request);
    locateKey(request);

    wire::DispatchT message;
    message.id = std::make_unique<DispatchId>(request.current);
    message.target_incarnation = request.runnerIncarnation;
    message.budget_ms = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now).count());
    message.method = request.info.method;
    message.path = request.info.path;
    for (const auto &[name, value] : request.info.headers) {
        auto header = std::make_unique<wire::HeaderT>();
        header->name = name;
        header->value = value;
        message.headers.push_back(std::move(header));
    }
    message.body = *request.body;
    message.idempotent = request.route.idempotent;
    message.keyed = request.keyed;
    message.priority = static_cast<std::uint8_t>(request.route.priority);
    message.customer = request.info.customer;
    message.tokens = request.info.promptTokens;
    // The agent may queue the last attempt; before that it refuses early, so that another runner gets the request.
    message.may_queue = request.attempts >= request.route.maxAttempts;
    setWake(request, request.deadline);
    request.machine.sent();
    send(request.runner, std::move(message));
}

void EntryCore::attach(TimePoint now, Request &request)
{
    if (request.current.sequence() == 0) {
        request.current = DispatchId(m_options.self, m_options.incarnation, m_nextSequence);
        m_nextSequence += m_options.shards;
        m_byDispatch.emplace(request.current, &request);
    }
    const std::uint64_t linked = m_services.directory.linkedIncarnation(request.runner);
    if (linked == 0) {
        request.linking = true;
        request.linkUntil = now + m_options.linkWait;
        setWake(request, std::min(request.deadline, request.linkUntil));
        m_actions.push_back(OpenLinkAction{request.runner});
        return;
    }
    request.linking = false;
    setWake(request, request.deadline);
    if (linked != request.runnerIncarnation && !mutated(Mutation::IgnoreIncarnation)) {
        // The agent that took the dispatch is gone. Whether it ran is only unknown for the request itself.
        if (request.observer && request.machine.state() == RequestState::Choosing) {
            follow(now, request, request.machine.giveUp(request.lastRefusal));
            return;
        }
        leaveRunner(now, request, false);
        follow(now, request, breakOff(request, ResultCode::RunnerReplaced));
        return;
    }
    wire::AttachT message;
    message.id = std::make_unique<DispatchId>(request.current);
    message.next_sequence = request.nextSequence;
    if (request.observer) {
        message.of = std::make_unique<DispatchId>(request.observed);
    }
    request.held.clear();
    if (request.machine.state() == RequestState::Choosing) {
        request.machine.sent();
    } else {
        request.machine.resumed();
    }
    send(request.runner, std::move(message));
}

void EntryCore::linkUp(TimePoint now, NodeId node)
{
    for (Request *request : requestsOn(node)) {
        if (request->linking) {
            onLinkUp(now, *request);
        }
    }
}

void EntryCore::onLinkUp(TimePoint now, Request &request)
{
    if (request.observer || request.machine.state() == RequestState::Recovering) {
        attach(now, request);
        return;
    }
    if (request.machine.state() == RequestState::Choosing) {
        dispatch(now, request);
    }
}

void EntryCore::linkFailed(TimePoint now, NodeId node)
{
    for (Request *request : requestsOn(node)) {
        if (request->linking) {
            onLinkFailed(now, *request);
        }
    }
}

void EntryCore::onLinkFailed(TimePoint now, Request &request)
{
    request.linking = false;
    const bool before = request.machine.state() == RequestState::Choosing;
    if (before && !request.observer) {
        // Nothing was sent: another runner is free to take it.
        request.lastRefusal = ResultCode::NoRunnerReachable;
        leaveRunner(now, request, false);
        if (!mayRetry(request, RetryBudget::kRefusalCost)) {
            follow(now, request, request.machine.giveUp(request.lastRefusal));
            return;
        }
        m_services.counters.countRetry(RetryReason::LinkNeverSent);
        choose(now, request);
        return;
    }
    if (m_services.directory.dropped(request.runner)) {
        leaveRunner(now, request, false);
        follow(now, request, before ? request.machine.giveUp(request.lastRefusal) : breakOff(request, ResultCode::RunnerReplaced));
        return;
    }
    // The only one that knows the outcome can't be reached now: ask again until the deadline.
    setWake(request, std::min(request.deadline, now + jittered(m_options.relinkBackoff, m_random)));
}

void EntryCore::linkDown(TimePoint now, NodeId node)
{
    for (Request *request : requestsOn(node)) {
        const RequestState state = request->machine.state();
        if (state != RequestState::Dispatched && state != RequestState::Streaming) {
            continue;
        }
        const bool retry = (request->route.idempotent || mutated(Mutation::RetryAfterCommit)) && !request->headGiven && mayRetry(*request, kFullRetryCost);
        if (retry) {
            leaveRunner(now, *request, false);
            request->lastRefusal = ResultCode::LinkLost;
        }
        follow(now, *request, request->machine.lost(retry));
    }
}

void EntryCore::callerGone(TimePoint now, RequestId id)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return;
    }
    Request &request = *it->second;
    const RequestState state = request.machine.state();
    const bool before = state == RequestState::Waiting || state == RequestState::Choosing;
    leaveRunner(now, request, true);
    follow(now, request, before ? request.machine.giveUp(ResultCode::CancelledBeforeRun) : request.machine.broke(ResultCode::CallerGone, false));
}

void EntryCore::callerTook(TimePoint /*now*/, RequestId id, std::uint32_t nextSequence)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || it->second->current.sequence() == 0) {
        return;
    }
    acknowledge(*it->second, nextSequence);
}

void EntryCore::acknowledge(const Request &request, std::uint32_t nextSequence)
{
    wire::AckT ack;
    ack.id = std::make_unique<DispatchId>(request.current);
    ack.next_sequence = nextSequence;
    send(request.runner, std::move(ack));
}

void EntryCore::cutAll(TimePoint now)
{
    std::vector<Request *> all;
    for (const auto &[id, request] : m_requests) {
        all.push_back(request.get());
    }
    for (Request *request : all) {
        leaveRunner(now, *request, true);
        const RequestState state = request->machine.state();
        const bool before = state == RequestState::Waiting || state == RequestState::Choosing;
        follow(now, *request, before ? request->machine.giveUp(ResultCode::ShuttingDown) : request->machine.broke(ResultCode::CutByShutdown, false));
    }
}

void EntryCore::tick(TimePoint now)
{
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        const RequestId id = m_wakes.begin()->second;
        Request &request = *m_requests.at(id);
        if (now >= request.deadline) {
            onDeadline(now, request);
        } else {
            wake(now, request);
        }
    }
}

void EntryCore::onDeadline(TimePoint now, Request &request)
{
    const RequestState state = request.machine.state();
    const bool before = state == RequestState::Waiting || state == RequestState::Choosing;
    leaveRunner(now, request, true);
    if (before) {
        follow(now, request, request.machine.giveUp(request.observer ? request.lastRefusal : ResultCode::DeadlineBeforeRun));
        return;
    }
    const bool lost = state == RequestState::Recovering;
    const ResultCode code = request.observer ? request.lastRefusal : lost ? ResultCode::LinkLost : ResultCode::DeadlineAfterDispatch;
    follow(now, request, request.machine.broke(code, false));
}

void EntryCore::wake(TimePoint now, Request &request)
{
    setWake(request, request.deadline);
    const RequestState state = request.machine.state();
    if (state == RequestState::Waiting) {
        if (now >= request.permitUntil) {
            follow(now, request, request.machine.giveUp(ResultCode::KeyHomeUnreachable));
            return;
        }
        askPermit(now, request);
        return;
    }
    if (request.linking && now >= request.linkUntil) {
        onLinkFailed(now, request);
        return;
    }
    if (!request.linking && (state == RequestState::Recovering || request.observer)) {
        attach(now, request);
    }
}

void EntryCore::leaveRunner(TimePoint now, Request &request, bool good)
{
    if (!request.counted) {
        return;
    }
    request.counted = false;
    const bool busy = request.lastRefusal == ResultCode::RunnerBusy && !request.headGiven;
    m_services.directory.finished(now, request.runner, !good ? RunnerVerdict::Error : busy ? RunnerVerdict::Busy : RunnerVerdict::Good);
}

void EntryCore::finish(TimePoint /*now*/, Request &request)
{
    const ResultCode code = request.machine.code();
    const ResultInfo &info = resultInfo(code);
    if (request.current.sequence() != 0 && code == ResultCode::Ok) {
        acknowledge(request, request.nextSequence);
    } else if (request.current.sequence() != 0) {
        wire::CancelT cancel;
        cancel.id = std::make_unique<DispatchId>(request.current);
        send(request.runner, std::move(cancel));
    }
    reportKey(request, code);
    m_services.counters.countResult(code);
    Duration retryAfter{0};
    if (info.retryLater) {
        retryAfter = request.retryAfter.count() > 0 ? request.retryAfter : m_options.defaultRetryAfter;
    }
    m_actions.push_back(FinishAction{request.id, code, retryAfter});
    dropDispatch(request);
    m_byDispatch.erase(request.permitId);
    m_wakes.erase({request.wakeAt, request.id});
    const RequestId id = request.id;
    m_requests.erase(id);
}

void EntryCore::reportKey(const Request &request, ResultCode code)
{
    if (!request.keyed || request.observer) {
        return;
    }
    if (code == ResultCode::Ok) {
        sendKeyOutcome(request, static_cast<std::uint8_t>(KeyState::Done));
    } else if (resultInfo(code).outcome == Outcome::NotRun) {
        sendKeyOutcome(request, static_cast<std::uint8_t>(KeyState::NotRun));
    } else if (code == ResultCode::RunnerReplaced) {
        sendKeyOutcome(request, static_cast<std::uint8_t>(KeyState::Unknown));
    }
}

void EntryCore::locateKey(const Request &request)
{
    if (request.keyed) {
        sendKeyOutcome(request, static_cast<std::uint8_t>(KeyState::Located));
    }
}

void EntryCore::sendKeyOutcome(const Request &request, std::uint8_t state)
{
    const NodeId home = m_services.homes.homeOf(request.key).first;
    if (home == 0) {
        return;
    }
    wire::PermitOutcomeT outcome;
    outcome.id = std::make_unique<DispatchId>(request.permitId);
    outcome.key_hi = request.key.high;
    outcome.key_lo = request.key.low;
    outcome.slot = SlotTable::slotOf(request.key);
    outcome.state = state;
    if (request.current.sequence() != 0) {
        outcome.dispatch = std::make_unique<DispatchId>(request.current);
        outcome.runner = request.runner;
        outcome.runner_incarnation = request.runnerIncarnation;
    }
    send(home, std::move(outcome));
}

/** The answer can't be completed; only an idempotent request of which the caller has nothing goes elsewhere. */
RequestStep EntryCore::breakOff(Request &request, ResultCode code)
{
    if (request.observer) {
        return request.machine.broke(request.lastRefusal, false);
    }
    request.lastRefusal = code;
    const bool repeatable = (request.route.idempotent || mutated(Mutation::RetryAfterCommit)) && !request.headGiven;
    return request.machine.broke(code, repeatable && mayRetry(request, kFullRetryCost));
}

bool EntryCore::mayRetry(const Request &request, double cost) const
{
    return request.attempts < request.route.maxAttempts && m_services.budget.takeRetry(cost);
}

void EntryCore::setWake(Request &request, TimePoint at)
{
    m_wakes.erase({request.wakeAt, request.id});
    request.wakeAt = at;
    m_wakes.emplace(at, request.id);
}

void EntryCore::dropDispatch(Request &request)
{
    if (request.current.sequence() == 0) {
        return;
    }
    if (request.machine.state() == RequestState::Choosing) {
        m_services.counters.countRetry(reasonFor(request.lastRefusal));
    }
    m_byDispatch.erase(request.current);
    request.current = DispatchId();
    request.nextSequence = 0;
    request.held.clear();
}

void EntryCore::send(NodeId to, Message message)
{
    m_actions.push_back(SendAction{{to, std::move(message)}});
}

EntryCore::Request *EntryCore::findDispatch(const DispatchId &id)
{
    const auto it = m_byDispatch.find(id);
    return it == m_byDispatch.end() ? nullptr : it->second;
}

std::vector<EntryCore::Request *> EntryCore::requestsOn(NodeId node)
{
    std::vector<Request *> result;
    for (const auto &[id, request] : m_requests) {
        if (request->runner == node) {
            result.push_back(request.get());
        }
    }
    // In order of arrival, so that a run is the same each time.
    std::ranges::sort(result, {}, [](const Request *request) {
        return request->id;
    });
    return result;
}

std::vector<EntryAction> EntryCore::takeActions()
{
    return std::exchange(m_actions, {});
}

std::size_t EntryCore::requests() const
{
    return m_requests.size();
}

} // namespace fulmarlink
