#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <vector>

#include "fulmarlink/agentcore.h"
#include "fulmarlink/httpclient.h"

namespace fulmarlink
{

/** Receives the progress of one engine call; the order of calls is the order of AgentCore's events. */
class EngineEvents
{
public:
    virtual ~EngineEvents() = default;
    virtual void engineCommitted(const DispatchId &id) = 0;
    virtual void engineHead(const DispatchId &id, unsigned status, std::vector<std::pair<std::string, std::string>> headers) = 0;
    /** False: read no further until resume(). */
    virtual bool engineData(const DispatchId &id, std::span<const std::uint8_t> data) = 0;
    virtual void engineEnd(const DispatchId &id) = 0;
    virtual void engineFailed(const DispatchId &id, ResultCode code, bool notRun) = 0;
};

/** One request to the runner beside this agent. */
class EngineCall
{
public:
    virtual ~EngineCall() = default;
    virtual void cancel() = 0;
    virtual void resume() = 0;
};

/** Where dispatches are run. */
class Engine
{
public:
    virtual ~Engine() = default;
    virtual std::shared_ptr<EngineCall> start(const DispatchId &id, std::shared_ptr<const wire::DispatchT> request, EngineEvents &events) = 0;
};

/**
 * A model engine or plain service over HTTP/1.1. Each call has a connection of its
 * own, so that there is one clear moment before which the engine has seen nothing.
 */
class HttpEngine final : public Engine
{
public:
    HttpEngine(boost::asio::any_io_executor executor, HttpTarget target, std::vector<unsigned> refusalStatuses);
    std::shared_ptr<EngineCall> start(const DispatchId &id, std::shared_ptr<const wire::DispatchT> request, EngineEvents &events) override;

private:
    boost::asio::any_io_executor m_executor;
    HttpTarget m_target;
    std::vector<unsigned> m_refusalStatuses;
};

} // namespace fulmarlink
