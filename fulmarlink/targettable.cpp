#include "fulmarlink/targettable.h"

#include <algorithm>
#include <utility>

#include "fulmarlink/mutation.h"
#include "fulmarlink/runnersignals.h"

namespace fulmarlink
{

TargetTable::TargetTable(TargetTableOptions options)
    : m_options(std::move(options))
{
}

TargetChanges TargetTable::setTargets(const std::vector<TargetInfo> &list, TimePoint now, const std::set<std::string> &malformed)
{
    TargetChanges changes;
    const bool afterOutage = m_listedAt && now - *m_listedAt > m_options.outageGap;
    m_listedAt = now;
    std::set<std::string> present;
    for (const TargetInfo &info : list) {
        present.insert(info.id);
        const auto [it, added] = m_states.try_emplace(info.id);
        State &state = it->second;
        if (added || !state.listed || state.malformed) {
            changes.added.push_back(info.id);
        }
        if (info.leaving && (added || !state.info.leaving)) {
            changes.leaving.push_back(info.id);
        }
        if (!added && info.born != 0 && state.info.born != 0 && info.born != state.info.born) {
            changes.restarted.push_back(info.id);
            restart(state);
        }
        state.info = info;
        state.listed = true;
        state.malformed = false;
        state.missingSince.reset();
    }
    for (auto it = m_states.begin(); it != m_states.end();) {
        State &state = it->second;
        if (present.contains(it->first)) {
            ++it;
            continue;
        }
        if (state.listed && malformed.contains(it->first)) {
            if (!state.malformed) {
                changes.malformed.push_back(it->first);
            }
            state.malformed = true;
            ++it;
            continue;
        }
        if (afterOutage && state.listed && !state.info.leaving && !state.malformed && !state.missingSince) {
            state.missingSince = now;
        }
        const bool withinGrace = state.missingSince && now - *state.missingSince < m_options.missingGrace;
        if (state.listed && !withinGrace) {
            state.listed = false;
            changes.gone.push_back(it->first);
        }
        it = !state.listed && state.ownInFlight == 0 ? m_states.erase(it) : std::next(it);
    }
    return changes;
}

/** Discards everything observed before the runner restarted. Requests that are still open there end on their own. */
void TargetTable::restart(State &state)
{
    state.othersInFlight = 0;
    state.othersReportedAt.reset();
    state.lastReceivedAt = TimePoint{};
    state.failures = 0;
    state.ejectedUntil = TimePoint{};
    state.group.clear();
    state.refusals = RefusalBackoff();
}

bool TargetTable::usable(const State &state, TimePoint now) const
{
    const bool graceExpired = state.missingSince && now - *state.missingSince >= m_options.missingGrace;
    const bool listedLeaving = state.info.leaving && !mutated(Mutation::PickLeaving);
    const bool announcedLeaving = m_signals != nullptr && m_signals->isLeaving({state.info.id, state.info.born}) && !mutated(Mutation::IgnoreLeavingAnswer);
    return state.listed && !state.malformed && !listedLeaving && !announcedLeaving && !graceExpired;
}

RunnerExclusion TargetTable::obstacle(const State &state, TimePoint now) const
{
    return m_signals == nullptr ? RunnerExclusion::None : m_signals->exclusion({state.info.id, state.info.born}, state.ownInFlight, now);
}

void TargetTable::setSignals(const RunnerSignals *signals)
{
    m_signals = signals;
}

BlockedRunners TargetTable::blocked(std::string_view pool, const std::set<std::string> &tried, TimePoint now) const
{
    BlockedRunners result;
    for (const auto &[id, state] : m_states) {
        if (state.info.pool != pool || !usable(state, now) || tried.contains(id)) {
            continue;
        }
        const RunnerExclusion found = obstacle(state, now);
        if (found == RunnerExclusion::None) {
            ++result.free;
            continue;
        }
        const TargetIncarnation incarnation{id, state.info.born};
        const auto next = m_signals->nextSendTime(incarnation, now);
        const bool limited = found == RunnerExclusion::RateLimited;
        result.limited += limited ? 1 : 0;
        result.backingOff += limited ? 0 : 1;
        result.limitedPerSecond += limited ? m_signals->pacer.limitOf(incarnation) : 0;
        result.slots += limited ? 0 : state.info.slots;
        result.nextRoom = next && (!result.nextRoom || *next < *result.nextRoom) ? next : result.nextRoom;
    }
    return result;
}

double TargetTable::score(const State &state, TimePoint now) const
{
    double others = 0;
    if (state.othersReportedAt) {
        const double age = std::chrono::duration<double>(now - *state.othersReportedAt) / std::chrono::duration<double>(m_options.loadFreshFor);
        others = state.othersInFlight * std::clamp(2 - age, 0.0, 1.0);
    }
    const double zone = state.info.zone == m_options.zone ? 0 : kRemoteZonePenalty;
    return (state.ownInFlight + others + zone) / std::max(1U, state.info.slots);
}

std::vector<TargetCandidate> TargetTable::candidates(std::string_view pool, const std::set<std::string> &tried, TimePoint now, Random &random) const
{
    struct Best {
        TargetCandidate candidate;
        unsigned ties = 0;
    };
    std::map<std::string_view, Best> byGroup;
    for (const auto &[id, state] : m_states) {
        if (state.info.pool != pool || !usable(state, now) || tried.contains(id) || obstacle(state, now) != RunnerExclusion::None) {
            continue;
        }
        Best &best = byGroup[state.group];
        ++best.candidate.runners;
        // A retried request avoids runners that are in slow start or that recently refused more requests than they took.
        const bool slowStart = m_signals != nullptr && m_signals->inSlowStart({id, state.info.born}, now);
        const bool onProbation = !tried.empty() && (slowStart || state.refusals.hasRecentRefusals());
        const bool deprioritized
            = state.ejectedUntil > now || state.refusals.isBackingOff(now) || onProbation || (state.slow && !mutated(Mutation::SendToSlow));
        const std::pair key(deprioritized, score(state, now));
        const std::pair bestKey(best.candidate.deprioritized, best.candidate.load);
        if (best.ties > 0 && key > bestKey) {
            continue;
        }
        best.ties = best.ties > 0 && key == bestKey ? best.ties + 1 : 1;
        if (random() % best.ties != 0) {
            continue;
        }
        best.candidate.target = &state.info;
        best.candidate.deprioritized = key.first;
        best.candidate.load = key.second;
    }
    std::vector<TargetCandidate> result;
    for (auto &[group, best] : byGroup) {
        best.candidate.group = group;
        result.push_back(std::move(best.candidate));
    }
    return result;
}

const TargetInfo *TargetTable::pick(std::string_view pool, const std::set<std::string> &tried, TimePoint now, Random &random) const
{
    const std::vector<TargetCandidate> all = candidates(pool, tried, now, random);
    const auto best = std::ranges::min_element(all, {}, [](const TargetCandidate &candidate) {
        return std::pair(candidate.deprioritized, candidate.load);
    });
    return best == all.end() ? nullptr : best->target;
}

const TargetInfo *TargetTable::find(const std::string &id) const
{
    const auto it = m_states.find(id);
    return it == m_states.end() || !it->second.listed ? nullptr : &it->second.info;
}

bool TargetTable::isUsable(const std::string &id, TimePoint now) const
{
    const auto it = m_states.find(id);
    return it != m_states.end() && usable(it->second, now);
}

void TargetTable::requestSent(const std::string &id)
{
    const auto it = m_states.find(id);
    if (it != m_states.end()) {
        ++it->second.ownInFlight;
    }
}

void TargetTable::requestEnded(const std::string &id)
{
    const auto it = m_states.find(id);
    if (it == m_states.end() || it->second.ownInFlight == 0) {
        return;
    }
    --it->second.ownInFlight;
    if (!it->second.listed && it->second.ownInFlight == 0) {
        m_states.erase(it);
    }
}

void TargetTable::loadReported(const std::string &id, TargetLoad load, TimePoint now)
{
    const auto it = m_states.find(id);
    if (it == m_states.end()) {
        return;
    }
    const unsigned total = load.running + load.waiting;
    it->second.othersInFlight = total > it->second.ownInFlight ? total - it->second.ownInFlight : 0;
    it->second.othersReportedAt = now;
}

void TargetTable::dataReceived(const std::string &id, TimePoint now)
{
    const auto it = m_states.find(id);
    if (it != m_states.end()) {
        it->second.lastReceivedAt = now;
    }
}

TimePoint TargetTable::lastReceived(const std::string &id) const
{
    const auto it = m_states.find(id);
    return it == m_states.end() ? TimePoint{} : it->second.lastReceivedAt;
}

void TargetTable::requestSucceeded(const std::string &id)
{
    const auto it = m_states.find(id);
    if (it != m_states.end()) {
        it->second.failures = 0;
        it->second.ejectedUntil = TimePoint{};
    }
}

bool TargetTable::requestFailed(const std::string &id, TimePoint now)
{
    const auto it = m_states.find(id);
    if (it == m_states.end() || ++it->second.failures < kFailuresToEject) {
        return false;
    }
    it->second.ejectedUntil = now + m_options.ejectFor;
    return true;
}

bool TargetTable::requestRefused(const std::string &id, const std::optional<TargetLoad> &load, TimePoint now)
{
    const auto it = m_states.find(id);
    const bool full = it == m_states.end() || !load || load->waiting > 0 || load->running >= it->second.info.slots;
    if (!full) {
        it->second.refusals.recordRefusal(now);
    }
    return !full;
}

void TargetTable::requestAccepted(const std::string &id)
{
    const auto it = m_states.find(id);
    if (it != m_states.end()) {
        it->second.refusals.recordAccepted();
    }
}

void TargetTable::setSlow(std::string_view pool, std::string_view group, const std::vector<std::string> &ids)
{
    for (auto &[id, state] : m_states) {
        if (state.info.pool == pool && state.group == group) {
            state.slow = std::ranges::find(ids, id) != ids.end();
        }
    }
}

void TargetTable::setGroup(const std::string &id, const std::string &group)
{
    const auto it = m_states.find(id);
    if (it == m_states.end() || it->second.group == group) {
        return;
    }
    it->second.group = group;
    it->second.slow = false; // only the leader of the new group can mark it as slow
}

const std::string &TargetTable::groupOf(const std::string &id) const
{
    static const std::string kNone;
    const auto it = m_states.find(id);
    return it == m_states.end() ? kNone : it->second.group;
}

bool TargetTable::isSlow(const std::string &id) const
{
    const auto it = m_states.find(id);
    return it != m_states.end() && it->second.slow;
}

double TargetTable::load(const std::string &id, TimePoint now) const
{
    const auto it = m_states.find(id);
    return it == m_states.end() ? 0 : score(it->second, now);
}

unsigned TargetTable::available(std::string_view pool, TimePoint now) const
{
    return static_cast<unsigned>(std::ranges::count_if(m_states, [&](const auto &entry) {
        return entry.second.info.pool == pool && usable(entry.second, now);
    }));
}

unsigned TargetTable::ownRequests(const std::string &id) const
{
    const auto it = m_states.find(id);
    return it == m_states.end() ? 0 : it->second.ownInFlight;
}

unsigned TargetTable::ownRequests(std::string_view pool, std::string_view group) const
{
    unsigned total = 0;
    for (const auto &[id, state] : m_states) {
        total += state.info.pool == pool && state.group == group ? state.ownInFlight : 0;
    }
    return total;
}

std::vector<TargetInfo> TargetTable::listed(std::string_view pool) const
{
    std::vector<TargetInfo> result;
    for (const auto &[id, state] : m_states) {
        if (state.listed && state.info.pool == pool) {
            result.push_back(state.info);
        }
    }
    return result;
}

std::vector<TargetInfo> TargetTable::listed(std::string_view pool, std::string_view group) const
{
    std::vector<TargetInfo> result;
    for (const auto &[id, state] : m_states) {
        if (state.listed && state.info.pool == pool && state.group == group) {
            result.push_back(state.info);
        }
    }
    return result;
}

std::size_t TargetTable::size() const
{
    return m_states.size();
}

} // namespace fulmarlink
