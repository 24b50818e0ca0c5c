// A request that crashes each runner that begins it, repeated by its caller at one host after
// the other.
//
// Guards against one request crashing one runner after the other: three runners of a rank group
// crashed within 35 ms, and another each time the group accepted work again, always just after one
// customer's request had begun; one request crashed seven runners, and every stream of the pool was
// lost with them. The attempt was retried on the next runner, and each repeat by the caller reached
// a host that knew nothing of the earlier crashes, because nothing tied attempts at one request
// together, on one host or across hosts. The tests count the requests that reached the runners.

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include "testing/harness/gatewayfleet.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr auto kPropagationTime = 1000ms; ///< from the third crash until all hosts know it; a third of what the platform allows
constexpr std::size_t kMostCrashes = 3; ///< runners that one request may crash, not counting copies that were in progress at the same time

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
    GatewayFleetOptions options() const
    {
        GatewayFleetOptions result;
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

TEST_P(CrashingRequest, SequentialRepeatsReachAtMostThreeRunners)
{
    GatewayFleet fleet(options());
    ASSERT_TRUE(fleet.start());
    const std::string path = GetParam().path;
    for (unsigned repeat = 0; repeat < 12; ++repeat) {
        ASSERT_TRUE(fleet.runUntilRunning(4));
        const HttpRequest request = fleet.request(path);
        const Answer answer = fleet.ask(repeat % GetParam().gateways, request);
        const bool reportedNotRun = answer.status == 503 || answer.status == 429;
        EXPECT_FALSE(reportedNotRun && fleet.attemptRan(std::string(request["Attempt-Id"])));
        fleet.runFor(200ms);
    }
    EXPECT_LE(fleet.crashCount(path), kMostCrashes);
    EXPECT_LE(fleet.arrivalCount(path), kMostCrashes);
}

TEST_P(CrashingRequest, ConcurrentRepeatsReachNoRunnerAfterThreeCrashes)
{
    GatewayFleet fleet(options());
    ASSERT_TRUE(fleet.start());
    const std::string path = GetParam().path;
    for (unsigned round = 0; round < 8; ++round) {
        ASSERT_TRUE(fleet.runUntilRunning(4));
        for (unsigned gateway = 0; gateway < GetParam().gateways; ++gateway) {
            fleet.send(gateway, fleet.request(path));
        }
        fleet.runFor(400ms);
    }
    ASSERT_GE(fleet.crashCount(path), 1U);
    if (fleet.crashCount(path) >= kMostCrashes) {
        EXPECT_EQ(fleet.arrivalCount(path, fleet.crashTime(path, kMostCrashes) + kPropagationTime), 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(Fleet, CrashingRequest, kCases, caseName);

TEST(CrashingRequestStore, StoreThatAnswersLongPollsAtOnceIsNotPolledInATightLoop)
{
    GatewayFleet fleet({.gateways = 1, .runners = 1});
    fleet.store.faults.watchesReturnEarly = true;
    ASSERT_TRUE(fleet.start());
    fleet.runFor(1500ms);
    const unsigned before = fleet.store.calls;
    fleet.runFor(2000ms);
    EXPECT_LE(fleet.store.calls - before, 40U);
}

namespace
{

constexpr const char *kStream = "/stream/crash";

/** Sends the request @p repeats times, one after the other, to the @p gateways first gateways in turn. */
void sendRepeats(GatewayFleet &fleet, unsigned repeats, unsigned gateways, const std::string &path = kStream)
{
    for (unsigned i = 0; i < repeats; ++i) {
        ASSERT_TRUE(fleet.runUntilRunning(4));
        fleet.ask(i % gateways, fleet.request(path));
        fleet.runFor(200ms);
    }
}

std::string clearedRecordNames(const GatewayFleet &fleet)
{
    std::string result;
    for (const std::string &name : fleet.store.names("fulmarlink-crashes")) {
        result += name.starts_with("cleared") ? name + ' ' : "";
    }
    return result;
}

} // namespace

TEST(CrashingRequestAnswers, BannedRepeatIsRefusedAtOnceAsNotRunWithALongRetryAfter)
{
    GatewayFleet fleet({});
    ASSERT_TRUE(fleet.start());
    sendRepeats(fleet, 3, 5);
    const auto began = std::chrono::steady_clock::now();
    const HttpRequest request = fleet.request(kStream);
    const Answer answer = fleet.ask(4, request);
    EXPECT_LT(std::chrono::steady_clock::now() - began, 200ms);
    EXPECT_EQ(answer.status, 503U);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer["Fulmarlink-Result"], "135 request-ends-runners");
    EXPECT_GT(std::stod(answer["Retry-After"]), 60.0);
    EXPECT_FALSE(fleet.attemptRan(std::string(request["Attempt-Id"])));
    EXPECT_EQ(fleet.counterSum("fulmarlink_requests_held_back"), 5U) << "one on each host";
}

TEST(CrashingRequestAnswers, AttemptOnACrashedRunnerReportsItAndIsNotRetried)
{
    GatewayFleet fleet({});
    ASSERT_TRUE(fleet.start());
    const Answer answer = fleet.ask(0, fleet.request("/again/crash"));
    EXPECT_EQ(answer.status, 502U);
    EXPECT_EQ(answer["Fulmarlink-Result"], "214 runner-ended");
    EXPECT_EQ(fleet.arrivalCount("/again/crash"), 1U);
}

TEST(CrashingRequestKey, RequestsOfOtherPathsBodiesOrCustomersAreNotHeldBack)
{
    GatewayFleet fleet({});
    ASSERT_TRUE(fleet.start());
    sendRepeats(fleet, 4, 5);
    ASSERT_LE(fleet.crashCount(kStream), kMostCrashes);
    ASSERT_TRUE(fleet.runUntilRunning(6));
    const std::size_t before = fleet.arrivalCount(kStream);
    fleet.ask(0, fleet.request(kStream, "another body"));
    EXPECT_EQ(fleet.arrivalCount(kStream), before + 1) << "a different body is a different request";
    ASSERT_TRUE(fleet.runUntilRunning(4));
    fleet.ask(1, fleet.request(kStream, "text", "other-key"));
    EXPECT_EQ(fleet.arrivalCount(kStream), before + 2) << "another customer's request is a different request";
    EXPECT_EQ(fleet.ask(2, fleet.request("/stream/fine")).status, 200U);
    EXPECT_EQ(fleet.ask(3, fleet.request("/again/fine")).status, 200U);
}

TEST(CrashingRequestLoad, TwoConcurrentCrashingRequestsAreBothHeldBack)
{
    GatewayFleet fleet({});
    ASSERT_TRUE(fleet.start());
    for (unsigned i = 0; i < 10; ++i) {
        ASSERT_TRUE(fleet.runUntilRunning(4));
        fleet.send(i % 5, fleet.request("/stream/crash-1"));
        fleet.send((i + 2) % 5, fleet.request("/again/crash-2"));
        fleet.runFor(300ms);
    }
    EXPECT_LE(fleet.arrivalCount("/stream/crash-1"), kMostCrashes);
    EXPECT_LE(fleet.arrivalCount("/again/crash-2"), kMostCrashes);
}

// Callers keep sending the same status request while runners crash for other reasons.
TEST(CrashingRequestLoad, UnrelatedCrashesHoldNoRequestBack)
{
    GatewayFleet fleet({.runners = 8, .workTime = 10ms});
    ASSERT_TRUE(fleet.start());
    unsigned sent = 0;
    for (unsigned round = 0; round < 12; ++round) {
        ASSERT_TRUE(fleet.runUntilRunning(6));
        for (unsigned i = 0; i < 20; ++i) {
            fleet.send(i % 5, fleet.request("/again/status"));
            fleet.send(i % 5, fleet.request("/stream/own", "body " + std::to_string(++sent)));
        }
        fleet.runFor(8ms);
        fleet.crashRunner(round % 8);
        fleet.crashRunner((round + 3) % 8);
        fleet.runFor(250ms);
        EXPECT_EQ(fleet.counterSum("fulmarlink_requests_held_back"), 0U) << clearedRecordNames(fleet);
    }
    EXPECT_GT(fleet.counterSum("fulmarlink_runners_ended_total"), 10U);
    ASSERT_TRUE(fleet.runUntilRunning(8));
    for (unsigned gateway = 0; gateway < 5; ++gateway) {
        EXPECT_EQ(fleet.ask(gateway, fleet.request("/again/status")).status, 200U);
    }
}

// Guards against a host that resumes a stream at one ended runner after the other, and then bans it for ends that its own resumptions met.
TEST(CrashingRequestLoad, StreamIsNotResumedUnderTwoEndedRunners)
{
    constexpr unsigned kRunners = 5;
    GatewayFleet fleet({.gateways = 1, .runners = kRunners, .restartDelay = 3000ms, .workTime = 100ms});
    ASSERT_TRUE(fleet.start());
    const auto answer = fleet.send(0, fleet.request("/stream/long"));
    for (unsigned end = 1; end <= 3; ++end) {
        fleet.runUntil(
            [&fleet, end] {
                return fleet.arrivalCount("/stream/long") >= end;
            },
            1000ms);
        fleet.runFor(250ms);
        for (unsigned i = 0; i < kRunners; ++i) {
            if (!fleet.requestsAt(i).empty() && fleet.isRunning(i)) {
                fleet.crashRunner(i);
            }
        }
    }
    fleet.runFor(1000ms);
    EXPECT_EQ(fleet.arrivalCount("/stream/long"), 2U);
    EXPECT_FALSE(answer->whole);
    EXPECT_EQ(fleet.counterSum("fulmarlink_requests_held_back"), 0U);
    EXPECT_EQ(fleet.ask(0, fleet.request("/stream/long")).status, 200U) << "its caller may repeat it";
}

// The last packets of a crashed runner are lost, so other attempts on it still look in progress.
TEST(CrashingRequestLoad, CrashIsDetectedWhenOtherConnectionsSeeNoReset)
{
    GatewayFleet fleet({.runners = 8, .sameId = false, .restartDelay = 1500ms, .silentCrash = true, .workTime = 60ms});
    ASSERT_TRUE(fleet.start());
    for (unsigned i = 0; i < 8; ++i) {
        ASSERT_TRUE(fleet.runUntilRunning(6));
        for (unsigned j = 0; j < 16; ++j) {
            fleet.send(0, fleet.request("/stream/own", std::to_string(100 * i + j)));
        }
        fleet.runFor(20ms);
        fleet.ask(0, fleet.request(kStream));
        fleet.runFor(800ms);
    }
    EXPECT_LE(fleet.arrivalCount(kStream), kMostCrashes);
}

TEST(CrashingRequestLoad, ResetConnectionDoesNotCountAsCrash)
{
    GatewayFleet fleet({});
    ASSERT_TRUE(fleet.start());
    for (unsigned i = 0; i < 6; ++i) {
        EXPECT_EQ(fleet.ask(i % 5, fleet.request("/again/reset")).status, 200U);
    }
    EXPECT_EQ(fleet.counterSum("fulmarlink_runners_ended_total"), 0U);
    EXPECT_EQ(fleet.store.names("fulmarlink-crashes").size(), 0U) << "nothing is written unless a runner ends";
}

TEST(CrashingRequestHosts, StartingHostReadsTheRecordsBeforeItServes)
{
    GatewayFleet fleet({.gateways = 3});
    ASSERT_TRUE(fleet.start());
    for (unsigned i = 0; i < 9; ++i) {
        ASSERT_TRUE(fleet.runUntilRunning(4));
        fleet.ask(i % 3, fleet.request(kStream));
        fleet.runFor(250ms);
        fleet.killGateway(i % 3);
        fleet.runFor(50ms);
        fleet.startGateway(i % 3);
        fleet.runFor(300ms);
    }
    EXPECT_LE(fleet.arrivalCount(kStream), kMostCrashes);
}

TEST(CrashingRequestHosts, OneHostRunsOneTrialAfterTheHoldTimeWhateverTheArrivals)
{
    GatewayFleet fleet({.runners = 8, .holdTime = 1000ms});
    ASSERT_TRUE(fleet.start());
    sendRepeats(fleet, 2, 2);
    ASSERT_EQ(fleet.crashCount(kStream), 2U);
    ASSERT_TRUE(fleet.runUntilRunning(8));
    fleet.runFor(1000ms);
    for (unsigned i = 0; i < 20; ++i) { // at all hosts at once, repeatedly
        for (unsigned gateway = 0; gateway < 5; ++gateway) {
            fleet.send(gateway, fleet.request(kStream));
        }
        fleet.runFor(150ms);
    }
    EXPECT_EQ(fleet.arrivalCount(kStream), kMostCrashes) << "two crashes and one trial";
}

TEST(CrashingRequestHosts, OperatorReleaseTakesEffectOnAllHosts)
{
    GatewayFleet fleet({});
    ASSERT_TRUE(fleet.start());
    sendRepeats(fleet, 4, 5);
    ASSERT_EQ(fleet.ask(0, fleet.request(kStream)).status, 503U);
    boost::json::array lives;
    std::string fingerprint;
    for (const std::string &name : fleet.store.names("fulmarlink-crashes")) {
        const boost::json::value record = fleet.store.get("fulmarlink-crashes", name);
        lives.push_back(record.at("lives").at(0));
        fingerprint = record.at("suspects").at(0).at("fingerprint").as_string();
    }
    fleet.store.set("fulmarlink-crashes",
                    "cleared." + fingerprint + ".operator.1",
                    boost::json::object{{"kind", "cleared"},
                                        {"host", "operator"},
                                        {"written_ms", 1'900'000'000'000},
                                        {"lives", lives},
                                        {"suspects", boost::json::array{boost::json::object{{"fingerprint", fingerprint}}}}});
    fleet.runFor(300ms);
    ASSERT_TRUE(fleet.runUntilRunning(6));
    const std::size_t before = fleet.arrivalCount(kStream);
    fleet.ask(3, fleet.request(kStream));
    EXPECT_EQ(fleet.arrivalCount(kStream), before + 1);
    EXPECT_EQ(fleet.counterSum("fulmarlink_requests_held_back"), 0U);
}

TEST(CrashingRequestHosts, RecordsSurviveARestartOfAllHosts)
{
    GatewayFleet fleet({.gateways = 3});
    ASSERT_TRUE(fleet.start());
    sendRepeats(fleet, 2, 3);
    for (unsigned gateway = 0; gateway < 3; ++gateway) {
        fleet.killGateway(gateway);
    }
    for (unsigned gateway = 0; gateway < 3; ++gateway) {
        fleet.startGateway(gateway);
    }
    fleet.runFor(500ms);
    sendRepeats(fleet, 6, 3);
    EXPECT_LE(fleet.arrivalCount(kStream), kMostCrashes);
}

namespace
{

struct StoreCase {
    const char *name;
    void (*injectFault)(GatewayFleet &fleet);
};

void PrintTo(const StoreCase &value, std::ostream *out) // NOLINT(readability-identifier-naming): found by GoogleTest
{
    *out << value.name;
}

class CrashingRequestStore : public ::testing::TestWithParam<StoreCase>
{
};

} // namespace

// The store fails while crashes are recorded: each host applies what it knows itself, and all hosts know once the store is back.
TEST_P(CrashingRequestStore, RequestIsHeldBackDespiteStoreFaults)
{
    GatewayFleet fleet({});
    ASSERT_TRUE(fleet.start());
    GetParam().injectFault(fleet);
    sendRepeats(fleet, 3, 1); // at one host, which needs no store to know its own crashes
    EXPECT_LE(fleet.arrivalCount(kStream), kMostCrashes);
    fleet.store.faults = {};
    for (const auto &proxy : fleet.storeProxies) {
        proxy->setMode(ProxyMode::Pass);
    }
    fleet.runFor(3000ms);
    sendRepeats(fleet, 8, 5);
    EXPECT_LE(fleet.arrivalCount(kStream), kMostCrashes);
}

INSTANTIATE_TEST_SUITE_P(Store,
                         CrashingRequestStore,
                         ::testing::Values(StoreCase{"Unavailable",
                                                     [](GatewayFleet &fleet) {
                                                         fleet.store.faults.refusalStatus = 503;
                                                     }},
                                           StoreCase{"RateLimited",
                                                     [](GatewayFleet &fleet) {
                                                         fleet.store.faults.refusalStatus = 429;
                                                     }},
                                           StoreCase{"Slow",
                                                     [](GatewayFleet &fleet) {
                                                         fleet.store.faults.delay = 200ms;
                                                     }},
                                           StoreCase{"LosesAnswers",
                                                     [](GatewayFleet &fleet) {
                                                         fleet.store.faults.unansweredWrites = 2;
                                                     }},
                                           StoreCase{"LosesRevisionHistory",
                                                     [](GatewayFleet &fleet) {
                                                         fleet.store.faults.watchRevisionGone = true;
                                                     }},
                                           StoreCase{"RefusesOneHost",
                                                     [](GatewayFleet &fleet) {
                                                         fleet.storeProxies[0]->setMode(ProxyMode::Refuse);
                                                         fleet.storeProxies[0]->reset();
                                                     }},
                                           StoreCase{"SilentToOneHost",
                                                     [](GatewayFleet &fleet) {
                                                         fleet.storeProxies[0]->setMode(ProxyMode::Silent);
                                                     }}),
                         [](const ::testing::TestParamInfo<StoreCase> &info) {
                             return info.param.name;
                         });

// Records of other writers or later versions neither hold a request back nor keep valid records from being read.
TEST(CrashingRequestStoreRecords, MalformedRecordsAreIgnored)
{
    GatewayFleet fleet({.gateways = 3});
    for (const char *content : {R"({})",
                                R"(7)",
                                R"("text")",
                                R"(null)",
                                R"({"kind":"crash","host":"h","written_ms":1e300,"lives":[{"target":"i-1","born":-4}],"suspects":[]})",
                                R"({"kind":"later","host":"h","written_ms":1,"lives":[],"suspects":[]})",
                                R"({"kind":"crash","host":7,"written_ms":1,"lives":[],"suspects":[]})",
                                R"({"kind":"crash","host":"h","written_ms":1,"lives":[{"target":5}],"suspects":[]})",
                                R"({"kind":"crash","host":"h","written_ms":1,"lives":[],"suspects":[{"fingerprint":"zz"}]})",
                                R"({"kind":"trial","host":"h","written_ms":1,"lives":[[[[]]]],"suspects":{}})"}) {
        fleet.store.set("fulmarlink-crashes", "odd-" + std::to_string(fleet.store.names("fulmarlink-crashes").size()), boost::json::parse(content));
    }
    fleet.store.set("fulmarlink-crashes", "odd name/../\r\n", boost::json::parse(R"({"kind":"crash","host":"h","written_ms":1,"lives":[],"suspects":[]})"));
    ASSERT_TRUE(fleet.start());
    EXPECT_EQ(fleet.ask(0, fleet.request("/again/fine")).status, 200U);
    sendRepeats(fleet, 6, 3);
    EXPECT_LE(fleet.arrivalCount(kStream), kMostCrashes);
}

// The store announces no changes: records written meanwhile are found by the periodic full read.
TEST(CrashingRequestStoreRecords, RecordsThatAreNotAnnouncedAreFoundByTheFullRead)
{
    GatewayFleet fleet({});
    ASSERT_TRUE(fleet.start());
    fleet.store.faults.watchesMissChanges = true;
    sendRepeats(fleet, 2, 1);
    fleet.runFor(11s);
    EXPECT_EQ(fleet.ask(4, fleet.request(kStream)).status, 503U);
    EXPECT_LE(fleet.arrivalCount(kStream), 2U);
}

} // namespace fulmarlink::testing
