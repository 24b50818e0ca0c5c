#include "fulmarlink/expertload.h"

#include <utility>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

void ExpertLoad::add(const std::string &target, const ExpertCountsRead &read)
{
    const auto [it, first] = m_last.try_emplace(target, read);
    const ExpertCountsRead previous = std::exchange(it->second, read);
    if (first || previous.epoch != read.epoch || (previous.born != read.born && !mutated(Mutation::MixStarts))
        || previous.counts.size() != read.counts.size()) {
        return;
    }
    m_difference.resize(read.counts.size());
    for (std::size_t set = 0; set < read.counts.size(); ++set) {
        const auto &currentCounts = read.counts[set];
        const auto &previousCounts = previous.counts[set];
        m_difference[set].resize(currentCounts.size(), 0);
        for (std::size_t expert = 0; expert < currentCounts.size() && expert < previousCounts.size(); ++expert) {
            // A counter that went backwards started again at 0.
            const double chosen = currentCounts[expert] >= previousCounts[expert] ? static_cast<double>(currentCounts[expert] - previousCounts[expert])
                                                                                  : static_cast<double>(currentCounts[expert]);
            m_difference[set][expert] += chosen;
            m_pendingChoices += chosen;
        }
    }
}

std::vector<std::vector<double>> ExpertLoad::take()
{
    m_pendingChoices = 0;
    return std::exchange(m_difference, {});
}

double ExpertLoad::pendingChoices() const
{
    return m_pendingChoices;
}

void ExpertLoad::clear()
{
    m_last.clear();
    m_difference.clear();
    m_pendingChoices = 0;
}

} // namespace fulmarlink
