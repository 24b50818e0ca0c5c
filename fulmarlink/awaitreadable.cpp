// Each socket is waited for without reading, so that the wait can be cancelled without closing the connection.

#include "fulmarlink/awaitreadable.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fulmarlink/targetconnections.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

std::optional<std::size_t> firstReadable(const std::vector<std::shared_ptr<TargetConnection>> &connections)
{
    const auto it = std::ranges::find_if(connections, [](const auto &connection) {
        return connection->hasInput();
    });
    return it == connections.end() ? std::nullopt : std::optional(static_cast<std::size_t>(it - connections.begin()));
}

} // namespace

asio::awaitable<std::optional<std::size_t>> awaitReadable(std::vector<std::shared_ptr<TargetConnection>> connections, Duration timeout)
{
    if (const auto readable = firstReadable(connections)) {
        co_return readable;
    }
    const auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor, timerMs(timeout));
    for (const auto &connection : connections) {
        connection->stream.socket().async_wait(asio::ip::tcp::socket::wait_read, [timer](const boost::system::error_code & /*error*/) {
            timer->cancel();
        });
    }
    boost::system::error_code ignored; // cancelled by a readable connection
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    for (const auto &connection : connections) {
        connection->stream.socket().cancel(ignored);
    }
    co_return firstReadable(connections);
}

} // namespace fulmarlink
