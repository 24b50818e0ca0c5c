#include "fulmarlink/entryprocess.h"

#include <algorithm>
#include <boost/json.hpp>

#include "fulmarlink/callerstream.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds kTick{10};
constexpr std::size_t kShards = 4;
constexpr const char *kEntryRole = "entry";

EntryOptions shardOptions(const Settings &settings, std::uint64_t incarnation, std::size_t shard)
{
    EntryOptions options;
    options.self = nodeId(settings.host);
    options.incarnation = incarnation;
    options.shard = static_cast<unsigned>(shard);
    options.shards = kShards;
    options.maxRequests = std::max<std::size_t>(1, settings.entry->maxRequests / kShards);
    return options;
}

KeyLedgerOptions keyOptions(const Settings &settings, std::uint64_t incarnation)
{
    KeyLedgerOptions options = settings.entry->keys;
    options.self = settings.host;
    options.incarnation = incarnation;
    return options;
}

LimiterOptions limiterOptions(const Settings &settings)
{
    LimiterOptions options;
    options.self = nodeId(settings.host);
    return options;
}

SpreadOptions spreadOptions(const Settings &settings)
{
    SpreadOptions options;
    options.self = nodeId(settings.host);
    options.watchers = settings.entry->watchers;
    return options;
}

} // namespace

struct EntryProcess::Shard {
    std::unique_ptr<EntryCore> core;
    std::unordered_map<RequestId, std::shared_ptr<CallerStream>> callers;
};

EntryProcess::EntryProcess(asio::io_context &context, Settings settings, std::uint64_t incarnation)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_incarnation(incarnation)
    , m_self(nodeId(m_settings.host))
    , m_requestsTotal(m_counters.registerCounter("fulmarlink_requests_total"))
    , m_requestsNow(m_counters.registerCounter("fulmarlink_requests_in_progress"))
    , m_rulesVersionGauge(m_counters.registerCounter("fulmarlink_rules_version"))
    , m_hostListsRead(m_counters.registerCounter("fulmarlink_host_lists_read_total"))
    , m_store(context.get_executor(), m_settings.objectApi, m_counters)
    , m_directory(m_settings.entry->directory, mixHash(m_self, incarnation))
    , m_budget(m_settings.entry->retryShare)
    , m_keys(
          keyOptions(m_settings, incarnation),
          m_counters,
          m_store,
          [this](NodeId to, const Message &message) {
              send(to, message);
          },
          [this](std::uint64_t version, const std::string &text) {
              m_keys.setTable(m_clock.now(), version, text);
              offerDocument(KeyService::kDocument, version, text);
          })
    , m_limiter(limiterOptions(m_settings), m_counters)
    , m_spread(spreadOptions(m_settings), {kRulesDocument, KeyService::kDocument}, mixHash(incarnation, m_self))
    , m_tickTimer(context)
    , m_hostTimer(context)
{
    m_shards = std::make_unique<Sharded<Shard>>(kShards, [&](std::size_t index) {
        auto shard = std::make_unique<Shard>();
        const EntryCore::Services services{m_directory, m_budget, m_counters, m_keys};
        shard->core = std::make_unique<EntryCore>(shardOptions(m_settings, incarnation, index), services, mixHash(incarnation, index));
        return shard;
    });
    const LinkIdentity identity{m_self, m_settings.host, kEntryRole, m_settings.zone, incarnation};
    m_hub = std::make_shared<LinkHub>(context.get_executor(), identity, *this, m_counters);
}

EntryProcess::~EntryProcess() = default;

void EntryProcess::start()
{
    m_linkPort = m_hub->listen(m_settings.links.address, m_settings.links.port);
    m_server = std::make_shared<EntryServer>(m_context.get_executor(), *m_settings.entry, *this, m_clock, m_counters);
    m_callerPort = m_server->listen();
    if (!m_settings.admin.address.empty()) {
        m_admin = std::make_shared<HttpServer>(m_context.get_executor(), [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
            const std::string target(request.target().data(), request.target().size());
            if (target == "/metrics") {
                co_return textResponse(200, m_counters.text());
            }
            if (target == "/metrics.json") {
                co_return textResponse(200, m_counters.json(), "application/json");
            }
            if (target == "/status") {
                co_return textResponse(200, statusJson(), "application/json");
            }
            if (target == "/healthz") {
                co_return textResponse(200, "ok\n");
            }
            if (target == "/readyz") {
                co_return textResponse(ready() ? 200 : 503, ready() ? "ready\n" : "not ready\n");
            }
            co_return textResponse(404, "not found\n");
        });
        m_adminPort = m_admin->listen(m_settings.admin.address, m_settings.admin.port);
    }
    logChange("entry-started",
              {{"host", m_settings.host},
               {"zone", m_settings.zone},
               {"callers", std::to_string(m_callerPort)},
               {"links", std::to_string(m_linkPort)},
               {"admin", std::to_string(m_adminPort)},
               {"incarnation", std::to_string(m_incarnation)}});
    for (const char *name : {kRulesDocument, KeyService::kDocument}) {
        m_watchTimers[name] = std::make_unique<asio::steady_timer>(m_context);
        watchDocument(name);
    }
    pollHosts();
    armTick();
}

std::uint64_t EntryProcess::startRequest(RequestInfo info, std::shared_ptr<const std::vector<std::uint8_t>> body, std::shared_ptr<CallerStream> stream)
{
    const RequestId id = m_nextRequest++;
    m_counters.add(m_requestsTotal);
    const TimePoint now = m_clock.now();
    Route route;
    const auto rules = this->rules();
    const ResultCode refusal = refusalNow(now);
    if (refusal != ResultCode::Ok || !rules) {
        route.refusal = refusal != ResultCode::Ok ? refusal : ResultCode::NoConfiguration;
    } else {
        route = rules->route(info);
    }
    m_shards->with(id, [&](Shard &shard) {
        shard.callers.emplace(id, std::move(stream));
        shard.core->start(now, id, std::move(info), route, std::move(body));
        perform(shard, shard.core->takeActions());
    });
    return id;
}

ResultCode EntryProcess::refusalNow(TimePoint now) const
{
    if (m_draining) {
        return ResultCode::ShuttingDown;
    }
    const auto limit = m_settings.entry->maxIsolation;
    const Duration isolated = now.time_since_epoch() - Duration(m_confirmedAt.load());
    return limit.count() > 0 && isolated > limit ? ResultCode::ConfigurationTooOld : ResultCode::Ok;
}

void EntryProcess::callerGone(std::uint64_t request)
{
    decide(request, [&](TimePoint now, EntryCore &core) {
        core.callerGone(now, request);
    });
    m_shards->with(request, [&](Shard &shard) {
        shard.callers.erase(request);
    });
}

void EntryProcess::callerTook(std::uint64_t request, std::uint32_t nextSequence)
{
    decide(request, [&](TimePoint now, EntryCore &core) {
        core.callerTook(now, request, nextSequence);
    });
}

template<typename Event>
void EntryProcess::decide(std::size_t shard, Event event)
{
    const TimePoint now = m_clock.now();
    m_shards->with(shard, [&](Shard &state) {
        event(now, *state.core);
        perform(state, state.core->takeActions());
    });
}

template<typename Event>
void EntryProcess::decideAll(Event event)
{
    const TimePoint now = m_clock.now();
    m_shards->each([&](Shard &state) {
        event(now, *state.core);
        perform(state, state.core->takeActions());
    });
}

/** Carries actions out in order, under the shard's lock; none of them blocks. */
void EntryProcess::perform(Shard &shard, std::vector<EntryAction> actions)
{
    for (EntryAction &action : actions) {
        if (const auto *sending = std::get_if<SendAction>(&action)) {
            send(sending->envelope.to, sending->envelope.message);
            continue;
        }
        if (const auto *opening = std::get_if<OpenLinkAction>(&action)) {
            m_hub->open(opening->node);
            continue;
        }
        if (const auto *limiting = std::get_if<LimitAction>(&action)) {
            // Posted: the answer comes back into the shard, whose lock is held here.
            asio::post(m_context, [this, wanted = *limiting] {
                limit([&](TimePoint now) {
                    m_limiter.requestTokens(now, wanted);
                });
            });
            continue;
        }
        const auto *finish = std::get_if<FinishAction>(&action);
        const RequestId id = finish != nullptr ? finish->request : std::get<DeliverAction>(action).request;
        const auto it = shard.callers.find(id);
        if (it == shard.callers.end()) {
            continue;
        }
        it->second->push(std::move(action));
        if (finish != nullptr) {
            shard.callers.erase(it);
        }
    }
}

void EntryProcess::send(NodeId to, const Message &message)
{
    if (to != m_self) {
        m_hub->send(to, message);
        return;
    }
    // This node is its own key home. Posted, because the sender holds a lock.
    asio::post(m_context, [this, message] {
        receive(m_self, message);
    });
}

void EntryProcess::limit(const std::function<void(TimePoint)> &event)
{
    std::vector<Envelope> messages;
    std::vector<LimitDecision> decisions;
    {
        const std::lock_guard lock(m_limiterMutex);
        event(m_clock.now());
        messages = m_limiter.takeMessages();
        decisions = m_limiter.takeDecisions();
    }
    for (const Envelope &envelope : messages) {
        send(envelope.to, envelope.message);
    }
    for (const LimitDecision &decision : decisions) {
        decide(decision.request, [&](TimePoint now, EntryCore &core) {
            core.limitDecided(now, decision.request, decision.granted, decision.retryAfter);
        });
    }
}

void EntryProcess::receive(NodeId from, const Message &message)
{
    const TimePoint now = m_clock.now();
    const auto toShard = [&](const std::unique_ptr<DispatchId> &id) {
        if (id) {
            decide(id->sequence(), [&](TimePoint at, EntryCore &core) {
                core.receive(at, from, message);
            });
        }
    };
    std::visit(Overloaded{
                   [&](const wire::RefuseT &refuse) {
                       toShard(refuse.id);
                   },
                   [&](const wire::AcceptT &accept) {
                       toShard(accept.id);
                   },
                   [&](const wire::ChunkT &chunk) {
                       toShard(chunk.id);
                   },
                   [&](const wire::PermitReplyT &reply) {
                       toShard(reply.id);
                   },
                   [&](const wire::ProbeReplyT & /*reply*/) {
                       decide(0, [&](TimePoint at, EntryCore &core) {
                           core.receive(at, from, message);
                       });
                   },
                   [&](const wire::LimitAskT & /*ask*/) {
                       limit([&](TimePoint at) {
                           m_limiter.receive(at, from, message);
                       });
                   },
                   [&](const wire::LimitGrantT & /*grant*/) {
                       limit([&](TimePoint at) {
                           m_limiter.receive(at, from, message);
                       });
                   },
                   [&](const wire::DocumentVersionT & /*told*/) {
                       spread(message, from);
                   },
                   [&](const wire::DocumentRequestT & /*request*/) {
                       spread(message, from);
                   },
                   [&](const wire::DocumentReplyT & /*reply*/) {
                       spread(message, from);
                   },
                   [&](const auto & /*other*/) {
                       m_keys.receive(now, from, message);
                   },
               },
               message);
}

bool EntryProcess::linkUp(const LinkRef &link, bool outgoing, bool leaving)
{
    if (!outgoing) {
        return true; // another entry; it speaks first
    }
    const TimePoint now = m_clock.now();
    m_directory.linkUp(now, link.node, link.incarnation, leaving);
    decideAll([&](TimePoint at, EntryCore &core) {
        core.linkUp(at, link.node);
    });
    return true;
}

void EntryProcess::linkDown(const LinkRef &link, bool outgoing)
{
    if (!outgoing) {
        return;
    }
    m_directory.linkDown(link.node);
    decideAll([&](TimePoint at, EntryCore &core) {
        core.linkDown(at, link.node);
    });
}

void EntryProcess::linkFailed(NodeId node)
{
    decideAll([&](TimePoint at, EntryCore &core) {
        core.linkFailed(at, node);
    });
}

void EntryProcess::linkMessage(const LinkRef &link, const Message &message)
{
    receive(link.node, message);
}

void EntryProcess::armTick()
{
    m_tickTimer.expires_after(kTick);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (error || m_stopped) {
            return;
        }
        tick();
        armTick();
    });
}

void EntryProcess::tick()
{
    decideAll([](TimePoint now, EntryCore &core) {
        core.tick(now);
    });
    const TimePoint now = m_clock.now();
    m_keys.tick(now);
    limit([&](TimePoint at) {
        m_limiter.tick(at);
    });
    for (const NodeId node : m_directory.reconnectCandidates(now)) {
        m_hub->open(node);
    }
    {
        const std::lock_guard lock(m_spreadMutex);
        m_spread.tick(now);
    }
    flushSpread();
    m_counters.set(m_requestsNow, requests());
}

void EntryProcess::startDrain()
{
    m_draining = true;
    m_server->startDrain();
    m_keys.startDrain(m_clock.now());
    logChange("drain-started", {{"host", m_settings.host}, {"requests", std::to_string(requests())}});
}

bool EntryProcess::drained()
{
    return requests() == 0 && m_server->exchanges() == 0 && m_keys.drained(m_clock.now());
}

void EntryProcess::cutAll()
{
    decideAll([](TimePoint now, EntryCore &core) {
        core.cutAll(now);
    });
}

void EntryProcess::stop()
{
    m_stopped = true;
    m_hub->close();
    if (m_admin) {
        m_admin->close();
    }
    m_tickTimer.cancel();
    m_hostTimer.cancel();
}

std::uint16_t EntryProcess::callerPort() const
{
    return m_callerPort;
}

std::uint16_t EntryProcess::linkPort() const
{
    return m_linkPort;
}

std::uint16_t EntryProcess::adminPort() const
{
    return m_adminPort;
}

Counters &EntryProcess::counters()
{
    return m_counters;
}

std::uint64_t EntryProcess::rulesVersion() const
{
    return m_rulesVersion;
}

std::size_t EntryProcess::requests()
{
    std::size_t count = 0;
    m_shards->each([&](Shard &shard) {
        count += shard.core->requests();
    });
    return count;
}

unsigned EntryProcess::keySlots() const
{
    return m_keys.ownedSlots();
}

bool EntryProcess::ready() const
{
    return !m_draining && rules() != nullptr;
}

std::string EntryProcess::statusJson()
{
    boost::json::object status;
    status["host"] = m_settings.host;
    status["zone"] = m_settings.zone;
    status["role"] = kEntryRole;
    status["incarnation"] = m_incarnation;
    status["rules_version"] = m_rulesVersion.load();
    status["requests"] = requests();
    status["links"] = m_hub->links();
    status["draining"] = m_draining.load();
    status["key_slots"] = m_keys.ownedSlots();
    status["keys"] = m_keys.keys();
    {
        const std::lock_guard lock(m_spreadMutex);
        status["watcher"] = m_spread.isWatcher();
    }
    boost::json::object runners;
    const TimePoint now = m_clock.now();
    for (const HostInfo &host : m_directory.runners()) {
        runners[host.name] = {{"pool", host.role}, {"zone", host.zone}, {"state", std::string(runnerStateName(m_directory.state(now, nodeId(host.name))))}};
    }
    status["runners"] = runners;
    return boost::json::serialize(status);
}

} // namespace fulmarlink
