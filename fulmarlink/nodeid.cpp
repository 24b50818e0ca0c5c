#include "fulmarlink/nodeid.h"

#include <array>
#include <xxhash.h>

namespace fulmarlink
{

NodeId nodeId(std::string_view hostName)
{
    return hashOf(hostName);
}

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t mixHash(std::uint64_t a, std::uint64_t b)
{
    const std::array<std::uint64_t, 2> both = {a, b};
    return XXH64(both.data(), sizeof(both), 0);
}

} // namespace fulmarlink
