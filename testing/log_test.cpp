// Lines of the log whose values others choose.

#include "fulmarlink/log.h"

#include <gtest/gtest.h>

namespace fulmarlink::testing
{

namespace
{

class LogTest : public ::testing::Test
{
public:
    LogTest()
    {
        startLogging("info", true);
    }

    ~LogTest() override
    {
        startLogging("off");
    }

    template<typename Call>
    std::string textOf(Call call)
    {
        ::testing::internal::CaptureStdout();
        call();
        flushLog();
        return ::testing::internal::GetCapturedStdout();
    }

    const std::string longValue = std::string(2048, 'x') + "rest";
};

} // namespace

// A caller chooses the id of its request, up to the limit of a head.
TEST_F(LogTest, ValueOfALineOnARequestIsCut)
{
    const std::string text = textOf([this] {
        logRequest("request", {{"id", longValue}, {"status", "200"}});
    });
    EXPECT_NE(text.find(" id=\"" + std::string(2048, 'x') + "...\" status=\"200\"\n"), std::string::npos) << text;
}

TEST_F(LogTest, ValueOfAChangeIsWhole)
{
    const std::string text = textOf([this] {
        logChange("targets-changed", {{"added", longValue}});
    });
    EXPECT_NE(text.find(" added=\"" + longValue + "\"\n"), std::string::npos) << text;
}

} // namespace fulmarlink::testing
