// Each co_await stands in a statement of its own, as in gatewayexchange.cpp.

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

constexpr std::size_t kMaxMalformed = 1000; ///< lives remembered, so that each is told of once
constexpr Duration kStoreRetry = std::chrono::milliseconds(250); ///< as for the other calls of the store

std::chrono::milliseconds unixNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

LimitWatch::LimitWatch(asio::io_context &context, GatewayState &state, Platform &platform)
    : m_context(context)
    , m_state(state)
    , m_platform(platform)
    , m_wake(context, asio::steady_timer::time_point::max())
    , m_limited(state.counters.registerCounter("fulmarlink_limited_runners"))
    , m_malformedLimits(state.counters.registerCounter("fulmarlink_malformed_limits_total"))
    , m_unwrittenLimits(state.counters.registerCounter("fulmarlink_limit_records_waiting"))
{
}

asio::awaitable<void> LimitWatch::sleep(Duration duration)
{
    boost::system::error_code ignored; // the timer is not cancelled
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void LimitWatch::answered(const TargetInfo &target, const RunnerAnswer &answer, TimePoint sent, const std::string &attempt)
{
    const TargetLife life{target.id, target.born};
    if (!answer.malformedLimit.empty()) {
        noteMalformed(life, answer.malformedLimit);
        return;
    }
    const bool ownWord = answer.speaksForTarget && (answer.requestLimit || (answer.sealed && !answer.attemptId.empty()));
    if (!ownWord) {
        return;
    }
    const NamedLimit *known = m_state.signals.limits.find(life);
    const NamedLimit before = known == nullptr ? NamedLimit{} : *known;
    const LimitEvidence evidence{answer.requestLimit, sent, m_state.clock.now(), attempt};
    const LimitChange change = m_state.signals.limits.answered(life, evidence);
    noteChange(life, change, before);
    if (change != LimitChange::None) {
        queue(life);
    }
}

void LimitWatch::take(const SharedRecordsRead &read)
{
    std::set<TargetLife> present;
    for (const LimitRecord &record : read.limits) {
        present.insert(record.life);
        m_recorded[record.life] = record.perSecond;
        const NamedLimit *known = m_state.signals.limits.find(record.life);
        const bool own = record.host == m_state.settings.host && known != nullptr;
        if (own || m_unwritten.contains(record.life)) {
            continue; // this host knows more than the record
        }
        const NamedLimit before = known == nullptr ? NamedLimit{} : *known;
        noteChange(record.life, m_state.signals.limits.told(record.life, record.perSecond, record.host, m_state.clock.now()), before);
    }
    for (const TargetLife &life : read.limitsEnded) {
        end(life);
    }
    if (!read.whole) {
        return;
    }
    const std::map<TargetLife, double> recorded = m_recorded;
    for (const auto &[life, perSecond] : recorded) {
        if (!present.contains(life)) {
            end(life);
        }
    }
}

/** Its record is gone from the store. */
void LimitWatch::end(const TargetLife &life)
{
    m_recorded.erase(life);
    const NamedLimit *known = m_state.signals.limits.find(life);
    if (known == nullptr || m_unwritten.contains(life)) {
        return;
    }
    const NamedLimit before = *known;
    noteChange(life, m_state.signals.limits.ended(life), before);
}

void LimitWatch::setHosts(const std::vector<std::string> &hosts)
{
    const unsigned before = m_state.signals.pacer.hosts();
    m_state.signals.pacer.setHosts(hosts, m_state.settings.host, m_state.clock.now(), m_state.random);
    if (m_state.signals.pacer.hosts() != before) {
        logChange("limit-sharers", {{"hosts", std::to_string(m_state.signals.pacer.hosts())}, {"before", std::to_string(before)}});
    }
}

void LimitWatch::dropGone()
{
    std::set<TargetLife> unlisted;
    for (const TargetLife &life : m_state.signals.limits.lives()) {
        const TargetInfo *target = m_state.targets.find(life.id);
        const bool listed = target != nullptr && target->born == life.born;
        if (listed) {
            continue;
        }
        if (!m_unlisted.contains(life)) {
            unlisted.insert(life);
            continue;
        }
        const NamedLimit before = *m_state.signals.limits.find(life);
        noteChange(life, m_state.signals.limits.ended(life), before);
        queue(life);
    }
    m_unlisted = std::move(unlisted);
}

void LimitWatch::noteChange(const TargetLife &life, LimitChange change, const NamedLimit &before)
{
    if (change == LimitChange::None) {
        return;
    }
    const TimePoint now = m_state.clock.now();
    const NamedLimit *known = m_state.signals.limits.find(life);
    if (known == nullptr) {
        m_state.signals.pacer.clear(life);
    } else {
        m_state.signals.pacer.setLimit(life, known->perSecond, now, m_state.random);
    }
    m_state.counters.set(m_limited, m_state.signals.limits.size());
    const NamedLimit &limit = known == nullptr ? before : *known;
    logChange("runner-limit",
              {{"target", life.id},
               {"born", std::to_string(life.born)},
               {"change", limitChangeName(change)},
               {"per_second", known == nullptr ? "none" : twoDecimals(known->perSecond)},
               {"before", change == LimitChange::Named ? "none" : twoDecimals(before.perSecond)},
               {"share", twoDecimals(m_state.signals.pacer.shareOf(life).value_or(0))},
               {"hosts", std::to_string(m_state.signals.pacer.hosts())},
               {"age_ms", msText(now - limit.since)},
               {"source", limit.source}});
}

void LimitWatch::noteMalformed(const TargetLife &life, const std::string &text)
{
    m_state.counters.add(m_malformedLimits);
    if (m_malformed.size() < kMaxMalformed && m_malformed.insert(life).second) {
        logWarning("runner-limit-malformed", {{"target", life.id}, {"born", std::to_string(life.born)}, {"text", text.substr(0, 64)}});
    }
}

void LimitWatch::queue(const TargetLife &life)
{
    m_unwritten.insert(life);
    m_wake.cancel();
}

/** Brings the record of @p life to what this host knows. */
asio::awaitable<std::error_code> LimitWatch::write(TargetLife life)
{
    const auto recorded = m_recorded.find(life);
    const NamedLimit *known = m_state.signals.limits.find(life);
    const bool there = recorded != m_recorded.end();
    if (known == nullptr ? !there : there && recorded->second == known->perSecond) {
        co_return std::error_code();
    }
    std::error_code error;
    if (known == nullptr) {
        error = co_await m_platform.removeLimitRecord(life);
        if (!error) {
            m_recorded.erase(life);
        }
    } else {
        const LimitRecord record{life, known->perSecond, m_state.settings.host, unixNow()};
        error = co_await m_platform.writeLimitRecord(record);
        if (!error) {
            m_recorded[life] = record.perSecond;
        }
    }
    co_return error;
}

asio::awaitable<void> LimitWatch::publish()
{
    boost::system::error_code ignored; // cancelled when there is something to write
    TargetLife last; // tried, so that one that can't be written holds up no other
    for (;;) {
        m_state.counters.set(m_unwrittenLimits, m_unwritten.size());
        if (m_unwritten.empty()) {
            m_wake.expires_at(asio::steady_timer::time_point::max());
            co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        const auto next = m_unwritten.upper_bound(last);
        const TargetLife life = next == m_unwritten.end() ? *m_unwritten.begin() : *next;
        last = life;
        const std::error_code error = co_await write(life);
        if (m_writable == static_cast<bool>(error)) {
            m_writable = !error;
            logChange("limit-record-written", {{"done", error ? "false" : "true"}, {"error", error ? error.message() : ""}, {"target", life.id}});
        }
        const NamedLimit *known = m_state.signals.limits.find(life);
        const auto recorded = m_recorded.find(life);
        const bool same = known == nullptr ? recorded == m_recorded.end() : recorded != m_recorded.end() && recorded->second == known->perSecond;
        if (same) {
            m_unwritten.erase(life);
        }
        co_await sleep(error ? kStoreRetry : m_state.sharedWritePause());
    }
}

} // namespace fulmarlink
