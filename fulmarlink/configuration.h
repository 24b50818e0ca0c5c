#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/** What may be repeated of a route's requests. */
enum class RequestKind : std::uint8_t {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs at most once for each attempt of a caller
    Streaming, ///< events; at most once unless the route is resumable
};

/** A service that takes a share of a route's requests. */
struct PoolShare {
    std::string pool;
    std::uint32_t weight = 1;
};

/** One route as the operator wrote it. */
struct RouteSpec {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::NonIdempotent;
    Duration timeout{0}; ///< the longest a request is kept waiting; 0: only the caller's deadline
    Duration objective{0}; ///< an answer (streams: the first event) within it earns its full worth
    Duration gapTarget{0}; ///< streams: the longest pause between events that is still on time
    std::uint32_t priority = 0; ///< 0 first
    std::uint32_t maxAttempts = 1; ///< runners that one attempt of a caller may be sent to
    bool anonymous = false; ///< needs no API key
    bool resumable = false; ///< a broken stream may go on at another runner
    std::vector<PoolShare> pools;
};

/** The published cost model of a service's engines; times in milliseconds. */
struct EngineSpec {
    unsigned slots = 0; ///< requests that a runner writes at the same time
    double stepMs = 0; ///< of a token step without any request
    double perSequenceMs = 0; ///< more for each request that writes
    double contextPerThousandMs = 0; ///< more for each 1,000 tokens of context
    double readTokensPerMs = 0;
    double pairsPerMillionMs = 0;
    unsigned chunkTokens = 0; ///< prompt tokens read in one step, at most
    unsigned stride = 1; ///< steps of a pass, and tokens of an event
    double memoryTokens = 0;
    double usualPromptTokens = 0;
    double usualAnswerTokens = 0;
    unsigned layerSets = 0; ///< sets of layers with experts; 0: no experts
    unsigned experts = 0; ///< of a set
    unsigned placements = 0; ///< experts that a rank may hold of a set
    unsigned newPerSwitch = 0; ///< experts new to a rank, of a set and switch
    double expertMb = 0; ///< of one expert's copy
    double linkMbps = 0;
    double expertShare = 0; ///< of the time for tokens that goes to the experts
    Duration reportLag{0}; ///< age of what a runner's report says
};

/** A service whose runners take requests. */
struct ServiceSpec {
    std::string name;
    unsigned maxConnections = 0; ///< that one runner accepts from all callers together; 0: unknown
    std::optional<EngineSpec> engine; ///< of model runners
};

struct CustomerSpec {
    std::string name;
    std::vector<std::string> apiKeys;
    std::optional<std::uint32_t> priority; ///< goes before the route's
};

/** What callers may send, and how slowly. */
struct CallerLimits {
    std::size_t maxHeaderBytes = 16U << 10;
    std::size_t maxBodyBytes = 4U << 20;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15'000};
};

/** One version of the operator's configuration, whole. */
struct Configuration {
    std::uint64_t version = 0;
    std::vector<RouteSpec> routes;
    std::vector<ServiceSpec> services;
    std::vector<CustomerSpec> customers;
    CallerLimits limits;

    const ServiceSpec *service(const std::string &name) const;
};

} // namespace fulmarlink
