#include "standins/fleet.h"

#include <stdexcept>
#include <thread>

namespace fulmarlink::standins
{

namespace
{

constexpr const char *kLoopback = "127.0.0.1";
constexpr unsigned kModelBatch = 8;
constexpr unsigned kServiceBatch = 16;

Settings parseSettings(const std::string &text)
{
    FileErrors errors;
    Settings settings = Settings::parse(text, "fleet", errors);
    if (!errors.empty()) {
        throw std::runtime_error(errors.front().text());
    }
    return settings;
}

std::string targetSetting(const std::string &key, std::uint16_t port)
{
    return key + ": {address: " + kLoopback + ", port: " + std::to_string(port) + "}\n";
}

} // namespace

std::string Fleet::defaultRules(const FleetOptions &options)
{
    return "rules:\n"
           "  - name: adjustment-notes\n"
           "    when: {path_prefix: /v1/generate/note}\n"
           "    then: {route: "
           + options.modelPool
           + ", idempotent: false, priority: high, deadline_ms: 20000}\n"
             "  - name: explanations\n"
             "    when: {path_prefix: /v1/generate}\n"
             "    then: {route: "
           + options.modelPool
           + ", idempotent: true, deadline_ms: 20000}\n"
             "  - name: branch-service\n"
             "    when: {}\n"
             "    then: {route: "
           + options.servicePool + ", deadline_ms: 10000}\n";
}

Fleet::Fleet(boost::asio::io_context &context, FleetOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_objectApi(context.get_executor())
{
    if (m_options.rules.empty()) {
        m_options.rules = defaultRules(m_options);
    }
}

Fleet::~Fleet() = default;

void Fleet::start()
{
    m_storePort = m_objectApi.listen(kLoopback, 0);
    EngineOptions model;
    model.batch = kModelBatch;
    for (unsigned i = 0; i < m_options.modelRunners; ++i) {
        startAgent(m_options.modelPool, i, model);
    }
    EngineOptions service;
    service.batch = kServiceBatch;
    for (unsigned i = 0; i < m_options.serviceRunners; ++i) {
        startAgent(m_options.servicePool, i, service);
    }
    m_unlisted.assign(m_agents.size(), false);
    m_objectApi.seed(EntryProcess::kRulesDocument, m_options.rules);
    for (unsigned i = 0; i < m_options.entries; ++i) {
        startEntry(i);
    }
    publishHosts();
}

void Fleet::startAgent(const std::string &pool, unsigned index, const EngineOptions &engine)
{
    const std::string name = pool + '-' + std::to_string(index + 1);
    const std::string zone = m_options.zones[index % m_options.zones.size()];
    EngineOptions options = engine;
    options.name = name;
    options.step = m_options.engineStep;
    m_engines.push_back(std::make_shared<Engine>(m_context.get_executor(), options));
    const std::uint16_t port = m_engines.back()->listen(kLoopback, 0);
    m_enginePorts.push_back(port);
    const std::string text = "host: " + name + "\nzone: " + zone + "\n" + targetSetting("links", 0) + "agent:\n  pool: " + pool + "\n  "
                             + targetSetting("runner", port) + "  concurrency: " + std::to_string(options.batch) + "\n  refusal_statuses: [503]\n";
    m_agentSettings.push_back(text);
    m_agents.push_back(
        std::make_unique<AgentProcess>(m_options.agentContext != nullptr ? *m_options.agentContext : m_context, parseSettings(text), m_incarnation++));
    m_agents.back()->start();
    m_agentHosts.push_back({name, pool, zone, kLoopback, m_agents.back()->linkPort(), false});
}

void Fleet::startEntry(unsigned index)
{
    const std::string name = "entry-" + std::to_string(index + 1);
    const std::string zone = m_options.zones[index % m_options.zones.size()];
    const std::string text = "host: " + name + "\nzone: " + zone + "\n" + targetSetting("links", 0) + targetSetting("admin", 0) + "platform:\n  "
                             + targetSetting("object_api", m_storePort) + "  " + targetSetting("host_list", m_storePort)
                             + "  host_list_interval_ms: 200\nentry:\n  " + targetSetting("listen", 0) + "  runners: {picker: " + m_options.picker + "}\n"
                             + m_options.entrySettings;
    m_entries.push_back(
        std::make_unique<EntryProcess>(m_options.entryContext != nullptr ? *m_options.entryContext : m_context, parseSettings(text), m_incarnation++));
    m_entries.back()->start();
    m_entryHosts.push_back({name, "entry", zone, kLoopback, m_entries.back()->linkPort(), false});
}

void Fleet::publishHosts()
{
    std::vector<HostInfo> hosts = m_entryHosts;
    for (std::size_t i = 0; i < m_agentHosts.size(); ++i) {
        if (!m_unlisted[i]) {
            hosts.push_back(m_agentHosts[i]);
        }
    }
    m_objectApi.setHosts(std::move(hosts));
}

bool Fleet::waitReady(std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    const auto ready = [this] {
        unsigned slots = 0;
        for (const auto &entry : m_entries) {
            slots += entry->keySlots();
            if (!entry->ready()) {
                return false;
            }
        }
        return slots == SlotTable::kSlots;
    };
    while (!ready()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

void Fleet::killRunner(std::size_t index)
{
    m_engines[index]->kill();
    m_agents[index]->stop();
}

void Fleet::unlistRunner(std::size_t index)
{
    m_unlisted[index] = true;
    publishHosts();
}

void Fleet::restartAgent(std::size_t index)
{
    m_agents[index]->stop();
    m_stopped.push_back(std::move(m_agents[index]));
    boost::asio::io_context &context = m_options.agentContext != nullptr ? *m_options.agentContext : m_context;
    m_agents[index] = std::make_unique<AgentProcess>(context, parseSettings(m_agentSettings[index]), m_incarnation++);
    m_agents[index]->start();
    m_agentHosts[index].port = m_agents[index]->linkPort();
    publishHosts();
}

void Fleet::stop()
{
    for (const auto &entry : m_entries) {
        entry->stop();
    }
    for (const auto &agent : m_agents) {
        agent->stop();
    }
    for (const auto &engine : m_engines) {
        engine->kill();
    }
    m_objectApi.close();
}

ObjectApi &Fleet::objectApi()
{
    return m_objectApi;
}

std::vector<std::unique_ptr<EntryProcess>> &Fleet::entries()
{
    return m_entries;
}

std::vector<std::unique_ptr<AgentProcess>> &Fleet::agents()
{
    return m_agents;
}

std::vector<std::shared_ptr<Engine>> &Fleet::engines()
{
    return m_engines;
}

std::vector<std::uint16_t> Fleet::callerPorts() const
{
    std::vector<std::uint16_t> ports;
    for (const auto &entry : m_entries) {
        ports.push_back(entry->callerPort());
    }
    return ports;
}

std::uint16_t Fleet::enginePort(std::size_t index) const
{
    return m_enginePorts[index];
}

std::uint16_t Fleet::storePort() const
{
    return m_storePort;
}

} // namespace fulmarlink::standins
