// Each co_await is a statement of its own; gatewayexchange.cpp gives the reason.

#include "fulmarlink/limitwatch.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fulmarlink/callerprotocol.h"
#include "fulmarlink/log.h"
#include "fulmarlink/platform.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t kMaxLoggedMalformed = 1000; ///< incarnations remembered so that each is logged once
constexpr Duration kStoreRetry = std::chrono::milliseconds(250); ///< the same as for other store operations

} // namespace

LimitWatch::LimitWatch(asio::io_context &context, GatewayState &state, Platform &platform)
    : m_context(context)
    , m_state(state)
    , m_platform(platform)
    , m_wakeTimer(context, asio::steady_timer::time_point::max())
    , m_limitedRunnerCount(state.counters.registerCounter("fulmarlink_limited_runners"))
    , m_malformedLimitCount(state.counters.registerCounter("fulmarlink_malformed_limits_total"))
    , m_pendingRecordCount(state.counters.registerCounter("fulmarlink_limit_records_waiting"))
{
}

asio::awaitable<void> LimitWatch::sleep(Duration duration)
{
    boost::system::error_code ignored; // this timer is never cancelled
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void LimitWatch::handleAnswer(const TargetInfo &target, const RunnerAnswer &answer, TimePoint sent, const std::string &attempt)
{
    const TargetIncarnation incarnation{target.id, target.born};
    if (!answer.malformedLimit.empty()) {
        reportMalformed(incarnation, answer.malformedLimit);
        return;
    }
    const bool authoritative = answer.speaksForTarget && (answer.requestLimit || (answer.isSigned && !answer.attemptId.empty()));
    if (!authoritative) {
        return;
    }
    const RunnerLimit *current = m_state.signals.limits.find(incarnation);
    const RunnerLimit before = current == nullptr ? RunnerLimit{} : *current;
    const LimitObservation observation{answer.requestLimit, sent, m_state.clock.now(), attempt};
    const LimitChange change = m_state.signals.limits.applyAnswer(incarnation, observation);
    applyChange(incarnation, change, before);
    if (change != LimitChange::None) {
        queueRecord(incarnation);
    }
}

void LimitWatch::applyRecords(const SharedRecordsRead &read)
{
    std::set<TargetIncarnation> present;
    for (const LimitRecord &record : read.limits) {
        present.insert(record.incarnation);
        m_storedLimits[record.incarnation] = record.perSecond;
        const RunnerLimit *current = m_state.signals.limits.find(record.incarnation);
        const bool ownRecord = record.host == m_state.settings.host && current != nullptr;
        if (ownRecord || m_pendingRecords.contains(record.incarnation)) {
            continue; // this host's own knowledge is newer than the record
        }
        const RunnerLimit before = current == nullptr ? RunnerLimit{} : *current;
        applyChange(record.incarnation, m_state.signals.limits.applyRecord(record.incarnation, record.perSecond, record.host, m_state.clock.now()), before);
    }
    present.insert(read.malformedLimits.begin(), read.malformedLimits.end());
    for (const TargetIncarnation &incarnation : read.removedLimits) {
        handleRemovedRecord(incarnation);
    }
    if (!read.complete) {
        return;
    }
    const std::map<TargetIncarnation, double> stored = m_storedLimits;
    for (const auto &[incarnation, perSecond] : stored) {
        if (!present.contains(incarnation)) {
            handleRemovedRecord(incarnation);
        }
    }
}

/** Handles the removal of the record of @p incarnation from the store. */
void LimitWatch::handleRemovedRecord(const TargetIncarnation &incarnation)
{
    m_storedLimits.erase(incarnation);
    const RunnerLimit *current = m_state.signals.limits.find(incarnation);
    if (current == nullptr || m_pendingRecords.contains(incarnation)) {
        return;
    }
    const RunnerLimit before = *current;
    applyChange(incarnation, m_state.signals.limits.remove(incarnation), before);
}

void LimitWatch::setHosts(const std::vector<std::string> &hosts)
{
    const unsigned before = m_state.signals.pacer.hostCount();
    m_state.signals.pacer.setHosts(hosts, m_state.settings.host, m_state.clock.now(), m_state.random);
    if (m_state.signals.pacer.hostCount() != before) {
        logChange("limit-sharers", {{"hosts", std::to_string(m_state.signals.pacer.hostCount())}, {"before", std::to_string(before)}});
    }
}

void LimitWatch::removeUnlistedRunners()
{
    std::set<TargetIncarnation> unlisted;
    for (const TargetIncarnation &incarnation : m_state.signals.limits.incarnations()) {
        const TargetInfo *target = m_state.targets.find(incarnation.id);
        const bool listed = target != nullptr && target->born == incarnation.born;
        if (listed) {
            continue;
        }
        if (!m_unlistedIncarnations.contains(incarnation)) {
            unlisted.insert(incarnation);
            continue;
        }
        const RunnerLimit before = *m_state.signals.limits.find(incarnation);
        applyChange(incarnation, m_state.signals.limits.remove(incarnation), before);
        queueRecord(incarnation);
    }
    m_unlistedIncarnations = std::move(unlisted);
}

void LimitWatch::applyChange(const TargetIncarnation &incarnation, LimitChange change, const RunnerLimit &before)
{
    if (change == LimitChange::None) {
        return;
    }
    const TimePoint now = m_state.clock.now();
    const RunnerLimit *current = m_state.signals.limits.find(incarnation);
    if (current == nullptr) {
        m_state.signals.pacer.removeLimit(incarnation);
    } else {
        m_state.signals.pacer.setLimit(incarnation, current->perSecond, now, m_state.random);
    }
    m_state.counters.set(m_limitedRunnerCount, m_state.signals.limits.size());
    const RunnerLimit &limit = current == nullptr ? before : *current;
    logChange("runner-limit",
              {{"target", incarnation.id},
               {"born", std::to_string(incarnation.born)},
               {"change", limitChangeName(change)},
               {"per_second", current == nullptr ? "none" : twoDecimals(current->perSecond)},
               {"before", change == LimitChange::Named ? "none" : twoDecimals(before.perSecond)},
               {"share", twoDecimals(m_state.signals.pacer.shareOf(incarnation).value_or(0))},
               {"hosts", std::to_string(m_state.signals.pacer.hostCount())},
               {"age_ms", msText(now - limit.since)},
               {"source", limit.source}});
}

void LimitWatch::reportMalformed(const TargetIncarnation &incarnation, const std::string &text)
{
    m_state.counters.add(m_malformedLimitCount);
    if (m_loggedMalformed.size() < kMaxLoggedMalformed && m_loggedMalformed.insert(incarnation).second) {
        logWarning("runner-limit-malformed", {{"target", incarnation.id}, {"born", std::to_string(incarnation.born)}, {"text", text.substr(0, 64)}});
    }
}

void LimitWatch::queueRecord(const TargetIncarnation &incarnation)
{
    m_pendingRecords.insert(incarnation);
    m_wakeTimer.cancel();
}

/** Writes or removes the record of @p incarnation in the store so that it matches what this host knows. */
asio::awaitable<std::error_code> LimitWatch::synchronizeRecord(TargetIncarnation incarnation)
{
    const auto stored = m_storedLimits.find(incarnation);
    const RunnerLimit *current = m_state.signals.limits.find(incarnation);
    const bool exists = stored != m_storedLimits.end();
    if (current == nullptr ? !exists : exists && stored->second == current->perSecond) {
        co_return std::error_code();
    }
    std::error_code error;
    if (current == nullptr) {
        error = co_await m_platform.removeLimitRecord(incarnation);
        if (!error) {
            m_storedLimits.erase(incarnation);
        }
    } else {
        const LimitRecord record{incarnation, current->perSecond, m_state.settings.host, unixNow()};
        error = co_await m_platform.writeLimitRecord(record);
        if (!error) {
            m_storedLimits[incarnation] = record.perSecond;
        }
    }
    co_return error;
}

asio::awaitable<void> LimitWatch::publish()
{
    boost::system::error_code ignored; // the timer is cancelled when a record is queued
    TargetIncarnation last; // last one tried; the next is taken after it, so that a record that can't be written doesn't block the others
    for (;;) {
        m_state.counters.set(m_pendingRecordCount, m_pendingRecords.size());
        if (m_pendingRecords.empty()) {
            m_wakeTimer.expires_at(asio::steady_timer::time_point::max());
            co_await m_wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        const auto next = m_pendingRecords.upper_bound(last);
        const TargetIncarnation incarnation = next == m_pendingRecords.end() ? *m_pendingRecords.begin() : *next;
        last = incarnation;
        const std::error_code error = co_await synchronizeRecord(incarnation);
        if (m_lastWriteSucceeded == static_cast<bool>(error)) {
            m_lastWriteSucceeded = !error;
            logChange("limit-record-written", {{"done", error ? "false" : "true"}, {"error", error ? error.message() : ""}, {"target", incarnation.id}});
        }
        const RunnerLimit *current = m_state.signals.limits.find(incarnation);
        const auto stored = m_storedLimits.find(incarnation);
        const bool upToDate = current == nullptr ? stored == m_storedLimits.end() : stored != m_storedLimits.end() && stored->second == current->perSecond;
        if (upToDate) {
            m_pendingRecords.erase(incarnation);
        }
        co_await sleep(error ? kStoreRetry : m_state.sharedWriteInterval());
    }
}

} // namespace fulmarlink
