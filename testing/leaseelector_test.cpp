// The lease of a pool's maps, over a store that a test plays.

#include "fulmarlink/leaseelector.h"

#include <gtest/gtest.h>

#include "fulmarlink/resultcode.h"

namespace fulmarlink::testing
{

namespace
{

using std::chrono::milliseconds;
using Step = LeaseElector::Step;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::seconds(500) + milliseconds(ms));
}

/** The record in the store, with its condition. */
struct Store {
    LeaseRecord record;

    LeaseRead read() const
    {
        return {{}, record};
    }

    LeaseRead write(const LeaseRecord &next)
    {
        if (next.revision != record.revision) {
            return {ResultCode::VersionConflict, record};
        }
        const std::uint64_t revision = record.revision + 1;
        record = next;
        record.revision = revision;
        return {{}, record};
    }
};

LeaseElector keeper(const std::string &name)
{
    return LeaseElector(LeaseOptions{.self = name});
}

/** One step of a keeper against the store. */
void act(LeaseElector &keeper, Store &store, int ms)
{
    const Step step = keeper.step(at(ms));
    if (step == Step::Write) {
        keeper.handleWrite(store.write(keeper.nextRecord()), at(ms), at(ms));
    } else if (step != Step::Wait) {
        keeper.handleRead(store.read(), at(ms));
    }
}

} // namespace

TEST(LeaseElector, OneOfManyTakesItAndKeepsIt)
{
    Store store;
    std::vector<LeaseElector> keepers = {keeper("a"), keeper("b"), keeper("c")};
    for (int ms = 0; ms < 20'000; ms += 100) {
        unsigned holders = 0;
        for (LeaseElector &one : keepers) {
            act(one, store, ms);
            holders += one.holds(at(ms)) ? 1 : 0;
        }
        EXPECT_LE(holders, 1U) << ms;
        if (ms > 500) {
            EXPECT_EQ(holders, 1U) << ms;
        }
    }
    EXPECT_EQ(store.record.holder, "a");
}

TEST(LeaseElector, ASilentHolderIsReplacedAfterItsOwnClockHasEndedIt)
{
    Store store;
    LeaseElector a = keeper("a");
    LeaseElector b = keeper("b");
    act(a, store, 0);
    act(a, store, 1);
    act(b, store, 2);
    int taken = 0;
    for (int ms = 100; ms < 10'000 && taken == 0; ms += 50) {
        act(b, store, ms);
        taken = b.holds(at(ms)) ? ms : 0;
    }
    ASSERT_GT(taken, 0);
    EXPECT_FALSE(a.holds(at(taken)));
    EXPECT_LT(taken, 5000);
    act(a, store, taken + 100); // wakes and renews: refused
    EXPECT_FALSE(a.holds(at(taken + 100)));
}

TEST(LeaseElector, ALapsedLeaseBeginsANewTerm)
{
    Store store;
    LeaseElector a = keeper("a");
    act(a, store, 0);
    act(a, store, 1);
    const std::uint64_t term = a.termId();
    act(a, store, 1000);
    EXPECT_EQ(a.termId(), term);
    act(a, store, 9000); // after an outage nobody else has taken it
    EXPECT_TRUE(a.holds(at(9001)));
    EXPECT_GT(a.termId(), term);
}

TEST(LeaseElector, AnAnswerThatWasLostIsReadBackBeforeItIsTrusted)
{
    Store store;
    LeaseElector a = keeper("a");
    act(a, store, 0);
    ASSERT_EQ(a.step(at(1)), Step::Write);
    store.write(a.nextRecord()); // it took effect
    a.handleWrite({ResultCode::StoreAnswerLost, {}}, at(1), at(400));
    EXPECT_FALSE(a.holds(at(400)));
    EXPECT_EQ(a.step(at(401)), Step::Read);
    act(a, store, 401);
    act(a, store, 402);
    EXPECT_TRUE(a.holds(at(403)));
}

TEST(LeaseElector, AHolderThatYieldsDoesNotTakeItBackAtOnce)
{
    Store store;
    LeaseElector a = keeper("a");
    act(a, store, 0);
    act(a, store, 1);
    const LeaseRecord released = a.releasedRecord();
    a.standDown(at(4000));
    store.write(released);
    for (int ms = 100; ms < 4000; ms += 100) {
        act(a, store, ms);
        EXPECT_FALSE(a.holds(at(ms)));
    }
    LeaseElector b = keeper("b");
    act(b, store, 4000);
    act(b, store, 4001);
    EXPECT_TRUE(b.holds(at(4002)));
}

TEST(LeaseElector, AHostThatIsLessFitForTheWorkLetsOthersComeFirst)
{
    Store store;
    LeaseElector slow(LeaseOptions{.self = "slow", .acquireDelay = milliseconds(1000)});
    LeaseElector fast(LeaseOptions{.self = "fast", .acquireDelay = milliseconds(100)});
    for (int ms = 0; ms < 2000; ms += 50) {
        act(slow, store, ms);
        act(fast, store, ms);
    }
    EXPECT_TRUE(fast.holds(at(2000)));
    EXPECT_FALSE(slow.holds(at(2000)));
    store.write(fast.releasedRecord()); // it leaves, and nobody else comes
    for (int ms = 2000; ms < 4000; ms += 50) {
        act(slow, store, ms);
    }
    EXPECT_TRUE(slow.holds(at(4000)));
}

TEST(LeaseElector, WhatTheHolderKnowsOfSlowRanksIsWrittenAtOnceAndOutlivesIt)
{
    Store store;
    LeaseElector a = keeper("a");
    act(a, store, 0);
    act(a, store, 10);
    ASSERT_TRUE(a.holds(at(20)));
    const LeaseRecord underWay = a.nextRecord();
    a.setSlowTargets({"rank-2"});
    a.handleWrite(store.write(underWay), at(20), at(30)); // a renewal that was sent before does not hide it
    EXPECT_EQ(a.step(at(40)), Step::Write);
    act(a, store, 40);
    EXPECT_EQ(store.record.slowTargets, std::vector<std::string>{"rank-2"});
    EXPECT_EQ(a.step(at(50)), Step::Wait);
    store.write(a.releasedRecord());
    LeaseElector b = keeper("b");
    act(b, store, 100);
    act(b, store, 110);
    EXPECT_TRUE(b.holds(at(120)));
    EXPECT_EQ(b.record().slowTargets, std::vector<std::string>{"rank-2"});
}

} // namespace fulmarlink::testing
