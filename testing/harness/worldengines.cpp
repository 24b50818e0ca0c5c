// World: agents' actions and the engines beside them.

#include <algorithm>
#include <stdexcept>

#include "testing/harness/worldnodes.h"

namespace fulmarlink::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration kStallCheck = 20ms;
constexpr Duration kLeavingGrace = 3s;

std::string headerOf(const wire::DispatchT &dispatch, std::string_view name)
{
    for (const auto &header : dispatch.headers) {
        if (header->name == name) {
            return header->value;
        }
    }
    return {};
}

} // namespace

std::string World::answerOf(const std::string &serial) const
{
    std::string answer;
    for (unsigned i = 0; i < m_chunks; ++i) {
        answer += serial + ':' + std::to_string(i) + ';';
    }
    return answer;
}

void World::performRunner(RunnerNode &runner)
{
    for (const AgentAction &action : runner.core->takeActions()) {
        std::visit(Overloaded{
                       [&](const Envelope &envelope) {
                           send(runner, envelope.to, envelope.message);
                       },
                       [&](const StartEngineAction &start) {
                           startEngine(runner, start);
                       },
                       [&](const CancelEngineAction &cancel) {
                           const auto it = runner.jobs.find(DispatchIdHash()(cancel.id));
                           if (it != runner.jobs.end()) {
                               it->second->cancelled = true;
                           }
                       },
                       [&](const ResumeEngineAction &resume) {
                           const auto it = runner.jobs.find(DispatchIdHash()(resume.id));
                           if (it != runner.jobs.end() && it->second->blocked) {
                               it->second->blocked = false;
                               engineStep(runner, it->second);
                           }
                       },
                   },
                   action);
    }
}

void World::startEngine(RunnerNode &runner, const StartEngineAction &action)
{
    if (runner.draining && m_now > runner.drainedAt + kLeavingGrace) {
        violate(runner.host.name + " takes new work " + std::to_string((m_now - runner.drainedAt).count()) + " us after it began to leave");
    }
    auto job = std::make_shared<EngineJob>();
    job->id = action.id;
    job->agent = runner.incarnation;
    job->request = action.request;
    runner.jobs[DispatchIdHash()(action.id)] = job;
    atNode(m_now + latency(), runner, [this, &runner, job] {
        if (job->cancelled || runner.refusing) {
            runner.core->engineFailed(m_now, job->id, job->cancelled ? ResultCode::CancelledBeforeRun : ResultCode::EngineUnreachable, true);
            performRunner(runner);
            return;
        }
        runner.core->engineCommitted(m_now, job->id);
        job->committed = true;
        // From here the engine has it, whatever becomes of the agent.
        const std::string serial = headerOf(*job->request, "serial");
        m_executions.push_back({serial, headerOf(*job->request, "attempt"), runner.host.name});
        ++m_executionCount[serial];
        note(runner.host.name + " runs " + serial);
        const bool single = !job->request->idempotent;
        if (single && m_executionCount[serial] > 1) {
            violate(serial + " ran " + std::to_string(m_executionCount[serial]) + " times");
        }
        performRunner(runner);
        atNode(m_now + m_firstByte, runner, [this, &runner, job] {
            engineStep(runner, job);
        });
    });
}

void World::engineStep(RunnerNode &runner, const std::shared_ptr<EngineJob> &job)
{
    if (runner.stalled && !job->cancelled) {
        atNode(m_now + kStallCheck, runner, [this, &runner, job] {
            engineStep(runner, job);
        });
        return;
    }
    if (job->cancelled || (runner.breakAfter != 0 && job->next >= runner.breakAfter)) {
        runner.core->engineFailed(m_now, job->id, job->cancelled ? ResultCode::CallerGone : ResultCode::EngineBroke, false);
        performRunner(runner);
        return;
    }
    const std::string serial = headerOf(*job->request, "serial");
    if (!job->headSent) {
        job->headSent = true;
        runner.core->engineHead(m_now, job->id, 200, {{"serial", serial}});
    }
    if (job->next == m_chunks) {
        runner.core->engineEnd(m_now, job->id);
        performRunner(runner);
        return;
    }
    const std::string data = serial + ':' + std::to_string(job->next++) + ';';
    job->blocked = !runner.core->engineData(m_now, job->id, std::span(reinterpret_cast<const std::uint8_t *>(data.data()), data.size()));
    performRunner(runner);
    if (!job->blocked) {
        atNode(m_now + m_interval, runner, [this, &runner, job] {
            engineStep(runner, job);
        });
    }
}

} // namespace fulmarlink::testing
