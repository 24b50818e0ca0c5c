// Tests of the gateway over real sockets with fake store and runners. They check what caller
// and runners see when a runner, the store or a caller misbehaves.

#include "fulmarlink/gateway.h"

#include <boost/asio/write.hpp>

#include "testing/harness/gatewayfixture.h"
#include "testing/harness/mutation_on.h"

namespace fulmarlink::testing
{

TEST_F(GatewayTest, ForwardsCustomerInsteadOfApiKeyAndRelaysSealedAnswer)
{
    start();
    HttpRequest message = request("/once/x?q=1");
    message.set("Tenant", "somebody else");
    const Answer answer = ask(message);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, "from " + answer["Server-Seal"]);
    EXPECT_EQ(answer["Attempt-Id"], "attempt-1");
    const HttpRequest &seen = lastRequest();
    EXPECT_EQ(seen["Tenant"], "customer");
    EXPECT_EQ(seen[http::field::authorization], "");
    EXPECT_EQ(seen.target(), "/once/x?q=1");
    EXPECT_EQ(seen.body(), "text");
    EXPECT_LE(std::stoi(std::string(seen["Deadline-Ms"])), 900); // the deadline of the route, not of the caller
}

TEST_F(GatewayTest, RejectsUnknownRoutesAndApiKeys)
{
    start();
    EXPECT_EQ(ask(request("/nowhere/")).status, 404U);
    EXPECT_EQ(ask(request("/once/x", "stolen")).status, 401U);
    EXPECT_EQ(ask(request("/once/x", "")).status, 401U);
    EXPECT_EQ(ask(request("/open/x", "")).status, 200U);
    EXPECT_EQ(ranRequests(), 1U);
}

TEST_F(GatewayTest, RefusesAndIsNotReadyWithoutConfiguration)
{
    store.remove("config", "main");
    GatewayAdapters adapters;
    adapters.protocol = std::make_unique<PlatformProtocol>();
    PlatformClientOptions options;
    options.store = settings.store;
    adapters.platform = std::make_unique<PlatformClient>(context.get_executor(), clock, counters, options);
    gateway = std::make_unique<Gateway>(context, settings, counters, std::move(adapters));
    gateway->start();
    const Answer answer = ask(request("/once/x"));
    EXPECT_EQ(answer.status, 503U);
    EXPECT_NE(answer["Retry-After"], "");
    EXPECT_FALSE(gateway->ready());
    store.set("config", "main", json::parse(kConfiguration));
    EXPECT_TRUE(runUntil(
        [this] {
            return gateway->ready();
        },
        3s));
}

TEST_F(GatewayTest, NonIdempotentRequestIsNotResentAfterFailure)
{
    start();
    for (const RunnerAct act : {RunnerAct::ResetUnanswered, RunnerAct::Truncated, RunnerAct::Unsealed, RunnerAct::Garbage, RunnerAct::Fail}) {
        const std::size_t before = ranRequests();
        setActForFirstRequest(act);
        const Answer answer = ask(request("/once/x"));
        EXPECT_EQ(ranRequests(), before + 1) << static_cast<int>(act);
        EXPECT_EQ(answer.status, act == RunnerAct::Fail ? 500U : 502U) << static_cast<int>(act);
    }
}

TEST_F(GatewayTest, NonIdempotentRequestToSilentRunnerTimesOutAtDeadline)
{
    start();
    setActForBoth(RunnerAct::Silent);
    const auto began = std::chrono::steady_clock::now();
    const Answer answer = ask(request("/once/x"));
    const auto took = std::chrono::steady_clock::now() - began;
    EXPECT_EQ(answer.status, 504U);
    EXPECT_EQ(ranRequests(), 1U);
    EXPECT_LT(took, 1400ms);
}

TEST_F(GatewayTest, IdempotentRequestIsRetriedAtOtherRunner)
{
    start();
    for (const RunnerAct act :
         {RunnerAct::ResetUnanswered, RunnerAct::Truncated, RunnerAct::Unsealed, RunnerAct::Garbage, RunnerAct::Fail, RunnerAct::Silent}) {
        setActForFirstRequest(act);
        const Answer answer = ask(request("/again/x"));
        EXPECT_EQ(answer.status, 200U) << static_cast<int>(act);
        EXPECT_TRUE(answer.whole);
    }
}

TEST_F(GatewayTest, RefusedRequestIsRetriedAndThenReportedAsNotRun)
{
    start();
    setActForFirstRequest(RunnerAct::Refuse);
    EXPECT_EQ(ask(request("/once/x")).status, 200U);
    EXPECT_EQ(ranRequests(), 1U);
    setActForBoth(RunnerAct::Refuse);
    const Answer answer = ask(request("/once/x"));
    EXPECT_EQ(answer.status, 503U);
    EXPECT_NE(answer["Retry-After"], "");
    EXPECT_EQ(answer["Server-Seal"], "");
    EXPECT_EQ(ranRequests(), 1U);
}

TEST_F(GatewayTest, RequestDoesNotRunAtReusedRunnerAddress)
{
    start();
    addresses["i-c"] = addresses["i-a"];
    listRunner("i-c");
    store.remove("servers", "i-a");
    store.remove("servers", "i-b");
    context.run_for(1300ms);
    EXPECT_EQ(ask(request("/once/x")).status, 503U);
    EXPECT_EQ(ranRequests(), 0U);
}

TEST_F(GatewayTest, SkipsAnswerToAnotherRequest)
{
    start();
    setActForBoth(RunnerAct::StrayFirst);
    const Answer answer = ask(request("/once/x"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.body.starts_with("from ")) << answer.body;
}

TEST_F(GatewayTest, MutationTrustForeignAnswerRelaysWrongAnswer)
{
    const ScopedMutation mutation(Mutation::TrustForeignAnswer);
    start();
    setActForBoth(RunnerAct::StrayFirst);
    EXPECT_EQ(ask(request("/once/x")).body, "wrong");
}

TEST_F(GatewayTest, UnsolicitedSecondAnswerIsDiscarded)
{
    start();
    setActForBoth(RunnerAct::StrayLast);
    for (int i = 0; i < 6; ++i) {
        const Answer answer = ask(request("/once/x"));
        EXPECT_EQ(answer.status, 200U);
        EXPECT_TRUE(answer.body.starts_with("from "));
    }
}

TEST_F(GatewayTest, AnswerWithoutLengthEndsWithConnection)
{
    start();
    setActForBoth(RunnerAct::WithoutLength);
    const Answer answer = ask(request("/once/x"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.body.starts_with("from "));
}

TEST_F(GatewayTest, InterruptedStreamResumesAfterLastCompleteEvent)
{
    start();
    setActForFirstRequest(RunnerAct::CutStream);
    const Answer answer = ask(request("/stream/x"));
    std::string expected;
    for (int i = 0; i < 6; ++i) {
        expected += "id: " + std::to_string(i) + "\ndata: part " + std::to_string(i) + "\n\n";
    }
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, expected);
    EXPECT_EQ(ranRequests(), 2U);
}

TEST_F(GatewayTest, StreamThatCannotResumeIsTruncatedVisibly)
{
    start();
    setActForBoth(RunnerAct::CutStream);
    const Answer answer = ask(request("/stream/x"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_FALSE(answer.whole);
    EXPECT_EQ(ranRequests(), 2U); // max_attempts
}

TEST_F(GatewayTest, CallerDisconnectCancelsRunnerWork)
{
    a.events = 200;
    b.events = 200;
    a.workTime = 20ms;
    b.workTime = 20ms;
    start();
    auto answer = std::make_shared<Answer>();
    auto done = std::make_shared<bool>(false);
    {
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), settings.callers.port});
        std::ostringstream text;
        text << request("/stream/x");
        asio::write(socket, asio::buffer(text.str()));
        runUntil(
            [this] {
                return ranRequests() == 1;
            },
            2s);
        context.run_for(100ms);
    }
    EXPECT_TRUE(runUntil(
        [this] {
            return a.abandonedStreams + b.abandonedStreams == 1;
        },
        500ms));
}

TEST_F(GatewayTest, RevokedKeyIsRejectedAndNewKeyIsAccepted)
{
    start();
    json::value next = json::parse(kConfiguration);
    next.at("version") = 9;
    next.at("tenants") = json::parse(R"([{"name":"customer","api_keys":["second"]},{"name":"new","api_keys":["fresh"]}])");
    store.set("config", "main", next);
    context.run_for(1500ms);
    EXPECT_EQ(ask(request("/once/x", "key")).status, 401U);
    EXPECT_EQ(ask(request("/once/x", "fresh")).status, 200U);
    store.set("config", "main", json::parse(kConfiguration)); // an older version arrives late
    context.run_for(1500ms);
    const std::size_t before = ranRequests();
    EXPECT_NE(ask(request("/once/x", "key")).status, 200U);
    EXPECT_EQ(ranRequests(), before);
}

TEST_F(GatewayTest, MalformedConfigurationKeepsLastValidOne)
{
    start();
    for (const char *bad : {R"({"version":20,"routes":[{"name":"x"}]})",
                            R"({"version":21,"routes":[{"name":"x","host":"h","path_prefix":"/","kind":"odd","service":"plain"}]})",
                            R"("text")",
                            R"({"version":22,"routes":[{"name":"x","host":"h","path_prefix":"/","kind":"idempotent"}]})"}) {
        store.set("config", "main", json::parse(bad));
        context.run_for(1300ms);
        EXPECT_EQ(ask(request("/open/x", "")).status, 200U) << bad;
    }
    json::value good = json::parse(kConfiguration);
    good.at("version") = 30;
    store.set("config", "main", good);
    EXPECT_TRUE(runUntil(
        [this] {
            return gateway->ready();
        },
        3s));
}

TEST_F(GatewayTest, KeyedRequestsAreRefusedWhenKeyProofExpiresAndServedAfterStoreRecovers)
{
    settings.revokeBound = 1500ms;
    start();
    store.faults.silent = true;
    context.run_for(1600ms);
    const Answer refused = ask(request("/once/x"));
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(ask(request("/open/x", "")).status, 200U);
    EXPECT_EQ(ask(request("/once/x", "unknown")).status, 503U); // the key may have been added since the last proof
    store.faults.silent = false;
    EXPECT_TRUE(runUntil(
        [this] {
            return ask(request("/once/x")).status == 200;
        },
        4s));
}

TEST_F(GatewayTest, HostWithoutStoreServesRequestsAndClosesCallerConnections)
{
    start();
    EXPECT_NE(ask(request("/once/x"))[std::string("Connection")], "close");
    store.faults.silent = true;
    context.run_for(2600ms);
    EXPECT_FALSE(gateway->ready());
    const Answer answer = ask(request("/once/x"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer[std::string("Connection")], "close");
}

TEST_F(GatewayTest, AddingAndRemovingEngineConfigurationKeepsServing)
{
    reportGroups("g", "g");
    start();
    json::value next = json::parse(kConfiguration);
    next.at("version") = 9;
    next.at("services") = json::parse(
        R"([{"name":"plain","engine":{"slots":4,"sets":2,"experts":8,"placements":3,"spare":1,"expert_mb":10.0,"link_mbps":1000.0,"report_lag_ms":50.0}}])");
    store.set("config", "main", next);
    EXPECT_TRUE(runUntil(
        [this] {
            return store.has("fulmarlink-leases", "plain.g");
        },
        4s));
    next.at("version") = 10;
    next.at("services") = json::array();
    store.set("config", "main", next);
    context.run_for(1500ms);
    EXPECT_EQ(ask(request("/once/x")).status, 200U);
}

TEST_F(GatewayTest, DrainingRunnerGetsNoNewRequests)
{
    start();
    listRunner("i-a", "draining");
    context.run_for(1500ms);
    const std::size_t before = a.receivedRequests.size();
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(ask(request("/once/x")).status, 200U);
    }
    EXPECT_EQ(a.receivedRequests.size(), before);
}

TEST_F(GatewayTest, RetriesRefusingStoreAtBoundedRate)
{
    start();
    const unsigned before = store.calls;
    store.faults.refusalStatus = 429;
    context.run_for(2000ms);
    EXPECT_LT(store.calls - before, 40U);
    store.faults.refusalStatus = 0;
    context.run_for(800ms);
    EXPECT_EQ(ask(request("/once/x")).status, 200U);
}

TEST_F(GatewayTest, DrainServesLateRequestsAndEndsWhenAllAreAnswered)
{
    a.workTime = 300ms;
    b.workTime = 300ms;
    start();
    auto answer = std::make_shared<Answer>();
    auto done = std::make_shared<bool>(false);
    asio::co_spawn(context, callOnce(context, settings.callers, request("/once/x"), answer, done), asio::detached);
    runUntil(
        [this] {
            return ranRequests() == 1;
        },
        2s);
    gateway->startDrain();
    EXPECT_FALSE(gateway->ready());
    EXPECT_FALSE(gateway->drained());
    const Answer late = ask(request("/once/x"));
    EXPECT_EQ(late.status, 200U);
    EXPECT_EQ(late[std::string("Connection")], "close");
    EXPECT_EQ(answer->status, 200U);
    EXPECT_TRUE(runUntil(
        [this] {
            return gateway->drained();
        },
        4s));
    context.run_for(600ms);
    EXPECT_EQ(ask(request("/once/x")).status, 503U); // too late in the drain to be sure to end before shutdown
}

TEST_F(GatewayTest, MalformedRequestsGetMatchingStatusCodes)
{
    start();
    const auto raw = [this](const std::string &text) {
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), settings.callers.port});
        asio::write(socket, asio::buffer(text));
        socket.non_blocking(true);
        std::string got;
        runUntil(
            [&] {
                char bytes[512];
                boost::system::error_code error;
                const std::size_t size = socket.read_some(asio::buffer(bytes), error);
                got.append(bytes, size);
                return got.size() > 12;
            },
            2s);
        return got.substr(0, 12);
    };
    EXPECT_EQ(raw("nonsense\r\n\r\n"), "HTTP/1.1 400");
    EXPECT_EQ(raw("GET /open/ HTTP/1.1\r\nHost: h.example\r\nX: " + std::string(3000, 'x') + "\r\n\r\n"), "HTTP/1.1 431");
    EXPECT_EQ(raw("POST /open/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x')), "HTTP/1.1 413");
    EXPECT_EQ(raw("POST /open/ HTTP/1.1\r\nHost: h.exa"), "HTTP/1.1 408");
    EXPECT_EQ(raw("POST /once/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), "HTTP/1.1 400");
    EXPECT_EQ(ranRequests(), 0U);
}

// One rank of a group runs far below its usual speed, and the group's leader reports it as slow in the lease.
TEST_F(GatewayTest, StreamMovesFromSlowRunnerWithoutLosingEvents)
{
    constexpr unsigned kEvents = 60;
    const auto setLease = [this](unsigned renewals, const json::array &slow) {
        store.set("fulmarlink-leases", "plain.g", json::object{{"holder", "other"}, {"renewals", renewals}, {"slow", slow}});
    };
    setLease(1, {});
    reportGroups("g", "g");
    a.events = kEvents;
    b.events = kEvents;
    a.workTime = 40ms;
    b.workTime = 40ms;
    start();
    auto answer = std::make_shared<Answer>();
    auto done = std::make_shared<bool>(false);
    asio::co_spawn(context, callOnce(context, settings.callers, request("/stream/x"), answer, done), asio::detached);
    ASSERT_TRUE(runUntil(
        [this] {
            return ranRequests() == 1;
        },
        2s));
    context.run_for(200ms);
    const std::string slow = a.attemptsRun.empty() ? "i-b" : "i-a";
    setLease(2, {slow.c_str()});
    EXPECT_TRUE(runUntil(
        [done] {
            return *done;
        },
        8s));
    std::string expected;
    for (unsigned i = 0; i < kEvents; ++i) {
        expected += "id: " + std::to_string(i) + "\ndata: part " + std::to_string(i) + "\n\n";
    }
    EXPECT_TRUE(answer->whole);
    EXPECT_EQ(answer->body, expected);
    EXPECT_EQ(ranRequests(), 2U);
    EXPECT_EQ(a.abandonedStreams + b.abandonedStreams, 1U);
}

// Guards against a refusal that a faulty runner sends late, after an earlier answer, and that is taken for the refusal of the request that waits on the
// connection: that one then runs at a second runner too.
TEST_F(GatewayTest, RefusalThatNamesNoRequestIsNotTheRefusalOfTheNextOne)
{
    start();
    while (a.receivedRequests.empty() || b.receivedRequests.empty()) { // until there is a kept connection to each
        ASSERT_EQ(ask(request("/once/x")).status, 200U);
    }
    setActForBoth(RunnerAct::RefusalFirst);
    const std::size_t before = ranRequests();
    for (unsigned i = 0; i < 6; ++i) {
        EXPECT_EQ(ask(request("/once/x")).status, 200U);
    }
    EXPECT_EQ(ranRequests() - before, 6U) << "each request ran once";
}

// The other side: on a new connection there was no earlier request that the refusal could belong to.
TEST_F(GatewayTest, RefusalThatNamesNoRequestIsTakenOnANewConnection)
{
    start();
    a.refusalsNameRequest = b.refusalsNameRequest = false;
    setActForFirstRequest(RunnerAct::Refuse);
    EXPECT_EQ(ask(request("/once/x")).status, 200U);
    EXPECT_EQ(ranRequests(), 1U);
}

} // namespace fulmarlink::testing
