#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "fulmarlink/nodeid.h"

namespace fulmarlink
{

/** 128-bit hash of an idempotency key and its customer. */
struct KeyHash {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    bool operator==(const KeyHash &) const = default;
};

struct KeyHashHasher {
    std::size_t operator()(const KeyHash &key) const
    {
        return key.high ^ key.low;
    }
};

KeyHash hashKey(std::string_view customer, std::string_view key);

/** The entry host that owns one slot, a fixed share of all idempotency keys. */
struct SlotOwner {
    std::string name; ///< host name of the entry; empty: the slot has never had an owner
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0; ///< fencing token of the slot; rises with each change of owner
    bool clean = true; ///< false: the previous owner's in-memory key records were lost
};

/**
 * Assigns each slot of idempotency keys to an entry host. The table is stored as one object in the
 * object API and changed only by conditional update, so that all nodes see the same sequence of owners.
 */
struct SlotTable {
    static constexpr std::uint32_t kSlots = 64;
    std::uint64_t version = 0; ///< of the stored object
    std::vector<SlotOwner> owners; ///< indexed by slot; kSlots entries

    SlotTable();
    static std::uint32_t slotOf(const KeyHash &key);
    std::string serialize() const;
    /** Replaces the table by the parsed one; leaves it unchanged on an error. */
    std::error_code parse(std::string_view text, std::uint64_t version);
};

} // namespace fulmarlink
