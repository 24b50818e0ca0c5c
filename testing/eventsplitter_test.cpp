// Checks that a stream is split into complete events, however its bytes are divided into reads.

#include "fulmarlink/eventsplitter.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <vector>

namespace fulmarlink::testing
{

TEST(EventSplitter, ReturnsTheSameEventsForAnyReadSizes)
{
    rc::check([] {
        const bool useCrLf = *rc::gen::arbitrary<bool>();
        const std::string end = useCrLf ? "\r\n" : "\n";
        const int events = *rc::gen::inRange(0, 12);
        std::string text;
        for (int i = 0; i < events; ++i) {
            text += "id: " + std::to_string(i) + end;
            text += "data: " + std::string(*rc::gen::inRange(0, 30), 'x');
            text += end + end;
        }
        const std::string complete = text;
        text += *rc::gen::element<std::string>("", "id: 99", "id: 99" + end, "data: half" + end);
        EventSplitter splitter;
        std::string received;
        std::size_t position = 0;
        while (position < text.size()) {
            const std::size_t readSize = *rc::gen::inRange<std::size_t>(1, 20);
            splitter.push(std::string_view(text).substr(position, readSize));
            position += readSize;
            received += splitter.takeCompleteEvents();
        }
        RC_ASSERT(received == complete);
        RC_ASSERT(splitter.events() == static_cast<std::uint64_t>(events));
        RC_ASSERT(splitter.partial() == (text.size() > complete.size()));
        RC_ASSERT(splitter.lastId() == (events == 0 ? "" : std::to_string(events - 1)));
    });
}

TEST(EventSplitter, ResetDiscardsThePartialEvent)
{
    EventSplitter splitter;
    splitter.push("id: 1\ndata: a\n\nid: 2\nda");
    EXPECT_EQ(splitter.takeCompleteEvents(), "id: 1\ndata: a\n\n");
    splitter.reset();
    splitter.push("id: 2\ndata: b\n\n");
    EXPECT_EQ(splitter.takeCompleteEvents(), "id: 2\ndata: b\n\n");
    EXPECT_EQ(splitter.lastId(), "2");
}

TEST(EventSplitter, ReportsAnEventBeyondTheSizeLimit)
{
    EventSplitter splitter;
    splitter.push(std::string(EventSplitter::kMaxEventBytes + 1, 'x'));
    EXPECT_TRUE(splitter.tooLong());
}

} // namespace fulmarlink::testing
