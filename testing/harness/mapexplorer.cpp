#include "testing/harness/mapexplorer.h"

#include <algorithm>
#include <map>
#include <memory>
#include <unordered_set>

#include "fulmarlink/frame.h"
#include "fulmarlink/mapswitchcoordinator.h"
#include "fulmarlink/mapswitchparticipant.h"

namespace fulmarlink::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr MapVersion kFirstVersion = 1;
constexpr std::uint64_t kFirstGeneration = 1;
constexpr Duration kTickInterval = 100ms; ///< longer than every timeout of the protocol

/** A message in transit to one incarnation of a rank's agent or to a coordinator. */
struct Packet {
    bool toRank = true;
    std::uint32_t target = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t coordinator = 0; ///< coordinator that sent it or receives the answer
    std::shared_ptr<const Message> message;
    std::uint64_t hash = 0;
};

/** Model of a group, its coordinators and the messages in transit. Copyable. */
class GroupModel
{
public:
    explicit GroupModel(const ExplorerOptions &options)
        : m_options(options)
        , m_inStep(options.ranks, false)
        , m_incarnation(options.ranks, 1)
        , m_remaining(options)
    {
        for (std::uint32_t rank = 0; rank < options.ranks; ++rank) {
            m_ranks.push_back(makeRank(rank, initialEngine()));
        }
        addCoordinator();
    }

    /** An action that is possible in the current state. */
    struct Action {
        enum class Kind : std::uint8_t {
            Deliver,
            Drop,
            Duplicate,
            StartStep,
            RankTick,
            CoordinatorTick,
            StartSwitch,
            AgentReplaced,
            EngineRestarted,
            CoordinatorReplaced,
        } kind = Kind::Deliver;
        std::uint32_t index = 0;
    };

    std::vector<Action> enabledActions() const
    {
        using Kind = Action::Kind;
        std::vector<Action> result;
        const auto packets = static_cast<std::uint32_t>(m_packets.size());
        for (std::uint32_t i = 0; i < packets; ++i) {
            result.push_back({Kind::Deliver, i});
            if (m_remaining.losses > 0) {
                result.push_back({Kind::Drop, i});
            }
            if (m_remaining.duplicates > 0) {
                result.push_back({Kind::Duplicate, i});
            }
        }
        for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
            if (canStartStep(rank)) {
                result.push_back({Kind::StartStep, rank});
            }
            if (m_ranks[rank].isHolding() && !hasQueryInTransit(rank)) {
                result.push_back({Kind::RankTick, rank});
            }
            if (m_remaining.agentReplacements > 0) {
                result.push_back({Kind::AgentReplaced, rank});
            }
            if (m_remaining.engineRestarts > 0) {
                result.push_back({Kind::EngineRestarted, rank});
            }
        }
        for (std::uint32_t i = 0; i < m_coordinators.size(); ++i) {
            if (m_resends[i] > 0) {
                result.push_back({Kind::CoordinatorTick, i});
            }
            if (m_remaining.switches > 0 && m_coordinators[i].phase() == CoordinatorPhase::Idle) {
                result.push_back({Kind::StartSwitch, i});
            }
        }
        if (m_remaining.coordinatorTakeovers > 0) {
            result.push_back({Kind::CoordinatorReplaced, 0});
        }
        return result;
    }

    std::string apply(const Action &action)
    {
        using Kind = Action::Kind;
        switch (action.kind) {
        case Kind::Deliver:
            return deliver(removePacket(action.index));
        case Kind::Drop:
            --m_remaining.losses;
            return "drop " + describe(removePacket(action.index));
        case Kind::Duplicate:
            --m_remaining.duplicates;
            m_packets.push_back(m_packets[action.index]);
            return "duplicate " + describe(m_packets[action.index]);
        case Kind::StartStep:
            startStep(action.index);
            return "rank " + std::to_string(action.index) + " starts its step";
        case Kind::RankTick:
            m_now += kTickInterval;
            m_ranks[action.index].tick(m_now);
            collectRank(action.index, 0);
            return "rank " + std::to_string(action.index) + " queries its peers";
        case Kind::CoordinatorTick:
            m_now += kTickInterval;
            --m_resends[action.index];
            m_coordinators[action.index].tick(m_now);
            collectCoordinator(action.index);
            return "coordinator " + std::to_string(action.index) + " resends";
        case Kind::StartSwitch:
            --m_remaining.switches;
            m_coordinators[action.index].start(m_now, {});
            collectCoordinator(action.index);
            return "coordinator " + std::to_string(action.index) + " starts a switch";
        case Kind::AgentReplaced:
            --m_remaining.agentReplacements;
            replaceAgent(action.index, m_ranks[action.index].engine());
            return "agent " + std::to_string(action.index) + " is replaced";
        case Kind::EngineRestarted:
            --m_remaining.engineRestarts;
            restartEngine(action.index);
            return "engine " + std::to_string(action.index) + " restarts";
        case Kind::CoordinatorReplaced:
            --m_remaining.coordinatorTakeovers;
            addCoordinator();
            return "a new coordinator takes over";
        }
        return {};
    }

    std::string fingerprint() const
    {
        std::string text;
        for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
            const MapSwitchParticipant &state = m_ranks[rank];
            const RankEngineState &engine = state.engine();
            for (const std::uint64_t number : {engine.generation,
                                               engine.epoch,
                                               engine.mapVersion,
                                               engine.armedVersion,
                                               engine.armedStep,
                                               engine.nextVersion,
                                               engine.step,
                                               state.vetoedVersion(),
                                               state.stagedVersion()}) {
                text += std::to_string(number) + ' ';
            }
            text += std::to_string(static_cast<int>(state.phase())) + (engine.outOfGroup ? 'l' : '-') + (m_inStep[rank] ? 'e' : '-')
                    + (state.isHolding() ? 'h' : '-') + std::to_string(m_incarnation[rank]) + '|';
        }
        for (std::size_t i = 0; i < m_coordinators.size(); ++i) {
            text += m_coordinators[i].fingerprint() + std::to_string(m_resends[i]) + '|';
        }
        std::vector<std::uint64_t> hashes;
        for (const Packet &packet : m_packets) {
            hashes.push_back(packet.hash);
        }
        std::ranges::sort(hashes);
        for (const std::uint64_t hash : hashes) {
            text += std::to_string(hash) + ' ';
        }
        for (const unsigned remaining : {m_remaining.switches,
                                         m_remaining.losses,
                                         m_remaining.duplicates,
                                         m_remaining.agentReplacements,
                                         m_remaining.engineRestarts,
                                         m_remaining.coordinatorTakeovers}) {
            text += std::to_string(remaining) + ',';
        }
        return text;
    }

    const std::string &violation() const
    {
        return m_violation;
    }

    std::vector<Packet> &packets()
    {
        return m_packets;
    }

    MapSwitchParticipant &rank(std::uint32_t rank)
    {
        return m_ranks[rank];
    }

    MapSwitchCoordinator &coordinator()
    {
        return m_coordinators.back();
    }

    std::uint32_t coordinators() const
    {
        return static_cast<std::uint32_t>(m_coordinators.size());
    }

    /** Number of steps that the whole group has completed. */
    std::uint64_t stepsDone() const
    {
        return m_stepsDone;
    }

    bool canStartStep(std::uint32_t rank) const
    {
        const RankEngineState &engine = m_ranks[rank].engine();
        return !m_inStep[rank] && !engine.outOfGroup && engine.step < m_options.steps
               && !(m_ranks[rank].isHolding() && m_ranks[rank].phase() == RankPhase::Armed);
    }

    std::string deliver(const Packet &packet)
    {
        if (packet.toRank) {
            if (m_incarnation[packet.target] == packet.incarnation) {
                m_ranks[packet.target].receive(m_now, *packet.message);
                collectRank(packet.target, packet.coordinator);
            }
        } else {
            m_coordinators[packet.target].receive(m_now, *packet.message);
            collectCoordinator(packet.target);
        }
        return "deliver " + describe(packet);
    }

    Packet removePacket(std::uint32_t index)
    {
        Packet packet = m_packets[index];
        m_packets.erase(m_packets.begin() + index);
        return packet;
    }

    void startStep(std::uint32_t rank)
    {
        const auto version = m_ranks[rank].mapForNextStep(m_now);
        if (!version) {
            return;
        }
        const RankEngineState &engine = m_ranks[rank].engine();
        const auto [it, inserted] = m_mapByStep.try_emplace({engine.epoch, engine.step}, *version);
        if (!inserted && it->second != *version) {
            m_violation = "step " + std::to_string(engine.step) + " runs on maps " + std::to_string(it->second) + " and " + std::to_string(*version);
        }
        m_inStep[rank] = true;
        finishStep();
    }

private:
    static RankEngineState initialEngine()
    {
        RankEngineState engine;
        engine.mapVersion = kFirstVersion;
        return engine;
    }

    MapSwitchParticipant makeRank(std::uint32_t rank, const RankEngineState &engine) const
    {
        RankOptions options;
        options.rank = rank;
        options.ranks = m_options.ranks;
        return {options, engine};
    }

    void addCoordinator()
    {
        CoordinatorOptions options;
        options.generation = kFirstGeneration + m_coordinators.size();
        options.ranks = m_options.ranks;
        options.stepMargin = m_options.stepMargin;
        m_coordinators.emplace_back(options);
        m_resends.push_back(m_options.resends);
        collectCoordinator(static_cast<std::uint32_t>(m_coordinators.size() - 1));
    }

    void replaceAgent(std::uint32_t rank, const RankEngineState &engine)
    {
        m_ranks[rank] = makeRank(rank, engine);
        ++m_incarnation[rank];
        // Messages in transit to the old agent are lost with its connections.
        std::erase_if(m_packets, [&](const Packet &packet) {
            return packet.toRank && packet.target == rank && packet.incarnation != m_incarnation[rank];
        });
    }

    void restartEngine(std::uint32_t rank)
    {
        RankEngineState engine;
        engine.outOfGroup = true;
        m_inStep[rank] = false;
        replaceAgent(rank, engine);
    }

    /** Completes the step once all ranks have started it in the same epoch. */
    void finishStep()
    {
        const RankEngineState &first = m_ranks.front().engine();
        for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
            const RankEngineState &engine = m_ranks[rank].engine();
            if (!m_inStep[rank] || engine.epoch != first.epoch || engine.step != first.step) {
                return;
            }
        }
        for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
            m_ranks[rank].completeStep();
            m_inStep[rank] = false;
        }
        ++m_stepsDone;
    }

    bool hasQueryInTransit(std::uint32_t rank) const
    {
        return std::ranges::any_of(m_packets, [rank](const Packet &packet) {
            const auto *ask = std::get_if<wire::MapAskT>(packet.message.get());
            const auto *tell = std::get_if<wire::MapTellT>(packet.message.get());
            return (ask != nullptr && ask->rank == rank) || (tell != nullptr && packet.toRank && packet.target == rank);
        });
    }

    void sendPacket(bool toRank, std::uint32_t target, std::uint32_t coordinator, Message message)
    {
        Packet packet;
        packet.toRank = toRank;
        packet.target = target;
        packet.incarnation = toRank ? m_incarnation[target] : 0;
        packet.coordinator = coordinator;
        const std::vector<std::uint8_t> bytes = encodeFrame(message);
        packet.hash = mixHash(hashOf({reinterpret_cast<const char *>(bytes.data()), bytes.size()}), mixHash(target * 2 + (toRank ? 1 : 0), coordinator));
        packet.message = std::make_shared<const Message>(std::move(message));
        m_packets.push_back(std::move(packet));
    }

    void collectRank(std::uint32_t rank, std::uint32_t coordinator)
    {
        // A rank that joins a new epoch abandons the step that it was in.
        for (MapMessage &message : m_ranks[rank].takeMessages()) {
            const bool toRank = message.destination == MapMessage::Destination::Rank;
            sendPacket(toRank, toRank ? message.rank : coordinator, coordinator, std::move(message.message));
        }
        if (m_epochs.size() < m_options.ranks) {
            m_epochs.assign(m_options.ranks, 0);
        }
        if (m_ranks[rank].engine().epoch != m_epochs[rank]) {
            m_epochs[rank] = m_ranks[rank].engine().epoch;
            m_inStep[rank] = false;
        }
    }

    void collectCoordinator(std::uint32_t index)
    {
        for (MapMessage &message : m_coordinators[index].takeMessages()) {
            sendPacket(true, message.rank, index, std::move(message.message));
        }
    }

    std::string describe(const Packet &packet) const
    {
        static constexpr const char *kNames[] = {"stage", "staged", "arm", "armed", "commit", "abort", "ask", "tell", "form"};
        const std::size_t first = Message(wire::MapStageT()).index();
        return std::string(kNames[packet.message->index() - first]) + (packet.toRank ? " to rank " : " to coordinator ") + std::to_string(packet.target);
    }

    ExplorerOptions m_options;
    std::vector<MapSwitchParticipant> m_ranks;
    std::vector<bool> m_inStep;
    std::vector<std::uint64_t> m_incarnation;
    std::vector<std::uint64_t> m_epochs;
    std::vector<MapSwitchCoordinator> m_coordinators;
    std::vector<unsigned> m_resends;
    std::vector<Packet> m_packets;
    std::map<std::pair<std::uint64_t, std::uint64_t>, MapVersion> m_mapByStep; ///< map version by epoch and step
    ExplorerOptions m_remaining;
    TimePoint m_now{1h};
    std::uint64_t m_stepsDone = 0;
    std::string m_violation;
};

class Explorer
{
public:
    explicit Explorer(const ExplorerOptions &options)
        : m_options(options)
    {
    }

    ExplorerResult run()
    {
        m_result.complete = true;
        visit(GroupModel(m_options));
        m_result.states = m_visited.size();
        return m_result;
    }

private:
    void visit(const GroupModel &model)
    {
        if (!m_result.violation.empty() || !m_visited.insert(hashOf(model.fingerprint())).second) {
            return;
        }
        if (m_visited.size() >= m_options.maxStates) {
            m_result.complete = false;
            return;
        }
        for (const GroupModel::Action &action : model.enabledActions()) {
            GroupModel next = model;
            m_trace.push_back(next.apply(action));
            if (!next.violation().empty() && m_result.violation.empty()) {
                m_result.violation = next.violation();
                m_result.trace = m_trace;
            }
            visit(next);
            m_trace.pop_back();
        }
    }

    ExplorerOptions m_options;
    std::unordered_set<std::uint64_t> m_visited;
    std::vector<std::string> m_trace;
    ExplorerResult m_result;
};

} // namespace

ExplorerResult exploreExhaustively(const ExplorerOptions &options)
{
    return Explorer(options).run();
}

ExplorerResult exploreRandomWalks(const ExplorerOptions &options, unsigned walks, std::uint64_t seed)
{
    constexpr unsigned kMaxActions = 400;
    Random random(seed);
    ExplorerResult result;
    for (unsigned walk = 0; walk < walks; ++walk) {
        GroupModel model(options);
        std::vector<std::string> trace;
        for (unsigned i = 0; i < kMaxActions; ++i) {
            const auto actions = model.enabledActions();
            if (actions.empty()) {
                break;
            }
            trace.push_back(model.apply(actions[random() % actions.size()]));
            ++result.states;
            if (!model.violation().empty()) {
                result.violation = model.violation();
                result.trace = trace;
                return result;
            }
        }
    }
    result.complete = true;
    return result;
}

std::string mapFaultName(MapFault fault)
{
    static constexpr const char *kNames[] = {"none",
                                             "one stage order lost",
                                             "one staged answer lost",
                                             "one arm order lost",
                                             "one armed answer lost",
                                             "one commit lost",
                                             "all commits lost",
                                             "coordinator replaced while staging",
                                             "coordinator replaced while arming",
                                             "coordinator replaced while committing",
                                             "agent replaced when staged",
                                             "agent replaced when armed",
                                             "engine restarts"};
    return kNames[static_cast<std::size_t>(fault)];
}

namespace
{

template<typename T>
bool carries(const Packet &packet)
{
    return std::holds_alternative<T>(*packet.message);
}

/** Returns whether @p fault drops @p packet, and counts the dropped messages in @p droppedCount. */
bool dropsPacket(MapFault fault, const Packet &packet, unsigned &droppedCount)
{
    const bool matches = (fault == MapFault::LoseStage && carries<wire::MapStageT>(packet))
                         || (fault == MapFault::LoseStaged && carries<wire::MapStagedT>(packet))
                         || (fault == MapFault::LoseArm && carries<wire::MapArmT>(packet)) || (fault == MapFault::LoseArmed && carries<wire::MapArmedT>(packet))
                         || ((fault == MapFault::LoseCommit || fault == MapFault::LoseAllCommits) && carries<wire::MapCommitT>(packet));
    const unsigned limit = fault == MapFault::LoseAllCommits ? ~0U : 1U;
    if (!matches || droppedCount >= limit) {
        return false;
    }
    ++droppedCount;
    return true;
}

/** Replaces a process in the phase that @p fault names. Returns true once that is done. */
bool injectFault(MapFault fault, GroupModel &model)
{
    using Kind = GroupModel::Action::Kind;
    const CoordinatorPhase phase = model.coordinator().phase();
    const RankPhase rank = model.rank(0).phase();
    if ((fault == MapFault::CoordinatorReplacedWhileStaging && phase == CoordinatorPhase::Staging)
        || (fault == MapFault::CoordinatorReplacedWhileArming && phase == CoordinatorPhase::Arming)
        || (fault == MapFault::CoordinatorReplacedWhileCommitting && phase == CoordinatorPhase::Committing)) {
        model.packets().clear(); // all messages in transit are lost with it
        model.apply({Kind::CoordinatorReplaced, 0});
        return true;
    }
    if ((fault == MapFault::AgentReplacedWhileStaged && rank == RankPhase::Staged)
        || (fault == MapFault::AgentReplacedWhileArmed && rank == RankPhase::Armed)) {
        model.apply({Kind::AgentReplaced, 0});
        return true;
    }
    if (fault == MapFault::EngineRestarts && rank == RankPhase::Armed) {
        model.apply({Kind::EngineRestarted, 0});
        model.apply({Kind::CoordinatorReplaced, 0}); // the host that notices acquires a new generation and coordinates
        return true;
    }
    return false;
}

} // namespace

StallResult measureStall(MapFault fault, std::uint32_t ranks)
{
    constexpr unsigned kRounds = 60;
    constexpr unsigned kTimeoutRounds = 3; ///< coordinator timer interval in steps' time
    ExplorerOptions options;
    options.ranks = ranks;
    options.steps = 1000;
    options.stepMargin = 4; // more than the default, because an order takes one step's time here
    options.resends = 1000;
    options.coordinatorTakeovers = 1;
    options.agentReplacements = 1;
    options.engineRestarts = 1;
    GroupModel model(options);
    StallResult result;
    unsigned droppedCount = 0;
    bool injected = false;
    bool started = false;
    std::uint64_t lastSteps = 0;
    for (unsigned round = 0; round < kRounds; ++round) {
        // Each round is one step's time: messages in transit arrive, timers fire, and ranks start a step if they may.
        const std::vector<Packet> arriving = std::exchange(model.packets(), {});
        for (const Packet &packet : arriving) {
            if (!dropsPacket(fault, packet, droppedCount)) {
                model.deliver(packet);
            }
        }
        injected = injected || injectFault(fault, model);
        if (!started && model.coordinator().phase() == CoordinatorPhase::Idle) {
            started = true;
            model.apply({GroupModel::Action::Kind::StartSwitch, model.coordinators() - 1});
        }
        if (round % kTimeoutRounds == 0) {
            model.apply({GroupModel::Action::Kind::CoordinatorTick, model.coordinators() - 1});
        }
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            if (!model.rank(rank).engine().outOfGroup) {
                model.startStep(rank);
            }
            if (model.rank(rank).isHolding()) {
                model.apply({GroupModel::Action::Kind::RankTick, rank});
            }
        }
        result.stalledSteps += model.stepsDone() == lastSteps ? 1 : 0;
        result.steppingAtEnd = model.stepsDone() != lastSteps;
        lastSteps = model.stepsDone();
    }
    result.switched = model.rank(0).engine().mapVersion != kFirstVersion;
    return result;
}

} // namespace fulmarlink::testing
