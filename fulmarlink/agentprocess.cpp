#include "fulmarlink/agentprocess.h"

#include <boost/json.hpp>

#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds kTick{10};

AgentOptions agentOptions(const Settings &settings, std::uint64_t incarnation)
{
    AgentOptions options = settings.agent->options;
    options.incarnation = incarnation;
    return options;
}

} // namespace

AgentProcess::AgentProcess(asio::io_context &context, Settings settings, std::uint64_t incarnation)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_incarnation(incarnation)
    , m_dispatches(m_counters.registerCounter("fulmarlink_dispatches_total"))
    , m_running(m_counters.registerCounter("fulmarlink_dispatches_running"))
    , m_core(agentOptions(m_settings, incarnation), m_counters)
    , m_engine(context.get_executor(), m_settings.agent->runner, m_settings.agent->refusalStatuses)
    , m_tickTimer(context)
{
    const LinkIdentity identity{nodeId(m_settings.host), m_settings.host, m_settings.agent->pool, m_settings.zone, incarnation};
    m_hub = std::make_shared<LinkHub>(context.get_executor(), identity, *this, m_counters);
}

AgentProcess::~AgentProcess() = default;

void AgentProcess::start()
{
    m_linkPort = m_hub->listen(m_settings.links.address, m_settings.links.port);
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
                co_return textResponse(m_draining ? 503 : 200, m_draining ? "not ready\n" : "ready\n");
            }
            co_return textResponse(404, "not found\n");
        });
        m_adminPort = m_admin->listen(m_settings.admin.address, m_settings.admin.port);
    }
    logChange("agent-started",
              {{"host", m_settings.host},
               {"zone", m_settings.zone},
               {"pool", m_settings.agent->pool},
               {"links", std::to_string(m_linkPort)},
               {"admin", std::to_string(m_adminPort)},
               {"incarnation", std::to_string(m_incarnation)}});
    armTick();
}

template<typename Event>
auto AgentProcess::decide(Event event)
{
    const TimePoint now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    if constexpr (std::is_void_v<decltype(event(now))>) {
        event(now);
        perform(m_core.takeActions());
    } else {
        const auto result = event(now);
        perform(m_core.takeActions());
        return result;
    }
}

/** Carries actions out in order, under the lock; none of them blocks. */
void AgentProcess::perform(std::vector<AgentAction> actions)
{
    for (AgentAction &action : actions) {
        std::visit(Overloaded{
                       [&](const Envelope &envelope) {
                           m_hub->send(envelope.to, envelope.message);
                       },
                       [&](const StartEngineAction &start) {
                           m_counters.add(m_dispatches);
                           m_calls[start.id] = m_engine.start(start.id, start.request, *this);
                       },
                       [&](const CancelEngineAction &cancel) {
                           const auto it = m_calls.find(cancel.id);
                           if (it != m_calls.end()) {
                               it->second->cancel();
                           }
                       },
                       [&](const ResumeEngineAction &resume) {
                           const auto it = m_calls.find(resume.id);
                           if (it != m_calls.end()) {
                               it->second->resume();
                           }
                       },
                   },
                   action);
    }
}

bool AgentProcess::linkUp(const LinkRef &link, bool outgoing, bool /*leaving*/)
{
    return outgoing || decide([&](TimePoint now) {
               return m_core.linkUp(now, link);
           });
}

void AgentProcess::linkDown(const LinkRef &link, bool /*outgoing*/)
{
    decide([&](TimePoint now) {
        m_core.linkDown(now, link);
    });
}

void AgentProcess::linkFailed(NodeId /*node*/)
{
}

void AgentProcess::linkMessage(const LinkRef &link, const Message &message)
{
    decide([&](TimePoint now) {
        m_core.receive(now, link, message);
    });
}

void AgentProcess::engineCommitted(const DispatchId &id)
{
    decide([&](TimePoint now) {
        m_core.engineCommitted(now, id);
    });
}

void AgentProcess::engineHead(const DispatchId &id, unsigned status, std::vector<std::pair<std::string, std::string>> headers)
{
    decide([&](TimePoint now) {
        m_core.engineHead(now, id, status, std::move(headers));
    });
}

bool AgentProcess::engineData(const DispatchId &id, std::span<const std::uint8_t> data)
{
    return decide([&](TimePoint now) {
        return m_core.engineData(now, id, data);
    });
}

void AgentProcess::engineEnd(const DispatchId &id)
{
    decide([&](TimePoint now) {
        m_core.engineEnd(now, id);
        m_calls.erase(id);
    });
}

void AgentProcess::engineFailed(const DispatchId &id, ResultCode code, bool notRun)
{
    decide([&](TimePoint now) {
        m_core.engineFailed(now, id, code, notRun);
        m_calls.erase(id);
    });
}

void AgentProcess::armTick()
{
    m_tickTimer.expires_after(kTick);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (error || m_stopped) {
            return;
        }
        decide([&](TimePoint now) {
            m_core.tick(now);
            m_counters.set(m_running, m_core.running());
        });
        armTick();
    });
}

void AgentProcess::startDrain()
{
    m_draining = true;
    m_hub->setLeaving();
    decide([&](TimePoint now) {
        m_core.startDrain(now);
    });
    logChange("drain-started", {{"host", m_settings.host}});
}

bool AgentProcess::drained()
{
    return decide([&](TimePoint now) {
        return m_core.drained(now);
    });
}

void AgentProcess::cutAll()
{
    decide([&](TimePoint now) {
        m_core.cutAll(now);
    });
}

void AgentProcess::stop()
{
    m_stopped = true;
    m_hub->close();
    if (m_admin) {
        m_admin->close();
    }
    m_tickTimer.cancel();
}

std::uint16_t AgentProcess::linkPort() const
{
    return m_linkPort;
}

std::uint16_t AgentProcess::adminPort() const
{
    return m_adminPort;
}

Counters &AgentProcess::counters()
{
    return m_counters;
}

std::string AgentProcess::statusJson()
{
    boost::json::object status;
    status["host"] = m_settings.host;
    status["zone"] = m_settings.zone;
    status["role"] = m_settings.agent->pool;
    status["incarnation"] = m_incarnation;
    status["draining"] = m_draining.load();
    const std::lock_guard lock(m_mutex);
    const wire::LoadT load = m_core.load();
    status["running"] = load.in_flight;
    status["queued"] = load.queued;
    status["concurrency"] = load.capacity;
    status["dispatches_remembered"] = m_core.dispatches();
    return boost::json::serialize(status);
}

} // namespace fulmarlink
