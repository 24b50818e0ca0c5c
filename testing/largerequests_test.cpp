//
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

} // namespace fulmarlink::testing
