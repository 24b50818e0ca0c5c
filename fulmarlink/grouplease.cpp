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

constexpr Duration kRound = std::chrono::milliseconds(50); ///< of looking whether a call is due; adds to the time in which a lease changes hands
constexpr Duration kCallPoll = std::chrono::milliseconds(10); ///< while an answer of the store is awaited before the lease is left

} // namespace

GroupLease::GroupLease(asio::io_context &context, const GatewayState &state, Platform &platform, const std::string &name, LeaseOptions options)
    : m_context(context)
    , m_state(state)
    , m_platform(platform)
    , m_name(name)
    , m_keeper(std::move(options))
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
    const LeaseElector::Step next = m_keeper.step(m_state.clock.now());
    m_calling = next != LeaseElector::Step::Wait;
    if (next == LeaseElector::Step::Read || next == LeaseElector::Step::Poll) {
        const LeaseRead read = co_await m_platform.readLease(m_name, next == LeaseElector::Step::Poll);
        m_keeper.handleRead(read, m_state.clock.now());
    } else if (next == LeaseElector::Step::Write) {
        const TimePoint began = m_state.clock.now();
        const LeaseRead written = co_await m_platform.writeLease(m_name, m_keeper.nextRecord());
        m_keeper.handleWrite(written, began, m_state.clock.now());
    }
    m_calling = false;
}

asio::awaitable<void> GroupLease::run()
{
    m_running = true;
    while (!m_state.drainBegan && !m_stopped) {
        if (!m_leaving) {
            co_await step();
        }
        co_await sleep(kRound);
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
    m_leaving = true;
    while (m_calling) {
        co_await sleep(kCallPoll); // what is given back must be the newest record
    }
    const LeaseRecord released = m_keeper.releasedRecord();
    m_keeper.standDown(m_state.clock.now() + pause);
    co_await m_platform.writeLease(m_name, released);
    m_leaving = false;
}

void GroupLease::setAcquireDelay(Duration acquireDelay)
{
    m_keeper.setAcquireDelay(acquireDelay);
}

void GroupLease::setSlowTargets(std::vector<std::string> ids)
{
    m_keeper.setSlowTargets(std::move(ids));
}

bool GroupLease::holds() const
{
    return m_keeper.holds(m_state.clock.now());
}

std::uint64_t GroupLease::termId() const
{
    return m_keeper.termId();
}

const LeaseRecord &GroupLease::record() const
{
    return m_keeper.record();
}

} // namespace fulmarlink
