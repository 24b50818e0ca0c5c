// The part of CrashWatch that finds out what has become of a runner or of an attempt there: new connections to the
// runner, and those of attempts whose deadline has passed.
//
// Each co_await is a statement of its own; the reason is in gatewayexchange.cpp.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "fulmarlink/awaitreadable.h"
#include "fulmarlink/crashwatch.h"
#include "fulmarlink/log.h"
#include "fulmarlink/targetconnections.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

/** A refusal arrives within a cross-zone round trip; waiting longer for a lost packet costs more than it is worth. */
constexpr std::chrono::milliseconds kProbeTimeout{100};
/** Long enough for a runner that only refuses new connections to send events on its open ones; far shorter than a restart. */
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
constexpr unsigned kProbes = 5; ///< over 0.5 s: a lost packet is sent again after 0.2 s and then after 0.4 s
constexpr std::size_t kMaxExpired = 64; ///< connections; some of each runner's are left to requests

TargetIncarnation incarnationOf(const TargetInfo &target)
{
    return {target.id, target.born};
}

} // namespace

asio::awaitable<RunnerProbe> CrashWatch::connect(const TargetInfo &target)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(target.address.address, error);
    auto connection = std::make_shared<TargetConnection>(m_context.get_executor());
    connection->target = target.id;
    connection->pool = target.pool;
    connection->stream.expires_after(kProbeTimeout);
    co_await connection->stream.async_connect({address, target.address.port}, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        connection->idleLimit = TargetConnections::kDefaultIdle;
        m_state.connections->release(std::move(connection));
        co_return RunnerProbe::Accepts;
    }
    co_return error == asio::error::connection_refused ? RunnerProbe::Refuses : RunnerProbe::Silent;
}

asio::awaitable<RunnerProbe> CrashWatch::probe(TargetInfo target)
{
    const TargetIncarnation incarnation = incarnationOf(target);
    if (m_ended.contains(incarnation) || m_unconfirmed.contains(incarnation)) {
        co_return RunnerProbe::Refuses;
    }
    const RunnerProbe result = co_await connect(target);
    if (result == RunnerProbe::Refuses && m_unconfirmed.insert(incarnation).second) {
        asio::co_spawn(m_context, confirmEnded(std::move(target)), asio::detached);
    }
    co_return result;
}

/**
 * A connection whose last packet was lost still looks open for a while after its runner has
 * ended. So the runner is probed several times, as long as it refuses new connections.
 */
asio::awaitable<void> CrashWatch::confirmEnded(TargetInfo target)
{
    const TargetIncarnation incarnation = incarnationOf(target);
    const TimePoint began = m_state.clock.now();
    bool refused = true;
    bool hasEnded = false;
    for (unsigned probe = 1; probe <= kProbes && refused && !hasEnded; ++probe) {
        co_await sleep(kProbeInterval);
        const RunnerProbe result = co_await connect(target);
        refused = result == RunnerProbe::Refuses;
        const bool silent = probe == kProbes && m_state.targets.lastReceived(incarnation.id) < began;
        hasEnded = refused && (silent || !m_state.attempts.anyInProgress(incarnation));
    }
    m_unconfirmed.erase(incarnation);
    if (hasEnded) {
        handleEnded(incarnation, "refused");
    } else {
        logChange("runner-lives", {{"target", incarnation.id}, {"born", std::to_string(incarnation.born)}, {"refused", refused ? "true" : "false"}});
    }
}

bool CrashWatch::watchExpired(const OpenAttempt &attempt)
{
    if (m_expired >= kMaxExpired) {
        return false;
    }
    ++m_expired;
    asio::co_spawn(m_context, awaitExpired(attempt), asio::detached);
    return true;
}

asio::awaitable<void> CrashWatch::awaitExpired(OpenAttempt attempt)
{
    std::vector<std::shared_ptr<TargetConnection>> connections(1, attempt.connection);
    const std::optional<std::size_t> readable = co_await awaitReadable(std::move(connections), RunnerAttempts::kRetention);
    if (readable) {
        const ConnectionEnd end = attempt.connection->takeEnd();
        const bool answered = end == ConnectionEnd::Open;
        const RunnerAttempts::Outcome outcome = answered ? RunnerAttempts::Outcome::Resolved : RunnerAttempts::brokenOutcome(end, attempt.requestBytes, false);
        m_state.attempts.updateEnd(attempt.token, outcome, m_state.clock.now());
    }
    attempt.connection->stream.close();
    --m_expired;
}

} // namespace fulmarlink
