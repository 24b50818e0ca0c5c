// Streams that have neither a length nor chunks, so that only the end of the connection ends them.
//
// Guards against a stream that is passed on as complete although its runner broke it off, inside an event or before the first one.

#include <gtest/gtest.h>

#include "testing/harness/gatewayfixture.h"

namespace fulmarlink::testing
{

using standins::RunnerAct;

namespace
{

std::string wholeStream()
{
    std::string result;
    for (int i = 0; i < 6; ++i) {
        result += "id: " + std::to_string(i) + "\ndata: part " + std::to_string(i) + "\n\n";
    }
    return result;
}

} // namespace

class UnframedStream : public GatewayTest
{
};

TEST_F(UnframedStream, CompleteStreamIsPassedOn)
{
    start();
    setActForBoth(RunnerAct::WithoutLength);
    const Answer answer = ask(request("/stream/x"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, wholeStream());
    EXPECT_EQ(ranRequests(), 1U);
}

TEST_F(UnframedStream, StreamThatEndsInsideAnEventIsResumed)
{
    start();
    setActForFirstRequest(RunnerAct::CutStreamWithoutLength);
    const Answer answer = ask(request("/stream/x"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, wholeStream());
    EXPECT_EQ(ranRequests(), 2U);
}

TEST_F(UnframedStream, StreamThatEndsInsideAnEventAndCannotResumeIsTruncatedVisibly)
{
    start();
    setActForBoth(RunnerAct::CutStreamWithoutLength);
    const Answer answer = ask(request("/stream/x"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_FALSE(answer.whole);
}

TEST_F(UnframedStream, StreamThatEndsBeforeItsFirstEventIsNotAnEmptyOne)
{
    start();
    setActForFirstRequest(RunnerAct::HeadWithoutLength);
    const Answer answer = ask(request("/stream/x"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, wholeStream());
    setActForBoth(RunnerAct::HeadWithoutLength);
    const Answer failed = ask(request("/stream/y"));
    EXPECT_NE(failed.status, 200U);
}

} // namespace fulmarlink::testing
