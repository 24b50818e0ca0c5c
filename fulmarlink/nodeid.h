#pragma once

#include <cstdint>
#include <string_view>

namespace fulmarlink
{

/** Names one process of ours: the 64-bit xxHash of its host name, the same on every node. */
using NodeId = std::uint64_t;

NodeId nodeId(std::string_view hostName);

/** 64-bit xxHash of @p text, seeded with @p seed. */
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/** Mixes two hashes, for rendezvous hashing. */
std::uint64_t mixHash(std::uint64_t a, std::uint64_t b);

} // namespace fulmarlink
