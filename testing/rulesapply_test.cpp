#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "fulmarlink/resultcode.h"
#include "fulmarlink/rulesapply.h"

namespace fulmarlink::testing
{

namespace
{

using ::testing::_;
using ::testing::Invoke;

constexpr const char *kGood = "rules:\n  - {name: a, when: {}, then: {route: p}}\n";

/** The object API in memory behind a mock, so that a test can lose answers. */
class MockStore : public ObjectStore
{
public:
    MockStore()
    {
        ON_CALL(*this, get(_, _)).WillByDefault(Invoke([this](const std::string & /*key*/, const Callback &callback) {
            callback(m_object.version == 0 ? make_error_code(ResultCode::ObjectNotFound) : std::error_code(), m_object);
        }));
        ON_CALL(*this, put(_, _, _, _))
            .WillByDefault(Invoke([this](const std::string & /*key*/, std::uint64_t expected, const std::string &text, const Callback &callback) {
                callback(write(expected, text), m_object);
            }));
    }

    std::error_code write(std::uint64_t expected, const std::string &text)
    {
        if (expected != m_object.version) {
            return ResultCode::VersionConflict;
        }
        m_object = {expected + 1, text};
        return {};
    }

    MOCK_METHOD(void, get, (const std::string &, Callback), (override));
    MOCK_METHOD(void, put, (const std::string &, std::uint64_t, const std::string &, Callback), (override));
    MOCK_METHOD(void, watch, (const std::string &, std::uint64_t, Callback), (override));

    StoredObject m_object;
};

using NiceStore = ::testing::NiceMock<MockStore>;

ApplyRequest request(std::uint64_t expected, const std::string &id)
{
    return {kGood, "rules.yaml", id, "ana", expected};
}

} // namespace

TEST(RulesApply, WritesAndNamesTheVersion)
{
    NiceStore store;
    const ApplyResult result = applyRules(store, request(0, "id1"));
    EXPECT_FALSE(result.error);
    EXPECT_EQ(result.version, 1U);
    EXPECT_EQ(parseApplyHeader(store.m_object.text), std::pair(std::string("id1"), std::string("ana")));
    EXPECT_EQ(withoutApplyHeader(store.m_object.text), kGood);
}

TEST(RulesApply, InvalidRulesAreNotWritten)
{
    NiceStore store;
    EXPECT_CALL(store, put(_, _, _, _)).Times(0);
    ApplyRequest bad = request(0, "id1");
    bad.text = "rules: []\n";
    EXPECT_EQ(applyRules(store, bad).error, ResultCode::RulesInvalid);
}

TEST(RulesApply, SecondOfTwoOperatorsSeesTheFirst)
{
    NiceStore store;
    EXPECT_FALSE(applyRules(store, request(0, "first")).error);
    const ApplyResult second = applyRules(store, request(0, "second"));
    EXPECT_EQ(second.error, ResultCode::VersionConflict);
    EXPECT_EQ(parseApplyHeader(second.current).first, "first");
}

TEST(RulesApply, LostAnswerOfAWriteThatTookEffectIsReadBack)
{
    NiceStore store;
    EXPECT_CALL(store, put(_, _, _, _))
        .WillOnce(Invoke([&](const std::string &, std::uint64_t expected, const std::string &text, const ObjectStore::Callback &callback) {
            store.write(expected, text);
            callback(ResultCode::StoreAnswerLost, {});
        }));
    const ApplyResult result = applyRules(store, request(0, "id1"));
    EXPECT_FALSE(result.error);
    EXPECT_EQ(result.version, 1U);
    EXPECT_GE(result.readBacks, 1U);
}

TEST(RulesApply, LostAnswerAndSomebodyElsesWriteIsAConflict)
{
    NiceStore store;
    EXPECT_CALL(store, put(_, _, _, _))
        .WillOnce(Invoke([&](const std::string &, std::uint64_t expected, const std::string &, const ObjectStore::Callback &callback) {
            store.write(expected, applyHeader("other", "rui") + kGood);
            callback(ResultCode::StoreAnswerLost, {});
        }));
    EXPECT_EQ(applyRules(store, request(0, "id1")).error, ResultCode::VersionConflict);
}

TEST(RulesApply, LostForGoodIsSaid)
{
    NiceStore store;
    EXPECT_CALL(store, put(_, _, _, _)).WillOnce(Invoke([&](const std::string &, std::uint64_t, const std::string &, const ObjectStore::Callback &callback) {
        callback(ResultCode::StoreAnswerLost, {});
    }));
    const ApplyResult result = applyRules(store, request(0, "id1"));
    EXPECT_EQ(result.error, ResultCode::StoreAnswerLost);
    EXPECT_EQ(result.readBacks, kMaxReadBacks);
}

TEST(RulesApply, DiffShowsWhatChanged)
{
    EXPECT_EQ(diffLines("a\nb\nc\n", "a\nx\nc\n"), (std::vector<std::string>{"- b", "+ x"}));
    EXPECT_TRUE(diffLines("a\n", "a\n").empty());
}

} // namespace fulmarlink::testing
