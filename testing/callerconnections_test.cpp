// Many new connections of callers at one host, as when the platform sends it most of a region's.
//
// Guards against a host that opens as many connections as callers ask for, until it has no descriptor left for runners and the
// store, and against requests that it has read and then fails. What it has no room for is closed unread, so that its caller can
// go elsewhere at once.

#include <algorithm>
#include <gtest/gtest.h>

#include "testing/harness/gatewayfixture.h"

namespace fulmarlink::testing
{

class CallerConnections : public GatewayTest
{
protected:
    static constexpr std::size_t kMost = 32;

    struct Call {
        std::shared_ptr<Answer> answer = std::make_shared<Answer>();
        std::shared_ptr<bool> done = std::make_shared<bool>(false);
    };

    CallerConnections()
    {
        settings.maxCallerConnections = kMost;
    }

    Call send(const std::string &path)
    {
        Call call;
        asio::co_spawn(context, callOnce(context, settings.callers, request(path), call.answer, call.done), asio::detached);
        return call;
    }

    void connect(std::size_t count, const std::string &text)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_sockets.emplace_back(context);
            m_sockets.back().connect({asio::ip::make_address(settings.callers.address), settings.callers.port});
            asio::write(m_sockets.back(), asio::buffer(text));
        }
        runFor(20ms);
    }

    void runFor(std::chrono::milliseconds time)
    {
        runUntil(
            [] {
                return false;
            },
            time);
    }

    /** Sends @p perSecond requests a second, each on a new connection. Returns the share of those that were read that were served at once. */
    double servedShareOfRead(unsigned perSecond, std::chrono::milliseconds time)
    {
        std::vector<Call> calls;
        const auto began = std::chrono::steady_clock::now();
        const auto total = static_cast<std::size_t>(perSecond * time.count() / 1000);
        while (calls.size() < total) {
            const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - began;
            while (calls.size() < std::min<std::size_t>(total, static_cast<std::size_t>(elapsed.count() * perSecond))) {
                calls.push_back(send("/again/x"));
            }
            runFor(2ms);
            EXPECT_LE(counter("fulmarlink_caller_connections_open"), kMost);
        }
        runUntil(
            [&calls] {
                return std::ranges::all_of(calls, [](const Call &call) {
                    return *call.done;
                });
            },
            3000ms);
        const auto read = std::ranges::count_if(calls, [](const Call &call) {
            return call.answer->status != 0;
        });
        const auto served = std::ranges::count_if(calls, [](const Call &call) {
            return call.answer->status == 200 && call.answer->whole;
        });
        EXPECT_GT(read, 0);
        return static_cast<double>(served) / static_cast<double>(std::max<std::ptrdiff_t>(1, read));
    }

    std::uint64_t counter(const std::string &name) const
    {
        const std::string text = '\n' + counters.text();
        const std::size_t position = text.find('\n' + name + ' ');
        return position == std::string::npos ? 0 : std::stoull(text.substr(position + name.size() + 2));
    }

private:
    std::vector<asio::ip::tcp::socket> m_sockets;
};

TEST_F(CallerConnections, ConnectionThatFindsNoRoomIsClosedUnread)
{
    start();
    connect(kMost, "POST /again/x HTTP/1.1\r\nHost: h.exa");
    EXPECT_EQ(counter("fulmarlink_caller_connections_open"), kMost);
    const Answer refused = ask(request("/once/x"));
    EXPECT_EQ(refused.status, 0U);
    EXPECT_EQ(ranRequests(), 0U);
    EXPECT_EQ(counter("fulmarlink_caller_connections_unread_total"), 1U);
    runFor(500ms); // until the requests that don't arrive are given up
    EXPECT_EQ(ask(request("/once/x")).status, 200U);
}

TEST_F(CallerConnections, LongestIdleConnectionMakesRoomForANewOne)
{
    start();
    connect(kMost, "");
    EXPECT_EQ(ask(request("/once/x")).status, 200U);
    EXPECT_EQ(ask(request("/once/y")).status, 200U);
    EXPECT_EQ(counter("fulmarlink_caller_connections_unread_total"), 0U);
    EXPECT_GE(counter("fulmarlink_caller_connections_evicted_total"), 1U);
    EXPECT_LE(counter("fulmarlink_caller_connections_open"), kMost);
}

// Clients that stop within a request and stay would otherwise hold all connections until each of their requests is given up.
TEST_F(CallerConnections, RequestWithoutProgressMakesRoomForANewConnection)
{
    json::value configuration = json::parse(kConfiguration);
    configuration.at("limits").as_object()["header_timeout_ms"] = 60'000;
    store.set("config", "main", configuration);
    start();
    connect(kMost, "POST /again/x HTTP/1.1\r\nHost: h.exa");
    EXPECT_EQ(counter("fulmarlink_caller_connections_open"), kMost);
    EXPECT_EQ(ask(request("/once/x")).status, 0U) << "they have only just begun";
    runFor(1200ms);
    EXPECT_EQ(ask(request("/once/y")).status, 200U);
    EXPECT_EQ(counter("fulmarlink_caller_connections_stalled_total"), 1U);
    EXPECT_EQ(counter("fulmarlink_caller_connections_unread_total"), 1U);
}

// The platform's measure: at least three quarters as often as in the seconds before.
TEST_F(CallerConnections, RequestsThatAreReadAreServedAtManyTimesTheUsualRateOfNewConnections)
{
    a.workTime = 5ms;
    b.workTime = 5ms;
    start();
    const double before = servedShareOfRead(50, 1000ms);
    const double during = servedShareOfRead(400, 2000ms);
    EXPECT_GE(during, 0.75 * before);
    EXPECT_GE(before, 0.99);
}

} // namespace fulmarlink::testing
