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
 * Derives the current expert load from the cumulative counts of the ranks: the differences between consecutive reads of a rank,
 * summed over the ranks read. Only reads of the same rank start and the same epoch are compared.
 *
 * Contract: pure; not thread-safe.
 */
class ExpertLoad
{
public:
    /** Adds a read of @p target. If its epoch, start time or number of sets changed since the previous read, it only sets a new baseline. */
    void add(const std::string &target, const ExpertCountsRead &read);
    /** Returns and resets the accumulated choices, by set and expert; empty until one rank has been read twice. */
    std::vector<std::vector<double>> take();
    /** Number of choices accumulated since the last take(). */
    double pendingChoices() const;
    void clear();

private:
    std::map<std::string, ExpertCountsRead> m_last;
    std::vector<std::vector<double>> m_difference;
    double m_pendingChoices = 0;
};

} // namespace fulmarlink
