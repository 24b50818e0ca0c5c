// Requests that differ in customer, path, body and the rest of their prompts, and have one prompt segment in common that
// crashes each runner that begins to answer one of them, beside sound requests with the other segments.
//
// Guards against a segment that crashes one runner after the other, since the crashes of different requests were never counted
// together: nine runners of a rank group ended, one each time the group had formed, and hardly any stream was served meanwhile.
// Guards as well against the opposite mistake, sound requests that are refused for what they share with those. The fleet counts
// on the runners' side, over all hosts.

#include <gtest/gtest.h>

#include "testing/harness/gatewayfleet.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t kMostCrashes = 3; ///< runners that one segment may crash, not counting requests that were in progress at the same time
constexpr auto kPropagationTime = 1000ms; ///< from a crash until all hosts know it; a third of what the platform allows
constexpr unsigned kSoundPerRound = 4;

constexpr const char *kCrashing = "dead01";
constexpr const char *kOtherCrashing = "dead02";

struct Case {
    const char *name;
    GatewayFleetOptions fleet;
    const char *path;
    std::chrono::milliseconds interval; ///< between requests with the crashing segment
    unsigned rounds;
    bool severalCustomers;
};

void PrintTo(const Case &value, std::ostream *out) // NOLINT(readability-identifier-naming): found by GoogleTest
{
    *out << value.name;
}

std::string caseName(const ::testing::TestParamInfo<Case> &info)
{
    return info.param.name;
}

/** Sends requests with crashing segments and sound ones, and keeps their answers. */
class SegmentLoad
{
public:
    SegmentLoad(GatewayFleet &fleet, unsigned gateways, std::string path)
        : m_fleet(fleet)
        , m_gateways(gateways)
        , m_path(std::move(path))
    {
    }

    void sendCrashing(const std::string &segment = kCrashing, const std::string &key = "key")
    {
        const std::string middle = m_sent % 2 == 0 ? "beef02:80," : "";
        send("5a5a:40," + middle + segment + ":300,", key);
    }

    void sendSound(const std::string &key = "key")
    {
        const std::string middle = m_sent % 2 == 0 ? "beef02:80," : "";
        m_sound.push_back({std::chrono::steady_clock::now(), send("5a5a:40," + middle, key)});
    }

    /** Share of the sound requests sent after @p after that were answered whole at the first attempt; -1 if there were fewer than @p least. */
    double soundServedShare(GatewayFleet::Time after, std::size_t least = 20) const
    {
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const Sound &sound : m_sound) {
            if (sound.at <= after) {
                continue;
            }
            ++sent;
            served += sound.answer->status == 200 && sound.answer->whole ? 1 : 0;
        }
        return sent < least ? -1 : static_cast<double>(served) / static_cast<double>(sent);
    }

    std::size_t soundHeldBack() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_sound, [](const Sound &sound) {
            return (*sound.answer)["Fulmarlink-Result"] == "135 request-ends-runners";
        }));
    }

private:
    struct Sound {
        GatewayFleet::Time at;
        std::shared_ptr<Answer> answer;
    };

    std::shared_ptr<Answer> send(const std::string &sharedSegments, const std::string &key)
    {
        ++m_sent;
        HttpRequest request = m_fleet.request(m_path + std::to_string(m_sent), "text " + std::to_string(m_sent), key);
        request.set("Prompt-Prefix", sharedSegments + "a" + std::to_string(m_sent) + ":100");
        return m_fleet.send((m_sent * 7) % m_gateways, std::move(request));
    }

    GatewayFleet &m_fleet;
    const unsigned m_gateways;
    const std::string m_path;
    unsigned m_sent = 0;
    std::vector<Sound> m_sound;
};

class CrashingSegment : public ::testing::TestWithParam<Case>
{
};

const auto kCases
    = ::testing::Values(Case{"FiveHostsStream", {.gateways = 5, .runners = 8}, "/stream/", 258ms, 24, false},
                        Case{"FiveHostsStreamOfSeveralCustomers", {.gateways = 5, .runners = 8}, "/stream/", 258ms, 24, true},
                        Case{"FiveHostsIdempotent", {.gateways = 5, .runners = 8}, "/again/", 258ms, 24, false},
                        Case{"FiveHostsOnce", {.gateways = 5, .runners = 8}, "/once/", 258ms, 24, true},
                        Case{"FiveHostsNewIds", {.gateways = 5, .runners = 8, .sameId = false}, "/stream/", 258ms, 24, false},
                        Case{"FiveHostsInGroup", {.gateways = 5, .runners = 8, .group = true}, "/stream/", 258ms, 24, true},
                        Case{"FiveHostsStreamsWithoutLength", {.gateways = 5, .runners = 8, .streamsHaveLength = false}, "/stream/", 258ms, 24, false},
                        Case{"FiveHostsSeldom", {.gateways = 5, .runners = 8}, "/stream/", 908ms, 12, false},
                        Case{"OneHost", {.gateways = 1, .runners = 8}, "/stream/", 258ms, 24, false},
                        Case{"SixteenHosts", {.gateways = 16, .runners = 16}, "/stream/", 258ms, 24, true});

} // namespace

// Guards against a prompt segment that crashes a runner with each request that has it, although no two of them are equal.
TEST_P(CrashingSegment, CrashesAtMostThreeRunnersAndSoundRequestsAreServed)
{
    GatewayFleet fleet(GetParam().fleet);
    fleet.crashingSegments = {kCrashing};
    ASSERT_TRUE(fleet.start());
    SegmentLoad load(fleet, GetParam().fleet.gateways, GetParam().path);
    for (unsigned round = 0; round < GetParam().rounds; ++round) {
        load.sendCrashing(kCrashing, GetParam().severalCustomers && round % 2 == 1 ? "other-key" : "key");
        for (unsigned i = 0; i < kSoundPerRound; ++i) {
            fleet.runFor(GetParam().interval / kSoundPerRound);
            load.sendSound(GetParam().severalCustomers && i % 2 == 1 ? "other-key" : "key");
        }
    }
    fleet.runFor(1000ms);
    ASSERT_GE(fleet.segmentCrashCount(kCrashing), 1U);
    EXPECT_LE(fleet.segmentCrashCount(kCrashing), kMostCrashes);
    EXPECT_LE(fleet.segmentArrivalCount(kCrashing), kMostCrashes);
    EXPECT_EQ(load.soundHeldBack(), 0U);
    const auto lastCrash = fleet.segmentCrashTime(kCrashing, fleet.segmentCrashCount(kCrashing));
    EXPECT_EQ(load.soundServedShare(lastCrash + kPropagationTime), 1.0);
}

INSTANTIATE_TEST_SUITE_P(Fleet, CrashingSegment, kCases, caseName);

// Guards against requests with the segment that are sent on since each host knows only a part of the crashes, while many are in progress at once.
TEST(CrashingSegmentLoad, NoRequestReachesARunnerOnceAllHostsKnowThreeCrashes)
{
    GatewayFleet fleet({.gateways = 5, .runners = 8});
    fleet.crashingSegments = {kCrashing};
    ASSERT_TRUE(fleet.start());
    SegmentLoad load(fleet, 5, "/stream/");
    for (unsigned round = 0; round < 60; ++round) {
        load.sendCrashing(kCrashing, round % 3 == 0 ? "other-key" : "key");
        for (unsigned i = 0; i < kSoundPerRound; ++i) {
            fleet.runFor(17ms);
            load.sendSound();
        }
    }
    fleet.runFor(1000ms);
    ASSERT_GE(fleet.segmentCrashCount(kCrashing), kMostCrashes);
    EXPECT_EQ(fleet.segmentArrivalCount(kCrashing, fleet.segmentCrashTime(kCrashing, kMostCrashes) + kPropagationTime), 0U);
    EXPECT_EQ(load.soundHeldBack(), 0U);
    const auto lastCrash = fleet.segmentCrashTime(kCrashing, fleet.segmentCrashCount(kCrashing));
    EXPECT_EQ(load.soundServedShare(lastCrash + kPropagationTime), 1.0);
}

// Guards against sound requests that are suspected since they share segments with those of two crashing ones.
TEST(CrashingSegmentLoad, TwoCrashingSegmentsAreBothHeldBack)
{
    GatewayFleet fleet({.gateways = 5, .runners = 8});
    fleet.crashingSegments = {kCrashing, kOtherCrashing};
    ASSERT_TRUE(fleet.start());
    SegmentLoad load(fleet, 5, "/stream/");
    for (unsigned round = 0; round < 30; ++round) {
        load.sendCrashing(round % 2 == 0 ? kCrashing : kOtherCrashing, round % 3 == 0 ? "other-key" : "key");
        for (unsigned i = 0; i < kSoundPerRound; ++i) {
            fleet.runFor(65ms);
            load.sendSound(i % 2 == 1 ? "other-key" : "key");
        }
    }
    fleet.runFor(1000ms);
    EXPECT_LE(fleet.segmentArrivalCount(kCrashing), kMostCrashes);
    EXPECT_LE(fleet.segmentArrivalCount(kOtherCrashing), kMostCrashes);
    EXPECT_EQ(load.soundHeldBack(), 0U);
    const auto lastCrash = std::max(fleet.segmentCrashTime(kCrashing, fleet.segmentCrashCount(kCrashing)),
                                    fleet.segmentCrashTime(kOtherCrashing, fleet.segmentCrashCount(kOtherCrashing)));
    EXPECT_EQ(load.soundServedShare(lastCrash + kPropagationTime), 1.0);
}

// Guards against a host that starts and knows nothing of the crashes before.
TEST(CrashingSegmentHosts, StartingHostReadsTheCrashesBeforeItServes)
{
    GatewayFleet fleet({.gateways = 3, .runners = 8});
    fleet.crashingSegments = {kCrashing};
    ASSERT_TRUE(fleet.start());
    SegmentLoad load(fleet, 3, "/stream/");
    for (unsigned i = 0; i < 9; ++i) {
        ASSERT_TRUE(fleet.runUntilRunning(6));
        load.sendCrashing();
        fleet.runFor(250ms);
        fleet.killGateway(i % 3);
        fleet.runFor(50ms);
        fleet.startGateway(i % 3);
        ASSERT_TRUE(fleet.runUntil(
            [&fleet, i] {
                return fleet.ready(i % 3);
            },
            6000ms));
    }
    EXPECT_LE(fleet.segmentArrivalCount(kCrashing), kMostCrashes);
}

// Guards against crashes that are forgotten, or counted by each host for itself, after the store was away.
TEST(CrashingSegmentHosts, CrashesWhileTheStoreIsAwayAreSharedOnceItIsBack)
{
    GatewayFleet fleet({.gateways = 3, .runners = 8});
    fleet.crashingSegments = {kCrashing};
    ASSERT_TRUE(fleet.start());
    SegmentLoad load(fleet, 3, "/stream/");
    fleet.store.faults.refusalStatus = 503;
    for (unsigned i = 0; i < 3; ++i) {
        ASSERT_TRUE(fleet.runUntilRunning(6));
        load.sendCrashing();
        fleet.runFor(300ms);
    }
    fleet.store.faults = {};
    fleet.runFor(3000ms);
    const std::size_t before = fleet.segmentArrivalCount(kCrashing);
    ASSERT_GE(before, 2U);
    for (unsigned i = 0; i < 12; ++i) {
        load.sendCrashing();
        load.sendSound();
        load.sendSound();
        fleet.runFor(200ms);
    }
    EXPECT_LE(fleet.segmentArrivalCount(kCrashing), kMostCrashes);
    EXPECT_EQ(load.soundHeldBack(), 0U);
}

// Guards against a trial for each host, customer or request with the segment, and against a process that ends as it claims one.
TEST(CrashingSegmentHosts, OneRequestIsTriedAfterTheHoldTimeWhateverTheArrivals)
{
    GatewayFleet fleet({.gateways = 5, .runners = 8, .holdTime = 1000ms});
    fleet.crashingSegments = {kCrashing};
    ASSERT_TRUE(fleet.start());
    SegmentLoad load(fleet, 5, "/stream/");
    for (const char *key : {"key", "other-key"}) {
        load.sendCrashing(kCrashing, key);
        fleet.runFor(400ms);
    }
    ASSERT_EQ(fleet.segmentCrashCount(kCrashing), 2U);
    fleet.runFor(1000ms);
    for (unsigned i = 0; i < 60; ++i) {
        load.sendCrashing(kCrashing, i % 2 == 0 ? "key" : "other-key");
        fleet.runFor(25ms);
    }
    EXPECT_EQ(fleet.segmentArrivalCount(kCrashing), kMostCrashes) << "two crashes and one trial";
}

// Guards against a segment that stays refused on some host after its trial has been answered.
TEST(CrashingSegmentHosts, SegmentWhoseTrialIsAnsweredIsServedOnAllHosts)
{
    GatewayFleet fleet({.gateways = 5, .runners = 8, .holdTime = 1000ms});
    fleet.crashingSegments = {kCrashing};
    ASSERT_TRUE(fleet.start());
    SegmentLoad load(fleet, 5, "/stream/");
    for (unsigned i = 0; i < 2; ++i) {
        load.sendCrashing();
        fleet.runFor(400ms);
    }
    ASSERT_EQ(fleet.segmentCrashCount(kCrashing), 2U);
    EXPECT_GE(fleet.counterSum("fulmarlink_segments_held_back"), 5U) << "one on each host, and one that was lost in the same crashes";
    fleet.crashingSegments.clear();
    fleet.runFor(1000ms);
    load.sendCrashing();
    fleet.runFor(1000ms);
    for (unsigned gateway = 0; gateway < 5; ++gateway) {
        HttpRequest request = fleet.request("/stream/again" + std::to_string(gateway));
        request.set("Prompt-Prefix", std::string(kCrashing) + ":300,a0:100");
        EXPECT_EQ(fleet.ask(gateway, std::move(request)).status, 200U) << gateway;
    }
}

// Guards against sound requests that are refused since their segments are in each request that is in progress when runners end by themselves.
TEST(CrashingSegmentLoad, UnrelatedCrashesHoldNoSegmentBack)
{
    GatewayFleet fleet({.gateways = 5, .runners = 8});
    ASSERT_TRUE(fleet.start());
    SegmentLoad load(fleet, 5, "/stream/");
    for (unsigned round = 0; round < 12; ++round) {
        ASSERT_TRUE(fleet.runUntilRunning(6));
        for (unsigned i = 0; i < 24; ++i) {
            load.sendSound(i % 3 == 0 ? "other-key" : "key");
        }
        fleet.runFor(4ms);
        fleet.crashRunner(round % 8);
        fleet.crashRunner((round + 3) % 8);
        fleet.runFor(250ms);
        EXPECT_EQ(fleet.counterSum("fulmarlink_requests_held_back"), 0U);
    }
    fleet.runFor(500ms);
    EXPECT_GT(fleet.counterSum("fulmarlink_runners_ended_total"), 10U);
    EXPECT_EQ(load.soundHeldBack(), 0U);
}

} // namespace fulmarlink::testing
