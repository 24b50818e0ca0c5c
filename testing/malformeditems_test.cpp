// Lines and gauge on items of answers that can't be read.

#include "fulmarlink/malformeditems.h"

#include <gtest/gtest.h>
#include <regex>

#include "fulmarlink/log.h"

namespace fulmarlink::testing
{

namespace
{

class MalformedItemsTest : public ::testing::Test
{
public:
    MalformedItemsTest()
    {
        startLogging("warn", true);
    }

    ~MalformedItemsTest() override
    {
        startLogging("off");
    }

    /** The lines that @p call logs. */
    template<typename Call>
    std::vector<std::string> linesOf(Call call)
    {
        ::testing::internal::CaptureStdout();
        call();
        flushLog();
        std::istringstream text(::testing::internal::GetCapturedStdout());
        std::vector<std::string> lines;
        for (std::string line; std::getline(text, line);) {
            lines.push_back(line);
        }
        return lines;
    }

    std::vector<std::string> replace(std::vector<MalformedItem> list)
    {
        return linesOf([&] {
            items.replace("kind", std::move(list));
        });
    }

    Counters counters;
    MalformedItems items{counters, "malformed", "item-malformed", "item"};
};

} // namespace

// Guards against a line at each read, and against the silence when an item is sound again.
TEST_F(MalformedItemsTest, LineIsLoggedWhenAnItemBecomesMalformedAndWhenThatEnds)
{
    const auto begins = replace({{"x", 12, "bad text"}});
    ASSERT_EQ(begins.size(), 1U);
    EXPECT_NE(begins[0].find(R"(event=item-malformed item="x" kind="kind" revision="12" change="begins" problem="bad text")"), std::string::npos) << begins[0];
    EXPECT_TRUE(replace({{"x", 13, "bad text"}}).empty()) << "the same problem";
    EXPECT_EQ(replace({{"x", 14, "other"}}).size(), 1U);
    EXPECT_EQ(items.size(), 1U);
    EXPECT_NE(counters.text().find("malformed 1\n"), std::string::npos);
    const auto ended = replace({});
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_NE(ended[0].find(R"(change="ended")"), std::string::npos) << ended[0];
    EXPECT_EQ(items.size(), 0U);
}

TEST_F(MalformedItemsTest, SingleItemsAreAddedAndRemoved)
{
    const MalformedItem item{"x", 1, "bad"};
    EXPECT_EQ(linesOf([&] {
                  items.add("a", item);
                  items.add("a", item);
                  items.add("b", item);
              }).size(),
              2U);
    EXPECT_EQ(items.size(), 2U);
    EXPECT_EQ(linesOf([&] {
                  items.remove("a", "x");
                  items.remove("a", "x");
                  items.remove("c", "x");
              }).size(),
              1U);
    items.retain({"y"});
    EXPECT_EQ(items.size(), 0U);
}

// Guards against lines and memory that grow with what another writer puts into the store.
TEST_F(MalformedItemsTest, ManyItemsAndLongNamesAreBounded)
{
    std::vector<MalformedItem> many;
    for (unsigned i = 0; i < 3000; ++i) {
        many.push_back({std::to_string(i) + std::string(5000, 'n'), 1, "bad"});
    }
    const auto lines = replace(many);
    EXPECT_EQ(lines.size(), MalformedItems::kMaxLines + 1);
    EXPECT_NE(lines.back().find(R"(change="left-out" lines="980")"), std::string::npos) << lines.back();
    for (const std::string &line : lines) {
        EXPECT_LT(line.size(), 300U);
    }
    EXPECT_EQ(items.size(), 3000U) << "all are counted";
}

// Guards against several items whose names can't be read and that are taken for one.
TEST_F(MalformedItemsTest, ItemsWithoutReadableNamesAreCountedEach)
{
    replace({{"", 0, "bad"}, {"", 0, "bad"}});
    EXPECT_EQ(items.size(), 2U);
}

// Guards against a value that ends its line or its quotes and states something else.
TEST_F(MalformedItemsTest, LoggedValuesAreEscaped)
{
    const auto lines = replace({{"x\" change=\"none\"\nevent=started \xff\\", 1, "bad"}});
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines[0].find(R"(item="x\" change=\"none\"\x0aevent=started \xff\\" kind=)"), std::string::npos) << lines[0];
}

} // namespace fulmarlink::testing
