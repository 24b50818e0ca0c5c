// Entries, records and answers of others that can't be read, with real sockets: what isn't in them must be known all the same.
//
// Guards against one item that can't be parsed and makes the whole answer unreadable. The list of runners then stays as it was: leaving runners get requests
// until they exit, and new ones get none.

#include <algorithm>

#include "platform/platformclient.h"
#include "testing/harness/gatewayfixture.h"

namespace fulmarlink::testing
{

namespace
{

const std::string kForeign = "x-foreign"; ///< behind the runners' entries in the list
const std::string kForeignFirst = "a-foreign"; ///< before them

/** A spec that can't be read, as the text that the store puts into its answers. */
struct UnreadableSpec {
    const char *name;
    std::string text;
};

std::ostream &operator<<(std::ostream &out, const UnreadableSpec &spec)
{
    return out << spec.name;
}

std::vector<UnreadableSpec> unreadableSpecs()
{
    const std::string entry = R"({"service":"plain","zone":"z","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"call_seq":0,"addr":)";
    return {{"LoneSurrogate", entry + R"("\udcff"})"},
            {"LargeExponent", entry + "1e99999999999}"},
            {"DeepNesting", entry + std::string(300, '[') + std::string(300, ']') + '}'},
            {"InvalidUtf8", entry + "\"\xff\"}"},
            {"ControlCharacter", entry + "\"\x01\"}"},
            {"InvalidEscape", entry + R"("\x41"})"},
            {"NotANumber", entry + "NaN}"},
            {"OpenBracket", entry + "[{\"a\":1"},
            {"OpenQuote", entry + "\"10.0.0.1"},
            {"ClosingBrackets", entry + "\"\"}]}"},
            {"Nothing", " "}};
}

class UnreadableEntry : public GatewayTest, public ::testing::WithParamInterface<UnreadableSpec>
{
public:
    UnreadableEntry()
    {
        settings.leavingBound = 500ms;
    }

    /** Sends requests, all of which must be answered, none of them by @p runner. */
    void expectNoWorkAt(const PlatformRunner &runner, unsigned requests)
    {
        const std::size_t before = runner.receivedRequests.size();
        for (unsigned i = 0; i < requests; ++i) {
            EXPECT_EQ(ask(request("/once/x")).status, 200U);
        }
        EXPECT_EQ(runner.receivedRequests.size(), before);
    }

    /** Waits until changes of the list must be in force. */
    void waitForList()
    {
        context.run_for(settings.leavingBound);
    }

    std::uint64_t malformedTargets()
    {
        return gaugeOf("fulmarlink_malformed_targets");
    }

    std::uint64_t gaugeOf(const std::string &name)
    {
        const std::string text = counters.text();
        const std::size_t at = text.find('\n' + name + ' ');
        return at == std::string::npos ? 0 : std::strtoull(text.c_str() + at + name.size() + 2, nullptr, 10);
    }
};

INSTANTIATE_TEST_SUITE_P(, UnreadableEntry, ::testing::ValuesIn(unreadableSpecs()), [](const auto &spec) {
    return std::string(spec.param.name);
});

} // namespace

TEST_P(UnreadableEntry, LeavingRunnerGetsNoNewWorkBesideIt)
{
    start();
    store.setText("servers", kForeign, GetParam().text);
    store.setText("servers", kForeignFirst, GetParam().text);
    listRunner("i-a", "draining");
    waitForList();
    expectNoWorkAt(a, 10);
    EXPECT_EQ(malformedTargets(), 2U);
}

TEST_P(UnreadableEntry, NewRunnerReplacesOneThatIsGoneBesideIt)
{
    PlatformRunner added(context, "i-c");
    start();
    store.setText("servers", kForeign, GetParam().text);
    addresses["i-c"] = added.listen();
    listRunner("i-c");
    store.remove("servers", "i-a");
    a.end();
    listRunner("i-b", "draining");
    waitForList();
    expectNoWorkAt(b, 10);
    EXPECT_EQ(added.receivedRequests.size(), 10U);
}

// The runner of an entry that was sound and can't be read any more gets no new work, finishes what it has, and is used again once the entry is sound.
TEST_P(UnreadableEntry, RunnerWhoseOwnEntryIsUnreadableGetsNoNewWork)
{
    start();
    listRunner("i-b", "draining");
    waitForList();
    a.workTime = 300ms;
    auto answer = std::make_shared<Answer>();
    auto done = std::make_shared<bool>(false);
    asio::co_spawn(context, callOnce(context, settings.callers, request("/stream/x"), answer, done), asio::detached);
    ASSERT_TRUE(runUntil(
        [this] {
            return a.receivedRequests.size() == 1;
        },
        1s));
    listRunner("i-b");
    store.setText("servers", "i-a", GetParam().text);
    waitForList();
    ASSERT_FALSE(*done);
    expectNoWorkAt(a, 10);
    ASSERT_TRUE(runUntil(
        [done] {
            return *done;
        },
        4s));
    EXPECT_TRUE(answer->whole);
    EXPECT_EQ(a.receivedRequests.size() + b.receivedRequests.size(), 11U) << "the stream was not resumed elsewhere";
    a.workTime = 0ms;
    EXPECT_EQ(malformedTargets(), 1U);
    listRunner("i-a");
    waitForList();
    EXPECT_EQ(malformedTargets(), 0U);
    const std::size_t before = a.receivedRequests.size();
    EXPECT_TRUE(runUntil(
        [&] {
            return ask(request("/once/x")).status == 200 && a.receivedRequests.size() > before;
        },
        3s));
}

} // namespace fulmarlink::testing
