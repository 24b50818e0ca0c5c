// The configuration in force: never back, and how fresh it is known to be; routes as rules.

#include "fulmarlink/configstate.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/hostclock.h"
#include "fulmarlink/routerules.h"
#include "fulmarlink/ruleset.h"
#include "platform/platformprotocol.h"

namespace fulmarlink::testing
{

namespace
{

using std::chrono::milliseconds;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(500) + milliseconds(ms));
}

RouteSpec route(const std::string &prefix, const std::string &pool, const std::string &host = "h")
{
    RouteSpec spec;
    spec.name = host + prefix;
    spec.host = host;
    spec.pathPrefix = prefix;
    spec.pools = {{pool, 1}};
    return spec;
}

Configuration version(std::uint64_t number, std::vector<std::string> keys)
{
    Configuration configuration;
    configuration.version = number;
    configuration.customers = {{"c", std::move(keys), std::nullopt}};
    return configuration;
}

/** A clock that a test sets. */
class SetClock final : public Clock
{
public:
    TimePoint now() const override
    {
        return time;
    }
    unsigned minuteOfDay() const override
    {
        return 0;
    }
    TimePoint time = at(0);
};

} // namespace

TEST(ConfigState, AnOlderVersionThatArrivesLateIsDropped)
{
    ConfigState state;
    EXPECT_EQ(state.version(), 0U);
    EXPECT_TRUE(state.offer(version(7, {"new"})));
    EXPECT_FALSE(state.offer(version(4, {"taken"})));
    EXPECT_FALSE(state.offer(version(7, {"taken"})));
    EXPECT_FALSE(state.active()->keys.contains("taken"));
    EXPECT_TRUE(state.offer(version(12, {})));
    EXPECT_FALSE(state.active()->keys.contains("new"));
}

TEST(ConfigState, AProofIsAsOldAsTheBeginningOfItsRead)
{
    ConfigState state;
    EXPECT_GT(state.age(at(0)), std::chrono::hours(1));
    state.confirm(at(100));
    EXPECT_EQ(state.age(at(350)), Duration(milliseconds(250)));
    state.confirm(at(50)); // a slower read that began earlier
    EXPECT_EQ(state.age(at(350)), Duration(milliseconds(250)));
}

TEST(ConfigState, KeysEndBeforeTheRevocationBoundWithoutProof)
{
    SetClock clock;
    Counters counters;
    const PlatformProtocol protocol;
    GatewaySettings settings;
    settings.revokeBound = milliseconds(5000);
    GatewayState state(settings, clock, counters, protocol);
    state.config.confirm(at(0));
    EXPECT_TRUE(state.keyProofValid(at(4000)));
    EXPECT_FALSE(state.keyProofValid(at(4500)));
    EXPECT_FALSE(state.keyProofValid(at(60'000))); // as after a suspension of the host
}

TEST(HostClock, DoesNotGoBack)
{
    const HostClock clock;
    const TimePoint first = clock.now();
    EXPECT_LE(first, clock.now());
}

TEST(RouteRules, TheLongestPrefixOfTheHostDecides)
{
    rc::check([] {
        const std::vector<std::string> parts = {"/", "/a/", "/a/b/", "/a/b/c/", "/b/", "/ab/"};
        std::vector<RouteSpec> routes;
        for (const std::string &host : {std::string("h"), std::string("g")}) {
            for (const std::string &prefix : parts) {
                if (*rc::gen::arbitrary<bool>()) {
                    routes.push_back(route(prefix, host + prefix, host));
                }
            }
        }
        const auto rules = rulesFromRoutes(routes);
        RequestInfo request;
        request.host = *rc::gen::element<std::string>("h", "g", "x");
        request.path = *rc::gen::element<std::string>("/", "/a", "/a/x", "/a/b/x", "/a/b/c/x", "/ab/x", "/b/");
        const RouteSpec *longest = nullptr;
        for (const RouteSpec &spec : routes) {
            const bool fits = spec.host == request.host && request.path.starts_with(spec.pathPrefix);
            if (fits && (longest == nullptr || spec.pathPrefix.size() > longest->pathPrefix.size())) {
                longest = &spec;
            }
        }
        const Route decided = rules->route(request);
        RC_ASSERT(decided.pool == (longest == nullptr ? "" : longest->pools.front().pool));
        RC_ASSERT((decided.refusal == ResultCode::NoRuleMatched) == (longest == nullptr));
    });
}

TEST(RouteRules, AStreamMayBeRepeatedOnlyIfItIsResumable)
{
    RouteSpec spec = route("/s/", "p");
    spec.kind = RequestKind::Streaming;
    RequestInfo request;
    request.host = "h";
    request.path = "/s/x";
    EXPECT_FALSE(rulesFromRoutes(std::vector{spec})->route(request).idempotent);
    spec.resumable = true;
    EXPECT_TRUE(rulesFromRoutes(std::vector{spec})->route(request).idempotent);
    spec.kind = RequestKind::NonIdempotent;
    EXPECT_FALSE(rulesFromRoutes(std::vector{spec})->route(request).idempotent);
}

} // namespace fulmarlink::testing
