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

/** Settings of the runner life cycle and of outlier ejection. */
struct DirectoryOptions {
    std::string zone; ///< availability zone of this host
    std::string picker = "affinity";
    Duration slowStart = std::chrono::seconds(10);
    unsigned errorsToEject = 3; ///< consecutive errors
    Duration ejectFor = std::chrono::seconds(5); ///< doubled for each consecutive ejection
    double maxEjectedShare = 0.5; ///< if more of a pool's runners are ejected, ejected ones are picked again
    Duration listGrace = std::chrono::seconds(3); ///< how long the link to a runner that left the list is kept
};

/** The outcome of a dispatch, for outlier ejection. */
enum class DispatchOutcome : std::uint8_t {
    Success,
    Busy, ///< refused early; not an error
    Error, ///< link broken, request lost or runner unreachable
};

/**
 * An entry host's view of all runners: combines the host list, links, reported loads and
 * errors into one state per runner and selects runners for dispatches.
 *
 * Usage: pass in the host list, link events, loads and outcomes; call pick().
 *
 * Contract: thread-safe under one lock. pick() never returns a runner that is leaving
 * or unlisted, and returns an ejected one only if too few others are left (see
 * maxEjectedShare). A runner's own announcement that it is leaving holds for its
 * incarnation until a link to a newer incarnation is up. pick() is O(runners of the pool).
 */
class RunnerDirectory
{
public:
    RunnerDirectory(DirectoryOptions options, std::uint64_t seed);

    /** Replaces the host list. An empty list is treated as an outage and ignored. */
    void setHosts(TimePoint now, std::span<const HostInfo> hosts);
    void linkUp(TimePoint now, NodeId id, std::uint64_t incarnation, bool leaving);
    void linkDown(NodeId id);
    void reportLoad(NodeId id, std::uint64_t incarnation, const RunnerLoad &load, bool leaving);

    /**
     * Selects a runner for a new dispatch; empty if there is none. A runner in @p tried is returned only
     * on the last attempt, if the load reported with its refusal shows a shorter queue. */
    std::optional<NodeId> pick(std::string_view pool, const PickContext &context, std::span<const NodeId> tried);
    void started(NodeId id);
    void finished(TimePoint now, NodeId id, DispatchOutcome outcome);

    bool hasPool(std::string_view pool) const;
    /** Incarnation at the other end of the open link; 0 if there is no link. */
    std::uint64_t linkedIncarnation(NodeId id) const;
    RunnerState state(TimePoint now, NodeId id) const;
    std::optional<HostInfo> host(NodeId id) const;
    /** All listed hosts with @p role, sorted by name. */
    std::vector<HostInfo> hostsWithRole(std::string_view role) const;
    /** All listed runners, sorted by name. */
    std::vector<HostInfo> runners() const;
    /** Runners that announced that they leave but are listed as live: connecting to one shows whether a new incarnation runs. Empty between intervals. */
    std::vector<NodeId> reconnectCandidates(TimePoint now);
    /** True if a host list is known and does not contain @p id. */
    bool isUnlisted(NodeId id) const;

private:
    struct Runner {
        HostInfo host;
        std::uint64_t incarnation = 0; ///< at the other end of the open link; 0: no link
        std::uint64_t leavingIncarnation = 0; ///< the incarnation that announced that it leaves; 0: none
        TimePoint joinedAt{};
        RunnerLoad load;
        std::uint32_t ownInFlight = 0;
        std::uint32_t ownSinceReport = 0;
        unsigned consecutiveErrors = 0;
        unsigned ejections = 0;
        TimePoint ejectedUntil{};
        bool listed = true;
    };

    NodeId shortestQueue(const PickContext &context, std::span<const NodeId> tried, NodeId untried) const;
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
