#include "fulmarlink/targetconnections.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <sys/socket.h>

#include "fulmarlink/httpconnection.h"
#include "fulmarlink/memoryplan.h"

namespace fulmarlink
{

namespace asio = boost::asio;

TargetConnections::TargetConnections(asio::any_io_executor executor, const Clock &clock, Counters &counters)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_counters(counters)
    , m_opened(counters.registerCounter("fulmarlink_target_connections_opened_total"))
    , m_reused(counters.registerCounter("fulmarlink_target_connections_reused_total"))
    , m_discarded(counters.registerCounter("fulmarlink_target_connections_discarded_total"))
{
}

bool TargetConnection::hasInput()
{
    return buffer.size() > 0 || isReadable(stream);
}

ConnectionEnd TargetConnection::takeEnd()
{
    char byte = 0;
    const auto received = recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received == 0) {
        return ConnectionEnd::InOrder;
    }
    return received < 0 && errno == ECONNRESET ? ConnectionEnd::Reset : ConnectionEnd::Open;
}

bool TargetConnections::isReusable(TargetConnection &connection) const
{
    return m_clock.now() - connection.idleSince < connection.idleLimit && !connection.hasInput();
}

asio::awaitable<AcquiredConnection> TargetConnections::acquire(TargetInfo target, std::chrono::milliseconds timeout)
{
    auto &idle = m_idle[target.id];
    while (!idle.empty()) {
        std::shared_ptr<TargetConnection> connection = idle.back();
        idle.pop_back();
        if (isReusable(*connection)) {
            m_counters.add(m_reused);
            connection->reused = true;
            co_return AcquiredConnection{std::move(connection), false};
        }
        m_counters.add(m_discarded);
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(target.address.address, error);
    auto connection = std::make_shared<TargetConnection>(m_executor);
    connection->target = target.id;
    connection->pool = target.pool;
    connection->stream.expires_after(timeout);
    m_counters.add(m_opened);
    if (!error) {
        co_await connection->stream.async_connect({address, target.address.port}, asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        co_return AcquiredConnection{nullptr, error == asio::error::connection_refused};
    }
    tuneSocket(connection->stream);
    // An answer that its caller does not read waits here.
    connection->stream.socket().set_option(asio::socket_base::receive_buffer_size(static_cast<int>(MemoryPlan::kLargeSocketBufferBytes)), error);
    co_return AcquiredConnection{std::move(connection), false};
}

void TargetConnections::release(std::shared_ptr<TargetConnection> connection)
{
    connection->stream.expires_never();
    connection->idleSince = m_clock.now();
    auto &idle = m_idle[connection->target];
    if (idle.size() < maxIdle(connection->pool)) {
        idle.push_back(std::move(connection));
    }
}

void TargetConnections::setConnectionLimit(const std::string &pool, unsigned maxConnections, unsigned hosts)
{
    const auto hostShare = static_cast<std::size_t>(maxConnections * kIdleShare / std::max(1U, hosts));
    m_maxIdle[pool] = maxConnections == 0 ? kMaxIdlePerTarget : std::min(hostShare, kMaxIdlePerTarget);
}

std::size_t TargetConnections::maxIdle(const std::string &pool) const
{
    const auto it = m_maxIdle.find(pool);
    return it == m_maxIdle.end() ? kMaxIdlePerTarget : it->second;
}

void TargetConnections::closeIdleTo(const std::string &targetId)
{
    m_idle.erase(targetId);
}

void TargetConnections::sweep(const TargetTable &targets)
{
    const TimePoint now = m_clock.now();
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second, [&](const auto &connection) {
            return now - connection->idleSince >= connection->idleLimit;
        });
        const std::size_t limit = it->second.empty() ? 0 : maxIdle(it->second.front()->pool);
        it->second.resize(std::min(it->second.size(), limit));
        const bool removable = it->second.empty() || targets.find(it->first) == nullptr;
        it = removable ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace fulmarlink
