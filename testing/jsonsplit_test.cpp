// Splitting of lists whose items several writers have written, so that one that can't be parsed is lost alone.

#include "platform/jsonsplit.h"

#include <array>
#include <chrono>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <set>

#include "fulmarlink/log.h"
#include "platform/storeobjects.h"

namespace fulmarlink::testing
{

namespace
{

constexpr std::array<std::string_view, 2> kFirstKeys{"metadata", "spec"};

std::optional<JsonList> split(std::string_view text)
{
    return splitJsonList(text, {"items", kFirstKeys});
}

std::vector<std::string> itemsOf(std::string_view text)
{
    const auto list = split(text);
    return list ? std::vector<std::string>(list->items.begin(), list->items.end()) : std::vector<std::string>{"no list"};
}

std::string object(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":7,"finalizers":["a,{\"metadata\":[}"]},"spec":)" + spec + R"(,"status":null})";
}

std::string sound(unsigned number)
{
    return object("i-" + std::to_string(number), R"({"addr":"10.0.0.1:80","text":"},{\"metadata\":{\"]","number":)" + std::to_string(number) + '}');
}

std::string listOf(const std::vector<std::string> &items)
{
    return R"({"items":[)" + joined(items) + R"(],"more":true,"current_rev":530})";
}

/** Text that is more likely to upset a parser than random bytes are. */
rc::Gen<std::string> hostileText()
{
    return rc::gen::container<std::string>(rc::gen::oneOf(rc::gen::elementOf(std::string("{}[],:\"\\ \n0eE+-n\xff")), rc::gen::character<char>()));
}

/** Expects the sound objects in @p list, each as it was written, whatever stands beside them. */
bool holdsSoundObjects(std::string_view text, const std::set<unsigned> &numbers)
{
    const auto list = readStoreList(text);
    if (!list || !list->more || list->revision != 530) {
        return false;
    }
    std::set<unsigned> found;
    for (const std::string_view item : list->objects) {
        const StoreObject read = readStoreObject(item);
        for (const unsigned number : numbers) {
            if (read.name == "i-" + std::to_string(number) && read.problem.empty() && read.revision == 7 && read.spec == readStoreObject(sound(number)).spec) {
                found.insert(number);
            }
        }
    }
    return found == numbers;
}

} // namespace

TEST(JsonSplit, SoundListIsSplitIntoItemsAndOtherMembers)
{
    const auto list = split(R"( { "more" : false , "items" : [ {"a":[1,{"b":"]"}]} , "x\"]" , 7,[] ] , "current_rev" : 5 } )");
    ASSERT_TRUE(list);
    EXPECT_EQ(list->items, (std::vector<std::string_view>{R"({"a":[1,{"b":"]"}]})", R"("x\"]")", "7", "[]"}));
    EXPECT_EQ(list->members.at("more"), "false");
    EXPECT_EQ(list->members.at("current_rev"), "5");
    EXPECT_TRUE(itemsOf(R"({"items":[]})").empty());
    EXPECT_TRUE(itemsOf(R"({"items":[ ],"extra":{"a":[]}})").empty());
}

TEST(JsonSplit, TextThatIsNoListIsRejected)
{
    for (const char *text : {"", "7", "[]", "{}", R"({"items":7})", R"({"items":[1,2)", R"({"items":[1],"more")", R"({"items":[1]} x)", R"({"items":[1])"}) {
        EXPECT_FALSE(split(text)) << text;
    }
}

// Guards against an item with a bracket or quote too few or too many that takes the items behind it for its own.
TEST(JsonSplit, UnbalancedItemIsLostAlone)
{
    for (const char *spec : {"",    "{",    "[",         "\"",         "{\"a\":[", "[{\"a\":[1", "[{\"a\":1", "\"abc\\", "}",      "]",
                             "1}]", "1}]}", "],\"x\":[", "],\"x\":1}", ",",        ":",          "{\"a\":}",  "\"a\":1", "'text'", "// text"}) {
        for (const unsigned at : {0U, 1U, 2U}) {
            std::vector<std::string> items{sound(1), sound(2)};
            items.insert(items.begin() + at, object("x", spec));
            EXPECT_TRUE(holdsSoundObjects(listOf(items), {1, 2})) << spec << " at " << at;
            items[at] = spec;
            EXPECT_TRUE(holdsSoundObjects(listOf(items), {1, 2})) << spec << " alone at " << at;
        }
    }
}

TEST(JsonSplit, AnyTextInPlaceOfAnItemLeavesTheOthers)
{
    EXPECT_TRUE(rc::check([] {
        const auto count = *rc::gen::inRange(1U, 6U);
        const auto replaced = *rc::gen::inRange(0U, count);
        const std::string text = *hostileText();
        const bool onlyItsSpec = *rc::gen::arbitrary<bool>();
        std::vector<std::string> items;
        std::set<unsigned> others;
        for (unsigned i = 0; i < count; ++i) {
            items.push_back(i == replaced ? (onlyItsSpec ? object("x", text) : text) : sound(i));
            if (i != replaced) {
                others.insert(i);
            }
        }
        RC_ASSERT(holdsSoundObjects(listOf(items), others));
    }));
}

// Guards against items that are malformed but balanced, of which there may be many, and which are told apart by their tokens.
TEST(JsonSplit, AnyNumberOfUnparsableItemsLeavesTheOthers)
{
    EXPECT_TRUE(rc::check([] {
        static const std::vector<std::string> kSpecs{
            R"("\udcff")", "1e99999999999", std::string(300, '[') + std::string(300, ']'), "\"\xff\"", "\"\n\"", "nul", "01", R"("\x")"};
        std::vector<std::string> items;
        std::set<unsigned> others;
        for (unsigned i = 0; i < 20; ++i) {
            const bool isSound = *rc::gen::arbitrary<bool>();
            items.push_back(isSound ? sound(i) : object("x", *rc::gen::elementOf(kSpecs)));
            if (isSound) {
                others.insert(i);
            }
        }
        RC_ASSERT(holdsSoundObjects(listOf(items), others));
    }));
}

// Guards against a parser that recurses as deep as the input nests, and against time that grows with the square of the malformed items.
TEST(JsonSplit, LargeMalformedListsAreSplitInLinearTime)
{
    constexpr std::size_t kMegabyte = 1U << 20U;
    std::vector<std::string> items;
    for (unsigned i = 0; i < 500; ++i) {
        items.push_back(object("x" + std::to_string(i), "[{\"spec\":" + std::string(2000, '[')));
    }
    items.push_back(sound(1));
    items.push_back(object("deep", std::string(kMegabyte, '[') + std::string(kMegabyte, ']')));
    items.push_back(object("long", '"' + std::string(kMegabyte, '\\') + "a"));
    items.push_back(sound(2));
    const std::string text = listOf(items);
    const auto began = std::chrono::steady_clock::now();
    EXPECT_TRUE(holdsSoundObjects(text, {1, 2}));
    EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(5)) << "of some 3 MB; the square of the items takes minutes";
}

// Guards against a name or revision that is lost with the part of another writer.
TEST(StoreObjects, NameAndRevisionAreReadBesidePartsThatCannotBeParsed)
{
    for (const char *spec : {R"("\udcff")", "1e99999999999", "{", "\"", ""}) {
        const StoreObject read = readStoreObject(R"({"metadata":{"name":"x","revision":12,"finalizers":[]},"spec":)" + std::string(spec) + '}');
        EXPECT_EQ(read.name, "x") << spec;
        EXPECT_EQ(read.revision, 12U) << spec;
        EXPECT_TRUE(read.spec.is_null()) << spec;
        EXPECT_FALSE(read.problem.empty()) << spec;
    }
    const StoreObject read = readStoreObject(R"({"metadata":{"finalizers":["\udcff"],"name":"x","revision":12},"spec":{"a":1},"status":"\udcff"})");
    EXPECT_EQ(read.name, "x");
    EXPECT_EQ(read.revision, 12U);
    EXPECT_EQ(read.spec, boost::json::value({{"a", 1}}));
    EXPECT_FALSE(read.problem.empty());
}

// Guards against one event that can't be parsed and stops the watch: the same events are returned until the watch moves on.
TEST(StoreObjects, WatchMovesOnBehindAnEventThatCannotBeParsed)
{
    const auto read = readStoreEvents(R"({"events":[{"object":{"metadata":{"name":"a","revision":4},"spec":{}},"removed":false},
{"removed":false,"object":{"metadata":{"name":"x","revision":5},"spec":"\udcff"}},{"removed":true,"object":{"metadata":{"name":"b","revision":6},"spec":1e99999999999}},
{"removed":fals,"object":{"metadata":{"name":"c","revision":7},"spec":{}}}],"current_rev":8})");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->revision, 8U);
    ASSERT_EQ(read->events.size(), 4U);
    EXPECT_TRUE(read->events[0].object.problem.empty());
    EXPECT_FALSE(read->events[1].object.problem.empty());
    EXPECT_EQ(read->events[1].object.revision, 5U);
    EXPECT_TRUE(read->events[2].removed);
    EXPECT_EQ(read->events[2].object.name, "b");
    EXPECT_FALSE(read->events[3].object.problem.empty()) << "whether it is there is not known";
    EXPECT_FALSE(read->events[3].removed);
}

TEST(StoreObjects, NameIsEscapedForTheAddressOfTheNextPage)
{
    EXPECT_EQ(percentEncoded("i-7f.a_B"), "i-7f.a_B");
    EXPECT_EQ(percentEncoded("a b&c\r\n\xff%"), "a%20b%26c%0D%0A%FF%25");
}

} // namespace fulmarlink::testing
