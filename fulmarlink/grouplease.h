#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>

#include "fulmarlink/leaseelector.h"

namespace fulmarlink
{

struct GatewayState;

/**
 * Maintains one host's part in the lease of a rank group in the platform's store.
 *
 * It runs concurrently with the work that the lease protects: a renewal that the store does
 * not answer takes 0.7 s, and the holder keeps working until the lease expires.
 *
 * Usage: call run() once; it ends soon after stop(), or when the process starts to drain. Not thread-safe.
 */
class GroupLease
{
public:
    /** @p state, @p platform and the lease's @p name must outlive this object. */
    GroupLease(boost::asio::io_context &context, const GatewayState &state, Platform &platform, const std::string &name, LeaseOptions options);

    boost::asio::awaitable<void> run();
    /** Releases the lease if it is held, and ends run(). See release() for @p pause. */
    boost::asio::awaitable<void> stop(Duration pause);
    /** True if run() has ended or was never started, so that the object may be destroyed. */
    bool ended() const;
    /** Releases the lease and does not acquire it again for @p pause. */
    boost::asio::awaitable<void> release(Duration pause);
    /** See LeaseOptions::acquireDelay. */
    void setAcquireDelay(Duration acquireDelay);

    /** Publishes the slow ranks to the other hosts in the lease record. */
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
    LeaseElector m_elector;
    bool m_callPending = false; ///< a call to the store is in progress
    bool m_releasing = false; ///< run() starts no step
    bool m_stopped = false;
    bool m_running = false;
};

} // namespace fulmarlink
