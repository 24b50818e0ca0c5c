// The verdicts of CrashHistory: how a request's crashes are weighed against the ends of runners without it and
// against the runners that outlived it. Reads the indexes that crashhistory.cpp keeps.
//
// Prompt segments are judged by the same rules, with three differences.
//
// A segment shares its crashes with the others in the prompts of the requests at fault. Any of them may be the cause, but the fewest causes
// that explain all crashes are the likeliest. So a crash counts against a segment only if no other segment, or request,
// that was lost there explains it better (explainsBetter()). Which one it is stays open where several were in the same crashes;
// a request that has only some of them is let through, and tells.
//
// Without the crashes that another one explains, a segment that many sound requests share has none left, or it has been answered since.
// If it has been answered before, or other runners ended at the same time, it is refused only until runners have not ended for a while, and
// then tried: that all of its requests were lost may have been the runners' fault. Many requests have a segment, so that more
// of them are lost by chance than of one request; below crashLimit crashes only a chance of certainChance counts.
//
// After crashes under the requests of one customer a segment is held back for that customer; for all others only after one more, since
// callers name their segments themselves.

#include <algorithm>
#include <iterator>
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

namespace
{

bool isRefusal(CrashVerdict verdict)
{
    return verdict == CrashVerdict::HeldBack || verdict == CrashVerdict::TrialDue || verdict == CrashVerdict::Banned;
}

/** The keys that were lost in all of @p crashes, @p key first. */
std::vector<RequestFingerprint>
lostInAll(const std::set<TargetIncarnation> &crashes, const std::map<TargetIncarnation, std::set<RequestFingerprint>> &lostAt, const RequestFingerprint &key)
{
    std::vector<RequestFingerprint> result{key};
    if (crashes.empty()) {
        return result;
    }
    std::ranges::copy_if(lostAt.at(*crashes.begin()), std::back_inserter(result), [&](const RequestFingerprint &other) {
        return std::ranges::all_of(crashes, [&](const TargetIncarnation &incarnation) {
            return lostAt.at(incarnation).contains(other);
        });
    });
    return result;
}

/** A request whose trial is due may run on one host, so it is refused more gravely if it is held back for another reason. */
int gravity(CrashVerdict verdict)
{
    switch (verdict) {
    case CrashVerdict::Clear:
        return 0;
    case CrashVerdict::Suspect:
        return 1;
    case CrashVerdict::TrialDue:
        return 2;
    case CrashVerdict::HeldBack:
        return 3;
    case CrashVerdict::Banned:
        return 4;
    }
    return 0;
}

} // namespace

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
            const bool hasOtherCause = !request.segment.empty() && isCrashOfSuspectedSegment(it->second);
            result.otherEnds += isOwn || hasOtherCause ? 0 : 1;
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
    const auto it = m_requests.find(fingerprint);
    if (it == m_requests.end()) {
        return {};
    }
    if (!it->second.segment.empty()) {
        return segmentStatus(fingerprint, {{}, lostInAll(crashesBeforeAnswer(fingerprint), m_lostAt, fingerprint)}, now);
    }
    CrashStatus result = requestStatus(it->second, now);
    result.key = fingerprint;
    result.trialKey = fingerprint;
    return result;
}

CrashStatus CrashHistory::gravestStatus(const CrashKeys &request, TimePoint now) const
{
    CrashStatus gravest = status(request.request, now);
    for (const RequestFingerprint &segment : request.segments) {
        if (!m_requests.contains(segment)) {
            continue;
        }
        CrashStatus status = segmentStatus(segment, request, now);
        if (isRefusal(status.verdict) && gravity(status.verdict) > gravity(gravest.verdict)) {
            gravest = std::move(status);
        }
    }
    return gravest;
}

/** Whether each crash of the segment is one of the same customer's requests: then that customer's own verdict is enough. */
bool CrashHistory::ofOneCustomer(const Request &segment)
{
    if (segment.crashes.empty()) {
        return true;
    }
    return std::ranges::any_of(segment.crashes.begin()->second.customers, [&segment](std::uint64_t customer) {
        return std::ranges::all_of(segment.crashes, [customer](const auto &crash) {
            return crash.second.customers.contains(customer);
        });
    });
}

CrashStatus CrashHistory::segmentStatus(const RequestFingerprint &segment, const CrashKeys &request, TimePoint now) const
{
    const Request &crashed = m_requests.at(segment);
    CrashStatus result;
    if (unclearedCrashes(crashed) >= m_policy.holdAfterCrashes) {
        const Request unexplained = unexplainedCrashes(segment, crashed, request);
        const bool ofOthers = segment.customer == kAllCustomers && ofOneCustomer(unexplained);
        result = ofOthers && unexplained.crashes.size() < m_policy.maxCrashes ? CrashStatus() : requestStatus(unexplained, now);
        if (result.crashes < m_policy.crashLimit && result.chance > m_policy.certainChance) {
            result.verdict = CrashVerdict::Suspect;
        }
        if (isRefusal(result.verdict)) {
            holdUntilCalm(segment, unexplained, now, result);
        }
    }
    const Request *ofAll = findSegmentOfAll(segment);
    result.trials = ofAll == nullptr ? 0 : ofAll->trials;
    result.key = segment;
    result.segment = crashed.segment;
    result.trialKey = {kAllCustomers, segment.high, segment.low};
    return result;
}

/** Null if there is none. */
const CrashHistory::Request *CrashHistory::findSegmentOfAll(const RequestFingerprint &segment) const
{
    const auto it = m_requests.find({kAllCustomers, segment.high, segment.low});
    return it == m_requests.end() ? nullptr : &it->second;
}

/** The segment with those of its crashes that no other cause explains better which @p request lacks. */
CrashHistory::Request CrashHistory::unexplainedCrashes(const RequestFingerprint &segment, const Request &crashed, const CrashKeys &request) const
{
    Request result = crashed;
    if (const Request *ofAll = findSegmentOfAll(segment)) {
        result.lastTrialAt = ofAll->lastTrialAt;
    }
    std::erase_if(result.crashes, [&](const auto &crash) {
        return !counts(crashed, crash.first, crash.second) || isExplained(crash.first, segment, request);
    });
    return result;
}

bool CrashHistory::isExplained(const TargetIncarnation &incarnation, const RequestFingerprint &segment, const CrashKeys &request) const
{
    const auto lost = m_lostAt.find(incarnation);
    return lost != m_lostAt.end() && std::ranges::any_of(lost->second, [&](const RequestFingerprint &other) {
               return !request.contains(other) && explainsBetter(other, segment);
           });
}

/**
 * Whether @p other is the likelier cause of a crash of both: of the two it alone has never been answered, or it has more crashes. With the
 * same crashes it is if no more requests with it than with @p segment were lost in them.
 */
bool CrashHistory::explainsBetter(const RequestFingerprint &other, const RequestFingerprint &segment) const
{
    const bool sameSegment = other.high == segment.high && other.low == segment.low;
    const bool isRequest = m_requests.at(other).segment.empty();
    const bool comparable = isRequest || other.customer == segment.customer || other.customer == kAllCustomers;
    if (sameSegment || !comparable) {
        return false;
    }
    const std::set<TargetIncarnation> otherCrashes = crashesBeforeAnswer(other);
    if (otherCrashes.size() < m_policy.holdAfterCrashes) {
        return false;
    }
    if (answeredBefore(other) != answeredBefore(segment)) {
        return answeredBefore(segment);
    }
    const std::set<TargetIncarnation> crashes = crashesBeforeAnswer(segment);
    if (otherCrashes.size() != crashes.size()) {
        return otherCrashes.size() > crashes.size();
    }
    return otherCrashes == crashes && lostRequests(other) <= lostRequests(segment);
}

/** Whether a request with the segment was ever answered, as far as this host remembers or was told. */
bool CrashHistory::answeredBefore(const RequestFingerprint &key) const
{
    return lastAnswer(key) || m_requests.at(key).completedAt > std::chrono::milliseconds(0);
}

/** Whether requests were lost there with a segment that has never been answered and has more crashes: then the runner did not end by itself. */
bool CrashHistory::isCrashOfSuspectedSegment(const TargetIncarnation &incarnation) const
{
    const auto lost = m_lostAt.find(incarnation);
    return lost != m_lostAt.end() && std::ranges::any_of(lost->second, [this](const RequestFingerprint &key) {
               const bool isSegment = !m_requests.at(key).segment.empty();
               return isSegment && !answeredBefore(key) && crashesBeforeAnswer(key).size() >= m_policy.holdAfterCrashes;
           });
}

std::set<TargetIncarnation> CrashHistory::crashesBeforeAnswer(const RequestFingerprint &key) const
{
    std::set<TargetIncarnation> result;
    const Request &request = m_requests.at(key);
    for (const auto &[incarnation, crash] : request.crashes) {
        if (counts(request, incarnation, crash) && !evidenceOf(crash).answerStarted) {
            result.insert(incarnation);
        }
    }
    return result;
}

/** Number of different requests that were lost in the segment's crashes; 1 for a request. */
std::size_t CrashHistory::lostRequests(const RequestFingerprint &key) const
{
    const Request &request = m_requests.at(key);
    if (request.segment.empty()) {
        return 1;
    }
    std::set<RequestFingerprint> lost;
    for (const auto &[incarnation, crash] : request.crashes) {
        if (counts(request, incarnation, crash)) {
            lost.insert(crash.requests.begin(), crash.requests.end());
        }
    }
    return lost.size();
}

/**
 * Shortens the refusal until runners have not ended for calmTime, if the crashes may be the runners' fault: the segment has been answered before, or
 * other runners ended at the same time. Not if a trial has failed since.
 */
void CrashHistory::holdUntilCalm(const RequestFingerprint &segment, const Request &crashed, TimePoint now, CrashStatus &status) const
{
    const auto answeredAt = lastAnswer(segment);
    TimePoint lastCrash{};
    for (const auto &[incarnation, crash] : crashed.crashes) {
        lastCrash = std::max(lastCrash, crash.receivedAt);
    }
    const bool trialFailed = crashed.lastTrialAt > answeredAt.value_or(TimePoint{}) && lastCrash > crashed.lastTrialAt;
    const bool runnersMayBeAtFault = answeredBefore(segment) || status.chance > 0;
    if (!runnersMayBeAtFault || trialFailed) {
        return;
    }
    const TimePoint last = std::max(lastCrash, crashed.lastTrialAt);
    const TimePoint trialAt = std::min(last + m_policy.holdTime, std::max(last, m_lastEndAt) + m_policy.calmTime);
    status.retryAfter = std::max(trialAt - now, Duration(0));
    status.verdict = status.retryAfter > Duration(0) ? CrashVerdict::HeldBack : CrashVerdict::TrialDue;
}

CrashStatus CrashHistory::requestStatus(const Request &request, TimePoint now) const
{
    CrashStatus result;
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
