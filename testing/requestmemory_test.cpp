// The memory that requests of all callers hold together, and which are evicted when it is used up.

#include "fulmarlink/requestmemory.h"

#include <deque>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <memory>
#include <vector>

#include "fulmarlink/leasedtext.h"
#include "fulmarlink/memoryleaseowner.h"
#include "fulmarlink/memoryplan.h"

namespace fulmarlink::testing
{

namespace
{

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;
constexpr std::size_t kLargeBytes = RequestMemory::kSmallBytes + 1;
constexpr RequestMemoryLimits kLimits{.smallRequests = 256 * kKilobyte, .largeRequests = 4 * kMegabyte, .answers = kMegabyte};

using Share = MemoryLease::Share;

class MockOwner : public MemoryLeaseOwner
{
public:
    MOCK_METHOD(void, evict, (), (override));
    MOCK_METHOD(void, leaseBecameLarge, (), (override));
};

using Owner = ::testing::NiceMock<MockOwner>;

/** A request that is being received. */
struct Request {
    explicit Request(std::shared_ptr<RequestMemory> memory)
        : lease(std::move(memory), owner)
    {
    }

    /** Receives @p bytes more. */
    bool receive(std::size_t bytes)
    {
        received += bytes;
        lease.recordProgress(received);
        return lease.grow(bytes);
    }

    Owner owner;
    MemoryLease lease;
    std::size_t received = 0;
};

class RequestMemoryTest : public ::testing::Test
{
public:
    Request &begin(std::size_t bytes)
    {
        Request &request = requests.emplace_back(memory);
        granted = request.receive(bytes);
        return request;
    }

    std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(kLimits);
    std::deque<Request> requests;
    bool granted = false;
};

} // namespace

TEST_F(RequestMemoryTest, LeaseReturnsItsMemoryAtItsEnd)
{
    {
        Request small(memory);
        Request large(memory);
        EXPECT_TRUE(small.receive(1000));
        EXPECT_TRUE(large.receive(kMegabyte));
        large.lease.shrink(kKilobyte);
        EXPECT_EQ(memory->used(Share::SmallRequests), 1000U);
        EXPECT_EQ(memory->used(Share::LargeRequests), kMegabyte - kKilobyte);
    }
    EXPECT_EQ(memory->used(Share::SmallRequests), 0U);
    EXPECT_EQ(memory->used(Share::LargeRequests), 0U);
}

TEST_F(RequestMemoryTest, GrowingRequestMovesToTheLargeShare)
{
    Request &request = begin(RequestMemory::kSmallBytes);
    EXPECT_EQ(request.lease.share(), Share::SmallRequests);
    EXPECT_CALL(request.owner, leaseBecameLarge());
    EXPECT_TRUE(request.receive(1));
    EXPECT_EQ(request.lease.share(), Share::LargeRequests);
    EXPECT_EQ(memory->used(Share::SmallRequests), 0U);
    EXPECT_EQ(memory->used(Share::LargeRequests), RequestMemory::kSmallBytes + 1);
}

TEST_F(RequestMemoryTest, SenderWithoutProgressIsEvictedFirst)
{
    Request &stopped = begin(2 * kMegabyte);
    Request &slow = begin(kMegabyte);
    EXPECT_TRUE(slow.receive(RequestMemory::kProgressBytes));
    EXPECT_CALL(stopped.owner, evict());
    EXPECT_CALL(slow.owner, evict()).Times(0);
    begin(2 * kMegabyte);
    EXPECT_TRUE(granted);
    EXPECT_TRUE(stopped.lease.evicted());
    EXPECT_FALSE(stopped.receive(1)) << "an evicted request gets nothing more";
    EXPECT_EQ(memory->evictions(), 1U);
}

// A caller that sends a byte now and then makes no progress, so it can't hold its memory that way.
TEST_F(RequestMemoryTest, TrickleIsNoProgress)
{
    Request &trickle = begin(kMegabyte);
    Request &other = begin(2 * kMegabyte);
    for (unsigned i = 0; i < 100; ++i) {
        trickle.lease.recordProgress(++trickle.received);
    }
    EXPECT_CALL(trickle.owner, evict());
    EXPECT_CALL(other.owner, evict()).Times(0);
    begin(2 * kMegabyte);
    EXPECT_TRUE(granted);
}

TEST_F(RequestMemoryTest, RequesterWithoutProgressGetsNoRoomAtTheCostOfOthers)
{
    Request &stopped = begin(kMegabyte);
    begin(3 * kMegabyte - RequestMemory::kProgressBytes);
    EXPECT_FALSE(stopped.lease.grow(kMegabyte));
    EXPECT_EQ(memory->evictions(), 0U);
    EXPECT_EQ(stopped.lease.bytes(), kMegabyte);
}

TEST_F(RequestMemoryTest, CompleteRequestsAreNotEvicted)
{
    Request &complete = begin(3 * kMegabyte);
    complete.lease.markComplete();
    EXPECT_CALL(complete.owner, evict()).Times(0);
    begin(2 * kMegabyte);
    EXPECT_FALSE(granted);
    begin(1000);
    EXPECT_TRUE(granted) << "small requests have a share of their own";
}

TEST_F(RequestMemoryTest, LargeRequestsAndAnswersKeepNoSmallOneOut)
{
    for (unsigned i = 0; i < 100; ++i) {
        begin(kMegabyte);
    }
    std::vector<std::unique_ptr<MemoryLease>> answers;
    for (unsigned i = 0; i < 100; ++i) {
        answers.push_back(std::make_unique<MemoryLease>(memory));
        EXPECT_EQ(answers.back()->grow(100 * kKilobyte), i < 10) << i;
    }
    Request &small = begin(4000);
    EXPECT_TRUE(granted);
    EXPECT_FALSE(small.lease.evicted());
}

// Most small senders stop just short of their end and stay; an ordinary one still finds room, however many there are.
TEST_F(RequestMemoryTest, CrowdOfStoppedSmallSendersKeepsNoOrdinaryOneOut)
{
    for (unsigned i = 0; i < 1000; ++i) {
        begin(60 * kKilobyte);
        EXPECT_TRUE(granted) << i;
        Request ordinary(memory);
        EXPECT_TRUE(ordinary.receive(4000)) << i;
        EXPECT_TRUE(ordinary.receive(4000)) << i;
        EXPECT_LE(memory->used(Share::SmallRequests), kLimits.smallRequests);
    }
}

// As many senders as there are connections send at the same time, each as fast as the others.
TEST_F(RequestMemoryTest, SomeOfManyEquallyFastSendersFinish)
{
    for (unsigned i = 0; i < 200; ++i) {
        begin(kLargeBytes);
    }
    for (std::size_t sent = kLargeBytes; sent < kMegabyte; sent += RequestMemory::kProgressBytes) {
        for (Request &request : requests) {
            request.receive(RequestMemory::kProgressBytes);
            EXPECT_LE(memory->used(Share::LargeRequests), kLimits.largeRequests);
        }
    }
    std::size_t finished = 0;
    for (const Request &request : requests) {
        finished += request.lease.evicted() ? 0 : 1;
    }
    EXPECT_GE(finished, 3U);
}

// A coroutine that holds a lease is destroyed with the I/O context, after the server and its state.
TEST_F(RequestMemoryTest, LeaseMayOutliveItsServer)
{
    Request request(memory);
    EXPECT_TRUE(request.receive(1000));
    memory.reset();
    EXPECT_TRUE(request.receive(1000));
}

TEST_F(RequestMemoryTest, LargerThanTheShareIsRefusedWithoutEvictions)
{
    begin(kMegabyte);
    begin(5 * kMegabyte);
    EXPECT_FALSE(granted);
    EXPECT_EQ(memory->evictions(), 0U);
}

TEST_F(RequestMemoryTest, LowerLimitsApplyToWhatIsTakenFromThenOn)
{
    Request &stopped = begin(kMegabyte);
    EXPECT_CALL(stopped.owner, evict());
    memory->setLimits({.smallRequests = kMegabyte, .largeRequests = kMegabyte, .answers = 0});
    begin(kLargeBytes);
    EXPECT_TRUE(granted);
    MemoryLease answer(memory);
    EXPECT_FALSE(answer.grow(1));
}

TEST_F(RequestMemoryTest, TextTakesWhatItsCapacityGrowsBy)
{
    Request request(memory);
    std::string text;
    for (std::size_t size = 1000; size <= 100'000; size += 1000) {
        ASSERT_TRUE(reserveLeased(text, size, 100'000, request.lease));
        text.resize(size, 'x');
        EXPECT_GE(request.lease.bytes() + std::string().capacity(), text.capacity());
    }
    EXPECT_EQ(text.capacity(), 100'000U) << "not above the announced length";
}

/** The sum of all that callers can make the process and the kernel hold leaves the process a fifth of its machine. */
TEST(MemoryPlan, SumStaysWithinEachMachine)
{
    struct Machine {
        std::size_t megabytes;
        std::size_t openFiles;
    };
    for (const Machine machine : {Machine{64, 4096}, Machine{64, 512}, Machine{64, 1200}, Machine{160, 4100}, Machine{260, 4100}, Machine{512, 8192}}) {
        const MemoryPlan plan = planMemory(machine.megabytes * kMegabyte, machine.openFiles);
        EXPECT_LE(plan.callerBytes(), machine.megabytes * kMegabyte / 5 * 4) << machine.megabytes;
        EXPECT_GT(plan.callerConnections, 100U);
    }
}

TEST(MemoryPlan, MemoryDoesNotLimitConnectionsOfTheSmallestMachine)
{
    EXPECT_EQ(planMemory(160 * kMegabyte, 4100).callerConnections, 2050U);
}

TEST(MemoryPlan, OneRequestOfTheLargestConfiguredSizeFindsRoomOnTheSmallestMachine)
{
    const MemoryPlan plan = planMemory(160 * kMegabyte, 4100);
    Request request(std::make_shared<RequestMemory>(plan.requests));
    EXPECT_TRUE(request.receive(4 * kMegabyte + MemoryPlan::socketBytes(MemoryPlan::kLargeSocketBufferBytes) + kMegabyte));
}

} // namespace fulmarlink::testing
