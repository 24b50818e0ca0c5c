// A version is generation * kVersionsPerGeneration + counter, so all versions of a newer
// coordinator are higher than those of an older one.
//
// Recovery. By answering a query of the new generation, a rank also fences itself against
// the older coordinator, so a rank that reports "not armed" will never be armed by the
// older one. Once all ranks have answered, the outcome of the older attempt is therefore
// fixed: committed if any rank has committed or all ranks are armed, otherwise aborted.
// The coordinator sends this outcome to all ranks.

#include "fulmarlink/mapswitchcoordinator.h"

#include <algorithm>
#include <boost/mpl/vector/vector20.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "fulmarlink/mutation.h"
#include "fulmarlink/phasemachine.h"

namespace fulmarlink
{

namespace
{

namespace msm = boost::msm;
using boost::msm::front::none;
using boost::msm::front::Row;

constexpr MapVersion kVersionsPerGeneration = 1U << 20;
constexpr std::uint32_t kCoordinatorRank = 0xffffffff; ///< rank in a MapAsk whose answer goes to the coordinator

struct Recovered {
};
struct Start {
};
struct AllStaged {
};
struct AllArmed {
};
struct RankRefused {
};
struct AllCommitted {
};
struct NewerGeneration {
};

struct Definition : msm::front::state_machine_def<Definition> {
    struct Recovering : msm::front::state<> {
    };
    struct Idle : msm::front::state<> {
    };
    struct Staging : msm::front::state<> {
    };
    struct Arming : msm::front::state<> {
    };
    struct Committing : msm::front::state<> {
    };
    struct Fenced : msm::front::state<> {
    };
    using initial_state = Recovering;
    using no_exception_thrown = int;

    // clang-format off
    using transition_table = boost::mpl::vector13<
        Row<Recovering, Recovered,       Idle,       none, none>,
        Row<Idle,       Start,           Staging,    none, none>,
        Row<Staging,    AllStaged,       Arming,     none, none>,
        Row<Staging,    RankRefused,     Idle,       none, none>,
        Row<Arming,     AllArmed,        Committing, none, none>,
        Row<Arming,     RankRefused,     Idle,       none, none>,
        Row<Committing, AllCommitted,    Idle,       none, none>,
        Row<Recovering, NewerGeneration, Fenced,     none, none>,
        Row<Idle,       NewerGeneration, Fenced,     none, none>,
        Row<Staging,    NewerGeneration, Fenced,     none, none>,
        Row<Arming,     NewerGeneration, Fenced,     none, none>,
        Row<Committing, NewerGeneration, Fenced,     none, none>,
        Row<Fenced,     NewerGeneration, Fenced,     none, none>
    >;
    // clang-format on

    template<class Fsm, class Event>
    void no_transition(const Event & /*event*/, Fsm & /*fsm*/, int /*state*/) // NOLINT(readability-identifier-naming): MSM's name
    {
    }
};

} // namespace

class MapSwitchCoordinator::Machine final : public PhaseMachine<Definition, CoordinatorPhase>
{
};

MapSwitchCoordinator::MapSwitchCoordinator(CoordinatorOptions options)
    : m_options(options)
    , m_machine(std::make_unique<Machine>())
    , m_answered(options.ranks, false)
    , m_reports(options.ranks)
{
    resend();
}

MapSwitchCoordinator::~MapSwitchCoordinator() = default;

MapSwitchCoordinator::MapSwitchCoordinator(const MapSwitchCoordinator &other) = default;
MapSwitchCoordinator &MapSwitchCoordinator::operator=(const MapSwitchCoordinator &other) = default;

MapVersion MapSwitchCoordinator::start(TimePoint now, std::vector<std::uint16_t> assignment)
{
    if (phase() != CoordinatorPhase::Idle) {
        return 0;
    }
    const MapVersion first = m_options.generation * kVersionsPerGeneration;
    m_attemptedVersion = std::max(first, m_attemptedVersion) + 1;
    m_assignment = std::move(assignment);
    m_answered.assign(m_options.ranks, false);
    m_highestStep = 0;
    m_lastSend = now;
    m_machine->process(Start{});
    sendToAll(stageMessage());
    return m_attemptedVersion;
}

Message MapSwitchCoordinator::stageMessage() const
{
    wire::MapStageT stage;
    stage.group = m_options.group;
    stage.generation = m_options.generation;
    stage.version = m_attemptedVersion;
    stage.base = m_currentVersion;
    stage.assignment = m_assignment;
    return stage;
}

void MapSwitchCoordinator::receive(TimePoint now, const Message &message)
{
    std::visit(Overloaded{
                   [&](const wire::MapStagedT &staged) {
                       handleStaged(now, staged);
                   },
                   [&](const wire::MapArmedT &armed) {
                       handleArmed(armed);
                   },
                   [&](const wire::MapTellT &report) {
                       handleTell(now, report);
                   },
                   [](const auto & /*other*/) {
                   },
               },
               message);
}

void MapSwitchCoordinator::handleStaged(TimePoint /*now*/, const wire::MapStagedT &staged)
{
    if (staged.generation > m_options.generation) {
        m_machine->process(NewerGeneration{});
        return;
    }
    if (phase() != CoordinatorPhase::Staging || staged.version != m_attemptedVersion || staged.rank >= m_options.ranks) {
        return;
    }
    if (staged.refused) {
        // No arm order has been sent for this version, so aborting it is safe.
        abortAll(m_attemptedVersion);
        m_machine->process(RankRefused{});
        return;
    }
    m_answered[staged.rank] = true;
    m_highestStep = std::max(m_highestStep, staged.step);
    if (allAnswered()) {
        beginArming();
    }
}

void MapSwitchCoordinator::beginArming()
{
    m_machine->process(AllStaged{});
    m_answered.assign(m_options.ranks, false);
    m_switchStep = m_highestStep + m_options.stepMargin;
    wire::MapArmT arm;
    arm.group = m_options.group;
    arm.generation = m_options.generation;
    arm.version = m_attemptedVersion;
    arm.step = m_switchStep;
    sendToAll(arm);
}

void MapSwitchCoordinator::handleArmed(const wire::MapArmedT &armed)
{
    if (phase() != CoordinatorPhase::Arming || armed.version != m_attemptedVersion || armed.rank >= m_options.ranks) {
        return;
    }
    if (armed.refused) {
        abortAll(m_attemptedVersion);
        m_machine->process(RankRefused{});
        return;
    }
    m_answered[armed.rank] = true;
    if (allAnswered() || mutated(Mutation::CommitUnarmed)) {
        commitAll();
    }
}

void MapSwitchCoordinator::commitAll()
{
    m_machine->process(AllArmed{});
    m_currentVersion = m_attemptedVersion;
    m_answered.assign(m_options.ranks, false);
    wire::MapCommitT committed;
    committed.group = m_options.group;
    committed.version = m_attemptedVersion;
    committed.step = m_switchStep;
    sendToAll(committed);
}

void MapSwitchCoordinator::handleTell(TimePoint /*now*/, const wire::MapTellT &report)
{
    if (report.generation > m_options.generation) {
        m_machine->process(NewerGeneration{});
        return;
    }
    if (report.rank >= m_options.ranks) {
        return;
    }
    if (phase() == CoordinatorPhase::Committing && (report.version == m_attemptedVersion || report.next == m_attemptedVersion)) {
        m_answered[report.rank] = true;
        if (allAnswered()) {
            m_machine->process(AllCommitted{});
        }
    }
    if (phase() == CoordinatorPhase::Arming && report.vetoed >= m_attemptedVersion && report.armed != m_attemptedVersion && !report.lost) {
        abortAll(m_attemptedVersion);
        m_machine->process(RankRefused{});
    }
    if (phase() == CoordinatorPhase::Recovering && m_forming && report.epoch == m_options.generation) {
        m_answered[report.rank] = true;
        if (allAnswered()) {
            m_forming = false;
            m_machine->process(Recovered{});
        }
    } else if (phase() == CoordinatorPhase::Recovering && !m_forming && report.generation == m_options.generation) {
        m_answered[report.rank] = true;
        m_reports[report.rank] = report;
        if (allAnswered()) {
            decideRecovery();
        }
    }
}

void MapSwitchCoordinator::decideRecovery()
{
    MapVersion armed = 0;
    MapVersion committed = 0;
    std::uint64_t epoch = 0;
    bool mustForm = false;
    for (const wire::MapTellT &report : m_reports) {
        epoch = std::max(epoch, report.epoch);
    }
    for (const wire::MapTellT &report : m_reports) {
        m_highestStep = std::max(m_highestStep, report.step);
        mustForm = mustForm || report.lost || report.epoch != epoch;
        if (report.lost || report.epoch != epoch) {
            continue;
        }
        armed = std::max(armed, report.next != 0 ? MapVersion(0) : report.armed);
        committed = std::max({committed, report.version, report.next});
    }
    m_currentVersion = committed;
    if (mustForm) {
        // The rank whose engine restarted has kept the group from running steps, so any map is safe
        // as long as all ranks use the same one. No switch may start before all ranks have confirmed
        // that they joined: a delayed form order would discard what a rank has armed since.
        m_forming = true;
        m_answered.assign(m_options.ranks, false);
        for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
            sendForm(rank);
        }
        return;
    }
    const bool allArmed = std::ranges::all_of(m_reports, [&](const wire::MapTellT &report) {
        return report.armed == armed;
    });
    if (armed > committed && (allArmed || mutated(Mutation::CommitUnarmed))) {
        m_currentVersion = armed;
        wire::MapCommitT message;
        message.group = m_options.group;
        message.version = armed;
        sendToAll(message);
    } else if (committed != 0 && armed == committed) {
        wire::MapCommitT message;
        message.group = m_options.group;
        message.version = committed;
        sendToAll(message);
    } else if (armed != 0 && !allArmed) {
        abortAll(armed);
    }
    m_machine->process(Recovered{});
}

void MapSwitchCoordinator::abortAll(MapVersion version)
{
    wire::MapAbortT aborted;
    aborted.group = m_options.group;
    aborted.version = version;
    sendToAll(aborted);
}

void MapSwitchCoordinator::sendForm(std::uint32_t rank)
{
    wire::MapFormT form;
    form.group = m_options.group;
    form.generation = m_options.generation;
    form.version = m_currentVersion;
    form.step = m_highestStep + 1;
    m_messages.push_back({MapMessage::Destination::Rank, rank, std::move(form)});
}

void MapSwitchCoordinator::tick(TimePoint now)
{
    if (now < m_lastSend + m_options.resendInterval) {
        return;
    }
    m_lastSend = now;
    if (mutated(Mutation::AbortArmed) && phase() == CoordinatorPhase::Arming) {
        abortAll(m_attemptedVersion);
        m_machine->process(RankRefused{});
        return;
    }
    resend();
}

/** Repeats the order or query to each rank that has not answered, since a message may have been lost. */
void MapSwitchCoordinator::resend()
{
    const CoordinatorPhase current = phase();
    if (current == CoordinatorPhase::Idle || current == CoordinatorPhase::Fenced) {
        return;
    }
    for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
        if (m_answered[rank]) {
            continue;
        }
        if (current == CoordinatorPhase::Staging) {
            m_messages.push_back({MapMessage::Destination::Rank, rank, stageMessage()});
            continue;
        }
        if (m_forming) {
            sendForm(rank);
            continue;
        }
        // While arming, a rank that is not armed vetoes on this query, which ends the wait. While committing, it reports its state.
        if (current == CoordinatorPhase::Committing) {
            wire::MapCommitT committed;
            committed.group = m_options.group;
            committed.version = m_attemptedVersion;
            committed.step = m_switchStep;
            m_messages.push_back({MapMessage::Destination::Rank, rank, committed});
        }
        wire::MapAskT ask;
        ask.group = m_options.group;
        ask.generation = m_options.generation;
        ask.version = current == CoordinatorPhase::Recovering ? 0 : m_attemptedVersion;
        ask.rank = kCoordinatorRank;
        m_messages.push_back({MapMessage::Destination::Rank, rank, ask});
    }
}

void MapSwitchCoordinator::sendToAll(const Message &message)
{
    for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
        m_messages.push_back({MapMessage::Destination::Rank, rank, message});
    }
}

bool MapSwitchCoordinator::allAnswered() const
{
    return std::ranges::all_of(m_answered, [](bool answered) {
        return answered;
    });
}

CoordinatorPhase MapSwitchCoordinator::phase() const
{
    return m_machine->phase();
}

MapVersion MapSwitchCoordinator::currentVersion() const
{
    return m_currentVersion;
}

MapVersion MapSwitchCoordinator::attemptedVersion() const
{
    return m_attemptedVersion;
}

std::vector<MapMessage> MapSwitchCoordinator::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::string MapSwitchCoordinator::fingerprint() const
{
    std::string text = std::to_string(static_cast<int>(phase())) + ',' + std::to_string(m_currentVersion) + ',' + std::to_string(m_attemptedVersion) + ','
                       + std::to_string(m_switchStep) + ',' + std::to_string(m_highestStep) + (m_forming ? 'f' : ',');
    for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
        const wire::MapTellT &report = m_reports[rank];
        text += std::to_string(m_answered[rank] ? 1 : 0) + ':' + std::to_string(report.version) + ':' + std::to_string(report.armed) + ':'
                + std::to_string(report.next) + ';';
    }
    return text;
}

} // namespace fulmarlink
