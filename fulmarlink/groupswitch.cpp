// Why no pass begins with two maps. A rank changes its map only at the start of the pass P for
// which it is armed. Arm orders for (V, P) are sent only after every rank has prepared V and
// while one rank holds P; the release of P is sent only after every rank has confirmed that it
// is armed for (V, P). So all ranks change to V when P begins.
//
// Delayed orders. An arm or hold order for P is refused once P has begun, and before that it
// repeats the present state. A delayed release of P finds no hold, since P is held only once. A
// prepare order for an older version than the rank has already had is refused. A version is
// unique to a leader's term, so it identifies the content of one map.
//
// Concurrent drivers. A new leader that finds P held arms the version that all ranks have
// prepared, as the previous leader would have; an arm order that the previous leader still sends
// is identical. So any host may complete a switch at any time, even while the leader is active,
// and stale reports only lead to orders that are refused. The pass is released without arming
// only if some rank has not prepared, and only after the leader's lease has ended. The loss of a
// rank ends the epoch and discards everything that was prepared, armed or held.

#include "fulmarlink/groupswitch.h"

#include <algorithm>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

std::string_view switchPhaseName(SwitchPhase phase)
{
    switch (phase) {
    case SwitchPhase::Idle:
        return "idle";
    case SwitchPhase::Prepare:
        return "prepare";
    case SwitchPhase::Hold:
        return "hold";
    case SwitchPhase::Arm:
        return "arm";
    case SwitchPhase::Release:
        return "go";
    }
    return "";
}

bool groupSettled(const std::vector<RankReport> &reports)
{
    return !reports.empty() && std::ranges::all_of(reports, [&](const RankReport &report) {
        const RankReport &first = reports.front();
        return report.open && report.epoch == first.epoch && report.mapVersion == first.mapVersion && report.armedVersion == 0 && !report.heldPass;
    });
}

void GroupSwitch::begin(unsigned ranks, std::uint64_t epoch, std::uint64_t version, GroupMap map)
{
    m_ranks.assign(ranks, Rank());
    m_epoch = epoch;
    m_version = version;
    m_map = std::move(map);
    m_holder = 0;
    m_pass = 0;
    m_recovering = false;
    enter(SwitchPhase::Prepare);
}

bool GroupSwitch::recover(const std::vector<RankReport> &reports, bool leaderGone)
{
    m_phase = SwitchPhase::Idle;
    const auto held = std::ranges::find_if(reports, [](const RankReport &report) {
        return report.heldPass.has_value();
    });
    const auto armed = std::ranges::find_if(reports, [](const RankReport &report) {
        return report.armedVersion != 0;
    });
    const auto armedRanks = std::ranges::count_if(reports, [](const RankReport &report) {
        return report.armedVersion != 0;
    });
    const bool isHeld = held != reports.end();
    if (!isHeld && (armedRanks == 0 || armedRanks == static_cast<std::ptrdiff_t>(reports.size()))) {
        return false;
    }
    m_ranks.assign(reports.size(), Rank());
    m_epoch = reports.front().epoch;
    m_version = armed != reports.end() ? armed->armedVersion : reports.front().preparedVersion;
    m_pass = isHeld ? *held->heldPass : armed->armedPass;
    m_holder = isHeld ? static_cast<unsigned>(held - reports.begin()) : 0;
    const bool prepared = m_version != 0 && std::ranges::all_of(reports, [&](const RankReport &report) {
                              return report.preparedVersion == m_version || report.armedVersion == m_version || report.mapVersion == m_version;
                          });
    const bool leaderInactive = leaderGone || mutated(Mutation::LetGoBesideOwner);
    if (isHeld && !prepared && (!leaderInactive || armedRanks > 0)) {
        return false; // the leader may be about to arm, or a rank was lost, which ends the epoch
    }
    m_recovering = true;
    if (!isHeld) {
        enter(SwitchPhase::Hold); // prevents the pass from beginning before every rank is armed
    } else {
        enter(prepared ? SwitchPhase::Arm : SwitchPhase::Release);
    }
    observe(reports);
    return m_phase != SwitchPhase::Idle;
}

void GroupSwitch::holdAt(std::uint64_t pass)
{
    m_pass = pass;
    m_needsPass = false;
    m_ranks[m_holder].awaitsReport = false;
    if (mutated(Mutation::ArmUnheld)) {
        enter(SwitchPhase::Arm);
    }
}

void GroupSwitch::enter(SwitchPhase phase)
{
    m_phase = phase;
    m_needsPass = phase == SwitchPhase::Hold && m_pass == 0;
    for (Rank &rank : m_ranks) {
        rank.done = false;
        rank.awaitsReport = false;
        rank.accepted = false;
        rank.refusals = 0;
    }
}

bool GroupSwitch::participates(unsigned rank) const
{
    return (m_phase != SwitchPhase::Hold && m_phase != SwitchPhase::Release) || rank == m_holder;
}

RankOrder GroupSwitch::orderFor() const
{
    RankOrder order;
    order.epoch = m_epoch;
    order.version = m_version;
    order.pass = m_pass;
    switch (m_phase) {
    case SwitchPhase::Idle:
        break;
    case SwitchPhase::Prepare:
        order.kind = RankOrderKind::Prepare;
        order.map = m_map;
        break;
    case SwitchPhase::Hold:
        order.kind = RankOrderKind::Hold;
        break;
    case SwitchPhase::Arm:
        order.kind = RankOrderKind::Arm;
        break;
    case SwitchPhase::Release:
        order.kind = RankOrderKind::Release;
        break;
    }
    return order;
}

std::vector<AddressedOrder> GroupSwitch::pendingOrders() const
{
    std::vector<AddressedOrder> result;
    if (m_phase == SwitchPhase::Idle || m_needsPass) {
        return result;
    }
    const RankOrder order = orderFor();
    for (unsigned rank = 0; rank < m_ranks.size(); ++rank) {
        const Rank &state = m_ranks[rank];
        if (state.done || state.awaitsReport || !participates(rank)) {
            continue;
        }
        result.push_back({rank, order});
    }
    return result;
}

void GroupSwitch::recordResult(unsigned rank, OrderResult result)
{
    Rank &state = m_ranks[rank];
    switch (result) {
    case OrderResult::Accepted:
        state.accepted = true;
        state.done = m_phase != SwitchPhase::Prepare;
        state.awaitsReport = m_phase == SwitchPhase::Prepare; // copying takes time; only the report shows when it is complete
        break;
    case OrderResult::Unknown:
        break; // the order is sent again
    case OrderResult::Refused:
        if (m_recovering && m_phase == SwitchPhase::Hold) {
            m_phase = SwitchPhase::Idle; // the pass has begun, so every rank was already armed for it
            return;
        }
        m_needsPass = m_phase == SwitchPhase::Hold;
        state.awaitsReport = m_phase != SwitchPhase::Arm || ++state.refusals >= kMaxArmRefusals;
        break;
    }
    advance();
}

void GroupSwitch::observeRank(Rank &rank, const RankReport &report)
{
    rank.awaitsReport = false;
    rank.refusals = 0;
    switch (m_phase) {
    case SwitchPhase::Idle:
        break;
    case SwitchPhase::Prepare:
        rank.done = report.preparedVersion == m_version;
        rank.awaitsReport = !rank.done && rank.accepted;
        break;
    case SwitchPhase::Hold:
        rank.done = report.heldPass == m_pass;
        break;
    case SwitchPhase::Arm:
        rank.done = (report.armedVersion == m_version && report.armedPass == m_pass) || report.mapVersion == m_version;
        break;
    case SwitchPhase::Release:
        rank.done = !report.heldPass;
        break;
    }
}

void GroupSwitch::observe(const std::vector<RankReport> &reports)
{
    if (m_phase == SwitchPhase::Idle) {
        return;
    }
    const bool sameGroup = reports.size() == m_ranks.size() && std::ranges::all_of(reports, [&](const RankReport &report) {
                               return report.epoch == m_epoch;
                           });
    const bool otherSwitchActive = m_phase == SwitchPhase::Prepare && std::ranges::any_of(reports, [](const RankReport &report) {
                                       return report.armedVersion != 0 || report.heldPass;
                                   });
    const bool superseded = std::ranges::any_of(reports, [&](const RankReport &report) {
        return report.mapVersion > m_version && m_version != 0;
    });
    if (!sameGroup || otherSwitchActive || superseded) {
        m_phase = SwitchPhase::Idle;
        return;
    }
    if (m_phase == SwitchPhase::Hold && reports[m_holder].heldPass) {
        m_pass = *reports[m_holder].heldPass; // a delayed hold order took effect; a rank has one hold at a time
        m_needsPass = false;
    }
    for (unsigned rank = 0; rank < m_ranks.size(); ++rank) {
        observeRank(m_ranks[rank], reports[rank]);
    }
    advance();
}

bool GroupSwitch::allDone() const
{
    if (m_phase == SwitchPhase::Arm && mutated(Mutation::GoUnarmed)) {
        return completedRanks() > 0;
    }
    for (unsigned rank = 0; rank < m_ranks.size(); ++rank) {
        if (participates(rank) && !m_ranks[rank].done) {
            return false;
        }
    }
    return true;
}

void GroupSwitch::advance()
{
    if (!allDone()) {
        return;
    }
    switch (m_phase) {
    case SwitchPhase::Idle:
        break;
    case SwitchPhase::Prepare:
        enter(SwitchPhase::Hold);
        break;
    case SwitchPhase::Hold:
        enter(SwitchPhase::Arm);
        break;
    case SwitchPhase::Arm:
        enter(SwitchPhase::Release);
        break;
    case SwitchPhase::Release:
        m_phase = SwitchPhase::Idle;
        break;
    }
}

SwitchPhase GroupSwitch::phase() const
{
    return m_phase;
}

bool GroupSwitch::needsReports() const
{
    return m_phase != SwitchPhase::Idle && !m_needsPass && pendingOrders().empty();
}

void GroupSwitch::assumePrepared()
{
    if (m_phase != SwitchPhase::Prepare || !std::ranges::all_of(m_ranks, &Rank::accepted)) {
        return;
    }
    enter(SwitchPhase::Hold);
}

bool GroupSwitch::needsPass() const
{
    return m_needsPass;
}

std::uint64_t GroupSwitch::version() const
{
    return m_version;
}

std::uint64_t GroupSwitch::pass() const
{
    return m_pass;
}

unsigned GroupSwitch::completedRanks() const
{
    return static_cast<unsigned>(std::ranges::count_if(m_ranks, &Rank::done));
}

} // namespace fulmarlink
