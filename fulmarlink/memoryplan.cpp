#include "fulmarlink/memoryplan.h"

#include <algorithm>

namespace fulmarlink
{

namespace
{

constexpr std::size_t kRequestTenths = 3; ///< of the memory
constexpr std::size_t kConnectionTenths = 5; ///< of the memory, at most
constexpr std::size_t kTenths = 10;
constexpr std::size_t kFifths = 5; ///< of that: one for small requests, two for large ones, two for answers
constexpr std::size_t kBytesOfConnection = MemoryPlan::kConnectionBytes + MemoryPlan::socketBytes(MemoryPlan::kSocketBufferBytes);

} // namespace

MemoryPlan planMemory(std::size_t memoryBytes, std::size_t maxOpenFiles)
{
    MemoryPlan plan;
    const std::size_t requests = memoryBytes / kTenths * kRequestTenths;
    plan.requests.smallRequests = requests / kFifths;
    plan.requests.largeRequests = requests / kFifths * 2;
    plan.requests.answers = requests / kFifths * 2;
    plan.callerConnections = std::min(maxOpenFiles / 2, memoryBytes / kTenths * kConnectionTenths / kBytesOfConnection);
    return plan;
}

std::size_t MemoryPlan::callerBytes() const
{
    return requests.smallRequests + requests.largeRequests + requests.answers + callerConnections * kBytesOfConnection;
}

} // namespace fulmarlink
