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
    Suspect, ///< in progress when a runner ended: callers may repeat it, but it is not retried automatically
    HeldBack, ///< refused until the next trial is due
    TrialDue, ///< one host may run it, after it has claimed the trial
    Banned, ///< refused until its records expire or an operator clears it
};

std::string_view crashVerdictName(CrashVerdict verdict);

/** What is known of one request: its verdict and the figures behind it. */
struct CrashStatus {
    CrashVerdict verdict = CrashVerdict::Clear;
    unsigned crashes = 0; ///< runner incarnations that ended with it in progress and of which it is not cleared
    unsigned explained = 0; ///< those of them that do not count towards a ban; 0 below CrashPolicy::maxCrashes crashes
    unsigned trials = 0; ///< claimed so far, on all hosts
    Duration retryAfter{0}; ///< for HeldBack and Banned
};

/** A request that is held back, due for a trial or banned; listed for operators. */
struct HeldRequest {
    RequestFingerprint fingerprint;
    std::string customer;
    std::string route;
    CrashStatus status;
    std::vector<TargetIncarnation> incarnations; ///< that ended with it in progress
};

/**
 * Identifies requests that crash runners, from the crash records of all hosts.
 *
 * When a runner ends, every request in progress there is a suspect, and at most one of
 * them caused the crash. The others differ from crash to crash and complete elsewhere. So
 * a request is judged by the number of distinct runner incarnations that ended with it in
 * progress, and a request that completes is cleared of all earlier crashes. A request that
 * crashes runners never completes.
 *
 * A request that had begun to be answered at a runner does not count towards a ban for that
 * runner if another one ended at the same time without it, or if its host had given it up
 * there before the runner answered others. That holds for a limited number of runners.
 *
 * Contract: records of the same incarnation count once, whichever hosts wrote them; verdicts
 * don't depend on the order of records. No I/O; not thread-safe; status() is O(log n) in the
 * number of requests, and O(n) in the number of records for a request with CrashPolicy::maxCrashes
 * crashes.
 */
class CrashHistory
{
public:
    explicit CrashHistory(CrashPolicy policy = {});

    /** Returns false if a record of this name is known already. */
    bool add(CrashRecord record, TimePoint now);
    CrashStatus status(const RequestFingerprint &fingerprint, TimePoint now) const;

    /** A runner has answered the request, with success or failure: clears it of all earlier crashes. */
    void requestCompleted(const RequestFingerprint &fingerprint, TimePoint now);
    bool completedRecently(const RequestFingerprint &fingerprint, TimePoint now) const;
    /**
     * Returns, once each, the Cleared records to write: of requests that this host has cleared and other hosts may hold back.
     * The caller sets name, host and time.
     */
    std::vector<CrashRecord> takeClearances();

    /**
     * Drops the records that have expired at Unix time @p unixNow and returns their names, for removal from the store. Records that
     * another host than @p host wrote expire later, so that normally their writer removes them.
     */
    std::vector<std::string> expire(std::chrono::milliseconds unixNow, std::string_view host);

    std::vector<HeldRequest> heldRequests(TimePoint now) const;
    std::size_t size() const;
    std::uint64_t droppedRecords() const; ///< evicted because CrashPolicy::maxRecords was reached

private:
    struct Crash {
        TimePoint receivedAt{};
        bool answerStarted = true; ///< in every record of this incarnation
        bool unlikely = true; ///< in every record of this incarnation
    };

    struct Request {
        std::string customer;
        std::string route;
        std::map<TargetIncarnation, Crash> crashes;
        std::set<TargetIncarnation> cleared;
        bool clearanceUnpublished = false; ///< cleared of a crash since its last Cleared record was queued
        unsigned trials = 0;
        TimePoint lastTrialAt{};
    };

    /** The end of one incarnation, from all records of it. */
    struct End {
        std::chrono::milliseconds detectedAt = std::chrono::milliseconds::max(); ///< Unix time of the earliest record
        std::set<RequestFingerprint> suspects;
    };

    struct Stored {
        CrashRecord record;
        TimePoint receivedAt{};
    };

    void index(const CrashRecord &record, TimePoint receivedAt);
    static void clear(Request &request);
    void queueClearance(const RequestFingerprint &fingerprint, Request &request);
    void rebuildIndex();
    void evictRecords();
    bool holdsBack(const CrashRecord &record) const;
    unsigned explainedCrashes(const RequestFingerprint &fingerprint, const Request &request) const;
    bool isExplained(const RequestFingerprint &fingerprint, const TargetIncarnation &incarnation) const;
    bool hasRepeatedSuspect(const End &end) const;
    static unsigned unclearedCrashes(const Request &request);

    const CrashPolicy m_policy;
    std::map<std::string, Stored> m_records; ///< by name
    std::map<RequestFingerprint, Request> m_requests;
    std::map<TargetIncarnation, End> m_ends;
    std::map<RequestFingerprint, TimePoint> m_completions;
    std::deque<std::pair<TimePoint, RequestFingerprint>> m_completionOrder; ///< oldest first; may also hold outdated times of a request
    std::vector<CrashRecord> m_clearances;
    std::uint64_t m_dropped = 0;
};

} // namespace fulmarlink
