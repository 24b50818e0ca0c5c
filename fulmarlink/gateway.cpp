#include "fulmarlink/gateway.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>

#include "fulmarlink/callerprotocol.h"
#include "fulmarlink/groupwatch.h"
#include "fulmarlink/guardedplatform.h"
#include "fulmarlink/httpserver.h"
#include "fulmarlink/log.h"
#include "fulmarlink/platform.h"
#include "fulmarlink/resultcode.h"
#include "fulmarlink/supervised.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

/**
 * Number of store reads started within the bound on a change. Every read is linearizable, so a
 * change is seen in time even if watches miss it; the rest of the bound allows for jitter and
 * for an answer that takes a few hundred milliseconds.
 */
constexpr double kReadsPerBound = 1.8;
constexpr Duration kEntriesInterval = std::chrono::seconds(5); ///< hosts are replaced a few times an hour
constexpr unsigned kStartupRounds = 3; ///< reads after which hosts that started together have discovered each other
constexpr Duration kStartupInterval = std::chrono::milliseconds(400);
constexpr Duration kSharedLimitInterval = std::chrono::seconds(1); ///< while hosts share a runner's limit, so that a new host is counted soon
constexpr Duration kEntryWriteSpacing = std::chrono::milliseconds(50); ///< all hosts together renew their entries at most 20 times a second
constexpr Duration kUnlistedRemovalInterval = std::chrono::minutes(1); ///< runners whose entry expired in an outage are listed again long before
constexpr Duration kStoreRetry = std::chrono::milliseconds(250); ///< after a refusal or an outage; a fifth of the store's read rate if 100 hosts do so
constexpr Duration kMinTargetsInterval = std::chrono::milliseconds(100); ///< between reads of the list that requests ask for
constexpr Duration kHousekeeping = std::chrono::milliseconds(200);
constexpr Duration kMinDrainTime = std::chrono::milliseconds(2600); ///< the platform probes readiness each second and removes a host after two failures
constexpr HttpServerLimits kProbeLimits{.connections = 16, .bodyBytes = 1024}; ///< of probes and of readers of metrics, which send no bodies
constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpUnavailable = 503;
constexpr unsigned kHttpNotFound = 404;

Duration readInterval(std::chrono::milliseconds bound)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(Duration(bound).count()) / kReadsPerBound));
}

} // namespace

Gateway::Gateway(asio::io_context &context, GatewaySettings settings, Counters &counters, GatewayAdapters adapters)
    : m_context(context)
    , m_counters(counters)
    , m_adapters{std::move(adapters.protocol), std::make_unique<GuardedPlatform>(std::move(adapters.platform), counters)}
    , m_state(std::move(settings), m_clock, m_counters, *m_adapters.protocol)
    , m_connections(context.get_executor(), m_clock, m_counters)
    , m_crashWatch(context, m_state, *m_adapters.platform)
    , m_limitWatch(context, m_state, *m_adapters.platform)
    , m_signalWatch(m_state)
    , m_backoffRecorder(context, m_state, *m_adapters.platform)
    , m_server(context.get_executor(), m_state)
    , m_configVersion(m_counters.registerCounter("fulmarlink_rules_version"))
    , m_proofAge(m_counters.registerCounter("fulmarlink_configuration_proof_age_ms"))
    , m_requestsInProgress(m_counters.registerCounter("fulmarlink_requests_in_progress"))
    , m_staleConfigurations(m_counters.registerCounter("fulmarlink_stale_configurations_total"))
    , m_requestMemoryGauges(m_counters)
    , m_nextTargetsRead(context)
{
    m_state.refreshTargets = [this] {
        if (m_clock.now() - m_targetsReadBegan >= kMinTargetsInterval) {
            m_nextTargetsRead.cancel();
        }
    };
    m_state.connections = &m_connections;
    m_state.crashWatch = &m_crashWatch;
    m_state.limitWatch = &m_limitWatch;
    m_state.signalWatch = &m_signalWatch;
    m_state.backoffRecorder = &m_backoffRecorder;
    m_adapters.platform->setAnswerObserver(&m_signalWatch);
}

Gateway::~Gateway() = default;

bool Gateway::ready() const
{
    return !m_state.drainStartedAt && m_targetsKnown && m_state.crashRecordsLoaded && m_state.backoffsRestored && m_state.config.active()
           && !m_state.proofIsStale(m_clock.now());
}

void Gateway::startHttp()
{
    const auto answerReadiness = [this](HttpRequest) -> asio::awaitable<HttpResponse> {
        co_return ready() ? textResponse(kHttpOk, "ready\n") : textResponse(kHttpUnavailable, "not ready\n");
    };
    m_readiness = std::make_shared<HttpServer>(m_context.get_executor(), answerReadiness, kProbeLimits);
    m_readiness->listen(m_state.settings.readiness.address, m_state.settings.readiness.port);
    if (m_state.settings.metrics.port == 0) {
        return;
    }
    const auto answerMetrics = [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
        co_return request.target() == "/metrics" ? textResponse(kHttpOk, m_counters.text()) : textResponse(kHttpNotFound, "see /metrics\n");
    };
    m_metrics = std::make_shared<HttpServer>(m_context.get_executor(), answerMetrics, kProbeLimits);
    m_metrics->listen(m_state.settings.metrics.address, m_state.settings.metrics.port);
}

void Gateway::start()
{
    startHttp();
    m_server.listen();
    spawnSupervised("configuration", &Gateway::configurationLoop);
    spawnSupervised("targets", &Gateway::targetsLoop);
    spawnSupervised("entries", &Gateway::entriesLoop);
    spawnSupervised("housekeeping", &Gateway::housekeeping);
    spawnSupervised("crash-records", &Gateway::crashRecordsLoop);
    spawnSupervised("crash-publishing", &Gateway::crashPublishingLoop);
    spawnSupervised("limit-publishing", &Gateway::limitPublishingLoop);
    spawnSupervised("backoff-recording", &Gateway::backoffRecordingLoop);
    logChange("started",
              {{"host", m_state.settings.host},
               {"zone", m_state.settings.zone},
               {"callers", m_state.settings.callers.address + ':' + std::to_string(m_state.settings.callers.port)},
               {"version", FULMARLINK_VERSION}});
}

void Gateway::spawnSupervised(std::string name, asio::awaitable<void> (Gateway::*loop)())
{
    asio::co_spawn(m_context, supervised(m_context, m_counters, std::move(name), std::bind_front(loop, this)), asio::detached);
}

asio::awaitable<void> Gateway::crashRecordsLoop()
{
    return m_crashWatch.run();
}

asio::awaitable<void> Gateway::crashPublishingLoop()
{
    return m_crashWatch.publish();
}

asio::awaitable<void> Gateway::limitPublishingLoop()
{
    return m_limitWatch.publish();
}

asio::awaitable<void> Gateway::backoffRecordingLoop()
{
    return m_backoffRecorder.run();
}

void Gateway::startDrain()
{
    m_state.drainStartedAt = m_clock.now();
    logChange("draining", {{"unanswered", std::to_string(m_state.unansweredRequests)}});
}

bool Gateway::drained() const
{
    return m_clock.now() - m_state.drainStartedAt.value_or(m_clock.now()) >= kMinDrainTime && m_state.unansweredRequests == 0;
}

void Gateway::cutAll()
{
    logWarning("cut", {{"unanswered", std::to_string(m_state.unansweredRequests)}});
}

void Gateway::stop()
{
    m_server.stop();
    m_server.closeIdle();
    flushLog();
}

void Gateway::reload(GatewaySettings settings)
{
    const bool addressesKept = settings.callers.port == m_state.settings.callers.port && settings.callers.address == m_state.settings.callers.address;
    logChange("reloaded", {{"addresses_kept", addressesKept ? "true" : "false: they change at the next start"}});
    m_state.settings = std::move(settings);
    m_state.requestMemory->setLimits(m_state.settings.requestMemory);
    m_state.updateBudgets();
}

asio::awaitable<void> Gateway::sleep(Duration duration)
{
    boost::system::error_code ignored; // the timer is not cancelled
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Duration Gateway::jittered(Duration duration)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(duration.count() * 9 / 10, duration.count() * 11 / 10)(m_state.random));
}

/** Time until the next read of what must be known within @p bound. An answer that was late may be out of date already. */
Duration Gateway::pauseAfterRead(const std::error_code &error, TimePoint began, std::chrono::milliseconds bound)
{
    const Duration interval = readInterval(bound);
    const bool outdated = m_clock.now() - began >= interval;
    return jittered(error || outdated ? kStoreRetry : interval);
}

void Gateway::updateStoreStatus(bool reachable, const std::string &call, const std::string &error)
{
    if (reachable == m_storeReachable) {
        return;
    }
    m_storeReachable = reachable;
    const std::string age = std::to_string(m_state.config.age(m_clock.now()).count() / 1000);
    if (reachable) {
        logChange("store-regained", {{"call", call}, {"proof_ms", age}});
    } else {
        logWarning("store-lost", {{"call", call}, {"error", error}, {"proof_ms", age}});
    }
}

asio::awaitable<void> Gateway::configurationLoop()
{
    for (;;) {
        ConfigurationRead read = co_await m_adapters.platform->readConfiguration();
        updateStoreStatus(!read.error || read.error == ResultCode::ObjectNotFound, "configuration", read.error.message());
        if (!read.error) {
            const std::uint64_t offered = read.configuration ? read.configuration->version : m_state.config.version();
            if (read.configuration && m_state.config.offer(std::move(*read.configuration))) {
                const Configuration &accepted = m_state.config.active()->configuration;
                m_counters.set(m_configVersion, accepted.version);
                logChange("configuration-in-force",
                          {{"config", std::to_string(accepted.version)},
                           {"routes", std::to_string(accepted.routes.size())},
                           {"customers", std::to_string(accepted.customers.size())},
                           {"read_ms", std::to_string((m_clock.now() - read.began).count() / 1000)}});
                m_state.checkBodyLimit();
            }
            if (m_state.config.active()) {
                watchGroups();
                updateConnectionLimits();
            }
            if (offered >= m_state.config.version()) {
                m_state.config.confirm(read.began);
            } else {
                m_counters.add(m_staleConfigurations);
                logWarning("configuration-older", {{"offered", std::to_string(offered)}, {"config", std::to_string(m_state.config.version())}});
            }
        }
        co_await sleep(pauseAfterRead(read.error, read.began, m_state.settings.configurationBound));
    }
}

void Gateway::updateConnectionLimits()
{
    const auto active = m_state.config.active();
    if (!active) {
        return;
    }
    for (const ServiceSpec &service : active->configuration.services) {
        m_connections.setConnectionLimit(service.name, service.maxConnections, m_state.entries);
    }
}

void Gateway::watchGroups()
{
    for (const ServiceSpec &service : m_state.config.active()->configuration.services) {
        if (!service.engine || service.engine->layerSets == 0 || m_groupWatches.contains(service.name)) {
            continue;
        }
        const auto watch = std::make_shared<GroupWatch>(m_context, m_state, *m_adapters.platform, service.name);
        m_groupWatches.emplace(service.name, watch);
        auto run = [watch] {
            return watch->run();
        };
        asio::co_spawn(m_context, supervised(m_context, m_counters, "groups", std::move(run)), asio::detached);
    }
}

/** Notes the runners that are listed with another start than before and had not announced that they leave. */
void Gateway::observeRestarts(const std::vector<TargetInfo> &targets)
{
    for (const TargetInfo &target : targets) {
        const TargetInfo *before = m_state.targets.find(target.id);
        if (before != nullptr && before->born != target.born && !before->leaving) {
            m_crashWatch.noteEnd({before->id, before->born}, "listed-anew");
        }
    }
}

void Gateway::updateTargets(const TargetsRead &read)
{
    if (read.changed) {
        observeRestarts(read.targets);
        m_listedTargets = read.targets;
        m_malformedTargets.clear();
        for (const MalformedItem &entry : read.malformed) {
            m_malformedTargets.insert(entry.name);
        }
    }
    const TargetChanges changes = m_state.targets.setTargets(m_listedTargets, m_clock.now(), m_malformedTargets);
    m_targetsKnown = true;
    m_state.targetsListedAt = read.began;
    m_state.crashes.setRunnerCount(m_listedTargets.size());
    for (const std::string &id : changes.restarted) {
        m_connections.closeIdleTo(id);
        const TargetInfo *target = m_state.targets.find(id);
        m_crashWatch.restarted(id, target == nullptr ? 0 : target->born);
    }
    if (changes.added.empty() && changes.leaving.empty() && changes.gone.empty() && changes.restarted.empty() && changes.malformed.empty()) {
        return;
    }
    logChange("targets-changed",
              {{"added", joined(changes.added)},
               {"restarted", joined(changes.restarted)},
               {"leaving", joined(changes.leaving)},
               {"malformed", joined(changes.malformed)},
               {"gone", joined(changes.gone)},
               {"listed", std::to_string(m_listedTargets.size())}});
}

asio::awaitable<void> Gateway::targetsLoop()
{
    boost::system::error_code ignored; // the timer is cancelled to read at once
    for (;;) {
        m_targetsReadBegan = m_clock.now();
        const TargetsRead read = co_await m_adapters.platform->readTargets();
        updateStoreStatus(!read.error || read.error == ResultCode::ObjectNotFound, "targets", read.error.message());
        if (!read.error) {
            updateTargets(read);
        }
        m_nextTargetsRead.expires_after(pauseAfterRead(read.error, read.began, m_state.settings.leavingBound));
        co_await m_nextTargetsRead.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> Gateway::entriesLoop()
{
    std::uint64_t renewals = 0;
    for (unsigned round = 1;; ++round) {
        const TimePoint began = m_clock.now();
        const bool renews = began >= m_renewEntryAt;
        std::error_code error;
        if (renews) {
            error = co_await m_adapters.platform->renewEntry(m_state.settings.host, ++renewals);
            const Duration renewInterval = std::max(kEntriesInterval, kEntryWriteSpacing * m_state.entries);
            m_renewEntryAt = began + jittered(error ? renewInterval / 5 : renewInterval);
        }
        const EntriesRead read = co_await m_adapters.platform->readEntries();
        if (read.error) {
            m_liveHosts.recordFailedRead();
        } else {
            updateEntries(read, renews && !error, round >= kStartupRounds);
        }
        const Duration minInterval = round < kStartupRounds ? kStartupInterval : kSharedLimitInterval;
        const bool soon = round < kStartupRounds || read.error || m_state.signals.limits.size() > 0;
        co_await sleep(jittered(soon ? minInterval : std::max(minInterval, m_renewEntryAt - m_clock.now())));
    }
}

/** @p renewalsDue: enough time has passed since the last read with this flag that every live host has renewed its entry. */
void Gateway::updateEntries(const EntriesRead &read, bool renewalsDue, bool complete)
{
    renewalsDue ? m_liveHosts.recordRead(read.entries) : m_liveHosts.recordIntermediateRead(read.entries);
    const std::vector<std::string> hosts = m_liveHosts.hosts();
    m_state.setEntries(static_cast<unsigned>(hosts.size()));
    updateConnectionLimits();
    if (complete) {
        m_limitWatch.setHosts(hosts);
    }
}

asio::awaitable<void> Gateway::housekeeping()
{
    for (;;) {
        co_await sleep(kHousekeeping);
        m_connections.sweep(m_state.targets);
        m_signalWatch.expireBackoffs();
        if (m_clock.now() - m_unlistedRemovedAt >= kUnlistedRemovalInterval) {
            m_unlistedRemovedAt = m_clock.now();
            m_limitWatch.removeUnlistedRunners();
            m_signalWatch.removeUnlistedRunners();
        }
        m_counters.set(m_requestsInProgress, m_state.unansweredRequests);
        m_requestMemoryGauges.update(*m_state.requestMemory);
        m_counters.set(m_proofAge, static_cast<std::uint64_t>(m_state.config.age(m_clock.now()).count() / 1000));
        if (m_state.drainStartedAt && m_clock.now() - *m_state.drainStartedAt >= kMinDrainTime) {
            m_server.closeIdle();
        }
        flushLog();
    }
}

} // namespace fulmarlink
