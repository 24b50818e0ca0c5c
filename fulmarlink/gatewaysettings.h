#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "fulmarlink/crashpolicy.h"
#include "fulmarlink/httpclient.h"
#include "fulmarlink/requestmemory.h"
#include "fulmarlink/yamlreader.h"

namespace fulmarlink
{

/**
 * Settings of the gateway process on an entry host, which calls runners directly. The limits behind the
 * system's guarantees come from the platform's settings, by way of the configuration template.
 */
struct GatewaySettings {
    std::string host;
    std::string zone;
    std::string logLevel = "info";
    HttpTarget callers; ///< listening address for callers
    std::size_t maxCallerConnections = 2048; ///< open at a time; the rest of the process's descriptors is left to runners and the store
    RequestMemoryLimits requestMemory; ///< held by requests of callers
    HttpTarget readiness; ///< listening address of the platform's readiness probe
    HttpTarget metrics; ///< port 0: no metrics server
    HttpTarget store;
    std::chrono::milliseconds revokeBound{5000}; ///< maximum time from the revocation of a key until no host runs requests with it
    std::chrono::milliseconds configurationBound{2000}; ///< maximum time until a configuration change takes effect
    std::chrono::milliseconds leavingBound{2000}; ///< maximum time until a leaving runner gets no more requests
    std::chrono::milliseconds shutdownLimit{8000}; ///< time between SIGTERM and SIGKILL
    std::chrono::milliseconds stallTimeout{1500}; ///< how long work that depends on a dead rank makes no progress before it is aborted
    std::chrono::milliseconds retryWindow{10'000};
    double retryRatio = 0.2; ///< retries allowed per request in the window, over all entry hosts
    double retrySlack = 90; ///< retries allowed in addition to retryRatio, in the window over all entry hosts
    CrashPolicy crashes; ///< when and for how long a request that crashed runners is held back
    double linkMbps = 0; ///< link speed of this host; 0: unknown. Hosts with faster links are preferred as leaders of a rank group
    double skewWeight = 1; ///< weight of the gain from shorter passes
    double costWeight = 1; ///< weight of the cost of moving experts, relative to skewWeight
    /**
     * Number of ranks per group whose expert counts are read to estimate demand. Requests spread evenly over the ranks, so two are representative.
     * Reading more ranks costs more, partly because passes stop while counts are read,
     * and serves no request better.
     */
    unsigned sampledRanks = 2;
    /**
     * Time for the copies of each rank in the first map switch after a shift in demand: one expert on every known engine. This removes most of the
     * imbalance and takes effect as early as possible. With more copies, sites with small experts serve fewer requests.
     */
    std::chrono::milliseconds firstCopyTime{30};
    /**
     * Time for the copies of each rank in the follow-up switch, rounded to whole experts. The switch must take effect long before demand shifts again:
     * with a longer copy time, sites with small experts serve fewer requests.
     */
    std::chrono::milliseconds followUpCopyTime{260};
    double minImbalanceReduction = 0.2; ///< of the busiest rank's load over the mean load; a smaller gain is not worth the cost of orders and copies
    double followUpGapShare = 0.5; ///< of the gap target; if passes are shorter than this after the first switch, a follow-up switch has no benefit

    /** Records every error in @p errors; the result is valid only if there are none. */
    static GatewaySettings parse(std::string_view text, const std::string &file, FileErrors &errors);
};

} // namespace fulmarlink
