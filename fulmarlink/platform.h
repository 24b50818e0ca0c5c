#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/configuration.h"
#include "fulmarlink/crashrecord.h"
#include "fulmarlink/limitrecord.h"
#include "fulmarlink/livehosts.h"
#include "fulmarlink/rankorders.h"
#include "fulmarlink/targettable.h"

namespace fulmarlink
{

class RunnerAnswerObserver;

/** The operator's configuration as read at one time. */
struct ConfigurationRead {
    std::error_code error;
    TimePoint began{}; ///< when the read began; what it shows was in force then
    std::optional<Configuration> configuration; ///< absent: the same as the last read gave
};

struct TargetsRead {
    std::error_code error;
    bool changed = false; ///< false: the same as the last read gave, and targets is empty
    std::vector<TargetInfo> targets; ///< entries that could not be understood are left out
};

/** The entry hosts that have written of themselves; those that are gone stay in it. */
struct EntriesRead {
    std::error_code error;
    std::vector<EntryRecord> entries;
};

/** Who may give orders to a group, until when by the holder's own clock. */
struct LeaseRecord {
    std::uint64_t revision = 0; ///< 0: there is no record
    std::string holder;
    std::uint64_t renewals = 0; ///< changes with each renewal, so that the others see that the holder lives
    std::vector<std::string> slowTargets; ///< ids of ranks that work far below their speed, as the holder knows
};

struct LeaseRead {
    std::error_code error; ///< VersionConflict: somebody else was faster, and record is theirs
    LeaseRecord record;
};

/** What hosts tell each other of runners: their ends, and the limits that they have named. */
struct SharedRecordsRead {
    std::error_code error; ///< StoreHistoryGone: read all of them anew
    std::uint64_t revision = 0; ///< to go on from
    bool complete = false; ///< all records that there are; false: those that have changed
    std::vector<CrashRecord> crashes; ///< those that could not be understood are left out, here and below
    std::vector<LimitRecord> limits;
    std::vector<TargetIncarnation> removedLimits; ///< whose record has been removed
};

/**
 * What the product needs from the platform on which it runs. Implementations only
 * translate; they decide nothing and keep no state but connections and what was read last.
 *
 * Errors: StoreUnavailable (nothing was done), StoreAnswerLost (a write may have taken
 * effect, now or later), VersionConflict, ObjectNotFound, StoreHistoryGone, ConfigurationInvalid.
 */
class Platform
{
public:
    virtual ~Platform() = default;

    /** Linearizable. */
    virtual boost::asio::awaitable<ConfigurationRead> readConfiguration() = 0;
    /** Linearizable. */
    virtual boost::asio::awaitable<TargetsRead> readTargets() = 0;
    /** Writes that @p host lives; @p renewals differs from the time before. */
    virtual boost::asio::awaitable<std::error_code> renewEntry(std::string host, std::uint64_t renewals) = 0;
    /** May be seconds old. */
    virtual boost::asio::awaitable<EntriesRead> readEntries() = 0;
    /** @p allowStale: cheaper, and may be seconds old; a write on what it shows is refused if it was. */
    virtual boost::asio::awaitable<LeaseRead> readLease(std::string group, bool allowStale) = 0;
    /** Writes if the record still has @p record.revision; 0 demands that there is none. */
    virtual boost::asio::awaitable<LeaseRead> writeLease(std::string group, LeaseRecord record) = 0;

    /** Linearizable. */
    virtual boost::asio::awaitable<SharedRecordsRead> readSharedRecords() = 0;
    /** Those that have come since @p revision, as soon as there are any, or none after @p wait. A platform may leave out some: read all now and then. */
    virtual boost::asio::awaitable<SharedRecordsRead> awaitSharedRecords(std::uint64_t revision, std::chrono::milliseconds wait) = 0;
    /** VersionConflict: a record of that name is there already. */
    virtual boost::asio::awaitable<std::error_code> writeCrashRecord(CrashRecord record) = 0;
    virtual boost::asio::awaitable<std::error_code> removeCrashRecord(std::string name) = 0;
    /** Takes the place of the record of the same incarnation, if there is one. */
    virtual boost::asio::awaitable<std::error_code> writeLimitRecord(LimitRecord record) = 0;
    virtual boost::asio::awaitable<std::error_code> removeLimitRecord(TargetIncarnation incarnation) = 0;

    /** Told of the head of each answer of a runner to the calls below; outlives this, null: nobody. */
    virtual void setAnswerObserver(RunnerAnswerObserver *observer) = 0;
    virtual boost::asio::awaitable<RankReportRead> readRankReport(TargetInfo target) = 0;
    virtual boost::asio::awaitable<ExpertCountsRead> readExpertCounts(TargetInfo target, unsigned layerSets) = 0;
    virtual boost::asio::awaitable<RankPlacementRead> readRankPlacement(TargetInfo target) = 0;
    virtual boost::asio::awaitable<OrderResult> order(TargetInfo target, RankOrder order) = 0;
};

} // namespace fulmarlink
