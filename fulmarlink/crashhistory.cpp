// m_records is a set of records that never change; they are removed when they expire or are
// evicted. m_requests is an index over them, together with what completions on this host
// have cleared, and m_ends is an index by runner; both can be rebuilt at any time.
//
// Invariants: an incarnation counts once for a request; a cleared incarnation never counts
// again; records that hold a request back outlive those that don't.

#include "fulmarlink/crashhistory.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr std::size_t kEvictionDivisor = 16; ///< 1/16 of maxRecords is evicted at a time
constexpr double kOrphanFactor = 1.25; ///< other hosts' records are kept this much longer, so that normally their writers remove them

} // namespace

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

CrashHistory::CrashHistory(CrashPolicy policy)
    : m_policy(policy)
{
}

unsigned CrashHistory::unclearedCrashes(const Request &request)
{
    return static_cast<unsigned>(std::ranges::count_if(request.crashes, [&](const auto &crash) {
        return !request.cleared.contains(crash.first);
    }));
}

bool CrashHistory::add(CrashRecord record, TimePoint now)
{
    if (m_records.contains(record.name)) {
        return false;
    }
    evictRecords();
    const std::string name = record.name;
    const auto &stored = m_records.emplace(name, Stored{std::move(record), now}).first->second;
    index(stored.record, now);
    if (stored.record.kind != CrashRecordKind::Crash) {
        return true;
    }
    for (const CrashSuspect &suspect : stored.record.suspects) {
        Request &request = m_requests[suspect.fingerprint];
        if (completedRecently(suspect.fingerprint, now)) {
            clear(request);
        }
        queueClearance(suspect.fingerprint, request);
    }
    return true;
}

void CrashHistory::index(const CrashRecord &record, TimePoint receivedAt)
{
    for (const CrashSuspect &suspect : record.suspects) {
        Request &request = m_requests[suspect.fingerprint];
        request.customer = suspect.customer;
        request.route = suspect.route;
        if (record.kind == CrashRecordKind::Trial) {
            ++request.trials;
            request.lastTrialAt = std::max(request.lastTrialAt, receivedAt);
            continue;
        }
        for (const TargetIncarnation &incarnation : record.incarnations) {
            if (record.kind == CrashRecordKind::Cleared) {
                request.cleared.insert(incarnation);
                continue;
            }
            const TargetIncarnation counted = mutated(Mutation::CountReports) ? TargetIncarnation{record.name, 0} : incarnation;
            const auto [it, added] = request.crashes.try_emplace(counted, Crash{receivedAt});
            it->second.answerStarted = it->second.answerStarted && suspect.answerStarted;
            it->second.unlikely = it->second.unlikely && suspect.unlikely;
            End &end = m_ends[counted];
            end.detectedAt = std::min(end.detectedAt, record.writtenAt);
            end.suspects.insert(suspect.fingerprint);
        }
    }
}

CrashStatus CrashHistory::status(const RequestFingerprint &fingerprint, TimePoint now) const
{
    CrashStatus result;
    const auto it = m_requests.find(fingerprint);
    if (it == m_requests.end()) {
        return result;
    }
    const Request &request = it->second;
    unsigned crashesBeforeAnswer = 0;
    TimePoint lastEvent = request.lastTrialAt;
    for (const auto &[incarnation, crash] : request.crashes) {
        if (request.cleared.contains(incarnation)) {
            continue;
        }
        ++result.crashes;
        crashesBeforeAnswer += crash.answerStarted ? 0 : 1;
        lastEvent = std::max(lastEvent, crash.receivedAt);
    }
    result.trials = request.trials;
    if (result.crashes >= m_policy.maxCrashes) {
        result.explained = explainedCrashes(fingerprint, request);
    }
    if (result.crashes - result.explained >= m_policy.maxCrashes && !mutated(Mutation::NeverBan)) {
        result.verdict = CrashVerdict::Banned;
        result.retryAfter = m_policy.banRetryAfter;
        return result;
    }
    if (crashesBeforeAnswer >= m_policy.holdAfterCrashes) {
        const Duration remaining = lastEvent + m_policy.holdTime - now;
        result.verdict = remaining > Duration(0) ? CrashVerdict::HeldBack : CrashVerdict::TrialDue;
        result.retryAfter = std::max(remaining, Duration(0));
        return result;
    }
    result.verdict = result.crashes > 0 ? CrashVerdict::Suspect : CrashVerdict::Clear;
    return result;
}

unsigned CrashHistory::explainedCrashes(const RequestFingerprint &fingerprint, const Request &request) const
{
    const auto explained = std::ranges::count_if(request.crashes, [&](const auto &crash) {
        const bool counts = !crash.second.answerStarted || request.cleared.contains(crash.first);
        return !counts && (crash.second.unlikely || isExplained(fingerprint, crash.first));
    });
    return std::min(static_cast<unsigned>(explained), m_policy.maxExplainedCrashes);
}

/**
 * Whether other runners ended at the same time as @p incarnation without the request. One such end suffices, unless it may have a cause of its
 * own: a suspect that has crashed another runner too.
 */
bool CrashHistory::isExplained(const RequestFingerprint &fingerprint, const TargetIncarnation &incarnation) const
{
    const End &end = m_ends.at(incarnation);
    unsigned simultaneousEnds = 0;
    for (const auto &[other, otherEnd] : m_ends) {
        const bool simultaneous = std::chrono::abs(otherEnd.detectedAt - end.detectedAt) <= m_policy.waveWindow;
        if (!simultaneous || otherEnd.suspects.contains(fingerprint)) {
            continue;
        }
        ++simultaneousEnds;
        if (simultaneousEnds >= m_policy.waveSize || !hasRepeatedSuspect(otherEnd)) {
            return true;
        }
    }
    return false;
}

/** Whether a suspect of the end has another crash besides, so that it may have caused both. */
bool CrashHistory::hasRepeatedSuspect(const End &end) const
{
    return std::ranges::any_of(end.suspects, [this](const RequestFingerprint &suspect) {
        return unclearedCrashes(m_requests.at(suspect)) > 1;
    });
}

void CrashHistory::requestCompleted(const RequestFingerprint &fingerprint, TimePoint now)
{
    m_completions[fingerprint] = now;
    m_completionOrder.emplace_back(now, fingerprint);
    while (!m_completionOrder.empty()
           && (m_completionOrder.size() > m_policy.maxCompletions || now - m_completionOrder.front().first > m_policy.completionWindow)) {
        const auto it = m_completions.find(m_completionOrder.front().second);
        if (it != m_completions.end() && it->second == m_completionOrder.front().first) {
            m_completions.erase(it);
        }
        m_completionOrder.pop_front();
    }
    const auto it = m_requests.find(fingerprint);
    if (it != m_requests.end() && unclearedCrashes(it->second) > 0) {
        clear(it->second);
        queueClearance(fingerprint, it->second);
    }
}

bool CrashHistory::completedRecently(const RequestFingerprint &fingerprint, TimePoint now) const
{
    const auto it = m_completions.find(fingerprint);
    return it != m_completions.end() && now - it->second <= m_policy.completionWindow;
}

/** Clears the request of all its known crashes. */
void CrashHistory::clear(Request &request)
{
    if (mutated(Mutation::ClearNobody)) {
        return;
    }
    for (const auto &[incarnation, crash] : request.crashes) {
        request.clearanceUnpublished = request.cleared.insert(incarnation).second || request.clearanceUnpublished;
    }
}

/**
 * Queues a Cleared record only if other hosts may hold the request back, which takes
 * holdAfterCrashes incarnations: most suspects of a crash did not cause it and never get that far.
 */
void CrashHistory::queueClearance(const RequestFingerprint &fingerprint, Request &request)
{
    if (!request.clearanceUnpublished || request.crashes.size() < m_policy.holdAfterCrashes) {
        return;
    }
    request.clearanceUnpublished = false;
    CrashRecord record;
    record.kind = CrashRecordKind::Cleared;
    record.incarnations.assign(request.cleared.begin(), request.cleared.end());
    record.suspects.push_back({fingerprint, request.customer, request.route, false});
    m_clearances.push_back(std::move(record));
}

std::vector<CrashRecord> CrashHistory::takeClearances()
{
    return std::exchange(m_clearances, {});
}

bool CrashHistory::holdsBack(const CrashRecord &record) const
{
    return std::ranges::any_of(record.suspects, [this](const CrashSuspect &suspect) {
        const auto it = m_requests.find(suspect.fingerprint);
        return it != m_requests.end() && it->second.crashes.size() >= m_policy.holdAfterCrashes;
    });
}

/** When the history is full, evicts several records at once, because the index must be rebuilt afterwards. */
void CrashHistory::evictRecords()
{
    if (m_records.size() < m_policy.maxRecords) {
        return;
    }
    std::vector<std::tuple<bool, std::chrono::milliseconds, std::string>> evictionOrder;
    for (const auto &[name, stored] : m_records) {
        evictionOrder.emplace_back(holdsBack(stored.record), stored.record.writtenAt, name);
    }
    std::ranges::sort(evictionOrder);
    evictionOrder.resize(std::max<std::size_t>(1, m_policy.maxRecords / kEvictionDivisor));
    for (const auto &[held, time, name] : evictionOrder) {
        m_records.erase(name);
        ++m_dropped;
    }
    rebuildIndex();
}

std::vector<std::string> CrashHistory::expire(std::chrono::milliseconds unixNow, std::string_view host)
{
    std::vector<std::string> expired;
    bool changed = false;
    for (auto it = m_records.begin(); it != m_records.end();) {
        const CrashRecord &record = it->second.record;
        const auto retention = holdsBack(record) ? m_policy.heldRetention : m_policy.retention;
        const auto age = unixNow - record.writtenAt;
        const auto limit = record.host == host ? retention : std::chrono::duration_cast<std::chrono::milliseconds>(retention * kOrphanFactor);
        if (age <= limit) {
            ++it;
            continue;
        }
        expired.push_back(it->first);
        it = m_records.erase(it);
        changed = true;
    }
    if (changed) {
        rebuildIndex();
    }
    return expired;
}

void CrashHistory::rebuildIndex()
{
    std::map<RequestFingerprint, Request> before = std::exchange(m_requests, {});
    m_ends.clear();
    for (const auto &[name, stored] : m_records) {
        index(stored.record, stored.receivedAt);
    }
    for (auto &[fingerprint, request] : m_requests) {
        Request &previous = before[fingerprint];
        request.cleared.merge(previous.cleared);
        request.clearanceUnpublished = previous.clearanceUnpublished;
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
            if (!request.cleared.contains(incarnation)) {
                heldRequest.incarnations.push_back(incarnation);
            }
        }
        result.push_back(std::move(heldRequest));
    }
    return result;
}

std::size_t CrashHistory::size() const
{
    return m_records.size();
}

std::uint64_t CrashHistory::droppedRecords() const
{
    return m_dropped;
}

} // namespace fulmarlink
