#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <set>
#include <span>
#include <string>
#include <system_error>

#include "fulmarlink/counters.h"
#include "fulmarlink/crashhistory.h"
#include "fulmarlink/crashrecord.h"
#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/openattempt.h"

namespace fulmarlink
{

class Platform;
struct SharedRecordsRead;

/** What a new connection to a runner shows. */
enum class RunnerProbe : std::uint8_t {
    Accepts,
    Refuses, ///< no process listens there
    Silent, ///< neither in time
};

/**
 * Detects runners that have ended, and shares the requests that were in progress there with
 * all hosts through the store.
 *
 * A reset connection alone doesn't show that a runner has ended. A runner counts as ended
 * when it refuses several new connections in a row and all of this host's attempts there
 * have broken off or been silent for half a second, or when its entry shows a restart.
 *
 * The store is written to only after a runner has ended. A record that can't be written
 * stays queued; on this host it takes effect at once.
 *
 * Start run() and publish() once each, as coroutines on the process's thread.
 */
class CrashWatch
{
public:
    CrashWatch(boost::asio::io_context &context, GatewayState &state, Platform &platform);

    /** Reads the shared records as they change and removes expired ones. */
    boost::asio::awaitable<void> run();
    /** Writes queued records to the store. */
    boost::asio::awaitable<void> publish();

    /**
     * For an attempt whose connection broke off: whether the runner seems to have ended. Costs one new connection; if the runner
     * accepts it, it joins the connection pool; if it refuses it, the check continues in the background.
     */
    boost::asio::awaitable<RunnerProbe> probe(TargetInfo target);
    /** Call when a runner answers any attempt, also to refuse it. */
    void runnerAnswered(const TargetIncarnation &incarnation);
    /** Call when a runner has begun to answer a request whose prompt has these segments. Tells other hosts if they may hold one of them back. */
    void segmentsAnswered(std::span<const RequestFingerprint> segments);
    /**
     * The list of runners shows that the runner has restarted: all of its incarnations have ended but the one that started at
     * @p born (0 if it is no longer listed under this id).
     */
    void restarted(const std::string &targetId, std::uint64_t born);
    /** This host has found by @p evidence that the runner has ended, whether or not it had requests there. */
    void noteEnd(const TargetIncarnation &incarnation, std::string_view evidence);
    /**
     * A suspect that was in progress when its runner was found to have ended has lost its connection without an event: adds that to the record.
     */
    void suspectLost(const TargetIncarnation &incarnation, CrashSuspect suspect);
    /**
     * Takes over the connection of an attempt whose deadline has passed without an answer, for as long as the attempt may become a suspect: its
     * answer, or the way in which the runner ends it, tells what became of the attempt. False if there are too many.
     */
    bool watchExpired(const OpenAttempt &attempt);
    /** Claims the next trial of a request that is held back; true on one host only. */
    boost::asio::awaitable<bool> claimTrial(CrashSuspect suspect);

private:
    boost::asio::awaitable<RunnerProbe> connect(const TargetInfo &target);
    boost::asio::awaitable<void> confirmEnded(TargetInfo target);
    boost::asio::awaitable<void> awaitExpired(OpenAttempt attempt);
    boost::asio::awaitable<void> sleep(Duration duration);
    void handleEnded(const TargetIncarnation &incarnation, std::string_view evidence);
    void dropSegments(std::vector<CrashSuspect> &suspects, const TargetIncarnation &incarnation) const;
    void recordCrash(const TargetIncarnation &incarnation, std::vector<CrashSuspect> suspects);
    void apply(SharedRecordsRead read);
    void apply(CrashRecord record);
    void enqueue(CrashRecord record);
    void queueClearances();
    void logStoreState(bool &available, bool nowAvailable, const char *event, const std::error_code &error) const;
    Duration retryDelay();
    boost::asio::awaitable<void> removeExpired();
    void logStatuses(const CrashRecord &record);
    void logStatus(const CrashRecord &record, const CrashSuspect &suspect, const CrashStatus &status) const;
    CrashRecord newRecord(CrashRecordKind kind, const std::string &namePrefix) const;

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    Platform &m_platform;
    boost::asio::steady_timer m_wakePublisher; ///< cancelled when m_queue has a new record
    std::deque<CrashRecord> m_queue; ///< records to write, oldest first
    std::set<TargetIncarnation> m_unconfirmed; ///< seem to have ended; being confirmed
    std::set<TargetIncarnation> m_ended; ///< the latest kMaxEnded
    std::deque<TargetIncarnation> m_endedOrder; ///< m_ended, oldest first
    std::size_t m_expired = 0; ///< attempts taken over by watchExpired()
    std::uint64_t m_enqueued = 0; ///< records so far; makes their names unique
    bool m_readable = false; ///< the last read of records succeeded
    bool m_writable = true; ///< the last write of a record succeeded
    Counters::Id m_runnersEnded;
    Counters::Id m_heldBack;
    Counters::Id m_segmentsHeldBack; ///< those of m_heldBack that are prompt segments
    Counters::Id m_records;
    Counters::Id m_recordsDropped;
    Counters::Id m_unwritten;
};

} // namespace fulmarlink
