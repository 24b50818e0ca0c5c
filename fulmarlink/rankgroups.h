#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarlink/rankorders.h"

namespace fulmarlink
{

/** Why a set of reports doesn't describe a complete group. */
enum class GroupDefect : std::uint8_t {
    None,
    SizeUnknown, ///< no member reports a plausible group size, or members disagree on it
    RankMissing, ///< a rank of the newest epoch is not reported
    RankDuplicated, ///< two runners report the same rank of the newest epoch
    EpochsDiffer, ///< a member still reports an earlier epoch
};

std::string_view groupDefectName(GroupDefect defect);

/** A rank group as described by the reports of its members. */
struct RankGroup {
    std::string name;
    std::uint64_t epoch = 0; ///< the newest that any member reports
    unsigned size = 0; ///< number of ranks of the complete group
    std::vector<unsigned> members; ///< indices of its reports, by rank, then in input order
    GroupDefect defect = GroupDefect::None;

    bool isComplete() const;
};

/**
 * Forms rank groups from what each runner reports: the name, epoch and size of its group, and
 * its rank. Neither the order of the reports nor any pattern in the names matters. Failed
 * reports and runners without a group are left out.
 *
 * A group is complete if every rank of its newest epoch is reported exactly once and all members
 * report the same size; orders may be sent only to a complete group. The members of an incomplete
 * group still show which runners fail or stall together.
 *
 * Sorted by name. Pure function; O(n log n) in the number of reports.
 */
std::vector<RankGroup> formGroups(std::span<const RankReportRead> reports);

/** Returns null if there is no group with that name. */
const RankGroup *findGroup(std::span<const RankGroup> groups, std::string_view name);

} // namespace fulmarlink
