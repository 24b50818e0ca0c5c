// Records that hosts share and that can't be read: what they say of others still holds, and nothing is concluded from what they don't say.

#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include "fulmarlink/limitwatch.h"
#include "fulmarlink/resultcode.h"
#include "fulmarlink/signalwatch.h"
#include "platform/configurationdecoder.h"
#include "platform/rankcodec.h"
#include "testing/harness/fakegroup.h"
#include "testing/harness/gatewayfixture.h"
#include "testing/harness/twogroups.h"

namespace fulmarlink::testing
{

namespace
{

const std::string kUnreadable = R"({"holder":"\udcff"})";

class UnreadableRecords : public ::testing::Test
{
public:
    UnreadableRecords()
    {
        startLogging("off");
    }

    template<typename Result>
    Result wait(asio::awaitable<Result> call)
    {
        std::optional<Result> result;
        asio::co_spawn(context, std::move(call), [&](const std::exception_ptr &error, Result value) {
            EXPECT_FALSE(error);
            result = std::move(value);
        });
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!result && std::chrono::steady_clock::now() < end) {
            context.run_for(1ms);
        }
        EXPECT_TRUE(result);
        return result.value_or(Result());
    }

    HostClock clock;
    Counters counters;
    asio::io_context context{1};
    PlatformStore store{context};
    PlatformClient client{context.get_executor(), clock, counters, {.store = store.listen()}};
};

json::object limitRecord()
{
    return {{"kind", "limit"}, {"host", "h"}, {"written_ms", 5}, {"per_second", 3.0}};
}

/** State of a host that knows the runner n0 (born 0), with a limit that another host has recorded. */
class HostWithSignals : public TwoGroups
{
public:
    HostWithSignals()
    {
        state.signalWatch = &signals;
    }

    SharedRecordsRead recordsWith(std::vector<LimitRecord> limits)
    {
        SharedRecordsRead read;
        read.complete = true;
        read.limits = std::move(limits);
        return read;
    }

    /** The list without n0's entry; @p malformed: it is there and can't be read. */
    void listWithoutRunner(bool malformed)
    {
        std::vector<TargetInfo> list = state.targets.listed("p");
        std::erase_if(list, [](const TargetInfo &target) {
            return target.id == "n0";
        });
        state.targets.setTargets(list, clock.now(), malformed ? std::set<std::string>{"n0"} : std::set<std::string>());
    }

    asio::io_context context{1};
    FakeGroup platform{context, {}};
    LimitWatch limits{context, state, platform};
    SignalWatch signals{state};
    const TargetIncarnation runner{"n0", 0};
};

} // namespace

// Guards against one record that hides all others, and stops the watch for changes.
TEST_F(UnreadableRecords, OtherSharedRecordsAreRead)
{
    store.set("fulmarlink-crashes", "limit.i-1.7", limitRecord());
    store.setText("fulmarlink-crashes", "limit.i-2.8", kUnreadable);
    store.setText("fulmarlink-crashes", "crash.x", "{\"kind\":\"");
    store.set("fulmarlink-crashes", "limit.i-3.9", limitRecord());
    const SharedRecordsRead all = wait(client.readSharedRecords());
    EXPECT_FALSE(all.error);
    EXPECT_TRUE(all.complete);
    EXPECT_EQ(all.limits.size(), 2U);
    EXPECT_EQ(all.malformedLimits, (std::vector<TargetIncarnation>{{"i-2", 8}}));
    EXPECT_NE(counters.text().find("fulmarlink_malformed_records 2\n"), std::string::npos);
    store.setText("fulmarlink-crashes", "limit.i-1.7", kUnreadable);
    store.set("fulmarlink-crashes", "limit.i-2.8", limitRecord());
    const SharedRecordsRead changes = wait(client.awaitSharedRecords(all.revision, 500ms));
    EXPECT_FALSE(changes.error);
    EXPECT_GT(changes.revision, all.revision);
    EXPECT_EQ(changes.limits.size(), 1U);
    EXPECT_EQ(changes.malformedLimits, (std::vector<TargetIncarnation>{{"i-1", 7}}));
    EXPECT_TRUE(changes.removedLimits.empty());
    EXPECT_NE(counters.text().find("fulmarlink_malformed_records 2\n"), std::string::npos);
}

// Guards against a limit that ends because its record can't be read: the runner has not said that it takes more.
TEST(UnreadableLimit, HoldsWhileItsRecordCannotBeRead)
{
    HostWithSignals host;
    host.limits.applyRecords(host.recordsWith({{host.runner, 3, "other", std::chrono::milliseconds(5)}}));
    ASSERT_NE(host.state.signals.limits.find(host.runner), nullptr);
    SharedRecordsRead unreadable = host.recordsWith({});
    unreadable.malformedLimits = {host.runner};
    host.limits.applyRecords(unreadable);
    EXPECT_NE(host.state.signals.limits.find(host.runner), nullptr);
    host.limits.applyRecords(host.recordsWith({}));
    EXPECT_EQ(host.state.signals.limits.find(host.runner), nullptr) << "its record has been removed";
}

// Guards against a host that forgets what a runner has announced while its entry can't be read, and sends to it when it is listed again.
TEST(UnreadableLimit, AnnouncementsOfARunnerHoldWhileItsEntryCannotBeRead)
{
    HostWithSignals host;
    host.limits.applyRecords(host.recordsWith({{host.runner, 3, "other", std::chrono::milliseconds(5)}}));
    host.state.signals.markLeaving(host.runner);
    host.listWithoutRunner(true);
    for (unsigned i = 0; i < 3; ++i) {
        host.limits.removeUnlistedRunners();
        host.signals.removeUnlistedRunners();
    }
    EXPECT_NE(host.state.signals.limits.find(host.runner), nullptr);
    EXPECT_TRUE(host.state.signals.isLeaving(host.runner));
    host.listWithoutRunner(false);
    for (unsigned i = 0; i < 3; ++i) {
        host.limits.removeUnlistedRunners();
        host.signals.removeUnlistedRunners();
    }
    EXPECT_EQ(host.state.signals.limits.find(host.runner), nullptr) << "the runner is gone";
    EXPECT_FALSE(host.state.signals.isLeaving(host.runner));
}

// Guards against a lease that looks free, or as if nobody had ever written it, since its record can't be read.
TEST_F(UnreadableRecords, LeaseMayBeHeld)
{
    store.setText("fulmarlink-leases", "pool.group", kUnreadable);
    const LeaseRead read = wait(client.readLease("pool.group", false));
    EXPECT_FALSE(read.error);
    EXPECT_GT(read.record.revision, 0U);
    EXPECT_FALSE(read.record.holder.empty());
    LeaseRecord next = read.record;
    next.holder = "entry";
    EXPECT_FALSE(wait(client.writeLease("pool.group", next)).error) << "it can be taken over";
    EXPECT_EQ(wait(client.readLease("pool.group", false)).record.holder, "entry");
    store.setText("fulmarlink-leases", "pool.group", "{\"holder\":\"x}}");
    EXPECT_FALSE(wait(client.readLease("pool.group", false)).record.holder.empty());
    EXPECT_EQ(wait(client.readLease("none", false)).record.revision, 0U);
}

// Guards against one backoff, with the id of another writer, that makes a restarted host forget the others.
TEST_F(UnreadableRecords, OtherBackoffsOfAHostAreRestored)
{
    store.setText(
        "fulmarlink-backoffs",
        "entry",
        R"({"backoffs":[{"target":"i-1","born":7,"until_ms":1800000003000,"remaining_ms":3000},{"target":"\udcff","born":7,"until_ms":1,"remaining_ms":1},
{"target":"i-3","born":9,"until_ms":1800000003000,"remaining_ms":3000}]})");
    const BackoffsRead read = wait(client.readBackoffs("entry"));
    EXPECT_FALSE(read.error);
    ASSERT_EQ(read.backoffs.size(), 2U);
    EXPECT_EQ(read.backoffs[0].incarnation.id, "i-1");
    EXPECT_EQ(read.backoffs[1].incarnation.id, "i-3");
}

// Guards against another writer's record that counts as a host for ever, so that the hosts' shares of limits and budgets are too small.
TEST_F(UnreadableRecords, RecordOfNoHostCountsAsOneOnlyUntilItIsSeenUnchanged)
{
    store.set("fulmarlink-entries", "entry-1", json::object{{"renewals", 1}});
    store.set("fulmarlink-entries", "entry-of-an-earlier-version", json::object());
    store.setText("fulmarlink-entries", "x", kUnreadable + "]");
    store.set("fulmarlink-entries", "y", "text");
    LiveHosts hosts;
    for (unsigned i = 0; i <= LiveHosts::kUnchangedReadsUntilGone; ++i) {
        store.set("fulmarlink-entries", "entry-1", json::object{{"renewals", i}});
        const EntriesRead read = wait(client.readEntries());
        EXPECT_FALSE(read.error);
        EXPECT_EQ(read.entries.size(), 4U);
        hosts.recordRead(read.entries);
    }
    EXPECT_EQ(hosts.hosts(), (std::vector<std::string>{"entry-1", "entry-of-an-earlier-version"}));
}

// Guards against a list that is taken for an empty one: all runners would be gone.
TEST_F(UnreadableRecords, AnswerThatIsNoListIsAnError)
{
    store.answerToLists = "{}";
    EXPECT_EQ(wait(client.readTargets()).error, ResultCode::AnswerUnreadable);
    store.answerToLists = R"({"items":[{"metadata":{"name":"i-1"}}],"more":true,"current_rev":)";
    EXPECT_EQ(wait(client.readTargets()).error, ResultCode::AnswerUnreadable);
    store.answerToLists = R"({"items":[{"metadata":"\udcff"}],"more":true,"current_rev":7})";
    EXPECT_EQ(wait(client.readTargets()).error, ResultCode::AnswerUnreadable) << "no name to continue behind";
    store.answerToLists = R"({"items":[{"metadata":{"name":"i-1"}}],"more":true,"current_rev":7})";
    EXPECT_EQ(wait(client.readTargets()).error, ResultCode::AnswerUnreadable) << "the next page begins at the same name";
}

// Guards against text of another writer that looks like the entry of a runner: which of the two is the runner's is open.
TEST_F(UnreadableRecords, RunnerListedTwiceIsNotUsed)
{
    const std::string item = R"({"metadata":{"name":"i-1","revision":7},"spec":)" + json::serialize(standins::runnerEntry("p", {"10.0.0.1", 80}, 4)) + '}';
    store.answerToLists = R"({"items":[)" + item + ',' + item + R"(],"more":false,"current_rev":7})";
    const TargetsRead read = wait(client.readTargets());
    EXPECT_FALSE(read.error);
    EXPECT_TRUE(read.targets.empty());
    ASSERT_EQ(read.malformed.size(), 1U);
    EXPECT_EQ(read.malformed.front().name, "i-1");
}

// Guards against a report that can't be read and moves its runner out of its group.
TEST_F(UnreadableRecords, ReportOfARunnerIsNotTakenForOneWithoutAGroup)
{
    PlatformRunner runner(context, "i-1");
    TargetInfo target;
    target.id = "i-1";
    target.address = runner.listen();
    runner.reportText = R"({"group":"\udcff"})";
    EXPECT_EQ(wait(client.readRankReport(target)).error, ResultCode::AnswerUnreadable);
    EXPECT_NE(counters.text().find("fulmarlink_malformed_runner_answers 1\n"), std::string::npos);
    runner.reportText.clear();
    runner.report["group"] = json::object{{"name", "g"}};
    EXPECT_FALSE(wait(client.readRankReport(target)).error);
    EXPECT_NE(counters.text().find("fulmarlink_malformed_runner_answers 0\n"), std::string::npos);
}

// Guards against defaults in place of what a rank has said and can't be read: not in a group, not armed, no expert selected.
TEST(PlatformCodec, RankAnswersThatCannotBeReadStateNothing)
{
    for (const char *text : {"null",
                             "7",
                             R"({"group":7})",
                             R"({"group":{"name":7}})",
                             R"({"group":{"name":"g","rank":"first"}})",
                             R"({"group":{},"armed":"yes"})",
                             R"({"group":{},"armed":{"version":"4"}})",
                             R"({"group":{},"armed":{"version":4,"step":[]}})",
                             R"({"group":{},"held":true})",
                             R"({"group":{},"map":[]})",
                             R"({"group":{},"step":-1})"}) {
        std::error_code error;
        const RankReport report = decodeReport(json::parse(text), error);
        EXPECT_EQ(error, ResultCode::AnswerUnreadable) << text;
        EXPECT_NE(report.problem, "") << text;
    }
    for (const char *text : {"null", R"({"counts":7})", R"({"counts":[1,"2"]})", R"({"counts":[1,-2]})", R"({"epoch":[],"counts":[1]})"}) {
        const ExpertCountsRead read = decodeCounts(json::parse(text), 1);
        EXPECT_EQ(read.error, ResultCode::AnswerUnreadable) << text;
        EXPECT_TRUE(read.counts.empty()) << text;
    }
    for (const char *text : {"null",
                             R"({"map":7})",
                             R"({"map":{"version":"4","experts":[]}})",
                             R"({"map":{"version":4,"experts":[[0],[null]]}})",
                             R"({"map":{"version":4,"experts":[0]}})",
                             R"({"map":{"version":4,"experts":[[4294967296]]}})"}) {
        EXPECT_EQ(decodePlacement(json::parse(text)).error, ResultCode::AnswerUnreadable) << text;
    }
    EXPECT_EQ(decodePlacement(json::parse("{}")).error, ResultCode::ObjectNotFound);
}

// Guards against a name of another writer that ends a header line and begins another one.
TEST(PlatformCodec, TargetWhoseNameCannotStandInAHeaderIsRejected)
{
    const json::value entry
        = json::parse(R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":12,"state":"ready","cold_left_ms":0,"call_seq":0})");
    std::string problem;
    EXPECT_TRUE(decodeTarget("i-7f3a91c2", entry, problem));
    for (const std::string &name : {std::string("i\r\nTenant: x"), std::string("i a"), std::string("i\xff"), std::string("i\0", 2), std::string(257, 'i')}) {
        EXPECT_FALSE(decodeTarget(name, entry, problem)) << name;
        EXPECT_NE(problem.find("name"), std::string::npos);
    }
}

} // namespace fulmarlink::testing
