#include "testing/harness/rankgroupsimulation.h"

#include <algorithm>

namespace fulmarlink::testing
{

struct RankGroupSimulation::Rank {
    std::uint64_t map = 0;
    std::uint64_t prepared = 0;
    std::uint64_t highest = 0; ///< version that it has had
    unsigned copyEnds = 0; ///< step at which the copy of prepared is there
    std::uint64_t armed = 0;
    std::uint64_t armedPass = 0;
    std::optional<std::uint64_t> held;
};

struct RankGroupSimulation::LateOrder {
    unsigned due = 0;
    AddressedOrder order;
};

struct RankGroupSimulation::Driver {
    GroupSwitch change;
    std::uint64_t term = 0;
    std::uint64_t versions = 0;
    unsigned pausedUntil = 0;
    unsigned acted = 0; ///< step of its last renewal
    bool owner = true;
    bool over = false;
    bool oneMore = false; ///< it has checked its lease and then was paused: one order still goes out
};

RankGroupSimulation::RankGroupSimulation(RankGroupSimulationOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_ranks(options.ranks)
{
    auto first = std::make_unique<Driver>();
    first->term = m_term;
    m_drivers.push_back(std::move(first));
    remember();
}

RankGroupSimulation::~RankGroupSimulation() = default;

bool RankGroupSimulation::chance(unsigned percent)
{
    return m_random() % 100 < percent;
}

unsigned RankGroupSimulation::pick(unsigned bound)
{
    return static_cast<unsigned>(m_random() % bound);
}

unsigned RankGroupSimulation::switches() const
{
    return m_switches;
}

unsigned RankGroupSimulation::stalledSteps() const
{
    return m_stalled;
}

bool RankGroupSimulation::canBegin() const
{
    return std::ranges::none_of(m_ranks, [&](const Rank &rank) {
        return rank.held == m_pass + 1;
    });
}

void RankGroupSimulation::beginPass()
{
    ++m_pass;
    for (Rank &rank : m_ranks) {
        if (rank.armed == 0 || rank.armedPass != m_pass) {
            continue;
        }
        rank.map = rank.armed;
        rank.armed = 0;
        rank.prepared = 0;
    }
    const bool same = std::ranges::all_of(m_ranks, [&](const Rank &rank) {
        return rank.map == m_ranks.front().map;
    });
    if (!same && m_violation.empty()) {
        m_violation = "pass " + std::to_string(m_pass) + " began with two maps at step " + std::to_string(m_step);
    }
}

OrderResult RankGroupSimulation::execute(const AddressedOrder &addressed)
{
    Rank &rank = m_ranks[addressed.rank];
    const RankOrder &order = addressed.order;
    bool fits = false;
    switch (order.kind) {
    case RankOrderKind::Prepare:
        fits = rank.armed == 0 && (order.version > rank.highest || order.version == rank.prepared);
        if (fits && order.version != rank.prepared) {
            rank.prepared = order.version;
            rank.highest = order.version;
            rank.copyEnds = m_step + pick(6);
        }
        break;
    case RankOrderKind::Arm:
        fits = order.pass > m_pass && rank.prepared == order.version && m_step >= rank.copyEnds;
        if (fits) {
            rank.armed = order.version;
            rank.armedPass = order.pass;
        }
        break;
    case RankOrderKind::Hold:
        fits = order.pass > m_pass && (!rank.held || rank.held == order.pass);
        if (fits) {
            rank.held = order.pass;
        }
        break;
    case RankOrderKind::Release:
        fits = rank.held == order.pass;
        if (fits) {
            rank.held.reset();
        }
        break;
    }
    return fits ? OrderResult::Accepted : OrderResult::Refused;
}

OrderResult RankGroupSimulation::send(const AddressedOrder &order)
{
    if (!m_calm && chance(m_options.delayedPercent)) {
        m_late.push_back({m_step + 1 + pick(120), order});
        return OrderResult::Unknown;
    }
    const OrderResult result = execute(order);
    return !m_calm && chance(m_options.lostReplyPercent) ? OrderResult::Unknown : result;
}

void RankGroupSimulation::remember()
{
    std::vector<RankReport> now;
    for (const Rank &rank : m_ranks) {
        RankReport report;
        report.group = "g";
        report.epoch = 1;
        report.open = true;
        report.size = m_options.ranks;
        report.rank = static_cast<unsigned>(now.size());
        report.pass = m_pass;
        report.map = rank.map;
        report.prepared = m_step >= rank.copyEnds ? rank.prepared : 0;
        report.armed = rank.armed;
        report.armedPass = rank.armedPass;
        report.heldPass = rank.held;
        now.push_back(report);
    }
    m_history.push_front(std::move(now));
    if (m_history.size() > m_options.maxReportAge + 1) {
        m_history.pop_back();
    }
}

/** Each rank's report is up to @p age steps old. */
std::vector<RankReport> RankGroupSimulation::reports(unsigned age)
{
    std::vector<RankReport> result;
    for (unsigned rank = 0; rank < m_options.ranks; ++rank) {
        const std::size_t back = std::min<std::size_t>(pick(age + 1), m_history.size() - 1);
        result.push_back(m_history[back][rank]);
    }
    return result;
}

/** One order, one read of reports, or one decision. */
void RankGroupSimulation::act(Driver &driver)
{
    GroupSwitch &change = driver.change;
    if (change.needsPass()) {
        change.observe(reports(0));
        if (change.needsPass()) {
            change.holdAt(m_pass + 1 + pick(4));
        }
        return;
    }
    const auto orders = change.pendingOrders();
    if (orders.empty()) {
        if (chance(50)) {
            change.assumePrepared();
        } else {
            change.observe(reports(0)); // read after the last order's time and the reports' lag
        }
        return;
    }
    const AddressedOrder &order = orders[pick(static_cast<unsigned>(orders.size()))];
    const SwitchPhase phase = change.phase();
    change.recordResult(order.rank, send(order));
    m_switches += phase == SwitchPhase::Release && change.phase() == SwitchPhase::Idle ? 1 : 0;
}

void RankGroupSimulation::lead()
{
    for (const auto &driver : m_drivers) {
        if (driver->over || m_step < driver->pausedUntil) {
            continue;
        }
        const bool lapsed = driver->owner && m_step - driver->acted > m_options.leaseSteps && driver != m_drivers.back();
        if (lapsed) {
            if (driver->oneMore && driver->change.phase() != SwitchPhase::Idle && !driver->change.needsPass()) {
                act(*driver);
            }
            driver->over = true;
            continue;
        }
        driver->acted = m_step;
        if (driver->change.phase() != SwitchPhase::Idle) {
            act(*driver);
        } else if (!driver->owner) {
            driver->over = true;
        } else if (!driver->change.recover(reports(0), true) && chance(30)) {
            driver->change.begin(m_options.ranks, 1, driver->term * 1000 + ++driver->versions, {});
        }
        if (driver->owner && chance(3)) {
            driver->pausedUntil = m_step + pick(3 * m_options.leaseSteps);
            driver->oneMore = chance(50);
        }
    }
}

void RankGroupSimulation::help()
{
    auto helper = std::make_unique<Driver>();
    helper->owner = false;
    if (helper->change.recover(reports(m_options.maxReportAge), false)) {
        m_drivers.insert(m_drivers.begin(), std::move(helper));
    }
}

/** A new owner once the last one has been silent for longer than its lease. */
void RankGroupSimulation::replaceOwner()
{
    if (m_step < m_drivers.back()->acted + m_options.leaseSteps + 10) {
        return;
    }
    auto next = std::make_unique<Driver>();
    next->term = ++m_term;
    next->acted = m_step;
    m_drivers.push_back(std::move(next));
}

void RankGroupSimulation::calmDown()
{
    m_calm = true;
    for (const LateOrder &late : m_late) {
        execute(late.order);
        remember();
    }
    m_late.clear();
    Driver last;
    for (unsigned i = 0; i < 400; ++i) {
        ++m_step;
        remember();
        if (last.change.phase() == SwitchPhase::Idle && !last.change.recover(reports(0), true) && canBegin()) {
            beginPass();
            continue;
        }
        if (last.change.phase() != SwitchPhase::Idle) {
            act(last);
        }
    }
    if (!canBegin() && m_violation.empty()) {
        m_violation = "the group stands still for ever before pass " + std::to_string(m_pass + 1);
    }
}

std::string RankGroupSimulation::run()
{
    while (m_step < m_options.steps && m_violation.empty()) {
        ++m_step;
        std::erase_if(m_late, [&](const LateOrder &late) {
            if (late.due > m_step) {
                return false;
            }
            execute(late.order);
            return true;
        });
        if (chance(25)) {
            canBegin() ? beginPass() : void(++m_stalled);
        }
        remember();
        lead();
        replaceOwner();
        if (!canBegin() && chance(10)) {
            help();
        }
    }
    if (m_violation.empty()) {
        calmDown();
    }
    return m_violation;
}

} // namespace fulmarlink::testing
