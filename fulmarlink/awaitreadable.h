#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

struct TargetConnection;

/**
 * Waits until one of the connections can be read from: bytes, the end of the connection or an error. Returns its index, or nothing after
 * @p timeout. What has arrived by then counts, even if the event loop was too late to notice before the timeout. Reads nothing; no other operation
 * may be in progress on the connections.
 */
boost::asio::awaitable<std::optional<std::size_t>> awaitReadable(std::vector<std::shared_ptr<TargetConnection>> connections, Duration timeout);

} // namespace fulmarlink
