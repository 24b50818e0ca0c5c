// How the sources are combined. The host list defines which runners exist. It lags, so a
// listed runner may be dead; a runner listed as leaving is treated as leaving at once.
// A link that breaks or fails does not show the state of the host, only that dispatches
// there are a risk; it counts as an error. Consecutive errors eject a runner for a while,
// and the time doubles with each consecutive ejection. Loads are reported with answers.

#include "fulmarlink/runnerdirectory.h"

#include <algorithm>

namespace fulmarlink
{

namespace
{

constexpr unsigned kMaxEjectDoublings = 5;
constexpr double kMinSlowStartWeight = 0.1;
constexpr Duration kRelinkInterval = std::chrono::seconds(2);
constexpr std::string_view kEntryRole = "entry";

} // namespace

std::string_view runnerStateName(RunnerState state)
{
    switch (state) {
    case RunnerState::Joining:
        return "joining";
    case RunnerState::Live:
        return "live";
    case RunnerState::Suspect:
        return "suspect";
    case RunnerState::Leaving:
        return "leaving";
    case RunnerState::Gone:
        return "gone";
    }
    return "gone";
}

RunnerDirectory::RunnerDirectory(DirectoryOptions options, std::uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
    , m_picker(PickerRegistry::instance().create(m_options.picker))
{
    if (!m_picker) {
        m_picker = PickerRegistry::instance().create("reported_two");
    }
}

void RunnerDirectory::setHosts(TimePoint now, std::span<const HostInfo> hosts)
{
    const std::lock_guard lock(m_mutex);
    if (hosts.empty()) {
        return;
    }
    const bool first = m_runners.empty();
    for (auto &[id, runner] : m_runners) {
        runner.listed = false;
    }
    m_pools.clear();
    for (const HostInfo &host : hosts) {
        const NodeId id = nodeId(host.name);
        const auto [it, isNew] = m_runners.try_emplace(id);
        Runner &runner = it->second;
        if (isNew) {
            // The runners of the first list started before this process: no slow start.
            runner.joinedAt = first ? now - m_options.slowStart : now;
        }
        runner.host = host;
        runner.listed = true;
        m_pools[host.role].push_back(id);
    }
    std::erase_if(m_runners, [](const auto &item) {
        return !item.second.listed && item.second.ownInFlight == 0;
    });
}

void RunnerDirectory::linkUp(TimePoint now, NodeId id, std::uint64_t incarnation, bool leaving)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runners.find(id);
    if (it == m_runners.end()) {
        return;
    }
    Runner &runner = it->second;
    if (runner.load.capacity != 0 && runner.incarnation != 0 && incarnation != runner.incarnation) {
        runner.joinedAt = now; // a new incarnation: its caches are cold
    }
    runner.incarnation = incarnation;
    runner.leavingIncarnation = leaving ? incarnation : runner.leavingIncarnation;
}

void RunnerDirectory::linkDown(NodeId id)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runners.find(id);
    if (it != m_runners.end()) {
        it->second.incarnation = 0;
    }
}

void RunnerDirectory::reportLoad(NodeId id, std::uint64_t incarnation, const RunnerLoad &load, bool leaving)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runners.find(id);
    if (it == m_runners.end() || load.reportedAt < it->second.load.reportedAt) {
        return;
    }
    it->second.load = load;
    it->second.ownSinceReport = 0;
    if (leaving) {
        it->second.leavingIncarnation = incarnation;
    }
}

std::optional<NodeId> RunnerDirectory::pick(std::string_view pool, const PickContext &context, std::span<const NodeId> tried)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_pools.find(pool);
    if (it == m_pools.end()) {
        return std::nullopt;
    }
    std::vector<Candidate> eligible;
    std::vector<Candidate> ejected;
    std::size_t listed = 0;
    for (const NodeId id : it->second) {
        const Runner &runner = m_runners.at(id);
        if (!takesWork(runner)) {
            continue;
        }
        ++listed;
        if (std::ranges::find(tried, id) != tried.end()) {
            continue;
        }
        const bool suspect = stateOf(context.now, runner) == RunnerState::Suspect;
        (suspect ? ejected : eligible).push_back(candidateOf(context.now, runner));
    }
    // If too much of the pool is ejected, the cause is more likely the pool as a whole than its runners.
    const auto minEligible = static_cast<std::size_t>((1 - m_options.maxEjectedShare) * static_cast<double>(listed));
    if (eligible.empty() || eligible.size() + tried.size() < minEligible) {
        eligible.insert(eligible.end(), ejected.begin(), ejected.end());
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    const NodeId picked = eligible[m_picker->pick(eligible, context, m_random)].id;
    return context.last ? shortestQueue(context, tried, picked) : picked;
}

/** The least loaded of @p untried and the runners in @p tried, which reported their loads with their refusals. */
NodeId RunnerDirectory::shortestQueue(const PickContext &context, std::span<const NodeId> tried, NodeId untried) const
{
    NodeId best = untried;
    double bestScore = loadScore(candidateOf(context.now, m_runners.at(untried)), context.now);
    for (const NodeId id : tried) {
        const auto it = m_runners.find(id);
        if (it == m_runners.end() || !takesWork(it->second) || stateOf(context.now, it->second) == RunnerState::Suspect) {
            continue;
        }
        const double score = loadScore(candidateOf(context.now, it->second), context.now);
        if (score < bestScore) {
            best = id;
            bestScore = score;
        }
    }
    return best;
}

void RunnerDirectory::started(NodeId id)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runners.find(id);
    if (it != m_runners.end()) {
        ++it->second.ownInFlight;
        ++it->second.ownSinceReport;
    }
}

void RunnerDirectory::finished(TimePoint now, NodeId id, DispatchOutcome outcome)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runners.find(id);
    if (it == m_runners.end()) {
        return;
    }
    Runner &runner = it->second;
    runner.ownInFlight -= runner.ownInFlight > 0 ? 1 : 0;
    if (outcome == DispatchOutcome::Success) {
        runner.consecutiveErrors = 0;
        runner.ejections = 0;
    }
    if (outcome == DispatchOutcome::Error && ++runner.consecutiveErrors >= m_options.errorsToEject) {
        eject(now, runner);
    }
}

void RunnerDirectory::eject(TimePoint now, Runner &runner)
{
    runner.ejectedUntil = now + m_options.ejectFor * (1U << std::min(runner.ejections, kMaxEjectDoublings));
    ++runner.ejections;
    runner.consecutiveErrors = 0;
}

bool RunnerDirectory::hasPool(std::string_view pool) const
{
    const std::lock_guard lock(m_mutex);
    return m_pools.contains(pool);
}

std::uint64_t RunnerDirectory::linkedIncarnation(NodeId id) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runners.find(id);
    return it == m_runners.end() ? 0 : it->second.incarnation;
}

RunnerState RunnerDirectory::state(TimePoint now, NodeId id) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runners.find(id);
    return it == m_runners.end() ? RunnerState::Gone : stateOf(now, it->second);
}

std::optional<HostInfo> RunnerDirectory::host(NodeId id) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runners.find(id);
    return it == m_runners.end() ? std::nullopt : std::optional(it->second.host);
}

std::vector<HostInfo> RunnerDirectory::hostsWithRole(std::string_view role) const
{
    std::vector<HostInfo> result;
    const std::lock_guard lock(m_mutex);
    const auto it = m_pools.find(role);
    if (it == m_pools.end()) {
        return result;
    }
    for (const NodeId id : it->second) {
        result.push_back(m_runners.at(id).host);
    }
    std::ranges::sort(result, {}, &HostInfo::name);
    return result;
}

std::vector<HostInfo> RunnerDirectory::runners() const
{
    std::vector<HostInfo> result;
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, runner] : m_runners) {
        if (runner.listed && runner.host.role != kEntryRole) {
            result.push_back(runner.host);
        }
    }
    std::ranges::sort(result, {}, &HostInfo::name);
    return result;
}

std::vector<NodeId> RunnerDirectory::reconnectCandidates(TimePoint now)
{
    std::vector<NodeId> result;
    const std::lock_guard lock(m_mutex);
    if (now < m_nextRelink) {
        return result;
    }
    m_nextRelink = now + kRelinkInterval;
    for (const auto &[id, runner] : m_runners) {
        if (runner.listed && !runner.host.leaving && runner.leavingIncarnation != 0 && runner.incarnation == 0) {
            result.push_back(id);
        }
    }
    return result;
}

bool RunnerDirectory::isUnlisted(NodeId id) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runners.find(id);
    return !m_runners.empty() && (it == m_runners.end() || !it->second.listed);
}

RunnerState RunnerDirectory::stateOf(TimePoint now, const Runner &runner) const
{
    if (!runner.listed) {
        return RunnerState::Gone;
    }
    if (!takesWork(runner)) {
        return RunnerState::Leaving;
    }
    if (now < runner.ejectedUntil) {
        return RunnerState::Suspect;
    }
    return now < runner.joinedAt + m_options.slowStart ? RunnerState::Joining : RunnerState::Live;
}

bool RunnerDirectory::takesWork(const Runner &runner) const
{
    const bool announcedLeaving = runner.leavingIncarnation != 0 && (runner.incarnation == 0 || runner.incarnation <= runner.leavingIncarnation);
    return runner.listed && !runner.host.leaving && !announcedLeaving;
}

Candidate RunnerDirectory::candidateOf(TimePoint now, const Runner &runner) const
{
    Candidate candidate;
    candidate.id = nodeId(runner.host.name);
    candidate.localZone = runner.host.zone == m_options.zone;
    candidate.ownInFlight = runner.ownInFlight;
    candidate.load = runner.load;
    candidate.load.inFlight += runner.ownSinceReport;
    if (now < runner.joinedAt + m_options.slowStart && m_options.slowStart.count() > 0) {
        candidate.weight = std::max(kMinSlowStartWeight, std::chrono::duration<double>(now - runner.joinedAt) / m_options.slowStart);
    }
    return candidate;
}

} // namespace fulmarlink
