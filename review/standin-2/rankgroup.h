#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;

/** The sizes of Conciliar's group: 16 ranks, 4 sets of 64 experts, 5 places a rank and set. */
struct RankGroupOptions {
    unsigned ranks = 16;
    unsigned sets = 4;
    unsigned experts = 64;
    unsigned placements = 5;
    unsigned spare = 2; ///< experts of a set that may be new to a rank in one map
    double expertMb = 2500;
    double linkMbps = 180'000;
    double expertShare = 0.85;
    std::chrono::milliseconds balancedPass{50};
    std::chrono::milliseconds reportLag{200};
};

/**
 * The engine of one rank group, as the platform's page describes it: passes in lockstep, expert counts, copies, the orders prepare,
 * arm, disarm, hold and go, and reports that are some hundred ms old. It checks at the start of each pass that all ranks have one map.
 */
class RankGroup
{
public:
    RankGroup(boost::asio::io_context &context, RankGroupOptions options, unsigned seed);

    /** Runs passes while there are streams. @p onPass is called at the end of each pass. */
    boost::asio::awaitable<void> run(std::function<void()> onPass);
    void stop();
    void streamBegan(unsigned rank);
    void streamEnded(unsigned rank);
    /** Changes which experts the requests choose. */
    void shiftDemand();

    /** Carries out an order at a rank. */
    unsigned order(unsigned rank, const boost::json::object &body);
    /** The state of a rank as of reportLag ago. */
    boost::json::object report(unsigned rank) const;
    boost::json::object picked(unsigned rank, bool lists) const;

    std::uint64_t pass() const;
    unsigned switches() const;
    unsigned mixedPasses() const;
    /** One line for each event that the verdict rests on. */
    std::function<void(const std::string &)> log;

private:
    using Map = std::vector<std::vector<std::vector<unsigned>>>; ///< by set and rank: experts

    struct Rank {
        Map map;
        std::uint64_t version = 0;
        std::uint64_t highestVersion = 0;
        Map preparedMap;
        std::uint64_t preparedVersion = 0;
        Clock::time_point preparedAt{};
        std::uint64_t armedVersion = 0;
        std::uint64_t armedPass = 0;
        std::optional<std::uint64_t> held;
        unsigned streams = 0;
        std::uint64_t ordersAccepted = 0;
        std::vector<std::uint64_t> counts;
    };

    struct Snapshot {
        Clock::time_point at;
        std::vector<boost::json::object> reports; ///< by rank
    };

    void beginPass();
    void checkMaps();
    void snapshot();
    boost::json::object reportNow(unsigned rank) const;
    unsigned prepare(Rank &state, unsigned rank, const boost::json::object &body);
    unsigned arm(Rank &state, std::uint64_t version, std::uint64_t step) const;
    bool isPrepared(const Rank &state) const;
    bool passHeld() const;
    unsigned streams() const;
    double imbalance() const;

    boost::asio::io_context &m_context;
    RankGroupOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Rank> m_ranks;
    std::vector<std::vector<double>> m_demand; ///< by set and expert; each set sums up to 1
    std::deque<Snapshot> m_snapshots;
    std::uint64_t m_pass = 0;
    unsigned m_switches = 0;
    unsigned m_mixedPasses = 0;
    bool m_stopped = false;
};

} // namespace review
