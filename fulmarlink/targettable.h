#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/httpclient.h"
#include "fulmarlink/refusalbackoff.h"

namespace fulmarlink
{

class RunnerSignals;
enum class RunnerExclusion : std::uint8_t;

/** One runner as the platform lists it. */
struct TargetInfo {
    std::string id; ///< unique among the listed runners; a restarted runner may keep its id
    std::uint64_t born = 0; ///< start time as Unix time in milliseconds; 0: unknown
    std::string pool;
    HttpTarget address;
    std::string zone;
    unsigned slots = 1;
    bool leaving = false;
};

/** The load that a runner reports, in requests. */
struct TargetLoad {
    unsigned running = 0;
    unsigned waiting = 0;
};

struct TargetTableOptions {
    std::string zone; ///< of this host
    Duration missingGrace = std::chrono::milliseconds(1500); ///< how long a runner that is missing from the first list after an outage stays usable
    Duration outageGap = std::chrono::milliseconds(2500); ///< a longer gap between two lists counts as an outage
    Duration ejectFor = std::chrono::milliseconds(1500); ///< after kFailuresToEject consecutive failures
    Duration loadFreshFor = std::chrono::milliseconds(1200); ///< a reported load counts in full up to this age, then decays linearly to zero at twice this age
};

/** The best runner of one rank group, as pick() compares them. */
struct TargetCandidate {
    std::string group; ///< empty: the runners without a group
    const TargetInfo *target = nullptr;
    double load = 0; ///< requests per slot
    bool deprioritized = false; ///< it failed recently or is slow; true only if this holds for all candidates of the group
    unsigned runners = 0; ///< candidates in the group
};

/** Usable runners of a pool, by whether a signal of their own keeps them from taking requests; see RunnerExclusion. */
struct BlockedRunners {
    unsigned limited = 0;
    unsigned backingOff = 0; ///< including those in slow start
    unsigned free = 0; ///< runners that can take requests
    double limitedPerSecond = 0; ///< total rate that the limited runners accept from all hosts
    unsigned slots = 0; ///< of the runners that are backing off
    std::optional<TimePoint> nextRoom; ///< the earliest time at which this host may send to one of them; empty: it may send to none

    unsigned runners() const
    {
        return limited + backingOff;
    }
};

/** The differences between two runner lists, for the log. */
struct TargetChanges {
    std::vector<std::string> added;
    std::vector<std::string> restarted; ///< with an unchanged id
    std::vector<std::string> leaving;
    std::vector<std::string> malformed; ///< known runners whose entry can't be read any more
    std::vector<std::string> gone;
};

/**
 * Tracks the known runners and selects one for each request.
 *
 * A runner's load is the number of this host's own requests there plus the last reported
 * number of requests from other hosts, which decays with age. The runner with the lowest
 * load per slot is selected; this host's availability zone is preferred on ties. A runner that
 * fails several times in a row is ejected for a while, and a slow runner is avoided; both
 * are still selected if no other runner is left.
 *
 * Contract: pick() never returns a runner that is leaving or missing in the latest list or whose entry there can't be read, or
 * that has itself announced that it is leaving or currently accepts no request from this host.
 * A runner that is missing after an outage stays usable for missingGrace.
 * Does no I/O; not thread-safe; pick() is O(known runners).
 */
class TargetTable
{
public:
    static constexpr unsigned kFailuresToEject = 3;
    /** Requests added to the load of a runner in another zone, to break ties in favour of this host's zone. */
    static constexpr double kRemoteZonePenalty = 0.25;

    explicit TargetTable(TargetTableOptions options);

    /**
     * Replaces the runner list with the platform's complete list as read at @p now. @p malformed has the names of entries that can't be read. A known runner
     * whose entry is among them takes no requests. It stays listed with what is known of it, since its entry is there.
     */
    TargetChanges setTargets(const std::vector<TargetInfo> &list, TimePoint now, const std::set<std::string> &malformed = {});
    /** Selects a runner of @p pool that is not in @p tried; null if none can take requests. */
    const TargetInfo *pick(std::string_view pool, const std::set<std::string> &tried, TimePoint now, Random &random) const;
    /** The best runner not in @p tried of each rank group of @p pool, and of the runners without a group; sorted by group name. */
    std::vector<TargetCandidate> candidates(std::string_view pool, const std::set<std::string> &tried, TimePoint now, Random &random) const;
    /** Runners of @p pool that candidates() excludes because of their own signals. */
    BlockedRunners blocked(std::string_view pool, const std::set<std::string> &tried, TimePoint now) const;
    /** Sets the source of the runners' own signals; it must outlive the table. */
    void setSignals(const RunnerSignals *signals);
    /** Null if the runner is not listed. */
    const TargetInfo *find(const std::string &id) const;
    bool isUsable(const std::string &id, TimePoint now) const;

    void requestSent(const std::string &id);
    void requestEnded(const std::string &id);
    void loadReported(const std::string &id, TargetLoad load, TimePoint now);
    /** Notes that response bytes arrived from the runner. */
    void dataReceived(const std::string &id, TimePoint now);
    /** Time of the last dataReceived(); the epoch if there was none. */
    TimePoint lastReceived(const std::string &id) const;
    void requestSucceeded(const std::string &id);
    /** The runner refused a request and reported @p load with the refusal. True if full slots don't explain the refusal: it counts against the runner. */
    bool requestRefused(const std::string &id, const std::optional<TargetLoad> &load, TimePoint now);
    /** The runner has started to answer a request. */
    void requestAccepted(const std::string &id);
    /** A request failed through the runner's fault. True if the runner is ejected from now on. */
    bool requestFailed(const std::string &id, TimePoint now);

    /** Marks the runners @p ids of @p pool and @p group as far slower than normal and the others of the group as not slow. */
    void setSlow(std::string_view pool, std::string_view group, const std::vector<std::string> &ids);

    /** Assigns the runner to a rank group; empty: none. */
    void setGroup(const std::string &id, const std::string &group);
    /** Empty if the runner has no group or is not known. */
    const std::string &groupOf(const std::string &id) const;

    bool isSlow(const std::string &id) const;

    /** Requests per slot at @p id, as pick() compares them. */
    double load(const std::string &id, TimePoint now) const;
    unsigned available(std::string_view pool, TimePoint now) const;
    /** This host's requests in progress at one runner. */
    unsigned ownRequests(const std::string &id) const;
    /** This host's requests in progress at the runners of @p pool and @p group. */
    unsigned ownRequests(std::string_view pool, std::string_view group) const;
    std::vector<TargetInfo> listed(std::string_view pool) const;
    /** The listed runners of one rank group. */
    std::vector<TargetInfo> listed(std::string_view pool, std::string_view group) const;
    std::size_t size() const;

private:
    struct State {
        TargetInfo info;
        std::string group; ///< rank group; empty: none
        bool listed = true;
        bool malformed = false; ///< its entry in the latest list can't be read, and info is from an earlier one
        std::optional<TimePoint> missingSince; ///< when it was first found missing after an outage
        unsigned ownInFlight = 0;
        unsigned othersInFlight = 0;
        std::optional<TimePoint> othersReportedAt;
        TimePoint lastReceivedAt{};
        unsigned failures = 0; ///< consecutive
        TimePoint ejectedUntil{};
        RefusalBackoff refusals;
        bool slow = false;
    };

    bool usable(const State &state, TimePoint now) const;
    RunnerExclusion obstacle(const State &state, TimePoint now) const;
    double score(const State &state, TimePoint now) const;
    void restart(State &state);

    TargetTableOptions m_options;
    std::map<std::string, State> m_states;
    std::optional<TimePoint> m_listedAt;
    const RunnerSignals *m_signals = nullptr;
};

} // namespace fulmarlink
