#include "fulmarlink/requestmachine.h"

#include <gtest/gtest.h>

#include "fulmarlink/resultcode.h"

namespace fulmarlink::testing
{

namespace
{

RequestMachine machineInMidAnswer()
{
    RequestMachine machine(true);
    machine.ready();
    machine.sent();
    machine.chunk();
    return machine;
}

} // namespace

// Guards against callers that leave in mid-answer being counted as answers that broke off.
TEST(RequestMachine, CallerThatLeavesInMidAnswerIsCountedAsGone)
{
    RequestMachine machine = machineInMidAnswer();
    EXPECT_EQ(machine.broke(ResultCode::CallerGone, false), RequestStep::Finish);
    EXPECT_EQ(machine.code(), ResultCode::CallerGone);
}

TEST(RequestMachine, AnswerThatBreaksOffIsCutShort)
{
    RequestMachine machine = machineInMidAnswer();
    EXPECT_EQ(machine.broke(ResultCode::EngineBroke, false), RequestStep::Finish);
    EXPECT_EQ(machine.code(), ResultCode::AnswerCutShort);
}

} // namespace fulmarlink::testing
