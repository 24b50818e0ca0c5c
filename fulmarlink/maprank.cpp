// The safety argument. A version is committed by a rank only on evidence that every
// rank was armed for it (the coordinator's word, which follows from all "armed"
// answers, a committed peer's, or all peers' own). It is aborted only on evidence that
// some rank was not armed and never will be: that rank's veto, which it keeps, since it
// refuses to arm a version that it has vetoed, or that belongs to an older generation
// than it has seen, or that this incarnation of its agent has not staged. Both can't be
// true of one version, so no two ranks decide differently. An armed rank does not run
// the switching step before it has decided, and a rank is only armed while that step
// lies ahead of it, so before the step all use the old map and from it on all the new.
//
// Waiting. A holding rank asks all peers. A peer that is not armed vetoes at once, so
// the wait ends one round trip after the slowest peer answers. It lasts longer only
// while a peer does not answer at all, and then the group can't step anyway.
//
// A new agent finds "armed" and "committed" in its engine; what it does not find there
// it has never promised, and not having staged anything it vetoes whatever is on its way.

#include "fulmarlink/maprank.h"

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
        // Only a new agent that finds these in its engine starts there.
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

class MapRank::Machine final : public PhaseMachine<Definition, RankPhase>
{
};

MapRank::MapRank(RankOptions options, const RankEngineState &engine)
    : m_options(options)
    , m_engine(engine)
    , m_machine(std::make_unique<Machine>())
    , m_armedPeers(options.ranks, false)
{
    if (m_engine.next != 0) {
        m_machine->process(Commit{});
    } else if (m_engine.armed != 0) {
        m_machine->process(Arm{});
    }
}

MapRank::~MapRank() = default;

MapRank::MapRank(const MapRank &other) = default;
MapRank &MapRank::operator=(const MapRank &other) = default;

std::optional<MapVersion> MapRank::mapFor(TimePoint now)
{
    if (m_engine.lost) {
        return std::nullopt;
    }
    if (phase() == RankPhase::Committed && m_engine.step >= m_engine.armedStep) {
        m_engine.version = m_engine.next;
        m_engine.next = 0;
        m_engine.armed = 0;
        m_machine->process(Switch{});
    }
    const bool mustHold = phase() == RankPhase::Armed && m_engine.step >= m_engine.armedStep && !mutated(Mutation::RankSkipsHold);
    if (mustHold && !m_holding) {
        m_holdingSince = now;
    }
    m_holding = mustHold;
    return mustHold ? std::nullopt : std::optional(m_engine.version);
}

void MapRank::stepDone()
{
    ++m_engine.step;
}

void MapRank::receive(TimePoint /*now*/, const Message &message)
{
    std::visit(Overloaded{
                   [&](const wire::MapStageT &stage) {
                       onStage(stage);
                   },
                   [&](const wire::MapArmT &arm) {
                       onArm(arm);
                   },
                   [&](const wire::MapCommitT &committed) {
                       commit(committed.version);
                   },
                   [&](const wire::MapAbortT &aborted) {
                       abort(aborted.version);
                   },
                   [&](const wire::MapAskT &ask) {
                       onAsk(ask);
                   },
                   [&](const wire::MapTellT &told) {
                       onTell(told);
                   },
                   [&](const wire::MapFormT &form) {
                       onForm(form);
                   },
                   [](const auto & /*other*/) {
                   },
               },
               message);
}

void MapRank::raise(std::uint64_t generation)
{
    if (generation <= m_engine.generation) {
        return;
    }
    m_engine.generation = generation;
    if (phase() == RankPhase::Staged && !mutated(Mutation::IgnoreFencing)) {
        veto(m_staged); // of an older generation, and not armed
    }
}

void MapRank::veto(MapVersion version)
{
    m_vetoed = std::max(m_vetoed, version);
    if (phase() == RankPhase::Staged && m_staged <= m_vetoed) {
        m_machine->process(Abort{});
        m_staged = 0;
    }
}

void MapRank::onStage(const wire::MapStageT &stage)
{
    const bool older = stage.generation < m_engine.generation && !mutated(Mutation::IgnoreFencing);
    const bool busy = phase() == RankPhase::Armed || phase() == RankPhase::Committed;
    const bool known = phase() == RankPhase::Staged && m_staged == stage.version;
    const bool refused = older || busy || m_engine.lost || stage.version <= m_vetoed || stage.base != m_engine.version;
    if (!older) {
        raise(stage.generation);
    }
    if (!refused && !known && stage.version > m_staged) {
        m_staged = stage.version;
        m_machine->process(Stage{});
    }
    wire::MapStagedT answer;
    answer.group = m_options.group;
    answer.rank = m_options.rank;
    answer.version = stage.version;
    answer.refused = refused || m_staged != stage.version;
    answer.generation = m_engine.generation;
    answer.step = m_engine.step;
    toCoordinator(answer);
}

void MapRank::onArm(const wire::MapArmT &arm)
{
    if (m_engine.lost) {
        return; // what the engine had promised is not known; the group is formed anew
    }
    const bool older = arm.generation < m_engine.generation && !mutated(Mutation::IgnoreFencing);
    const bool already = m_engine.armed == arm.version || m_engine.version == arm.version;
    const bool possible = !older && phase() == RankPhase::Staged && m_staged == arm.version && m_engine.step < arm.step;
    if (!already && !possible) {
        veto(arm.version);
    }
    if (!already && possible) {
        m_engine.armed = arm.version;
        m_engine.armedStep = arm.step;
        m_staged = 0;
        m_armedPeers.assign(m_options.ranks, false);
        m_machine->process(Arm{});
    }
    wire::MapArmedT answer;
    answer.group = m_options.group;
    answer.rank = m_options.rank;
    answer.version = arm.version;
    answer.refused = !already && !possible;
    answer.generation = m_engine.generation;
    toCoordinator(answer);
}

void MapRank::commit(MapVersion version)
{
    if (phase() != RankPhase::Armed || m_engine.armed != version) {
        return;
    }
    m_engine.next = version;
    m_machine->process(Commit{});
}

void MapRank::abort(MapVersion version)
{
    if (phase() == RankPhase::Armed && m_engine.armed == version) {
        m_engine.armed = 0;
        m_machine->process(Abort{});
        m_vetoed = std::max(m_vetoed, version);
    } else if (phase() == RankPhase::Staged && m_staged == version) {
        veto(version);
    }
}

void MapRank::onAsk(const wire::MapAskT &ask)
{
    raise(ask.generation);
    const bool decided = m_engine.version == ask.version || m_engine.next == ask.version || m_engine.armed == ask.version;
    // A rank that has lost its engine does not know what it promised, or ran: it vetoes nothing.
    if (ask.version != 0 && !decided && ask.version > m_engine.version && !m_engine.lost) {
        veto(ask.version);
    }
    MapMessage answer;
    answer.to = ask.rank < m_options.ranks ? MapMessage::To::Rank : MapMessage::To::Coordinator;
    answer.rank = ask.rank;
    answer.message = tell();
    m_messages.push_back(std::move(answer));
}

void MapRank::onTell(const wire::MapTellT &told)
{
    if (phase() != RankPhase::Armed || told.rank >= m_options.ranks || told.epoch != m_engine.epoch || told.lost) {
        return;
    }
    const MapVersion wanted = m_engine.armed;
    if (told.version == wanted || told.next == wanted) {
        commit(wanted);
    } else if (told.vetoed >= wanted && told.armed != wanted) {
        abort(wanted);
    } else if (told.armed == wanted) {
        m_armedPeers[told.rank] = true;
        m_armedPeers[m_options.rank] = true;
        if (std::ranges::all_of(m_armedPeers, [](bool armed) {
                return armed;
            })) {
            commit(wanted);
        }
    }
}

void MapRank::onForm(const wire::MapFormT &form)
{
    if (form.generation < m_engine.generation) {
        return;
    }
    if (form.generation <= m_engine.epoch) {
        toCoordinator(tell()); // in it already: the answer was lost
        return;
    }
    m_engine.generation = form.generation;
    m_engine.epoch = form.generation;
    m_vetoed = std::max({m_vetoed, m_engine.armed, m_staged});
    m_engine.version = form.version;
    m_engine.armed = 0;
    m_engine.next = 0;
    m_engine.step = form.step;
    m_engine.lost = false;
    m_staged = 0;
    m_holding = false;
    m_machine = std::make_unique<Machine>();
    toCoordinator(tell());
}

void MapRank::tick(TimePoint now)
{
    if (m_holding && phase() == RankPhase::Armed && now >= m_holdingSince + m_options.askAfter && now >= m_lastAsk + m_options.askAfter) {
        askPeers(now);
    }
}

void MapRank::askPeers(TimePoint now)
{
    m_lastAsk = now;
    for (std::uint32_t peer = 0; peer < m_options.ranks; ++peer) {
        if (peer == m_options.rank) {
            continue;
        }
        wire::MapAskT ask;
        ask.group = m_options.group;
        ask.generation = m_engine.generation;
        ask.version = m_engine.armed;
        ask.rank = m_options.rank;
        m_messages.push_back({MapMessage::To::Rank, peer, ask});
    }
}

wire::MapTellT MapRank::tell() const
{
    wire::MapTellT told;
    told.group = m_options.group;
    told.rank = m_options.rank;
    told.generation = m_engine.generation;
    told.epoch = m_engine.epoch;
    told.version = m_engine.version;
    told.armed = m_engine.armed;
    told.armed_step = m_engine.armedStep;
    told.next = m_engine.next;
    told.vetoed = m_vetoed;
    told.step = m_engine.step;
    told.lost = m_engine.lost;
    return told;
}

void MapRank::toCoordinator(const Message &message)
{
    m_messages.push_back({MapMessage::To::Coordinator, 0, message});
}

const RankEngineState &MapRank::engine() const
{
    return m_engine;
}

RankPhase MapRank::phase() const
{
    return m_machine->phase();
}

MapVersion MapRank::vetoed() const
{
    return m_vetoed;
}

MapVersion MapRank::staged() const
{
    return m_staged;
}

bool MapRank::holding() const
{
    return m_holding;
}

std::vector<MapMessage> MapRank::takeMessages()
{
    return std::exchange(m_messages, {});
}

} // namespace fulmarlink
