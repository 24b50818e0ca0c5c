// EntryCore's part that deals with runners: picking one, links, dispatches and the chunks
// that come back. The other part is in entrycore.cpp.

#include <algorithm>

#include "fulmarlink/counters.h"
#include "fulmarlink/entrycore.h"
#include "fulmarlink/entryrequest.h"
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
    if (m_services.directory.isUnlisted(request.runner)) {
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

void EntryCore::leaveRunner(TimePoint now, Request &request, bool good)
{
    if (!request.counted) {
        return;
    }
    request.counted = false;
    const bool busy = request.lastRefusal == ResultCode::RunnerBusy && !request.headGiven;
    m_services.directory.finished(now, request.runner, !good ? DispatchOutcome::Error : busy ? DispatchOutcome::Busy : DispatchOutcome::Success);
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

} // namespace fulmarlink
