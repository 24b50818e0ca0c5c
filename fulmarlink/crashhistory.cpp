// Records are a set that only grows until they are too old; m_requests is derived from
// them and from what this host saw end well, and can be made anew at any time.
//
// Invariants: a life counts once for a request; a cleared life never counts again;
// records that hold a request back outlive those that don't.

#include "fulmarlink/crashhistory.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr std::size_t kRoomShare = 16; ///< of all records, dropped at a time
constexpr double kOrphanFactor = 1.25; ///< another host's records are left to it for so much longer

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

unsigned CrashHistory::openCrashes(const Request &request)
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
    makeRoom();
    const std::string name = record.name;
    const auto &stored = m_records.emplace(name, Stored{std::move(record), now}).first->second;
    index(stored.record, now);
    if (stored.record.kind != CrashRecordKind::Crash) {
        return true;
    }
    for (const CrashSuspect &suspect : stored.record.suspects) {
        Request &request = m_requests[suspect.fingerprint];
        if (endedWellLately(suspect.fingerprint, now)) {
            clear(request);
        }
        tellCleared(suspect.fingerprint, request);
    }
    return true;
}

void CrashHistory::index(const CrashRecord &record, TimePoint seen)
{
    for (const CrashSuspect &suspect : record.suspects) {
        Request &request = m_requests[suspect.fingerprint];
        request.customer = suspect.customer;
        request.route = suspect.route;
        if (record.kind == CrashRecordKind::Trial) {
            ++request.trials;
            request.lastTrial = std::max(request.lastTrial, seen);
            continue;
        }
        for (const TargetLife &life : record.lives) {
            if (record.kind == CrashRecordKind::Cleared) {
                request.cleared.insert(life);
                continue;
            }
            const TargetLife counted = mutated(Mutation::CountReports) ? TargetLife{record.name, 0} : life;
            const auto [it, added] = request.crashes.try_emplace(counted, Crash{seen, suspect.answering});
            it->second.answering = it->second.answering && suspect.answering;
        }
    }
}

CrashStanding CrashHistory::standing(const RequestFingerprint &fingerprint, TimePoint now) const
{
    CrashStanding result;
    const auto it = m_requests.find(fingerprint);
    if (it == m_requests.end()) {
        return result;
    }
    const Request &request = it->second;
    unsigned beforeAnswer = 0;
    TimePoint last = request.lastTrial;
    for (const auto &[life, crash] : request.crashes) {
        if (request.cleared.contains(life)) {
            continue;
        }
        ++result.crashes;
        beforeAnswer += crash.answering ? 0 : 1;
        last = std::max(last, crash.seen);
    }
    result.trials = request.trials;
    if (result.crashes >= m_policy.mostCrashes && !mutated(Mutation::NeverBan)) {
        result.verdict = CrashVerdict::Banned;
        result.retryAfter = m_policy.bannedRetry;
        return result;
    }
    if (beforeAnswer >= m_policy.heldAfter) {
        const Duration left = last + m_policy.holdFor - now;
        result.verdict = left > Duration(0) ? CrashVerdict::HeldBack : CrashVerdict::TrialDue;
        result.retryAfter = std::max(left, Duration(0));
        return result;
    }
    result.verdict = result.crashes > 0 ? CrashVerdict::Suspect : CrashVerdict::Clear;
    return result;
}

void CrashHistory::endedWell(const RequestFingerprint &fingerprint, TimePoint now)
{
    m_well[fingerprint] = now;
    m_wellOrder.emplace_back(now, fingerprint);
    while (!m_wellOrder.empty() && (m_wellOrder.size() > m_policy.maxWell || now - m_wellOrder.front().first > m_policy.wellFor)) {
        const auto it = m_well.find(m_wellOrder.front().second);
        if (it != m_well.end() && it->second == m_wellOrder.front().first) {
            m_well.erase(it);
        }
        m_wellOrder.pop_front();
    }
    const auto it = m_requests.find(fingerprint);
    if (it != m_requests.end() && openCrashes(it->second) > 0) {
        clear(it->second);
        tellCleared(fingerprint, it->second);
    }
}

bool CrashHistory::endedWellLately(const RequestFingerprint &fingerprint, TimePoint now) const
{
    const auto it = m_well.find(fingerprint);
    return it != m_well.end() && now - it->second <= m_policy.wellFor;
}

/** Of all lives that are known to have ended under it. */
void CrashHistory::clear(Request &request)
{
    if (mutated(Mutation::ClearNobody)) {
        return;
    }
    for (const auto &[life, crash] : request.crashes) {
        request.untold = request.cleared.insert(life).second || request.untold;
    }
}

/**
 * Others are only told when they may hold it back, which takes two lives: most suspects of
 * a runner's end are innocent and never come near it.
 */
void CrashHistory::tellCleared(const RequestFingerprint &fingerprint, Request &request)
{
    if (!request.untold || request.crashes.size() < m_policy.heldAfter) {
        return;
    }
    request.untold = false;
    CrashRecord record;
    record.kind = CrashRecordKind::Cleared;
    record.lives.assign(request.cleared.begin(), request.cleared.end());
    record.suspects.push_back({fingerprint, request.customer, request.route, false});
    m_clearings.push_back(std::move(record));
}

std::vector<CrashRecord> CrashHistory::takeClearings()
{
    return std::exchange(m_clearings, {});
}

bool CrashHistory::holdsBack(const CrashRecord &record) const
{
    return std::ranges::any_of(record.suspects, [this](const CrashSuspect &suspect) {
        const auto it = m_requests.find(suspect.fingerprint);
        return it != m_requests.end() && it->second.crashes.size() >= m_policy.heldAfter;
    });
}

/** Several at a time, since what is derived from the records is made anew after it. */
void CrashHistory::makeRoom()
{
    if (m_records.size() < m_policy.maxRecords) {
        return;
    }
    std::vector<std::tuple<bool, std::chrono::milliseconds, std::string>> byWorth;
    for (const auto &[name, stored] : m_records) {
        byWorth.emplace_back(holdsBack(stored.record), stored.record.writtenAt, name);
    }
    std::ranges::sort(byWorth);
    byWorth.resize(std::max<std::size_t>(1, m_policy.maxRecords / kRoomShare));
    for (const auto &[held, time, name] : byWorth) {
        m_records.erase(name);
        ++m_dropped;
    }
    reindex();
}

std::vector<std::string> CrashHistory::expire(std::chrono::milliseconds unixNow, std::string_view host)
{
    std::vector<std::string> removable;
    bool changed = false;
    for (auto it = m_records.begin(); it != m_records.end();) {
        const CrashRecord &record = it->second.record;
        const auto keep = holdsBack(record) ? m_policy.keepHeld : m_policy.keep;
        const auto age = unixNow - record.writtenAt;
        const auto limit = record.host == host ? keep : std::chrono::duration_cast<std::chrono::milliseconds>(keep * kOrphanFactor);
        if (age <= limit) {
            ++it;
            continue;
        }
        removable.push_back(it->first);
        it = m_records.erase(it);
        changed = true;
    }
    if (changed) {
        reindex();
    }
    return removable;
}

void CrashHistory::reindex()
{
    std::map<RequestFingerprint, Request> before = std::exchange(m_requests, {});
    for (const auto &[name, stored] : m_records) {
        index(stored.record, stored.seen);
    }
    for (auto &[fingerprint, request] : m_requests) {
        Request &old = before[fingerprint];
        request.cleared.merge(old.cleared);
        request.untold = old.untold;
    }
}

std::vector<HeldRequest> CrashHistory::held(TimePoint now) const
{
    std::vector<HeldRequest> result;
    for (const auto &[fingerprint, request] : m_requests) {
        const CrashStanding state = standing(fingerprint, now);
        if (state.verdict == CrashVerdict::Clear || state.verdict == CrashVerdict::Suspect) {
            continue;
        }
        HeldRequest one{fingerprint, request.customer, request.route, state, {}};
        for (const auto &[life, crash] : request.crashes) {
            if (!request.cleared.contains(life)) {
                one.lives.push_back(life);
            }
        }
        result.push_back(std::move(one));
    }
    return result;
}

std::size_t CrashHistory::size() const
{
    return m_records.size();
}

std::uint64_t CrashHistory::dropped() const
{
    return m_dropped;
}

} // namespace fulmarlink
