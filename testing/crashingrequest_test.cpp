// A request that crashes each runner that begins it, repeated by its caller at one host after
// the other.
//
// Seen: three runners of a rank group ended within 35 ms, and one more each time the group took
// work again, each time with one customer's request in progress that had begun a moment before;
// seven runners ended under one request, and every stream of the pool with them. How it came
// about: an attempt whose runner ended was sent on to the next runner, and each repeat of its
// caller reached a host that knew nothing of the earlier ones. Cause: what a host learns from a
// runner's end stayed in the attempt; nothing tied attempts of one request together, neither on
// one host nor over all. Proved by these tests: with runners that end under one request only,
// whatever else happens, the same request goes on to end them one by one. What counts is what the
// runners saw.

#include <gtest/gtest.h>

#include "testing/harness/crashfleet.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr auto kKnownEverywhere = 1000ms; ///< from the third runner's end; a third of the time in which the platform wants it known
constexpr std::size_t kMostCrashes = 3; ///< what one request may end, copies that were in progress at once apart

struct Case {
    const char *name;
    unsigned gateways;
    const char *path;
    bool sameId;
    bool group;
};

void PrintTo(const Case &value, std::ostream *out) // NOLINT(readability-identifier-naming): found by GoogleTest
{
    *out << value.name;
}

class CrashingRequest : public ::testing::TestWithParam<Case>
{
protected:
    CrashFleetOptions options() const
    {
        CrashFleetOptions result;
        result.gateways = GetParam().gateways;
        result.sameId = GetParam().sameId;
        result.group = GetParam().group;
        return result;
    }
};

std::string caseName(const ::testing::TestParamInfo<Case> &info)
{
    return info.param.name;
}

const auto kCases = ::testing::Values(Case{"ThreeHostsStream", 3, "/stream/crash", true, false},
                                      Case{"FiveHostsStream", 5, "/stream/crash", true, false},
                                      Case{"FiveHostsStreamNewId", 5, "/stream/crash", false, false},
                                      Case{"FiveHostsStreamInGroup", 5, "/stream/crash", true, true},
                                      Case{"FiveHostsIdempotent", 5, "/again/crash", true, false},
                                      Case{"FiveHostsOnce", 5, "/once/crash", false, false},
                                      Case{"SixteenHostsStream", 16, "/stream/crash", true, false},
                                      Case{"SixteenHostsOnceInGroup", 16, "/once/crash", false, true});

} // namespace

TEST_P(CrashingRequest, RepeatsOneAfterTheOtherReachNoFourthRunner)
{
    CrashFleet fleet(options());
    ASSERT_TRUE(fleet.start());
    const std::string path = GetParam().path;
    for (unsigned repeat = 0; repeat < 12; ++repeat) {
        ASSERT_TRUE(fleet.runUntilUp(4));
        const HttpRequest request = fleet.request(path);
        const Answer answer = fleet.ask(repeat % GetParam().gateways, request);
        const bool saidNotRun = answer.status == 503 || answer.status == 429;
        EXPECT_FALSE(saidNotRun && fleet.ran(std::string(request["Attempt-Id"])));
        fleet.run(200ms);
    }
    EXPECT_LE(fleet.crashes(path), kMostCrashes);
    EXPECT_LE(fleet.arrivals(path), kMostCrashes);
}

TEST_P(CrashingRequest, RepeatsAtAllHostsAtOnceReachNoRunnerOnceThreeHaveEnded)
{
    CrashFleet fleet(options());
    ASSERT_TRUE(fleet.start());
    const std::string path = GetParam().path;
    for (unsigned round = 0; round < 8; ++round) {
        ASSERT_TRUE(fleet.runUntilUp(4));
        for (unsigned gateway = 0; gateway < GetParam().gateways; ++gateway) {
            fleet.send(gateway, fleet.request(path));
        }
        fleet.run(400ms);
    }
    ASSERT_GE(fleet.crashes(path), 1U);
    if (fleet.crashes(path) >= kMostCrashes) {
        EXPECT_EQ(fleet.arrivals(path, fleet.crashedAt(path, kMostCrashes) + kKnownEverywhere), 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(Fleet, CrashingRequest, kCases, caseName);

} // namespace fulmarlink::testing
