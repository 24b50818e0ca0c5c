#include "fulmarlink/guardedplatform.h"

#include "fulmarlink/log.h"
#include "fulmarlink/resultcode.h"
#include "fulmarlink/supervised.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

/** The result of a call that threw: a write may have taken effect, and nothing was read. */
template<typename Result>
Result failed()
{
    Result result;
    result.error = ResultCode::StoreAnswerLost;
    return result;
}

template<>
std::error_code failed<std::error_code>()
{
    return ResultCode::StoreAnswerLost;
}

template<>
OrderResult failed<OrderResult>()
{
    return OrderResult::Unknown;
}

} // namespace

GuardedPlatform::GuardedPlatform(std::unique_ptr<Platform> platform, Counters &counters)
    : m_platform(std::move(platform))
    , m_counters(counters)
    , m_exceptions(counters.registerCounter("fulmarlink_exceptions_total"))
{
}

GuardedPlatform::~GuardedPlatform() = default;

template<typename Result>
asio::awaitable<Result> GuardedPlatform::guarded(asio::awaitable<Result> call, const char *name)
{
    std::exception_ptr error;
    try {
        Result result = co_await std::move(call);
        co_return result;
    } catch (...) {
        error = std::current_exception();
    }
    m_counters.add(m_exceptions);
    logWarning("platform-call-broke-off", {{"call", name}, {"error", whatOf(error)}});
    co_return failed<Result>();
}

asio::awaitable<ConfigurationRead> GuardedPlatform::readConfiguration()
{
    return guarded(m_platform->readConfiguration(), "configuration");
}

asio::awaitable<TargetsRead> GuardedPlatform::readTargets()
{
    return guarded(m_platform->readTargets(), "targets");
}

asio::awaitable<std::error_code> GuardedPlatform::renewEntry(std::string host, std::uint64_t renewals)
{
    return guarded(m_platform->renewEntry(std::move(host), renewals), "renew-entry");
}

asio::awaitable<EntriesRead> GuardedPlatform::readEntries()
{
    return guarded(m_platform->readEntries(), "entries");
}

asio::awaitable<LeaseRead> GuardedPlatform::readLease(std::string group, bool allowStale)
{
    return guarded(m_platform->readLease(std::move(group), allowStale), "read-lease");
}

asio::awaitable<LeaseRead> GuardedPlatform::writeLease(std::string group, LeaseRecord record)
{
    return guarded(m_platform->writeLease(std::move(group), std::move(record)), "write-lease");
}

asio::awaitable<SharedRecordsRead> GuardedPlatform::readSharedRecords()
{
    return guarded(m_platform->readSharedRecords(), "read-shared-records");
}

asio::awaitable<SharedRecordsRead> GuardedPlatform::awaitSharedRecords(std::uint64_t revision, std::chrono::milliseconds wait)
{
    return guarded(m_platform->awaitSharedRecords(revision, wait), "await-shared-records");
}

asio::awaitable<std::error_code> GuardedPlatform::writeCrashRecord(CrashRecord record)
{
    return guarded(m_platform->writeCrashRecord(std::move(record)), "write-crash-record");
}

asio::awaitable<std::error_code> GuardedPlatform::removeCrashRecord(std::string name)
{
    return guarded(m_platform->removeCrashRecord(std::move(name)), "remove-crash-record");
}

asio::awaitable<std::error_code> GuardedPlatform::writeLimitRecord(LimitRecord record)
{
    return guarded(m_platform->writeLimitRecord(std::move(record)), "write-limit-record");
}

asio::awaitable<std::error_code> GuardedPlatform::removeLimitRecord(TargetIncarnation incarnation)
{
    return guarded(m_platform->removeLimitRecord(std::move(incarnation)), "remove-limit-record");
}

asio::awaitable<BackoffsRead> GuardedPlatform::readBackoffs(std::string host)
{
    return guarded(m_platform->readBackoffs(std::move(host)), "read-backoffs");
}

asio::awaitable<std::error_code> GuardedPlatform::writeBackoffs(std::string host, std::vector<BackoffRecord> backoffs)
{
    return guarded(m_platform->writeBackoffs(std::move(host), std::move(backoffs)), "write-backoffs");
}

void GuardedPlatform::setAnswerObserver(RunnerAnswerObserver *observer)
{
    m_platform->setAnswerObserver(observer);
}

asio::awaitable<RankReportRead> GuardedPlatform::readRankReport(TargetInfo target)
{
    return guarded(m_platform->readRankReport(std::move(target)), "report");
}

asio::awaitable<ExpertCountsRead> GuardedPlatform::readExpertCounts(TargetInfo target, unsigned layerSets)
{
    return guarded(m_platform->readExpertCounts(std::move(target), layerSets), "counts");
}

asio::awaitable<RankPlacementRead> GuardedPlatform::readRankPlacement(TargetInfo target)
{
    return guarded(m_platform->readRankPlacement(std::move(target)), "placement");
}

asio::awaitable<OrderResult> GuardedPlatform::order(TargetInfo target, RankOrder order)
{
    return guarded(m_platform->order(std::move(target), std::move(order)), "order");
}

} // namespace fulmarlink
