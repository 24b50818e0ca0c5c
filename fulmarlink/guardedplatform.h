#pragma once

#include <memory>

#include "fulmarlink/counters.h"
#include "fulmarlink/platform.h"

namespace fulmarlink
{

/**
 * A platform whose calls never throw: an exception inside a call becomes that call's
 * error, and is logged and counted.
 *
 * The usual cause of an exception is an object that another writer has stored. It affects
 * every host and persists across restarts. The callers wait for several calls at once and
 * hold leases meanwhile, so an exception would leave them waiting forever.
 */
class GuardedPlatform final : public Platform
{
public:
    /** @p counters must outlive this object. */
    GuardedPlatform(std::unique_ptr<Platform> platform, Counters &counters);
    ~GuardedPlatform() override;

    boost::asio::awaitable<ConfigurationRead> readConfiguration() override;
    boost::asio::awaitable<TargetsRead> readTargets() override;
    boost::asio::awaitable<std::error_code> renewEntry(std::string host, std::uint64_t renewals) override;
    boost::asio::awaitable<EntriesRead> readEntries() override;
    boost::asio::awaitable<LeaseRead> readLease(std::string group, bool allowStale) override;
    boost::asio::awaitable<LeaseRead> writeLease(std::string group, LeaseRecord record) override;
    boost::asio::awaitable<SharedRecordsRead> readSharedRecords() override;
    boost::asio::awaitable<SharedRecordsRead> awaitSharedRecords(std::uint64_t revision, std::chrono::milliseconds wait) override;
    boost::asio::awaitable<std::error_code> writeCrashRecord(CrashRecord record) override;
    boost::asio::awaitable<std::error_code> removeCrashRecord(std::string name) override;
    boost::asio::awaitable<std::error_code> writeLimitRecord(LimitRecord record) override;
    boost::asio::awaitable<std::error_code> removeLimitRecord(TargetIncarnation incarnation) override;
    boost::asio::awaitable<BackoffsRead> readBackoffs(std::string host) override;
    boost::asio::awaitable<std::error_code> writeBackoffs(std::string host, std::vector<BackoffRecord> backoffs) override;
    void setAnswerObserver(RunnerAnswerObserver *observer) override;
    boost::asio::awaitable<RankReportRead> readRankReport(TargetInfo target) override;
    boost::asio::awaitable<ExpertCountsRead> readExpertCounts(TargetInfo target, unsigned layerSets) override;
    boost::asio::awaitable<RankPlacementRead> readRankPlacement(TargetInfo target) override;
    boost::asio::awaitable<OrderResult> order(TargetInfo target, RankOrder order) override;

private:
    template<typename Result>
    boost::asio::awaitable<Result> guarded(boost::asio::awaitable<Result> call, const char *name);

    std::unique_ptr<Platform> m_platform;
    Counters &m_counters;
    Counters::Id m_exceptions;
};

} // namespace fulmarlink
