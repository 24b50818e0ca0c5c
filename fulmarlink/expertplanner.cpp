#include "fulmarlink/expertplanner.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>
#include <utility>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

using RankExperts = std::vector<std::vector<ExpertId>>;

double slowdownOf(std::span<const double> slowdowns, std::size_t rank)
{
    return rank < slowdowns.size() && !mutated(Mutation::IgnorePace) ? slowdowns[rank] : 1;
}

bool contains(const std::vector<ExpertId> &list, ExpertId expert)
{
    return std::ranges::find(list, expert) != list.end();
}

} // namespace

/** Search state of one set of layers. Invariant: m_holders and m_loads agree with m_ranks. */
class ExpertPlanner::SetSearch
{
public:
    /** @p copies counts the new experts of each rank and is shared by all sets. */
    SetSearch(RankExperts ranks, const std::vector<double> &load, const ExpertPlanOptions &options, std::vector<unsigned> &copies)
        : m_initialRanks(ranks)
        , m_ranks(std::move(ranks))
        , m_loadRef(load)
        , m_optionsRef(options)
        , m_copiesRef(copies)
        , m_holders(load.size())
        , m_added(m_ranks.size(), 0)
        , m_delta(m_ranks.size(), 0)
    {
        for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
            for (const ExpertId expert : m_ranks[rank]) {
                m_holders[expert].push_back(rank);
            }
        }
        recompute();
        m_mean = std::accumulate(load.begin(), load.end(), 0.0) / static_cast<double>(m_loads.size());
    }

    /** Load of the busiest rank above the mean; 0 once no change is worth its copies. */
    double excess() const
    {
        return m_exhausted ? 0 : *std::ranges::max_element(m_loads) - m_mean;
    }

    /** Applies the best change for the busiest rank if it is worth its copies; otherwise the search of this set ends. */
    void improve()
    {
        const auto busiest = static_cast<std::size_t>(std::ranges::max_element(m_loads) - m_loads.begin());
        const auto change = best(busiest);
        const double minRelief = std::max(m_loads[busiest] - m_mean, m_mean) * m_optionsRef.get().minGain;
        m_exhausted = !change || change->relief < minRelief;
        if (!m_exhausted) {
            apply(busiest, *change);
        }
    }

    const RankExperts &ranks() const
    {
        return m_ranks;
    }

private:
    struct Change {
        ExpertId expert = 0; ///< on the busiest rank
        std::size_t other = 0; ///< rank that receives it
        std::optional<ExpertId> evicted = std::nullopt; ///< expert removed from the other rank
        bool exchange = false; ///< expert and evicted change places between the two ranks
        bool drop = false; ///< the replica on the busiest rank is removed; the remaining replicas take its load
        double squares = 0; ///< change of the sum of squared rank loads
        double relief = 0; ///< load taken off the busiest rank
    };

    double share(ExpertId expert) const
    {
        return m_loadRef.get()[expert] / static_cast<double>(std::max<std::size_t>(1, m_holders[expert].size()));
    }

    double slowdown(std::size_t rank) const
    {
        return slowdownOf(m_optionsRef.get().slowdowns, rank);
    }

    bool isNew(std::size_t rank, ExpertId expert) const
    {
        return !contains(m_initialRanks[rank], expert);
    }

    bool mayAdd(std::size_t rank, ExpertId expert) const
    {
        return !contains(m_ranks[rank], expert)
               && (!isNew(rank, expert) || (m_added[rank] < m_optionsRef.get().maxNewPerSet && m_copiesRef.get()[rank] < m_optionsRef.get().maxNewPerRank));
    }

    static double square(double value)
    {
        return value * value;
    }

    /** Evaluates a new replica of @p expert on @p other, in place of @p evicted if given, which must have other replicas. */
    Change replica(std::size_t busiest, ExpertId expert, std::size_t other, std::optional<ExpertId> evicted) const
    {
        const double now = share(expert);
        const double then = m_loadRef.get()[expert] / static_cast<double>(m_holders[expert].size() + 1);
        m_touched.clear();
        for (const std::size_t rank : m_holders[expert]) {
            shift(rank, then - now);
        }
        shift(other, then);
        if (evicted) {
            const double evictedNow = share(*evicted);
            const double evictedThen = m_loadRef.get()[*evicted] / static_cast<double>(m_holders[*evicted].size() - 1);
            for (const std::size_t rank : m_holders[*evicted]) {
                shift(rank, rank == other ? -evictedNow : evictedThen - evictedNow);
            }
        }
        return evaluate({.expert = expert, .other = other, .evicted = evicted}, busiest);
    }

    /** Evaluates the removal of the replica of @p expert on the busiest rank. */
    Change removal(std::size_t busiest, ExpertId expert) const
    {
        const double now = share(expert);
        const double then = m_loadRef.get()[expert] / static_cast<double>(m_holders[expert].size() - 1);
        m_touched.clear();
        for (const std::size_t rank : m_holders[expert]) {
            shift(rank, rank == busiest ? -now : then - now);
        }
        return evaluate({.expert = expert, .other = busiest, .drop = true}, busiest);
    }

    /** Adds @p amount, times the rank's slowdown, to the tentative load change of @p rank, which evaluate() applies to a change and resets. */
    void shift(std::size_t rank, double amount) const
    {
        if (m_delta[rank] == 0) {
            m_touched.push_back(rank);
        }
        m_delta[rank] += amount * slowdown(rank);
    }

    /** Fills in squares and relief of @p change from the tentative load changes, and resets these. */
    Change evaluate(Change change, std::size_t busiest) const
    {
        for (const std::size_t rank : m_touched) {
            change.squares += square(m_loads[rank] + m_delta[rank]) - square(m_loads[rank]);
            change.relief = rank == busiest ? -m_delta[rank] : change.relief;
            m_delta[rank] = 0;
        }
        return change;
    }

    /** Evaluates an exchange of @p expert for @p back on @p other; nothing if the busiest rank can't take @p back. */
    std::optional<Change> exchange(std::size_t busiest, ExpertId expert, std::size_t other, ExpertId back) const
    {
        if (contains(m_ranks[busiest], back) || !mayAdd(busiest, back)) {
            return std::nullopt;
        }
        const double moved = share(expert) - share(back);
        m_touched.clear();
        shift(busiest, -moved);
        shift(other, moved);
        return evaluate({.expert = expert, .other = other, .evicted = back, .exchange = true}, busiest);
    }

    void consider(std::optional<Change> change, std::optional<Change> &best) const
    {
        if (change && change->squares < 0 && change->relief > 0 && (!best || change->squares < best->squares)) {
            best = change;
        }
    }

    std::optional<Change> best(std::size_t busiest) const
    {
        std::optional<Change> best;
        for (const ExpertId expert : m_ranks[busiest]) {
            if (m_holders[expert].size() > 1) {
                consider(removal(busiest, expert), best);
            }
            for (std::size_t other = 0; other < m_ranks.size(); ++other) {
                if (other == busiest || m_loads[other] >= m_loads[busiest] || !mayAdd(other, expert)) {
                    continue;
                }
                if (m_ranks[other].size() < m_optionsRef.get().maxExpertsPerRank) {
                    consider(replica(busiest, expert, other, std::nullopt), best);
                }
                for (const ExpertId resident : m_ranks[other]) {
                    if (m_holders[resident].size() > 1 && m_ranks[other].size() >= m_optionsRef.get().maxExpertsPerRank) {
                        consider(replica(busiest, expert, other, resident), best);
                    }
                    consider(exchange(busiest, expert, other, resident), best);
                }
            }
        }
        return best;
    }

    void add(std::size_t rank, ExpertId expert)
    {
        m_added[rank] += isNew(rank, expert) ? 1 : 0;
        m_copiesRef.get()[rank] += isNew(rank, expert) ? 1 : 0;
        m_ranks[rank].push_back(expert);
        m_holders[expert].push_back(rank);
    }

    void remove(std::size_t rank, ExpertId expert)
    {
        m_added[rank] -= isNew(rank, expert) ? 1 : 0;
        m_copiesRef.get()[rank] -= isNew(rank, expert) ? 1 : 0;
        std::erase(m_ranks[rank], expert);
        std::erase(m_holders[expert], rank);
    }

    void apply(std::size_t busiest, const Change &change)
    {
        if (change.drop) {
            remove(busiest, change.expert);
            recompute();
            return;
        }
        if (change.evicted) {
            remove(change.other, *change.evicted);
        }
        add(change.other, change.expert);
        if (change.exchange) {
            remove(busiest, change.expert);
            add(busiest, *change.evicted);
        }
        recompute();
    }

    void recompute()
    {
        m_loads.assign(m_ranks.size(), 0);
        for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
            for (const ExpertId expert : m_ranks[rank]) {
                m_loads[rank] += share(expert) * slowdown(rank);
            }
        }
    }

    RankExperts m_initialRanks;
    RankExperts m_ranks;
    std::reference_wrapper<const std::vector<double>> m_loadRef;
    std::reference_wrapper<const ExpertPlanOptions> m_optionsRef;
    std::reference_wrapper<std::vector<unsigned>> m_copiesRef;
    std::vector<std::vector<std::size_t>> m_holders; ///< by expert, the ranks that hold it
    std::vector<unsigned> m_added; ///< by rank, experts of this set that are new to it
    std::vector<double> m_loads; ///< by rank, including its slowdown
    double m_mean = 0;
    bool m_exhausted = false;
    mutable std::vector<double> m_delta; ///< by rank, tentative load change; all 0 between calls; a member to avoid allocations
    mutable std::vector<std::size_t> m_touched; ///< ranks with an entry in m_delta
};

namespace
{

/** Applies minShareIfSlow to @p load. */
std::vector<std::vector<double>> withMinShare(std::vector<std::vector<double>> load, const ExpertPlanOptions &options)
{
    const bool anySlow = std::ranges::any_of(options.slowdowns, [](double slowdown) {
        return slowdown > 1;
    });
    if (!anySlow || mutated(Mutation::TrustColdExperts)) {
        return load;
    }
    for (std::vector<double> &set : load) {
        const double mean = std::accumulate(set.begin(), set.end(), 0.0) / static_cast<double>(set.size());
        for (double &expert : set) {
            expert = std::max(expert, options.minShareIfSlow * mean);
        }
    }
    return load;
}

} // namespace

double setImbalance(const std::vector<std::vector<ExpertId>> &ranks, const std::vector<double> &load, std::span<const double> slowdowns)
{
    std::vector<unsigned> holders(load.size(), 0);
    for (const auto &experts : ranks) {
        for (const ExpertId expert : experts) {
            ++holders[expert];
        }
    }
    double highest = 0;
    double total = 0;
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        double own = 0;
        for (const ExpertId expert : ranks[rank]) {
            own += load[expert] / holders[expert];
        }
        highest = std::max(highest, own * slowdownOf(slowdowns, rank));
        total += own;
    }
    return total > 0 ? highest * static_cast<double>(ranks.size()) / total : 1;
}

ExpertPlanner::ExpertPlanner(GroupMap current, std::vector<std::vector<double>> load, ExpertPlanOptions options)
    : m_current(std::move(current))
    , m_planLoad(withMinShare(load, options))
    , m_observedLoad(std::move(load))
    , m_options(std::move(options))
    , m_copies(m_current.empty() ? 0 : m_current.front().size(), 0)
{
    for (std::size_t set = 0; set < m_current.size(); ++set) {
        m_searches.emplace_back(m_current[set], m_planLoad[set], m_options, m_copies);
    }
}

ExpertPlanner::~ExpertPlanner() = default;

bool ExpertPlanner::improve(unsigned changes)
{
    for (unsigned i = 0; i < changes; ++i) {
        if (m_searches.empty() || m_changes == m_options.maxChanges) {
            return false;
        }
        SetSearch &worst = *std::ranges::max_element(m_searches, {}, &SetSearch::excess);
        if (worst.excess() <= 0) {
            return false;
        }
        worst.improve();
        ++m_changes;
    }
    return true;
}

ExpertPlan ExpertPlanner::plan() const
{
    ExpertPlan plan;
    plan.imbalanceBefore = 0;
    plan.imbalanceAfter = 0;
    const auto sets = static_cast<double>(m_current.size());
    for (std::size_t set = 0; set < m_current.size(); ++set) {
        plan.imbalanceBefore += setImbalance(m_current[set], m_observedLoad[set], m_options.slowdowns) / sets;
        plan.imbalanceAfter += setImbalance(m_searches[set].ranks(), m_observedLoad[set], m_options.slowdowns) / sets;
        plan.map.push_back(m_searches[set].ranks());
    }
    plan.copies = std::accumulate(m_copies.begin(), m_copies.end(), 0U);
    plan.maxRankCopies = m_copies.empty() ? 0 : *std::ranges::max_element(m_copies);
    return plan;
}

ExpertPlan planExperts(const GroupMap &current, const std::vector<std::vector<double>> &load, const ExpertPlanOptions &options)
{
    ExpertPlanner planner(current, load, options);
    planner.improve(options.maxChanges);
    return planner.plan();
}

} // namespace fulmarlink
