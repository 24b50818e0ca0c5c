#include "fulmarlink/targettable.h"

#include <algorithm>
#include <limits>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

TargetTable::TargetTable(TargetTableOptions options)
    : m_options(std::move(options))
{
}

TargetChanges TargetTable::setTargets(const std::vector<TargetInfo> &list, TimePoint now)
{
    TargetChanges changes;
    const bool afterOutage = m_listedAt && now - *m_listedAt > m_options.outage;
    m_listedAt = now;
    std::set<std::string> present;
    for (const TargetInfo &info : list) {
        present.insert(info.id);
        const auto [it, added] = m_states.try_emplace(info.id);
        State &state = it->second;
        if (added || !state.listed) {
            changes.added.push_back(info.id);
        }
        if (info.leaving && (added || !state.info.leaving)) {
            changes.leaving.push_back(info.id);
        }
        state.info = info;
        state.listed = true;
        state.missingSince.reset();
    }
    for (auto it = m_states.begin(); it != m_states.end();) {
        State &state = it->second;
        if (present.contains(it->first)) {
            ++it;
            continue;
        }
        if (afterOutage && state.listed && !state.info.leaving && !state.missingSince) {
            state.missingSince = now;
        }
        const bool lapsed = state.missingSince && now - *state.missingSince < m_options.lapseGrace;
        if (state.listed && !lapsed) {
            state.listed = false;
            changes.gone.push_back(it->first);
        }
        it = !state.listed && state.own == 0 ? m_states.erase(it) : std::next(it);
    }
    return changes;
}

bool TargetTable::usable(const State &state, TimePoint now) const
{
    const bool lapsed = state.missingSince && now - *state.missingSince >= m_options.lapseGrace;
    const bool leaving = state.info.leaving && !mutated(Mutation::PickLeaving);
    return state.listed && !leaving && !lapsed;
}

double TargetTable::score(const State &state, TimePoint now) const
{
    double others = 0;
    if (state.othersAt) {
        const double age = std::chrono::duration<double>(now - *state.othersAt) / std::chrono::duration<double>(m_options.loadTrust);
        others = state.others * std::clamp(2 - age, 0.0, 1.0);
    }
    const double zone = state.info.zone == m_options.zone ? 0 : kOtherZoneLoad;
    return (state.own + others + zone) / std::max(1U, state.info.slots);
}

const TargetInfo *TargetTable::pick(std::string_view pool, const std::set<std::string> &tried, TimePoint now, Random &random) const
{
    const State *best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    bool bestEjected = true;
    unsigned ties = 0;
    for (const auto &[id, state] : m_states) {
        if (state.info.pool != pool || !usable(state, now) || tried.contains(id)) {
            continue;
        }
        const bool ejected = state.ejectedUntil > now || (state.slow && !mutated(Mutation::SendToSlow));
        const double value = score(state, now);
        if (best != nullptr && (ejected != bestEjected ? ejected : value > bestScore)) {
            continue;
        }
        const bool equal = best != nullptr && ejected == bestEjected && value == bestScore;
        ties = equal ? ties + 1 : 1;
        if (equal && random() % ties != 0) {
            continue;
        }
        best = &state;
        bestScore = value;
        bestEjected = ejected;
    }
    return best == nullptr ? nullptr : &best->info;
}

const TargetInfo *TargetTable::find(const std::string &id) const
{
    const auto it = m_states.find(id);
    return it == m_states.end() || !it->second.listed ? nullptr : &it->second.info;
}

bool TargetTable::mayTake(const std::string &id, TimePoint now) const
{
    const auto it = m_states.find(id);
    return it != m_states.end() && usable(it->second, now);
}

void TargetTable::sent(const std::string &id)
{
    const auto it = m_states.find(id);
    if (it != m_states.end()) {
        ++it->second.own;
    }
}

void TargetTable::ended(const std::string &id)
{
    const auto it = m_states.find(id);
    if (it == m_states.end() || it->second.own == 0) {
        return;
    }
    --it->second.own;
    if (!it->second.listed && it->second.own == 0) {
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
    it->second.others = total > it->second.own ? total - it->second.own : 0;
    it->second.othersAt = now;
}

void TargetTable::heard(const std::string &id, TimePoint now)
{
    const auto it = m_states.find(id);
    if (it != m_states.end()) {
        it->second.heardAt = now;
    }
}

TimePoint TargetTable::lastHeard(const std::string &id) const
{
    const auto it = m_states.find(id);
    return it == m_states.end() ? TimePoint{} : it->second.heardAt;
}

void TargetTable::succeeded(const std::string &id)
{
    const auto it = m_states.find(id);
    if (it != m_states.end()) {
        it->second.failures = 0;
        it->second.ejectedUntil = TimePoint{};
    }
}

bool TargetTable::failed(const std::string &id, TimePoint now)
{
    const auto it = m_states.find(id);
    if (it == m_states.end() || ++it->second.failures < kFailuresToEject) {
        return false;
    }
    it->second.ejectedUntil = now + m_options.ejectFor;
    return true;
}

void TargetTable::setSlow(std::string_view pool, const std::vector<std::string> &ids)
{
    for (auto &[id, state] : m_states) {
        if (state.info.pool == pool) {
            state.slow = std::ranges::find(ids, id) != ids.end();
        }
    }
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

unsigned TargetTable::ownRequests(std::string_view pool) const
{
    unsigned total = 0;
    for (const auto &[id, state] : m_states) {
        total += state.info.pool == pool ? state.own : 0;
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

std::size_t TargetTable::size() const
{
    return m_states.size();
}

} // namespace fulmarlink
