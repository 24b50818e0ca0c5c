#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <set>
#include <vector>

#include "fulmarlink/backoffrecord.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/gatewaystate.h"

namespace fulmarlink
{

class Platform;

/**
 * Keeps this host's backoffs in the store, so that its next process honours them: a runner that
 * asked the host to back off must get nothing from it, whichever process of the host it refused.
 *
 * A host has one record with all its current backoffs. It is written when a backoff begins or is
 * extended, and read once, before the process accepts requests. Other hosts don't read it.
 *
 * Start run() once, as a coroutine on the process's thread.
 */
class BackoffRecorder
{
public:
    BackoffRecorder(boost::asio::io_context &context, GatewayState &state, Platform &platform);

    /** Restores the backoffs of the host's previous process, then writes changes; never returns. */
    boost::asio::awaitable<void> run();
    /** Call when a backoff has begun or been extended. */
    void backoffExtended();
    /** Waits until the backoffs known now are in the store, but not longer than @p limit, and not while writes fail. */
    boost::asio::awaitable<void> awaitRecorded(Duration limit);

private:
    boost::asio::awaitable<void> restore();
    boost::asio::awaitable<bool> write();
    std::vector<BackoffRecord> currentBackoffs() const;
    Duration retryDelay();
    boost::asio::awaitable<void> sleep(Duration duration);

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    Platform &m_platform;
    boost::asio::steady_timer m_wakeTimer; ///< run() waits on it while nothing has changed
    std::set<boost::asio::steady_timer *> m_waiting; ///< timers of the awaitRecorded() calls in progress; cancelled after each write
    std::uint64_t m_changes = 0; ///< calls of backoffExtended()
    std::uint64_t m_recordedChanges = 0; ///< those of them that the stored record contains
    bool m_lastWriteSucceeded = true; ///< so that only changes are logged
    Counters::Id m_unrecorded;
};

} // namespace fulmarlink
