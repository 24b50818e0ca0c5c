#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "fulmarlink/crashpolicy.h"
#include "fulmarlink/httpclient.h"
#include "fulmarlink/yamlreader.h"

namespace fulmarlink
{

/**
 * Settings of an entry host's process that calls runners directly. The figures that
 * bound what the system promises come from the platform's settings by the template.
 */
struct GatewaySettings {
    std::string host;
    std::string zone;
    std::string logLevel = "info";
    HttpTarget callers; ///< where callers connect
    HttpTarget readiness; ///< where the platform asks whether this host takes connections
    HttpTarget metrics; ///< port 0: none
    HttpTarget store;
    std::chrono::milliseconds revokeBound{5000}; ///< a key that was taken away runs nowhere after this
    std::chrono::milliseconds configurationBound{2000}; ///< a change is in force after this
    std::chrono::milliseconds leavingBound{2000}; ///< a leaving runner gets no work after this
    std::chrono::milliseconds shutdownLimit{8000}; ///< from SIGTERM to SIGKILL
    std::chrono::milliseconds stallTimeout{1500}; ///< work that depends on a dead rank stands still for so long before it is cut off
    std::chrono::milliseconds retryWindow{10'000};
    double retryRatio = 0.2; ///< repeats for each request of the window, over all entries
    double retrySlack = 90; ///< and so many more
    CrashPolicy crashes; ///< when a request under which runners ended is held back, and for how long
    double linkMbps = 0; ///< of this host; 0: not known. Hosts with faster links give the orders to a group
    double skewWeight = 1; ///< worth of steps that are shorter, against...
    double costWeight = 1; ///< ...the price of moving experts
    /**
     * Ranks of a group whose counts are read to see what is in demand. Requests spread evenly, so two stand for all: 5 cost 0.02 to 0.03 of worth more,
     * also by the passes that stop while counts are read, and served nobody better by 20 to 30 plays on four sites.
     */
    unsigned sampledRanks = 2;
    /**
     * Copies of a first switch after a turn, of one rank: one expert on every engine known. It takes away most of the imbalance and is in force as soon
     * as anything can be. Three copies in 0.12 s served 2 to 15 in 100 less on sites with small experts, by 6 to 8 plays each.
     */
    std::chrono::milliseconds firstCopyTime{30};
    /** Copies of the rest, to the nearest expert: a switch must be in force long before demand turns again. 0.35 s served 2 to 8 in 100 less there. */
    std::chrono::milliseconds followUpCopyTime{260};
    double minImbalanceReduction = 0.2; ///< of the busiest rank's load over the mean; below it orders and copies cost more than the shorter passes bring
    double followUpGapShare = 0.5; ///< of the gap target: where passes are shorter after the first switch, the rest would serve nobody better

    /** All errors are recorded; the result is only meaningful without any. */
    static GatewaySettings parse(std::string_view text, const std::string &file, FileErrors &errors);
};

} // namespace fulmarlink
