#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "fulmarlink/backoffrecorder.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/crashwatch.h"
#include "fulmarlink/gatewayserver.h"
#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/hostclock.h"
#include "fulmarlink/limitwatch.h"
#include "fulmarlink/livehosts.h"
#include "fulmarlink/requestmemorygauges.h"
#include "fulmarlink/signalwatch.h"
#include "fulmarlink/targetconnections.h"

namespace fulmarlink
{

class CallerProtocol;
class HttpServer;
class GroupWatch;
class Platform;

/** Platform-specific parts of a gateway. */
struct GatewayAdapters {
    std::unique_ptr<CallerProtocol> protocol;
    std::unique_ptr<Platform> platform;
};

/**
 * The process of an entry host on a platform whose runners are called directly: the server
 * for callers, the reads of configuration and runners from the store, readiness and metrics.
 *
 * Runs on one thread: a host gives it a fifth of a core, so more threads would only take
 * turns, and decisions need no locks.
 */
class Gateway
{
public:
    /** @p counters outlives the gateway. */
    Gateway(boost::asio::io_context &context, GatewaySettings settings, Counters &counters, GatewayAdapters adapters);
    ~Gateway();

    void start();
    /** Reports not ready; requests are still answered, and callers are asked to connect to another host. */
    void startDrain();
    /** True once the platform has had time to route callers to other hosts and no request is in progress. */
    bool drained() const;
    /** Logs the number of requests that are still in progress at the shutdown limit; they are lost. */
    void cutAll();
    void stop();
    /** Applies new settings. Changed listening addresses take effect only at the next start. */
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
    boost::asio::awaitable<void> backoffRecordingLoop();
    void spawnSupervised(std::string name, boost::asio::awaitable<void> (Gateway::*loop)());
    boost::asio::awaitable<void> sleep(Duration duration);
    /** Divides each service's connection limit among the live hosts. */
    void updateConnectionLimits();
    /** Starts a GroupWatch for each pool with experts that has none yet. */
    void watchGroups();
    void updateStoreStatus(bool reachable, const std::string &call, const std::string &error);
    void updateTargets(const struct TargetsRead &read);
    void observeRestarts(const std::vector<TargetInfo> &targets);
    void updateEntries(const struct EntriesRead &read, bool renewalsDue, bool complete);
    Duration jittered(Duration duration);
    Duration pauseAfterRead(const std::error_code &error, TimePoint began, std::chrono::milliseconds bound);
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
    BackoffRecorder m_backoffRecorder;
    GatewayServer m_server;
    std::shared_ptr<HttpServer> m_readiness;
    std::shared_ptr<HttpServer> m_metrics;
    std::map<std::string, std::shared_ptr<GroupWatch>> m_groupWatches; ///< by pool
    Counters::Id m_configVersion;
    Counters::Id m_proofAge;
    Counters::Id m_requestsInProgress;
    Counters::Id m_staleConfigurations;
    RequestMemoryGauges m_requestMemoryGauges;
    LiveHosts m_liveHosts;
    TimePoint m_renewEntryAt{}; ///< time of this host's next liveness write
    TimePoint m_unlistedRemovedAt{}; ///< when state of unlisted runners was last removed
    boost::asio::steady_timer m_nextTargetsRead; ///< cancelled to read at once
    TimePoint m_targetsReadBegan{}; ///< when the latest read of the list began, answered or not
    bool m_storeReachable = true;
    bool m_targetsKnown = false;
    std::vector<TargetInfo> m_listedTargets; ///< from the latest read
    std::set<std::string> m_malformedTargets; ///< names of the entries in the latest read that can't be read
};

} // namespace fulmarlink
