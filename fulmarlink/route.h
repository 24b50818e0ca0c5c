#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "fulmarlink/clock.h"
#include "fulmarlink/requestinfo.h"
#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

/** A customer's limit in tokens, over all entry hosts together. */
struct TokenLimit {
    std::uint64_t tokensPerSecond = 0;
    std::uint64_t burst = 0;
};

/** What the rule that matched says about a request. */
struct Route {
    std::string pool; ///< empty: the request is refused
    ResultCode refusal = ResultCode::Ok;
    Priority priority = Priority::Normal;
    bool idempotent = false;
    std::optional<Duration> deadline; ///< the caller's own deadline is cut down to it
    std::optional<TokenLimit> limit;
    unsigned maxAttempts = 5; ///< dispatches of one request, the first included
    bool preferLocalZone = true;
};

} // namespace fulmarlink
