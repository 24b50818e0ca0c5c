#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>

#include "fulmarlink/clock.h"
#include "fulmarlink/frame.h"
#include "fulmarlink/hostlist.h"
#include "fulmarlink/resultcode.h"
#include "fulmarlink/ruleset.h"
#include "fulmarlink/settings.h"
#include "fulmarlink/slottable.h"

namespace fulmarlink::testing
{

namespace
{

wire::DispatchT sampleDispatch()
{
    wire::DispatchT dispatch;
    dispatch.id = std::make_unique<DispatchId>(1, 2, 3);
    dispatch.method = "POST";
    dispatch.path = "/v1";
    dispatch.body = {1, 2, 3};
    dispatch.headers.push_back(std::make_unique<wire::HeaderT>());
    dispatch.headers.back()->name = "a";
    return dispatch;
}

std::string randomBytes(Random &random, std::size_t size)
{
    std::string bytes(size, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

/** Changes some bytes of a valid input, cuts it, or makes a wholly random one. */
std::string mutate(Random &random, std::string input)
{
    if (random() % 8 == 0) {
        return randomBytes(random, random() % 200);
    }
    for (unsigned i = 0; i < 1 + random() % 6 && !input.empty(); ++i) {
        input[random() % input.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) {
        input.resize(random() % (input.size() + 1));
    }
    return input;
}

unsigned long fuzzRuns()
{
    const char *text = std::getenv("FULMARLINK_DECODER_RUNS"); // NOLINT(concurrency-mt-unsafe): no other thread
    return text == nullptr ? 20000 : std::strtoul(text, nullptr, 10);
}

} // namespace

TEST(Frame, RoundTrip)
{
    const std::vector<std::uint8_t> frame = encodeFrame(sampleDispatch());
    std::size_t length = 0;
    ASSERT_FALSE(decodeFrameLength(std::span(frame).first<kFrameHeaderBytes>(), length));
    ASSERT_EQ(length, frame.size() - kFrameHeaderBytes);
    Message message;
    ASSERT_FALSE(decodeFrameBody(std::span(frame).subspan(kFrameHeaderBytes), message));
    const auto &dispatch = std::get<wire::DispatchT>(message);
    EXPECT_EQ(*dispatch.id, DispatchId(1, 2, 3));
    EXPECT_EQ(dispatch.body, (std::vector<std::uint8_t>{1, 2, 3}));
}

TEST(Frame, LengthIsBounded)
{
    std::size_t length = 0;
    const std::array<std::uint8_t, 4> zero = {0, 0, 0, 0};
    EXPECT_EQ(decodeFrameLength(zero, length), ResultCode::FrameInvalid);
    const std::array<std::uint8_t, 4> huge = {0, 0, 0, 0x7f};
    EXPECT_EQ(decodeFrameLength(huge, length), ResultCode::FrameTooLarge);
}

TEST(DecoderFuzz, Frames)
{
    Random random(1);
    const std::vector<std::uint8_t> frame = encodeFrame(sampleDispatch());
    const std::string valid(frame.begin() + kFrameHeaderBytes, frame.end());
    unsigned accepted = 0;
    for (unsigned long i = 0; i < fuzzRuns(); ++i) {
        const std::string input = mutate(random, valid);
        Message message;
        const std::vector<std::uint8_t> bytes(input.begin(), input.end());
        accepted += decodeFrameBody(bytes, message) ? 0 : 1;
    }
    std::cout << "frames: " << fuzzRuns() << " runs, " << accepted << " accepted, seed 1\n";
    EXPECT_LT(accepted, fuzzRuns());
}

TEST(DecoderFuzz, SettingsRulesHostsAndSlots)
{
    Random random(2);
    const std::string rules = "rules:\n  - {name: a, when: {customer: [x, y], time: '10:00-11:00'}, then: {route: p, limit: {tokens_per_second: 5}}}\n";
    const std::string settings = "host: a\nzone: z\nlinks: {address: 127.0.0.1, port: 1}\nagent: {pool: p, runner: {address: 127.0.0.1, port: 2}}\n";
    const std::string hosts = "[{\"name\":\"a\",\"role\":\"p\",\"zone\":\"z\",\"address\":\"127.0.0.1\",\"port\":1,\"state\":\"live\"}]";
    const std::string slots = SlotTable().serialize();
    const unsigned long runs = fuzzRuns() / 10;
    for (unsigned long i = 0; i < runs; ++i) {
        FileErrors errors;
        const auto parsed = RuleSet::parse(mutate(random, rules), "f", errors);
        EXPECT_EQ(parsed == nullptr, !errors.empty());
        errors.clear();
        Settings::parse(mutate(random, settings), "f", errors);
        std::vector<HostInfo> list;
        const bool badHosts = static_cast<bool>(parseHostList(mutate(random, hosts), list));
        EXPECT_TRUE(!badHosts || list.empty());
        SlotTable table;
        const bool badTable = static_cast<bool>(table.parse(mutate(random, slots), 5));
        EXPECT_EQ(table.version, badTable ? 0U : 5U);
        EXPECT_EQ(table.owners.size(), std::size_t{SlotTable::kSlots});
    }
    std::cout << "rules, settings, host lists, slot tables: " << runs << " runs each, seed 2\n";
}

} // namespace fulmarlink::testing
