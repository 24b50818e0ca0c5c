#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarlink/rankorders.h"

namespace fulmarlink
{

/** Why the reports at hand don't show a whole group. */
enum class GroupDefect : std::uint8_t {
    None,
    SizeUnknown, ///< no member says how many ranks there are, or members disagree
    RankMissing, ///< nobody reports some rank of the newest epoch
    RankDuplicated, ///< two runners claim one rank of the newest epoch
    EpochsDiffer, ///< a member still reports an earlier epoch
};

std::string_view groupDefectName(GroupDefect defect);

/** One rank group as its members' reports show it. */
struct RankGroup {
    std::string name;
    std::uint64_t epoch = 0; ///< the newest that a member reports
    unsigned size = 0; ///< ranks that the group has when it is whole
    std::vector<unsigned> members; ///< indices of its reports, by rank, then as given
    GroupDefect defect = GroupDefect::None;

    bool isComplete() const;
};

/**
 * The groups that runners form, from what each says of itself: its group's name and epoch,
 * its rank and the group's size. Neither the order of the reports nor the names' pattern
 * counts. Reports that failed, and runners in no group, belong to none.
 *
 * A group is whole if every rank of its newest epoch is reported exactly once and by all
 * with one size; only a whole group may be given orders. Otherwise its members still say
 * which runners fail or stall together.
 *
 * Pure. O(reports x log reports). Sorted by name.
 */
std::vector<RankGroup> formGroups(std::span<const RankReportRead> reports);

/** Null if there is no group of that name. */
const RankGroup *findGroup(std::span<const RankGroup> groups, std::string_view name);

} // namespace fulmarlink
