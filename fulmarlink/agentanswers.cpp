// AgentCore's part that deals with answers: the engine's progress, numbered chunks, and
// the entries that read them. The other part, dispatches and the queue, is in agentcore.cpp.

#include <algorithm>

#include "fulmarlink/agentcore.h"
#include "fulmarlink/agentrecord.h"

namespace fulmarlink
{

namespace
{

constexpr double kSmoothing = 0.1;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void AgentCore::engineCommitted(TimePoint /*now*/, const DispatchId &id)
{
    Record *record = find(id);
    if (record != nullptr && record->state == State::Starting) {
        record->state = State::Running;
    }
}

void AgentCore::engineHead(TimePoint now, const DispatchId &id, unsigned status, std::vector<std::pair<std::string, std::string>> headers)
{
    Record *record = find(id);
    if (record == nullptr || record->state != State::Running) {
        return;
    }
    record->status = status;
    record->headers = std::move(headers);
    m_firstByte += std::chrono::duration_cast<Duration>((now - record->startedAt - m_firstByte) * kSmoothing);
    append(now, *record, {});
}

bool AgentCore::engineData(TimePoint now, const DispatchId &id, std::span<const std::uint8_t> data)
{
    Record *record = find(id);
    if (record == nullptr || record->state != State::Running) {
        return true;
    }
    append(now, *record, {{data.begin(), data.end()}, false, ResultCode::Ok});
    std::size_t waiting = 0;
    if (!record->subscribers.empty()) {
        const auto slowest = std::ranges::min_element(record->subscribers, {}, &Subscriber::taken);
        for (std::uint32_t i = std::max(slowest->taken, record->base); i < record->end(); ++i) {
            waiting += record->chunks[i - record->base].data.size();
        }
    }
    record->paused = waiting >= m_options.windowBytes;
    return !record->paused;
}

void AgentCore::engineEnd(TimePoint now, const DispatchId &id)
{
    Record *record = find(id);
    if (record == nullptr || record->state != State::Running) {
        return;
    }
    m_serviceSeconds += kSmoothing * (toSeconds(now - record->startedAt) - m_serviceSeconds);
    append(now, *record, {{}, true, ResultCode::Ok});
    finishRecord(now, *record);
}

void AgentCore::engineFailed(TimePoint now, const DispatchId &id, ResultCode code, bool notRun)
{
    Record *record = find(id);
    if (record == nullptr || (record->state != State::Running && record->state != State::Starting)) {
        return;
    }
    if (notRun && record->chunks.empty() && record->base == 0) {
        --m_running;
        const std::vector<Subscriber> subscribers = record->subscribers;
        const bool cancelled = record->cancelled;
        bury(now, id);
        for (const Subscriber &subscriber : subscribers) {
            if (!cancelled) {
                refuse(subscriber.entry, subscriber.id, subscriber.id == id ? code : ResultCode::KeyInProgress, true);
            }
        }
        startNext(now);
        return;
    }
    append(now, *record, {{}, true, code});
    finishRecord(now, *record);
}

void AgentCore::append(TimePoint /*now*/, Record &record, Chunk chunk)
{
    record.bytes += chunk.data.size();
    if (record.keyed) {
        m_keptBytes += chunk.data.size();
    }
    record.chunks.push_back(std::move(chunk));
    if (record.keep && (record.bytes > m_options.maxKeptBytes || m_keptBytes > m_options.maxKeptTotal)) {
        record.keep = false;
    }
    for (Subscriber &subscriber : record.subscribers) {
        sendChunks(record, subscriber);
    }
    trim(record);
}

void AgentCore::finishRecord(TimePoint now, Record &record)
{
    record.state = State::Finished;
    record.finishedAt = now;
    record.request.reset();
    --m_running;
    startNext(now);
}

void AgentCore::sendChunks(Record &record, Subscriber &subscriber)
{
    if (!subscriber.linked) {
        return;
    }
    for (; subscriber.sent < record.end(); ++subscriber.sent) {
        const Chunk &chunk = record.chunks[subscriber.sent - record.base];
        wire::ChunkT message;
        message.id = std::make_unique<DispatchId>(subscriber.id);
        message.sequence = subscriber.sent;
        message.data = chunk.data;
        message.last = chunk.last;
        message.broken_code = static_cast<std::uint16_t>(chunk.broken);
        if (subscriber.sent == 0) {
            message.status = static_cast<std::uint16_t>(record.status);
            for (const auto &[name, value] : record.headers) {
                auto header = std::make_unique<wire::HeaderT>();
                header->name = name;
                header->value = value;
                message.headers.push_back(std::move(header));
            }
        }
        if (subscriber.sent == 0 || chunk.last) {
            message.load = std::make_unique<wire::LoadT>(load());
        }
        send(subscriber.entry, std::move(message));
    }
}

/** Forgets the chunks that every subscriber has taken, unless the answer is kept. */
void AgentCore::trim(Record &record)
{
    if (record.keep) {
        return;
    }
    const auto slowest = std::ranges::min_element(record.subscribers, {}, &Subscriber::taken);
    const std::uint32_t taken = slowest == record.subscribers.end() ? record.end() : slowest->taken;
    while (record.base < taken && !record.chunks.empty()) {
        const std::size_t size = record.chunks.front().data.size();
        record.bytes -= size;
        m_keptBytes -= record.keyed ? size : 0;
        record.chunks.pop_front();
        ++record.base;
    }
}

void AgentCore::onAttach(TimePoint now, const LinkRef &link, const wire::AttachT &attach)
{
    if (!attach.id || attach.id->entry() != link.node) {
        return;
    }
    const DispatchId target = attach.of ? *attach.of : *attach.id;
    Record *record = find(target);
    if (record == nullptr || record->state == State::Tombstone) {
        const auto seen = m_entries.find(target.entry());
        const bool expired
            = record == nullptr && (seen == m_entries.end() || seen->second.incarnation != target.incarnation() || target.sequence() <= seen->second.floor);
        if (attach.of) {
            refuse(link.node, *attach.id, expired ? ResultCode::AnswerNoLongerHeld : ResultCode::KeyInProgress, !expired);
        } else if (expired) {
            refuse(link.node, target, ResultCode::DispatchExpired, false);
        } else {
            bury(now, target);
            refuse(link.node, target, ResultCode::DispatchNeverArrived, true);
        }
        return;
    }
    if (attach.next_sequence < record->base) {
        refuse(link.node, *attach.id, ResultCode::AnswerNoLongerHeld, false);
        return;
    }
    Subscriber *subscriber = subscriberOf(*record, *attach.id);
    if (subscriber == nullptr) {
        record->subscribers.push_back({*attach.id, link.node, 0, 0, true});
        m_subscriptions.insert_or_assign(*attach.id, target);
        subscriber = &record->subscribers.back();
    }
    subscriber->linked = true;
    subscriber->sent = std::min(attach.next_sequence, record->end());
    subscriber->taken = subscriber->sent;
    sendChunks(*record, *subscriber);
}

void AgentCore::onAck(TimePoint /*now*/, const wire::AckT &ack)
{
    const auto it = ack.id ? m_subscriptions.find(*ack.id) : m_subscriptions.end();
    Record *record = it == m_subscriptions.end() ? nullptr : find(it->second);
    Subscriber *subscriber = record == nullptr ? nullptr : subscriberOf(*record, *ack.id);
    if (subscriber == nullptr) {
        return;
    }
    subscriber->taken = std::max(subscriber->taken, std::min(ack.next_sequence, subscriber->sent));
    trim(*record);
    if (record->paused) {
        record->paused = false;
        m_actions.push_back(ResumeEngineAction{it->second});
    }
}

void AgentCore::onCancel(TimePoint now, const wire::CancelT &cancel)
{
    if (!cancel.id) {
        return;
    }
    const auto it = m_subscriptions.find(*cancel.id);
    if (it == m_subscriptions.end()) {
        if (find(*cancel.id) == nullptr) {
            bury(now, *cancel.id); // the dispatch is late, or never arrived
        }
        return;
    }
    const DispatchId target = it->second;
    Record *record = find(target);
    m_subscriptions.erase(it);
    if (record == nullptr) {
        return;
    }
    std::erase_if(record->subscribers, [&](const Subscriber &subscriber) {
        return subscriber.id == *cancel.id;
    });
    if (record->state == State::Queued) {
        m_queue.remove(target);
        bury(now, target);
        return;
    }
    // What may not be repeated is finished, so that its outcome is known.
    if (record->subscribers.empty() && !record->keyed) {
        cancelRecord(now, *record);
    }
}

void AgentCore::cancelRecord(TimePoint /*now*/, Record &record)
{
    if (record.cancelled || (record.state != State::Starting && record.state != State::Running)) {
        return;
    }
    record.cancelled = true;
    m_actions.push_back(CancelEngineAction{*record.request->id});
}

AgentCore::Subscriber *AgentCore::subscriberOf(Record &record, const DispatchId &id)
{
    const auto it = std::ranges::find_if(record.subscribers, [&](const Subscriber &subscriber) {
        return subscriber.id == id;
    });
    return it == record.subscribers.end() ? nullptr : &*it;
}

} // namespace fulmarlink
