// Each co_await is a statement of its own; gatewayexchange.cpp gives the reason.

#include "fulmarlink/backoffrecorder.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fulmarlink/log.h"
#include "fulmarlink/platform.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kCoalescingDelay = std::chrono::milliseconds(3); ///< one request may be refused by several runners in turn
constexpr Duration kStoreRetry = std::chrono::milliseconds(250); ///< the same as for other store operations

} // namespace

BackoffRecorder::BackoffRecorder(asio::io_context &context, GatewayState &state, Platform &platform)
    : m_context(context)
    , m_state(state)
    , m_platform(platform)
    , m_wakeTimer(context, asio::steady_timer::time_point::max())
    , m_unrecorded(state.counters.registerCounter("fulmarlink_backoffs_unrecorded"))
{
}

asio::awaitable<void> BackoffRecorder::sleep(Duration duration)
{
    boost::system::error_code ignored; // this timer is never cancelled
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Duration BackoffRecorder::retryDelay()
{
    return kStoreRetry + Duration(static_cast<Duration::rep>(m_state.random() % static_cast<std::uint64_t>(kStoreRetry.count())));
}

asio::awaitable<void> BackoffRecorder::run()
{
    if (!m_state.backoffsRestored) {
        co_await restore();
    }
    boost::system::error_code ignored; // the timer is cancelled when a backoff is extended
    for (;;) {
        m_state.counters.set(m_unrecorded, m_changes - m_recordedChanges);
        if (m_recordedChanges == m_changes) {
            m_wakeTimer.expires_at(asio::steady_timer::time_point::max());
            co_await m_wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        co_await sleep(kCoalescingDelay);
        const bool written = co_await write();
        co_await sleep(written ? m_state.sharedWriteInterval() : retryDelay());
    }
}

asio::awaitable<void> BackoffRecorder::restore()
{
    for (;;) {
        const BackoffsRead read = co_await m_platform.readBackoffs(m_state.settings.host);
        if (read.error && read.error != ResultCode::ObjectNotFound) {
            co_await sleep(retryDelay());
            continue;
        }
        const TimePoint now = m_state.clock.now();
        for (const BackoffRecord &record : read.backoffs) {
            const Duration remaining = std::min(record.until - unixNow(), record.remaining);
            if (remaining <= Duration(0)) {
                continue;
            }
            m_state.signals.recordBackoff(record.incarnation, remaining, Duration(0), "previous process", now);
            logChange("runner-backoff",
                      {{"target", record.incarnation.id},
                       {"born", std::to_string(record.incarnation.born)},
                       {"change", "restored"},
                       {"remaining_ms", msText(remaining)}});
        }
        m_state.backoffsRestored = true;
        co_return;
    }
}

void BackoffRecorder::backoffExtended()
{
    ++m_changes;
    m_wakeTimer.cancel();
}

asio::awaitable<bool> BackoffRecorder::write()
{
    const std::uint64_t changes = m_changes;
    const std::error_code error = co_await m_platform.writeBackoffs(m_state.settings.host, currentBackoffs());
    if (m_lastWriteSucceeded == static_cast<bool>(error)) {
        m_lastWriteSucceeded = !error;
        logChange("backoff-record-written", {{"done", error ? "false" : "true"}, {"error", error ? error.message() : ""}});
    }
    m_recordedChanges = error ? m_recordedChanges : changes;
    for (asio::steady_timer *timer : m_waiting) {
        timer->cancel();
    }
    co_return !error;
}

std::vector<BackoffRecord> BackoffRecorder::currentBackoffs() const
{
    const TimePoint now = m_state.clock.now();
    std::vector<BackoffRecord> result;
    for (const auto &[incarnation, until] : m_state.signals.backoffs(now)) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(until - now);
        result.push_back({incarnation, unixNow() + remaining, remaining});
    }
    return result;
}

asio::awaitable<void> BackoffRecorder::awaitRecorded(Duration limit)
{
    const std::uint64_t changes = m_changes;
    const TimePoint end = m_state.clock.now() + limit;
    while (m_lastWriteSucceeded && m_recordedChanges < changes && m_state.clock.now() < end) {
        boost::system::error_code ignored; // the timer is cancelled after each write
        asio::steady_timer timer(m_context, end - m_state.clock.now());
        m_waiting.insert(&timer);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_waiting.erase(&timer);
    }
}

} // namespace fulmarlink
