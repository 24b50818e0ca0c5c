#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>

#include "fulmarlink/leaseelector.h"

namespace fulmarlink
{

struct GatewayState;

/**
 * Keeps one host's side of the lease of a rank group in the platform's store.
 *
 * It runs beside the work that the lease allows: a renewal that the store leaves
 * unanswered takes 0.7 s, and the holder goes on until its term ends.
 *
 * How to use: run() once; it ends soon after stop(), or when the process begins to drain. Not thread-safe.
 */
class GroupLease
{
public:
    /** @p state, @p platform and @p name, the lease's, outlive it. */
    GroupLease(boost::asio::io_context &context, const GatewayState &state, Platform &platform, const std::string &name, LeaseOptions options);

    boost::asio::awaitable<void> run();
    /** Gives back a lease that is held, and ends run(). */
    boost::asio::awaitable<void> stop(Duration pause);
    /** run() has ended, or was never begun: nothing uses this object any more. */
    bool ended() const;
    /** Gives the lease back and does not take it again for @p pause. */
    boost::asio::awaitable<void> release(Duration pause);
    /** How long this host lets others come first; see LeaseOptions. */
    void setAcquireDelay(Duration acquireDelay);

    /** Tells the other hosts which ranks are slow. */
    void setSlowTargets(std::vector<std::string> ids);

    bool holds() const;
    std::uint64_t termId() const;
    const LeaseRecord &record() const;

private:
    boost::asio::awaitable<void> step();
    boost::asio::awaitable<void> sleep(Duration duration);

    boost::asio::io_context &m_context;
    const GatewayState &m_state;
    Platform &m_platform;
    const std::string &m_name;
    LeaseElector m_keeper;
    bool m_calling = false; ///< a call to the store is unanswered
    bool m_leaving = false; ///< no step begins
    bool m_stopped = false;
    bool m_running = false;
};

} // namespace fulmarlink
