// Tests the controller of a group's expert map against an in-memory group in real time: demand
// shifts, late copies, slow ranks, a group that is still starting, and loss of the store.

#include "fulmarlink/expertmapcontroller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "fulmarlink/hostclock.h"
#include "fulmarlink/log.h"
#include "platform/platformprotocol.h"
#include "testing/harness/fakegroup.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;
namespace asio = boost::asio;

const std::vector<double> kEven(8, 1);
const std::vector<double> kOneHot{30, 1, 1, 1, 1, 1, 1, 1};

class ExpertMapControllerTest : public ::testing::Test
{
public:
    void start(FakeGroupOptions options)
    {
        startLogging("off");
        settings.host = "entry";
        state = std::make_unique<GatewayState>(settings, clock, counters, protocol);
        group = std::make_unique<FakeGroup>(context, options);
        group->setDemand(kEven);
        Configuration configuration;
        configuration.version = 1;
        ServiceSpec service;
        service.name = "model";
        service.engine.emplace();
        service.engine->layerSets = 1;
        service.engine->experts = options.experts;
        service.engine->placements = options.placements;
        service.engine->newPerSwitch = 2;
        service.engine->expertMb = 1;
        service.engine->linkMbps = 800; // one expert copy takes 10 ms
        service.engine->expertShare = 0.8;
        service.engine->reportLag = 200ms;
        configuration.services.push_back(service);
        ASSERT_TRUE(state->config.offer(std::move(configuration)));
        state->targets.setTargets(group->targets(), clock.now());
        for (const TargetInfo &target : group->targets()) {
            state->targets.setGroup(target.id, "g");
        }
        group->start([this](Duration length) {
            recordEvents(length);
        });
        controller = std::make_shared<ExpertMapController>(context, *state, *group, "model", "g");
        asio::co_spawn(context, controller->run(), asio::detached);
    }

    /** Reports the events of one pass to the gate, as the streams of this host would. */
    void recordEvents(Duration length)
    {
        constexpr unsigned kStreams = 8;
        if (!hasLocalStreams) {
            return;
        }
        PoolGate &gate = state->pool("model").gate("g");
        gate.recordAnswer(clock.now());
        for (unsigned i = 0; i < kStreams; ++i) {
            gate.recordEventInterval(length, 100ms, clock.now());
        }
    }

    template<typename Condition>
    bool runUntil(Condition condition, std::chrono::milliseconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_for(5ms);
        }
        return condition();
    }

    ~ExpertMapControllerTest() override
    {
        if (state) {
            state->drainStartedAt = clock.now();
            group->stop();
            context.run_for(500ms);
        }
    }

    bool hasLocalStreams = true;
    asio::io_context context;
    HostClock clock;
    Counters counters;
    PlatformProtocol protocol;
    GatewaySettings settings;
    std::unique_ptr<GatewayState> state;
    std::unique_ptr<FakeGroup> group;
    std::shared_ptr<ExpertMapController> controller;
};

} // namespace

TEST_F(ExpertMapControllerTest, DemandShiftCausesASwitchAndNoPassUsesTwoMaps)
{
    start({});
    context.run_for(1500ms);
    group->setDemand(kOneHot);
    const double before = group->imbalance();
    EXPECT_TRUE(runUntil(
        [this] {
            return group->switches > 0 && group->imbalance() < 1.5;
        },
        10s));
    EXPECT_GT(before, 1.9);
    EXPECT_FALSE(group->usedMixedMaps);
}

// GroupWatch destroys a controller that has ended, so nothing that it started may still use it.
TEST_F(ExpertMapControllerTest, EndedControllerCanBeDestroyed)
{
    start({});
    ASSERT_TRUE(runUntil(
        [this] {
            return group->lease.holder == "entry";
        },
        5s));
    EXPECT_FALSE(controller->ended());
    state->drainStartedAt = clock.now();
    ASSERT_TRUE(runUntil(
        [this] {
            return controller->ended();
        },
        5s));
    EXPECT_TRUE(group->lease.holder.empty());
    controller.reset();
    context.run_for(300ms);
}

// Reads of counts cost the group time: a shift may take two reads of the sampled ranks, a third if a pass was short, and none for the switch.
TEST_F(ExpertMapControllerTest, DemandShiftCausesFewCountReads)
{
    start({});
    context.run_for(1500ms);
    group->countReads = 0;
    group->setDemand(kOneHot);
    ASSERT_TRUE(runUntil(
        [this] {
            return group->switches > 0;
        },
        10s));
    EXPECT_LE(group->countReads, 3 * settings.sampledRanks);
    EXPECT_FALSE(group->usedMixedMaps);
}

TEST_F(ExpertMapControllerTest, LateCopyHoldsTheGroupOnlyUntilItCompletes)
{
    FakeGroupOptions options;
    options.lastRankCopyDelay = 100ms;
    start(options);
    context.run_for(1500ms);
    group->setDemand(kOneHot);
    EXPECT_TRUE(runUntil(
        [this] {
            return group->switches > 0;
        },
        10s));
    EXPECT_FALSE(group->usedMixedMaps);
    EXPECT_EQ(group->reportReadsWhileHeld, 0U) << "reports are 0.28 s old, so the group would be held for that long";
}

TEST_F(ExpertMapControllerTest, LeaseIsKeptWhileTheGroupIsStarting)
{
    FakeGroupOptions options;
    options.listedRanks = 2;
    start(options);
    ASSERT_TRUE(runUntil(
        [this] {
            return group->lease.holder == "entry";
        },
        5s));
    context.run_for(600ms);
    EXPECT_EQ(group->lease.holder, "entry");
    EXPECT_LE(group->lease.renewals, 2U);
}

// The store stops answering the lease holder, and demand shifts right afterwards.
TEST_F(ExpertMapControllerTest, LeaderWithoutTheStoreWorksUntilItsLeaseExpires)
{
    start({});
    ASSERT_TRUE(runUntil(
        [this] {
            return group->lease.renewals >= 2;
        },
        5s));
    group->leaseWritesTimeOut = true;
    context.run_for(900ms); // a renewal is in flight by now
    group->setDemand(kOneHot);
    EXPECT_TRUE(runUntil(
        [this] {
            return group->switches > 0;
        },
        800ms));
}

// The callers of a zone move to another zone while the group keeps processing requests.
TEST_F(ExpertMapControllerTest, LeaderWithoutStreamsReleasesTheLeaseOfAnActiveGroup)
{
    start({});
    ASSERT_TRUE(runUntil(
        [this] {
            return group->lease.holder == "entry";
        },
        5s));
    context.run_for(500ms);
    EXPECT_EQ(group->lease.holder, "entry");
    hasLocalStreams = false;
    EXPECT_TRUE(runUntil(
        [this] {
            return group->lease.holder.empty();
        },
        6s));
}

// One rank works at an eighth of its speed, and the whole group waits for it.
TEST_F(ExpertMapControllerTest, SlowRankIsRelievedPublishedAndRestored)
{
    start({});
    context.run_for(1500ms);
    group->setSlowdown(2, 8);
    const double before = group->imbalance();
    EXPECT_TRUE(runUntil(
        [this] {
            return group->lease.slowTargets == std::vector<std::string>{"rank-2"} && group->imbalance() < 3;
        },
        15s))
        << group->imbalance();
    EXPECT_GT(before, 6);
    EXPECT_FALSE(group->usedMixedMaps);
    Random random(1);
    const TargetInfo *picked = state->targets.pick("model", {"rank-0", "rank-1"}, clock.now(), random);
    ASSERT_NE(picked, nullptr);
    EXPECT_EQ(picked->id, "rank-3");
    group->setSlowdown(2, 1);
    EXPECT_TRUE(runUntil(
        [this] {
            return group->lease.slowTargets.empty();
        },
        5s));
}

// A rank is so slow that a pass takes over half a second, which looks like a stalled group.
TEST_F(ExpertMapControllerTest, GroupWithVeryLongPassesIsStillRebalanced)
{
    start({});
    context.run_for(1500ms);
    group->setSlowdown(1, 40);
    EXPECT_TRUE(runUntil(
        [this] {
            return group->imbalance() < 5;
        },
        10s))
        << group->imbalance();
    EXPECT_FALSE(group->usedMixedMaps);
}

// Guards against a group that keeps its map, or stands still in the middle of a switch, since the entry of one of its ranks can't be read: the ranks report
// their group themselves.
TEST_F(ExpertMapControllerTest, GroupSwitchesWhileTheEntryOfARankCannotBeRead)
{
    start({});
    std::vector<TargetInfo> list = group->targets();
    const std::string id = list.back().id;
    list.pop_back();
    state->targets.setTargets(list, clock.now(), {id});
    context.run_for(1500ms);
    group->setDemand(kOneHot);
    EXPECT_TRUE(runUntil(
        [this] {
            return group->switches > 0 && group->imbalance() < 1.5;
        },
        10s));
    EXPECT_FALSE(group->usedMixedMaps);
}

} // namespace fulmarlink::testing
