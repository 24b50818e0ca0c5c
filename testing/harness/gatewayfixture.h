#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include "fulmarlink/gateway.h"
#include "fulmarlink/hostclock.h"
#include "fulmarlink/log.h"
#include "fulmarlink/platform.h"
#include "platform/platformclient.h"
#include "platform/platformprotocol.h"
#include "standins/platformfleet.h"
#include "testing/harness/caller.h"
#include "testing/harness/freeport.h"

namespace fulmarlink::testing
{

using namespace std::chrono_literals;
using standins::PlatformRunner;
using standins::PlatformStore;
using standins::RunnerAct;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

inline constexpr const char *kConfiguration = R"({"version":3,"limits":{"max_body_bytes":2000,"max_header_bytes":1000,"header_timeout_ms":300},
"routes":[
 {"name":"once","host":"h.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":900,"slo_ms":100,"priority":1,"service":"plain","max_attempts":2},
 {"name":"again","host":"h.example","path_prefix":"/again/","kind":"idempotent","timeout_ms":1500,"slo_ms":100,"priority":1,"service":"plain","max_attempts":2},
 {"name":"stream","host":"h.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":4000,"slo_ms":500,"gap_target_ms":120,"resumable":true,"priority":1,"service":"plain","max_attempts":2},
 {"name":"open","host":"h.example","path_prefix":"/open/","kind":"idempotent","timeout_ms":900,"slo_ms":100,"priority":1,"service":"plain","max_attempts":1,"anonymous":true}],
"services":[{"name":"plain","max_conns":100}],
"tenants":[{"name":"customer","api_keys":["key","second"]}]})";

/** A gateway with real sockets, a caller, a fake store of the platform and two fake runners of one pool. */
class GatewayTest : public ::testing::Test
{
public:
    GatewayTest()
        : store(context)
        , a(context, "i-a")
        , b(context, "i-b")
    {
        startLogging("off");
        settings.host = "entry";
        settings.zone = "z";
        settings.callers = {"127.0.0.1", freePort()};
        settings.readiness = {"127.0.0.1", freePort()};
        settings.store = store.listen();
        settings.retryRatio = 100; // the slack is not granted to a process that has just started
        addresses["i-a"] = a.listen();
        addresses["i-b"] = b.listen();
        store.set("config", "main", json::parse(kConfiguration));
        listRunner("i-a");
        listRunner("i-b");
    }

    void listRunner(const std::string &id, const std::string &state = "ready")
    {
        store.set("servers", id, standins::runnerEntry("plain", addresses[id], 4, state));
    }

    void start()
    {
        GatewayAdapters adapters;
        adapters.protocol = std::make_unique<PlatformProtocol>();
        PlatformClientOptions options;
        options.store = settings.store;
        options.storeTimeout = 200ms;
        adapters.platform = std::make_unique<PlatformClient>(context.get_executor(), clock, counters, options);
        gateway = std::make_unique<Gateway>(context, settings, counters, std::move(adapters));
        gateway->start();
        ASSERT_TRUE(runUntil(
            [this] {
                return gateway->ready();
            },
            5s));
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

    HttpRequest request(const std::string &path, const std::string &key = "key")
    {
        HttpRequest result(http::verb::post, path, 11);
        result.set(http::field::host, "h.example");
        result.set("Attempt-Id", "attempt-" + std::to_string(++attempts));
        result.set("Deadline-Ms", "5000");
        if (!key.empty()) {
            result.set(http::field::authorization, "Token " + key);
        }
        result.body() = "text";
        result.prepare_payload();
        return result;
    }

    Answer ask(HttpRequest message, std::chrono::milliseconds limit = 6s)
    {
        auto answer = std::make_shared<Answer>();
        auto done = std::make_shared<bool>(false);
        asio::co_spawn(context, callOnce(context, settings.callers, std::move(message), answer, done), asio::detached);
        runUntil(
            [done] {
                return *done;
            },
            limit);
        return *answer;
    }

    /** Makes both runners treat every request as @p act says. */
    void setActForBoth(RunnerAct act)
    {
        for (PlatformRunner *runner : {&a, &b}) {
            runner->act = [act](const HttpRequest &) {
                return act;
            };
        }
    }

    /** Makes the runners treat the first request that reaches either of them as @p act says, and answer all others. */
    void setActForFirstRequest(RunnerAct act)
    {
        auto used = std::make_shared<bool>(false);
        for (PlatformRunner *runner : {&a, &b}) {
            runner->act = [act, used](const HttpRequest &) {
                return std::exchange(*used, true) ? RunnerAct::Answer : act;
            };
        }
    }

    /** Makes each runner report that it is the only rank of the named group; an empty name: of no group. */
    void reportGroups(const std::string &groupOfA, const std::string &groupOfB)
    {
        const auto join = [](PlatformRunner &runner, const std::string &group) {
            if (!group.empty()) {
                runner.report["group"] = json::object{{"name", group}, {"epoch", 1}, {"rank", 0}, {"size", 1}, {"state", "open"}};
            }
        };
        join(a, groupOfA);
        join(b, groupOfB);
        json::value withEngine = json::parse(kConfiguration);
        withEngine.at("services").at(0).as_object()["engine"] = json::object{{"slots", 4}, {"sets", 1}, {"experts", 4}, {"placements", 2}};
        store.set("config", "main", withEngine);
    }

    std::size_t ranRequests() const
    {
        return a.attemptsRun.size() + b.attemptsRun.size();
    }

    const HttpRequest &lastRequest() const
    {
        return a.receivedRequests.empty() ? b.receivedRequests.back() : a.receivedRequests.back();
    }

    HostClock clock;
    Counters counters;
    asio::io_context context{1};
    PlatformStore store;
    PlatformRunner a;
    PlatformRunner b;
    std::map<std::string, HttpTarget> addresses;
    GatewaySettings settings;
    std::unique_ptr<Gateway> gateway;
    unsigned attempts = 0;
};

} // namespace fulmarlink::testing
