#include "fulmarlink/signalwatch.h"

#include <algorithm>
#include <utility>

#include "fulmarlink/backoffrecorder.h"
#include "fulmarlink/callerprotocol.h"
#include "fulmarlink/log.h"
#include "fulmarlink/targetconnections.h"

namespace fulmarlink
{

namespace
{

constexpr std::size_t kMaxMalformedLogged = 1000; ///< incarnations remembered, so that each is logged once

} // namespace

SignalWatch::SignalWatch(GatewayState &state)
    : m_state(state)
    , m_backingOff(state.counters.registerCounter("fulmarlink_runners_backing_off"))
    , m_backoffs(state.counters.registerCounter("fulmarlink_backoffs_total"))
    , m_malformedBackoffs(state.counters.registerCounter("fulmarlink_malformed_backoffs_total"))
    , m_leaving(state.counters.registerCounter("fulmarlink_leaving_answers_total"))
{
}

/** Random delay after a backoff. Each host resumes with one request; if there are more hosts than slots, the delay staggers them. */
Duration SignalWatch::spread(const TargetInfo &target)
{
    const double hostsPerSlot = static_cast<double>(m_state.signals.pacer.hostCount()) / std::max(1U, target.slots);
    if (hostsPerSlot <= 1) {
        return Duration(0);
    }
    const auto maxSpread = static_cast<Duration::rep>(static_cast<double>(m_state.pool(target.pool).serviceTime.mean().count()) * (hostsPerSlot - 1));
    return Duration(std::uniform_int_distribution<Duration::rep>(0, maxSpread)(m_state.random));
}

void SignalWatch::handleAnswer(const TargetInfo &target, const RunnerAnswer &answer, const std::string &source)
{
    if (!answer.speaksForTarget) {
        return;
    }
    if (answer.leaving) {
        noteLeaving(target, source);
    }
    if (!answer.malformedBackoff.empty()) {
        noteMalformed({target.id, target.born}, answer.malformedBackoff);
    }
    if (answer.backoff && *answer.backoff > Duration(0)) {
        noteBackoff(target, *answer.backoff, source);
    }
}

void SignalWatch::noteBackoff(const TargetInfo &target, Duration asked, const std::string &source)
{
    const TargetIncarnation incarnation{target.id, target.born};
    const TimePoint now = m_state.clock.now();
    const bool isNew = m_state.signals.activeBackoff(incarnation) == nullptr;
    const Duration spread = this->spread(target);
    const bool extended = m_state.signals.recordBackoff(incarnation, asked, spread, source, now);
    m_state.counters.add(m_backoffs);
    m_state.counters.set(m_backingOff, m_state.signals.backingOffCount(now));
    if (m_state.signals.activeBackoff(incarnation) == nullptr) {
        logWarning("runner-signals-full",
                   {{"target", incarnation.id}, {"born", std::to_string(incarnation.born)}, {"lives", std::to_string(RunnerSignals::kMaxIncarnations)}});
    }
    if (!extended) {
        return;
    }
    m_state.backoffRecorder->backoffExtended();
    logChange("runner-backoff",
              {{"target", incarnation.id},
               {"born", std::to_string(incarnation.born)},
               {"change", isNew ? "begins" : "extended"},
               {"asked_ms", msText(asked)},
               {"spread_ms", msText(spread)},
               {"open", std::to_string(m_state.targets.ownRequests(target.id))},
               {"source", source}});
}

void SignalWatch::noteLeaving(const TargetInfo &target, const std::string &source)
{
    const TargetIncarnation incarnation{target.id, target.born};
    m_state.counters.add(m_leaving);
    if (!m_state.signals.markLeaving(incarnation)) {
        return;
    }
    m_state.connections->closeIdleTo(target.id);
    logChange("runner-leaving",
              {{"target", incarnation.id},
               {"born", std::to_string(incarnation.born)},
               {"listed_leaving", target.leaving ? "true" : "false"},
               {"open", std::to_string(m_state.targets.ownRequests(target.id))},
               {"source", source}});
}

void SignalWatch::expireBackoffs()
{
    const TimePoint now = m_state.clock.now();
    for (const auto &[incarnation, request] : m_state.signals.takeExpiredBackoffs(now)) {
        logChange("runner-backoff",
                  {{"target", incarnation.id},
                   {"born", std::to_string(incarnation.born)},
                   {"change", "ended"},
                   {"asked_ms", msText(request.duration)},
                   {"age_ms", msText(now - request.since)},
                   {"refused", std::to_string(request.refusedAttempts)},
                   {"source", request.source}});
    }
    m_state.counters.set(m_backingOff, m_state.signals.backingOffCount(now));
}

void SignalWatch::removeUnlistedRunners()
{
    std::set<TargetIncarnation> unlisted;
    for (const TargetIncarnation &incarnation : m_state.signals.incarnations()) {
        const TargetInfo *target = m_state.targets.find(incarnation.id);
        if (target != nullptr && target->born == incarnation.born) {
            continue;
        }
        if (m_unlisted.contains(incarnation)) {
            m_state.signals.forget(incarnation);
        } else {
            unlisted.insert(incarnation);
        }
    }
    m_unlisted = std::move(unlisted);
}

void SignalWatch::noteMalformed(const TargetIncarnation &incarnation, const std::string &text)
{
    m_state.counters.add(m_malformedBackoffs);
    if (m_malformed.size() < kMaxMalformedLogged && m_malformed.insert(incarnation).second) {
        logWarning("runner-backoff-malformed", {{"target", incarnation.id}, {"born", std::to_string(incarnation.born)}, {"text", text.substr(0, 64)}});
    }
}

} // namespace fulmarlink
