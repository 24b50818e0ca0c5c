// Forming rank groups from the reports of runners, including incomplete and contradictory ones.

#include "fulmarlink/rankgroups.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

#include "fulmarlink/resultcode.h"

namespace fulmarlink::testing
{

namespace
{

RankReportRead rankRead(const std::string &group, unsigned rank, unsigned size, std::uint64_t epoch = 3)
{
    RankReportRead read;
    read.report.group = group;
    read.report.rank = rank;
    read.report.size = size;
    read.report.epoch = epoch;
    return read;
}

RankReportRead failedRead()
{
    RankReportRead read;
    read.error = ResultCode::StoreUnavailable;
    return read;
}

GroupDefect defectOf(const std::vector<RankReportRead> &reports)
{
    return formGroups(reports).front().defect;
}

} // namespace

TEST(RankGroups, GroupsAreFormedRegardlessOfTheOrderOfReports)
{
    std::vector<RankReportRead> reports;
    for (unsigned i = 0; i < 8; ++i) {
        reports.push_back(rankRead("x", i, 8, 4));
    }
    for (unsigned i = 0; i < 3; ++i) {
        reports.push_back(rankRead("y", i, 3, 9));
    }
    reports.push_back(rankRead("", 0, 0)); // in no group
    reports.push_back(failedRead());
    std::mt19937 random(5);
    for (unsigned round = 0; round < 50; ++round) {
        std::ranges::shuffle(reports, random);
        const auto groups = formGroups(reports);
        ASSERT_EQ(groups.size(), 2U);
        EXPECT_TRUE(groups[0].isComplete());
        EXPECT_TRUE(groups[1].isComplete());
        EXPECT_EQ(groups[0].epoch, 4U);
        EXPECT_EQ(groups[1].size, 3U);
        for (unsigned index = 0; index < 8; ++index) {
            EXPECT_EQ(reports[groups[0].members[index]].report.rank, index);
        }
    }
}

TEST(RankGroups, IncompleteOrContradictoryReportsAreADefect)
{
    EXPECT_EQ(defectOf({rankRead("g", 0, 2), rankRead("g", 1, 2)}), GroupDefect::None);
    EXPECT_EQ(defectOf({rankRead("g", 0, 2)}), GroupDefect::RankMissing);
    EXPECT_EQ(defectOf({rankRead("g", 1, 2), rankRead("g", 2, 2)}), GroupDefect::RankMissing);
    EXPECT_EQ(defectOf({rankRead("g", 0, 2), rankRead("g", 0, 2), rankRead("g", 1, 2)}), GroupDefect::RankDuplicated);
    EXPECT_EQ(defectOf({rankRead("g", 0, 2), rankRead("g", 1, 3), rankRead("g", 2, 3)}), GroupDefect::SizeUnknown);
    EXPECT_EQ(defectOf({rankRead("g", 0, 0), rankRead("g", 1, 0)}), GroupDefect::SizeUnknown);
    EXPECT_EQ(defectOf({rankRead("g", 0, 2, 3), rankRead("g", 1, 2, 4)}), GroupDefect::EpochsDiffer);
    EXPECT_EQ(defectOf({rankRead("g", 0, 4'000'000'000U)}), GroupDefect::SizeUnknown);
    EXPECT_EQ(formGroups(std::vector<RankReportRead>{failedRead(), failedRead()}).size(), 0U);
    EXPECT_EQ(formGroups({}).size(), 0U);
}

TEST(RankGroups, RankThatChangesGroupsLeavesOneIncompleteAndCompletesTheOther)
{
    std::vector<RankReportRead> reports{rankRead("x", 0, 2), rankRead("x", 1, 2), rankRead("y", 0, 2)};
    EXPECT_TRUE(findGroup(formGroups(reports), "x")->isComplete());
    EXPECT_FALSE(findGroup(formGroups(reports), "y")->isComplete());
    reports[1] = rankRead("y", 1, 2);
    const auto groups = formGroups(reports);
    EXPECT_FALSE(findGroup(groups, "x")->isComplete());
    EXPECT_TRUE(findGroup(groups, "y")->isComplete());
    EXPECT_EQ(findGroup(groups, "z"), nullptr);
}

TEST(RankGroups, EachDefectHasAName)
{
    for (const GroupDefect defect :
         {GroupDefect::None, GroupDefect::SizeUnknown, GroupDefect::RankMissing, GroupDefect::RankDuplicated, GroupDefect::EpochsDiffer}) {
        EXPECT_NE(groupDefectName(defect), "");
    }
}

} // namespace fulmarlink::testing
