// A thing that ends whoever takes it, and is handed to the next: a request that breaks its
// handler at one gateway after the other, an object of the store that breaks each host that
// reads it. An exception there must cost that request or that reading alone.

#include <boost/json/serialize.hpp>
#include <random>
#include <stdexcept>

#include "platform/configurationdecoder.h"
#include "platform/crashcodec.h"
#include "platform/rankcodec.h"
#include "testing/harness/gatewayfixture.h"

namespace fulmarlink::testing
{

namespace
{

/** Requests whose path contains "broken-reading" or "broken-writing" break the translation there. */
class BrokenProtocol final : public CallerProtocol
{
public:
    CallerRequest readRequest(const HttpRequest &request) const override
    {
        breakOn(request, "broken-reading");
        return m_sound.readRequest(request);
    }

    void writeRequest(HttpRequest &request, const RunnerRequest &extra) const override
    {
        breakOn(request, "broken-writing");
        m_sound.writeRequest(request, extra);
    }

    RunnerAnswer readAnswer(unsigned status, const Fields &head) const override
    {
        return m_sound.readAnswer(status, head);
    }

    void copyAnswerHead(const Fields &from, Fields &to) const override
    {
        m_sound.copyAnswerHead(from, to);
    }

    void writeOwnAnswer(Fields &head, std::string_view attemptId, std::optional<Duration> retryAfter) const override
    {
        m_sound.writeOwnAnswer(head, attemptId, retryAfter);
    }

private:
    static void breakOn(const HttpRequest &request, const std::string &word)
    {
        if (std::string(request.target()).find(word) != std::string::npos) {
            throw std::runtime_error("a request that nobody thought of");
        }
    }

    PlatformProtocol m_sound;
};

/** Each kind of reading breaks when it is told to, once. */
class BrokenPlatform final : public Platform
{
public:
    explicit BrokenPlatform(std::unique_ptr<Platform> sound)
        : m_sound(std::move(sound))
    {
    }

    asio::awaitable<ConfigurationRead> readConfiguration() override
    {
        breakIfTold(breakConfiguration);
        co_return co_await m_sound->readConfiguration();
    }

    asio::awaitable<TargetsRead> readTargets() override
    {
        breakIfTold(breakTargets);
        co_return co_await m_sound->readTargets();
    }

    asio::awaitable<std::error_code> renewEntry(std::string host, std::uint64_t renewals) override
    {
        return m_sound->renewEntry(std::move(host), renewals);
    }

    asio::awaitable<EntriesRead> readEntries() override
    {
        breakIfTold(breakEntries);
        co_return co_await m_sound->readEntries();
    }

    asio::awaitable<LeaseRead> readLease(std::string group, bool allowStale) override
    {
        breakIfTold(breakLease);
        co_return co_await m_sound->readLease(std::move(group), allowStale);
    }

    asio::awaitable<LeaseRead> writeLease(std::string group, LeaseRecord record) override
    {
        return m_sound->writeLease(std::move(group), std::move(record));
    }

    asio::awaitable<SharedRecordsRead> readSharedRecords() override
    {
        breakIfTold(breakCrashRecords);
        co_return co_await m_sound->readSharedRecords();
    }

    asio::awaitable<SharedRecordsRead> awaitSharedRecords(std::uint64_t revision, std::chrono::milliseconds wait) override
    {
        breakIfTold(breakCrashRecords);
        co_return co_await m_sound->awaitSharedRecords(revision, std::min(wait, 200ms));
    }

    asio::awaitable<std::error_code> writeCrashRecord(CrashRecord record) override
    {
        breakIfTold(breakCrashWrites);
        co_return co_await m_sound->writeCrashRecord(std::move(record));
    }

    asio::awaitable<std::error_code> removeCrashRecord(std::string name) override
    {
        return m_sound->removeCrashRecord(std::move(name));
    }

    asio::awaitable<std::error_code> writeLimitRecord(LimitRecord record) override
    {
        return m_sound->writeLimitRecord(std::move(record));
    }

    asio::awaitable<std::error_code> removeLimitRecord(TargetIncarnation life) override
    {
        return m_sound->removeLimitRecord(std::move(life));
    }

    void setRunnerListener(RunnerListener *listener) override
    {
        m_sound->setRunnerListener(listener);
    }

    asio::awaitable<RankReportRead> readRankReport(TargetInfo target) override
    {
        breakIfTold(breakReports);
        co_return co_await m_sound->readRankReport(std::move(target));
    }

    asio::awaitable<ExpertCountsRead> readExpertCounts(TargetInfo target, unsigned layerSets) override
    {
        return m_sound->readExpertCounts(std::move(target), layerSets);
    }

    asio::awaitable<RankPlacementRead> readRankPlacement(TargetInfo target) override
    {
        breakIfTold(breakPlacements);
        co_return co_await m_sound->readRankPlacement(std::move(target));
    }

    asio::awaitable<OrderResult> order(TargetInfo target, RankOrder order) override
    {
        return m_sound->order(std::move(target), std::move(order));
    }

    bool breakConfiguration = false;
    bool breakTargets = false;
    bool breakEntries = false;
    bool breakLease = false;
    bool breakCrashRecords = false;
    bool breakCrashWrites = false;
    bool breakReports = false;
    bool breakPlacements = false;

private:
    static void breakIfTold(bool &told)
    {
        if (std::exchange(told, false)) {
            throw std::out_of_range("an object that nobody thought of");
        }
    }

    std::unique_ptr<Platform> m_sound;
};

class FaultIsolation : public GatewayTest
{
public:
    void startBroken()
    {
        PlatformClientOptions options;
        options.store = settings.store;
        auto broken = std::make_unique<BrokenPlatform>(std::make_unique<PlatformClient>(context.get_executor(), clock, counters, options));
        platform = broken.get();
        GatewayEdges edges;
        edges.protocol = std::make_unique<BrokenProtocol>();
        edges.platform = std::move(broken);
        settings.leavingBound = 500ms;
        settings.configurationBound = 500ms;
        gateway = std::make_unique<Gateway>(context, settings, counters, std::move(edges));
        gateway->start();
        ASSERT_TRUE(runUntil(
            [this] {
                return gateway->ready();
            },
            5s));
    }

    BrokenPlatform *platform = nullptr;
};

} // namespace

TEST_F(FaultIsolation, ARequestThatBreaksItsHandlerEndsAlone)
{
    startBroken();
    for (unsigned i = 0; i < 5; ++i) {
        EXPECT_NE(ask(request("/again/broken-reading"), 500ms).status, 200U);
        EXPECT_NE(ask(request("/again/broken-writing"), 500ms).status, 200U);
        EXPECT_EQ(ask(request("/again/fine")).status, 200U);
    }
    gateway->startDrain();
    EXPECT_TRUE(runUntil(
        [this] {
            return gateway->drained();
        },
        4s))
        << "what broke off counts as unanswered for ever";
}

TEST_F(FaultIsolation, AReadingThatBreaksIsDoneAgain)
{
    joinGroups("north", "south");
    startBroken();
    context.run_for(600ms);
    for (bool *told : {&platform->breakConfiguration,
                       &platform->breakTargets,
                       &platform->breakEntries,
                       &platform->breakLease,
                       &platform->breakCrashRecords,
                       &platform->breakReports,
                       &platform->breakPlacements}) {
        *told = true;
    }
    context.run_for(3000ms);
    json::value next = json::parse(kConfiguration);
    next.at("version") = 9;
    next.at("tenants") = json::parse(R"([{"name":"new","api_keys":["fresh"]}])");
    store.set("config", "main", next);
    store.remove("servers", "i-a");
    EXPECT_TRUE(runUntil(
        [this] {
            return ask(request("/once/x", "fresh")).status == 200 && counters.text().find("fulmarlink_rules_version 9\n") != std::string::npos;
        },
        4s));
    context.run_for(1000ms);
    EXPECT_TRUE(gateway->ready()) << "readings of the configuration go on";
    a.seen.clear();
    for (unsigned i = 0; i < 10; ++i) {
        EXPECT_EQ(ask(request("/once/x", "fresh")).status, 200U);
    }
    EXPECT_TRUE(a.seen.empty()) << "readings of the list go on";
}

TEST_F(FaultIsolation, AKeeperOfMapsThatBreaksIsReplaced)
{
    joinGroups("north", "south");
    startBroken();
    const auto owned = [this] {
        return counters.text().find("fulmarlink_map_leader 2\n") != std::string::npos;
    };
    ASSERT_TRUE(runUntil(owned, 6s));
    platform->breakLease = true;
    context.run_for(300ms);
    platform->breakPlacements = true;
    platform->breakReports = true;
    context.run_for(4000ms);
    EXPECT_TRUE(runUntil(owned, 10s));
    EXPECT_EQ(ask(request("/again/fine")).status, 200U);
}

namespace
{

/** Values that other writers may put where numbers, texts or lists belong. */
json::value oddValue(std::mt19937 &random)
{
    static const json::array kOdd = [] {
        json::array odd = json::parse(R"([null, true, -1, 0, 1e308, -1e308, 0.5, "", "text", [], [[[]], 1, "x"], {}, {"a": {}}])").as_array();
        odd.emplace_back(std::numeric_limits<std::int64_t>::min());
        odd.emplace_back(std::numeric_limits<std::uint64_t>::max());
        odd.emplace_back("\xff\xfe");
        odd.emplace_back(std::string(5000, 'x'));
        return odd;
    }();
    return kOdd[random() % kOdd.size()];
}

/** Replaces, drops or repeats a few parts of @p value. */
void spoil(json::value &value, std::mt19937 &random)
{
    if (random() % 6 == 0) {
        value = oddValue(random);
        return;
    }
    if (json::object *object = value.if_object()) {
        for (auto &field : *object) {
            if (random() % 3 == 0) {
                spoil(field.value(), random);
            }
        }
        if (!object->empty() && random() % 4 == 0) {
            object->erase(std::string(object->begin()->key()));
        }
    } else if (json::array *array = value.if_array()) {
        for (json::value &item : *array) {
            if (random() % 3 == 0) {
                spoil(item, random);
            }
        }
        if (!array->empty() && random() % 4 == 0) {
            array->push_back(array->front());
        }
    }
}

const char *const kRunnerEntry
    = R"({"service":"plain","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"call_seq":0,"born":5,"stage":"unified","models":[{"name":"m","version":1}]})";
const char *const kReport
    = R"({"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":8,"busy":false,"call_seq":0,"pace":1.0,"step":3,"map":0,"prepared":{"version":4},"armed":{"version":4,"step":9},"held":12,"born":7})";
const char *const kCounts = R"({"step":3,"epoch":1,"counts":[[1,2,3],[4,5,6]],"born":7})";
const char *const kPlacement = R"({"step":3,"epoch":1,"map":{"version":4,"experts":[[0,1],[2,3]]},"prepared":{"version":5,"experts":[[0,1],[2,3]]}})";
const char *const kCrash
    = R"({"kind":"crash","host":"h","written_ms":5,"lives":[{"target":"i","born":3}],"suspects":[{"fingerprint":"000000000000000000000000000000000000000000000000","customer":"c","route":"r","answering":true}]})";

} // namespace

TEST(FaultIsolationDecoders, ReadWhateverStandsInTheStoreWithoutAnException)
{
    std::mt19937 random(21);
    for (unsigned play = 0; play < 20'000; ++play) {
        json::value configuration = json::parse(kConfiguration);
        json::value entry = json::parse(kRunnerEntry);
        json::value report = json::parse(kReport);
        json::value counts = json::parse(kCounts);
        json::value placement = json::parse(kPlacement);
        json::value crash = json::parse(kCrash);
        for (json::value *value : {&configuration, &entry, &report, &counts, &placement, &crash}) {
            spoil(*value, random);
        }
        std::string problem;
        std::error_code error;
        ASSERT_NO_THROW(decodeConfiguration(configuration, problem)) << json::serialize(configuration);
        ASSERT_NO_THROW(decodeTarget("i-1", entry, problem)) << json::serialize(entry);
        ASSERT_NO_THROW(decodeReport(report, error)) << json::serialize(report);
        ASSERT_NO_THROW(decodeCounts(counts, 2)) << json::serialize(counts);
        ASSERT_NO_THROW(decodePlacement(placement)) << json::serialize(placement);
        ASSERT_NO_THROW(decodeCrashRecord("name", crash, problem)) << json::serialize(crash);
    }
}

} // namespace fulmarlink::testing
