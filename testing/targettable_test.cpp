// Selection of the runner for a request: load and zone, repeated failures, slow runners, and
// runners whose list entries expire during a store outage.

#include "fulmarlink/targettable.h"

#include <gtest/gtest.h>

namespace fulmarlink::testing
{

namespace
{

using std::chrono::milliseconds;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(500) + milliseconds(ms));
}

TargetInfo target(const std::string &id, const std::string &zone = "near", bool leaving = false)
{
    return {.id = id, .pool = "p", .address = {"10.0.0.1", 80}, .zone = zone, .slots = 4, .leaving = leaving};
}

TargetTable table()
{
    TargetTableOptions options;
    options.zone = "near";
    return TargetTable(options);
}

std::string picked(const TargetTable &table, TimePoint now, const std::set<std::string> &tried = {})
{
    static Random random(1);
    const TargetInfo *info = table.pick("p", tried, now, random);
    return info == nullptr ? "" : info->id;
}

} // namespace

TEST(TargetTable, PicksLeastLoadedRunnerAndPrefersOwnZone)
{
    TargetTable targets = table();
    targets.setTargets({target("a"), target("b", "far")}, at(0));
    EXPECT_EQ(picked(targets, at(0)), "a");
    targets.requestSent("a");
    EXPECT_EQ(picked(targets, at(0)), "b");
    targets.loadReported("b", {3, 2}, at(0));
    EXPECT_EQ(picked(targets, at(0)), "a");
    EXPECT_EQ(picked(targets, at(0), {"a", "b"}), "");
}

TEST(TargetTable, ReportedLoadDecaysWithAge)
{
    TargetTable targets = table();
    targets.setTargets({target("a"), target("b")}, at(0));
    targets.loadReported("a", {4, 0}, at(0));
    targets.requestSent("b");
    EXPECT_EQ(picked(targets, at(100)), "b");
    EXPECT_EQ(picked(targets, at(4000)), "a");
}

TEST(TargetTable, LeavingOrUnlistedRunnerIsNotPicked)
{
    TargetTable targets = table();
    targets.setTargets({target("a"), target("b")}, at(0));
    const TargetChanges changes = targets.setTargets({target("a", "near", true)}, at(700));
    EXPECT_EQ(changes.leaving, std::vector<std::string>{"a"});
    EXPECT_EQ(changes.gone, std::vector<std::string>{"b"});
    EXPECT_EQ(picked(targets, at(700)), "");
    EXPECT_FALSE(targets.isUsable("a", at(700)));
    EXPECT_EQ(targets.available("p", at(700)), 0U);
}

TEST(TargetTable, RunnerMissingAfterOutageStaysUsableForGracePeriod)
{
    TargetTable targets = table();
    targets.setTargets({target("a"), target("b")}, at(0));
    targets.setTargets({target("a")}, at(6000)); // first list after an outage
    EXPECT_TRUE(targets.isUsable("b", at(6500)));
    targets.setTargets({target("a")}, at(7600));
    EXPECT_FALSE(targets.isUsable("b", at(7600)));
}

TEST(TargetTable, LeavingRunnerMissingAfterOutageIsNotUsable)
{
    TargetTable targets = table();
    targets.setTargets({target("a", "near", true)}, at(0));
    targets.setTargets({}, at(6000));
    EXPECT_FALSE(targets.isUsable("a", at(6100)));
}

TEST(TargetTable, RepeatedlyFailingRunnerIsPickedOnlyIfNoOtherIsLeft)
{
    TargetTable targets = table();
    targets.setTargets({target("a"), target("b")}, at(0));
    for (unsigned i = 0; i < TargetTable::kFailuresToEject; ++i) {
        targets.requestFailed("a", at(0));
    }
    targets.requestSent("b");
    EXPECT_EQ(picked(targets, at(10)), "b");
    EXPECT_EQ(picked(targets, at(10), {"b"}), "a");
    targets.requestSucceeded("a");
    EXPECT_EQ(picked(targets, at(10)), "a");
}

// Guards against a runner passed over because of slow requests that this host gave up there itself, while it answers others.
TEST(TargetTable, RunnerThatAnswersOthersIsNotEjectedByRequestsGivenUpThere)
{
    TargetTable targets = table();
    targets.setTargets({target("a"), target("b")}, at(0));
    targets.requestSent("b");
    for (unsigned i = 0; i < TargetTable::kFailuresToEject; ++i) {
        const int time = 400 * static_cast<int>(i);
        targets.requestFailed("a", at(time));
        targets.requestAccepted("a"); // a stream that goes on for longer
        targets.dataReceived("a", at(time + 10));
    }
    EXPECT_EQ(picked(targets, at(820)), "a");
}

TEST(TargetTable, UnlistedRunnerIsRemovedAfterItsLastRequest)
{
    TargetTable targets = table();
    targets.setTargets({target("a")}, at(0));
    targets.requestSent("a");
    targets.setTargets({}, at(500));
    EXPECT_EQ(targets.find("a"), nullptr);
    targets.requestEnded("a");
    EXPECT_EQ(targets.size(), 0U);
}

TEST(TargetTable, SlowRunnerIsPickedOnlyIfNoOtherIsLeft)
{
    TargetTable targets = table();
    targets.setTargets({target("a"), target("b")}, at(0));
    targets.setSlow("p", "", {"a"});
    targets.requestSent("b");
    EXPECT_EQ(picked(targets, at(0)), "b");
    EXPECT_EQ(picked(targets, at(0), {"b"}), "a") << "a slow runner is used if no other is left";
    targets.setSlow("other", "", {});
    EXPECT_EQ(picked(targets, at(0)), "b");
    targets.setSlow("p", "", {});
    EXPECT_EQ(picked(targets, at(0)), "a");
}

// Guards against requests to a runner whose entry can't be read, and against the loss of what is known of it: it may be the rank of a group.
TEST(TargetTable, RunnerWhoseEntryIsMalformedTakesNoRequestsAndStaysListed)
{
    TargetTable targets = table();
    targets.setTargets({target("a"), target("b")}, at(0));
    targets.setGroup("a", "g");
    const TargetChanges changes = targets.setTargets({target("b")}, at(1000), {"a", "x"});
    EXPECT_EQ(changes.malformed, std::vector<std::string>{"a"});
    EXPECT_TRUE(changes.gone.empty());
    EXPECT_FALSE(targets.isUsable("a", at(1000)));
    EXPECT_EQ(picked(targets, at(1000), {"b"}), "");
    EXPECT_EQ(targets.available("p", at(1000)), 1U);
    EXPECT_EQ(targets.listed("p", "g").size(), 1U);
    EXPECT_EQ(targets.find("x"), nullptr) << "its entry has never been read";
    EXPECT_TRUE(targets.setTargets({target("b")}, at(2000), {"a"}).malformed.empty());
    EXPECT_EQ(targets.setTargets({target("a"), target("b")}, at(3000)).added, std::vector<std::string>{"a"});
    EXPECT_EQ(picked(targets, at(3000), {"b"}), "a");
    EXPECT_EQ(targets.groupOf("a"), "g");
}

// Guards against the grace of runners that are missing after an outage for one whose entry could not be read.
TEST(TargetTable, RunnerWhoseEntryIsMalformedIsNotMissingAfterAnOutage)
{
    TargetTable targets = table();
    targets.setTargets({target("a"), target("b")}, at(0));
    targets.setTargets({target("b")}, at(5000), {"a"});
    EXPECT_FALSE(targets.isUsable("a", at(5000)));
    EXPECT_EQ(targets.setTargets({target("b")}, at(10000)).gone, std::vector<std::string>{"a"});
    EXPECT_FALSE(targets.isUsable("a", at(10000)));
}

} // namespace fulmarlink::testing
