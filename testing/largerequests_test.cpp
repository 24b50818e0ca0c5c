// Requests and answers at the limits of a gateway, over real sockets: what callers see there.

#include <array>
#include <gtest/gtest.h>
#include <vector>

#include "testing/harness/gatewayfixture.h"

namespace fulmarlink::testing
{

class LargeRequests : public GatewayTest
{
public:
    /** Sends @p text on a connection of its own and returns all that comes back until the gateway closes or the time is over. */
    std::string exchange(const std::string &text, std::chrono::milliseconds limit = 5s)
    {
        auto answer = std::make_shared<std::string>();
        auto done = std::make_shared<bool>(false);
        asio::co_spawn(context, sendAndRead(text, answer, done), asio::detached);
        runUntil(
            [done] {
                return *done;
            },
            limit);
        return *answer;
    }

    static std::string head(const std::string &more)
    {
        return "POST /again/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a-1\r\nConnection: close\r\n" + more + "\r\n";
    }

    static std::string chunkedHead(const std::string &more = {})
    {
        return head("Transfer-Encoding: chunked\r\n" + more);
    }

    /** Whether a small request holds memory, as the metrics tell. */
    bool holdsSmallRequest() const
    {
        const std::string name = "\nfulmarlink_request_memory_bytes{share=\"small-requests\"} ";
        const std::string text = counters.text();
        const std::size_t position = text.find(name);
        return position != std::string::npos && std::stoull(text.substr(position + name.size())) > 0;
    }

    const std::string key = "Authorization: Token key\r\n";

private:
    asio::awaitable<void> sendAndRead(std::string text, std::shared_ptr<std::string> answer, std::shared_ptr<bool> done)
    {
        boost::system::error_code error;
        asio::ip::tcp::socket socket(context);
        co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), settings.callers.port}, asio::redirect_error(asio::use_awaitable, error));
        co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
        error = {};
        std::array<char, 4096> bytes{};
        while (!error) {
            const std::size_t size = co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
            answer->append(bytes.data(), size);
        }
        *done = true;
    }
};

// A trailer section may not decide on a request that is routed by its head (RFC 9110, 6.5.1).
TEST_F(LargeRequests, KeyInATrailerIsNoKey)
{
    start();
    const std::string answer = exchange(chunkedHead() + "4\r\ntext\r\n0\r\n" + key + "\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 401 ")) << answer;
    EXPECT_EQ(ranRequests(), 0U);
}

TEST_F(LargeRequests, TrailerFieldsDoNotReplaceThoseOfTheHead)
{
    start();
    const std::string trailer = "Attempt-Id: other\r\nDeadline-Ms: 1\r\nHost: other.example\r\nPrompt-Prefix: 0a:1,0b:1\r\nX-New: 1\r\n";
    const std::string answer = exchange(chunkedHead(key) + "4;name=value\r\ntext\r\n0\r\n" + trailer + "\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    ASSERT_EQ(ranRequests(), 1U);
    const HttpRequest &received = lastRequest();
    EXPECT_EQ(received["Attempt-Id"], "a-1");
    EXPECT_EQ(received[http::field::host], "h.example");
    EXPECT_EQ(received["Prompt-Prefix"], "");
    EXPECT_EQ(received["X-New"], "");
    EXPECT_NE(received["Deadline-Ms"], "1");
    EXPECT_EQ(received.body(), "text");
}

TEST_F(LargeRequests, RequestBehindAChunkedOneIsServed)
{
    start();
    std::string first = chunkedHead(key) + "4\r\ntext\r\n0\r\nX-Trailer: 1\r\n\r\n";
    first.replace(first.find("Connection: close\r\n"), std::string("Connection: close\r\n").size(), "");
    const std::string answers = exchange(first + head(key + "Content-Length: 4\r\n") + "more");
    EXPECT_NE(answers.find("HTTP/1.1 200 ", 1), std::string::npos) << answers;
    EXPECT_EQ(ranRequests(), 2U);
}

TEST_F(LargeRequests, TrailerSectionIsBounded)
{
    start();
    const std::string answer = exchange(chunkedHead(key) + "4\r\ntext\r\n0\r\nX-Long: " + std::string(20'000, 't'));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 431 ")) << answer;
    EXPECT_EQ(ranRequests(), 0U);
}

TEST_F(LargeRequests, FirstLineOfAChunkIsBounded)
{
    start();
    const std::string answer = exchange(chunkedHead(key) + "4;x=" + std::string(20'000, 'e'));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 431 ")) << answer;
    EXPECT_EQ(ranRequests(), 0U);
}

TEST_F(LargeRequests, SumOfTheFieldsOfAHeadIsBounded)
{
    start();
    std::string fields;
    while (fields.size() < 2000) {
        fields += "a:b\r\n";
    }
    const std::string answer = exchange(head(fields + key + "Content-Length: 0\r\n"));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 431 ")) << answer;
}

// The rest of the body is still on its way when the answer is sent; to close the connection at once would reset it.
TEST_F(LargeRequests, CallerThatSendsMoreThanTheLimitReadsItsAnswer)
{
    start();
    constexpr std::size_t kFarOver = 8U << 20;
    const std::string announced = exchange(head(key + "Content-Length: " + std::to_string(kFarOver) + "\r\n") + std::string(kFarOver, 'x'));
    EXPECT_TRUE(announced.starts_with("HTTP/1.1 413 ")) << announced;
    const std::string sent = exchange(chunkedHead(key) + "800000\r\n" + std::string(kFarOver, 'x') + "\r\n0\r\n\r\n");
    EXPECT_TRUE(sent.starts_with("HTTP/1.1 413 ")) << sent;
    EXPECT_EQ(ranRequests(), 0U);
}

TEST_F(LargeRequests, RequestWithoutRoomIsRefusedAsNotRunWithATimeToComeBack)
{
    settings.requestMemory.smallRequests = 1000;
    start();
    const Answer answer = ask(request("/once/x"));
    EXPECT_EQ(answer.status, 503U);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer["Attempt-Id"], "attempt-1");
    EXPECT_GT(std::stod(answer["Retry-After"]), 0);
    EXPECT_LE(std::stod(answer["Retry-After"]), 1);
    EXPECT_EQ(ranRequests(), 0U);
    EXPECT_EQ(counters.result(ResultCode::RequestMemoryFull), 1U);
}

// An incomplete head was taken to consist of the shortest fields, so that an ordinary one of 2 KB in two parts counted as large.
TEST_F(LargeRequests, SmallRequestWhoseHeadArrivesInPartsNeedsNoRoomForLargeOnes)
{
    settings.requestMemory.largeRequests = 0;
    json::value configuration = json::parse(kConfiguration);
    configuration.at("limits").as_object()["max_header_bytes"] = 16'384;
    store.set("config", "main", configuration);
    start();
    const std::string text = head(key + "X-Long: " + std::string(2000, 'x') + "\r\nContent-Length: 4\r\n") + "text";
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), settings.callers.port});
    asio::write(socket, asio::buffer(text, text.size() / 2));
    runUntil(
        [this, &socket] {
            return holdsSmallRequest() || socket.available() > 0;
        },
        5s);
    asio::write(socket, asio::buffer(text) + text.size() / 2);
    runUntil(
        [&socket] {
            return socket.available() > 0;
        },
        5s);
    std::array<char, 4096> bytes{};
    const std::size_t size = socket.read_some(asio::buffer(bytes));
    EXPECT_TRUE(std::string_view(bytes.data(), size).starts_with("HTTP/1.1 200 ")) << std::string_view(bytes.data(), size);
}

TEST_F(LargeRequests, AnswerWithoutRoomIsPassedOnWhole)
{
    constexpr std::size_t kBytes = 3U << 20;
    settings.requestMemory.answers = 100'000;
    a.largeAnswerBytes = kBytes;
    b.largeAnswerBytes = kBytes;
    json::value configuration = json::parse(kConfiguration);
    json::object route = configuration.at("routes").at(1).as_object();
    route["name"] = "large";
    route["path_prefix"] = "/large/";
    configuration.at("routes").as_array().push_back(route);
    store.set("config", "main", configuration);
    start();
    for (const RunnerAct act : {RunnerAct::Answer, RunnerAct::WithoutLength}) {
        setActForBoth(act);
        const Answer answer = ask(request("/large/x"));
        EXPECT_EQ(answer.status, 200U);
        EXPECT_TRUE(answer.whole);
        EXPECT_TRUE(answer.body == std::string(kBytes, 'x')) << answer.body.size();
        EXPECT_NE(answer["Server-Seal"], "");
    }
    EXPECT_NE(counters.text().find("fulmarlink_unbuffered_answers_total 2"), std::string::npos);
}

// With small kernel buffers the whole transfer takes as long as the caller reads, longer than one write may take.
TEST_F(LargeRequests, CallerThatReadsSlowlyGetsItsWholeAnswer)
{
    constexpr std::size_t kBytes = 2U << 20;
    constexpr std::size_t kStep = 64U << 10;
    a.largeAnswerBytes = kBytes;
    b.largeAnswerBytes = kBytes;
    json::value configuration = json::parse(kConfiguration);
    configuration.at("routes").at(1).as_object()["path_prefix"] = "/large/";
    store.set("config", "main", configuration);
    start();
    const HttpRequest message = request("/large/x");
    asio::ip::tcp::socket socket(context);
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(8192));
    socket.connect({asio::ip::make_address("127.0.0.1"), settings.callers.port});
    http::write(socket, message);
    socket.non_blocking(true);
    std::vector<char> bytes(kStep);
    std::size_t received = 0;
    boost::system::error_code error;
    while (received < kBytes && (!error || error == asio::error::would_block)) {
        std::size_t step = 0;
        runUntil(
            [&] {
                step += socket.read_some(asio::buffer(bytes, kStep - step), error);
                return step == kStep || (error && error != asio::error::would_block) || received + step >= kBytes;
            },
            10s);
        received += step;
        runUntil(
            [] {
                return false;
            },
            150ms);
    }
    EXPECT_GE(received, kBytes) << error.message();
}

TEST_F(LargeRequests, AnswerWithoutRoomThatBreaksOffDoesNotLookComplete)
{
    constexpr std::size_t kBytes = 1U << 20;
    settings.requestMemory.answers = 1000;
    a.largeAnswerBytes = kBytes;
    b.largeAnswerBytes = kBytes;
    json::value configuration = json::parse(kConfiguration);
    configuration.at("routes").at(1).as_object()["path_prefix"] = "/large/";
    store.set("config", "main", configuration);
    setActForBoth(RunnerAct::TruncatedHalfway);
    start();
    const Answer answer = ask(request("/large/x"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_FALSE(answer.whole);
    EXPECT_EQ(ranRequests(), 1U) << "it can't go on at another runner";
}

} // namespace fulmarlink::testing
