// A dispatch's way: Queued -> Starting -> Running -> Finished, or Tombstone. The moment
// after which this agent no longer says "not run" is engineCommitted(): before it the
// engine has not seen a byte, so the record can be buried and the refusal is true for
// ever. The record (or, once forgotten, the entry's floor) keeps a late duplicate of
// the same id from being run. The argument rests on three facts: an entry sends a
// dispatch id on one link only; messages of replaced links are dropped; ids rise.

#include "fulmarlink/agentcore.h"

#include <algorithm>

#include "fulmarlink/agentrecord.h"
#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr Duration kExpiryInterval = std::chrono::milliseconds(100);
constexpr Duration kShortWait = std::chrono::milliseconds(20); ///< not worth another runner
constexpr double kFairShareSlack = 2.0;
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(50);

} // namespace

AgentCore::AgentCore(AgentOptions options, Counters &counters)
    : m_options(options)
    , m_counters(counters)
{
}

AgentCore::~AgentCore() = default;

bool AgentCore::linkUp(TimePoint /*now*/, const LinkRef &link)
{
    EntrySeen &seen = m_entries[link.node];
    if (link.incarnation < seen.incarnation || (link.incarnation == seen.incarnation && link.epoch < seen.epoch)) {
        m_counters.countResult(ResultCode::StaleLink);
        return false;
    }
    if (link.incarnation > seen.incarnation) {
        seen.floor = 0; // ids of the new incarnation start anew; those of the old one are dropped with its links
    }
    seen.incarnation = link.incarnation;
    seen.epoch = link.epoch;
    seen.linked = true;
    return true;
}

void AgentCore::linkDown(TimePoint now, const LinkRef &link)
{
    const auto it = m_entries.find(link.node);
    if (it == m_entries.end() || it->second.incarnation != link.incarnation || it->second.epoch != link.epoch) {
        return;
    }
    it->second.linked = false;
    it->second.lostAt = now;
    for (auto &[id, record] : m_records) {
        for (Subscriber &subscriber : record->subscribers) {
            if (subscriber.entry == link.node) {
                subscriber.linked = false;
            }
        }
    }
}

void AgentCore::receive(TimePoint now, const LinkRef &link, const Message &message)
{
    const auto it = m_entries.find(link.node);
    const bool current = it != m_entries.end() && it->second.incarnation == link.incarnation && it->second.epoch == link.epoch;
    if (!current && !mutated(Mutation::AcceptStaleLink)) {
        m_counters.countResult(ResultCode::StaleLink);
        return;
    }
    std::visit(Overloaded{
                   [&](const wire::DispatchT &dispatch) {
                       onDispatch(now, link, dispatch);
                   },
                   [&](const wire::AttachT &attach) {
                       onAttach(now, link, attach);
                   },
                   [&](const wire::AckT &ack) {
                       onAck(now, ack);
                   },
                   [&](const wire::CancelT &cancel) {
                       onCancel(now, cancel);
                   },
                   [&](const wire::ProbeT &probe) {
                       wire::ProbeReplyT reply;
                       reply.sequence = probe.sequence;
                       reply.load = std::make_unique<wire::LoadT>(load());
                       send(link.node, std::move(reply));
                   },
                   [](const auto & /*other*/) {
                   },
               },
               message);
}

void AgentCore::onDispatch(TimePoint now, const LinkRef &link, const wire::DispatchT &dispatch)
{
    if (!dispatch.id || dispatch.id->entry() != link.node) {
        return;
    }
    const DispatchId id = *dispatch.id;
    if (Record *known = find(id); known != nullptr && !mutated(Mutation::ForgetDispatches)) {
        if (known->state == State::Tombstone) {
            refuse(link.node, id, ResultCode::DispatchNeverArrived, true);
        }
        return; // a duplicate
    }
    const ResultCode code = refusalFor(now, dispatch, m_entries[link.node]);
    if (code != ResultCode::Ok) {
        const bool notRun = resultInfo(code).outcome == Outcome::NotRun;
        if (notRun) {
            bury(now, id);
        }
        refuse(link.node, id, code, notRun);
        return;
    }
    auto record = std::make_unique<Record>();
    record->request = std::make_shared<const wire::DispatchT>(dispatch);
    record->deadline = now + std::chrono::milliseconds(dispatch.budget_ms);
    record->keyed = dispatch.keyed;
    record->keep = dispatch.keyed;
    record->subscribers.push_back({id, link.node, 0, 0, true});
    m_subscriptions.insert_or_assign(id, id);
    m_records.insert_or_assign(id, std::move(record));

    const Duration queueTime = std::min(m_options.maxQueueTime, Duration(std::chrono::milliseconds(dispatch.budget_ms)));
    const auto priority = static_cast<Priority>(std::min<std::size_t>(dispatch.priority, kPriorities - 1));
    m_queue.push({id, dispatch.customer, std::max(1U, dispatch.tokens), priority, now + queueTime});
    startNext(now);
    wire::AcceptT accept;
    accept.id = std::make_unique<DispatchId>(id);
    accept.load = std::make_unique<wire::LoadT>(load());
    send(link.node, std::move(accept));
}

ResultCode AgentCore::refusalFor(TimePoint /*now*/, const wire::DispatchT &dispatch, const EntrySeen &entry) const
{
    if (dispatch.target_incarnation != m_options.incarnation) {
        return ResultCode::IncarnationChanged;
    }
    if (dispatch.id->sequence() <= entry.floor) {
        return ResultCode::DispatchExpired;
    }
    if (m_draining && !mutated(Mutation::IgnoreLeaving)) {
        return ResultCode::RunnerLeaving;
    }
    if (dispatch.budget_ms == 0) {
        return ResultCode::DeadlineBeforeRun;
    }
    if (m_records.size() >= m_options.maxDispatches) {
        return ResultCode::DispatchTableFull;
    }
    if (m_running < m_options.concurrency) {
        return ResultCode::Ok;
    }
    const Duration wait = expectedWait();
    if (wait > m_options.maxQueueTime || (!dispatch.may_queue && wait > kShortWait)) {
        return ResultCode::RunnerBusy;
    }
    const double share = static_cast<double>(m_queue.tokens()) / static_cast<double>(std::max<std::size_t>(1, m_queue.customers()));
    const bool contended = wait > m_options.maxQueueTime / 2 && m_queue.customers() > 1;
    if (contended && static_cast<double>(m_queue.tokensOf(dispatch.customer)) > kFairShareSlack * share) {
        return ResultCode::FairShareExceeded;
    }
    return m_queue.size() >= FairQueue::kMaxQueued ? ResultCode::TooManyRequests : ResultCode::Ok;
}

Duration AgentCore::expectedWait() const
{
    const double service = m_serviceSeconds / std::max(1U, m_options.concurrency);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(service * static_cast<double>(m_queue.size() + 1)));
}

void AgentCore::bury(TimePoint now, const DispatchId &id)
{
    if (mutated(Mutation::NoTombstone) || mutated(Mutation::AcceptStaleLink)) {
        m_records.erase(id);
        return;
    }
    auto tombstone = std::make_unique<Record>();
    tombstone->state = State::Tombstone;
    tombstone->finishedAt = now;
    m_records.insert_or_assign(id, std::move(tombstone));
    m_subscriptions.erase(id);
}

void AgentCore::refuse(NodeId to, const DispatchId &id, ResultCode code, bool notRun)
{
    m_counters.countResult(code);
    wire::RefuseT message;
    message.id = std::make_unique<DispatchId>(id);
    message.code = static_cast<std::uint16_t>(code);
    message.not_run = notRun;
    message.retry_after_ms
        = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::max(kLeastRetryAfter, expectedWait())).count());
    message.load = std::make_unique<wire::LoadT>(load());
    send(to, std::move(message));
}

void AgentCore::startNext(TimePoint now)
{
    while (m_running < m_options.concurrency) {
        const auto item = m_queue.pop();
        if (!item) {
            return;
        }
        Record *record = find(item->id);
        if (record == nullptr || record->state != State::Queued) {
            continue;
        }
        record->state = State::Starting;
        record->startedAt = now;
        ++m_running;
        m_actions.push_back(StartEngineAction{item->id, record->request});
    }
}

void AgentCore::startDrain(TimePoint /*now*/)
{
    m_draining = true;
    broadcastLoad();
}

void AgentCore::broadcastLoad()
{
    for (const auto &[node, seen] : m_entries) {
        if (seen.linked) {
            wire::ProbeReplyT reply;
            reply.load = std::make_unique<wire::LoadT>(load());
            send(node, std::move(reply));
        }
    }
}

bool AgentCore::drained(TimePoint now) const
{
    if (m_running > 0 || m_queue.size() > 0) {
        return false;
    }
    return std::ranges::none_of(m_records, [&](const auto &item) {
        const Record &record = *item.second;
        if (record.state != State::Finished || now >= record.finishedAt + m_options.orphanGrace) {
            return false;
        }
        return std::ranges::any_of(record.subscribers, [&](const Subscriber &subscriber) {
            return subscriber.taken < record.end();
        });
    });
}

void AgentCore::cutAll(TimePoint now)
{
    for (const FairQueue::Item &item : m_queue.clear()) {
        const NodeId entry = item.id.entry();
        bury(now, item.id);
        refuse(entry, item.id, ResultCode::ShuttingDown, true);
    }
    std::vector<DispatchId> live;
    for (const auto &[id, record] : m_records) {
        if (record->state == State::Starting || record->state == State::Running) {
            live.push_back(id);
        }
    }
    for (const DispatchId &id : live) {
        m_actions.push_back(CancelEngineAction{id});
        engineFailed(now, id, ResultCode::CutByShutdown, false);
    }
}

void AgentCore::tick(TimePoint now)
{
    expireQueue(now);
    startNext(now);
    if (now < m_lastExpiry + kExpiryInterval) {
        return;
    }
    m_lastExpiry = now;
    watchDeadlines(now);
    expireRecords(now);
}

void AgentCore::expireQueue(TimePoint now)
{
    for (const FairQueue::Item &item : m_queue.expire(now)) {
        const Record *record = find(item.id);
        const bool late = record != nullptr && now >= record->deadline;
        bury(now, item.id);
        refuse(item.id.entry(), item.id, late ? ResultCode::DeadlineBeforeRun : ResultCode::RunnerBusy, true);
    }
}

void AgentCore::watchDeadlines(TimePoint now)
{
    for (auto &[id, record] : m_records) {
        if (record->keyed || (record->state != State::Starting && record->state != State::Running)) {
            continue;
        }
        const auto entry = m_entries.find(id.entry());
        const bool replaced = entry == m_entries.end() || entry->second.incarnation != id.incarnation();
        const bool orphan = replaced || (!entry->second.linked && now >= entry->second.lostAt + m_options.orphanGrace);
        if (now >= record->deadline || (orphan && record->subscribers.size() <= 1)) {
            cancelRecord(now, *record);
        }
    }
}

void AgentCore::expireRecords(TimePoint now)
{
    // When the table is nearly full the finished ones go sooner; raising the floor keeps that safe.
    const bool crowded = m_records.size() >= m_options.maxDispatches - m_options.maxDispatches / 4;
    for (auto it = m_records.begin(); it != m_records.end();) {
        const Record &record = *it->second;
        const bool over = record.state == State::Finished || record.state == State::Tombstone;
        const Duration keep = crowded ? m_options.orphanGrace / 2 : record.keyed ? m_options.keepKeyed : m_options.keepFinished;
        if (!over || now < record.finishedAt + keep) {
            ++it;
            continue;
        }
        const auto entry = m_entries.find(it->first.entry());
        if (entry != m_entries.end() && entry->second.incarnation == it->first.incarnation()) {
            entry->second.floor = std::max(entry->second.floor, it->first.sequence());
        }
        m_keptBytes -= record.keyed ? record.bytes : 0;
        for (const Subscriber &subscriber : record.subscribers) {
            m_subscriptions.erase(subscriber.id);
        }
        it = m_records.erase(it);
    }
}

AgentCore::Record *AgentCore::find(const DispatchId &id)
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : it->second.get();
}

void AgentCore::send(NodeId to, Message message)
{
    m_actions.emplace_back(Envelope{to, std::move(message)});
}

std::vector<AgentAction> AgentCore::takeActions()
{
    return std::exchange(m_actions, {});
}

wire::LoadT AgentCore::load() const
{
    wire::LoadT result;
    result.runner = m_options.self;
    result.incarnation = m_options.incarnation;
    result.in_flight = m_running;
    result.queued = static_cast<std::uint32_t>(m_queue.size());
    result.queued_tokens = static_cast<std::uint32_t>(m_queue.tokens());
    result.capacity = m_options.concurrency;
    result.latency_us = static_cast<std::uint32_t>(std::max<std::int64_t>(0, m_firstByte.count()));
    result.leaving = m_draining;
    return result;
}

std::size_t AgentCore::dispatches() const
{
    return m_records.size();
}

unsigned AgentCore::running() const
{
    return m_running;
}

} // namespace fulmarlink
