// Tests the lease election of a rank group against an in-memory store.

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

/** A store of one lease record with conditional writes: a write must carry the stored revision. */
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

LeaseElector makeElector(const std::string &name)
{
    return LeaseElector(LeaseOptions{.self = name});
}

/** Carries out one step of @p elector against the store. */
void runStep(LeaseElector &elector, Store &store, int ms)
{
    const Step step = elector.step(at(ms));
    if (step == Step::Write) {
        elector.handleWrite(store.write(elector.nextRecord()), at(ms), at(ms));
    } else if (step != Step::Wait) {
        elector.handleRead(store.read(), at(ms));
    }
}

} // namespace

TEST(LeaseElector, ExactlyOneOfSeveralHostsHoldsTheLease)
{
    Store store;
    std::vector<LeaseElector> electors = {makeElector("a"), makeElector("b"), makeElector("c")};
    for (int ms = 0; ms < 20'000; ms += 100) {
        unsigned holders = 0;
        for (LeaseElector &one : electors) {
            runStep(one, store, ms);
            holders += one.holds(at(ms)) ? 1 : 0;
        }
        EXPECT_LE(holders, 1U) << ms;
        if (ms > 500) {
            EXPECT_EQ(holders, 1U) << ms;
        }
    }
    EXPECT_EQ(store.record.holder, "a");
}

TEST(LeaseElector, SilentHolderIsReplacedOnlyAfterItsLeaseExpired)
{
    Store store;
    LeaseElector a = makeElector("a");
    LeaseElector b = makeElector("b");
    runStep(a, store, 0);
    runStep(a, store, 1);
    runStep(b, store, 2);
    int takenAtMs = 0;
    for (int ms = 100; ms < 10'000 && takenAtMs == 0; ms += 50) {
        runStep(b, store, ms);
        takenAtMs = b.holds(at(ms)) ? ms : 0;
    }
    ASSERT_GT(takenAtMs, 0);
    EXPECT_FALSE(a.holds(at(takenAtMs)));
    EXPECT_LT(takenAtMs, 5000);
    runStep(a, store, takenAtMs + 100); // the old holder resumes; its renewal is refused
    EXPECT_FALSE(a.holds(at(takenAtMs + 100)));
}

TEST(LeaseElector, RenewalAfterExpiryStartsANewTerm)
{
    Store store;
    LeaseElector a = makeElector("a");
    runStep(a, store, 0);
    runStep(a, store, 1);
    const std::uint64_t term = a.termId();
    runStep(a, store, 1000);
    EXPECT_EQ(a.termId(), term);
    runStep(a, store, 9000); // after an outage in which no other host acquired it
    EXPECT_TRUE(a.holds(at(9001)));
    EXPECT_GT(a.termId(), term);
}

TEST(LeaseElector, WriteWithALostAnswerIsReadBackBeforeTheLeaseIsHeld)
{
    Store store;
    LeaseElector a = makeElector("a");
    runStep(a, store, 0);
    ASSERT_EQ(a.step(at(1)), Step::Write);
    store.write(a.nextRecord()); // the write took effect
    a.handleWrite({ResultCode::StoreAnswerLost, {}}, at(1), at(400));
    EXPECT_FALSE(a.holds(at(400)));
    EXPECT_EQ(a.step(at(401)), Step::Read);
    runStep(a, store, 401);
    runStep(a, store, 402);
    EXPECT_TRUE(a.holds(at(403)));
}

TEST(LeaseElector, HolderThatStandsDownDoesNotReacquireAtOnce)
{
    Store store;
    LeaseElector a = makeElector("a");
    runStep(a, store, 0);
    runStep(a, store, 1);
    const LeaseRecord released = a.releasedRecord();
    a.standDown(at(4000));
    store.write(released);
    for (int ms = 100; ms < 4000; ms += 100) {
        runStep(a, store, ms);
        EXPECT_FALSE(a.holds(at(ms)));
    }
    LeaseElector b = makeElector("b");
    runStep(b, store, 4000);
    runStep(b, store, 4001);
    EXPECT_TRUE(b.holds(at(4002)));
}

TEST(LeaseElector, HostWithTheShorterAcquireDelayTakesTheLeaseFirst)
{
    Store store;
    LeaseElector slow(LeaseOptions{.self = "slow", .acquireDelay = milliseconds(1000)});
    LeaseElector fast(LeaseOptions{.self = "fast", .acquireDelay = milliseconds(100)});
    for (int ms = 0; ms < 2000; ms += 50) {
        runStep(slow, store, ms);
        runStep(fast, store, ms);
    }
    EXPECT_TRUE(fast.holds(at(2000)));
    EXPECT_FALSE(slow.holds(at(2000)));
    store.write(fast.releasedRecord()); // released, and no other host competes
    for (int ms = 2000; ms < 4000; ms += 50) {
        runStep(slow, store, ms);
    }
    EXPECT_TRUE(slow.holds(at(4000)));
}

TEST(LeaseElector, SlowRanksAreWrittenAtOnceAndKeptByTheNextHolder)
{
    Store store;
    LeaseElector a = makeElector("a");
    runStep(a, store, 0);
    runStep(a, store, 10);
    ASSERT_TRUE(a.holds(at(20)));
    const LeaseRecord renewalInFlight = a.nextRecord();
    a.setSlowTargets({"rank-2"});
    a.handleWrite(store.write(renewalInFlight), at(20), at(30)); // a renewal sent before the change does not hide it
    EXPECT_EQ(a.step(at(40)), Step::Write);
    runStep(a, store, 40);
    EXPECT_EQ(store.record.slowTargets, std::vector<std::string>{"rank-2"});
    EXPECT_EQ(a.step(at(50)), Step::Wait);
    store.write(a.releasedRecord());
    LeaseElector b = makeElector("b");
    runStep(b, store, 100);
    runStep(b, store, 110);
    EXPECT_TRUE(b.holds(at(120)));
    EXPECT_EQ(b.record().slowTargets, std::vector<std::string>{"rank-2"});
}

} // namespace fulmarlink::testing
