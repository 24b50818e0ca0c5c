// The cost model of a pass against sums by hand, with the figures of an engine as a
// configuration states them.

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

TEST(EngineModel, APassIsItsStepsAndWhatIsReadMeanwhile)
{
    EXPECT_NEAR(ms(passLength(engine(), {6, 300, 0, 1})), 5 * (4.5 + 6) + 5, 0.01);
    EXPECT_NEAR(ms(passLength(engine(), {6, 0, 1000, 1})), 5 * (4.5 + 6 * 1.02), 0.01);
}

TEST(EngineModel, ImbalanceStretchesTheExpertsShareOnly)
{
    const double balanced = ms(passLength(engine(), {6, 300, 0, 1}));
    const double skewed = ms(passLength(engine(), {6, 300, 0, 2.5}));
    EXPECT_NEAR(skewed, balanced * (0.2 + 0.8 * 2.5), 0.01);
    EXPECT_NEAR(passRatio(engine(), 1, 2.5), 0.2 + 0.8 * 2.5, 1e-9);
    EXPECT_NEAR(passRatio(engine(), 2.5, 1.25), (0.2 + 0.8 * 1.25) / (0.2 + 0.8 * 2.5), 1e-9);
}

TEST(EngineModel, WithoutWritersAPassReadsOnly)
{
    EXPECT_NEAR(ms(passLength(engine(), {0, 600, 0, 1})), 4.5 + 10, 0.01);
}

} // namespace fulmarlink::testing
