#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/crashpolicy.h"
#include "fulmarlink/crashrecord.h"

namespace fulmarlink
{

enum class CrashVerdict : std::uint8_t {
    Clear,
    Suspect, ///< a runner ended under it: it may come again, but this product does not send it again by itself
    HeldBack, ///< refused until one try is due
    TrialDue, ///< one host may run it, once it has claimed the try
    Banned, ///< refused
};

std::string_view crashVerdictName(CrashVerdict verdict);

/** How things stand with one request. */
struct CrashStanding {
    CrashVerdict verdict = CrashVerdict::Clear;
    unsigned crashes = 0; ///< runners that ended under it
    unsigned trials = 0; ///< claimed so far
    Duration retryAfter{0}; ///< of HeldBack and Banned
};

/** A request that is held back or banned, for operators. */
struct HeldRequest {
    RequestFingerprint fingerprint;
    std::string customer;
    std::string route;
    CrashStanding standing;
    std::vector<TargetLife> lives; ///< that ended under it
};

/**
 * Who is to blame for runners that ended, from the records of all hosts.
 *
 * When a runner ends, each request in progress there is a suspect: one is to blame, or
 * none. The innocent ones differ from end to end, and end well elsewhere. So a request is
 * judged by the number of distinct lives of runners that ended under it, and whatever
 * ends well is cleared of all that was before. A request that crashes runners never ends
 * well.
 *
 * Contract: two records of one life count once, whoever wrote them. Pure; not
 * thread-safe; standing() is O(log n).
 */
class CrashHistory
{
public:
    explicit CrashHistory(CrashPolicy policy = {});

    /** False if it is known. */
    bool add(CrashRecord record, TimePoint now);
    CrashStanding standing(const RequestFingerprint &fingerprint, TimePoint now) const;

    /** A runner answered it, with success or failure. */
    void endedWell(const RequestFingerprint &fingerprint, TimePoint now);
    bool endedWellLately(const RequestFingerprint &fingerprint, TimePoint now) const;
    /** Requests that this host knows to be cleared while others may hold them back: to be written, each once. Name, host and time are the caller's to set. */
    std::vector<CrashRecord> takeClearings();

    /** Drops what is too old by Unix time @p unixNow; gives the names of records that the store need not keep, of @p host's own and of hosts that are gone. */
    std::vector<std::string> expire(std::chrono::milliseconds unixNow, std::string_view host);

    std::vector<HeldRequest> held(TimePoint now) const;
    std::size_t size() const;
    std::uint64_t dropped() const; ///< records for which there was no room

private:
    struct Crash {
        TimePoint seen{};
        bool answering = true; ///< in every record of this life
    };

    struct Request {
        std::string customer;
        std::string route;
        std::map<TargetLife, Crash> crashes;
        std::set<TargetLife> cleared;
        bool untold = false; ///< cleared of something that others have not been told of
        unsigned trials = 0;
        TimePoint lastTrial{};
    };

    struct Stored {
        CrashRecord record;
        TimePoint seen{};
    };

    void index(const CrashRecord &record, TimePoint seen);
    static void clear(Request &request);
    void tellCleared(const RequestFingerprint &fingerprint, Request &request);
    void reindex();
    void makeRoom();
    bool holdsBack(const CrashRecord &record) const;
    static unsigned openCrashes(const Request &request);

    const CrashPolicy m_policy;
    std::map<std::string, Stored> m_records; ///< by name
    std::map<RequestFingerprint, Request> m_requests;
    std::map<RequestFingerprint, TimePoint> m_well;
    std::deque<std::pair<TimePoint, RequestFingerprint>> m_wellOrder; ///< may hold older times of a request too
    std::vector<CrashRecord> m_clearings;
    std::uint64_t m_dropped = 0;
};

} // namespace fulmarlink
