// Broken variants of the gateway's decisions: each breaks a promise that holds without it.

#include <gtest/gtest.h>
#include <ostream>

#include "fulmarlink/attemptpolicy.h"
#include "fulmarlink/configstate.h"
#include "fulmarlink/crashhistory.h"
#include "fulmarlink/demandshiftdetector.h"
#include "fulmarlink/eventsplitter.h"
#include "fulmarlink/expertload.h"
#include "fulmarlink/expertplanner.h"
#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/hostclock.h"
#include "fulmarlink/leaseelector.h"
#include "fulmarlink/poolgate.h"
#include "fulmarlink/rankgroups.h"
#include "fulmarlink/targettable.h"
#include "fulmarlink/windowbudget.h"
#include "platform/platformprotocol.h"
#include "testing/harness/mutation_on.h"
#include "testing/harness/twogroups.h"

namespace fulmarlink::testing
{

namespace
{

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(500) + std::chrono::milliseconds(ms));
}

AttemptState ranOnce()
{
    AttemptState state;
    state.end = AttemptEnd::Broken;
    state.ran = 1;
    state.sends = 1;
    state.maxAttempts = 3;
    return state;
}

bool runsOnce()
{
    return nextStep(ranOnce()) != NextStep::Again;
}

bool notRunIsTrue()
{
    return nextStep(ranOnce()) != NextStep::RefuseNotRun;
}

bool versionsNeverFall()
{
    ConfigState state;
    Configuration newer;
    newer.version = 9;
    state.offer(newer);
    Configuration older;
    older.version = 4;
    state.offer(older);
    return state.version() == 9;
}

bool keysNeedAProof()
{
    const HostClock clock;
    Counters counters;
    const PlatformProtocol protocol;
    GatewayState state(GatewaySettings(), clock, counters, protocol);
    state.config.confirm(at(0));
    return !state.keyProofValid(at(60'000));
}

bool leavingRunnersRest()
{
    TargetTable targets({});
    TargetInfo info;
    info.id = "a";
    info.pool = "p";
    info.leaving = true;
    targets.setTargets({info}, at(0));
    return !targets.isUsable("a", at(0));
}

bool repeatsAreBounded()
{
    WindowBudget budget({});
    unsigned granted = 0;
    for (int i = 0; i < 1000; ++i) {
        granted += budget.takeRepeat(at(i)) ? 1 : 0;
    }
    return granted < 20;
}

bool eventsAreWhole()
{
    EventSplitter splitter;
    splitter.push("id: 1\nda");
    return splitter.takeWhole().empty();
}

bool aLapsedTermEnds()
{
    LeaseElector keeper(LeaseOptions{.self = "a"});
    keeper.handleRead({}, at(0));
    LeaseRecord record = keeper.nextRecord();
    record.revision = 1;
    keeper.handleWrite({{}, record}, at(0), at(1));
    record.revision = 2;
    keeper.handleWrite({{}, record}, at(20'000), at(20'001));
    return keeper.termId() == 2;
}

bool slowRanksRest()
{
    TargetTable targets({});
    TargetInfo slow;
    slow.id = "a";
    slow.pool = "p";
    TargetInfo other = slow;
    other.id = "b";
    targets.setTargets({slow, other}, at(0));
    targets.setSlow("p", "", {"a"});
    targets.requestSent("b");
    Random random(1);
    return targets.pick("p", {}, at(0), random)->id == "b";
}

bool doomedStreamsAreRefused()
{
    PoolGate gate;
    for (unsigned i = 0; i < PoolGate::kMinIntervals; ++i) {
        gate.recordEventInterval(std::chrono::milliseconds(1000), std::chrono::milliseconds(150), at(0));
    }
    Random random(1);
    const PoolLoad load{.runners = 2, .lowestLoad = 0.1, .events = 20, .timeLeft = std::chrono::milliseconds(8000)};
    return !gate.decide(load, at(10), random).admitted;
}

bool slowRanksAreEmptied()
{
    ExpertPlanOptions options;
    options.maxExpertsPerRank = 3;
    options.maxNewPerSet = 2;
    options.slowdowns = {8, 1, 1};
    const GroupMap map{{{0, 1}, {2, 3}, {4, 5}}};
    return planExperts(map, {std::vector<double>(6, 1)}, options).map.front().front().size() < 2;
}

bool coldExpertsLeaveSlowRanks()
{
    ExpertPlanOptions options;
    options.maxExpertsPerRank = 3;
    options.maxNewPerSet = 2;
    options.slowdowns = {8, 1, 1};
    const GroupMap map{{{0, 1}, {2, 3}, {4, 5}}};
    return planExperts(map, {{0, 0, 4, 4, 4, 4}}, options).map.front().front().size() < 2;
}

bool slowRanksAreMadeKnown()
{
    LeaseElector keeper(LeaseOptions{.self = "a"});
    keeper.handleRead({}, at(0));
    LeaseRecord record = keeper.nextRecord();
    record.revision = 1;
    keeper.handleWrite({{}, record}, at(0), at(1));
    keeper.setSlowTargets({"rank-1"});
    return keeper.nextRecord().slowTargets.size() == 1;
}

bool slowPassesAreNoticedEarly()
{
    DemandShiftDetector watch;
    const auto pause = std::chrono::milliseconds(60);
    const auto target = std::chrono::milliseconds(150);
    watch.restart(at(0));
    watch.countsDue({pause, at(1000), target}, at(1010));
    return watch.countsDue({pause, at(1000), target}, at(1100));
}

bool slowGroupsGetLess()
{
    TwoGroups groups;
    groups.recordIntervals("north", std::chrono::milliseconds(252));
    groups.recordIntervals("south", std::chrono::milliseconds(60));
    return groups.countAdmitted("north", 12) <= 4;
}

bool stillGroupsGetNothing()
{
    TwoGroups groups;
    groups.addOpenRequest("n0");
    groups.clock.time += std::chrono::seconds(1);
    groups.addOpenRequest("s0");
    return groups.countAdmitted("north", 4) == 0;
}

bool countsOfTwoStartsAreApart()
{
    ExpertLoad load;
    ExpertCountsRead read;
    read.born = 1;
    read.counts = {{100, 100}};
    load.add("rank", read);
    read.born = 2;
    read.counts = {{400, 100}};
    load.add("rank", read);
    return load.pendingChoices() == 0;
}

bool groupsOfTwoEpochsAreNotWhole()
{
    std::vector<RankReportRead> reports(2);
    for (unsigned i = 0; i < reports.size(); ++i) {
        reports[i].report.group = "g";
        reports[i].report.rank = i;
        reports[i].report.size = 2;
        reports[i].report.epoch = i + 1;
    }
    return !formGroups(reports).front().isComplete();
}

CrashHistory afterCrashes(unsigned crashes)
{
    CrashHistory history;
    for (unsigned i = 0; i < crashes; ++i) {
        CrashRecord record;
        record.name = std::to_string(i);
        record.incarnations.push_back({"i-1", i});
        record.suspects.push_back({RequestFingerprint{1, 2, 3}, "c", "r", false});
        history.add(record, at(0));
    }
    return history;
}

bool aThirdEndBans()
{
    return afterCrashes(3).status({1, 2, 3}, at(3'600'000)).verdict == CrashVerdict::Banned;
}

bool anEndCountsOnce()
{
    CrashHistory history = afterCrashes(1);
    CrashRecord again;
    again.name = "another host's";
    again.incarnations.push_back({"i-1", 0});
    again.suspects.push_back({RequestFingerprint{1, 2, 3}, "c", "r", false});
    history.add(again, at(0));
    return history.status({1, 2, 3}, at(0)).crashes == 1;
}

bool whatEndsWellIsCleared()
{
    CrashHistory history = afterCrashes(2);
    history.requestCompleted({1, 2, 3}, at(1));
    return history.status({1, 2, 3}, at(1)).verdict == CrashVerdict::Clear;
}

bool noResendAfterARunnersEnd()
{
    AttemptState state = ranOnce();
    state.repeatable = true;
    state.runnerEnded = true;
    return nextStep(state) == NextStep::Unknown;
}

struct Promise {
    const char *name;
    Mutation mutation;
    bool (*holds)();
};

std::ostream &operator<<(std::ostream &out, const Promise &promise)
{
    return out << promise.name;
}

class GatewayMutation : public ::testing::TestWithParam<Promise>
{
};

} // namespace

TEST_P(GatewayMutation, IsCaughtAndThePromiseHoldsWithoutIt)
{
    EXPECT_TRUE(GetParam().holds());
    const ScopedMutation mutation(GetParam().mutation);
    EXPECT_FALSE(GetParam().holds());
}

INSTANTIATE_TEST_SUITE_P(All,
                         GatewayMutation,
                         ::testing::Values(Promise{"RepeatAfterRun", Mutation::RepeatAfterRun, runsOnce},
                                           Promise{"NotRunAfterRun", Mutation::NotRunAfterRun, notRunIsTrue},
                                           Promise{"TakeOlderVersion", Mutation::TakeOlderVersion, versionsNeverFall},
                                           Promise{"ForgetProofAge", Mutation::ForgetProofAge, keysNeedAProof},
                                           Promise{"PickLeaving", Mutation::PickLeaving, leavingRunnersRest},
                                           Promise{"UnboundedRepeats", Mutation::UnboundedRepeats, repeatsAreBounded},
                                           Promise{"GiveHalfEvents", Mutation::GiveHalfEvents, eventsAreWhole},
                                           Promise{"SendToSlow", Mutation::SendToSlow, slowRanksRest},
                                           Promise{"AdmitDoomed", Mutation::AdmitDoomed, doomedStreamsAreRefused},
                                           Promise{"IgnorePace", Mutation::IgnorePace, slowRanksAreEmptied},
                                           Promise{"LoseSlowRanks", Mutation::LoseSlowRanks, slowRanksAreMadeKnown},
                                           Promise{"BlindToSilence", Mutation::BlindToSilence, slowPassesAreNoticedEarly},
                                           Promise{"IgnoreGroupPace", Mutation::IgnoreGroupPace, slowGroupsGetLess},
                                           Promise{"AskStillGroup", Mutation::AskStillGroup, stillGroupsGetNothing},
                                           Promise{"TrustColdExperts", Mutation::TrustColdExperts, coldExpertsLeaveSlowRanks},
                                           Promise{"MixStarts", Mutation::MixStarts, countsOfTwoStartsAreApart},
                                           Promise{"ForgetMovedRank", Mutation::ForgetMovedRank, groupsOfTwoEpochsAreNotWhole},
                                           Promise{"NeverBan", Mutation::NeverBan, aThirdEndBans},
                                           Promise{"CountReports", Mutation::CountReports, anEndCountsOnce},
                                           Promise{"ClearNobody", Mutation::ClearNobody, whatEndsWellIsCleared},
                                           Promise{"ResendAfterCrash", Mutation::ResendAfterCrash, noResendAfterARunnersEnd},
                                           Promise{"KeepTerm", Mutation::KeepTerm, aLapsedTermEnds}),
                         [](const ::testing::TestParamInfo<Promise> &info) {
                             return info.param.name;
                         });

} // namespace fulmarlink::testing
