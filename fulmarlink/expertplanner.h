#pragma once

#include <span>
#include <vector>

#include "fulmarlink/rankorders.h"

namespace fulmarlink
{

struct ExpertPlanOptions {
    unsigned maxExpertsPerRank = 0; ///< experts that a rank may hold of a set
    unsigned maxNewPerSet = 0; ///< experts new to a rank, of a set
    unsigned maxNewPerRank = 8; ///< experts new to a rank, over all sets: they are copied one after the other, and the switch waits for the slowest rank
    /** A change must take away this share of the busiest rank's excess over the mean; smaller ones cost more copying than they save. */
    double minGain = 0.04;
    unsigned maxChanges = 768; ///< bounds the search
    /**
     * Where a rank is slow every expert counts at least as this share of the set's mean expert: what is cold now may be hot after the next turn, and
     * then the whole group would wait for the slow rank again. On days with a slow rank 0.025 to 0.09 of worth on three sites, by 8 plays each.
     */
    double minShareIfSlow = 0.5;
    std::vector<double> slowdowns = {}; ///< by rank, how many times longer its work takes than it should; empty: 1 each
};

/** What a plan changes. */
struct ExpertPlan {
    GroupMap map;
    double imbalanceBefore = 1; ///< busiest rank over mean, averaged over the sets, of the current map
    double imbalanceAfter = 1; ///< of the planned one
    unsigned copies = 0; ///< experts that ranks must copy
    unsigned maxRankCopies = 0; ///< of one rank, over all sets; they are copied one after the other
};

/** Busiest rank over mean rank of one set; 1 is perfect. @p slowdowns as in the options: the busiest is the one that takes longest. */
double setImbalance(const std::vector<std::vector<ExpertId>> &ranks, const std::vector<double> &load, std::span<const double> slowdowns = {});

/**
 * Improves the map of a group for the given loads (by set, by expert).
 *
 * Step by step, in the set whose busiest rank has most above the mean, that rank is
 * relieved by the change that lowers the sum of the squared rank loads most: a further
 * replica elsewhere (in a free place, or in that of an expert that is held twice), or an
 * exchange with an expert of a less loaded rank, or by leaving an expert to its other
 * holders. A rank's load counts as many times as its pace, so a slow rank is emptied. It ends when no change is worth its
 * copying, or when every rank has taken as many new experts as one switch allows.
 *
 * How to use: improve() until it gives false, with other work in between if a plan for a
 * large group (some ten milliseconds of a core) must not hold it up; then plan().
 *
 * Contract: every expert stays on at least one rank; no rank holds an expert twice, more
 * than @p maxExpertsPerRank, or more new ones than the options allow. Pure.
 * O(maxExpertsPerRank^2 x ranks) a change.
 */
class ExpertPlanner
{
public:
    ExpertPlanner(GroupMap current, std::vector<std::vector<double>> load, ExpertPlanOptions options);
    ~ExpertPlanner();
    ExpertPlanner(const ExpertPlanner &) = delete;
    ExpertPlanner &operator=(const ExpertPlanner &) = delete;

    /** Makes up to @p changes changes; false when none is left. */
    bool improve(unsigned changes);
    ExpertPlan plan() const;

private:
    class SetSearch;

    const GroupMap m_current;
    const std::vector<std::vector<double>> m_planLoad; ///< as planned for, see minShareIfSlow
    const std::vector<std::vector<double>> m_observedLoad; ///< as given
    const ExpertPlanOptions m_options;
    std::vector<unsigned> m_copies; ///< new experts of each rank over all sets
    std::vector<SetSearch> m_searches;
    unsigned m_changes = 0;
};

/** A whole plan in one call. */
ExpertPlan planExperts(const GroupMap &current, const std::vector<std::vector<double>> &load, const ExpertPlanOptions &options);

} // namespace fulmarlink
