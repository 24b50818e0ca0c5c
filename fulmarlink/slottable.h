#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "fulmarlink/nodeid.h"

namespace fulmarlink
{

/** An idempotency key together with its customer, as two hashes. */
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

/** Who is home of one share of all idempotency keys. */
struct SlotOwner {
    std::string name; ///< host name of an entry; empty: nobody has been yet
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0; ///< rises with each change of owner; fencing number of the slot
    bool clean = true; ///< false: the former owner's memory was lost
};

/**
 * The document that says which entry host is home of which idempotency keys. It is
 * one object in the object API, changed by conditional update only, so that all
 * nodes agree on the order of owners.
 */
struct SlotTable {
    static constexpr std::uint32_t kSlots = 64;
    std::uint64_t version = 0; ///< of the object
    std::vector<SlotOwner> owners; ///< kSlots of them

    SlotTable();
    static std::uint32_t slotOf(const KeyHash &key);
    std::string serialize() const;
    /** Leaves the table as it was on an error. */
    std::error_code parse(std::string_view text, std::uint64_t version);
};

} // namespace fulmarlink
