#pragma once

#include <cstddef>

#include "fulmarlink/requestmemory.h"

namespace fulmarlink
{

/** How a gateway divides the memory of its machine, and what bounds each part. */
struct MemoryPlan {
    /** SO_RCVBUF and SO_SNDBUF of a caller's connection. The kernel takes up to twice as much for each. */
    static constexpr std::size_t kSocketBufferBytes = 6U << 10;
    /** The same while a large request or answer is transferred; accounted for in the request's lease. */
    static constexpr std::size_t kLargeSocketBufferBytes = 64U << 10;
    /** Kernel memory for both buffers of a connection with SO_RCVBUF and SO_SNDBUF of @p bufferBytes. */
    static constexpr std::size_t socketBytes(std::size_t bufferBytes)
    {
        return 4 * bufferBytes;
    }
    /** Of a caller's connection without a request: read buffer, coroutines, socket. */
    static constexpr std::size_t kConnectionBytes = 12U << 10;
    static constexpr std::size_t kBacklog = 1024; ///< connections that the kernel holds until they are accepted

    std::size_t callerConnections = 0; ///< open at a time
    RequestMemoryLimits requests; ///< requests and answers of all callers together

    /** The largest sum of what callers can make the process and the kernel hold, in bytes; in the backlog they hold what they sent. */
    std::size_t callerBytes() const;
};

/**
 * Divides @p memoryBytes: a quarter is for requests and answers, up to 11 twentieths are for connections of callers, and at least a fifth is left
 * to the process itself, its connections to runners and its view of the fleet. Half of @p maxOpenFiles are for callers.
 */
MemoryPlan planMemory(std::size_t memoryBytes, std::size_t maxOpenFiles);

} // namespace fulmarlink
