// Time advances in steps of kStep. A step restarts and ends runners, lets each attempt proceed, and
// then lets the hosts detect ends and exchange records.

#include "testing/harness/crashsimulation.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "fulmarlink/attemptpolicy.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kStep = 5ms;
constexpr Duration kWaveSpread = 60ms;
constexpr Duration kGiveUpTime = 1000ms; ///< after which a host gives a silent attempt up
constexpr Duration kPropagationTime = 400ms; ///< after which all hosts know of a runner's end
constexpr std::chrono::milliseconds kUnixStart{1'800'000'000'000};
constexpr std::uint64_t kCustomers = 3;
constexpr std::uint64_t kCommonSegments = 7;
constexpr std::uint64_t kRareSegments = 101;

template<typename Item>
std::vector<Item> takeDue(std::vector<Item> &items, TimePoint now)
{
    const auto due = std::stable_partition(items.begin(), items.end(), [now](const Item &item) {
        return item.at > now;
    });
    std::vector<Item> result(std::make_move_iterator(due), std::make_move_iterator(items.end()));
    items.erase(due, items.end());
    return result;
}

} // namespace

CrashSimulationTotals playCrashSimulation(CrashSimulationOptions options, std::uint64_t plays)
{
    CrashSimulationTotals totals;
    double crashed = 0;
    for (options.seed = 1; options.seed <= plays; ++options.seed) {
        const CrashSimulationResult result = CrashSimulation(options).run();
        totals.answered += result.answered;
        totals.cut += result.cut;
        totals.heldBack += result.heldBack;
        totals.banned += result.banned;
        totals.refusedForSegments += result.refusedForSegments;
        totals.mostOwnCrashes = std::max(totals.mostOwnCrashes, result.mostOwnCrashes);
        for (const unsigned runners : result.runnersCrashed) {
            totals.mostCrashed = std::max(totals.mostCrashed, runners);
            crashed += runners;
        }
    }
    totals.meanCrashed = crashed / static_cast<double>(std::max<std::uint64_t>(1, plays * (options.crashingRequests + options.crashingSegments)));
    return totals;
}

CrashSimulation::CrashSimulation(CrashSimulationOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_now(std::chrono::seconds(500))
    , m_nextWave(m_now + 1s)
    , m_runners(options.runners)
{
    for (unsigned i = 0; i < options.hosts; ++i) {
        m_hosts.push_back(std::make_unique<Host>());
        m_hosts.back()->history.setRunnerCount(options.runners);
    }
    for (unsigned i = 0; i < options.callers; ++i) {
        addCaller(false);
    }
    m_result.runnersCrashed.assign(options.crashingRequests + options.crashingSegments, 0);
    for (unsigned i = 0; i < options.crashingRequests; ++i) {
        addCaller(true);
        m_callers.back().culpritIndex = i;
    }
    for (unsigned i = 0; i < options.crashingSegments * options.callersPerSegment; ++i) {
        addSegmentCaller(i % options.crashingSegments);
    }
}

Duration CrashSimulation::between(Duration least, Duration most)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(m_random));
}

std::size_t CrashSimulation::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

CrashSuspect CrashSimulation::suspectOf(const Caller &caller) const
{
    CrashSuspect suspect{RequestFingerprint{1 + caller.request % kCustomers, 2, caller.request}, "customer", "stream", false};
    suspect.segments = segmentsOf(caller);
    return suspect;
}

/** Segments that all prompts share, a few, and hardly any. */
std::vector<std::string> CrashSimulation::segmentsOf(const Caller &caller) const
{
    if (m_options.crashingSegments == 0 && !m_options.sharesSegments) {
        return {};
    }
    std::vector<std::string> result{"all", "common" + std::to_string(caller.request % kCommonSegments)};
    if (caller.crashingSegment != kNone) {
        result.push_back("crashing" + std::to_string(caller.crashingSegment));
    }
    result.push_back("rare" + std::to_string(caller.request % kRareSegments));
    return result;
}

CrashKeys CrashSimulation::keysOf(const Caller &caller) const
{
    const CrashSuspect suspect = suspectOf(caller);
    return crashKeysOf(suspect.fingerprint, suspect.segments);
}

void CrashSimulation::addSegmentCaller(std::size_t segment)
{
    addCaller(true);
    m_callers.back().repeatsLeft = m_options.callerRepeats;
    m_callers.back().crashingSegment = segment;
    m_callers.back().culpritIndex = m_options.crashingRequests + segment;
}

void CrashSimulation::addCaller(bool crashes)
{
    Caller caller;
    caller.request = ++m_nextRequest;
    caller.crashes = crashes;
    caller.repeatsLeft = crashes ? ~0U : m_options.callerRepeats;
    caller.sendAt = m_now + between(0ms, 1s);
    m_callers.push_back(caller);
    if (crashes) {
        m_crashingRequests.insert(caller.request);
    }
}

CrashSimulationResult CrashSimulation::run()
{
    const TimePoint end = m_now + m_options.length;
    for (; m_now < end; m_now += kStep) {
        restartRunners();
        startWave();
        beginLeftovers();
        for (Caller &caller : m_callers) {
            advance(caller);
        }
        detectEnds();
        deliverRecords();
    }
    for (const auto &[request, verdict] : m_worstVerdicts) {
        m_result.banned += verdict == CrashVerdict::Banned ? 1 : 0;
        m_result.heldBack += verdict == CrashVerdict::HeldBack ? 1 : 0;
    }
    return m_result;
}

void CrashSimulation::restartRunners()
{
    for (Runner &runner : m_runners) {
        if (!runner.up && runner.restartAt <= m_now) {
            runner.up = true;
            ++runner.born;
        }
    }
}

void CrashSimulation::startWave()
{
    if (m_options.waveInterval > 0ms && m_nextWave <= m_now) {
        m_nextWave = m_now + between(m_options.waveInterval / 2, m_options.waveInterval * 3 / 2);
        std::vector<std::size_t> order(m_runners.size());
        for (std::size_t i = 0; i < order.size(); ++i) {
            order[i] = i;
        }
        std::ranges::shuffle(order, m_random);
        for (std::size_t i = 0; i < std::min<std::size_t>(m_options.waveSize, order.size()); ++i) {
            m_waveEnds.emplace_back(m_now + between(0ms, kWaveSpread), order[i]);
        }
    }
    std::erase_if(m_waveEnds, [this](const auto &end) {
        if (end.first <= m_now) {
            endRunner(end.second, kNone);
        }
        return end.first <= m_now;
    });
}

/** Ends a runner, breaks the attempts there and schedules when each of their hosts detects it. */
void CrashSimulation::endRunner(std::size_t index, std::size_t culpritIndex)
{
    Runner &runner = m_runners[index];
    if (!runner.up) {
        return;
    }
    runner.up = false;
    runner.restartAt = m_now + m_options.restartDelay;
    if (culpritIndex != kNone) {
        ++m_result.runnersCrashed[culpritIndex];
    }
    const TargetIncarnation incarnation{"i-" + std::to_string(index), runner.born};
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (!m_hosts[host]->attempts.incarnationsOf(incarnation.id, m_now).empty()) {
            m_detections.push_back({m_now + between(100ms, 300ms), host, incarnation});
        }
    }
    for (Caller &caller : m_callers) {
        if (!caller.sendAt && caller.attempt.runner == index) {
            attemptBroken(caller, RunnerAttempts::Outcome::Lost, true);
        }
    }
}

void CrashSimulation::beginLeftovers()
{
    for (const Leftover &leftover : takeDue(m_leftovers, m_now)) {
        if (m_runners[leftover.runner].born == leftover.born) {
            endRunner(leftover.runner, leftover.culpritIndex);
        }
    }
}

void CrashSimulation::advance(Caller &caller)
{
    if (caller.sendAt) {
        if (*caller.sendAt <= m_now) {
            sendFromCaller(caller);
        }
        return;
    }
    Attempt &attempt = caller.attempt;
    if (attempt.crashAt && *attempt.crashAt <= m_now) {
        endRunner(attempt.runner, caller.culpritIndex);
        return;
    }
    if (!attempt.firstEventAt) {
        if (m_now - attempt.sentAt >= kGiveUpTime) {
            if (caller.crashes && m_options.slowRunnersKeepRequests) {
                m_leftovers.push_back({m_now + between(20ms, 500ms), attempt.runner, attempt.incarnation.born, caller.culpritIndex});
            }
            attemptBroken(caller, RunnerAttempts::Outcome::Broken, false);
        }
        return;
    }
    if (*attempt.firstEventAt <= m_now) {
        m_hosts[caller.host]->attempts.markAnswering(attempt.token);
        if (!attempt.eventSeen) {
            m_hosts[caller.host]->history.segmentsAnswered(keysOf(caller).segments, m_now);
        }
        attempt.eventSeen = true;
        caller.answerBegun = true;
    }
    if (attempt.endsAt <= m_now) {
        m_hosts[caller.host]->attempts.recordEnd(attempt.token, RunnerAttempts::Outcome::Resolved, m_now);
        m_hosts[caller.host]->history.requestCompleted(suspectOf(caller).fingerprint, m_now);
        finish(caller, true);
    }
}

void CrashSimulation::sendFromCaller(Caller &caller)
{
    caller.sendAt.reset();
    caller.host = below(m_hosts.size());
    caller.ran = 0;
    caller.endedRunners = 0;
    caller.broken.clear();
    caller.answerBegun = false;
    caller.attempt = {};
    sendToRunner(caller);
}

/** Sends the request to a random runner that is up, unless its crash history forbids it. */
void CrashSimulation::sendToRunner(Caller &caller)
{
    Host &host = *m_hosts[caller.host];
    const CrashStatus status = host.history.gravestStatus(keysOf(caller), m_now);
    const CrashVerdict verdict = status.verdict;
    const bool refused = verdict == CrashVerdict::HeldBack || verdict == CrashVerdict::Banned;
    m_result.refusedForSegments += refused && !caller.crashes && !status.segment.empty() ? 1 : 0;
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < m_runners.size(); ++i) {
        if (m_runners[i].up && i != caller.attempt.runner) {
            up.push_back(i);
        }
    }
    if (verdict == CrashVerdict::TrialDue && !claimTrial(status)) {
        finish(caller, false);
        return;
    }
    if (refused || up.empty()) {
        finish(caller, false);
        return;
    }
    Attempt attempt;
    attempt.runner = up[below(up.size())];
    attempt.incarnation = {"i-" + std::to_string(attempt.runner), m_runners[attempt.runner].born};
    attempt.token = host.attempts.add(attempt.incarnation, suspectOf(caller), RunnerAttempts::Start{m_now, true});
    attempt.sentAt = m_now;
    const bool slow = std::bernoulli_distribution(m_options.slowShare)(m_random);
    if (!slow) {
        attempt.firstEventAt = m_now + between(30ms, 200ms);
        attempt.endsAt = *attempt.firstEventAt + between(m_options.streamLength / 4, m_options.streamLength * 7 / 4);
    }
    if (caller.crashes && !slow) {
        attempt.crashAt = m_options.crashLate ? *attempt.firstEventAt + between(10ms, 300ms) : m_now + between(5ms, 25ms);
        attempt.endsAt = *attempt.crashAt + 1s;
    }
    caller.attempt = attempt;
    ++caller.ran;
}

/** Creates the record of the next trial, which only one host can. */
bool CrashSimulation::claimTrial(const CrashStatus &status)
{
    CrashRecord record;
    record.kind = CrashRecordKind::Trial;
    record.name = "trial." + status.trialKey.text() + '.' + std::to_string(status.trials + 1);
    record.suspects.push_back({status.trialKey, {}, {}, false});
    if (!m_trials.insert(record.name).second) {
        return false;
    }
    for (const auto &host : m_hosts) {
        host->history.add(record, m_now);
    }
    return true;
}

void CrashSimulation::attemptBroken(Caller &caller, RunnerAttempts::Outcome outcome, bool runnerEnded)
{
    Host &host = *m_hosts[caller.host];
    host.attempts.recordEnd(caller.attempt.token, outcome, m_now);
    caller.broken.push_back(caller.attempt.token);
    caller.endedRunners += runnerEnded ? 1 : 0;
    if (!caller.crashes) {
        m_result.mostOwnCrashes = std::max(m_result.mostOwnCrashes, caller.endedRunners);
    }
    AttemptState state;
    state.end = AttemptEnd::Broken;
    state.repeatable = true;
    state.resumable = true;
    state.answerBegun = caller.answerBegun;
    state.ran = caller.ran;
    state.sends = caller.ran;
    state.maxAttempts = m_options.maxAttempts;
    state.runnerEnded = runnerEnded && !caller.attempt.eventSeen;
    state.endedRunners
        = host.history.status(suspectOf(caller).fingerprint, m_now).crashes + static_cast<unsigned>(host.attempts.unresolved(caller.broken, m_now));
    if (nextStep(state) == NextStep::Again) {
        sendToRunner(caller);
    } else {
        finish(caller, false);
    }
}

/** Schedules the next attempt of the caller, or replaces it by one with another request. */
void CrashSimulation::finish(Caller &caller, bool answered)
{
    caller.attempt = {};
    if (!answered && caller.repeatsLeft > 0) {
        caller.repeatsLeft -= caller.crashes && caller.crashingSegment == kNone ? 0 : 1;
        caller.sendAt = m_now + (caller.crashes ? between(kPropagationTime, 2 * kPropagationTime) : between(50ms, 600ms));
        return;
    }
    caller.request = ++m_nextRequest;
    caller.repeatsLeft = m_options.callerRepeats;
    if (caller.crashes) {
        m_crashingRequests.insert(caller.request);
        caller.sendAt = m_now + between(m_options.segmentPause / 2, m_options.segmentPause * 3 / 2);
        return;
    }
    ++(answered ? m_result.answered : m_result.cut);
    caller.sendAt = m_now + between(50ms, 300ms);
}

void CrashSimulation::detectEnds()
{
    for (const Detection &detection : takeDue(m_detections, m_now)) {
        CrashRecord record;
        RunnerAttempts &attempts = m_hosts[detection.host]->attempts;
        record.suspects = attempts.takeSuspects(detection.incarnation, m_now);
        std::ranges::move(attempts.takeSurvived(detection.incarnation, m_now), std::back_inserter(record.suspects));
        record.suspects = crashEvidence(std::move(record.suspects));
        if (record.suspects.empty()) {
            continue;
        }
        record.name = "crash." + std::to_string(++m_records);
        record.host = "entry-" + std::to_string(detection.host);
        record.writtenAt = kUnixStart + std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
        record.incarnations.push_back(detection.incarnation);
        apply(detection.host, record);
        for (std::size_t host = 0; host < m_hosts.size() && !m_options.storeAway; ++host) {
            if (host != detection.host) {
                m_deliveries.push_back({m_now + between(5ms, 80ms), host, record});
            }
        }
    }
}

void CrashSimulation::deliverRecords()
{
    for (const Delivery &delivery : takeDue(m_deliveries, m_now)) {
        apply(delivery.host, delivery.record);
    }
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        for (CrashRecord &clearance : m_hosts[host]->history.takeClearances()) {
            clearance.name = "cleared." + std::to_string(++m_records);
            for (std::size_t other = 0; other < m_hosts.size() && !m_options.storeAway; ++other) {
                m_deliveries.push_back({m_now + between(5ms, 80ms), other, clearance});
            }
        }
    }
}

void CrashSimulation::apply(std::size_t host, const CrashRecord &record)
{
    CrashHistory &history = m_hosts[host]->history;
    history.add(record, m_now);
    for (const CrashSuspect &suspect : record.suspects) {
        const CrashVerdict verdict = history.status(suspect.fingerprint, m_now).verdict;
        const bool refuses = verdict == CrashVerdict::HeldBack || verdict == CrashVerdict::Banned;
        if (refuses && !m_crashingRequests.contains(suspect.fingerprint.low)) {
            CrashVerdict &worst = m_worstVerdicts[suspect.fingerprint.low];
            worst = std::max(worst, verdict);
        }
    }
}

} // namespace fulmarlink::testing
