#include "fulmarlink/memoryplan.h"

#include <algorithm>

namespace fulmarlink
{

namespace
{

constexpr std::size_t kRequestDivisor = 4; ///< part of the memory that is for requests and answers
constexpr std::size_t kConnectionTwentieths = 11; ///< of the memory, at most, with the backlog
constexpr std::size_t kTwentieths = 20;
constexpr std::size_t kFifths = 5; ///< of that: one for small requests, two for large ones, two for answers
constexpr std::size_t kBytesInBacklog = 2 * MemoryPlan::kSocketBufferBytes; ///< of one connection
constexpr std::size_t kBytesOfConnection = MemoryPlan::kConnectionBytes + MemoryPlan::socketBytes(MemoryPlan::kSocketBufferBytes);

} // namespace

MemoryPlan planMemory(std::size_t memoryBytes, std::size_t maxOpenFiles)
{
    MemoryPlan plan;
    const std::size_t requests = memoryBytes / kRequestDivisor;
    plan.requests.smallRequests = requests / kFifths;
    plan.requests.largeRequests = requests / kFifths * 2;
    plan.requests.answers = requests / kFifths * 2;
    const std::size_t connections = memoryBytes / kTwentieths * kConnectionTwentieths;
    const std::size_t backlog = MemoryPlan::kBacklog * kBytesInBacklog;
    plan.callerConnections = std::min(maxOpenFiles / 2, (connections - std::min(connections, backlog)) / kBytesOfConnection);
    return plan;
}

std::size_t MemoryPlan::callerBytes() const
{
    return requests.smallRequests + requests.largeRequests + requests.answers + callerConnections * kBytesOfConnection + kBacklog * kBytesInBacklog;
}

} // namespace fulmarlink
