#include "testing/harness/rankgroupsimulation.h"

#include <algorithm>

namespace fulmarlink::testing
{

struct RankGroupSimulation::Rank {
    std::uint64_t mapVersion = 0;
    std::uint64_t preparedVersion = 0;
    std::uint64_t highestVersion = 0; ///< highest version that it has prepared
    unsigned copyDoneStep = 0; ///< step at which the copy of the prepared map is complete
    std::uint64_t armedVersion = 0;
    std::uint64_t armedPass = 0;
    std::optional<std::uint64_t> heldPass;
};

struct RankGroupSimulation::DelayedOrder {
    unsigned due = 0;
    AddressedOrder order;
};

struct RankGroupSimulation::Driver {
    GroupSwitch groupSwitch;
    std::uint64_t term = 0;
    std::uint64_t versionCount = 0;
    unsigned pausedUntil = 0;
    unsigned lastRenewal = 0; ///< step at which it last renewed its lease
    bool owner = true;
    bool finished = false;
    bool actsAfterExpiry = false; ///< paused between checking its lease and acting, so it sends one more order
};

RankGroupSimulation::RankGroupSimulation(RankGroupSimulationOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_ranks(options.ranks)
{
    auto first = std::make_unique<Driver>();
    first->term = m_term;
    m_drivers.push_back(std::move(first));
    recordReports();
}

RankGroupSimulation::~RankGroupSimulation() = default;

bool RankGroupSimulation::chance(unsigned percent)
{
    return m_random() % 100 < percent;
}

unsigned RankGroupSimulation::randomBelow(unsigned bound)
{
    return static_cast<unsigned>(m_random() % bound);
}

unsigned RankGroupSimulation::switches() const
{
    return m_switchCount;
}

unsigned RankGroupSimulation::stalledSteps() const
{
    return m_stalledSteps;
}

bool RankGroupSimulation::canBeginPass() const
{
    return std::ranges::none_of(m_ranks, [&](const Rank &rank) {
        return rank.heldPass == m_pass + 1;
    });
}

void RankGroupSimulation::beginPass()
{
    ++m_pass;
    for (Rank &rank : m_ranks) {
        if (rank.armedVersion == 0 || rank.armedPass != m_pass) {
            continue;
        }
        rank.mapVersion = rank.armedVersion;
        rank.armedVersion = 0;
        rank.preparedVersion = 0;
    }
    const bool sameMap = std::ranges::all_of(m_ranks, [&](const Rank &rank) {
        return rank.mapVersion == m_ranks.front().mapVersion;
    });
    if (!sameMap && m_violation.empty()) {
        m_violation = "pass " + std::to_string(m_pass) + " began with two maps at step " + std::to_string(m_step);
    }
}

OrderResult RankGroupSimulation::execute(const AddressedOrder &addressed)
{
    Rank &rank = m_ranks[addressed.rank];
    const RankOrder &order = addressed.order;
    bool accepted = false;
    switch (order.kind) {
    case RankOrderKind::Prepare:
        accepted = rank.armedVersion == 0 && (order.version > rank.highestVersion || order.version == rank.preparedVersion);
        if (accepted && order.version != rank.preparedVersion) {
            rank.preparedVersion = order.version;
            rank.highestVersion = order.version;
            rank.copyDoneStep = m_step + randomBelow(6);
        }
        break;
    case RankOrderKind::Arm:
        accepted = order.pass > m_pass && rank.preparedVersion == order.version && m_step >= rank.copyDoneStep;
        if (accepted) {
            rank.armedVersion = order.version;
            rank.armedPass = order.pass;
        }
        break;
    case RankOrderKind::Hold:
        accepted = order.pass > m_pass && (!rank.heldPass || rank.heldPass == order.pass);
        if (accepted) {
            rank.heldPass = order.pass;
        }
        break;
    case RankOrderKind::Release:
        accepted = rank.heldPass == order.pass;
        if (accepted) {
            rank.heldPass.reset();
        }
        break;
    }
    return accepted ? OrderResult::Accepted : OrderResult::Refused;
}

OrderResult RankGroupSimulation::send(const AddressedOrder &order)
{
    if (!m_faultFree && chance(m_options.delayedPercent)) {
        m_delayedOrders.push_back({m_step + 1 + randomBelow(120), order});
        return OrderResult::Unknown;
    }
    const OrderResult result = execute(order);
    return !m_faultFree && chance(m_options.lostReplyPercent) ? OrderResult::Unknown : result;
}

void RankGroupSimulation::recordReports()
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
        report.mapVersion = rank.mapVersion;
        report.preparedVersion = m_step >= rank.copyDoneStep ? rank.preparedVersion : 0;
        report.armedVersion = rank.armedVersion;
        report.armedPass = rank.armedPass;
        report.heldPass = rank.heldPass;
        now.push_back(report);
    }
    m_history.push_front(std::move(now));
    if (m_history.size() > m_options.maxReportAge + 1) {
        m_history.pop_back();
    }
}

/** One report of each rank, each up to @p age steps old, independently of the others. */
std::vector<RankReport> RankGroupSimulation::reports(unsigned age)
{
    std::vector<RankReport> result;
    for (unsigned rank = 0; rank < m_options.ranks; ++rank) {
        const std::size_t stepsBack = std::min<std::size_t>(randomBelow(age + 1), m_history.size() - 1);
        result.push_back(m_history[stepsBack][rank]);
    }
    return result;
}

/** Lets a driver send one order, read reports once, or make one decision. */
void RankGroupSimulation::stepDriver(Driver &driver)
{
    GroupSwitch &groupSwitch = driver.groupSwitch;
    if (groupSwitch.needsPass()) {
        groupSwitch.observe(reports(0));
        if (groupSwitch.needsPass()) {
            groupSwitch.holdAt(m_pass + 1 + randomBelow(4));
        }
        return;
    }
    const auto orders = groupSwitch.pendingOrders();
    if (orders.empty()) {
        if (chance(50)) {
            groupSwitch.assumePrepared();
        } else {
            groupSwitch.observe(reports(0)); // up-to-date reports, as if read after the last order and the lag of reports
        }
        return;
    }
    const AddressedOrder &order = orders[randomBelow(static_cast<unsigned>(orders.size()))];
    const SwitchPhase phase = groupSwitch.phase();
    groupSwitch.recordResult(order.rank, send(order));
    m_switchCount += phase == SwitchPhase::Release && groupSwitch.phase() == SwitchPhase::Idle ? 1 : 0;
}

void RankGroupSimulation::stepDrivers()
{
    for (const auto &driver : m_drivers) {
        if (driver->finished || m_step < driver->pausedUntil) {
            continue;
        }
        const bool leaseExpired = driver->owner && m_step - driver->lastRenewal > m_options.leaseSteps && driver != m_drivers.back();
        if (leaseExpired) {
            if (driver->actsAfterExpiry && driver->groupSwitch.phase() != SwitchPhase::Idle && !driver->groupSwitch.needsPass()) {
                stepDriver(*driver);
            }
            driver->finished = true;
            continue;
        }
        driver->lastRenewal = m_step;
        if (driver->groupSwitch.phase() != SwitchPhase::Idle) {
            stepDriver(*driver);
        } else if (!driver->owner) {
            driver->finished = true;
        } else if (!driver->groupSwitch.recover(reports(0), true) && chance(30)) {
            driver->groupSwitch.begin(m_options.ranks, 1, driver->term * 1000 + ++driver->versionCount, {});
        }
        if (driver->owner && chance(3)) {
            driver->pausedUntil = m_step + randomBelow(3 * m_options.leaseSteps);
            driver->actsAfterExpiry = chance(50);
        }
    }
}

void RankGroupSimulation::addHelper()
{
    auto helper = std::make_unique<Driver>();
    helper->owner = false;
    if (helper->groupSwitch.recover(reports(m_options.maxReportAge), false)) {
        m_drivers.insert(m_drivers.begin(), std::move(helper));
    }
}

/** Adds a new leader once the last one has not renewed for longer than its lease. */
void RankGroupSimulation::replaceExpiredOwner()
{
    if (m_step < m_drivers.back()->lastRenewal + m_options.leaseSteps + 10) {
        return;
    }
    auto next = std::make_unique<Driver>();
    next->term = ++m_term;
    next->lastRenewal = m_step;
    m_drivers.push_back(std::move(next));
}

void RankGroupSimulation::runWithoutFaults()
{
    m_faultFree = true;
    for (const DelayedOrder &delayed : m_delayedOrders) {
        execute(delayed.order);
        recordReports();
    }
    m_delayedOrders.clear();
    Driver last;
    for (unsigned i = 0; i < 400; ++i) {
        ++m_step;
        recordReports();
        if (last.groupSwitch.phase() == SwitchPhase::Idle && !last.groupSwitch.recover(reports(0), true) && canBeginPass()) {
            beginPass();
            continue;
        }
        if (last.groupSwitch.phase() != SwitchPhase::Idle) {
            stepDriver(last);
        }
    }
    if (!canBeginPass() && m_violation.empty()) {
        m_violation = "the group never begins pass " + std::to_string(m_pass + 1);
    }
}

std::string RankGroupSimulation::run()
{
    while (m_step < m_options.steps && m_violation.empty()) {
        ++m_step;
        std::erase_if(m_delayedOrders, [&](const DelayedOrder &delayed) {
            if (delayed.due > m_step) {
                return false;
            }
            execute(delayed.order);
            return true;
        });
        if (chance(25)) {
            canBeginPass() ? beginPass() : void(++m_stalledSteps);
        }
        recordReports();
        stepDrivers();
        replaceExpiredOwner();
        if (!canBeginPass() && chance(10)) {
            addHelper();
        }
    }
    if (m_violation.empty()) {
        runWithoutFaults();
    }
    return m_violation;
}

} // namespace fulmarlink::testing
