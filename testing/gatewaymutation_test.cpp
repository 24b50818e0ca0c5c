// Mutation tests of the gateway's decisions: each mutation breaks an invariant that holds without it.

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

AttemptState brokenAfterOneRun()
{
    AttemptState state;
    state.end = AttemptEnd::Broken;
    state.ran = 1;
    state.sends = 1;
    state.maxAttempts = 3;
    return state;
}

bool nonIdempotentRequestIsNotRepeated()
{
    return nextStep(brokenAfterOneRun()) != NextStep::Again;
}

bool sentRequestIsNotReportedAsNotRun()
{
    return nextStep(brokenAfterOneRun()) != NextStep::RefuseNotRun;
}

bool configurationVersionNeverDecreases()
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

bool keyProofExpires()
{
    const HostClock clock;
    Counters counters;
    const PlatformProtocol protocol;
    GatewayState state(GatewaySettings(), clock, counters, protocol);
    state.config.confirm(at(0));
    return !state.keyProofValid(at(60'000));
}

bool leavingRunnerIsNotUsable()
{
    TargetTable targets({});
    TargetInfo info;
    info.id = "a";
    info.pool = "p";
    info.leaving = true;
    targets.setTargets({info}, at(0));
    return !targets.isUsable("a", at(0));
}

bool repeatsAreLimitedByBudget()
{
    WindowBudget budget({});
    unsigned granted = 0;
    for (int i = 0; i < 1000; ++i) {
        granted += budget.takeRepeat(at(i)) ? 1 : 0;
    }
    return granted < 20;
}

bool partialEventIsNotReleased()
{
    EventSplitter splitter;
    splitter.push("id: 1\nda");
    return splitter.takeCompleteEvents().empty();
}

bool lapsedLeaseStartsNewTerm()
{
    LeaseElector elector(LeaseOptions{.self = "a"});
    elector.handleRead({}, at(0));
    LeaseRecord record = elector.nextRecord();
    record.revision = 1;
    elector.handleWrite({{}, record}, at(0), at(1));
    record.revision = 2;
    elector.handleWrite({{}, record}, at(20'000), at(20'001));
    return elector.termId() == 2;
}

bool slowRankIsNotPicked()
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

bool streamThatCannotFinishIsRefused()
{
    PoolGate gate;
    for (unsigned i = 0; i < PoolGate::kMinIntervals; ++i) {
        gate.recordEventInterval(std::chrono::milliseconds(1000), std::chrono::milliseconds(150), at(0));
    }
    Random random(1);
    const PoolLoad load{.runners = 2, .lowestLoad = 0.1, .events = 20, .timeLeft = std::chrono::milliseconds(8000)};
    return !gate.decide(load, at(10), random).admitted;
}

bool expertsMoveAwayFromSlowRank()
{
    ExpertPlanOptions options;
    options.maxExpertsPerRank = 3;
    options.maxNewPerSet = 2;
    options.slowdowns = {8, 1, 1};
    const GroupMap map{{{0, 1}, {2, 3}, {4, 5}}};
    return planExperts(map, {std::vector<double>(6, 1)}, options).map.front().front().size() < 2;
}

bool idleExpertsMoveAwayFromSlowRank()
{
    ExpertPlanOptions options;
    options.maxExpertsPerRank = 3;
    options.maxNewPerSet = 2;
    options.slowdowns = {8, 1, 1};
    const GroupMap map{{{0, 1}, {2, 3}, {4, 5}}};
    return planExperts(map, {{0, 0, 4, 4, 4, 4}}, options).map.front().front().size() < 2;
}

bool leaseRecordListsSlowRanks()
{
    LeaseElector elector(LeaseOptions{.self = "a"});
    elector.handleRead({}, at(0));
    LeaseRecord record = elector.nextRecord();
    record.revision = 1;
    elector.handleWrite({{}, record}, at(0), at(1));
    elector.setSlowTargets({"rank-1"});
    return elector.nextRecord().slowTargets.size() == 1;
}

bool silenceMakesCountsDueEarly()
{
    DemandShiftDetector detector;
    const auto pause = std::chrono::milliseconds(60);
    const auto target = std::chrono::milliseconds(150);
    detector.restart(at(0));
    detector.countsDue({pause, at(1000), target}, at(1010));
    return detector.countsDue({pause, at(1000), target}, at(1100));
}

bool slowGroupIsAdmittedLess()
{
    TwoGroups groups;
    groups.recordIntervals("north", std::chrono::milliseconds(252));
    groups.recordIntervals("south", std::chrono::milliseconds(60));
    return groups.countAdmitted("north", 12) <= 4;
}

bool stalledGroupAdmitsNothing()
{
    TwoGroups groups;
    groups.addOpenRequest("n0");
    groups.clock.time += std::chrono::seconds(1);
    groups.addOpenRequest("s0");
    return groups.countAdmitted("north", 4) == 0;
}

bool expertCountsOfTwoIncarnationsAreNotMixed()
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

bool groupWithTwoEpochsIsIncomplete()
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

CrashHistory historyWithCrashes(unsigned crashes)
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

bool thirdCrashBansRequest()
{
    return historyWithCrashes(3).status({1, 2, 3}, at(3'600'000)).verdict == CrashVerdict::Banned;
}

bool crashReportedTwiceCountsOnce()
{
    CrashHistory history = historyWithCrashes(1);
    CrashRecord again;
    again.name = "another host's";
    again.incarnations.push_back({"i-1", 0});
    again.suspects.push_back({RequestFingerprint{1, 2, 3}, "c", "r", false});
    history.add(again, at(0));
    return history.status({1, 2, 3}, at(0)).crashes == 1;
}

bool completedRequestIsCleared()
{
    CrashHistory history = historyWithCrashes(2);
    history.requestCompleted({1, 2, 3}, at(1));
    return history.status({1, 2, 3}, at(1)).verdict == CrashVerdict::Clear;
}

bool requestIsNotResentAfterRunnerCrash()
{
    AttemptState state = brokenAfterOneRun();
    state.repeatable = true;
    state.runnerEnded = true;
    return nextStep(state) == NextStep::Unknown;
}

struct Invariant {
    const char *name;
    Mutation mutation;
    bool (*holds)();
};

std::ostream &operator<<(std::ostream &out, const Invariant &invariant)
{
    return out << invariant.name;
}

class GatewayMutation : public ::testing::TestWithParam<Invariant>
{
};

} // namespace

TEST_P(GatewayMutation, InvariantHoldsOnlyWithoutMutation)
{
    EXPECT_TRUE(GetParam().holds());
    const ScopedMutation mutation(GetParam().mutation);
    EXPECT_FALSE(GetParam().holds());
}

INSTANTIATE_TEST_SUITE_P(All,
                         GatewayMutation,
                         ::testing::Values(Invariant{"RepeatAfterRun", Mutation::RepeatAfterRun, nonIdempotentRequestIsNotRepeated},
                                           Invariant{"NotRunAfterRun", Mutation::NotRunAfterRun, sentRequestIsNotReportedAsNotRun},
                                           Invariant{"TakeOlderVersion", Mutation::TakeOlderVersion, configurationVersionNeverDecreases},
                                           Invariant{"ForgetProofAge", Mutation::ForgetProofAge, keyProofExpires},
                                           Invariant{"PickLeaving", Mutation::PickLeaving, leavingRunnerIsNotUsable},
                                           Invariant{"UnboundedRepeats", Mutation::UnboundedRepeats, repeatsAreLimitedByBudget},
                                           Invariant{"GiveHalfEvents", Mutation::GiveHalfEvents, partialEventIsNotReleased},
                                           Invariant{"SendToSlow", Mutation::SendToSlow, slowRankIsNotPicked},
                                           Invariant{"AdmitDoomed", Mutation::AdmitDoomed, streamThatCannotFinishIsRefused},
                                           Invariant{"IgnorePace", Mutation::IgnorePace, expertsMoveAwayFromSlowRank},
                                           Invariant{"LoseSlowRanks", Mutation::LoseSlowRanks, leaseRecordListsSlowRanks},
                                           Invariant{"BlindToSilence", Mutation::BlindToSilence, silenceMakesCountsDueEarly},
                                           Invariant{"IgnoreGroupPace", Mutation::IgnoreGroupPace, slowGroupIsAdmittedLess},
                                           Invariant{"AskStillGroup", Mutation::AskStillGroup, stalledGroupAdmitsNothing},
                                           Invariant{"TrustColdExperts", Mutation::TrustColdExperts, idleExpertsMoveAwayFromSlowRank},
                                           Invariant{"MixStarts", Mutation::MixStarts, expertCountsOfTwoIncarnationsAreNotMixed},
                                           Invariant{"ForgetMovedRank", Mutation::ForgetMovedRank, groupWithTwoEpochsIsIncomplete},
                                           Invariant{"NeverBan", Mutation::NeverBan, thirdCrashBansRequest},
                                           Invariant{"CountReports", Mutation::CountReports, crashReportedTwiceCountsOnce},
                                           Invariant{"ClearNobody", Mutation::ClearNobody, completedRequestIsCleared},
                                           Invariant{"ResendAfterCrash", Mutation::ResendAfterCrash, requestIsNotResentAfterRunnerCrash},
                                           Invariant{"KeepTerm", Mutation::KeepTerm, lapsedLeaseStartsNewTerm}),
                         [](const ::testing::TestParamInfo<Invariant> &info) {
                             return info.param.name;
                         });

} // namespace fulmarlink::testing
