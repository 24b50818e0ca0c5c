#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fulmarlink/groupswitch.h"

namespace fulmarlink::testing
{

struct RankGroupSimulationOptions {
    unsigned ranks = 3;
    unsigned steps = 400;
    unsigned delayedPercent = 20; ///< of 100 orders: no answer, carried out later
    unsigned lostReplyPercent = 10; ///< of 100 orders: carried out, no answer
    unsigned maxReportAge = 8; ///< steps; each rank's report in a read has an age of its own
    unsigned leaseSteps = 60; ///< an owner that is paused for longer is replaced
    std::uint64_t seed = 1;
};

/**
 * A group of ranks as the platform's engines behave, with owners that are paused and
 * replaced, helpers that act on old reports, and orders that are lost or come late, all
 * by chance. The oracle: no pass begins with two maps, and once calm a group goes on.
 */
class RankGroupSimulation
{
public:
    explicit RankGroupSimulation(RankGroupSimulationOptions options);
    ~RankGroupSimulation();

    /** Plays all steps and the calm after them. Empty if everything held, else what did not. */
    std::string run();
    unsigned switches() const;
    unsigned stalledSteps() const;

private:
    struct Rank;
    struct Driver;
    struct LateOrder;

    bool chance(unsigned percent);
    unsigned pick(unsigned bound);
    OrderResult execute(const AddressedOrder &order);
    OrderResult send(const AddressedOrder &order);
    void beginPass();
    bool canBegin() const;
    std::vector<RankReport> reports(unsigned age);
    void remember();
    void act(Driver &driver);
    void lead();
    void help();
    void replaceOwner();
    void calmDown();

    RankGroupSimulationOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Rank> m_ranks;
    std::vector<LateOrder> m_late;
    std::deque<std::vector<RankReport>> m_history;
    std::vector<std::unique_ptr<Driver>> m_drivers; ///< the last owner is the last
    std::uint64_t m_pass = 10;
    std::uint64_t m_term = 1;
    unsigned m_step = 0;
    unsigned m_switches = 0;
    unsigned m_stalled = 0;
    bool m_calm = false;
    std::string m_violation;
};

} // namespace fulmarlink::testing
