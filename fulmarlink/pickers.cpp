// The built-in pickers. Baselines, which use only this host's own request counts:
// random, round_robin, least_requests and two_choices (the less loaded of two random
// runners, "the power of two choices").
//
// reported_two: two choices by the load reported with answers and probe replies. This
// host's own requests since the report are added, because each of them makes the report
// out of date.
//
// affinity: rendezvous hashing of the prompt prefix with bounded load, after
// "consistent hashing with bounded loads" (Mirrokni, Thorup, Zadimoghaddam). Selects the
// first runner in hash order whose load is within a factor of the mean load; behaves as
// reported_two if the request has no prefix.

#include <algorithm>
#include <limits>

#include "fulmarlink/picker.h"

namespace fulmarlink
{

namespace
{

constexpr double kAffinityLoadBound = 1.25;
constexpr double kAffinityMinBound = 0.7; ///< below this load a runner always keeps its prefixes, whatever the mean load
constexpr unsigned kAffinityMaxTries = 3;
constexpr double kRemotePenalty = 0.15; ///< added to the load of a runner in another zone
constexpr Duration kLoadHalfLife = std::chrono::seconds(2);
constexpr double kUnknownScore = 0.5;

std::size_t randomIndex(std::size_t size, Random &random)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

double ownScore(const Candidate &candidate)
{
    return candidate.ownInFlight / candidate.weight;
}

double zoneScore(const Candidate &candidate, const PickContext &context)
{
    const double remote = context.preferLocalZone && !candidate.localZone ? kRemotePenalty : 0;
    return loadScore(candidate, context.now) + remote;
}

template<typename Score>
std::size_t betterOfTwo(std::span<const Candidate> candidates, Random &random, Score score)
{
    const std::size_t a = randomIndex(candidates.size(), random);
    if (candidates.size() == 1) {
        return a;
    }
    std::size_t b = randomIndex(candidates.size() - 1, random);
    b += b >= a ? 1 : 0;
    return score(candidates[b]) < score(candidates[a]) ? b : a;
}

class RandomPicker final : public Picker
{
public:
    std::size_t pick(std::span<const Candidate> candidates, const PickContext & /*context*/, Random &random) override
    {
        return randomIndex(candidates.size(), random);
    }
};

class RoundRobinPicker final : public Picker
{
public:
    std::size_t pick(std::span<const Candidate> candidates, const PickContext & /*context*/, Random &random) override
    {
        if (m_next == kUnset) {
            m_next = randomIndex(candidates.size(), random);
        }
        return m_next++ % candidates.size();
    }

private:
    static constexpr std::size_t kUnset = std::numeric_limits<std::size_t>::max();
    std::size_t m_next = kUnset; ///< random start, so that hosts don't send to the same runners in lock-step
};

class LeastRequestsPicker final : public Picker
{
public:
    std::size_t pick(std::span<const Candidate> candidates, const PickContext & /*context*/, Random &random) override
    {
        const std::size_t start = randomIndex(candidates.size(), random);
        std::size_t best = start;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const std::size_t index = (start + i) % candidates.size();
            if (ownScore(candidates[index]) < ownScore(candidates[best])) {
                best = index;
            }
        }
        return best;
    }
};

class TwoChoicesPicker final : public Picker
{
public:
    std::size_t pick(std::span<const Candidate> candidates, const PickContext & /*context*/, Random &random) override
    {
        return betterOfTwo(candidates, random, ownScore);
    }
};

class ReportedTwoPicker final : public Picker
{
public:
    std::size_t pick(std::span<const Candidate> candidates, const PickContext &context, Random &random) override
    {
        return betterOfTwo(candidates, random, [&](const Candidate &candidate) {
            return zoneScore(candidate, context);
        });
    }
};

class AffinityPicker final : public Picker
{
public:
    std::size_t pick(std::span<const Candidate> candidates, const PickContext &context, Random &random) override
    {
        if (context.prefixHash == 0 || context.attempt > 0) {
            return m_fallback.pick(candidates, context, random);
        }
        const double bound = loadBound(candidates, context.now);
        std::vector<std::pair<std::uint64_t, std::size_t>> order;
        order.reserve(candidates.size());
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            order.emplace_back(mixHash(context.prefixHash, candidates[i].id), i);
        }
        const std::size_t tries = std::min<std::size_t>(kAffinityMaxTries, order.size());
        std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(tries), std::greater<>());
        for (std::size_t i = 0; i < tries; ++i) {
            const Candidate &candidate = candidates[order[i].second];
            if (candidate.weight >= 1 && loadScore(candidate, context.now) <= bound) {
                return order[i].second;
            }
        }
        return m_fallback.pick(candidates, context, random);
    }

private:
    static double loadBound(std::span<const Candidate> candidates, TimePoint now)
    {
        double sum = 0;
        for (const Candidate &candidate : candidates) {
            sum += loadScore(candidate, now);
        }
        return std::max(kAffinityMinBound, kAffinityLoadBound * sum / static_cast<double>(candidates.size()));
    }

    ReportedTwoPicker m_fallback;
};

template<typename T>
PickerRegistry::Factory factory()
{
    return [] {
        return std::make_unique<T>();
    };
}

const PickerRegistrar kRandom("random", factory<RandomPicker>());
const PickerRegistrar kRoundRobin("round_robin", factory<RoundRobinPicker>());
const PickerRegistrar kLeastRequests("least_requests", factory<LeastRequestsPicker>());
const PickerRegistrar kTwoChoices("two_choices", factory<TwoChoicesPicker>());
const PickerRegistrar kReportedTwo("reported_two", factory<ReportedTwoPicker>());
const PickerRegistrar kAffinity("affinity", factory<AffinityPicker>());

} // namespace

double loadScore(const Candidate &candidate, TimePoint now)
{
    if (candidate.load.capacity == 0) {
        return kUnknownScore + candidate.ownInFlight / candidate.weight;
    }
    // A report counts half at the age kLoadHalfLife and less later, in favour of kUnknownScore; own requests count at any age.
    const double halfLives = std::chrono::duration<double>(now - candidate.load.reportedAt) / kLoadHalfLife;
    const double trust = 1 / (1 + halfLives);
    const double reported = static_cast<double>(candidate.load.inFlight + candidate.load.queued) / candidate.load.capacity;
    const double own = static_cast<double>(candidate.ownInFlight) / candidate.load.capacity;
    return (trust * reported + (1 - trust) * std::max(own, kUnknownScore)) / candidate.weight;
}

} // namespace fulmarlink
