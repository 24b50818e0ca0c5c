#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fulmarlink/agentprocess.h"
#include "fulmarlink/entryprocess.h"
#include "standins/engine.h"
#include "standins/objectapi.h"

namespace fulmarlink::standins
{

/** Size, zones and settings of a Fleet. */
struct FleetOptions {
    std::vector<std::string> zones = {"lx-alfragide", "lx-carnaxide", "lx-sacavem"};
    std::string modelPool = "recon-llm";
    std::string servicePool = "branch-portal";
    unsigned entries = 3;
    unsigned modelRunners = 16;
    unsigned serviceRunners = 3;
    std::string rules; ///< empty: defaultRules()
    std::string picker = "affinity";
    std::string entrySettings; ///< additional lines of the section 'entry', each indented by two spaces
    std::chrono::microseconds engineStep{2000}; ///< EngineOptions::step of all engines
    boost::asio::io_context *entryContext = nullptr; ///< io_context of the entries; null: the fleet's own
    boost::asio::io_context *agentContext = nullptr; ///< io_context of the agents; null: the fleet's own
};

/**
 * A complete deployment in one process on loopback. Entry hosts and agents run their real
 * process classes; the object API, the host list and the engines are fakes.
 */
class Fleet
{
public:
    Fleet(boost::asio::io_context &context, FleetOptions options);
    ~Fleet();

    void start();
    /** Waits until all entries are ready and together hold all key slots; returns false on timeout. */
    bool waitReady(std::chrono::milliseconds timeout);
    /** Kills the engine and the agent of one runner; the host list keeps the runner until unlistRunner(). */
    void killRunner(std::size_t index);
    void unlistRunner(std::size_t index);
    /** Replaces an agent by a new incarnation on another port; its engine keeps running. */
    void restartAgent(std::size_t index);
    void stop();

    ObjectApi &objectApi();
    std::vector<std::unique_ptr<EntryProcess>> &entries();
    std::vector<std::unique_ptr<AgentProcess>> &agents();
    std::vector<std::shared_ptr<Engine>> &engines();
    std::vector<std::uint16_t> callerPorts() const;
    std::uint16_t storePort() const;
    std::uint16_t enginePort(std::size_t index) const;

    static std::string defaultRules(const FleetOptions &options);

private:
    void startAgent(const std::string &pool, unsigned index, const EngineOptions &engine);
    void startEntry(unsigned index);
    void publishHosts();

    boost::asio::io_context &m_context;
    FleetOptions m_options;
    ObjectApi m_objectApi;
    std::uint16_t m_storePort = 0;
    std::vector<std::unique_ptr<EntryProcess>> m_entries;
    std::vector<std::unique_ptr<AgentProcess>> m_agents;
    std::vector<std::shared_ptr<Engine>> m_engines;
    std::vector<std::uint16_t> m_enginePorts;
    std::vector<std::string> m_agentSettings;
    std::vector<std::unique_ptr<AgentProcess>> m_stopped; ///< kept until destruction because their handlers may still run
    std::vector<HostInfo> m_entryHosts;
    std::vector<HostInfo> m_agentHosts;
    std::vector<bool> m_unlisted;
    std::uint64_t m_incarnation = 1;
};

} // namespace fulmarlink::standins
