#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "fulmarlink/agentcore.h"
#include "fulmarlink/clock.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/engineclient.h"
#include "fulmarlink/httpserver.h"
#include "fulmarlink/linkhub.h"
#include "fulmarlink/settings.h"

namespace fulmarlink
{

/**
 * A target host's process: links from entries, the decision code, and the runner
 * beside it.
 *
 * How to use: construct, start(), run the io_context on settings.threads threads;
 * startDrain() begins the shutdown and drained() tells its end. An agent sees a few
 * requests a second, so its state is one shard under one lock.
 */
class AgentProcess final : public LinkEvents, public EngineEvents
{
public:
    AgentProcess(boost::asio::io_context &context, Settings settings, std::uint64_t incarnation);
    ~AgentProcess() override;

    void start();
    void startDrain();
    bool drained();
    void cutAll();
    void stop();

    std::uint16_t linkPort() const;
    std::uint16_t adminPort() const;
    Counters &counters();
    std::string statusJson();

    bool linkUp(const LinkRef &link, bool outgoing, bool leaving) override;
    void linkDown(const LinkRef &link, bool outgoing) override;
    void linkFailed(NodeId node) override;
    void linkMessage(const LinkRef &link, const Message &message) override;
    void engineCommitted(const DispatchId &id) override;
    void engineHead(const DispatchId &id, unsigned status, std::vector<std::pair<std::string, std::string>> headers) override;
    bool engineData(const DispatchId &id, std::span<const std::uint8_t> data) override;
    void engineEnd(const DispatchId &id) override;
    void engineFailed(const DispatchId &id, ResultCode code, bool notRun) override;

private:
    template<typename Event>
    auto decide(Event event);
    void perform(std::vector<AgentAction> actions);
    void armTick();

    boost::asio::io_context &m_context;
    Settings m_settings;
    const std::uint64_t m_incarnation;
    SystemClock m_clock;
    Counters m_counters;
    Counters::Id m_dispatches;
    Counters::Id m_running;
    std::mutex m_mutex;
    AgentCore m_core;
    std::unordered_map<DispatchId, std::shared_ptr<EngineCall>, DispatchIdHash> m_calls;
    HttpEngine m_engine;
    std::shared_ptr<LinkHub> m_hub;
    std::shared_ptr<HttpServer> m_admin;
    boost::asio::steady_timer m_tickTimer;
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_stopped = false;
    std::uint16_t m_linkPort = 0;
    std::uint16_t m_adminPort = 0;
};

} // namespace fulmarlink
