#include "fulmarlink/recentmaximum.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kWindow = 10s;

TimePoint at(Duration time)
{
    return TimePoint(1000s) + time;
}

} // namespace

TEST(RecentMaximum, FormerValueCountsForOneWindowAfterItWasReplaced)
{
    RecentMaximum maximum;
    EXPECT_EQ(maximum.maximum(at(0s), kWindow), 0U);
    maximum.set(5, at(0s));
    maximum.set(2, at(60s));
    EXPECT_EQ(maximum.maximum(at(69s), kWindow), 5U);
    EXPECT_EQ(maximum.maximum(at(70s), kWindow), 2U);
}

TEST(RecentMaximum, LargerValueCountsAtOnce)
{
    RecentMaximum maximum;
    maximum.set(2, at(0s));
    maximum.set(7, at(1s));
    EXPECT_EQ(maximum.maximum(at(1s), kWindow), 7U);
}

RC_GTEST_PROP(RecentMaximum, EqualsTheMaximumOfAllValuesOfTheWindow, ())
{
    struct Value {
        unsigned value;
        TimePoint from;
    };
    RecentMaximum maximum;
    std::vector<Value> all;
    TimePoint now = at(0s);
    for (unsigned i = 0; i < 100; ++i) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
        if (*rc::gen::inRange(0, 2) == 0) {
            all.push_back({*rc::gen::inRange(0U, 20U), now});
            maximum.set(all.back().value, now);
        }
        unsigned expected = 0;
        for (std::size_t each = 0; each < all.size(); ++each) {
            const bool inWindow = each + 1 == all.size() || all[each + 1].from > now - kWindow;
            expected = inWindow ? std::max(expected, all[each].value) : expected;
        }
        RC_ASSERT(maximum.maximum(now, kWindow) == expected);
    }
}

} // namespace fulmarlink::testing
