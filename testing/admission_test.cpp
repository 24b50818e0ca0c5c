// Selection between two rank groups of a pool: one waits for a slow rank, one makes no progress
// after losing a rank, or one refuses every request until it has formed again.

#include "fulmarlink/admission.h"

#include <gtest/gtest.h>

#include "testing/harness/twogroups.h"

namespace fulmarlink::testing
{

using namespace std::chrono_literals;

TEST(Admission, GroupsWellBelowIntervalTargetShareRequestsEqually)
{
    TwoGroups groups;
    groups.recordIntervals("north", 60ms);
    groups.recordIntervals("south", 80ms); // both are far below the target of 120 ms
    EXPECT_EQ(groups.countAdmitted("north", 16), 8U);
}

// A rank whose steps take twelve times as long as usual makes its whole group late.
TEST(Admission, SlowGroupReceivesProportionallyFewerRequests)
{
    TwoGroups groups;
    groups.recordIntervals("north", 252ms); // three times the pace floor of 84 ms, which applies to the other group
    groups.recordIntervals("south", 60ms);
    const unsigned slow = groups.countAdmitted("north", 12);
    EXPECT_GE(slow, 2U);
    EXPECT_LE(slow, 4U);
}

// After losing a rank, a group makes no progress for 1.5 s before it refuses requests.
TEST(Admission, GroupWithoutProgressReceivesNothingWhileAnotherProgresses)
{
    TwoGroups groups;
    groups.recordIntervals("north", 60ms);
    groups.recordIntervals("south", 60ms);
    groups.addOpenRequest("n0");
    groups.addOpenRequest("s0");
    groups.clock.time += 800ms;
    groups.recordIntervals("south", 60ms);
    EXPECT_EQ(groups.countAdmitted("north", 6), 0U);
    groups.recordIntervals("north", 60ms);
    EXPECT_GT(groups.countAdmitted("north", 6), 0U);
}

TEST(Admission, IdleTimeDoesNotCountAsLackOfProgress)
{
    TwoGroups groups;
    groups.recordIntervals("north", 60ms);
    groups.clock.time += 20s;
    groups.addOpenRequest("n0");
    groups.clock.time += 100ms;
    EXPECT_FALSE(groups.state.isGroupStalled("p", "north", groups.clock.now()));
}

TEST(Admission, StalledGroupIsProbedAndOtherGroupsStayOpen)
{
    TwoGroups groups;
    for (unsigned i = 0; i < PoolGate::kRefusalsToStall; ++i) {
        groups.state.pool("p").gate("north").recordRefusal(groups.clock.now());
    }
    EXPECT_EQ(groups.countAdmitted("north", 4), 0U);
    groups.clock.time += PoolGate::kProbeInterval + 10ms;
    EXPECT_EQ(groups.countAdmitted("north", 4), 1U) << "a single probe tests whether the group has recovered";
}

TEST(Admission, ReturnsShortestRetryAfterIfAllGroupsRefuse)
{
    TwoGroups groups;
    for (const char *group : {"north", "south"}) {
        for (unsigned i = 0; i < PoolGate::kRefusalsToStall; ++i) {
            groups.state.pool("p").gate(group).recordRefusal(groups.clock.now());
        }
    }
    double both = 0;
    double one = 0;
    for (unsigned i = 0; i < 200; ++i) {
        const Admission admission = groups.admit();
        ASSERT_FALSE(admission.target);
        EXPECT_EQ(admission.decision.refusal, ResultCode::PoolStalled);
        both += std::chrono::duration<double>(admission.decision.retryAfter).count();
        Random random(i);
        one += std::chrono::duration<double>(groups.state.pool("p").gate("north").decide({.runners = 2}, groups.clock.now(), random).retryAfter).count();
    }
    EXPECT_LT(both, one * 0.95);
}

TEST(Admission, ReportsEmptyPoolIfNoRunnerIsLeft)
{
    TwoGroups groups;
    const Admission admission = groups.admit({"n0", "n1", "s0", "s1"});
    EXPECT_FALSE(admission.target);
    EXPECT_EQ(admission.decision.refusal, ResultCode::EmptyPool);
}

} // namespace fulmarlink::testing
