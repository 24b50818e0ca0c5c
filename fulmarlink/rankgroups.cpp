#include "fulmarlink/rankgroups.h"

#include <algorithm>
#include <map>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr unsigned kMaxRanks = 4096; ///< larger sizes are rejected, so that a wrong report can't cause a long loop

GroupDefect defectOf(const RankGroup &group, std::span<const RankReportRead> reports)
{
    if (group.size == 0 || group.size > kMaxRanks) {
        return GroupDefect::SizeUnknown;
    }
    unsigned expected = 0;
    for (const unsigned index : group.members) {
        const RankReport &report = reports[index].report;
        if (report.epoch != group.epoch && !mutated(Mutation::ForgetMovedRank)) {
            return GroupDefect::EpochsDiffer;
        }
        if (report.size != group.size) {
            return GroupDefect::SizeUnknown;
        }
        if (report.rank < expected) {
            return GroupDefect::RankDuplicated;
        }
        if (report.rank > expected) {
            return GroupDefect::RankMissing;
        }
        ++expected;
    }
    return expected == group.size ? GroupDefect::None : GroupDefect::RankMissing;
}

} // namespace

std::string_view groupDefectName(GroupDefect defect)
{
    switch (defect) {
    case GroupDefect::None:
        return "none";
    case GroupDefect::SizeUnknown:
        return "size-unknown";
    case GroupDefect::RankMissing:
        return "rank-missing";
    case GroupDefect::RankDuplicated:
        return "rank-twice";
    case GroupDefect::EpochsDiffer:
        return "epochs-differ";
    }
    return "";
}

bool RankGroup::isComplete() const
{
    return defect == GroupDefect::None;
}

std::vector<RankGroup> formGroups(std::span<const RankReportRead> reports)
{
    std::map<std::string, RankGroup> byName;
    for (unsigned index = 0; index < reports.size(); ++index) {
        const RankReport &report = reports[index].report;
        if (reports[index].error || report.group.empty()) {
            continue;
        }
        RankGroup &group = byName[report.group];
        group.name = report.group;
        group.epoch = std::max(group.epoch, report.epoch);
        group.members.push_back(index);
    }
    std::vector<RankGroup> groups;
    for (auto &[name, group] : byName) {
        for (const unsigned index : group.members) {
            const RankReport &report = reports[index].report;
            group.size = report.epoch == group.epoch ? std::max(group.size, report.size) : group.size;
        }
        std::ranges::stable_sort(group.members, {}, [&](unsigned index) {
            return reports[index].report.rank;
        });
        group.defect = defectOf(group, reports);
        groups.push_back(std::move(group));
    }
    return groups;
}

const RankGroup *findGroup(std::span<const RankGroup> groups, std::string_view name)
{
    const auto it = std::ranges::find(groups, name, &RankGroup::name);
    return it == groups.end() ? nullptr : &*it;
}

} // namespace fulmarlink
