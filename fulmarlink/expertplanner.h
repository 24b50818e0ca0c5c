#pragma once

#include <span>
#include <vector>

#include "fulmarlink/rankorders.h"

namespace fulmarlink
{

struct ExpertPlanOptions {
    unsigned maxExpertsPerRank = 0; ///< experts of one set that a rank may hold
    unsigned maxNewPerSet = 0; ///< experts of one set that a rank may copy in one switch
    unsigned maxNewPerRank = 8; ///< experts of all sets that a rank may copy; copies are sequential and the switch waits for the slowest rank
    /**
     * Minimum reduction of the busiest rank's load by a change, as a share of that rank's excess over the mean, or of the mean if that is larger.
     * Smaller changes cost more copying than they save.
     */
    double minGain = 0.04;
    unsigned maxChanges = 768; ///< bounds the search
    /**
     * If a rank is slow, the load of every expert counts as at least this share of the mean expert load of its set. An expert that is cold now may be
     * hot after the next demand shift, and the whole group would then wait for the slow rank again.
     * Has no effect while no rank is slow.
     */
    double minShareIfSlow = 0.5;
    std::vector<double> slowdowns = {}; ///< by rank, ratio of the actual to the expected processing time; empty: 1 for all
};

/** A planned map, and its effect and cost. */
struct ExpertPlan {
    GroupMap map;
    double imbalanceBefore = 1; ///< of the current map: ratio of the busiest rank to the mean, averaged over the sets
    double imbalanceAfter = 1; ///< of the planned map
    unsigned copies = 0; ///< experts to copy, over all ranks
    unsigned maxRankCopies = 0; ///< highest number of copies of one rank, over all sets; they are made sequentially
};

/**
 * Ratio of the busiest rank's load to the mean in one set; 1 is perfect balance. The load of a rank is multiplied by its entry in
 * @p slowdowns (as in ExpertPlanOptions) for the busiest rank, not for the mean.
 */
double setImbalance(const std::vector<std::vector<ExpertId>> &ranks, const std::vector<double> &load, std::span<const double> slowdowns = {});

/**
 * Greedy local search for a better expert map of a group under the given loads (by set and expert).
 *
 * Each step takes the set whose busiest rank is furthest above the mean and applies to that rank the change that lowers the sum of
 * squared rank loads most. A change adds a replica of one of its experts on another rank (in free space, or in place of an expert
 * that has other replicas), exchanges an expert with a less loaded rank, or removes a replica. The load of a rank is multiplied by
 * its slowdown, so that experts move away from slow ranks. The search ends when no change is worth its copies or the limits of the
 * options allow none.
 *
 * Usage: call improve() until it returns false, then plan(). Planning for a large group takes some ten milliseconds of CPU time;
 * other work can run between the calls.
 *
 * Contract: every expert stays on at least one rank. No rank holds an expert twice, or more experts or more new experts than the
 * options allow. Pure. O(maxExpertsPerRank^2 * ranks) per change.
 */
class ExpertPlanner
{
public:
    ExpertPlanner(GroupMap current, std::vector<std::vector<double>> load, ExpertPlanOptions options);
    ~ExpertPlanner();
    ExpertPlanner(const ExpertPlanner &) = delete;
    ExpertPlanner &operator=(const ExpertPlanner &) = delete;

    /** Applies up to @p changes changes; returns false when the search has ended. */
    bool improve(unsigned changes);
    ExpertPlan plan() const;

private:
    class SetSearch;

    const GroupMap m_current;
    const std::vector<std::vector<double>> m_planLoad; ///< with minShareIfSlow applied; the search uses it
    const std::vector<std::vector<double>> m_observedLoad; ///< as given; the reported imbalances use it
    const ExpertPlanOptions m_options;
    std::vector<unsigned> m_copies; ///< new experts of each rank, over all sets
    std::vector<SetSearch> m_searches;
    unsigned m_changes = 0;
};

/** Runs a complete search. */
ExpertPlan planExperts(const GroupMap &current, const std::vector<std::vector<double>> &load, const ExpertPlanOptions &options);

} // namespace fulmarlink
