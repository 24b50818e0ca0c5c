#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace review
{

/** The ports of one entry host's process. */
struct Gateway {
    std::string name;
    unsigned short callers = 0;
    unsigned short readiness = 0;
    unsigned short metrics = 0;
};

/** Exit codes of a case. */
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/** Bounds of the small deployment (conciliar-lx). */
inline constexpr double kDrainMs = 2000;

/** Chooses free ports and writes @p folder/gateways, from which run.sh makes the settings and starts the processes. */
std::vector<Gateway> announceGateways(const std::string &folder, unsigned count, unsigned short storePort);
/** Waits until all say that they are ready; false after 20 s. */
bool awaitReady(const std::vector<Gateway> &gateways);
/** Whether the case is to play its disruption: the variable TROUBLE is not 0. */
bool withTrouble();

/** The operator's configuration with one tenant, whose key is kApiKey. */
boost::json::value configuration(boost::json::array routes, boost::json::array services);
inline constexpr const char *kTenant = "tenant-1";
inline constexpr const char *kApiKey = "n2ctnfzs989anu6wsjnb";

/** A runner's entry in the store. */
boost::json::value runnerEntry(const std::string &service, unsigned short port, unsigned slots, const std::string &state);

/** Header lines that all requests of clients bear. */
std::string requestHead(const std::string &host, const std::string &attemptId, unsigned deadlineMs);

} // namespace review
