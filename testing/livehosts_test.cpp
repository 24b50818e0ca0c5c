#include "fulmarlink/livehosts.h"

#include <gtest/gtest.h>

namespace fulmarlink::testing
{

namespace
{

using Names = std::vector<std::string>;

} // namespace

TEST(LiveHosts, WhoRenewsItsRecordLivesAndWhoDoesNotIsGoneAfterAFewReadings)
{
    LiveHosts hosts;
    for (std::uint64_t reading = 1; reading <= LiveHosts::kUnchangedReadsUntilGone; ++reading) {
        hosts.recordRead({{"a", 10 + reading}, {"b", 7}});
        EXPECT_EQ(hosts.hosts(), Names({"a", "b"})) << reading;
    }
    hosts.recordRead({{"a", 20}, {"b", 7}});
    EXPECT_EQ(hosts.hosts(), Names({"a"}));
    hosts.recordRead({{"a", 21}, {"b", 22}});
    EXPECT_EQ(hosts.hosts(), Names({"a", "b"})) << "it is back";
}

TEST(LiveHosts, NobodyIsGoneBecauseTheStoreWasAway)
{
    LiveHosts hosts;
    for (unsigned outage = 0; outage < 10; ++outage) {
        for (unsigned reading = 1; reading < LiveHosts::kUnchangedReadsUntilGone; ++reading) {
            hosts.recordRead({{"a", 1}});
        }
        hosts.recordFailedRead();
    }
    EXPECT_EQ(hosts.hosts(), Names({"a"}));
}

TEST(LiveHosts, AnOutageBringsNobodyBackWhoWasGoneBefore)
{
    LiveHosts hosts;
    for (unsigned reading = 0; reading <= LiveHosts::kUnchangedReadsUntilGone; ++reading) {
        hosts.recordRead({{"a", 100 + reading}, {"b", 1}});
    }
    hosts.recordFailedRead();
    hosts.recordRead({{"a", 200}, {"b", 1}});
    EXPECT_EQ(hosts.hosts(), Names({"a"}));
}

TEST(LiveHosts, ReadingsInBetweenFindNewHostsAndMissNone)
{
    LiveHosts hosts;
    hosts.recordRead({{"a", 1}});
    for (unsigned reading = 0; reading < 3 * LiveHosts::kUnchangedReadsUntilGone; ++reading) {
        hosts.recordIntermediateRead({{"a", 1}, {"b", 2}});
    }
    EXPECT_EQ(hosts.hosts(), Names({"a", "b"}));
}

TEST(LiveHosts, AHostOfAVersionThatWritesOnceCountsAsLiving)
{
    LiveHosts hosts;
    for (std::uint64_t reading = 0; reading < 3 * LiveHosts::kUnchangedReadsUntilGone; ++reading) {
        hosts.recordRead({{"a", 100 + reading}, {"b", 1, false}});
    }
    EXPECT_EQ(hosts.hosts(), Names({"a", "b"}));
}

TEST(LiveHosts, ARecordThatWasRemovedIsNoHost)
{
    LiveHosts hosts;
    hosts.recordRead({{"a", 1}, {"b", 2}});
    hosts.recordRead({{"a", 3}});
    EXPECT_EQ(hosts.hosts(), Names({"a"}));
}

} // namespace fulmarlink::testing
