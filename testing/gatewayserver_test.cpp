// Requests that arrive on a caller's connection while a draining host closes its idle connections.

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
        Configuration configuration;
        configuration.version = 1;
        state->config.offer(std::move(configuration));
        state->config.confirm(clock.now());
        state->crashRecordsLoaded = true;
        state->backoffsRestored = true;
        server = std::make_unique<GatewayServer>(context.get_executor(), *state);
        server->listen();
        caller.connect({asio::ip::make_address("127.0.0.1"), settings.callers.port});
    }

    void send(const std::string &attempt)
    {
        const std::string text = "POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n";
        asio::write(caller, asio::buffer(text));
    }

    /** Number of requests accepted; each is denied or ends with its caller gone, since no route is configured. */
    std::uint64_t acceptedRequests() const
    {
        return counters.result(ResultCode::NoRuleMatched) + counters.result(ResultCode::CallerGone);
    }

    /** Number of answers received by the caller since the last call. */
    unsigned receivedAnswers()
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

// A draining host closes idle connections while callers go on using them. Guards against a request that is accepted
// just as its connection is closed, so that its answer is lost.
TEST_F(GatewayServerTest, RequestDuringIdleCloseIsAnsweredOrNotAccepted)
{
    constexpr unsigned kSteps = 8; // of the event loop; some fall between the read of the bytes and the code that handles them
    for (unsigned steps = 0; steps < kSteps; ++steps) {
        caller = tcp::socket(callerContext);
        caller.connect({asio::ip::make_address("127.0.0.1"), settings.callers.port});
        send("first");
        context.run_for(50ms);
        const std::uint64_t before = acceptedRequests();
        ASSERT_EQ(receivedAnswers(), 1U);
        send("second");
        context.restart();
        for (unsigned step = 0; step < steps; ++step) {
            context.poll_one();
        }
        server->closeIdle();
        context.run_for(50ms);
        EXPECT_EQ(acceptedRequests() - before, receivedAnswers()) << "closed after " << steps << " steps";
    }
}

TEST_F(GatewayServerTest, CloseIdleKeepsConnectionWithUnreadRequest)
{
    send("first");
    context.run_for(100ms);
    ASSERT_EQ(acceptedRequests(), 1U);
    send("second");
    server->closeIdle();
    context.run_for(100ms);
    EXPECT_EQ(acceptedRequests(), 2U);
}

} // namespace fulmarlink::testing
