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

/** One set of layers while it is improved. Invariant: m_holders and m_loads agree with m_ranks. */
class ExpertPlanner::SetSearch
{
public:
    /** @p copies counts the new experts of each rank over all sets. */
    SetSearch(RankExperts ranks, const std::vector<double> &load, const ExpertPlanOptions &options, std::vector<unsigned> &copies)
        : m_before(ranks)
        , m_ranks(std::move(ranks))
        , m_loadOf(load)
        , m_optionsOf(options)
        , m_copiesOf(copies)
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

    /** Load of the busiest rank above the mean; 0 once no change is worth it. */
    double excess() const
    {
        return m_exhausted ? 0 : *std::ranges::max_element(m_loads) - m_mean;
    }

    /** Makes the best change for the busiest rank, if one is worth its copying. */
    void improve()
    {
        const auto busiest = static_cast<std::size_t>(std::ranges::max_element(m_loads) - m_loads.begin());
        const auto change = best(busiest);
        const double least = std::max(m_loads[busiest] - m_mean, m_mean) * m_optionsOf.get().minGain;
        m_exhausted = !change || change->relief < least;
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
        ExpertId expert = 0; ///< of the busiest rank
        std::size_t other = 0; ///< the rank that takes it
        std::optional<ExpertId> evicted = std::nullopt; ///< leaves the other rank
        bool exchange = false; ///< the evicted one comes to the busiest rank, and expert leaves it
        bool drop = false; ///< expert leaves the busiest rank; the others that hold it take its load
        double squares = 0; ///< change of the sum of squared loads
        double relief = 0; ///< of the busiest rank
    };

    double share(ExpertId expert) const
    {
        return m_loadOf.get()[expert] / static_cast<double>(std::max<std::size_t>(1, m_holders[expert].size()));
    }

    double slowdown(std::size_t rank) const
    {
        return slowdownOf(m_optionsOf.get().slowdowns, rank);
    }

    bool isNew(std::size_t rank, ExpertId expert) const
    {
        return !contains(m_before[rank], expert);
    }

    bool mayAdd(std::size_t rank, ExpertId expert) const
    {
        return !contains(m_ranks[rank], expert)
               && (!isNew(rank, expert) || (m_added[rank] < m_optionsOf.get().maxNewPerSet && m_copiesOf.get()[rank] < m_optionsOf.get().maxNewPerRank));
    }

    static double square(double value)
    {
        return value * value;
    }

    /** A further replica of @p expert at @p other, where @p evicted (held elsewhere too) makes room. */
    Change replica(std::size_t busiest, ExpertId expert, std::size_t other, std::optional<ExpertId> evicted) const
    {
        const double now = share(expert);
        const double then = m_loadOf.get()[expert] / static_cast<double>(m_holders[expert].size() + 1);
        m_touched.clear();
        for (const std::size_t rank : m_holders[expert]) {
            shift(rank, then - now);
        }
        shift(other, then);
        if (evicted) {
            const double evictedNow = share(*evicted);
            const double evictedThen = m_loadOf.get()[*evicted] / static_cast<double>(m_holders[*evicted].size() - 1);
            for (const std::size_t rank : m_holders[*evicted]) {
                shift(rank, rank == other ? -evictedNow : evictedThen - evictedNow);
            }
        }
        return settled({.expert = expert, .other = other, .evicted = evicted}, busiest);
    }

    /** @p expert stays on its other holders only. */
    Change dropped(std::size_t busiest, ExpertId expert) const
    {
        const double now = share(expert);
        const double then = m_loadOf.get()[expert] / static_cast<double>(m_holders[expert].size() - 1);
        m_touched.clear();
        for (const std::size_t rank : m_holders[expert]) {
            shift(rank, rank == busiest ? -now : then - now);
        }
        return settled({.expert = expert, .other = busiest, .drop = true}, busiest);
    }

    /** A change of @p rank's load, kept until settled(). */
    void shift(std::size_t rank, double amount) const
    {
        if (m_delta[rank] == 0) {
            m_touched.push_back(rank);
        }
        m_delta[rank] += amount * slowdown(rank);
    }

    /** Completes @p change by the shifts since m_touched was cleared. */
    Change settled(Change change, std::size_t busiest) const
    {
        for (const std::size_t rank : m_touched) {
            change.squares += square(m_loads[rank] + m_delta[rank]) - square(m_loads[rank]);
            change.relief = rank == busiest ? -m_delta[rank] : change.relief;
            m_delta[rank] = 0;
        }
        return change;
    }

    std::optional<Change> exchange(std::size_t busiest, ExpertId expert, std::size_t other, ExpertId back) const
    {
        if (contains(m_ranks[busiest], back) || !mayAdd(busiest, back)) {
            return std::nullopt;
        }
        const double moved = share(expert) - share(back);
        m_touched.clear();
        shift(busiest, -moved);
        shift(other, moved);
        return settled({.expert = expert, .other = other, .evicted = back, .exchange = true}, busiest);
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
                consider(dropped(busiest, expert), best);
            }
            for (std::size_t other = 0; other < m_ranks.size(); ++other) {
                if (other == busiest || m_loads[other] >= m_loads[busiest] || !mayAdd(other, expert)) {
                    continue;
                }
                if (m_ranks[other].size() < m_optionsOf.get().maxExpertsPerRank) {
                    consider(replica(busiest, expert, other, std::nullopt), best);
                }
                for (const ExpertId there : m_ranks[other]) {
                    if (m_holders[there].size() > 1 && m_ranks[other].size() >= m_optionsOf.get().maxExpertsPerRank) {
                        consider(replica(busiest, expert, other, there), best);
                    }
                    consider(exchange(busiest, expert, other, there), best);
                }
            }
        }
        return best;
    }

    void add(std::size_t rank, ExpertId expert)
    {
        m_added[rank] += isNew(rank, expert) ? 1 : 0;
        m_copiesOf.get()[rank] += isNew(rank, expert) ? 1 : 0;
        m_ranks[rank].push_back(expert);
        m_holders[expert].push_back(rank);
    }

    void remove(std::size_t rank, ExpertId expert)
    {
        m_added[rank] -= isNew(rank, expert) ? 1 : 0;
        m_copiesOf.get()[rank] -= isNew(rank, expert) ? 1 : 0;
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

    RankExperts m_before;
    RankExperts m_ranks;
    std::reference_wrapper<const std::vector<double>> m_loadOf;
    std::reference_wrapper<const ExpertPlanOptions> m_optionsOf;
    std::reference_wrapper<std::vector<unsigned>> m_copiesOf;
    std::vector<std::vector<std::size_t>> m_holders; ///< ranks that hold an expert
    std::vector<unsigned> m_added; ///< new experts, by rank
    std::vector<double> m_loads; ///< by rank
    double m_mean = 0;
    bool m_exhausted = false;
    mutable std::vector<double> m_delta; ///< by rank, all 0 between calls; kept to save allocations
    mutable std::vector<std::size_t> m_touched; ///< ranks whose m_delta is in use
};

namespace
{

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
    double most = 0;
    double total = 0;
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        double own = 0;
        for (const ExpertId expert : ranks[rank]) {
            own += load[expert] / holders[expert];
        }
        most = std::max(most, own * slowdownOf(slowdowns, rank));
        total += own;
    }
    return total > 0 ? most * static_cast<double>(ranks.size()) / total : 1;
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
