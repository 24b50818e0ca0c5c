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
    Prepare, ///< every rank copies the new map's experts
    Hold, ///< one rank holds a pass back
    Arm, ///< every rank is told to switch as that pass begins
    Release, ///< the pass is let go
};

std::string_view switchPhaseName(SwitchPhase phase);

/** An order for one rank. */
struct AddressedOrder {
    unsigned rank = 0;
    RankOrder order;
};

/**
 * Switches a group's expert map so that no pass begins with two maps.
 *
 * Prepare everywhere; hold a pass that has not begun on one rank; arm every rank for
 * that pass; let it go when every rank is armed. Until then the group stands before the
 * held pass at the worst, so it never begins that pass with some ranks armed.
 *
 * Orders may be carried out seconds late, or by an owner that was replaced; the engines
 * don't count these orders, so an order can't be made void by a newer one. What keeps a late
 * order harmless is that everything goes forward only: versions are unique to an owner's
 * term, a pass that has begun can't be held or armed any more, and whoever takes over
 * finishes the switch that it finds. See the head of groupswitch.cpp.
 *
 * How to use: begin() with a plan, or recover() after taking over; then send what
 * orders() gives, feed each result(), and, when needsReports(), observe() reports that
 * were read after the last order's time and the reports' lag. reach() the phase Idle.
 *
 * Contract: pure; not thread-safe; copyable.
 */
class GroupSwitch
{
public:
    /**
     * Arm orders that a rank may refuse before its report is read. They are sent again each 15 ms while the pass is held, so this is the age of a
     * report: a copy that is later than that is not on its way.
     */
    static constexpr unsigned kMaxArmRefusals = 18;

    /** Begins a switch of a group whose ranks all use one map, with nothing armed or held. @p version is higher than any before. */
    void begin(unsigned ranks, std::uint64_t epoch, std::uint64_t version, GroupMap map);
    /**
     * Finishes what the reports, of all ranks in rank order, show as under way; beside its owner too.
     * @p ownerGone: nobody else may be driving it. False if there is nothing to do.
     */
    bool recover(const std::vector<RankReport> &reports, bool ownerGone);
    /**
     * The copies of all ranks must be there by now. Arm orders find out: a rank refuses
     * them until its copy is there, while the pass is held.
     */
    void assumePrepared();
    /** A pass to hold at, once every rank has prepared; @p pass has not begun. */
    void holdAt(std::uint64_t pass);

    std::vector<AddressedOrder> pendingOrders() const;
    void recordResult(unsigned rank, OrderResult result);
    /** Reports of all ranks in rank order. */
    void observe(const std::vector<RankReport> &reports);

    SwitchPhase phase() const;
    /** Orders alone don't lead on: reports must be read. */
    bool needsReports() const;
    /** The held pass was refused as begun: holdAt() a later one. */
    bool needsPass() const;
    std::uint64_t version() const;
    std::uint64_t pass() const;
    /** Ranks whose part of the phase is done. */
    unsigned completedRanks() const;

private:
    struct Rank {
        bool done = false; ///< its part of the phase
        bool accepted = false; ///< it has taken the phase's order
        unsigned refusals = 0; ///< of the phase's order, in a row
        bool stuck = false; ///< only its report tells how it goes on
    };

    void enter(SwitchPhase phase);
    void advance();
    bool allDone() const;
    RankOrder orderFor() const;
    bool takesPart(unsigned rank) const;
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

/** True if all reports are of one open group's epoch with one map and nothing armed or held. */
bool groupSettled(const std::vector<RankReport> &reports);

} // namespace fulmarlink
