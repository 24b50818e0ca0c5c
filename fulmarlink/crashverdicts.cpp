// The verdicts of CrashHistory: how a request's crashes are weighed against the ends of runners without it and
// against the runners that outlived it. Reads the indexes that crashhistory.cpp keeps.

#include <algorithm>
#include <utility>

#include "fulmarlink/crashchance.h"
#include "fulmarlink/crashhistory.h"
#include "fulmarlink/mutation.h"

namespace fulmarlink
{

std::string_view crashVerdictName(CrashVerdict verdict)
{
    switch (verdict) {
    case CrashVerdict::Clear:
        return "clear";
    case CrashVerdict::Suspect:
        return "suspect";
    case CrashVerdict::HeldBack:
        return "held-back";
    case CrashVerdict::TrialDue:
        return "trial-due";
    case CrashVerdict::Banned:
        return "banned";
    }
    return "clear";
}

/**
 * A process that ends closes its connections in order, but resets those with data that it has not read, as TCP demands. A server may also be set
 * up to reset them all, so resets tell this only in pools whose runners have been seen to close others in order.
 */
const CrashHistory::Evidence &CrashHistory::evidenceOf(const Crash &crash) const
{
    return m_orderlyPools.contains(crash.pool) ? crash.readCopies : crash.allCopies;
}

/**
 * Whether the end of the runner counts against the request: the runner had read it, no host had seen the request answered shortly before, and
 * the request has not been cleared of it.
 */
bool CrashHistory::counts(const Request &request, const TargetIncarnation &incarnation, const Crash &crash) const
{
    const bool completed
        = request.completedAt > std::chrono::milliseconds(0)
          && m_ends.at(incarnation).detectedAt <= request.completedAt + std::chrono::duration_cast<std::chrono::milliseconds>(m_policy.completionWindow);
    return evidenceOf(crash).any && !completed && !request.cleared.contains(incarnation);
}

/**
 * Number of runners that outlived the request: they had begun it at least as long ago as it took others to end, shortly before the latest of its
 * crashes, and if they ended under it as well, that was later than at the same time as the others.
 */
unsigned CrashHistory::survivors(const Request &request) const
{
    std::chrono::milliseconds last{0};
    for (const auto &[incarnation, crash] : request.crashes) {
        last = counts(request, incarnation, crash) ? std::max(last, m_ends.at(incarnation).detectedAt) : last;
    }
    return static_cast<unsigned>(std::ranges::count_if(request.survivors, [&](const auto &survivor) {
        const auto &[incarnation, alive] = survivor;
        const bool outlived = !request.crashes.contains(incarnation) || m_ends.at(incarnation).detectedAt - alive.from > m_policy.detectionTime;
        return outlived && alive.to >= last - m_policy.survivalTime;
    }));
}

/** Number of different times at which runners ended under the request. */
unsigned CrashHistory::crashTimes(const Request &request) const
{
    std::vector<std::chrono::milliseconds> times;
    for (const auto &[incarnation, crash] : request.crashes) {
        if (counts(request, incarnation, crash)) {
            times.push_back(m_ends.at(incarnation).detectedAt);
        }
    }
    std::ranges::sort(times);
    unsigned result = 0;
    std::chrono::milliseconds begin{0};
    for (const std::chrono::milliseconds time : times) {
        if (result > 0 && time - begin <= m_policy.detectionTime) {
            continue;
        }
        begin = time;
        ++result;
    }
    return result;
}

/** The times from shortly before each of the request's crashes to shortly after it, without overlaps and in ascending order. */
std::vector<CrashHistory::Interval> CrashHistory::timesAround(const Request &request) const
{
    std::vector<std::chrono::milliseconds> times;
    for (const auto &[incarnation, crash] : request.crashes) {
        if (counts(request, incarnation, crash)) {
            times.push_back(m_ends.at(incarnation).detectedAt);
        }
    }
    std::ranges::sort(times);
    std::vector<Interval> result;
    for (const std::chrono::milliseconds time : times) {
        const Interval around{time - m_policy.backgroundTime, time + m_policy.detectionTime};
        if (!result.empty() && around.from <= result.back().to) {
            result.back().to = around.to;
            continue;
        }
        result.push_back(around);
    }
    return result;
}

/** Counts the runners that ended around the same times as the request's without it, and the runner-seconds of these times. */
CrashComparison CrashHistory::othersAround(const Request &request) const
{
    CrashComparison result;
    for (const Interval &interval : timesAround(request)) {
        result.runnerSeconds += static_cast<double>(m_runners) * std::chrono::duration<double>(interval.to - interval.from).count();
        for (auto it = m_endOrder.lower_bound({interval.from, {}}); it != m_endOrder.end() && it->first <= interval.to; ++it) {
            const auto crash = request.crashes.find(it->second);
            const bool isOwn = crash != request.crashes.end() && counts(request, crash->first, crash->second);
            result.otherEnds += isOwn ? 0 : 1;
        }
    }
    return result;
}

/** Fills in survivors and chances. */
void CrashHistory::compareWithOthers(const Request &request, CrashStatus &status) const
{
    CrashComparison all = othersAround(request);
    CrashComparison beforeAnswer = all;
    for (const auto &[incarnation, crash] : request.crashes) {
        if (!counts(request, incarnation, crash)) {
            continue;
        }
        const Evidence &evidence = evidenceOf(crash);
        const double exposure = std::chrono::duration<double>(evidence.exposure).count();
        ++all.crashes;
        all.exposure += exposure;
        if (!evidence.answerStarted) {
            ++beforeAnswer.crashes;
            beforeAnswer.exposure += exposure;
        }
    }
    status.chance = chanceOfCrashes(all);
    status.chanceBeforeAnswer = chanceOfCrashes(beforeAnswer);
    status.survivors = survivors(request);
}

/** Time until the next trial of a request that is held back. */
Duration CrashHistory::remainingHold(TimePoint lastEvent, double chance, TimePoint now) const
{
    const TimePoint holdEnd = lastEvent + m_policy.holdTime;
    const TimePoint calmAt = std::max(lastEvent, m_lastEndAt) + m_policy.calmTime;
    const TimePoint trialAt = chance <= m_policy.certainChance ? holdEnd : std::min(holdEnd, calmAt);
    return std::max(trialAt - now, Duration(0));
}

CrashHistory::Counts CrashHistory::countCrashes(const Request &request) const
{
    Counts result;
    result.lastEvent = request.lastTrialAt;
    for (const auto &[incarnation, crash] : request.crashes) {
        if (!counts(request, incarnation, crash)) {
            continue;
        }
        ++result.all;
        const Evidence &evidence = evidenceOf(crash);
        result.beforeAnswer += evidence.answerStarted ? 0 : 1;
        result.unanswered += evidence.unanswered || !evidence.answerStarted ? 1 : 0;
        result.excused = std::max(result.excused, evidence.unlikely ? m_policy.maxExcusedCrashes : 0);
        result.lastEvent = std::max(result.lastEvent, crash.receivedAt);
    }
    result.excused = result.beforeAnswer < m_policy.holdAfterCrashes ? result.excused : 0;
    return result;
}

CrashStatus CrashHistory::status(const RequestFingerprint &fingerprint, TimePoint now) const
{
    CrashStatus result;
    const auto it = m_requests.find(fingerprint);
    if (it == m_requests.end()) {
        return result;
    }
    const Request &request = it->second;
    const Counts counts = countCrashes(request);
    result.crashes = counts.all;
    result.trials = request.trials;
    result.verdict = counts.all > 0 ? CrashVerdict::Suspect : CrashVerdict::Clear;
    if (counts.all < m_policy.holdAfterCrashes) {
        return result;
    }
    compareWithOthers(request, result);
    const bool outlived = result.survivors >= std::max(counts.all, m_policy.survivorsPerTime * crashTimes(request));
    if (!outlived) {
        judge(counts, now, result);
    }
    return result;
}

/** Sets the verdict of a request with several crashes whose chances are known, unless it stays a suspect. */
void CrashHistory::judge(const Counts &counts, TimePoint now, CrashStatus &status) const
{
    const bool enough = counts.all >= m_policy.maxCrashes + counts.excused;
    const bool atLimit = counts.all >= m_policy.crashLimit || counts.unanswered >= m_policy.maxCrashes + counts.excused;
    const bool certain = enough && status.chance <= m_policy.certainChance;
    if ((atLimit || certain) && !mutated(Mutation::NeverBan)) {
        status.verdict = CrashVerdict::Banned;
        status.retryAfter = m_policy.banRetryAfter;
        return;
    }
    const bool heldForAll = enough && status.chance <= m_policy.maxChance;
    const bool heldBeforeAnswer = counts.beforeAnswer >= m_policy.holdAfterCrashes && status.chanceBeforeAnswer <= m_policy.maxChance;
    if (heldForAll || heldBeforeAnswer) {
        status.retryAfter = remainingHold(counts.lastEvent, std::min(status.chance, status.chanceBeforeAnswer), now);
        status.verdict = status.retryAfter > Duration(0) ? CrashVerdict::HeldBack : CrashVerdict::TrialDue;
    }
}

std::vector<HeldRequest> CrashHistory::heldRequests(TimePoint now) const
{
    std::vector<HeldRequest> result;
    for (const auto &[fingerprint, request] : m_requests) {
        const CrashStatus requestStatus = status(fingerprint, now);
        if (requestStatus.verdict == CrashVerdict::Clear || requestStatus.verdict == CrashVerdict::Suspect) {
            continue;
        }
        HeldRequest heldRequest{fingerprint, request.customer, request.route, requestStatus, {}};
        for (const auto &[incarnation, crash] : request.crashes) {
            if (counts(request, incarnation, crash)) {
                heldRequest.incarnations.push_back(incarnation);
            }
        }
        result.push_back(std::move(heldRequest));
    }
    return result;
}

} // namespace fulmarlink
