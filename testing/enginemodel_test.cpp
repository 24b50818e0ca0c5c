// Checks the cost model of a pass against values calculated by hand, for engine parameters
// as a configuration states them.

#include "fulmarlink/enginemodel.h"

#include <gtest/gtest.h>

#include "fulmarlink/configuration.h"

namespace fulmarlink::testing
{

namespace
{

EngineSpec engine()
{
    EngineSpec spec;
    spec.stepMs = 4.5;
    spec.perSequenceMs = 1;
    spec.contextPerThousandMs = 0.02;
    spec.readTokensPerMs = 60;
    spec.stride = 5;
    spec.expertShare = 0.8;
    return spec;
}

double ms(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

TEST(EngineModel, PassDurationIncludesStepsContextAndPromptTokens)
{
    EXPECT_NEAR(ms(passDuration(engine(), {6, 300, 0, 1})), 5 * (4.5 + 6) + 5, 0.01);
    EXPECT_NEAR(ms(passDuration(engine(), {6, 0, 1000, 1})), 5 * (4.5 + 6 * 1.02), 0.01);
}

TEST(EngineModel, ImbalanceLengthensTheExpertShareOnly)
{
    const double balanced = ms(passDuration(engine(), {6, 300, 0, 1}));
    const double skewed = ms(passDuration(engine(), {6, 300, 0, 2.5}));
    EXPECT_NEAR(skewed, balanced * (0.2 + 0.8 * 2.5), 0.01);
    EXPECT_NEAR(passDurationRatio(engine(), 1, 2.5), 0.2 + 0.8 * 2.5, 1e-9);
    EXPECT_NEAR(passDurationRatio(engine(), 2.5, 1.25), (0.2 + 0.8 * 1.25) / (0.2 + 0.8 * 2.5), 1e-9);
}

TEST(EngineModel, PassWithoutDecodingRequestsIsOneStepAndThePromptTokens)
{
    EXPECT_NEAR(ms(passDuration(engine(), {0, 600, 0, 1})), 4.5 + 10, 0.01);
}

// Numbers of copies for engines with experts of 0.37 to 2.5 GB and a link of 92 Gbit/s.
TEST(EngineModel, NumberOfCopiesFitsTheTimeBudgetOfASwitch)
{
    EngineSpec engine;
    engine.linkMbps = 92'000;
    const auto copies = [&engine](double expertMb, int ms) {
        engine.expertMb = expertMb;
        return copiesWithin(engine, std::chrono::milliseconds(ms));
    };
    EXPECT_EQ(copies(1700, 260), 2U);
    EXPECT_EQ(copies(2500, 260), 1U);
    EXPECT_EQ(copies(420, 260), 7U);
    EXPECT_EQ(copies(370, 260), 8U);
    for (const double expertMb : {370.0, 420.0, 1700.0, 2500.0}) {
        EXPECT_EQ(copies(expertMb, 30), 1U) << "first switch after a demand shift";
    }
    engine.expertMb = 1700;
    EXPECT_NEAR(std::chrono::duration<double>(copyDuration(engine, 2)).count(), 0.305, 0.002);
    engine.linkMbps = 0; // unknown
    EXPECT_EQ(copiesWithin(engine, std::chrono::milliseconds(260)), 1U);
}

} // namespace fulmarlink::testing
