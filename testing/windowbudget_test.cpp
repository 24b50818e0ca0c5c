// Load pattern: callers repeat failed requests at once, and all entries see failures at the same time.

#include "fulmarlink/windowbudget.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <vector>

namespace fulmarlink::testing
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

} // namespace

TEST(WindowBudget, RepeatsGrantedByAllEntriesStayWithinTheBoundInEveryWindow)
{
    rc::check([] {
        constexpr unsigned kEntries = 5;
        const WindowBudgetOptions options{.window = seconds(10), .ratio = 0.2, .slack = 94, .entries = kEntries};
        std::vector<WindowBudget> budgets(kEntries, WindowBudget(options));
        std::vector<int> requests;
        std::vector<int> repeats;
        int now = 0;
        for (int i = 0; i < 2000; ++i) {
            now += *rc::gen::inRange(0, 20);
            WindowBudget &budget = budgets[*rc::gen::inRange<std::size_t>(0, kEntries)];
            if (*rc::gen::inRange(0, 3) == 0) {
                budget.countRequest(at(now));
                requests.push_back(now);
            } else if (budget.takeRepeat(at(now))) {
                repeats.push_back(now);
            }
        }
        for (const int end : repeats) {
            const auto within = [end](int time) {
                return time > end - 10'000 && time <= end;
            };
            const auto granted = static_cast<double>(std::ranges::count_if(repeats, within));
            // The requests of the preceding window count too, since each entry grants repeats by its own window.
            const auto asked = static_cast<double>(std::ranges::count_if(requests, [end](int time) {
                return time > end - 20'000 && time <= end;
            }));
            RC_ASSERT(granted <= 0.2 * asked + 94);
        }
    });
}

TEST(WindowBudget, AnEntryWithoutRequestsGetsOnlyItsPartOfTheSlack)
{
    WindowBudget budget({.window = seconds(10), .ratio = 0.2, .slack = 80, .entries = 16});
    unsigned granted = 0;
    while (budget.takeRepeat(at(0))) {
        ++granted;
    }
    EXPECT_EQ(granted, 3U); // 0.65 x 80 / 16
    EXPECT_TRUE(budget.takeRepeat(at(10'001)));
}

// What earlier processes of the entry have granted is not known.
TEST(WindowBudget, AProcessGrantsNoSlackInItsFirstWindow)
{
    WindowBudget budget({.window = seconds(10), .ratio = 0.2, .slack = 80, .entries = 16, .processStart = at(0)});
    EXPECT_FALSE(budget.takeRepeat(at(9'999)));
    EXPECT_TRUE(budget.takeRepeat(at(10'000)));
}

TEST(WindowBudget, AProcessGrantsByItsRequestsFromItsStart)
{
    WindowBudget budget({.window = seconds(10), .ratio = 0.2, .slack = 80, .entries = 4, .processStart = at(0)});
    unsigned granted = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.countRequest(at(i));
        granted += budget.takeRepeat(at(i)) ? 1 : 0;
    }
    EXPECT_NEAR(granted, 135, 1); // 0.9 x 0.2 x 1000, of which a quarter is not granted since it might count in two windows
}

// Runners fail all at once after a time without failures.
TEST(WindowBudget, ABurstOfRepeatsIsInProportionToTheRequestsOfTheWindow)
{
    WindowBudget budget({.window = seconds(10), .ratio = 0.2, .slack = 80, .entries = 4, .processStart = at(0)});
    for (int i = 0; i < 1000; ++i) {
        budget.countRequest(at(10'000 + i));
    }
    unsigned granted = 0;
    while (budget.takeRepeat(at(11'000))) {
        ++granted;
    }
    EXPECT_EQ(granted, 63U); // 0.225 x 0.2 x 1000, 0.65 x 80 / 4 and, earned, 0.25 x 80 / 4
}

// So many entries share the slack that none could keep a whole repeat.
TEST(WindowBudget, OneOfManyEntriesCanRepeatRequests)
{
    WindowBudget budget({.window = seconds(10), .ratio = 0.2, .slack = 90, .entries = 370, .processStart = at(0)});
    for (int i = 0; i < 100; ++i) {
        budget.countRequest(at(10'000));
    }
    unsigned granted = 0;
    while (budget.takeRepeat(at(10'000))) {
        ++granted;
    }
    EXPECT_EQ(granted, 9U); // 0.45 x 0.2 x 100
}

} // namespace fulmarlink::testing
