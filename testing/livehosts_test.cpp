#include "fulmarlink/livehosts.h"

#include <gtest/gtest.h>

namespace fulmarlink::testing
{

namespace
{

using Names = std::vector<std::string>;

} // namespace

TEST(LiveHosts, AHostThatStopsRenewingItsRecordIsGoneAfterTheLimitOfUnchangedReads)
{
    LiveHosts hosts;
    for (std::uint64_t round = 1; round <= LiveHosts::kUnchangedReadsUntilGone; ++round) {
        hosts.recordRead({{"a", 10 + round}, {"b", 7}});
        EXPECT_EQ(hosts.hosts(), Names({"a", "b"})) << round;
    }
    hosts.recordRead({{"a", 20}, {"b", 7}});
    EXPECT_EQ(hosts.hosts(), Names({"a"}));
    hosts.recordRead({{"a", 21}, {"b", 22}});
    EXPECT_EQ(hosts.hosts(), Names({"a", "b"})) << "b renewed its record again";
}

TEST(LiveHosts, StoreOutagesDoNotRemoveHosts)
{
    LiveHosts hosts;
    for (unsigned outage = 0; outage < 10; ++outage) {
        for (unsigned round = 1; round < LiveHosts::kUnchangedReadsUntilGone; ++round) {
            hosts.recordRead({{"a", 1}});
        }
        hosts.recordFailedRead();
    }
    EXPECT_EQ(hosts.hosts(), Names({"a"}));
}

TEST(LiveHosts, AnOutageDoesNotRestoreAHostThatWasGoneBefore)
{
    LiveHosts hosts;
    for (unsigned round = 0; round <= LiveHosts::kUnchangedReadsUntilGone; ++round) {
        hosts.recordRead({{"a", 100 + round}, {"b", 1}});
    }
    hosts.recordFailedRead();
    hosts.recordRead({{"a", 200}, {"b", 1}});
    EXPECT_EQ(hosts.hosts(), Names({"a"}));
}

TEST(LiveHosts, IntermediateReadsAddNewHostsAndRemoveNone)
{
    LiveHosts hosts;
    hosts.recordRead({{"a", 1}});
    for (unsigned round = 0; round < 3 * LiveHosts::kUnchangedReadsUntilGone; ++round) {
        hosts.recordIntermediateRead({{"a", 1}, {"b", 2}});
    }
    EXPECT_EQ(hosts.hosts(), Names({"a", "b"}));
}

TEST(LiveHosts, AHostWhoseVersionWritesItsRecordOnceStaysAlive)
{
    LiveHosts hosts;
    for (std::uint64_t round = 0; round < 3 * LiveHosts::kUnchangedReadsUntilGone; ++round) {
        hosts.recordRead({{"a", 100 + round}, {"b", 1, false}});
    }
    EXPECT_EQ(hosts.hosts(), Names({"a", "b"}));
}

TEST(LiveHosts, AHostWhoseRecordWasRemovedIsGone)
{
    LiveHosts hosts;
    hosts.recordRead({{"a", 1}, {"b", 2}});
    hosts.recordRead({{"a", 3}});
    EXPECT_EQ(hosts.hosts(), Names({"a"}));
}

} // namespace fulmarlink::testing
