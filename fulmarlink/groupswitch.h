#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "fulmarlink/rankorders.h"

namespace fulmarlink
{

enum class SwitchPhase : std::uint8_t {
    Idle,
    Prepare, ///< every rank copies the experts of the new map
    Hold, ///< one rank delays the start of a pass
    Arm, ///< every rank is told to switch at the start of that pass
    Release, ///< the held pass may begin
};

std::string_view switchPhaseName(SwitchPhase phase);

/** An order and the rank that it is sent to. */
struct AddressedOrder {
    unsigned rank = 0;
    RankOrder order;
};

/**
 * State machine that switches the expert map of a rank group so that no pass begins with two maps.
 *
 * The steps: prepare the map on every rank; hold, on one rank, a pass that has not begun; arm
 * every rank for that pass; release the pass once every rank is armed. Until then the group at
 * worst waits before the held pass, so it never begins that pass with only some ranks armed.
 *
 * Orders may take effect seconds late, or come from a leader that has been replaced. Engines
 * don't number these orders, so a newer order can't invalidate an older one. Delayed orders are
 * harmless because state only moves forward: versions are unique to a leader's term, a pass that
 * has begun can no longer be held or armed, and a new leader completes the switch that it finds.
 * The head of groupswitch.cpp has the full argument.
 *
 * Usage: call begin() with a plan, or recover() after taking over. Then, until the phase is
 * Idle, send the pendingOrders() and pass each answer to recordResult(). When needsReports(),
 * call observe() with reports that were read after the last order and the lag of reports.
 *
 * No I/O and no clock; not thread-safe; copyable.
 */
class GroupSwitch
{
public:
    /**
     * Arm orders that a rank may refuse in a row before its report is read. While the pass is held they are resent every 15 ms, so this many
     * span the age of a report: a copy that is still missing by then is not in progress.
     */
    static constexpr unsigned kMaxArmRefusals = 18;

    /** Begins a switch of a group whose ranks all use one map, with nothing armed or held. @p version must be higher than all earlier ones. */
    void begin(unsigned ranks, std::uint64_t epoch, std::uint64_t version, GroupMap map);
    /**
     * Completes the switch that the reports (of all ranks, in rank order) show in progress; safe while its leader is still active.
     * @p leaderGone: no other host can be driving the switch. Returns false if there is nothing to do.
     */
    bool recover(const std::vector<RankReport> &reports, bool leaderGone);
    /**
     * Leaves the phase Prepare, if every rank has accepted its order, on the assumption that all have finished copying. A rank
     * refuses arm orders until its copy is complete, with the pass held meanwhile.
     */
    void assumePrepared();
    /** Sets the pass to hold, once every rank has prepared; @p pass must not have begun. */
    void holdAt(std::uint64_t pass);

    std::vector<AddressedOrder> pendingOrders() const;
    void recordResult(unsigned rank, OrderResult result);
    /** Updates the state from the reports of all ranks, in rank order. */
    void observe(const std::vector<RankReport> &reports);

    SwitchPhase phase() const;
    /** True if no order is pending and only new reports, or assumePrepared(), can advance the switch. */
    bool needsReports() const;
    /** True if a pass to hold must be chosen with holdAt(), at first or because the last one had already begun. */
    bool needsPass() const;
    std::uint64_t version() const;
    std::uint64_t pass() const;
    /** Number of ranks that have completed the phase. */
    unsigned completedRanks() const;

private:
    struct Rank {
        bool done = false; ///< it has completed the phase
        bool accepted = false; ///< it has accepted the order of the phase
        unsigned refusals = 0; ///< consecutive refusals of the order of the phase
        bool awaitsReport = false; ///< no order is sent to it until its report has been read
    };

    void enter(SwitchPhase phase);
    void advance();
    bool allDone() const;
    RankOrder orderFor() const;
    bool participates(unsigned rank) const;
    void observeRank(Rank &rank, const RankReport &report);

    SwitchPhase m_phase = SwitchPhase::Idle;
    std::vector<Rank> m_ranks;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_pass = 0;
    unsigned m_holder = 0; ///< the rank that holds the pass
    bool m_needsPass = false;
    bool m_recovering = false;
    GroupMap m_map;
};

/** True if all reports are from one epoch of an open group, with one map and nothing armed or held. */
bool groupSettled(const std::vector<RankReport> &reports);

} // namespace fulmarlink
