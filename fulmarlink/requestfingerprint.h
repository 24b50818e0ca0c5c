#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarlink
{

/** What makes two attempts the same request, whichever host they come to. Attempt ids and deadlines differ between them. */
struct RequestIdentity {
    std::string_view customer; ///< empty on routes without API keys
    std::string_view method;
    std::string_view host; ///< as the caller named it, without a port
    std::string_view target; ///< path and query
    std::string_view body; ///< whole
};

/**
 * A key of fixed size for a RequestIdentity, the same on every host and in every version.
 *
 * The customer has a part of its own, which only the operator's configuration decides: a
 * customer who crafts a body to match another request can only match one of its own.
 */
struct RequestFingerprint {
    std::uint64_t customer = 0;
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /** 48 hexadecimal digits. */
    std::string text() const;
    /** Reads what text() gave; nothing for any other text. */
    static std::optional<RequestFingerprint> parse(std::string_view text);

    auto operator<=>(const RequestFingerprint &) const = default; // NOLINT(modernize-use-nullptr): as at TargetLife
};

/** O(bytes of @p identity). */
RequestFingerprint fingerprintOf(const RequestIdentity &identity);

} // namespace fulmarlink
