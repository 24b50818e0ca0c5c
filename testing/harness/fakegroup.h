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
    unsigned experts = 8; ///< of the one set
    unsigned placements = 3;
    std::chrono::milliseconds balancedPassTime{40}; ///< of a balanced group
    std::chrono::milliseconds copyTime{20}; ///< of all experts that are new to a rank
    std::chrono::milliseconds lastRankCopyDelay{0}; ///< more than that, on the last rank
    unsigned listedRanks = 4; ///< ranks that answer; the others have not come up yet
};

/**
 * A group of ranks in lock-step behind the Platform interface, in memory and in real time:
 * passes, counts, prepare, arm, hold and go, and a lease that nobody contends for.
 */
class FakeGroup final : public Platform
{
public:
    FakeGroup(boost::asio::io_context &context, FakeGroupOptions options);

    /** Passes from now on; @p onPassEnd is called at the end of each with its length. */
    void start(std::function<void(Duration)> onPassEnd);
    void stop();
    /** Demand: how often each expert is chosen, in any unit. */
    void setDemand(std::vector<double> demand);
    /** @p rank takes @p slowdown times as long for everything. */
    void setSlowdown(unsigned rank, double slowdown);
    std::vector<TargetInfo> targets() const;
    /** Busiest rank over mean with the map in use. */
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
    boost::asio::awaitable<std::error_code> removeLimitRecord(TargetIncarnation life) override;
    void setRunnerListener(RunnerAnswerObserver * /*its ranks say nothing of themselves*/) override
    {
    }
    boost::asio::awaitable<RankReportRead> readRankReport(TargetInfo target) override;
    boost::asio::awaitable<ExpertCountsRead> readExpertCounts(TargetInfo target, unsigned layerSets) override;
    boost::asio::awaitable<RankPlacementRead> readRankPlacement(TargetInfo target) override;
    boost::asio::awaitable<OrderResult> order(TargetInfo target, RankOrder order) override;

    LeaseRecord lease;
    bool leaseWritesTimeOut = false; ///< writes of the lease are not answered for a second, and not done
    unsigned switches = 0;
    unsigned countReads = 0; ///< times that a rank's counts were read
    unsigned reportReadsWhileHeld = 0; ///< reports that were read while a pass was held back
    bool usedMixedMaps = false; ///< a pass has begun with two maps: never

private:
    struct Rank {
        std::uint64_t map = 0;
        std::uint64_t prepared = 0;
        TimePoint preparedAt{};
        std::uint64_t armed = 0;
        std::uint64_t armedPass = 0;
        std::vector<std::uint64_t> counts;
    };

    boost::asio::awaitable<void> passes();
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
    std::vector<std::vector<ExpertId>> m_nextMap; ///< of the newest prepare
    std::vector<double> m_demand;
    std::vector<double> m_slowdowns;
    std::uint64_t m_pass = 0;
    std::optional<std::uint64_t> m_heldPass;
    bool m_stopped = false;
};

} // namespace fulmarlink::testing
