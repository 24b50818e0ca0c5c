#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/** How urgent a request is; engines honour it. Lower values go first. */
enum class Priority : std::uint8_t {
    High = 0,
    Normal = 1,
    Low = 2,
};

inline constexpr std::size_t kPriorities = 3;

std::string_view priorityName(Priority priority);
/** Reads high, normal or low; false for anything else. */
bool parsePriority(std::string_view text, Priority &priority);

/** What rules and decisions may know of a caller's request. The body travels beside it. */
struct RequestInfo {
    std::string customer;
    std::string model;
    std::string method;
    std::string host; ///< as the caller named it, without a port
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers; ///< as the caller sent them
    std::string idempotencyKey; ///< empty: the caller gave none
    bool idempotent = false; ///< from the method's HTTP semantics, until a rule says otherwise
    Priority priority = Priority::Normal;
    std::uint32_t promptTokens = 0; ///< estimated, see estimateTokens()
    std::uint64_t prefixHash = 0; ///< hash of the prompt's first bytes; 0: none
    unsigned minuteOfDay = 0; ///< local time, 0 to 1439
    Duration budget{0}; ///< time left until the caller's deadline

    /** The value of header @p name, compared without case; empty if absent. */
    std::string_view header(std::string_view name) const;
};

/** GET, HEAD, PUT, DELETE, OPTIONS and TRACE are idempotent (RFC 9110, 9.2.2). */
bool methodIsIdempotent(std::string_view method);

/** Estimated tokens of a body of @p bytes bytes: four bytes a token, at least one. */
std::uint32_t estimateTokens(std::size_t bytes);

bool equalsIgnoringCase(std::string_view a, std::string_view b);

} // namespace fulmarlink
