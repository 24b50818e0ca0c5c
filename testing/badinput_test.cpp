// Bad input over real sockets: each kind has its code and its counter, nothing crashes,
// and the fleet serves on.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

#include "fulmarlink/frame.h"
#include "fulmarlink/log.h"
#include "standins/fleet.h"

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr const char *kRules = "rules:\n"
                               "  - {name: nowhere, when: {path: /nowhere}, then: {route: no-such-pool}}\n"
                               "  - {name: refused, when: {path: /refused}, then: {refuse: refused-by-rule}}\n"
                               "  - {name: rest, when: {path_prefix: /v1}, then: {route: recon-llm, idempotent: true}}\n";

class BadInput : public ::testing::Test
{
protected:
    BadInput()
        : m_work(boost::asio::make_work_guard(m_context))
    {
        startLogging("off");
        standins::FleetOptions options;
        options.entries = 1;
        options.modelRunners = 2;
        options.serviceRunners = 1;
        options.rules = kRules;
        options.entrySettings = "  max_body_bytes: 2000\n  max_header_bytes: 1000\n  read_timeout_ms: 300\n";
        m_fleet = std::make_unique<standins::Fleet>(m_context, options);
        m_fleet->start();
        for (unsigned i = 0; i < 2; ++i) {
            m_threads.emplace_back([this] {
                m_context.run();
            });
        }
        EXPECT_TRUE(m_fleet->waitReady(20s));
    }

    ~BadInput() override
    {
        EXPECT_NE(ask(request("GET", "/v1/x")).find("HTTP/1.1 200"), std::string::npos) << "the fleet serves on";
        m_fleet->stop();
        m_context.stop();
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    EntryProcess &entry()
    {
        return *m_fleet->entries().front();
    }

    static std::string request(const std::string &method, const std::string &path, const std::string &more = {}, const std::string &body = {})
    {
        return method + " " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more + "\r\n"
               + body;
    }

    /** Sends bytes to a port and gives all that comes back until the peer closes. */
    std::string exchange(std::uint16_t port, const std::string &bytes, bool closeAtOnce = false)
    {
        boost::system::error_code error;
        boost::asio::io_context context;
        tcp::socket socket(context);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
        std::string answer;
        if (!closeAtOnce) {
            boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        }
        return answer;
    }

    std::string ask(const std::string &bytes)
    {
        return exchange(entry().callerPort(), bytes);
    }

    void expectRefusal(const std::string &bytes, unsigned status, ResultCode code)
    {
        const std::uint64_t before = entry().counters().result(code);
        const std::string answer = ask(bytes);
        EXPECT_NE(answer.find("HTTP/1.1 " + std::to_string(status)), std::string::npos) << answer;
        EXPECT_NE(answer.find("Fulmarlink-Result: " + std::to_string(static_cast<int>(code)) + ' '), std::string::npos) << answer;
        EXPECT_NE(answer.find("Fulmarlink-Outcome: not-run"), std::string::npos) << answer;
        EXPECT_EQ(entry().counters().result(code), before + 1);
    }

    /** Waits for something that another thread does. */
    static bool eventually(const std::function<bool()> &condition)
    {
        for (unsigned i = 0; i < 500 && !condition(); ++i) {
            std::this_thread::sleep_for(10ms);
        }
        return condition();
    }

    void expectLinkClosed(const std::string &bytes, ResultCode code)
    {
        const std::uint64_t before = entry().counters().result(code);
        exchange(entry().linkPort(), bytes);
        EXPECT_TRUE(eventually([&] {
            return entry().counters().result(code) == before + 1;
        })) << resultInfo(code).name;
    }

    static std::string frame(const Message &message)
    {
        const auto bytes = encodeFrame(message);
        return {bytes.begin(), bytes.end()};
    }

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::unique_ptr<standins::Fleet> m_fleet;
    std::vector<std::thread> m_threads;
};

} // namespace

TEST_F(BadInput, OfCallers)
{
    expectRefusal("NOT HTTP AT ALL\r\n\r\n", 400, ResultCode::MalformedRequest);
    expectRefusal("GET / HTTP/1.0\r\n\r\n", 400, ResultCode::MalformedRequest);
    expectRefusal(request("GET", "/v1/x", "X-Long: " + std::string(2000, 'x') + "\r\n"), 431, ResultCode::HeaderTooLarge);
    expectRefusal(request("POST", "/v1/x", {}, std::string(3000, 'x')), 413, ResultCode::BodyTooLarge);
    expectRefusal("POST /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nonly a part", 408, ResultCode::SlowSender);
    expectRefusal(request("GET", "/nowhere"), 503, ResultCode::UnknownPool);
    expectRefusal(request("GET", "/refused"), 403, ResultCode::RefusedByRule);
    expectRefusal(request("GET", "/no-rule"), 404, ResultCode::NoRuleMatched);
}

TEST_F(BadInput, HalfRequestsAndCallersThatLeave)
{
    const std::uint64_t malformed = entry().counters().result(ResultCode::MalformedRequest);
    exchange(entry().callerPort(), "", true);
    exchange(entry().callerPort(), "GET /v1/x HT", true);
    EXPECT_TRUE(eventually([&] {
        return entry().counters().result(ResultCode::MalformedRequest) == malformed + 1;
    }));
    exchange(entry().callerPort(), request("POST", "/v1/generate", "X-Tokens: 5000\r\n"), true);
    EXPECT_TRUE(eventually([&] {
        const Counters &counters = entry().counters();
        return counters.result(ResultCode::CallerGone) + counters.result(ResultCode::CancelledBeforeRun) == 1 && entry().requests() == 0;
    }));
}

TEST_F(BadInput, OfProcessesOnTheNetwork)
{
    wire::HelloT other;
    other.major = kProtocolMajor + 1;
    other.node = 1;
    wire::CancelT early;
    early.id = std::make_unique<DispatchId>(1, 1, 1);
    expectLinkClosed(std::string("\xff\xff\xff\x7f", 4), ResultCode::FrameTooLarge);
    expectLinkClosed(std::string("\x08\x00\x00\x00garbage!", 12), ResultCode::FrameInvalid);
    expectLinkClosed(frame(other), ResultCode::ProtocolMajorDiffers);
    expectLinkClosed(frame(std::move(early)), ResultCode::HelloExpected);
}

TEST_F(BadInput, RulesWrittenAroundTheCheckAreNotTaken)
{
    const std::uint64_t version = entry().rulesVersion();
    m_fleet->objectApi().seed(EntryProcess::kRulesDocument, "rules: [{name: broken}]\n");
    EXPECT_TRUE(eventually([&] {
        return entry().counters().result(ResultCode::RulesInvalid) >= 1;
    }));
    EXPECT_EQ(entry().rulesVersion(), version);
    m_fleet->objectApi().seed(EntryProcess::kRulesDocument, kRules);
    EXPECT_TRUE(eventually([&] {
        return entry().rulesVersion() == version + 2;
    }));
}

TEST_F(BadInput, EmptyPool)
{
    for (std::size_t i = 0; i < 2; ++i) {
        m_fleet->agents()[i]->startDrain();
    }
    const std::string first = ask(request("GET", "/v1/x"));
    EXPECT_NE(first.find("Fulmarlink-Outcome: not-run"), std::string::npos) << first;
    EXPECT_NE(first.find("Retry-After:"), std::string::npos) << first;
    m_fleet->restartAgent(0);
    EXPECT_TRUE(eventually([&] {
        return ask(request("GET", "/v1/x")).find("HTTP/1.1 200") != std::string::npos;
    }));
}

} // namespace fulmarlink::testing
