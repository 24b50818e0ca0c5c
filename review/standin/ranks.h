#pragma once

#include <atomic>
#include <boost/json/value.hpp>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "review/standin/record.h"
#include "review/standin/server.h"
#include "review/standin/store.h"

namespace review
{

using ExpertMap = std::vector<std::vector<unsigned>>; ///< the experts of the only set, by rank

/** Sizes of the group, and how long its work takes. */
struct GroupOptions {
    unsigned ranks = 4;
    unsigned experts = 8;
    unsigned placements = 3;
    unsigned spare = 2; ///< most experts of a set that a prepare may bring to a rank
    double copyMs = 111; ///< for one expert: expert_mb over link_mbps
    double passMs = 60; ///< while the ranks have equal loads
    double expertShare = 0.85;
    double reportLagMs = 200;
    unsigned events = 6; ///< of a stream
};

/** What the group has seen. */
struct GroupCounts {
    unsigned passes = 0;
    unsigned mixedPasses = 0; ///< passes that began while two ranks had different maps
    unsigned switches = 0;
    unsigned answers = 0; ///< of the faulty ranks while they send second answers
    unsigned extras = 0; ///< second answers
    unsigned orders = 0; ///< while orders may be carried out late
    unsigned lateOrders = 0; ///< left unanswered and carried out late
};

/** A group of ranks in lock-step, each a runner with a port of its own, with the orders prepare, arm, disarm, hold and go. */
class RankGroup
{
public:
    RankGroup(GroupOptions options, Record &record);

    /** Registers all ranks in the store. */
    void list(Store &store, const std::string &service) const;
    boost::json::value service(const std::string &name) const;
    /** Makes one expert as much in demand as all others together. */
    void setHotExpert(unsigned expert);
    /** While set, rank 1 follows a few of its answers, 2.05 in 100 at most, with a second copy. */
    void setGarble(bool on);
    /** While set, some orders, 35 in 100 at most, get no answer and are carried out seconds later. */
    void setAppliedLate(bool on);
    GroupCounts counts();

private:
    using Clock = std::chrono::steady_clock;

    struct Prepared {
        std::uint64_t version = 0;
        ExpertMap map;
        Clock::time_point copiedAt{};
    };

    struct Report {
        Clock::time_point time{};
        std::string text;
    };

    struct Rank {
        std::string id;
        std::unique_ptr<Server> server;
        std::uint64_t mapVersion = 0;
        ExpertMap map;
        std::uint64_t highestVersion = 0;
        std::optional<Prepared> prepared;
        std::uint64_t armedVersion = 0;
        std::uint64_t armedStep = 0;
        std::optional<std::uint64_t> heldStep;
        std::vector<std::uint64_t> chosen; ///< by expert
        unsigned streams = 0;
        unsigned callSeq = 0;
        std::deque<Report> reports;
    };

    bool handle(unsigned rank, Connection &connection, const Request &request);
    bool serveStream(unsigned rank, Connection &connection, const Request &request);
    bool serveOrder(unsigned rank, Connection &connection, const Request &request);
    std::string laggedReport(unsigned rank);
    std::string picked(unsigned rank, bool lists);
    std::string carryOut(unsigned rank, const boost::json::object &order);
    std::string prepare(Rank &rank, unsigned index, const boost::json::object &order);
    std::string arm(Rank &rank, const boost::json::object &order) const;
    std::string hold(Rank &rank, const boost::json::object &order) const;
    bool write(unsigned rank, Connection &connection, const std::string &bytes, bool mayBeDoubled);
    bool chooseLate(unsigned rank, const std::string &operation);
    bool isFaulty(unsigned rank) const;
    void runPasses();
    void beginPass();
    void checkMaps();
    void snapshot();
    double imbalance() const;

    const GroupOptions m_options;
    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_passEnded;
    std::vector<Rank> m_ranks;
    std::vector<double> m_demand;
    std::uint64_t m_step = 0; ///< the last pass that was begun
    std::uint64_t m_endedStep = 0;
    bool m_garble = false;
    bool m_appliedLate = false;
    bool m_wasMixed = false;
    GroupCounts m_counts;
};

} // namespace review
