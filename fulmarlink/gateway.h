#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "fulmarlink/counters.h"
#include "fulmarlink/crashwatch.h"
#include "fulmarlink/gatewayserver.h"
#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/hostclock.h"
#include "fulmarlink/limitwatch.h"
#include "fulmarlink/livehosts.h"
#include "fulmarlink/signalwatch.h"
#include "fulmarlink/targetconnections.h"

namespace fulmarlink
{

class CallerProtocol;
class HttpServer;
class GroupWatch;
class Platform;

/** The edges of a gateway that differ from platform to platform. */
struct GatewayAdapters {
    std::unique_ptr<CallerProtocol> protocol;
    std::unique_ptr<Platform> platform;
};

/**
 * An entry host's process on a platform whose runners are called directly: callers'
 * server, the store's configuration and runners, readiness and metrics.
 *
 * One thread runs it: a host gives it a fifth of a core, so threads would only take
 * turns, and decisions need no locks.
 */
class Gateway
{
public:
    /** @p counters outlives the gateway. */
    Gateway(boost::asio::io_context &context, GatewaySettings settings, Counters &counters, GatewayAdapters adapters);
    ~Gateway();

    void start();
    /** Not ready any more; answers what comes, and asks callers to connect elsewhere. */
    void startDrain();
    /** True when the platform has had time to send connections elsewhere and nothing is unanswered. */
    bool drained() const;
    /** Nothing can be done for requests that run at the shutdown limit; they are counted. */
    void cutAll();
    void stop();
    /** Takes over what may change while the process runs. */
    void reload(GatewaySettings settings);
    bool ready() const;

private:
    boost::asio::awaitable<void> configurationLoop();
    boost::asio::awaitable<void> targetsLoop();
    boost::asio::awaitable<void> entriesLoop();
    boost::asio::awaitable<void> housekeeping();
    boost::asio::awaitable<void> crashRecordsLoop();
    boost::asio::awaitable<void> crashPublishingLoop();
    boost::asio::awaitable<void> limitPublishingLoop();
    void keepRunning(std::string name, boost::asio::awaitable<void> (Gateway::*loop)());
    boost::asio::awaitable<void> sleep(Duration duration);
    void shareConnections();
    /** Begins to watch the groups of pools that are new in the configuration and have experts. */
    void watchGroups();
    void noteStore(bool reachable, const std::string &call, const std::string &error);
    void noteTargets(const struct TargetsRead &read);
    void noteEntries(const struct EntriesRead &read, bool counts, bool complete);
    Duration jittered(Duration duration);
    void startHttp();

    boost::asio::io_context &m_context;
    HostClock m_clock;
    Counters &m_counters;
    GatewayAdapters m_adapters;
    GatewayState m_state;
    TargetConnections m_connections;
    CrashWatch m_crashWatch;
    LimitWatch m_limitWatch;
    SignalWatch m_signalWatch;
    GatewayServer m_server;
    std::shared_ptr<HttpServer> m_readiness;
    std::shared_ptr<HttpServer> m_metrics;
    std::map<std::string, std::shared_ptr<GroupWatch>> m_groupWatches; ///< by pool
    Counters::Id m_configVersion;
    Counters::Id m_proofAge;
    Counters::Id m_requestsNow;
    Counters::Id m_staleConfigurations;
    LiveHosts m_liveHosts;
    TimePoint m_renewEntryAt{}; ///< when this host next writes that it lives
    TimePoint m_droppedGone{}; ///< when limits of runners that are gone were last looked for
    bool m_storeReachable = true;
    bool m_targetsKnown = false;
    std::vector<TargetInfo> m_listed; ///< the newest list
};

} // namespace fulmarlink
