// Safety. A rank commits a version only on evidence that every rank was armed for it:
// the coordinator's commit, which follows "armed" answers from all ranks; the state of a
// peer that has committed; or the states of all peers. It aborts a version only on
// evidence that some rank was not armed and never will be: that rank's veto. A veto is
// permanent, because a rank refuses to arm a version that it has vetoed, that belongs to
// an older generation than it has seen, or that this incarnation of its agent has not
// staged. Both kinds of evidence cannot exist for one version, so no two ranks decide
// differently. An armed rank does not run the switch step before it has decided, and a
// rank is armed only before it reaches that step. Hence all ranks use the old map before
// the switch step and the new map from it on.
//
// Liveness. A waiting rank queries all peers. A peer that is not armed vetoes at once, so
// the wait ends one round trip after the slowest peer answers. It takes longer only while
// a peer does not answer at all, and then the group cannot run a step anyway.
//
// A new agent reads the armed and committed versions from its engine; the rank is not bound
// to any other version. As the new agent has staged nothing, it refuses and vetoes any
// version for which an arm order is still in transit.

#include "fulmarlink/mapswitchparticipant.h"

#include <algorithm>
#include <array>
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

struct Stage {
};
struct Arm {
};
struct Commit {
};
struct Abort {
};
struct Switch {
};

struct Definition : msm::front::state_machine_def<Definition> {
    struct Idle : msm::front::state<> {
    };
    struct Staged : msm::front::state<> {
    };
    struct Armed : msm::front::state<> {
    };
    struct Committed : msm::front::state<> {
    };
    using initial_state = Idle;
    using no_exception_thrown = int;

    // clang-format off
    using transition_table = boost::mpl::vector9<
        Row<Idle,      Stage,  Staged,    none, none>,
        Row<Staged,    Stage,  Staged,    none, none>,
        Row<Staged,    Arm,    Armed,     none, none>,
        Row<Staged,    Abort,  Idle,      none, none>,
        Row<Armed,     Commit, Committed, none, none>,
        Row<Armed,     Abort,  Idle,      none, none>,
        Row<Committed, Switch, Idle,      none, none>,
        // Taken only by a new agent that restores an armed or committed version from its engine.
        Row<Idle,      Arm,    Armed,     none, none>,
        Row<Idle,      Commit, Committed, none, none>
    >;
    // clang-format on

    template<class Fsm, class Event>
    void no_transition(const Event & /*event*/, Fsm & /*fsm*/, int /*state*/) // NOLINT(readability-identifier-naming): MSM's name
    {
    }
};

} // namespace

class MapSwitchParticipant::Machine final : public PhaseMachine<Definition, RankPhase>
{
};

MapSwitchParticipant::MapSwitchParticipant(RankOptions options, const RankEngineState &engine)
    : m_options(options)
    , m_engine(engine)
    , m_machine(std::make_unique<Machine>())
    , m_armedPeers(options.ranks, false)
{
    if (m_engine.nextVersion != 0) {
        m_machine->process(Commit{});
    } else if (m_engine.armedVersion != 0) {
        m_machine->process(Arm{});
    }
}

MapSwitchParticipant::~MapSwitchParticipant() = default;

MapSwitchParticipant::MapSwitchParticipant(const MapSwitchParticipant &other) = default;
MapSwitchParticipant &MapSwitchParticipant::operator=(const MapSwitchParticipant &other) = default;

std::optional<MapVersion> MapSwitchParticipant::mapForNextStep(TimePoint now)
{
    if (m_engine.outOfGroup) {
        return std::nullopt;
    }
    if (phase() == RankPhase::Committed && m_engine.step >= m_engine.armedStep) {
        m_engine.mapVersion = m_engine.nextVersion;
        m_engine.nextVersion = 0;
        m_engine.armedVersion = 0;
        m_machine->process(Switch{});
    }
    const bool mustHold = phase() == RankPhase::Armed && m_engine.step >= m_engine.armedStep && !mutated(Mutation::RankSkipsHold);
    if (mustHold && !m_holding) {
        m_holdingSince = now;
    }
    m_holding = mustHold;
    return mustHold ? std::nullopt : std::optional(m_engine.mapVersion);
}

void MapSwitchParticipant::completeStep()
{
    ++m_engine.step;
}

void MapSwitchParticipant::receive(TimePoint /*now*/, const Message &message)
{
    std::visit(Overloaded{
                   [&](const wire::MapStageT &stage) {
                       handleStage(stage);
                   },
                   [&](const wire::MapArmT &arm) {
                       handleArm(arm);
                   },
                   [&](const wire::MapCommitT &committed) {
                       commit(committed.version);
                   },
                   [&](const wire::MapAbortT &aborted) {
                       abort(aborted.version);
                   },
                   [&](const wire::MapAskT &ask) {
                       handleAsk(ask);
                   },
                   [&](const wire::MapTellT &report) {
                       handleTell(report);
                   },
                   [&](const wire::MapFormT &form) {
                       handleForm(form);
                   },
                   [](const auto & /*other*/) {
                   },
               },
               message);
}

void MapSwitchParticipant::raiseGeneration(std::uint64_t generation)
{
    if (generation <= m_engine.generation) {
        return;
    }
    m_engine.generation = generation;
    if (phase() == RankPhase::Staged && !mutated(Mutation::IgnoreFencing)) {
        veto(m_stagedVersion); // staged by an older generation and not armed
    }
}

void MapSwitchParticipant::veto(MapVersion version)
{
    m_vetoedVersion = std::max(m_vetoedVersion, version);
    if (phase() == RankPhase::Staged && m_stagedVersion <= m_vetoedVersion) {
        m_machine->process(Abort{});
        m_stagedVersion = 0;
    }
}

void MapSwitchParticipant::handleStage(const wire::MapStageT &stage)
{
    const bool staleGeneration = stage.generation < m_engine.generation && !mutated(Mutation::IgnoreFencing);
    const bool switchPending = phase() == RankPhase::Armed || phase() == RankPhase::Committed;
    const bool alreadyStaged = phase() == RankPhase::Staged && m_stagedVersion == stage.version;
    const bool refused = staleGeneration || switchPending || m_engine.outOfGroup || stage.version <= m_vetoedVersion || stage.base != m_engine.mapVersion;
    if (!staleGeneration) {
        raiseGeneration(stage.generation);
    }
    if (!refused && !alreadyStaged && stage.version > m_stagedVersion) {
        m_stagedVersion = stage.version;
        m_machine->process(Stage{});
    }
    wire::MapStagedT answer;
    answer.group = m_options.group;
    answer.rank = m_options.rank;
    answer.version = stage.version;
    answer.refused = refused || m_stagedVersion != stage.version;
    answer.generation = m_engine.generation;
    answer.step = m_engine.step;
    sendToCoordinator(answer);
}

void MapSwitchParticipant::handleArm(const wire::MapArmT &arm)
{
    if (m_engine.outOfGroup) {
        return; // the restarted engine has lost its armed state; the coordinator forms the group again
    }
    const bool staleGeneration = arm.generation < m_engine.generation && !mutated(Mutation::IgnoreFencing);
    const bool alreadyAccepted = m_engine.armedVersion == arm.version || m_engine.mapVersion == arm.version;
    const bool canArm = !staleGeneration && phase() == RankPhase::Staged && m_stagedVersion == arm.version && m_engine.step < arm.step;
    if (!alreadyAccepted && !canArm) {
        veto(arm.version);
    }
    if (!alreadyAccepted && canArm) {
        m_engine.armedVersion = arm.version;
        m_engine.armedStep = arm.step;
        m_stagedVersion = 0;
        m_armedPeers.assign(m_options.ranks, false);
        m_machine->process(Arm{});
    }
    wire::MapArmedT answer;
    answer.group = m_options.group;
    answer.rank = m_options.rank;
    answer.version = arm.version;
    answer.refused = !alreadyAccepted && !canArm;
    answer.generation = m_engine.generation;
    sendToCoordinator(answer);
}

void MapSwitchParticipant::commit(MapVersion version)
{
    if (phase() != RankPhase::Armed || m_engine.armedVersion != version) {
        return;
    }
    m_engine.nextVersion = version;
    m_machine->process(Commit{});
}

void MapSwitchParticipant::abort(MapVersion version)
{
    if (phase() == RankPhase::Armed && m_engine.armedVersion == version) {
        m_engine.armedVersion = 0;
        m_machine->process(Abort{});
        m_vetoedVersion = std::max(m_vetoedVersion, version);
    } else if (phase() == RankPhase::Staged && m_stagedVersion == version) {
        veto(version);
    }
}

void MapSwitchParticipant::handleAsk(const wire::MapAskT &ask)
{
    raiseGeneration(ask.generation);
    const bool accepted = m_engine.mapVersion == ask.version || m_engine.nextVersion == ask.version || m_engine.armedVersion == ask.version;
    // After an engine restart it is unknown what the rank had armed or run, so it vetoes nothing.
    if (ask.version != 0 && !accepted && ask.version > m_engine.mapVersion && !m_engine.outOfGroup) {
        veto(ask.version);
    }
    MapMessage answer;
    answer.destination = ask.rank < m_options.ranks ? MapMessage::Destination::Rank : MapMessage::Destination::Coordinator;
    answer.rank = ask.rank;
    answer.message = stateReport();
    m_messages.push_back(std::move(answer));
}

void MapSwitchParticipant::handleTell(const wire::MapTellT &report)
{
    if (phase() != RankPhase::Armed || report.rank >= m_options.ranks || report.epoch != m_engine.epoch || report.lost) {
        return;
    }
    const MapVersion armedVersion = m_engine.armedVersion;
    if (report.version == armedVersion || report.next == armedVersion) {
        commit(armedVersion);
    } else if (report.vetoed >= armedVersion && report.armed != armedVersion) {
        abort(armedVersion);
    } else if (report.armed == armedVersion) {
        m_armedPeers[report.rank] = true;
        m_armedPeers[m_options.rank] = true;
        if (std::ranges::all_of(m_armedPeers, [](bool armed) {
                return armed;
            })) {
            commit(armedVersion);
        }
    }
}

void MapSwitchParticipant::handleForm(const wire::MapFormT &form)
{
    if (form.generation < m_engine.generation) {
        return;
    }
    if (form.generation <= m_engine.epoch) {
        sendToCoordinator(stateReport()); // has already joined this epoch; the previous answer was lost
        return;
    }
    m_engine.generation = form.generation;
    m_engine.epoch = form.generation;
    m_vetoedVersion = std::max({m_vetoedVersion, m_engine.armedVersion, m_stagedVersion});
    m_engine.mapVersion = form.version;
    m_engine.armedVersion = 0;
    m_engine.nextVersion = 0;
    m_engine.step = form.step;
    m_engine.outOfGroup = false;
    m_stagedVersion = 0;
    m_holding = false;
    m_machine = std::make_unique<Machine>();
    sendToCoordinator(stateReport());
}

void MapSwitchParticipant::tick(TimePoint now)
{
    if (m_holding && phase() == RankPhase::Armed && now >= m_holdingSince + m_options.peerQueryDelay && now >= m_lastPeerQuery + m_options.peerQueryDelay) {
        queryPeers(now);
    }
}

void MapSwitchParticipant::queryPeers(TimePoint now)
{
    m_lastPeerQuery = now;
    for (std::uint32_t peer = 0; peer < m_options.ranks; ++peer) {
        if (peer == m_options.rank) {
            continue;
        }
        wire::MapAskT ask;
        ask.group = m_options.group;
        ask.generation = m_engine.generation;
        ask.version = m_engine.armedVersion;
        ask.rank = m_options.rank;
        m_messages.push_back({MapMessage::Destination::Rank, peer, ask});
    }
}

wire::MapTellT MapSwitchParticipant::stateReport() const
{
    wire::MapTellT report;
    report.group = m_options.group;
    report.rank = m_options.rank;
    report.generation = m_engine.generation;
    report.epoch = m_engine.epoch;
    report.version = m_engine.mapVersion;
    report.armed = m_engine.armedVersion;
    report.armed_step = m_engine.armedStep;
    report.next = m_engine.nextVersion;
    report.vetoed = m_vetoedVersion;
    report.step = m_engine.step;
    report.lost = m_engine.outOfGroup;
    return report;
}

void MapSwitchParticipant::sendToCoordinator(const Message &message)
{
    m_messages.push_back({MapMessage::Destination::Coordinator, 0, message});
}

const RankEngineState &MapSwitchParticipant::engine() const
{
    return m_engine;
}

RankPhase MapSwitchParticipant::phase() const
{
    return m_machine->phase();
}

MapVersion MapSwitchParticipant::vetoedVersion() const
{
    return m_vetoedVersion;
}

MapVersion MapSwitchParticipant::stagedVersion() const
{
    return m_stagedVersion;
}

bool MapSwitchParticipant::isHolding() const
{
    return m_holding;
}

std::vector<MapMessage> MapSwitchParticipant::takeMessages()
{
    return std::exchange(m_messages, {});
}

} // namespace fulmarlink
