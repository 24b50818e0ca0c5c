#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "fulmarlink/picker.h"
#include "fulmarlink/runner.h"

namespace fulmarlink
{

/** Settings of runner life and outlier ejection. */
struct DirectoryOptions {
    std::string zone; ///< the availability zone of this entry
    std::string picker = "affinity";
    Duration slowStart = std::chrono::seconds(10);
    unsigned errorsToEject = 3; ///< errors in a row
    Duration ejectFor = std::chrono::seconds(5); ///< doubled for each ejection in a row
    double maxEjectedShare = 0.5; ///< a pool keeps at least the rest of its runners
    Duration listGrace = std::chrono::seconds(3); ///< a runner dropped from the list is still linked for so long
};

/** How a dispatch ended, for outlier ejection. */
enum class DispatchOutcome : std::uint8_t {
    Success,
    Busy, ///< an early refusal: not an error
    Error, ///< broke, lost or unreachable
};

/**
 * What one entry host knows of all runners: the host list, links, loads and errors
 * combined into one state each, and the pick.
 *
 * How to use: feed it the host list, link events, loads and verdicts; call pick().
 *
 * Contract: thread-safe under one lock. pick() never gives a runner that is leaving
 * or gone, and gives an ejected one only when too few others are left (the floor
 * maxEjectedShare). Leaving is sticky for an incarnation: only a link to a newer
 * incarnation, or the list's word on it, clears it. pick() costs O(runners of the pool).
 */
class RunnerDirectory
{
public:
    RunnerDirectory(DirectoryOptions options, std::uint64_t seed);

    /** Replaces the host list. An empty list is taken for an outage and ignored while runners are known. */
    void setHosts(TimePoint now, std::span<const HostInfo> hosts);
    void linkUp(TimePoint now, NodeId id, std::uint64_t incarnation, bool leaving);
    void linkDown(NodeId id);
    void reportLoad(NodeId id, std::uint64_t incarnation, const RunnerLoad &load, bool leaving);

    /**
     * A runner for a new dispatch, or none. Runners in @p tried are only given when nothing else is left,
     * or for the last attempt, when their fresh reports show the shortest queue. */
    std::optional<NodeId> pick(std::string_view pool, const PickContext &context, std::span<const NodeId> tried);
    void started(NodeId id);
    void finished(TimePoint now, NodeId id, DispatchOutcome verdict);

    bool hasPool(std::string_view pool) const;
    /** The incarnation behind the open link, 0 if there is none. */
    std::uint64_t linkedIncarnation(NodeId id) const;
    RunnerState state(TimePoint now, NodeId id) const;
    std::optional<HostInfo> host(NodeId id) const;
    /** All nodes of the list with @p role, sorted by name. */
    std::vector<HostInfo> hostsWithRole(std::string_view role) const;
    /** All runners of the list. */
    std::vector<HostInfo> runners() const;
    /** Runners that said they leave and are listed as live: a link to each shows when a new incarnation is there. At most once an interval. */
    std::vector<NodeId> reconnectCandidates(TimePoint now);
    /** True once a non-empty list is known and does not have @p id. */
    bool isUnlisted(NodeId id) const;

private:
    struct Runner {
        HostInfo host;
        std::uint64_t incarnation = 0; ///< of the open link
        std::uint64_t leavingIncarnation = 0; ///< the incarnation that said it leaves
        TimePoint joinedAt{};
        RunnerLoad load;
        std::uint32_t ownInFlight = 0;
        std::uint32_t ownSinceReport = 0;
        unsigned errorsInRow = 0;
        unsigned ejections = 0;
        TimePoint ejectedUntil{};
        bool listed = true;
    };

    NodeId shortestQueue(const PickContext &context, std::span<const NodeId> tried, NodeId fresh) const;
    RunnerState stateOf(TimePoint now, const Runner &runner) const;
    bool takesWork(const Runner &runner) const;
    Candidate candidateOf(TimePoint now, const Runner &runner) const;
    void eject(TimePoint now, Runner &runner);

    const DirectoryOptions m_options;
    mutable std::mutex m_mutex;
    Random m_random;
    std::unique_ptr<Picker> m_picker;
    std::map<NodeId, Runner> m_runners;
    TimePoint m_nextRelink{};
    std::map<std::string, std::vector<NodeId>, std::less<>> m_pools; ///< listed runners by pool
};

} // namespace fulmarlink
