// Compares the expert map planners under drifting expert popularity: one table for each
// drift pattern and group size, with a row for each planner and set of weights. A step
// takes as long as its busiest rank.
//
// Usage: planner_bench [--tuning] [--quick]
// Seeds 101 to 105 are the validation set and the default. --tuning uses seeds 1 to 5, with
// which the planner was tuned.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstring>
#include <iomanip>
#include <iostream>
#include <numeric>

#include "fulmarlink/clock.h"
#include "fulmarlink/loadforecast.h"
#include "fulmarlink/mapplanner.h"

namespace
{

using namespace fulmarlink;

constexpr unsigned kExperts = 256;
constexpr unsigned kLayers = 4;
constexpr double kTokensPerInterval = 5e6;
constexpr double kPopularitySpread = 0.8; ///< standard deviation of the log popularity
constexpr unsigned kWarmup = 10; ///< intervals excluded from the results

enum class Drift : std::uint8_t {
    Slow,
    Sudden,
    Flip,
    Noise,
};

constexpr const char *kDriftNames[] = {"slow drift", "sudden shift", "flipping expert", "noise, no drift"};

/** Random popularity of the experts of one layer over time, reproducible by seed. */
class Popularity
{
public:
    Popularity(Drift drift, std::uint64_t seed)
        : m_drift(drift)
        , m_random(seed)
    {
        for (unsigned i = 0; i < kExperts; ++i) {
            m_base.push_back(kPopularitySpread * m_normal(m_random));
            m_phase.push_back(6.283 * m_uniform(m_random));
            m_period.push_back(150 + 250 * m_uniform(m_random));
        }
        m_shifted = m_base;
        for (double &value : m_shifted) {
            value = m_uniform(m_random) < 0.3 ? kPopularitySpread * m_normal(m_random) : value;
        }
    }

    LayerLoad interval(unsigned time)
    {
        LayerLoad load(kExperts);
        for (unsigned i = 0; i < kExperts; ++i) {
            load[i] = std::exp(logPopularity(i, time));
        }
        const double sum = std::accumulate(load.begin(), load.end(), 0.0);
        for (double &value : load) {
            const double expected = value / sum * kTokensPerInterval;
            value = std::max(0.0, expected + std::sqrt(expected) * m_normal(m_random)); // sampling noise of the counts
        }
        return load;
    }

private:
    double logPopularity(unsigned expert, unsigned time)
    {
        switch (m_drift) {
        case Drift::Slow:
            return m_base[expert] + 0.5 * std::sin(6.283 * time / m_period[expert] + m_phase[expert]);
        case Drift::Sudden:
            return time < 60 ? m_base[expert] : m_shifted[expert];
        case Drift::Flip:
            return (expert < 2 ? 1.5 : m_base[expert]) + (expert < 2 && (time / 7) % 2 == expert ? 1.5 : 0);
        case Drift::Noise:
            return m_base[expert] + 0.1 * m_normal(m_random);
        }
        return 0;
    }

    Drift m_drift;
    Random m_random;
    std::normal_distribution<double> m_normal{0, 1};
    std::uniform_real_distribution<double> m_uniform{0, 1};
    std::vector<double> m_base;
    std::vector<double> m_shifted;
    std::vector<double> m_phase;
    std::vector<double> m_period;
};

struct Outcome {
    std::vector<double> skews; ///< by interval, ratio of the busiest rank to the mean, averaged over the layers
    double copies = 0;
    double stalledSteps = 0;
    double planMs = 0;
};

struct Setup {
    Drift drift = Drift::Slow;
    unsigned ranks = 16;
    unsigned slotsPerRank = 18;
    PlannerWeights weights;
    unsigned intervals = 120;
    unsigned layers = kLayers;
};

Outcome simulate(const std::string &name, const Setup &setup, std::uint64_t seed)
{
    const auto planner = MapPlannerRegistry::instance().create(name);
    std::vector<Popularity> popularity;
    std::vector<LoadForecast> forecasts;
    ExpertMap map;
    std::vector<LayerLoad> last;
    for (unsigned layer = 0; layer < setup.layers; ++layer) {
        popularity.emplace_back(setup.drift, seed * 1000 + layer);
        forecasts.emplace_back(kExperts);
        map.push_back(initialLayer(setup.ranks, kExperts, setup.slotsPerRank));
        last.push_back(popularity[layer].interval(0));
        forecasts[layer].observe(last[layer]);
    }
    Outcome outcome;
    for (unsigned time = 1; time < setup.intervals; ++time) {
        std::vector<LayerLoad> next;
        std::vector<LayerInput> inputs;
        next.reserve(setup.layers);
        for (unsigned layer = 0; layer < setup.layers; ++layer) {
            next.push_back(popularity[layer].interval(time));
            inputs.push_back({map[layer], last[layer], forecasts[layer], &next[layer]});
        }
        const auto begin = std::chrono::steady_clock::now();
        ExpertMap planned = planner->plan(inputs, setup.weights);
        outcome.planMs += std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count() / setup.intervals;
        unsigned copies = 0;
        double meanSkew = 0;
        for (unsigned layer = 0; layer < setup.layers; ++layer) {
            copies += copiesBetween(map[layer], planned[layer]);
            meanSkew += imbalance(planned[layer], next[layer]) / setup.layers;
            forecasts[layer].observe(next[layer]);
        }
        map = std::move(planned);
        last = std::move(next);
        if (time >= kWarmup) {
            outcome.skews.push_back(meanSkew);
            outcome.copies += copies;
            outcome.stalledSteps += copies > 0 ? 1 : 0; // the step that switches maps waits for at most one round trip of an order
        }
    }
    return outcome;
}

struct Row {
    double mean = 0;
    double p99 = 0;
    double copies = 0;
    double stalled = 0;
    double planMs = 0;
};

Row average(const std::string &name, const Setup &setup, std::span<const std::uint64_t> seeds)
{
    std::vector<double> skews;
    Row row;
    for (const std::uint64_t seed : seeds) {
        const Outcome outcome = simulate(name, setup, seed);
        skews.insert(skews.end(), outcome.skews.begin(), outcome.skews.end());
        row.copies += outcome.copies / static_cast<double>(seeds.size());
        row.stalled += outcome.stalledSteps / static_cast<double>(seeds.size());
        row.planMs += outcome.planMs / static_cast<double>(seeds.size());
    }
    row.mean = std::accumulate(skews.begin(), skews.end(), 0.0) / static_cast<double>(skews.size());
    std::ranges::sort(skews);
    row.p99 = skews[static_cast<std::size_t>(0.99 * static_cast<double>(skews.size() - 1))];
    return row;
}

void printTable(const Setup &base, std::span<const std::uint64_t> seeds)
{
    std::cout << "\n"
              << kDriftNames[static_cast<int>(base.drift)] << ", " << base.ranks << " ranks, " << kExperts << " experts, " << base.slotsPerRank
              << " slots a rank, " << kLayers << " layers\n";
    std::cout << std::left << std::setw(22) << "planner" << std::right << std::setw(11) << "skew mean" << std::setw(10) << "p99" << std::setw(12) << "ms a step"
              << std::setw(10) << "copies" << std::setw(10) << "GB moved" << std::setw(9) << "stalls" << std::setw(10) << "plan ms\n";
    const auto print = [&](const std::string &label, const std::string &name, const Setup &setup) {
        const Row row = average(name, setup, seeds);
        std::cout << std::left << std::setw(22) << label << std::right << std::fixed << std::setprecision(4) << std::setw(11) << row.mean << std::setw(10)
                  << row.p99 << std::setprecision(3) << std::setw(12) << (row.mean - 1) * setup.weights.stepSeconds * 1000 << std::setprecision(0)
                  << std::setw(10) << row.copies << std::setprecision(1) << std::setw(10) << row.copies * setup.weights.expertBytes / 1e9
                  << std::setprecision(0) << std::setw(9) << row.stalled << std::setprecision(2) << std::setw(9) << row.planMs << '\n';
        return row;
    };
    const Row bound = print("clairvoyant", "clairvoyant", base);
    print("never", "never", base);
    const Row greedy = print("full_greedy", "full_greedy", base);
    const Row swap = print("threshold_swap", "threshold_swap", base);
    Setup skewWeighted = base;
    skewWeighted.weights.skewWeight = 20;
    const Row tawe = print("priced, Tawe", "priced", skewWeighted);
    Setup costWeighted = base;
    costWeighted.weights.costWeight = 2;
    const Row conciliar = print("priced, Conciliar", "priced", costWeighted);
    std::cout << std::setprecision(2) << "  Tawe: excess " << (tawe.mean - 1) / (bound.mean - 1) << "x the bound's, " << (tawe.mean - 1) / (swap.mean - 1)
              << "x threshold_swap's. Conciliar: " << conciliar.copies / greedy.copies << "x the bytes of full_greedy, excess "
              << (conciliar.mean - 1) / (greedy.mean - 1) << "x of it\n";
}

void printPlanTime()
{
    std::cout << "\nplan time, priced, all layers, medians of 5\n";
    for (const auto &[ranks, layers] : {std::pair(16U, 60U), std::pair(32U, 60U), std::pair(64U, 15U), std::pair(64U, 30U), std::pair(64U, 60U)}) {
        std::vector<double> times;
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            Setup setup;
            setup.ranks = ranks;
            setup.slotsPerRank = kExperts / ranks + 1;
            setup.layers = layers;
            setup.intervals = 8;
            setup.weights.skewWeight = 20;
            times.push_back(simulate("priced", setup, seed).planMs);
        }
        std::ranges::sort(times);
        std::cout << "  " << std::setw(3) << ranks << " ranks x " << std::setw(3) << layers << " layers: " << std::fixed << std::setprecision(1) << times[2]
                  << " ms\n";
    }
}

} // namespace

int main(int argc, char **argv)
{
    bool tuning = false;
    bool quick = false;
    for (int i = 1; i < argc; ++i) {
        tuning = tuning || std::strcmp(argv[i], "--tuning") == 0;
        quick = quick || std::strcmp(argv[i], "--quick") == 0;
    }
    const std::vector<std::uint64_t> seeds = tuning ? std::vector<std::uint64_t>{1, 2, 3, 4, 5} : std::vector<std::uint64_t>{101, 102, 103, 104, 105};
    std::cout << "seeds " << seeds.front() << " to " << seeds.back() << (tuning ? " (tuning)" : " (kept apart from tuning)") << '\n';
    for (const unsigned ranks : {16U, 64U}) {
        for (const Drift drift : {Drift::Slow, Drift::Sudden, Drift::Flip, Drift::Noise}) {
            Setup setup;
            setup.drift = drift;
            setup.ranks = ranks;
            setup.slotsPerRank = ranks == 16 ? 18 : 5;
            setup.intervals = quick ? 40 : 120;
            printTable(setup, seeds);
        }
    }
    printPlanTime();
    return 0;
}
