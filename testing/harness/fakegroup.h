#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "fulmarlink/platform.h"

namespace fulmarlink::testing
{

struct FakeGroupOptions {
    unsigned ranks = 4;
    unsigned experts = 8; ///< in the only layer set
    unsigned placements = 3;
    std::chrono::milliseconds balancedPassTime{40}; ///< duration of a pass while the load is balanced
    std::chrono::milliseconds copyTime{20}; ///< time to copy all experts that are new to a rank
    std::chrono::milliseconds lastRankCopyDelay{0}; ///< additional copy time on the last rank
    unsigned listedRanks = 4; ///< ranks that are listed as targets; the others have not started yet
};

/**
 * In-memory, real-time implementation of Platform for one group of ranks that run in lockstep:
 * passes, expert counts, the orders prepare, arm, hold and release, and an uncontended lease.
 */
class FakeGroup final : public Platform
{
public:
    FakeGroup(boost::asio::io_context &context, FakeGroupOptions options);

    /** Starts running passes; @p onPassEnd is called at the end of each pass with its duration. */
    void start(std::function<void(Duration)> onPassEnd);
    void stop();
    /** Sets how often each expert is selected, in arbitrary units. */
    void setDemand(std::vector<double> demand);
    /** Makes all work of @p rank take @p slowdown times as long. */
    void setSlowdown(unsigned rank, double slowdown);
    std::vector<TargetInfo> targets() const;
    /** Load of the busiest rank divided by the mean, with the map in use. */
    double imbalance() const;

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
    void setAnswerObserver(RunnerAnswerObserver * /*its ranks send no runner answers*/) override
    {
    }
    boost::asio::awaitable<RankReportRead> readRankReport(TargetInfo target) override;
    boost::asio::awaitable<ExpertCountsRead> readExpertCounts(TargetInfo target, unsigned layerSets) override;
    boost::asio::awaitable<RankPlacementRead> readRankPlacement(TargetInfo target) override;
    boost::asio::awaitable<OrderResult> order(TargetInfo target, RankOrder order) override;

    LeaseRecord lease;
    bool leaseWritesTimeOut = false; ///< lease writes have no effect and time out after a second
    unsigned switches = 0;
    unsigned countReads = 0; ///< number of reads of expert counts
    unsigned reportReadsWhileHeld = 0; ///< number of report reads while a pass was held
    bool usedMixedMaps = false; ///< a pass began with two maps, which must never happen

private:
    struct Rank {
        std::uint64_t mapVersion = 0;
        std::uint64_t preparedVersion = 0;
        TimePoint preparedAt{};
        std::uint64_t armedVersion = 0;
        std::uint64_t armedPass = 0;
        std::vector<std::uint64_t> counts;
    };

    boost::asio::awaitable<void> runPasses();
    void beginPass();
    unsigned rankOf(const TargetInfo &target) const;
    TimePoint now() const;
    OrderResult prepare(unsigned rank, const RankOrder &order);
    OrderResult arm(Rank &rank, const RankOrder &order) const;

    boost::asio::io_context &m_context;
    const FakeGroupOptions m_options;
    std::function<void(Duration)> m_onPassEnd;
    std::vector<Rank> m_ranks;
    std::vector<std::vector<ExpertId>> m_map; ///< in use, by rank
    std::vector<std::vector<ExpertId>> m_nextMap; ///< map of the newest prepare order, by rank
    std::vector<double> m_demand;
    std::vector<double> m_slowdowns;
    std::uint64_t m_pass = 0;
    std::optional<std::uint64_t> m_heldPass;
    bool m_stopped = false;
};

} // namespace fulmarlink::testing
