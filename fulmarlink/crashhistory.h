#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "fulmarlink/answertimes.h"
#include "fulmarlink/clock.h"
#include "fulmarlink/crashkeys.h"
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

struct CrashComparison;

/** What is known of one request: its verdict and the figures behind it. */
struct CrashStatus {
    CrashVerdict verdict = CrashVerdict::Clear;
    unsigned crashes = 0; ///< runner incarnations that ended with it in progress and of which it is not cleared
    unsigned survivors = 0; ///< runners that had the request as long as those and did not end
    double chance = 1; ///< probability of as many crashes by chance; 1 below CrashPolicy::holdAfterCrashes crashes
    double chanceBeforeAnswer = 1; ///< the same for those before the first part of the answer
    unsigned trials = 0; ///< claimed so far, on all hosts
    Duration retryAfter{0}; ///< for HeldBack and Banned
    RequestFingerprint key; ///< of the request or the prompt segment that the verdict is about
    std::string segment; ///< id of that segment; empty: it is about the request itself
    RequestFingerprint trialKey; ///< for which a trial is claimed: of a segment, the one for all customers
};

/** A request or prompt segment that is held back, due for a trial or banned; listed for operators. */
struct HeldRequest {
    RequestFingerprint fingerprint;
    std::string customer; ///< empty: a segment in the requests of all customers
    std::string route;
    CrashStatus status;
    std::vector<TargetIncarnation> incarnations; ///< that ended with it in progress
};

/**
 * Identifies requests that crash runners, from the crash records of all hosts.
 *
 * When a runner ends, every request in progress there is a suspect, and at most one of
 * them caused the crash. The others differ from crash to crash and complete elsewhere. So
 * a request is judged by the distinct runner incarnations that ended with it in progress,
 * and a request that completes is cleared of all earlier crashes. A request that crashes
 * runners never completes.
 *
 * Where runners end for other reasons as well, their number alone tells little. It is compared
 * with what chance gives: the rate at which runners ended without the request, over the time
 * for which it was in progress. And a request that more runners have survived than not does
 * not crash them. CrashPolicy::crashLimit holds whatever the rate.
 *
 * Contract: records of the same incarnation count once, whichever hosts wrote them; verdicts
 * don't depend on the order of records. No I/O; not thread-safe; status() is O(log n) in the
 * number of requests, and for one with CrashPolicy::holdAfterCrashes crashes linear in the ends
 * around them.
 *
 * Requests that differ may crash runners for what their prompts have in common. So each shared segment of a prompt is judged
 * as well, by the requests with it that were lost before the first part of their answers, once for each customer and
 * once for all customers. Sound requests share most segments with one at fault. So an
 * answer to any request with a segment clears it, and a crash does not count against a segment if another one, or a
 * request, explains it better that the request to be judged does not have: see crashverdicts.cpp.
 */
class CrashHistory
{
public:
    explicit CrashHistory(CrashPolicy policy = {});

    /** Sets the number of runners, to which the rate of ends refers. 0 is ignored; until the first number nothing is put down to chance. */
    void setRunnerCount(std::size_t count);
    /**
     * This host has found that the runner has ended, whether or not it had requests there. Tells the rate of ends, and nothing of any request.
     * Returns false if it is known already.
     */
    bool observeEnd(const TargetIncarnation &incarnation, std::chrono::milliseconds detectedAt);
    /** These runners have been working on the request, on this host's behalf, for as long as it took others to end. */
    void observeSurvivors(const RequestFingerprint &fingerprint, std::span<const TargetIncarnation> survivors, std::chrono::milliseconds unixNow);

    /** Returns false if a record of this name is known already. */
    bool add(CrashRecord record, TimePoint now);
    /** The verdict on a request alone, or on a segment in a request that also has those that were lost in all of its crashes. */
    CrashStatus status(const RequestFingerprint &fingerprint, TimePoint now) const;
    /** The gravest verdict on the request and on the segments of its prompt. */
    CrashStatus gravestStatus(const CrashKeys &request, TimePoint now) const;

    /** A runner has answered the request, with success or failure: clears it of all earlier crashes. */
    void requestCompleted(const RequestFingerprint &fingerprint, TimePoint now);
    bool completedRecently(const RequestFingerprint &fingerprint, TimePoint now) const;
    /** A runner has begun to answer a request with these segments: clears them of all earlier crashes. Failures don't count, since a runner may fail a request
     * that it has not begun. */
    void segmentsAnswered(std::span<const RequestFingerprint> segments, TimePoint now);
    /**
     * Takes those @p suspects out that have completed recently, and returns the Cleared record of them, for hosts that have copies of them at the
     * same runner and may not have seen an answer. Nothing if there are none. The caller sets incarnation, name, host and time.
     */
    std::optional<CrashRecord> takeCompleted(std::vector<CrashSuspect> &suspects, TimePoint now) const;
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
    /** Unix times. */
    struct Interval {
        std::chrono::milliseconds from = std::chrono::milliseconds::max();
        std::chrono::milliseconds to{0};

        void extend(std::chrono::milliseconds time)
        {
            from = std::min(from, time);
            to = std::max(to, time);
        }
    };

    /** The end of one incarnation. */
    struct End {
        std::chrono::milliseconds detectedAt{0}; ///< Unix time of the earliest record or observation
        bool recorded = false; ///< there is a record of it
    };

    /** What several copies of a request at one incarnation tell together. */
    struct Evidence {
        bool any = false; ///< there is a copy
        bool answerStarted = true; ///< of every copy
        bool unanswered = true; ///< every copy
        bool unlikely = true; ///< every copy
        std::chrono::milliseconds exposure{0}; ///< longest

        void add(const CrashSuspect &suspect);
    };

    struct Crash {
        TimePoint receivedAt{};
        std::string pool{}; ///< of the runner
        Evidence allCopies{};
        Evidence readCopies{}; ///< without those that the runner had not read, if resets tell
        std::set<std::uint64_t> customers{}; ///< of a segment: hashes of those whose requests with it were lost there
        std::set<RequestFingerprint> requests{}; ///< of a segment: those requests

        void add(const CrashSuspect &suspect);
    };

    struct Request {
        std::string customer;
        std::string route;
        std::string segment; ///< id; empty: a request
        std::map<TargetIncarnation, Crash> crashes;
        std::set<TargetIncarnation> cleared;
        std::map<TargetIncarnation, Interval> survivors; ///< from when until when each is known to have lived with the request
        std::chrono::milliseconds completedAt{0}; ///< Unix time of the latest completion in a Cleared record; 0: none
        std::set<TargetIncarnation> unpublished; ///< of `cleared`, those since its last Cleared record was queued
        unsigned trials = 0;
        TimePoint lastTrialAt{};
    };

    struct Stored {
        CrashRecord record;
        TimePoint receivedAt{};
    };

    /** Crashes of which a request is not cleared. */
    struct Counts {
        unsigned all = 0;
        unsigned beforeAnswer = 0; ///< lost before the first part of the answer
        unsigned unanswered = 0; ///< without any part of an answer, though the runner may not have begun it
        unsigned excused = 0; ///< do not count towards CrashPolicy::maxCrashes
        TimePoint lastEvent{}; ///< of the latest crash or trial
    };

    void index(const CrashRecord &record, TimePoint receivedAt);
    void indexSegments(const CrashRecord &record, const CrashSuspect &suspect, const TargetIncarnation &incarnation, TimePoint receivedAt);
    static void clear(Request &request);
    void queueClearance(const RequestFingerprint &fingerprint, Request &request, TimePoint now);
    void rebuildIndex();
    void evictRecords();
    bool holdsBack(const CrashRecord &record) const;
    bool holdsBack(const RequestFingerprint &key) const;
    std::optional<TimePoint> lastAnswer(const RequestFingerprint &key) const;
    bool answeredBefore(const RequestFingerprint &key) const;
    CrashStatus requestStatus(const Request &request, TimePoint now) const;
    CrashStatus segmentStatus(const RequestFingerprint &segment, const CrashKeys &request, TimePoint now) const;
    Request unexplainedCrashes(const RequestFingerprint &segment, const Request &crashed, const CrashKeys &request) const;
    bool isExplained(const TargetIncarnation &incarnation, const RequestFingerprint &segment, const CrashKeys &request) const;
    bool explainsBetter(const RequestFingerprint &other, const RequestFingerprint &segment) const;
    bool isCrashOfSuspectedSegment(const TargetIncarnation &incarnation) const;
    std::set<TargetIncarnation> crashesBeforeAnswer(const RequestFingerprint &key) const;
    std::size_t lostRequests(const RequestFingerprint &key) const;
    const Request *findSegmentOfAll(const RequestFingerprint &segment) const;
    static bool ofOneCustomer(const Request &segment);
    void holdUntilCalm(const RequestFingerprint &segment, const Request &crashed, TimePoint now, CrashStatus &status) const;
    void indexEnd(const TargetIncarnation &incarnation, std::chrono::milliseconds detectedAt, bool recorded);
    void forgetOldestObservedEnd();
    void compareWithOthers(const Request &request, CrashStatus &status) const;
    std::vector<Interval> timesAround(const Request &request) const;
    CrashComparison othersAround(const Request &request) const;
    unsigned survivors(const Request &request) const;
    unsigned crashTimes(const Request &request) const;
    Counts countCrashes(const Request &request) const;
    void judge(const Counts &counts, TimePoint now, CrashStatus &status) const;
    Duration remainingHold(TimePoint lastEvent, double chance, TimePoint now) const;
    const Evidence &evidenceOf(const Crash &crash) const;
    bool counts(const Request &request, const TargetIncarnation &incarnation, const Crash &crash) const;
    static unsigned unclearedCrashes(const Request &request);

    const CrashPolicy m_policy;
    std::map<std::string, Stored> m_records; ///< by name
    std::map<RequestFingerprint, Request> m_requests;
    std::map<TargetIncarnation, End> m_ends;
    std::map<TargetIncarnation, std::set<RequestFingerprint>> m_lostAt; ///< by runner: requests lost there before their answers, and their segments
    std::set<std::string> m_orderlyPools; ///< of which a runner that ended closed the connection of a request in order
    std::map<TargetIncarnation, std::chrono::milliseconds> m_observedEnds; ///< without a record, by this host
    std::deque<TargetIncarnation> m_observedOrder; ///< m_observedEnds, oldest first
    std::set<std::pair<std::chrono::milliseconds, TargetIncarnation>> m_endOrder; ///< m_ends by time
    TimePoint m_lastEndAt{}; ///< when the latest record of an end was received
    std::size_t m_runners = 0;
    AnswerTimes m_segmentAnswers;
    std::map<RequestFingerprint, TimePoint> m_completions; ///< of requests
    std::deque<std::pair<TimePoint, RequestFingerprint>> m_completionOrder; ///< oldest first; may also hold outdated times of a request
    std::vector<CrashRecord> m_clearances;
    std::uint64_t m_dropped = 0;
};

} // namespace fulmarlink
