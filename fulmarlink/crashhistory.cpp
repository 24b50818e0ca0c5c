// m_records is a set of records that never change; they are removed when they expire or are
// evicted. m_requests is an index over them, together with what completions on this host
// have cleared, and m_ends and m_endOrder are indexes by runner and by time; all can be rebuilt
// at any time.
//
// Invariants: an incarnation counts once for a request; a cleared incarnation never counts
// again; records that hold a request back outlive those that don't; m_endOrder holds the
// same ends as m_ends.

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

constexpr std::size_t kMaxClearedTogether = 64; ///< segments and requests of one Cleared record

/** The requests of the record and the segments of their prompts, each once. */
std::set<RequestFingerprint> keysOf(const CrashRecord &record)
{
    std::set<RequestFingerprint> result;
    for (const CrashSuspect &suspect : record.suspects) {
        const CrashKeys keys = crashKeysOf(suspect.fingerprint, suspect.segments);
        result.insert(keys.request);
        result.insert(keys.segments.begin(), keys.segments.end());
    }
    return result;
}

} // namespace

CrashHistory::CrashHistory(CrashPolicy policy)
    : m_policy(policy)
    , m_segmentAnswers(policy.maxAnsweredSegments)
{
}

void CrashHistory::setRunnerCount(std::size_t count)
{
    m_runners = count == 0 ? m_runners : count;
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
    for (const RequestFingerprint &key : keysOf(stored.record)) {
        Request &request = m_requests[key];
        if (completedRecently(key, now)) {
            clear(request);
        }
        queueClearance(key, request, now);
    }
    return true;
}

void CrashHistory::Evidence::add(const CrashSuspect &suspect)
{
    any = true;
    answerStarted = answerStarted && suspect.answerStarted;
    unanswered = unanswered && suspect.unanswered;
    unlikely = unlikely && suspect.unlikely;
    exposure = std::max(exposure, suspect.exposure);
}

void CrashHistory::Crash::add(const CrashSuspect &suspect)
{
    allCopies.add(suspect);
    if (!suspect.unread) {
        readCopies.add(suspect);
    }
}

void CrashHistory::index(const CrashRecord &record, TimePoint receivedAt)
{
    for (const CrashSuspect &suspect : record.suspects) {
        if (suspect.closedInOrder && !record.pool.empty()) {
            m_orderlyPools.insert(record.pool);
        }
        Request &request = m_requests[suspect.fingerprint];
        request.customer = suspect.customer;
        request.route = suspect.route;
        if (record.kind == CrashRecordKind::Trial) {
            ++request.trials;
            request.lastTrialAt = std::max(request.lastTrialAt, receivedAt);
            continue;
        }
        if (record.kind == CrashRecordKind::Cleared && record.completionAge) {
            request.completedAt = std::max(request.completedAt, record.writtenAt - *record.completionAge);
        }
        for (const TargetIncarnation &incarnation : record.incarnations) {
            if (record.kind == CrashRecordKind::Cleared) {
                request.cleared.insert(incarnation);
                request.unpublished.erase(incarnation);
                continue;
            }
            const TargetIncarnation counted = mutated(Mutation::CountReports) ? TargetIncarnation{record.name, 0} : incarnation;
            indexEnd(counted, record.writtenAt, true);
            m_lastEndAt = std::max(m_lastEndAt, receivedAt);
            request.crashes.try_emplace(counted, Crash{receivedAt, record.pool}).first->second.add(suspect);
            if (!suspect.answerStarted) {
                m_lostAt[counted].insert(suspect.fingerprint);
                indexSegments(record, suspect, counted, receivedAt);
            }
        }
        for (const TargetIncarnation &survivor : suspect.survivors) {
            request.survivors[survivor].extend(record.writtenAt);
        }
    }
}

void CrashHistory::indexSegments(const CrashRecord &record, const CrashSuspect &suspect, const TargetIncarnation &incarnation, TimePoint receivedAt)
{
    for (const std::string &id : suspect.segments) {
        for (const std::uint64_t customer : {suspect.fingerprint.customer, kAllCustomers}) {
            const RequestFingerprint key = segmentFingerprint(customer, id);
            Request &segment = m_requests[key];
            segment.customer = customer == kAllCustomers ? std::string() : suspect.customer;
            segment.route = suspect.route;
            segment.segment = id;
            Crash &crash = segment.crashes.try_emplace(incarnation, Crash{receivedAt, record.pool}).first->second;
            crash.add(suspect);
            crash.customers.insert(suspect.fingerprint.customer);
            crash.requests.insert(suspect.fingerprint);
            m_lostAt[incarnation].insert(key);
        }
    }
}

void CrashHistory::indexEnd(const TargetIncarnation &incarnation, std::chrono::milliseconds detectedAt, bool recorded)
{
    const auto [it, added] = m_ends.try_emplace(incarnation, End{detectedAt, recorded});
    End &end = it->second;
    end.recorded = end.recorded || recorded;
    if (!added && end.detectedAt <= detectedAt) {
        return;
    }
    m_endOrder.erase({end.detectedAt, incarnation});
    end.detectedAt = detectedAt;
    m_endOrder.emplace(detectedAt, incarnation);
}

bool CrashHistory::observeEnd(const TargetIncarnation &incarnation, std::chrono::milliseconds detectedAt)
{
    if (!m_observedEnds.try_emplace(incarnation, detectedAt).second) {
        return false;
    }
    m_observedOrder.push_back(incarnation);
    indexEnd(incarnation, detectedAt, false);
    if (m_observedOrder.size() > m_policy.maxObservedEnds) {
        forgetOldestObservedEnd();
    }
    return true;
}

void CrashHistory::forgetOldestObservedEnd()
{
    const TargetIncarnation oldest = m_observedOrder.front();
    m_observedOrder.pop_front();
    m_observedEnds.erase(oldest);
    const auto it = m_ends.find(oldest);
    if (it != m_ends.end() && !it->second.recorded) {
        m_endOrder.erase({it->second.detectedAt, oldest});
        m_ends.erase(it);
    }
}

void CrashHistory::observeSurvivors(const RequestFingerprint &fingerprint, std::span<const TargetIncarnation> survivors, std::chrono::milliseconds unixNow)
{
    const auto it = m_requests.find(fingerprint);
    if (it == m_requests.end()) {
        return;
    }
    for (const TargetIncarnation &survivor : survivors) {
        it->second.survivors[survivor].extend(unixNow);
    }
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
        queueClearance(fingerprint, it->second, now);
    }
}

std::optional<TimePoint> CrashHistory::lastAnswer(const RequestFingerprint &key) const
{
    const auto it = m_completions.find(key);
    return it == m_completions.end() ? m_segmentAnswers.last(key) : std::optional(it->second);
}

bool CrashHistory::completedRecently(const RequestFingerprint &fingerprint, TimePoint now) const
{
    const auto last = lastAnswer(fingerprint);
    return last && now - *last <= m_policy.completionWindow;
}

void CrashHistory::segmentsAnswered(std::span<const RequestFingerprint> segments, TimePoint now)
{
    for (const RequestFingerprint &segment : segments) {
        m_segmentAnswers.record(segment, now);
        const auto it = m_requests.find(segment);
        if (it != m_requests.end() && unclearedCrashes(it->second) > 0) {
            clear(it->second);
            queueClearance(segment, it->second, now);
        }
    }
}

std::optional<CrashRecord> CrashHistory::takeCompleted(std::vector<CrashSuspect> &suspects, TimePoint now) const
{
    CrashRecord record;
    record.kind = CrashRecordKind::Cleared;
    record.completionAge = std::chrono::milliseconds(0);
    for (const CrashSuspect &suspect : suspects) {
        const bool taken = std::ranges::find(record.suspects, suspect.fingerprint, &CrashSuspect::fingerprint) != record.suspects.end();
        if (taken || !completedRecently(suspect.fingerprint, now)) {
            continue;
        }
        const Duration age = now - m_completions.at(suspect.fingerprint);
        record.completionAge = std::max(*record.completionAge, std::chrono::duration_cast<std::chrono::milliseconds>(age));
        record.suspects.push_back({suspect.fingerprint, suspect.customer, suspect.route, false});
    }
    std::erase_if(suspects, [&](const CrashSuspect &suspect) {
        return completedRecently(suspect.fingerprint, now);
    });
    return record.suspects.empty() ? std::nullopt : std::optional(std::move(record));
}

/** Clears the request of all its known crashes. */
void CrashHistory::clear(Request &request)
{
    if (mutated(Mutation::ClearNobody)) {
        return;
    }
    for (const auto &[incarnation, crash] : request.crashes) {
        if (request.cleared.insert(incarnation).second) {
            request.unpublished.insert(incarnation);
        }
    }
}

/**
 * Queues a Cleared record only if other hosts may hold the request back, which takes
 * holdAfterCrashes incarnations: most suspects of a crash did not cause it and never get that far.
 */
void CrashHistory::queueClearance(const RequestFingerprint &fingerprint, Request &request, TimePoint now)
{
    if (request.unpublished.empty() || request.crashes.size() < m_policy.holdAfterCrashes) {
        return;
    }
    CrashRecord record;
    record.kind = CrashRecordKind::Cleared;
    if (const auto answer = lastAnswer(fingerprint)) {
        record.completionAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - *answer);
    }
    record.incarnations.assign(request.unpublished.begin(), request.unpublished.end());
    record.suspects.push_back({fingerprint, request.customer, request.route, false});
    request.unpublished.clear();
    const bool sameAsLast = !m_clearances.empty() && m_clearances.back().incarnations == record.incarnations && m_clearances.back().completionAge.has_value()
                            && record.completionAge.has_value() && m_clearances.back().suspects.size() < kMaxClearedTogether;
    if (!sameAsLast) {
        m_clearances.push_back(std::move(record));
        return;
    }
    CrashRecord &last = m_clearances.back();
    last.completionAge = std::max(last.completionAge, record.completionAge);
    last.suspects.push_back(std::move(record.suspects.front()));
}

std::vector<CrashRecord> CrashHistory::takeClearances()
{
    return std::exchange(m_clearances, {});
}

bool CrashHistory::holdsBack(const RequestFingerprint &key) const
{
    const CrashVerdict verdict = status(key, TimePoint{}).verdict; // of those that refuse, the time decides only which one
    return verdict == CrashVerdict::HeldBack || verdict == CrashVerdict::TrialDue || verdict == CrashVerdict::Banned;
}

bool CrashHistory::holdsBack(const CrashRecord &record) const
{
    return std::ranges::any_of(keysOf(record), [this](const RequestFingerprint &key) {
        return holdsBack(key);
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
    m_endOrder.clear();
    m_orderlyPools.clear();
    m_lostAt.clear();
    for (const auto &[incarnation, detectedAt] : m_observedEnds) {
        indexEnd(incarnation, detectedAt, false);
    }
    for (const auto &[name, stored] : m_records) {
        index(stored.record, stored.receivedAt);
    }
    for (auto &[fingerprint, request] : m_requests) {
        Request &previous = before[fingerprint];
        request.cleared.merge(previous.cleared);
        request.unpublished = std::move(previous.unpublished);
    }
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
