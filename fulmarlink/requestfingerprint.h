#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarlink
{

/** The parts that two attempts at the same request have in common, on any host. Attempt ids and deadlines differ, so they are left out. */
struct RequestIdentity {
    std::string_view customer; ///< empty on routes without API keys
    std::string_view method;
    std::string_view host; ///< from the Host header, without a port
    std::string_view target; ///< request target: path and query
    std::string_view body; ///< complete
};

/**
 * A hash of a RequestIdentity, the same on every host and in every version.
 *
 * The customer is hashed separately, and only the operator's configuration determines it: a
 * customer who crafts a body to collide with another request can only hit one of its own.
 */
struct RequestFingerprint {
    std::uint64_t customer = 0;
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /** 48 lower-case hexadecimal digits. */
    std::string text() const;
    /** The inverse of text(); nothing for text of any other form. */
    static std::optional<RequestFingerprint> parse(std::string_view text);

    auto operator<=>(const RequestFingerprint &) const = default; // NOLINT(modernize-use-nullptr): as at TargetIncarnation
};

/** Linear in the size of @p identity. */
RequestFingerprint fingerprintOf(const RequestIdentity &identity);

/** In place of a customer's hash: requests of all customers. */
inline constexpr std::uint64_t kAllCustomers = 0;

/** The fingerprint of a prompt segment in the requests of @p customer, the hash of one customer or kAllCustomers. Differs from that of any request. */
RequestFingerprint segmentFingerprint(std::uint64_t customer, std::string_view id);

} // namespace fulmarlink
