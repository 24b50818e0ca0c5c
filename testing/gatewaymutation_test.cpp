// Broken variants of the gateway's decisions: each breaks a promise that holds without it.

#include <gtest/gtest.h>
#include <ostream>

#include "fulmarlink/attemptpolicy.h"
#include "fulmarlink/configstate.h"
#include "fulmarlink/eventsplitter.h"
#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/hostclock.h"
#include "fulmarlink/leasekeeper.h"
#include "fulmarlink/targettable.h"
#include "fulmarlink/windowbudget.h"
#include "platform/platformprotocol.h"
#include "testing/harness/mutation_on.h"

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
    return !state.keysProved(at(60'000));
}

bool leavingRunnersRest()
{
    TargetTable targets({});
    TargetInfo info;
    info.id = "a";
    info.pool = "p";
    info.leaving = true;
    targets.setTargets({info}, at(0));
    return !targets.mayTake("a", at(0));
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
    LeaseKeeper keeper(LeaseOptions{.self = "a"});
    keeper.readDone({}, at(0));
    LeaseRecord record = keeper.toWrite();
    record.revision = 1;
    keeper.writeDone({{}, record}, at(0), at(1));
    record.revision = 2;
    keeper.writeDone({{}, record}, at(20'000), at(20'001));
    return keeper.termId() == 2;
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
                                           Promise{"KeepTerm", Mutation::KeepTerm, aLapsedTermEnds}),
                         [](const ::testing::TestParamInfo<Promise> &info) {
                             return info.param.name;
                         });

} // namespace fulmarlink::testing
