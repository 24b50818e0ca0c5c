#include "fulmarlink/requestinfo.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace fulmarlink
{

namespace
{

constexpr std::array<std::string_view, kPriorities> kPriorityNames = {"high", "normal", "low"};
constexpr std::array<std::string_view, 6> kIdempotentMethods = {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};
constexpr std::size_t kBytesPerToken = 4;

} // namespace

std::string_view priorityName(Priority priority)
{
    return kPriorityNames.at(static_cast<std::size_t>(priority));
}

bool parsePriority(std::string_view text, Priority &priority)
{
    const auto it = std::ranges::find(kPriorityNames, text);
    if (it == kPriorityNames.end()) {
        return false;
    }
    priority = static_cast<Priority>(it - kPriorityNames.begin());
    return true;
}

std::string_view RequestInfo::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (equalsIgnoringCase(key, name)) {
            return value;
        }
    }
    return {};
}

bool methodIsIdempotent(std::string_view method)
{
    return std::ranges::find(kIdempotentMethods, method) != kIdempotentMethods.end();
}

std::uint32_t estimateTokens(std::size_t bytes)
{
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, bytes / kBytesPerToken));
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    const auto lower = [](char c) {
        return std::tolower(static_cast<unsigned char>(c));
    };
    return std::ranges::equal(a, b, {}, lower, lower);
}

} // namespace fulmarlink
