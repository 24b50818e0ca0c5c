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
constexpr Duration kTickTime = 100ms; ///< more than every timeout of the protocol

/** A message on its way, to a rank's agent of one incarnation or to one coordinator. */
struct Flight {
    bool toRank = true;
    std::uint32_t target = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t coordinator = 0; ///< who sent it, or gets the answer
    std::shared_ptr<const Message> message;
    std::uint64_t hash = 0;
};

/** A group, its coordinators and the messages between them. Copyable. */
class GroupModel
{
public:
    explicit GroupModel(const ExplorerOptions &options)
        : m_options(options)
        , m_entered(options.ranks, false)
        , m_incarnation(options.ranks, 1)
        , m_left(options)
    {
        for (std::uint32_t rank = 0; rank < options.ranks; ++rank) {
            m_ranks.push_back(makeRank(rank, firstEngine()));
        }
        addCoordinator();
    }

    /** One thing that may happen next. */
    struct Move {
        enum class Kind : std::uint8_t {
            Deliver,
            Lose,
            Duplicate,
            Enter,
            RankTick,
            CoordinatorTick,
            Start,
            AgentReplaced,
            EngineRestarted,
            CoordinatorReplaced,
        } kind = Kind::Deliver;
        std::uint32_t index = 0;
    };

    std::vector<Move> moves() const
    {
        using Kind = Move::Kind;
        std::vector<Move> result;
        const auto flights = static_cast<std::uint32_t>(m_flights.size());
        for (std::uint32_t i = 0; i < flights; ++i) {
            result.push_back({Kind::Deliver, i});
            if (m_left.losses > 0) {
                result.push_back({Kind::Lose, i});
            }
            if (m_left.duplicates > 0) {
                result.push_back({Kind::Duplicate, i});
            }
        }
        for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
            if (canEnter(rank)) {
                result.push_back({Kind::Enter, rank});
            }
            if (m_ranks[rank].isHolding() && !hasFlightFrom(rank)) {
                result.push_back({Kind::RankTick, rank});
            }
            if (m_left.agentReplacements > 0) {
                result.push_back({Kind::AgentReplaced, rank});
            }
            if (m_left.engineRestarts > 0) {
                result.push_back({Kind::EngineRestarted, rank});
            }
        }
        for (std::uint32_t i = 0; i < m_coordinators.size(); ++i) {
            if (m_resends[i] > 0) {
                result.push_back({Kind::CoordinatorTick, i});
            }
            if (m_left.switches > 0 && m_coordinators[i].phase() == CoordinatorPhase::Idle) {
                result.push_back({Kind::Start, i});
            }
        }
        if (m_left.coordinatorTakeovers > 0) {
            result.push_back({Kind::CoordinatorReplaced, 0});
        }
        return result;
    }

    std::string make(const Move &move)
    {
        using Kind = Move::Kind;
        switch (move.kind) {
        case Kind::Deliver:
            return deliver(take(move.index));
        case Kind::Lose:
            --m_left.losses;
            return "lose " + describe(take(move.index));
        case Kind::Duplicate:
            --m_left.duplicates;
            m_flights.push_back(m_flights[move.index]);
            return "duplicate " + describe(m_flights[move.index]);
        case Kind::Enter:
            enter(move.index);
            return "rank " + std::to_string(move.index) + " enters its step";
        case Kind::RankTick:
            m_now += kTickTime;
            m_ranks[move.index].tick(m_now);
            collectRank(move.index, 0);
            return "rank " + std::to_string(move.index) + " asks its peers";
        case Kind::CoordinatorTick:
            m_now += kTickTime;
            --m_resends[move.index];
            m_coordinators[move.index].tick(m_now);
            collectCoordinator(move.index);
            return "coordinator " + std::to_string(move.index) + " sends again";
        case Kind::Start:
            --m_left.switches;
            m_coordinators[move.index].start(m_now, {});
            collectCoordinator(move.index);
            return "coordinator " + std::to_string(move.index) + " starts a switch";
        case Kind::AgentReplaced:
            --m_left.agentReplacements;
            replaceAgent(move.index, m_ranks[move.index].engine());
            return "agent " + std::to_string(move.index) + " is replaced";
        case Kind::EngineRestarted:
            --m_left.engineRestarts;
            killEngine(move.index);
            return "engine " + std::to_string(move.index) + " restarts";
        case Kind::CoordinatorReplaced:
            --m_left.coordinatorTakeovers;
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
            text += std::to_string(static_cast<int>(state.phase())) + (engine.outOfGroup ? 'l' : '-') + (m_entered[rank] ? 'e' : '-')
                    + (state.isHolding() ? 'h' : '-') + std::to_string(m_incarnation[rank]) + '|';
        }
        for (std::size_t i = 0; i < m_coordinators.size(); ++i) {
            text += m_coordinators[i].fingerprint() + std::to_string(m_resends[i]) + '|';
        }
        std::vector<std::uint64_t> hashes;
        for (const Flight &flight : m_flights) {
            hashes.push_back(flight.hash);
        }
        std::ranges::sort(hashes);
        for (const std::uint64_t hash : hashes) {
            text += std::to_string(hash) + ' ';
        }
        for (const unsigned left :
             {m_left.switches, m_left.losses, m_left.duplicates, m_left.agentReplacements, m_left.engineRestarts, m_left.coordinatorTakeovers}) {
            text += std::to_string(left) + ',';
        }
        return text;
    }

    const std::string &violation() const
    {
        return m_violation;
    }

    std::vector<Flight> &flights()
    {
        return m_flights;
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

    /** The number of whole steps of the group. */
    std::uint64_t stepsDone() const
    {
        return m_stepsDone;
    }

    bool canEnter(std::uint32_t rank) const
    {
        const RankEngineState &engine = m_ranks[rank].engine();
        return !m_entered[rank] && !engine.outOfGroup && engine.step < m_options.steps
               && !(m_ranks[rank].isHolding() && m_ranks[rank].phase() == RankPhase::Armed);
    }

    std::string deliver(const Flight &flight)
    {
        if (flight.toRank) {
            if (m_incarnation[flight.target] == flight.incarnation) {
                m_ranks[flight.target].receive(m_now, *flight.message);
                collectRank(flight.target, flight.coordinator);
            }
        } else {
            m_coordinators[flight.target].receive(m_now, *flight.message);
            collectCoordinator(flight.target);
        }
        return "deliver " + describe(flight);
    }

    Flight take(std::uint32_t index)
    {
        Flight flight = m_flights[index];
        m_flights.erase(m_flights.begin() + index);
        return flight;
    }

    void enter(std::uint32_t rank)
    {
        const auto version = m_ranks[rank].mapForNextStep(m_now);
        if (!version) {
            return;
        }
        const RankEngineState &engine = m_ranks[rank].engine();
        const auto [it, first] = m_used.try_emplace({engine.epoch, engine.step}, *version);
        if (!first && it->second != *version) {
            m_violation = "step " + std::to_string(engine.step) + " runs on maps " + std::to_string(it->second) + " and " + std::to_string(*version);
        }
        m_entered[rank] = true;
        finishStep();
    }

private:
    static RankEngineState firstEngine()
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
        // What was on its way to the old agent dies with its links.
        std::erase_if(m_flights, [&](const Flight &flight) {
            return flight.toRank && flight.target == rank && flight.incarnation != m_incarnation[rank];
        });
    }

    void killEngine(std::uint32_t rank)
    {
        RankEngineState engine;
        engine.outOfGroup = true;
        m_entered[rank] = false;
        replaceAgent(rank, engine);
    }

    /** All ranks of one epoch have entered the same step: it ends. */
    void finishStep()
    {
        const RankEngineState &first = m_ranks.front().engine();
        for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
            const RankEngineState &engine = m_ranks[rank].engine();
            if (!m_entered[rank] || engine.epoch != first.epoch || engine.step != first.step) {
                return;
            }
        }
        for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
            m_ranks[rank].completeStep();
            m_entered[rank] = false;
        }
        ++m_stepsDone;
    }

    bool hasFlightFrom(std::uint32_t rank) const
    {
        return std::ranges::any_of(m_flights, [rank](const Flight &flight) {
            const auto *ask = std::get_if<wire::MapAskT>(flight.message.get());
            const auto *told = std::get_if<wire::MapTellT>(flight.message.get());
            return (ask != nullptr && ask->rank == rank) || (told != nullptr && flight.toRank && flight.target == rank);
        });
    }

    void add(bool toRank, std::uint32_t target, std::uint32_t coordinator, Message message)
    {
        Flight flight;
        flight.toRank = toRank;
        flight.target = target;
        flight.incarnation = toRank ? m_incarnation[target] : 0;
        flight.coordinator = coordinator;
        const std::vector<std::uint8_t> bytes = encodeFrame(message);
        flight.hash = mixHash(hashOf({reinterpret_cast<const char *>(bytes.data()), bytes.size()}), mixHash(target * 2 + (toRank ? 1 : 0), coordinator));
        flight.message = std::make_shared<const Message>(std::move(message));
        m_flights.push_back(std::move(flight));
    }

    void collectRank(std::uint32_t rank, std::uint32_t coordinator)
    {
        // A rank that has been let go may enter; one re-formed leaves the step it was in.
        for (MapMessage &message : m_ranks[rank].takeMessages()) {
            const bool toRank = message.destination == MapMessage::Destination::Rank;
            add(toRank, toRank ? message.rank : coordinator, coordinator, std::move(message.message));
        }
        if (m_epochs.size() < m_options.ranks) {
            m_epochs.assign(m_options.ranks, 0);
        }
        if (m_ranks[rank].engine().epoch != m_epochs[rank]) {
            m_epochs[rank] = m_ranks[rank].engine().epoch;
            m_entered[rank] = false;
        }
    }

    void collectCoordinator(std::uint32_t index)
    {
        for (MapMessage &message : m_coordinators[index].takeMessages()) {
            add(true, message.rank, index, std::move(message.message));
        }
    }

    std::string describe(const Flight &flight) const
    {
        static constexpr const char *kNames[] = {"stage", "staged", "arm", "armed", "commit", "abort", "ask", "tell", "form"};
        const std::size_t first = Message(wire::MapStageT()).index();
        return std::string(kNames[flight.message->index() - first]) + (flight.toRank ? " to rank " : " to coordinator ") + std::to_string(flight.target);
    }

    ExplorerOptions m_options;
    std::vector<MapSwitchParticipant> m_ranks;
    std::vector<bool> m_entered;
    std::vector<std::uint64_t> m_incarnation;
    std::vector<std::uint64_t> m_epochs;
    std::vector<MapSwitchCoordinator> m_coordinators;
    std::vector<unsigned> m_resends;
    std::vector<Flight> m_flights;
    std::map<std::pair<std::uint64_t, std::uint64_t>, MapVersion> m_used; ///< by epoch and step
    ExplorerOptions m_left;
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
        m_result.states = m_seen.size();
        return m_result;
    }

private:
    void visit(const GroupModel &model)
    {
        if (!m_result.violation.empty() || !m_seen.insert(hashOf(model.fingerprint())).second) {
            return;
        }
        if (m_seen.size() >= m_options.maxStates) {
            m_result.complete = false;
            return;
        }
        for (const GroupModel::Move &move : model.moves()) {
            GroupModel next = model;
            m_path.push_back(next.make(move));
            if (!next.violation().empty() && m_result.violation.empty()) {
                m_result.violation = next.violation();
                m_result.path = m_path;
            }
            visit(next);
            m_path.pop_back();
        }
    }

    ExplorerOptions m_options;
    std::unordered_set<std::uint64_t> m_seen;
    std::vector<std::string> m_path;
    ExplorerResult m_result;
};

} // namespace

ExplorerResult exploreExhaustively(const ExplorerOptions &options)
{
    return Explorer(options).run();
}

ExplorerResult exploreRandomWalks(const ExplorerOptions &options, unsigned walks, std::uint64_t seed)
{
    constexpr unsigned kMaxMoves = 400;
    Random random(seed);
    ExplorerResult result;
    for (unsigned walk = 0; walk < walks; ++walk) {
        GroupModel model(options);
        std::vector<std::string> path;
        for (unsigned i = 0; i < kMaxMoves; ++i) {
            const auto moves = model.moves();
            if (moves.empty()) {
                break;
            }
            path.push_back(model.make(moves[random() % moves.size()]));
            ++result.states;
            if (!model.violation().empty()) {
                result.violation = model.violation();
                result.path = path;
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
                                             "coordinator dies while staging",
                                             "coordinator dies while arming",
                                             "coordinator dies while committing",
                                             "agent replaced when staged",
                                             "agent replaced when armed",
                                             "engine restarts"};
    return kNames[static_cast<std::size_t>(fault)];
}

namespace
{

template<typename T>
bool isA(const Flight &flight)
{
    return std::holds_alternative<T>(*flight.message);
}

/** True if @p flight is the message that @p fault loses; @p lost counts them. */
bool loses(MapFault fault, const Flight &flight, unsigned &lost)
{
    const bool wanted = (fault == MapFault::LoseStage && isA<wire::MapStageT>(flight)) || (fault == MapFault::LoseStaged && isA<wire::MapStagedT>(flight))
                        || (fault == MapFault::LoseArm && isA<wire::MapArmT>(flight)) || (fault == MapFault::LoseArmed && isA<wire::MapArmedT>(flight))
                        || ((fault == MapFault::LoseCommit || fault == MapFault::LoseAllCommits) && isA<wire::MapCommitT>(flight));
    const unsigned limit = fault == MapFault::LoseAllCommits ? ~0U : 1U;
    if (!wanted || lost >= limit) {
        return false;
    }
    ++lost;
    return true;
}

/** Replaces a process at the moment that @p fault names; true once done. */
bool strike(MapFault fault, GroupModel &model)
{
    using Kind = GroupModel::Move::Kind;
    const CoordinatorPhase phase = model.coordinator().phase();
    const RankPhase rank = model.rank(0).phase();
    if ((fault == MapFault::CoordinatorReplacedWhileStaging && phase == CoordinatorPhase::Staging)
        || (fault == MapFault::CoordinatorReplacedWhileArming && phase == CoordinatorPhase::Arming)
        || (fault == MapFault::CoordinatorReplacedWhileCommitting && phase == CoordinatorPhase::Committing)) {
        model.flights().clear(); // it dies with all that it was about to send
        model.make({Kind::CoordinatorReplaced, 0});
        return true;
    }
    if ((fault == MapFault::AgentReplacedWhileStaged && rank == RankPhase::Staged)
        || (fault == MapFault::AgentReplacedWhileArmed && rank == RankPhase::Armed)) {
        model.make({Kind::AgentReplaced, 0});
        return true;
    }
    if (fault == MapFault::EngineRestarts && rank == RankPhase::Armed) {
        model.make({Kind::EngineRestarted, 0});
        model.make({Kind::CoordinatorReplaced, 0}); // whoever notices wins a new generation
        return true;
    }
    return false;
}

} // namespace

StallResult measureStall(MapFault fault, std::uint32_t ranks)
{
    constexpr unsigned kRounds = 60;
    constexpr unsigned kTimeoutRounds = 3; ///< a timer fires after so many steps' time
    ExplorerOptions options;
    options.ranks = ranks;
    options.steps = 1000;
    options.stepMargin = 4; // an order takes as long as a step here
    options.resends = 1000;
    options.coordinatorTakeovers = 1;
    options.agentReplacements = 1;
    options.engineRestarts = 1;
    GroupModel model(options);
    StallResult result;
    unsigned lost = 0;
    bool struck = false;
    bool started = false;
    std::uint64_t lastSteps = 0;
    for (unsigned round = 0; round < kRounds; ++round) {
        // Each round is one step's time: what is on its way arrives, timers fire, ranks step if they may.
        const std::vector<Flight> arriving = std::exchange(model.flights(), {});
        for (const Flight &flight : arriving) {
            if (!loses(fault, flight, lost)) {
                model.deliver(flight);
            }
        }
        struck = struck || strike(fault, model);
        if (!started && model.coordinator().phase() == CoordinatorPhase::Idle) {
            started = true;
            model.make({GroupModel::Move::Kind::Start, model.coordinators() - 1});
        }
        if (round % kTimeoutRounds == 0) {
            model.make({GroupModel::Move::Kind::CoordinatorTick, model.coordinators() - 1});
        }
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            if (!model.rank(rank).engine().outOfGroup) {
                model.enter(rank);
            }
            if (model.rank(rank).isHolding()) {
                model.make({GroupModel::Move::Kind::RankTick, rank});
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
