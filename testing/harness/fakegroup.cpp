#include "testing/harness/fakegroup.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <numeric>

#include "fulmarlink/expertplanner.h"
#include "fulmarlink/resultcode.h"

namespace fulmarlink::testing
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint64_t kEpoch = 1;
constexpr double kSelectionsPerPass = 4000; ///< expert selections of one rank

} // namespace

FakeGroup::FakeGroup(asio::io_context &context, FakeGroupOptions options)
    : m_context(context)
    , m_options(options)
    , m_ranks(options.ranks)
    , m_map(options.ranks)
    , m_demand(options.experts, 1)
    , m_slowdowns(options.ranks, 1)
{
    for (Rank &rank : m_ranks) {
        rank.counts.resize(options.experts);
    }
    for (unsigned slot = 0; slot < options.ranks * options.placements; ++slot) {
        const unsigned expert = slot % options.experts;
        auto &held = m_map[slot % options.ranks];
        if (std::ranges::find(held, expert) == held.end()) {
            held.push_back(static_cast<ExpertId>(expert));
        }
    }
}

TimePoint FakeGroup::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

void FakeGroup::start(std::function<void(Duration)> onPassEnd)
{
    m_onPassEnd = std::move(onPassEnd);
    asio::co_spawn(m_context, runPasses(), asio::detached);
}

void FakeGroup::stop()
{
    m_stopped = true;
}

void FakeGroup::setDemand(std::vector<double> demand)
{
    m_demand = std::move(demand);
}

void FakeGroup::setSlowdown(unsigned rank, double slowdown)
{
    m_slowdowns[rank] = slowdown;
}

std::vector<TargetInfo> FakeGroup::targets() const
{
    std::vector<TargetInfo> result;
    for (unsigned rank = 0; rank < m_options.listedRanks; ++rank) {
        TargetInfo info;
        info.id = "rank-" + std::to_string(rank);
        info.pool = "model";
        info.slots = 8;
        result.push_back(info);
    }
    return result;
}

double FakeGroup::imbalance() const
{
    return setImbalance(m_map, m_demand, m_slowdowns);
}

void FakeGroup::beginPass()
{
    ++m_pass;
    for (Rank &rank : m_ranks) {
        if (rank.armedVersion != 0 && rank.armedPass == m_pass) {
            rank.mapVersion = rank.armedVersion;
            rank.armedVersion = 0;
            m_map = m_nextMap;
        }
    }
    switches += m_ranks.front().mapVersion != m_ranks.back().mapVersion || m_ranks.front().mapVersion == 0 ? 0 : 1;
    usedMixedMaps = usedMixedMaps || std::ranges::any_of(m_ranks, [&](const Rank &rank) {
                        return rank.mapVersion != m_ranks.front().mapVersion;
                    });
    const double total = std::accumulate(m_demand.begin(), m_demand.end(), 0.0);
    for (Rank &rank : m_ranks) {
        for (unsigned expert = 0; expert < m_options.experts; ++expert) {
            rank.counts[expert] += static_cast<std::uint64_t>(kSelectionsPerPass * m_demand[expert] / total);
        }
    }
}

asio::awaitable<void> FakeGroup::runPasses()
{
    boost::system::error_code ignored; // the timer is never cancelled
    asio::steady_timer timer(m_context);
    while (!m_stopped) {
        const TimePoint passStart = now();
        while (m_heldPass == m_pass + 1) {
            timer.expires_after(std::chrono::milliseconds(1));
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        beginPass();
        timer.expires_after(std::chrono::duration_cast<std::chrono::microseconds>(m_options.balancedPassTime * imbalance()));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_onPassEnd(now() - passStart);
    }
}

unsigned FakeGroup::rankOf(const TargetInfo &target) const
{
    return static_cast<unsigned>(std::stoul(target.id.substr(target.id.find('-') + 1)));
}

asio::awaitable<ConfigurationRead> FakeGroup::readConfiguration()
{
    co_return ConfigurationRead{ResultCode::StoreUnavailable, {}, {}};
}

asio::awaitable<TargetsRead> FakeGroup::readTargets()
{
    co_return TargetsRead{{}, true, targets()};
}

asio::awaitable<std::error_code> FakeGroup::renewEntry(std::string /*host*/, std::uint64_t /*renewals*/)
{
    co_return std::error_code();
}

asio::awaitable<SharedRecordsRead> FakeGroup::readSharedRecords()
{
    co_return SharedRecordsRead();
}

asio::awaitable<SharedRecordsRead> FakeGroup::awaitSharedRecords(std::uint64_t /*revision*/, std::chrono::milliseconds /*wait*/)
{
    co_return SharedRecordsRead();
}

asio::awaitable<std::error_code> FakeGroup::writeCrashRecord(CrashRecord /*record*/)
{
    co_return std::error_code();
}

asio::awaitable<std::error_code> FakeGroup::removeCrashRecord(std::string /*name*/)
{
    co_return std::error_code();
}

asio::awaitable<std::error_code> FakeGroup::writeLimitRecord(LimitRecord /*record*/)
{
    co_return std::error_code();
}

asio::awaitable<std::error_code> FakeGroup::removeLimitRecord(TargetIncarnation /*incarnation*/)
{
    co_return std::error_code();
}

asio::awaitable<BackoffsRead> FakeGroup::readBackoffs(std::string /*host*/)
{
    co_return BackoffsRead{};
}

asio::awaitable<std::error_code> FakeGroup::writeBackoffs(std::string /*host*/, std::vector<BackoffRecord> /*backoffs*/)
{
    co_return std::error_code();
}

asio::awaitable<EntriesRead> FakeGroup::readEntries()
{
    co_return EntriesRead();
}

asio::awaitable<LeaseRead> FakeGroup::readLease(std::string /*group*/, bool /*allowStale*/)
{
    co_return LeaseRead{{}, lease};
}

asio::awaitable<LeaseRead> FakeGroup::writeLease(std::string /*group*/, LeaseRecord record)
{
    if (leaseWritesTimeOut) {
        boost::system::error_code ignored; // the timer is never cancelled
        asio::steady_timer timer(m_context, std::chrono::seconds(1));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return LeaseRead{ResultCode::StoreAnswerLost, {}};
    }
    ++record.revision;
    lease = record;
    co_return LeaseRead{{}, record};
}

asio::awaitable<RankReportRead> FakeGroup::readRankReport(TargetInfo target)
{
    const unsigned index = rankOf(target);
    const Rank &rank = m_ranks[index];
    RankReportRead read;
    read.report.group = "g";
    read.report.epoch = kEpoch;
    read.report.rank = index;
    read.report.size = m_options.ranks;
    read.report.open = true;
    read.report.pass = m_pass;
    read.report.mapVersion = rank.mapVersion;
    read.report.preparedVersion = now() >= rank.preparedAt ? rank.preparedVersion : 0;
    read.report.slowdown = m_slowdowns[index];
    read.report.armedVersion = rank.armedVersion;
    read.report.armedPass = rank.armedPass;
    read.report.heldPass = index == 0 ? m_heldPass : std::nullopt;
    reportReadsWhileHeld += m_heldPass ? 1 : 0;
    co_return read;
}

asio::awaitable<ExpertCountsRead> FakeGroup::readExpertCounts(TargetInfo target, unsigned /*layerSets*/)
{
    ++countReads;
    ExpertCountsRead read;
    read.epoch = kEpoch;
    read.pass = m_pass;
    read.counts = {m_ranks[rankOf(target)].counts};
    co_return read;
}

asio::awaitable<RankPlacementRead> FakeGroup::readRankPlacement(TargetInfo target)
{
    RankPlacementRead read;
    read.version = m_ranks.front().mapVersion;
    read.experts = {m_map[rankOf(target)]};
    co_return read;
}

OrderResult FakeGroup::prepare(unsigned rank, const RankOrder &order)
{
    Rank &state = m_ranks[rank];
    if (order.version <= state.preparedVersion || state.armedVersion != 0) {
        return OrderResult::Refused;
    }
    const bool isLastRank = rank + 1 == m_options.ranks;
    state.preparedVersion = order.version;
    state.preparedAt = now() + m_options.copyTime + (isLastRank ? m_options.lastRankCopyDelay : std::chrono::milliseconds(0));
    m_nextMap = order.map.front();
    return OrderResult::Accepted;
}

OrderResult FakeGroup::arm(Rank &rank, const RankOrder &order) const
{
    const bool isPrepared = rank.preparedVersion == order.version && now() >= rank.preparedAt;
    if (!isPrepared || order.pass <= m_pass) {
        return OrderResult::Refused;
    }
    rank.armedVersion = order.version;
    rank.armedPass = order.pass;
    return OrderResult::Accepted;
}

asio::awaitable<OrderResult> FakeGroup::order(TargetInfo target, RankOrder order)
{
    Rank &rank = m_ranks[rankOf(target)];
    OrderResult result = OrderResult::Refused;
    switch (order.kind) {
    case RankOrderKind::Prepare:
        result = prepare(rankOf(target), order);
        break;
    case RankOrderKind::Arm:
        result = arm(rank, order);
        break;
    case RankOrderKind::Hold:
        if (order.pass > m_pass) {
            m_heldPass = order.pass;
            result = OrderResult::Accepted;
        }
        break;
    case RankOrderKind::Release:
        m_heldPass.reset();
        result = OrderResult::Accepted;
        break;
    }
    co_return result;
}

} // namespace fulmarlink::testing
