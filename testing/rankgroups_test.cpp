// Which groups runners form, from whatever they say of themselves.

#include "fulmarlink/rankgroups.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

#include "fulmarlink/resultcode.h"

namespace fulmarlink::testing
{

namespace
{

RankReportRead rank(const std::string &group, unsigned place, unsigned size, std::uint64_t epoch = 3)
{
    RankReportRead read;
    read.report.group = group;
    read.report.rank = place;
    read.report.size = size;
    read.report.epoch = epoch;
    return read;
}

RankReportRead failed()
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

TEST(RankGroups, GroupsOfDifferentSizeAreToldApartWhateverTheOrder)
{
    std::vector<RankReportRead> reports;
    for (unsigned i = 0; i < 8; ++i) {
        reports.push_back(rank("x", i, 8, 4));
    }
    for (unsigned i = 0; i < 3; ++i) {
        reports.push_back(rank("y", i, 3, 9));
    }
    reports.push_back(rank("", 0, 0)); // in no group
    reports.push_back(failed());
    std::mt19937 random(5);
    for (unsigned play = 0; play < 50; ++play) {
        std::ranges::shuffle(reports, random);
        const auto groups = formGroups(reports);
        ASSERT_EQ(groups.size(), 2U);
        EXPECT_TRUE(groups[0].isComplete());
        EXPECT_TRUE(groups[1].isComplete());
        EXPECT_EQ(groups[0].epoch, 4U);
        EXPECT_EQ(groups[1].size, 3U);
        for (unsigned place = 0; place < 8; ++place) {
            EXPECT_EQ(reports[groups[0].members[place]].report.rank, place);
        }
    }
}

TEST(RankGroups, AViewThatIsIncompleteOrContradictsItselfIsNoWholeGroup)
{
    EXPECT_EQ(defectOf({rank("g", 0, 2), rank("g", 1, 2)}), GroupDefect::None);
    EXPECT_EQ(defectOf({rank("g", 0, 2)}), GroupDefect::RankMissing);
    EXPECT_EQ(defectOf({rank("g", 1, 2), rank("g", 2, 2)}), GroupDefect::RankMissing);
    EXPECT_EQ(defectOf({rank("g", 0, 2), rank("g", 0, 2), rank("g", 1, 2)}), GroupDefect::RankDuplicated);
    EXPECT_EQ(defectOf({rank("g", 0, 2), rank("g", 1, 3), rank("g", 2, 3)}), GroupDefect::SizeUnknown);
    EXPECT_EQ(defectOf({rank("g", 0, 0), rank("g", 1, 0)}), GroupDefect::SizeUnknown);
    EXPECT_EQ(defectOf({rank("g", 0, 2, 3), rank("g", 1, 2, 4)}), GroupDefect::EpochsDiffer);
    EXPECT_EQ(defectOf({rank("g", 0, 4'000'000'000U)}), GroupDefect::SizeUnknown);
    EXPECT_EQ(formGroups(std::vector<RankReportRead>{failed(), failed()}).size(), 0U);
    EXPECT_EQ(formGroups({}).size(), 0U);
}

TEST(RankGroups, ARankThatMovesLeavesOneGroupShortAndMakesTheOtherWhole)
{
    std::vector<RankReportRead> reports{rank("x", 0, 2), rank("x", 1, 2), rank("y", 0, 2)};
    EXPECT_TRUE(findGroup(formGroups(reports), "x")->isComplete());
    EXPECT_FALSE(findGroup(formGroups(reports), "y")->isComplete());
    reports[1] = rank("y", 1, 2);
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
