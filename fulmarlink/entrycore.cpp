// A request's way: start() -> [askPermit()] -> choose() -> [link] -> dispatch() ->
// onChunk() ... -> finish(). RequestMachine decides which steps are safe; this file does
// the bookkeeping of requests, entrydispatch.cpp that of their dispatches. Invariants:
// - m_byDispatch has the permit id and the current dispatch id of every live request,
//   and nothing else, so messages about a dispatch that was given up find nobody.
// - Each request has exactly one entry in m_wakes.

#include "fulmarlink/entrycore.h"

#include <algorithm>

#include "fulmarlink/counters.h"
#include "fulmarlink/entryrequest.h"
#include "fulmarlink/keyledger.h"
#include "fulmarlink/retrybudget.h"
#include "fulmarlink/runnerdirectory.h"

namespace fulmarlink
{

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
    m_services.budget.countFirstAttempt();
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

void EntryCore::setWake(Request &request, TimePoint at)
{
    m_wakes.erase({request.wakeAt, request.id});
    request.wakeAt = at;
    m_wakes.emplace(at, request.id);
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

std::vector<EntryAction> EntryCore::takeActions()
{
    return std::exchange(m_actions, {});
}

std::size_t EntryCore::requests() const
{
    return m_requests.size();
}

} // namespace fulmarlink
