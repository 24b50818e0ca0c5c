#pragma once

#include <cstdint>

namespace fulmarlink::testing
{

/**
 * A port of 127.0.0.1 that nobody listens on.
 *
 * It lies below the range from which the system gives ports to outgoing connections, and
 * each process begins at another place: tests run side by side, and a port that the system
 * had given out and taken back was bound by a neighbour's connection before the test did.
 */
std::uint16_t freePort();

} // namespace fulmarlink::testing
