// The gateway before a pool whose runners form two rank groups: what one group suffers must not
// refuse, stop or slow the work of the other.

#include "testing/harness/gatewayfixture.h"

namespace fulmarlink::testing
{

namespace
{

class GatewayGroupsTest : public GatewayTest
{
public:
    /** Each runner stands for a group. */
    void startGroups()
    {
        joinGroups("north", "south");
        start();
        ASSERT_TRUE(runUntil(
            [this] {
                return store.has("fulmarlink-leases", "plain.north") && store.has("fulmarlink-leases", "plain.south");
            },
            4s));
    }

    void always(PlatformRunner &runner, RunnerAct act)
    {
        runner.act = [act](const HttpRequest &) {
            return act;
        };
    }

    unsigned answered(unsigned requests, const std::string &path)
    {
        unsigned count = 0;
        for (unsigned i = 0; i < requests; ++i) {
            count += ask(request(path)).status == 200 ? 1 : 0;
        }
        return count;
    }
};

} // namespace

// The load: a rank is lost, its whole group refuses everything for seconds.
TEST_F(GatewayGroupsTest, AGroupThatRefusesEverythingClosesNothingButItself)
{
    startGroups();
    always(a, RunnerAct::Refuse);
    EXPECT_EQ(answered(20, "/once/x"), 20U);
    const std::size_t tried = a.seen.size();
    EXPECT_LE(tried, 12U) << "after a few refusals only one request each 150 ms finds out whether the group is back";
    always(a, RunnerAct::Answer);
    EXPECT_TRUE(runUntil(
        [this] {
            return ask(request("/once/x")).status == 200 && !a.ran.empty();
        },
        3s));
}

// The load: a rank is lost while streams run; another rank of the same group could not go on.
TEST_F(GatewayGroupsTest, AStreamThatABrokenGroupCutGoesOnInAnotherGroup)
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
    EXPECT_EQ(a.ran.size(), 1U);
    EXPECT_EQ(b.ran.size(), 1U);
}

// A host of the earlier version, which knows one group a pool, may run beside this one while hosts are replaced.
TEST_F(GatewayGroupsTest, TheLeaseOfAPoolSaysNothingAboutItsGroups)
{
    store.set("fulmarlink-leases", "plain", json::object{{"holder", "earlier"}, {"renewals", 7}, {"slow", json::array{"i-a"}}});
    startGroups();
    context.run_for(1000ms);
    a.ran.clear();
    b.ran.clear();
    for (unsigned i = 0; i < 20; ++i) {
        ask(request("/once/x"));
    }
    EXPECT_GT(a.ran.size(), 0U) << "it is not slow";
    EXPECT_TRUE(store.has("fulmarlink-leases", "plain"));
}

// A runner that starts again under its id knows none of the connections to its earlier life.
TEST_F(GatewayGroupsTest, ARunnerThatStartsAgainUnderItsIdIsMetOnNewConnections)
{
    list("i-b", "draining");
    const auto born = [this](std::uint64_t when) {
        json::object entry = standins::runnerEntry("plain", addresses["i-a"], 4);
        entry["born"] = when;
        store.set("servers", "i-a", entry);
    };
    born(1'790'000'000'000);
    start();
    ASSERT_EQ(answered(3, "/once/x"), 3U);
    const std::size_t before = a.connections;
    born(1'790'000'007'000);
    context.run_for(2500ms);
    EXPECT_EQ(answered(3, "/once/x"), 3U);
    EXPECT_EQ(a.connections, before + 1);
}

// Another writer's entries: each is no runner, and none of them hides the others.
TEST_F(GatewayGroupsTest, EntriesOfAnotherWriterNameNoRunnerAndHideNone)
{
    start();
    ASSERT_EQ(answered(2, "/once/x"), 2U);
    const json::object sound = standins::runnerEntry("plain", addresses["i-b"], 4);
    const auto with = [&sound](const std::string &field, json::value value) {
        json::object entry = sound;
        entry[field] = std::move(value);
        return entry;
    };
    const std::vector<json::value> forged{json::object{},
                                          json::value(7),
                                          json::value("text"),
                                          with("addr", 5),
                                          with("addr", "nowhere"),
                                          with("state", "asleep"),
                                          with("state", 1),
                                          with("slots", "many"),
                                          with("service", json::array{}),
                                          with("zone", json::object{}),
                                          with("addr", "127.0.0.1:99999"),
                                          with("addr", "127.0.0.1:80x"),
                                          with("slots", -4),
                                          with("born", "yesterday"),
                                          with("version", 2),
                                          with("cold_left_ms", "none"),
                                          with("call_seq", nullptr),
                                          with("models", "m")};
    for (std::size_t i = 0; i < forged.size(); ++i) {
        store.set("servers", "forged-" + std::to_string(i), forged[i]);
    }
    store.set("servers", "i-b", json::object{{"service", "plain"}, {"addr", 1}});
    a.ran.clear();
    context.run_for(2500ms);
    b.seen.clear();
    EXPECT_EQ(answered(10, "/once/x"), 10U);
    EXPECT_EQ(b.seen.size(), 0U);
    EXPECT_NE(counters.text().find("fulmarlink_malformed_targets " + std::to_string(forged.size() + 1) + '\n'), std::string::npos) << counters.text();
    store.spoil = true; // an item that is no text in any encoding
    list("i-b");
    EXPECT_TRUE(runUntil(
        [this] {
            return ask(request("/once/x")).status == 200 && !b.ran.empty();
        },
        4s));
}

// The load: ranks leave orders unanswered while a pass is held; all ranks wait for the answer that does not come.
TEST_F(GatewayGroupsTest, AnOrderThatIsNotAnsweredWhileAPassIsHeldIsGivenUpSoon)
{
    PlatformClient client(context.get_executor(), clock, counters, {.store = settings.store});
    always(a, RunnerAct::Silent);
    TargetInfo target;
    target.id = "i-a";
    target.address = addresses["i-a"];
    const auto took = [&](RankOrderKind kind) {
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
    EXPECT_LT(took(RankOrderKind::Arm), 100ms);
    EXPECT_GT(took(RankOrderKind::Prepare), 100ms) << "a map takes time on a slow link";
}

} // namespace fulmarlink::testing
