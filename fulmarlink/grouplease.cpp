#include "fulmarlink/grouplease.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/platform.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kStepInterval = std::chrono::milliseconds(50); ///< interval of checks for a due call; adds to the time of a lease handover
constexpr Duration kPendingCallPoll = std::chrono::milliseconds(10); ///< while a release waits for a call in progress

} // namespace

GroupLease::GroupLease(asio::io_context &context, const GatewayState &state, Platform &platform, const std::string &name, LeaseOptions options)
    : m_context(context)
    , m_state(state)
    , m_platform(platform)
    , m_name(name)
    , m_elector(std::move(options))
{
}

asio::awaitable<void> GroupLease::sleep(Duration duration)
{
    boost::system::error_code ignored; // the timer is not cancelled
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> GroupLease::step()
{
    const LeaseElector::Step next = m_elector.step(m_state.clock.now());
    m_callPending = next != LeaseElector::Step::Wait;
    if (next == LeaseElector::Step::Read || next == LeaseElector::Step::Poll) {
        const LeaseRead read = co_await m_platform.readLease(m_name, next == LeaseElector::Step::Poll);
        m_elector.handleRead(read, m_state.clock.now());
    } else if (next == LeaseElector::Step::Write) {
        const TimePoint sentAt = m_state.clock.now();
        const LeaseRead written = co_await m_platform.writeLease(m_name, m_elector.nextRecord());
        m_elector.handleWrite(written, sentAt, m_state.clock.now());
    }
    m_callPending = false;
}

asio::awaitable<void> GroupLease::run()
{
    m_running = true;
    while (!m_state.drainStartedAt && !m_stopped) {
        if (!m_releasing) {
            co_await step();
        }
        co_await sleep(kStepInterval);
    }
    m_running = false;
}

bool GroupLease::ended() const
{
    return !m_running;
}

asio::awaitable<void> GroupLease::stop(Duration pause)
{
    m_stopped = true;
    if (holds()) {
        co_await release(pause);
    }
}

asio::awaitable<void> GroupLease::release(Duration pause)
{
    m_releasing = true;
    while (m_callPending) {
        co_await sleep(kPendingCallPoll); // a release must be based on the newest record
    }
    const LeaseRecord released = m_elector.releasedRecord();
    m_elector.standDown(m_state.clock.now() + pause);
    co_await m_platform.writeLease(m_name, released);
    m_releasing = false;
}

void GroupLease::setAcquireDelay(Duration acquireDelay)
{
    m_elector.setAcquireDelay(acquireDelay);
}

void GroupLease::setSlowTargets(std::vector<std::string> ids)
{
    m_elector.setSlowTargets(std::move(ids));
}

bool GroupLease::holds() const
{
    return m_elector.holds(m_state.clock.now());
}

std::uint64_t GroupLease::termId() const
{
    return m_elector.termId();
}

const LeaseRecord &GroupLease::record() const
{
    return m_elector.record();
}

} // namespace fulmarlink
