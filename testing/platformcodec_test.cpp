// Tests of the conversion between the platform's JSON objects and headers and the product's types.
// Malformed input from other writers must be rejected with its reason rather than misread.

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include "fulmarlink/resultcode.h"
#include "platform/backoffcodec.h"
#include "platform/configurationdecoder.h"
#include "platform/crashcodec.h"
#include "platform/jsonreader.h"
#include "platform/platformprotocol.h"
#include "platform/rankcodec.h"

namespace fulmarlink::testing
{

namespace
{

namespace http = boost::beast::http;
namespace json = boost::json;

std::string configurationProblem(const std::string &text)
{
    std::string problem;
    return decodeConfiguration(json::parse(text), problem) ? "" : problem;
}

} // namespace

TEST(PlatformCodec, DecodesRoutesServicesCustomersAndLimits)
{
    std::string problem;
    const auto configuration = decodeConfiguration(json::parse(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"streaming",
"timeout_ms":8000,"slo_ms":500,"priority":1,"split":[{"service":"a","weight":90},{"service":"b","weight":10},{"service":"c","weight":0}],"max_attempts":2,"anonymous":false,"affinity":true,
"resumable":true,"gap_target_ms":120}],"services":[{"name":"a","max_conns":258,"engine":{"slots":12,"stride":4,"read_per_s":61400.0,"sets":4,"experts":64,"expert_share":0.85,"placements":5,"spare":2,
"expert_mb":2500.0,"link_mbps":180000.0,"report_lag_ms":200.0}}],"tenants":[{"name":"t","api_keys":["k"],"priority":3}],"limits":{"idle_timeout_ms":1000}})"),
                                                   problem);
    ASSERT_TRUE(configuration) << problem;
    const RouteSpec &route = configuration->routes.front();
    EXPECT_EQ(route.kind, RequestKind::Streaming);
    EXPECT_EQ(route.pools.size(), 2U);
    EXPECT_EQ(route.gapTarget, Duration(std::chrono::milliseconds(120)));
    EXPECT_TRUE(route.resumable);
    const EngineSpec &engine = *configuration->services.front().engine;
    EXPECT_DOUBLE_EQ(engine.readTokensPerMs, 61.4);
    EXPECT_EQ(engine.newPerSwitch, 2U);
    EXPECT_DOUBLE_EQ(engine.expertShare, 0.85);
    EXPECT_EQ(engine.reportLag, Duration(std::chrono::milliseconds(200)));
    EXPECT_EQ(configuration->customers.front().priority, 3U);
    EXPECT_EQ(configuration->limits.idleTimeout.count(), 1000);
}

TEST(PlatformCodec, RejectsMalformedConfigurationWithReason)
{
    EXPECT_NE(configurationProblem(R"({"routes":[]})").find("version"), std::string::npos);
    EXPECT_NE(configurationProblem(R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"odd","service":"a"}]})").find("odd"),
              std::string::npos);
    EXPECT_NE(configurationProblem(R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent"}]})").find("no service"),
              std::string::npos);
    EXPECT_NE(configurationProblem(R"({"version":1,"routes":"all"})").find("list"), std::string::npos);
    const std::string route = R"({"name":"r","host":"h","path_prefix":"/","kind":"idempotent","service":"a"})";
    EXPECT_NE(configurationProblem(R"({"version":1,"routes":[)" + route + "," + route + "]}").find("twice"), std::string::npos);
    EXPECT_NE(configurationProblem(R"({"version":-1})").find("version"), std::string::npos);
    EXPECT_NE(configurationProblem("[]"), "");
}

TEST(PlatformCodec, CrashRecordKeepsWhatItsSuspectsAreJudgedBy)
{
    CrashRecord record;
    record.name = "crash.i-1.7.entry-1.5-0";
    record.host = "entry-1";
    record.writtenAt = std::chrono::milliseconds(5);
    record.pool = "pool";
    record.completionAge = std::chrono::milliseconds(0);
    record.incarnations.push_back({"i-1", 7});
    CrashSuspect suspect{RequestFingerprint{1, 2, 3}, "customer", "route", true};
    suspect.unanswered = true;
    suspect.unlikely = true;
    suspect.unread = true;
    suspect.closedInOrder = true;
    suspect.exposure = std::chrono::milliseconds(250);
    suspect.survivors = {{"i-2", 8}, {"i-3", 9}};
    suspect.segments = {"5c1e07a2", "91bd3f06"};
    record.suspects.push_back(suspect);
    std::string problem;
    const auto decoded = decodeCrashRecord(record.name, encodeCrashRecord(record), problem);
    ASSERT_TRUE(decoded) << problem;
    const CrashSuspect &result = decoded->suspects.front();
    EXPECT_EQ(result.fingerprint, suspect.fingerprint);
    EXPECT_TRUE(result.answerStarted);
    EXPECT_TRUE(result.unanswered);
    EXPECT_TRUE(result.unlikely);
    EXPECT_TRUE(result.unread);
    EXPECT_TRUE(result.closedInOrder);
    EXPECT_EQ(decoded->pool, record.pool);
    EXPECT_EQ(decoded->completionAge, record.completionAge);
    EXPECT_EQ(result.exposure, suspect.exposure);
    EXPECT_EQ(result.survivors, suspect.survivors);
    EXPECT_EQ(result.segments, suspect.segments);
}

// Records of earlier versions have neither exposure nor survivors, and one field more.
TEST(PlatformCodec, CrashRecordOfAnEarlierVersionIsReadWithUnknownExposure)
{
    const json::value content = json::parse(R"({"kind":"crash","host":"h","written_ms":5,"lives":[{"target":"i","born":3}],
"suspects":[{"fingerprint":"000000000000000000000000000000000000000000000000","customer":"c","route":"r","answering":true,"unlikely":true}]})");
    std::string problem;
    const auto decoded = decodeCrashRecord("name", content, problem);
    ASSERT_TRUE(decoded) << problem;
    EXPECT_EQ(decoded->suspects.front().exposure.count(), 0);
    EXPECT_TRUE(decoded->suspects.front().survivors.empty());
    EXPECT_FALSE(decoded->suspects.front().unanswered);
    EXPECT_FALSE(decoded->suspects.front().unread);
    EXPECT_FALSE(decoded->suspects.front().closedInOrder);
    EXPECT_TRUE(decoded->pool.empty());
    EXPECT_FALSE(decoded->completionAge);
}

TEST(PlatformCodec, RejectsMalformedRunnerEntry)
{
    const json::object validEntry = json::parse(R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1","slots":12,"state":"ready","cold_left_ms":0,
        "stage":"unified","models":[],"call_seq":4})")
                                        .as_object();
    const auto problemWith = [&validEntry](std::string_view field, const json::value &value) {
        json::object entry = validEntry;
        entry[json::string_view(field.data(), field.size())] = value;
        std::string problem;
        return decodeTarget("i", entry, problem) ? std::string() : problem;
    };
    EXPECT_EQ(problemWith("state", "ready"), "");
    EXPECT_EQ(problemWith("born", 1'790'000'000'000), "");
    EXPECT_EQ(problemWith("of a later version", 1), "");
    std::string problem;
    json::object leaving = validEntry;
    leaving["state"] = "draining";
    EXPECT_TRUE(decodeTarget("i", leaving, problem)->leaving);
    for (const char *field : {"service", "addr", "zone", "version", "slots", "state", "cold_left_ms", "call_seq"}) {
        EXPECT_NE(problemWith(field, nullptr).find(field), std::string::npos);
        EXPECT_NE(problemWith(field, json::object{}).find(field), std::string::npos);
        json::object entry = validEntry;
        entry.erase(field);
        EXPECT_FALSE(decodeTarget("i", entry, problem)) << field;
    }
    for (const char *address : {"nowhere", "10.0.0.9", "10.0.0.9:", "10.0.0.9:99999", "10.0.0.9:80x", "host:80", ":80"}) {
        EXPECT_NE(problemWith("addr", address), "") << address;
    }
    EXPECT_NE(problemWith("state", "asleep"), "");
    EXPECT_NE(problemWith("born", "yesterday"), "");
    EXPECT_NE(problemWith("born", 1.5), "");
    EXPECT_NE(problemWith("slots", -1), "");
    EXPECT_FALSE(decodeTarget("i", json::parse("7"), problem));
    EXPECT_FALSE(decodeTarget("i", json::parse("null"), problem));
}

TEST(PlatformCodec, ForwardedRequestOmitsHopByHopHeadersAndCredentials)
{
    HttpRequest request(http::verb::post, "/p/x", 11);
    request.set(http::field::host, "h.example:8080");
    request.set(http::field::connection, "close, X-Hop");
    request.set("X-Hop", "1");
    request.set("X-Kept", "2");
    request.set("Tenant", "forged");
    request.set(http::field::authorization, "Token abc ");
    request.set("Deadline-Ms", "1500");
    request.set("Token-Counts", "1460, 80");
    const PlatformProtocol protocol;
    const CallerRequest parsed = protocol.readRequest(request);
    EXPECT_EQ(parsed.host, "h.example");
    EXPECT_EQ(parsed.apiKey, "abc");
    EXPECT_EQ(parsed.promptTokens, 1460U);
    EXPECT_EQ(parsed.maxAnswerTokens, 80U);
    RunnerRequest extra;
    extra.targetId = "i-1";
    extra.timeLeft = std::chrono::milliseconds(700);
    protocol.writeRequest(request, extra);
    EXPECT_EQ(request["X-Hop"], "");
    EXPECT_EQ(request["X-Kept"], "2");
    EXPECT_EQ(request["Tenant"], "");
    EXPECT_EQ(request[http::field::authorization], "");
    EXPECT_EQ(request["Deadline-Ms"], "700");
    EXPECT_EQ(request["Expect-Instance"], "i-1");
}

TEST(PlatformCodec, SharedSegmentsAreAllOfThePromptButTheLast)
{
    const PlatformProtocol protocol;
    HttpRequest request(http::verb::post, "/p/x", 11);
    const auto segments = [&](const std::string &prompt) {
        request.set("Prompt-Prefix", prompt);
        return protocol.readRequest(request).sharedSegments;
    };
    EXPECT_TRUE(protocol.readRequest(request).sharedSegments.empty());
    EXPECT_TRUE(segments("").empty());
    EXPECT_TRUE(segments("5c1e07a2:800").empty());
    EXPECT_EQ(segments("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), (std::vector<std::string>{"5c1e07a2", "91bd3f06"}));
    EXPECT_EQ(segments(" 5c1e07a2 , 91BD3F06:410 ,e4402b7d"), (std::vector<std::string>{"5c1e07a2", "91BD3F06"}));
    EXPECT_EQ(segments("5c\"1e:800,,:7,zz:1,91bd:2,e4402b7d:250"), (std::vector<std::string>{"91bd"})) << "ids that are not hexadecimal";
    EXPECT_TRUE(segments(std::string(65, 'a') + ":1,b:2").empty());
    std::string many;
    for (unsigned i = 0; i < 1000; ++i) {
        many += "ab:1,";
    }
    EXPECT_EQ(segments(many + "e4402b7d:250").size(), 16U);
    EXPECT_EQ(protocol.readRequest(request).ignoredSegments, 984U);
}

TEST(PlatformCodec, NotRunRequiresMisdirectedStatusOrNotExecutedHeader)
{
    const PlatformProtocol protocol;
    http::fields head;
    EXPECT_FALSE(protocol.readAnswer(503, head).notRun);
    EXPECT_TRUE(protocol.readAnswer(421, head).notRun);
    head.set("Not-Executed", "1");
    head.set("Server-Load", "3, 1, 8");
    head.set("Keep-Alive", "max=3, timeout=5");
    const RunnerAnswer answer = protocol.readAnswer(503, head);
    EXPECT_TRUE(answer.notRun);
    EXPECT_EQ(answer.load->waiting, 1U);
    EXPECT_EQ(answer.keepAlive->count(), 5);
}

TEST(PlatformCodec, BackoffsAreReadAsWritten)
{
    const std::vector<BackoffRecord> written{{{"i-1", 7}, std::chrono::milliseconds(1'800'000'003'000), std::chrono::milliseconds(3000)},
                                             {{"i-2", 0}, std::chrono::milliseconds(1'800'000'001'000), std::chrono::milliseconds(1000)}};
    std::string problem;
    const std::vector<BackoffRecord> read = decodeBackoffs(json::parse(json::serialize(encodeBackoffs(written))), problem);
    EXPECT_EQ(problem, "");
    ASSERT_EQ(read.size(), 2U);
    EXPECT_EQ(read[0].incarnation, written[0].incarnation);
    EXPECT_EQ(read[0].until, written[0].until);
    EXPECT_EQ(read[1].remaining, written[1].remaining);
}

// Guards against one malformed entry, for example of a later version, that makes a host forget its other backoffs.
TEST(PlatformCodec, MalformedBackoffsAreLeftOut)
{
    std::string problem;
    const auto read = decodeBackoffs(json::parse(R"({"backoffs":[{"target":7},{"target":"","until_ms":5,"remaining_ms":5},
{"target":"i-1","born":7,"until_ms":1e300,"remaining_ms":1},{"target":"i-2","born":7,"until_ms":1800000003000,"remaining_ms":3000}]})"),
                                     problem);
    EXPECT_NE(problem, "");
    ASSERT_EQ(read.size(), 1U);
    EXPECT_EQ(read.front().incarnation.id, "i-2");
    EXPECT_TRUE(decodeBackoffs(json::parse("[7]"), problem).empty());
}

TEST(PlatformCodec, RequestLimitIsASingleDecimalNumber)
{
    const PlatformProtocol protocol;
    const auto read = [&protocol](const std::vector<std::string> &values) {
        http::fields head;
        for (const std::string &value : values) {
            head.insert("Server-Limit", value);
        }
        return protocol.readAnswer(200, head);
    };
    EXPECT_FALSE(read({}).requestLimit);
    EXPECT_EQ(read({}).malformedLimit, "");
    EXPECT_EQ(read({"0"}).requestLimit, 0.0);
    EXPECT_EQ(read({" 1.25 "}).requestLimit, 1.25);
    EXPECT_EQ(read({"1e9"}).requestLimit, 1e9);
    for (const char *malformed : {"", "-1", "nan", "inf", "1e999", "3 a second", "1,5", "0x10", "+2"}) {
        EXPECT_FALSE(read({malformed}).requestLimit) << malformed;
        EXPECT_NE(read({malformed}).malformedLimit, "") << malformed;
    }
    EXPECT_FALSE(read({"1", "2"}).requestLimit);
    EXPECT_NE(read({"1", "2"}).malformedLimit, "");
}

TEST(PlatformCodec, BackoffIsASingleNumberOfSecondsInARefusal)
{
    const PlatformProtocol protocol;
    const auto read = [&protocol](unsigned status, const std::vector<std::string> &values) {
        http::fields head;
        for (const std::string &value : values) {
            head.insert("Retry-After", value);
        }
        return protocol.readAnswer(status, head);
    };
    EXPECT_FALSE(read(503, {}).backoff);
    EXPECT_EQ(read(503, {}).malformedBackoff, "");
    EXPECT_EQ(read(503, {"3"}).backoff, Duration(std::chrono::seconds(3)));
    EXPECT_EQ(read(429, {" 0.25 "}).backoff, Duration(std::chrono::milliseconds(250)));
    EXPECT_EQ(read(503, {"0"}).backoff, Duration(0));
    EXPECT_EQ(read(503, {"1e300"}).backoff, Duration(RunnerAnswer::kMaxBackoff));
    EXPECT_FALSE(read(200, {"3"}).backoff);
    EXPECT_FALSE(read(421, {"3"}).backoff) << "another runner answers at this address";
    for (const char *malformed : {"", "-1", "nan", "inf", "soon", "3 s", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        EXPECT_FALSE(read(503, {malformed}).backoff) << malformed;
        EXPECT_NE(read(503, {malformed}).malformedBackoff, "") << malformed;
    }
    EXPECT_FALSE(read(503, {"1", "2"}).backoff);
    EXPECT_NE(read(503, {"1", "2"}).malformedBackoff, "");
}

TEST(PlatformCodec, RunnerIsLeavingOnlyIfAHeaderValueIsOne)
{
    const PlatformProtocol protocol;
    const auto leaving = [&protocol](const std::vector<std::string> &values) {
        http::fields head;
        for (const std::string &value : values) {
            head.insert("Server-Leaving", value);
        }
        return protocol.readAnswer(200, head).leaving;
    };
    EXPECT_FALSE(leaving({}));
    EXPECT_TRUE(leaving({"1"}));
    EXPECT_TRUE(leaving({" 1 "}));
    EXPECT_TRUE(leaving({"0", "1"})) << "sending to a leaving runner costs more than sparing one that stays";
    for (const char *other : {"0", "", "no", "10", "true"}) {
        EXPECT_FALSE(leaving({other})) << other;
    }
}

TEST(PlatformCodec, MisdirectedAnswerDoesNotSpeakForTarget)
{
    const PlatformProtocol protocol;
    EXPECT_FALSE(protocol.readAnswer(421, {}).speaksForTarget);
    EXPECT_TRUE(protocol.readAnswer(503, {}).speaksForTarget);
}

TEST(PlatformCodec, DecodesRankReport)
{
    std::error_code error;
    const RankReport report
        = decodeReport(json::parse(R"({"stage":"unified","group":{"name":"g0-0","epoch":1,"rank":3,"state":"open"},"size":16,"busy":false,"call_seq":0,
"waiting":0,"running":7,"pace":1.0,"step":51,"map":49153,"prepared":{"version":49154},"armed":{"version":49154,"step":60},"held":60})"),
                       error);
    EXPECT_FALSE(error);
    EXPECT_EQ(report.rank, 3U);
    EXPECT_EQ(report.size, 16U);
    EXPECT_TRUE(report.open);
    EXPECT_EQ(report.mapVersion, 49153U);
    EXPECT_EQ(report.preparedVersion, 49154U);
    EXPECT_EQ(report.armedVersion, 49154U);
    EXPECT_EQ(report.armedPass, 60U);
    EXPECT_EQ(report.heldPass, 60U);
    decodeReport(json::parse(R"({"stage":"unified"})"), error);
    EXPECT_EQ(error, ResultCode::ObjectNotFound);
}

TEST(PlatformCodec, SplitsExpertCountsByLayerSet)
{
    const ExpertCountsRead read = decodeCounts(json::parse(R"({"step":812,"epoch":1,"counts":[1,2,3,4,5,6]})"), 2);
    EXPECT_EQ(read.counts, (std::vector<std::vector<std::uint64_t>>{{1, 2, 3}, {4, 5, 6}}));
    EXPECT_TRUE(decodeCounts(json::parse("{}"), 2).counts.empty());
}

TEST(PlatformCodec, EncodesOrderWithItsEpoch)
{
    RankOrder order;
    order.kind = RankOrderKind::Arm;
    order.epoch = 2;
    order.version = 7;
    order.pass = 40;
    EXPECT_EQ(json::serialize(encodeOrder(order)), R"({"operation":"arm","epoch":2,"version":7,"step":40})");
}

} // namespace fulmarlink::testing
