// Callers' connections at the moment at which a host that is leaving closes the idle ones.

#include "fulmarlink/gatewayserver.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/hostclock.h"
#include "fulmarlink/log.h"
#include "platform/platformprotocol.h"
#include "testing/harness/freeport.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

class GatewayServerTest : public ::testing::Test
{
public:
    GatewayServerTest()
    {
        startLogging("off");
        settings.callers = {"127.0.0.1", freePort()};
        state = std::make_unique<GatewayState>(settings, clock, counters, protocol);
        Configuration empty;
        empty.version = 1;
        state->config.offer(std::move(empty));
        state->config.confirm(clock.now());
        state->crashRecordsLoaded = true;
        server = std::make_unique<GatewayServer>(context.get_executor(), *state);
        server->listen();
        caller.connect({asio::ip::make_address("127.0.0.1"), settings.callers.port});
    }

    void send(const std::string &attempt)
    {
        const std::string text = "POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n";
        asio::write(caller, asio::buffer(text));
    }

    /** Requests that were taken and denied, since no route is configured here. */
    std::uint64_t taken() const
    {
        return counters.result(ResultCode::NoRuleMatched) + counters.result(ResultCode::CallerGone);
    }

    /** Answers that have come to the caller since the last call. */
    unsigned answers()
    {
        std::array<char, 8192> bytes{};
        boost::system::error_code error;
        caller.non_blocking(true);
        const std::size_t size = caller.read_some(asio::buffer(bytes), error);
        caller.non_blocking(false);
        unsigned count = 0;
        const std::string_view text(bytes.data(), error ? 0 : size);
        for (std::size_t at = text.find("HTTP/1.1"); at != std::string_view::npos; at = text.find("HTTP/1.1", at + 1)) {
            ++count;
        }
        return count;
    }

    asio::io_context context{1};
    HostClock clock;
    Counters counters;
    PlatformProtocol protocol;
    GatewaySettings settings;
    std::unique_ptr<GatewayState> state;
    std::unique_ptr<GatewayServer> server;
    asio::io_context callerContext;
    tcp::socket caller{callerContext};
};

} // namespace

// The load: a host that leaves closes its idle connections while callers go on using them.
TEST_F(GatewayServerTest, ARequestThatCrossesTheCloseOfItsConnectionIsAnsweredOrNotTaken)
{
    constexpr unsigned kSteps = 8; // of the event loop; some lie between the read of the bytes and what follows
    for (unsigned steps = 0; steps < kSteps; ++steps) {
        caller = tcp::socket(callerContext);
        caller.connect({asio::ip::make_address("127.0.0.1"), settings.callers.port});
        send("first");
        context.run_for(50ms);
        const std::uint64_t before = taken();
        ASSERT_EQ(answers(), 1U);
        send("second");
        context.restart();
        for (unsigned step = 0; step < steps; ++step) {
            context.poll_one();
        }
        server->closeIdle();
        context.run_for(50ms);
        EXPECT_EQ(taken() - before, answers()) << "closed after " << steps << " steps";
    }
}

TEST_F(GatewayServerTest, ARequestThatHasArrivedKeepsItsConnectionOpen)
{
    send("first");
    context.run_for(100ms);
    ASSERT_EQ(taken(), 1U);
    send("second");
    server->closeIdle();
    context.run_for(100ms);
    EXPECT_EQ(taken(), 2U);
}

} // namespace fulmarlink::testing
