// A gateway with a pool whose runners form two rank groups: a failure of one group must not
// cause refused, stopped or slow requests in the other.

#include "testing/harness/gatewayfixture.h"

namespace fulmarlink::testing
{

namespace
{

class GatewayGroupsTest : public GatewayTest
{
public:
    /** Starts with each runner as a group of its own. */
    void startGroups()
    {
        reportGroups("north", "south");
        start();
        ASSERT_TRUE(runUntil(
            [this] {
                return store.has("fulmarlink-leases", "plain.north") && store.has("fulmarlink-leases", "plain.south");
            },
            4s));
    }

    void setAct(PlatformRunner &runner, RunnerAct act)
    {
        runner.act = [act](const HttpRequest &) {
            return act;
        };
    }

    unsigned countAnswered(unsigned requests, const std::string &path)
    {
        unsigned count = 0;
        for (unsigned i = 0; i < requests; ++i) {
            count += ask(request(path)).status == 200 ? 1 : 0;
        }
        return count;
    }
};

} // namespace

// When a rank is lost, its whole group refuses all requests for seconds.
TEST_F(GatewayGroupsTest, GroupThatRefusesEverythingLeavesTheOtherAvailable)
{
    startGroups();
    setAct(a, RunnerAct::Refuse);
    EXPECT_EQ(countAnswered(20, "/once/x"), 20U);
    const std::size_t attempts = a.receivedRequests.size();
    EXPECT_LE(attempts, 12U) << "after a few refusals only one request per 150 ms probes whether the group has recovered";
    setAct(a, RunnerAct::Answer);
    EXPECT_TRUE(runUntil(
        [this] {
            return ask(request("/once/x")).status == 200 && !a.attemptsRun.empty();
        },
        3s));
}

// When a rank is lost during a stream, the other ranks of its group can't continue the stream either.
TEST_F(GatewayGroupsTest, StreamCutByAFailedGroupContinuesInAnotherGroup)
{
    startGroups();
    bool cut = false;
    for (PlatformRunner *runner : {&a, &b}) {
        runner->act = [&cut](const HttpRequest &) {
            return std::exchange(cut, true) ? RunnerAct::Answer : RunnerAct::CutStream;
        };
    }
    const Answer answer = ask(request("/stream/x"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(a.attemptsRun.size(), 1U);
    EXPECT_EQ(b.attemptsRun.size(), 1U);
}

// During a rolling update, a host of the earlier version, which supports one group per pool, may run at the same time.
TEST_F(GatewayGroupsTest, LeaseOfThePoolDoesNotAffectItsGroups)
{
    store.set("fulmarlink-leases", "plain", json::object{{"holder", "earlier"}, {"renewals", 7}, {"slow", json::array{"i-a"}}});
    startGroups();
    context.run_for(1000ms);
    a.attemptsRun.clear();
    b.attemptsRun.clear();
    for (unsigned i = 0; i < 20; ++i) {
        ask(request("/once/x"));
    }
    EXPECT_GT(a.attemptsRun.size(), 0U) << "the slow list of the pool's lease must be ignored";
    EXPECT_TRUE(store.has("fulmarlink-leases", "plain"));
}

// A restarted runner with the same id has none of the connections of its previous incarnation.
TEST_F(GatewayGroupsTest, RestartedRunnerWithTheSameIdGetsNewConnections)
{
    listRunner("i-b", "draining");
    const auto setStartTime = [this](std::uint64_t startTime) {
        json::object entry = standins::runnerEntry("plain", addresses["i-a"], 4);
        entry["born"] = startTime;
        store.set("servers", "i-a", entry);
    };
    setStartTime(1'790'000'000'000);
    start();
    ASSERT_EQ(countAnswered(3, "/once/x"), 3U);
    const std::size_t connectionsBefore = a.connections;
    setStartTime(1'790'000'007'000);
    context.run_for(2500ms);
    EXPECT_EQ(countAnswered(3, "/once/x"), 3U);
    EXPECT_EQ(a.connections, connectionsBefore + 1);
}

// Malformed entries, as another writer may store them, must be skipped without affecting valid entries.
TEST_F(GatewayGroupsTest, MalformedEntriesAreSkippedAndHideNoRunner)
{
    start();
    ASSERT_EQ(countAnswered(2, "/once/x"), 2U);
    const json::object validEntry = standins::runnerEntry("plain", addresses["i-b"], 4);
    const auto entryWith = [&validEntry](const std::string &field, json::value value) {
        json::object entry = validEntry;
        entry[field] = std::move(value);
        return entry;
    };
    const std::vector<json::value> malformed{json::object{},
                                             json::value(7),
                                             json::value("text"),
                                             entryWith("addr", 5),
                                             entryWith("addr", "nowhere"),
                                             entryWith("state", "asleep"),
                                             entryWith("state", 1),
                                             entryWith("slots", "many"),
                                             entryWith("service", json::array{}),
                                             entryWith("zone", json::object{}),
                                             entryWith("addr", "127.0.0.1:99999"),
                                             entryWith("addr", "127.0.0.1:80x"),
                                             entryWith("slots", -4),
                                             entryWith("born", "yesterday"),
                                             entryWith("version", 2),
                                             entryWith("cold_left_ms", "none"),
                                             entryWith("call_seq", nullptr),
                                             entryWith("models", "m")};
    for (std::size_t i = 0; i < malformed.size(); ++i) {
        store.set("servers", "forged-" + std::to_string(i), malformed[i]);
    }
    store.set("servers", "i-b", json::object{{"service", "plain"}, {"addr", 1}});
    a.attemptsRun.clear();
    context.run_for(2500ms);
    b.receivedRequests.clear();
    EXPECT_EQ(countAnswered(10, "/once/x"), 10U);
    EXPECT_EQ(b.receivedRequests.size(), 0U);
    EXPECT_NE(counters.text().find("fulmarlink_malformed_targets " + std::to_string(malformed.size() + 1) + '\n'), std::string::npos) << counters.text();
    store.listsInvalidText = true; // returns an item that is not valid UTF-8
    listRunner("i-b");
    EXPECT_TRUE(runUntil(
        [this] {
            return ask(request("/once/x")).status == 200 && !b.attemptsRun.empty();
        },
        4s));
}

// Guards against a second answer to one order that is taken for the answer to the next one, which got none: the pass is then released although a rank
// is not armed.
TEST_F(GatewayGroupsTest, SecondAnswerToAnOrderIsNotTheAnswerToTheNextOne)
{
    PlatformClient client(context.get_executor(), clock, counters, {.store = settings.store});
    TargetInfo target;
    target.id = "i-a";
    target.address = addresses["i-a"];
    const auto orderResult = [&](RankOrderKind kind) {
        std::optional<OrderResult> result;
        RankOrder order;
        order.kind = kind;
        asio::co_spawn(context, client.order(target, order), [&](const std::exception_ptr &, OrderResult value) {
            result = value;
        });
        EXPECT_TRUE(runUntil(
            [&] {
                return result.has_value();
            },
            1s));
        return result;
    };
    setAct(a, RunnerAct::StrayLast);
    EXPECT_EQ(orderResult(RankOrderKind::Prepare), OrderResult::Accepted);
    context.run_for(20ms);
    setAct(a, RunnerAct::Silent);
    EXPECT_EQ(orderResult(RankOrderKind::Arm), OrderResult::Unknown);
    EXPECT_EQ(a.receivedRequests.size(), 2U);
}

// When a rank does not answer an order while a pass is held, all ranks wait until the order times out.
TEST_F(GatewayGroupsTest, UnansweredArmOrderTimesOutQuickly)
{
    PlatformClient client(context.get_executor(), clock, counters, {.store = settings.store});
    setAct(a, RunnerAct::Silent);
    TargetInfo target;
    target.id = "i-a";
    target.address = addresses["i-a"];
    const auto orderDuration = [&](RankOrderKind kind) {
        const TimePoint began = clock.now();
        bool done = false;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                RankOrder order;
                order.kind = kind;
                const OrderResult result = co_await client.order(target, order);
                EXPECT_EQ(result, OrderResult::Unknown);
                done = true;
            },
            asio::detached);
        runUntil(
            [&done] {
                return done;
            },
            2s);
        return clock.now() - began;
    };
    EXPECT_LT(orderDuration(RankOrderKind::Arm), 100ms);
    EXPECT_GT(orderDuration(RankOrderKind::Prepare), 100ms) << "transferring a map takes time on a slow link";
}

} // namespace fulmarlink::testing
