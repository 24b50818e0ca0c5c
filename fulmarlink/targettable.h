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
    std::string id; ///< unique among the runners listed; a runner may start again under the id that it had
    std::uint64_t born = 0; ///< when it started, Unix time in milliseconds; 0: not said
    std::string pool;
    HttpTarget address;
    std::string zone;
    unsigned slots = 1;
    bool leaving = false;
};

/** What a runner says of its load, in requests. */
struct TargetLoad {
    unsigned running = 0;
    unsigned waiting = 0;
};

struct TargetTableOptions {
    std::string zone; ///< of this host
    Duration missingGrace = std::chrono::milliseconds(1500); ///< a runner that an outage made vanish counts as there for so long after it
    Duration outageGap = std::chrono::milliseconds(2500); ///< a list that comes after a gap as long as this ends an outage
    Duration ejectFor = std::chrono::milliseconds(1500); ///< after kFailuresToEject failures in a row
    Duration loadFreshFor = std::chrono::milliseconds(1200); ///< a reported load counts in full until then and not at all at twice that age
};

/** The best runner of one rank group, as pick() compares them. */
struct TargetCandidate {
    std::string group; ///< empty: of the runners in no group
    const TargetInfo *target = nullptr;
    double load = 0; ///< requests for each of its slots
    bool deprioritized = false; ///< it failed lately or is slow, as all of its group are
    unsigned runners = 0; ///< of the group that may take work
};

/** Of the runners that may take work but for what they have said themselves; see RunnerExclusion. */
struct BlockedRunners {
    unsigned limited = 0;
    unsigned backingOff = 0; ///< slow start included
    unsigned free = 0; ///< runners that nothing keeps from taking work
    double limitedPerSecond = 0; ///< requests that the limited ones take from all hosts together
    unsigned slots = 0; ///< of those that back off
    std::optional<TimePoint> nextRoom; ///< the first that this host has; nothing: it leaves all of them out

    unsigned runners() const
    {
        return limited + backingOff;
    }
};

/** What a new list changed, for the log. */
struct TargetChanges {
    std::vector<std::string> added;
    std::vector<std::string> restarted; ///< under the id that they had
    std::vector<std::string> leaving;
    std::vector<std::string> gone;
};

/**
 * The runners that requests may go to, and the choice among them.
 *
 * A runner's load is this entry's own requests there plus what the runner last said of
 * the others', which fades with age. Requests go to the least loaded for its slots; the
 * own availability zone wins ties. A runner that fails several times in a row is passed
 * over for a while, unless all are; so is one that is known to be slow.
 *
 * Contract: a runner that is leaving or gone in the newest list, or has said that it is leaving
 * or wants nothing from here now, is never picked. Pure;
 * not thread-safe; pick() is O(runners of the pool).
 */
class TargetTable
{
public:
    static constexpr unsigned kFailuresToEject = 3;
    /** Load that a runner in another zone seems to have more, in requests; breaks ties towards the own zone. */
    static constexpr double kRemoteZonePenalty = 0.25;

    explicit TargetTable(TargetTableOptions options);

    /** The whole list of the platform, read at @p now. */
    TargetChanges setTargets(const std::vector<TargetInfo> &list, TimePoint now);
    /** Chooses a runner of @p pool that is not in @p tried; null if none may take work. */
    const TargetInfo *pick(std::string_view pool, const std::set<std::string> &tried, TimePoint now, Random &random) const;
    /** The best runner of each rank group of @p pool, and of those in no group, that is not in @p tried; by group name. */
    std::vector<TargetCandidate> candidates(std::string_view pool, const std::set<std::string> &tried, TimePoint now, Random &random) const;
    /** Runners of @p pool that candidates() leaves out for what they have said themselves. */
    BlockedRunners blocked(std::string_view pool, const std::set<std::string> &tried, TimePoint now) const;
    /** What runners have said of the requests that they want; outlives the table. */
    void setSignals(const RunnerSignals *signals);
    /** Null if the runner is not listed. */
    const TargetInfo *find(const std::string &id) const;
    bool isUsable(const std::string &id, TimePoint now) const;

    void requestSent(const std::string &id);
    void requestEnded(const std::string &id);
    void loadReported(const std::string &id, TargetLoad load, TimePoint now);
    /** Bytes of an answer came from the runner. */
    void dataReceived(const std::string &id, TimePoint now);
    /** When that was last; the epoch if never. */
    TimePoint lastReceived(const std::string &id) const;
    void requestSucceeded(const std::string &id);
    /** The runner turned a request away; @p load: as it told with that. True if that speaks against it, and not of full slots. */
    bool requestRefused(const std::string &id, const std::optional<TargetLoad> &load, TimePoint now);
    /** The runner has begun to answer a request. */
    void requestAccepted(const std::string &id);
    /** A failure that speaks against the runner. True if it is passed over from now on. */
    bool requestFailed(const std::string &id, TimePoint now);

    /** The runners of @p pool and @p group that work far below their speed; the others of that group don't. */
    void setSlow(std::string_view pool, std::string_view group, const std::vector<std::string> &ids);

    /** Which rank group the runner is in; empty: none. */
    void setGroup(const std::string &id, const std::string &group);
    /** Empty if it is in none, or not known, or not listed. */
    const std::string &groupOf(const std::string &id) const;

    bool isSlow(const std::string &id) const;

    /** Requests for each slot at @p id, as pick() compares them. */
    double load(const std::string &id, TimePoint now) const;
    unsigned available(std::string_view pool, TimePoint now) const;
    /** This entry's requests in progress at one runner. */
    unsigned ownRequests(const std::string &id) const;
    /** This entry's requests in progress at the runners of @p pool and @p group. */
    unsigned ownRequests(std::string_view pool, std::string_view group) const;
    std::vector<TargetInfo> listed(std::string_view pool) const;
    /** Those of one rank group. */
    std::vector<TargetInfo> listed(std::string_view pool, std::string_view group) const;
    std::size_t size() const;

private:
    struct State {
        TargetInfo info;
        std::string group; ///< of ranks; empty: none
        bool listed = true;
        std::optional<TimePoint> missingSince; ///< absent from the list after an outage
        unsigned own = 0;
        unsigned others = 0;
        std::optional<TimePoint> othersAt;
        TimePoint heardAt{};
        unsigned failures = 0; ///< in a row
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
