#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/configuration.h"
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
    std::string name; ///< of the operator's route; empty for a rule from a file
    std::vector<PoolShare> pools; ///< more than one: the route is split by weight
    bool streaming = false;
    bool resumable = false; ///< a broken stream may go on at another runner
    bool anonymous = false; ///< needs no API key
    std::uint32_t rank = 0; ///< the operator's priority, 0 first
    Duration objective{0}; ///< 0: none was stated
    Duration gapTarget{0}; ///< longest pause between events that is on time
};

} // namespace fulmarlink
