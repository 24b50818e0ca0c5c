#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "fulmarlink/backoffrecord.h"
#include "fulmarlink/clock.h"
#include "fulmarlink/configuration.h"
#include "fulmarlink/crashrecord.h"
#include "fulmarlink/limitrecord.h"
#include "fulmarlink/livehosts.h"
#include "fulmarlink/malformeditems.h"
#include "fulmarlink/rankorders.h"
#include "fulmarlink/targettable.h"

namespace fulmarlink
{

class RunnerAnswerObserver;

/** The operator's configuration as read at one time. */
struct ConfigurationRead {
    std::error_code error;
    TimePoint began{}; ///< when the read began; the configuration read was in force at that time
    std::optional<Configuration> configuration; ///< absent: unchanged since the last read
};

struct TargetsRead {
    std::error_code error;
    bool changed = false; ///< false: unchanged since the last read, and targets is empty
    std::vector<TargetInfo> targets; ///< without the malformed entries
    std::vector<MalformedItem> malformed; ///< entries that name no runner to use
    TimePoint began{}; ///< when the read began; the list was current at that time
};

/** The records that entry hosts have written of themselves; the records of hosts that are gone remain. */
struct EntriesRead {
    std::error_code error;
    std::vector<EntryRecord> entries;
};

/** The lease of a rank group: its holder may send orders to the group. The holder measures the lease's expiry on its own clock. */
struct LeaseRecord {
    std::uint64_t revision = 0; ///< 0: there is no record
    std::string holder;
    std::uint64_t renewals = 0; ///< changes with each renewal, which shows the other hosts that the holder is alive
    std::vector<std::string> slowTargets; ///< ids of ranks that the holder has found to work far below their normal speed
};

struct LeaseRead {
    std::error_code error; ///< VersionConflict: another host wrote first, and record is that host's
    LeaseRecord record;
};

/** Records about runners that hosts share: runner crashes, and the request limits that runners have announced. */
struct SharedRecordsRead {
    std::error_code error; ///< StoreHistoryGone: read all records again with readSharedRecords()
    std::uint64_t revision = 0; ///< pass it to the next awaitSharedRecords()
    bool complete = false; ///< true: all existing records; false: only those that have changed
    std::vector<CrashRecord> crashes; ///< without malformed records; so are the other lists
    std::vector<LimitRecord> limits;
    std::vector<TargetIncarnation> malformedLimits; ///< incarnations whose limit record exists but can't be decoded
    std::vector<TargetIncarnation> removedLimits; ///< incarnations whose limit record has been removed
};

struct BackoffsRead {
    std::error_code error; ///< ObjectNotFound: the host has never written any
    std::vector<BackoffRecord> backoffs; ///< without those that could not be parsed
};

/**
 * Interface to the platform on which the product runs. Implementations only translate
 * calls; they make no decisions and keep no state except connections and the last read results.
 *
 * Errors: StoreUnavailable (nothing was done), StoreAnswerLost (a write may have taken
 * effect, now or later), VersionConflict, ObjectNotFound, StoreHistoryGone, ConfigurationInvalid,
 * AnswerUnreadable (an answer came, but what it says can't be read; a write has taken effect).
 */
class Platform
{
public:
    virtual ~Platform() = default;

    /** Linearizable as of ConfigurationRead::began, which may be before this call if the platform is slow. Reads are returned in their order. */
    virtual boost::asio::awaitable<ConfigurationRead> readConfiguration() = 0;
    /** The same as of TargetsRead::began. */
    virtual boost::asio::awaitable<TargetsRead> readTargets() = 0;
    /** Records that @p host is alive; @p renewals differs from that of the previous call. */
    virtual boost::asio::awaitable<std::error_code> renewEntry(std::string host, std::uint64_t renewals) = 0;
    /** The result may be seconds old. */
    virtual boost::asio::awaitable<EntriesRead> readEntries() = 0;
    /** With @p allowStale the read is cheaper but may be seconds old; a write based on a stale record is refused. */
    virtual boost::asio::awaitable<LeaseRead> readLease(std::string group, bool allowStale) = 0;
    /** Writes if the stored record still has @p record.revision; 0 requires that there is no record. */
    virtual boost::asio::awaitable<LeaseRead> writeLease(std::string group, LeaseRecord record) = 0;

    /** Linearizable. */
    virtual boost::asio::awaitable<SharedRecordsRead> readSharedRecords() = 0;
    /**
     * Returns the changes since @p revision as soon as there are any, or none after @p wait. A platform may omit some changes, so callers
     * also read all records from time to time.
     */
    virtual boost::asio::awaitable<SharedRecordsRead> awaitSharedRecords(std::uint64_t revision, std::chrono::milliseconds wait) = 0;
    /** VersionConflict: a record of that name exists already. */
    virtual boost::asio::awaitable<std::error_code> writeCrashRecord(CrashRecord record) = 0;
    virtual boost::asio::awaitable<std::error_code> removeCrashRecord(std::string name) = 0;
    /** Replaces the record of the same incarnation, if there is one. */
    virtual boost::asio::awaitable<std::error_code> writeLimitRecord(LimitRecord record) = 0;
    virtual boost::asio::awaitable<std::error_code> removeLimitRecord(TargetIncarnation incarnation) = 0;

    /** The backoffs that @p host has written last. Linearizable. */
    virtual boost::asio::awaitable<BackoffsRead> readBackoffs(std::string host) = 0;
    /** Replaces all backoffs of @p host. */
    virtual boost::asio::awaitable<std::error_code> writeBackoffs(std::string host, std::vector<BackoffRecord> backoffs) = 0;

    /** @p observer is notified of the head of each runner's answer to the calls below. It outlives this object; null removes it. */
    virtual void setAnswerObserver(RunnerAnswerObserver *observer) = 0;
    virtual boost::asio::awaitable<RankReportRead> readRankReport(TargetInfo target) = 0;
    virtual boost::asio::awaitable<ExpertCountsRead> readExpertCounts(TargetInfo target, unsigned layerSets) = 0;
    virtual boost::asio::awaitable<RankPlacementRead> readRankPlacement(TargetInfo target) = 0;
    virtual boost::asio::awaitable<OrderResult> order(TargetInfo target, RankOrder order) = 0;
};

} // namespace fulmarlink
