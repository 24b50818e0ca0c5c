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
    unsigned delayedPercent = 20; ///< percent of orders that get no answer and are executed later
    unsigned lostReplyPercent = 10; ///< percent of the orders executed at once whose answer is lost
    unsigned maxReportAge = 8; ///< in steps; the reports of one read differ in age
    unsigned leaseSteps = 60; ///< a leader that is paused for more steps than this is replaced
    std::uint64_t seed = 1;
};

/**
 * Randomized simulation of a rank group whose ranks behave like the platform's engines, with
 * leaders that are paused and replaced, helpers that act on stale reports, and orders that are
 * lost or delayed. Checks that no pass begins with two maps, and that the group makes progress
 * once the faults stop.
 */
class RankGroupSimulation
{
public:
    explicit RankGroupSimulation(RankGroupSimulationOptions options);
    ~RankGroupSimulation();

    /** Runs all steps, then a phase without faults. Returns the first violation, or an empty string. */
    std::string run();
    unsigned switches() const;
    unsigned stalledSteps() const;

private:
    struct Rank;
    struct Driver;
    struct DelayedOrder;

    bool chance(unsigned percent);
    unsigned randomBelow(unsigned bound);
    OrderResult execute(const AddressedOrder &order);
    OrderResult send(const AddressedOrder &order);
    void beginPass();
    bool canBeginPass() const;
    std::vector<RankReport> reports(unsigned age);
    void recordReports();
    void stepDriver(Driver &driver);
    void stepDrivers();
    void addHelper();
    void replaceExpiredOwner();
    void runWithoutFaults();

    RankGroupSimulationOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Rank> m_ranks;
    std::vector<DelayedOrder> m_delayedOrders;
    std::deque<std::vector<RankReport>> m_history;
    std::vector<std::unique_ptr<Driver>> m_drivers; ///< the present leader is the last element
    std::uint64_t m_pass = 10;
    std::uint64_t m_term = 1;
    unsigned m_step = 0;
    unsigned m_switchCount = 0;
    unsigned m_stalledSteps = 0;
    bool m_faultFree = false;
    std::string m_violation;
};

} // namespace fulmarlink::testing
