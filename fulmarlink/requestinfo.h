#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/** The urgency of a request; the engines apply it. Lower values are served first. */
enum class Priority : std::uint8_t {
    High = 0,
    Normal = 1,
    Low = 2,
};

inline constexpr std::size_t kPriorities = 3;

std::string_view priorityName(Priority priority);
/** Reads high, normal or low; false for anything else. */
bool parsePriority(std::string_view text, Priority &priority);

/** The properties of a caller's request that rules and decisions may use. The body is passed separately. */
struct RequestInfo {
    std::string customer;
    std::string model;
    std::string method;
    std::string host; ///< as in the caller's request, without a port
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers; ///< as the caller sent them
    std::string idempotencyKey; ///< empty: the caller sent none
    bool idempotent = false; ///< from the method's HTTP semantics, unless a rule overrides it
    Priority priority = Priority::Normal;
    std::uint32_t promptTokens = 0; ///< estimated, see estimateTokens()
    std::uint64_t prefixHash = 0; ///< hash of the prompt's first bytes; 0: none
    unsigned minuteOfDay = 0; ///< local time, 0 to 1439
    Duration budget{0}; ///< time left until the caller's deadline

    /** The value of header @p name, compared case-insensitively; empty if absent. */
    std::string_view header(std::string_view name) const;
};

/** GET, HEAD, PUT, DELETE, OPTIONS and TRACE are idempotent (RFC 9110, 9.2.2). */
bool methodIsIdempotent(std::string_view method);

/** Estimated tokens of a body of @p bytes bytes: four bytes per token, at least one token. */
std::uint32_t estimateTokens(std::size_t bytes);

bool equalsIgnoringCase(std::string_view a, std::string_view b);

} // namespace fulmarlink
