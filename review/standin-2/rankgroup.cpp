#include "review/standin-2/rankgroup.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>
#include <numeric>

namespace review
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kConflict = 409;
constexpr std::uint64_t kEpoch = 1;
constexpr double kChoicesPerStream = 3000; ///< of one pass and set: a stream stands for several samples
constexpr double kHotShare = 0.6; ///< of all choices that fall on the hot experts of a set
constexpr unsigned kHotExperts = 5; ///< of a set
constexpr auto kSnapshotInterval = std::chrono::milliseconds(10);
constexpr std::size_t kMaxSnapshots = 200;

std::uint64_t numberOf(const json::object &body, const char *key)
{
    const json::value *value = body.if_contains(key);
    return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

} // namespace

RankGroup::RankGroup(asio::io_context &context, RankGroupOptions options, unsigned seed)
    : m_context(context)
    , m_options(options)
    , m_random(seed)
    , m_ranks(options.ranks)
    , m_demand(options.sets)
{
    Map first(options.sets, std::vector<std::vector<unsigned>>(options.ranks));
    for (auto &set : first) {
        for (unsigned expert = 0; expert < options.experts; ++expert) {
            set[expert % options.ranks].push_back(expert); // map 0 assigns experts in turn
        }
    }
    for (Rank &rank : m_ranks) {
        rank.map = first;
        rank.counts.resize(static_cast<std::size_t>(options.sets) * options.experts);
    }
    shiftDemand();
    snapshot();
}

void RankGroup::shiftDemand()
{
    for (auto &set : m_demand) {
        std::vector<unsigned> order(m_options.experts);
        std::iota(order.begin(), order.end(), 0);
        std::ranges::shuffle(order, m_random);
        set.assign(m_options.experts, (1 - kHotShare) / m_options.experts);
        for (unsigned i = 0; i < kHotExperts; ++i) {
            set[order[i]] += kHotShare / kHotExperts;
        }
    }
}

void RankGroup::stop()
{
    m_stopped = true;
}

void RankGroup::streamBegan(unsigned rank)
{
    ++m_ranks[rank].streams;
}

void RankGroup::streamEnded(unsigned rank)
{
    --m_ranks[rank].streams;
}

unsigned RankGroup::streams() const
{
    return std::accumulate(m_ranks.begin(), m_ranks.end(), 0U, [](unsigned sum, const Rank &rank) {
        return sum + rank.streams;
    });
}

bool RankGroup::passHeld() const
{
    return std::ranges::any_of(m_ranks, [this](const Rank &rank) {
        return rank.held == m_pass + 1;
    });
}

/** The busiest rank's load over the mean, averaged over the sets. */
double RankGroup::imbalance() const
{
    double sum = 0;
    for (unsigned set = 0; set < m_options.sets; ++set) {
        std::vector<unsigned> holders(m_options.experts);
        for (const Rank &rank : m_ranks) {
            for (const unsigned expert : rank.map[set][static_cast<std::size_t>(&rank - m_ranks.data())]) {
                ++holders[expert];
            }
        }
        double busiest = 0;
        for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
            double load = 0;
            for (const unsigned expert : m_ranks[rank].map[set][rank]) {
                load += m_demand[set][expert] / std::max(1U, holders[expert]);
            }
            busiest = std::max(busiest, load);
        }
        sum += busiest * static_cast<double>(m_ranks.size());
    }
    return sum / m_options.sets;
}

void RankGroup::checkMaps()
{
    for (std::size_t rank = 1; rank < m_ranks.size(); ++rank) {
        const bool sameVersion = m_ranks[rank].version == m_ranks.front().version;
        if (sameVersion && m_ranks[rank].map == m_ranks.front().map) {
            continue;
        }
        ++m_mixedPasses;
        if (m_mixedPasses <= 3) {
            log("pass " + std::to_string(m_pass) + " begins with different maps: rank 0 has version " + std::to_string(m_ranks.front().version) + ", rank "
                + std::to_string(rank) + " has version " + std::to_string(m_ranks[rank].version) + (sameVersion ? " with another content" : ""));
        }
        return;
    }
}

void RankGroup::beginPass()
{
    ++m_pass;
    bool switched = false;
    for (Rank &rank : m_ranks) {
        if (rank.armedVersion != 0 && rank.armedPass == m_pass) {
            rank.map = rank.preparedMap;
            rank.version = rank.armedVersion;
            rank.armedVersion = 0;
            rank.armedPass = 0;
            rank.preparedVersion = 0;
            switched = true;
        }
    }
    if (switched) {
        ++m_switches;
        log("pass " + std::to_string(m_pass) + " begins with map " + std::to_string(m_ranks.front().version) + " at rank 0");
    }
    checkMaps();
    for (Rank &rank : m_ranks) {
        for (std::size_t set = 0; set < m_demand.size(); ++set) {
            for (std::size_t expert = 0; expert < m_demand[set].size(); ++expert) {
                const double chosen = kChoicesPerStream * rank.streams * m_demand[set][expert];
                rank.counts[set * m_demand[set].size() + expert] += static_cast<std::uint64_t>(chosen);
            }
        }
    }
}

asio::awaitable<void> RankGroup::run(std::function<void()> onPass)
{
    boost::system::error_code ignored; // the timer is not cancelled
    asio::steady_timer timer(m_context);
    auto passEnd = Clock::now();
    bool running = false;
    auto nextSnapshot = Clock::now();
    while (!m_stopped) {
        const auto now = Clock::now();
        if (running && now >= passEnd) {
            running = false;
            onPass();
        }
        if (!running && streams() > 0 && !passHeld()) {
            beginPass();
            running = true;
            const double factor = 1 - m_options.expertShare + m_options.expertShare * imbalance();
            passEnd = now + std::chrono::duration_cast<Clock::duration>(m_options.balancedPass * factor);
        }
        if (now >= nextSnapshot) {
            snapshot();
            nextSnapshot = now + kSnapshotInterval;
        }
        timer.expires_after(std::chrono::milliseconds(1));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

bool RankGroup::isPrepared(const Rank &state) const
{
    return state.preparedVersion != 0 && Clock::now() >= state.preparedAt;
}

json::object RankGroup::reportNow(unsigned rank) const
{
    const Rank &state = m_ranks[rank];
    json::object report{{"stage", "unified"},
                        {"group", json::object{{"name", "g0"}, {"epoch", kEpoch}, {"rank", rank}, {"state", "open"}}},
                        {"size", m_options.ranks},
                        {"busy", false},
                        {"call_seq", state.ordersAccepted},
                        {"waiting", 0},
                        {"running", state.streams},
                        {"pace", 1.0},
                        {"step", m_pass},
                        {"map", state.version},
                        {"prepared", nullptr},
                        {"armed", nullptr},
                        {"held", nullptr}};
    if (isPrepared(state)) {
        report["prepared"] = state.preparedVersion;
    }
    if (state.armedVersion != 0) {
        report["armed"] = json::object{{"version", state.armedVersion}, {"step", state.armedPass}};
    }
    if (state.held) {
        report["held"] = *state.held;
    }
    return report;
}

void RankGroup::snapshot()
{
    Snapshot next{Clock::now(), {}};
    for (unsigned rank = 0; rank < m_ranks.size(); ++rank) {
        next.reports.push_back(reportNow(rank));
    }
    m_snapshots.push_back(std::move(next));
    if (m_snapshots.size() > kMaxSnapshots) {
        m_snapshots.pop_front();
    }
}

json::object RankGroup::report(unsigned rank) const
{
    const auto wanted = Clock::now() - m_options.reportLag;
    const Snapshot *found = &m_snapshots.front();
    for (const Snapshot &candidate : m_snapshots) {
        if (candidate.at <= wanted) {
            found = &candidate;
        }
    }
    return found->reports[rank];
}

json::object RankGroup::picked(unsigned rank, bool lists) const
{
    const Rank &state = m_ranks[rank];
    if (!lists) {
        return {{"step", m_pass}, {"epoch", kEpoch}, {"counts", json::value_from(state.counts)}};
    }
    const auto experts = [&](const Map &map) {
        json::array bySet;
        for (const auto &set : map) {
            bySet.push_back(json::value_from(set[rank]));
        }
        return bySet;
    };
    json::object result{{"map", json::object{{"version", state.version}, {"experts", experts(state.map)}}}, {"prepared", nullptr}};
    if (isPrepared(state)) {
        result["prepared"] = json::object{{"version", state.preparedVersion}, {"experts", experts(state.preparedMap)}};
    }
    return result;
}

unsigned RankGroup::prepare(Rank &state, unsigned rank, const json::object &body)
{
    const std::uint64_t version = numberOf(body, "version");
    if (version <= state.highestVersion || state.armedVersion != 0) {
        return kConflict;
    }
    Map map = json::value_to<Map>(body.at("map"));
    std::size_t copies = 0;
    for (std::size_t set = 0; set < map.size(); ++set) {
        const auto &before = state.map[set][rank];
        const auto added = static_cast<std::size_t>(std::ranges::count_if(map[set][rank], [&](unsigned expert) {
            return std::ranges::find(before, expert) == before.end();
        }));
        if (added > m_options.spare || map[set][rank].size() > m_options.placements) {
            return kConflict;
        }
        copies += added;
    }
    constexpr double kBits = 8;
    const std::chrono::duration<double> time(static_cast<double>(copies) * m_options.expertMb * kBits / m_options.linkMbps);
    state.highestVersion = version;
    state.preparedVersion = version;
    state.preparedMap = std::move(map);
    state.preparedAt = Clock::now() + std::chrono::duration_cast<Clock::duration>(time);
    return kAccepted;
}

unsigned RankGroup::arm(Rank &state, std::uint64_t version, std::uint64_t step) const
{
    if (state.armedVersion == version && state.armedPass == step) {
        return kOk;
    }
    if (!isPrepared(state) || state.preparedVersion != version || step <= m_pass) {
        return kConflict;
    }
    state.armedVersion = version;
    state.armedPass = step;
    return kAccepted;
}

unsigned RankGroup::order(unsigned rank, const json::object &body)
{
    Rank &state = m_ranks[rank];
    const std::string operation(body.at("operation").as_string());
    const std::uint64_t step = numberOf(body, "step");
    const json::value *epoch = body.if_contains("epoch");
    if (epoch != nullptr && epoch->to_number<std::uint64_t>() != kEpoch) {
        return kConflict;
    }
    unsigned status = kBadRequest;
    if (operation == "prepare") {
        status = prepare(state, rank, body);
    } else if (operation == "arm") {
        status = arm(state, numberOf(body, "version"), step);
    } else if (operation == "disarm") {
        const bool fits = state.armedVersion == numberOf(body, "version") && state.armedVersion != 0;
        state.armedVersion = fits ? 0 : state.armedVersion;
        status = fits ? kAccepted : kConflict;
    } else if (operation == "hold") {
        const bool free = step > m_pass && !state.held;
        status = state.held == step ? kOk : (free ? kAccepted : kConflict);
        state.held = free ? step : state.held;
    } else if (operation == "go") {
        const bool fits = state.held == step;
        state.held = fits ? std::nullopt : state.held;
        status = fits ? kAccepted : kConflict;
    }
    state.ordersAccepted += status == kAccepted ? 1 : 0;
    return status;
}

std::uint64_t RankGroup::pass() const
{
    return m_pass;
}

unsigned RankGroup::switches() const
{
    return m_switches;
}

unsigned RankGroup::mixedPasses() const
{
    return m_mixedPasses;
}

} // namespace review
