#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/rankorders.h"

namespace fulmarlink
{

/**
 * Turns the ranks' counts since their start into what is in demand now: the differences
 * between two reads of the same start of a rank in the same epoch, summed over the ranks read.
 *
 * Contract: pure; not thread-safe.
 */
class ExpertLoad
{
public:
    /** Counts of @p target; a read of another epoch or start begins anew. */
    void add(const std::string &target, const ExpertCountsRead &read);
    /** What was chosen between the last two reads, by set, by expert; empty before two reads of one rank. */
    std::vector<std::vector<double>> take();
    /** Choices in the differences gathered and not taken yet. */
    double pendingChoices() const;
    void clear();

private:
    std::map<std::string, ExpertCountsRead> m_last;
    std::vector<std::vector<double>> m_difference;
    double m_pendingChoices = 0;
};

} // namespace fulmarlink
