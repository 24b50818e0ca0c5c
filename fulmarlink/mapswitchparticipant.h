#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/cloned.h"
#include "fulmarlink/message.h"

namespace fulmarlink
{

/** Names one version of a group's expert map, and at the same time the attempt to switch to it. */
using MapVersion = std::uint64_t;

/** Where a rank is in a switch of maps. */
enum class RankPhase : std::uint8_t {
    Idle,
    Staged, ///< the moved experts are loaded beside the old map
    Armed, ///< promised not to run the switching step before it knows the outcome
    Committed, ///< switches at the step
};

/**
 * What survives a rank's agent, because the engine beside it keeps it. A new agent
 * reads it from the engine before it says anything.
 */
struct RankEngineState {
    std::uint64_t generation = 0; ///< the highest fencing number seen
    std::uint64_t epoch = 0; ///< the generation in which the group was last formed; ranks of one epoch step together
    MapVersion mapVersion = 0; ///< in use
    MapVersion armedVersion = 0; ///< 0: not armed
    std::uint64_t armedStep = 0;
    MapVersion nextVersion = 0; ///< committed, in use from armedStep on; 0: none
    std::uint64_t step = 0; ///< the next step to run
    bool outOfGroup = false; ///< the engine has restarted and belongs to no group until it joins a new epoch
    bool operator==(const RankEngineState &) const = default;
};

struct RankOptions {
    std::uint64_t group = 0;
    std::uint32_t rank = 0;
    std::uint32_t ranks = 1;
    Duration peerQueryDelay = std::chrono::milliseconds(20); ///< holding for so long, it asks its peers
};

/** A message to one rank's agent, to all other ranks, or to whoever coordinates. */
struct MapMessage {
    enum class Destination : std::uint8_t {
        Rank,
        Coordinator,
    } destination = Destination::Coordinator;
    std::uint32_t rank = 0;
    Message message;
};

/**
 * One rank's side of the switch protocol, in the agent beside its engine.
 *
 * How to use: before each step ask mapForNextStep(); run the step only if it gives a version.
 * Report completeStep(), messages and ticks; send what takeMessages() gives.
 *
 * Contract: in one epoch, no two ranks get different versions from mapForNextStep() for the
 * same step. A rank that is armed is let go only by a proof: that all ranks are armed
 * (commit), or that one rank never will be (abort). Copyable; pure; not thread-safe.
 */
class MapSwitchParticipant
{
public:
    MapSwitchParticipant(RankOptions options, const RankEngineState &engine);
    ~MapSwitchParticipant();
    MapSwitchParticipant(const MapSwitchParticipant &other);
    MapSwitchParticipant &operator=(const MapSwitchParticipant &other);

    /** The map for the next step, or none: hold. */
    std::optional<MapVersion> mapForNextStep(TimePoint now);
    void completeStep();
    void receive(TimePoint now, const Message &message);
    void tick(TimePoint now);

    const RankEngineState &engine() const;
    RankPhase phase() const;
    MapVersion vetoedVersion() const;
    MapVersion stagedVersion() const;
    bool isHolding() const;
    std::vector<MapMessage> takeMessages();

private:
    class Machine;

    void handleStage(const wire::MapStageT &stage);
    void handleArm(const wire::MapArmT &arm);
    void handleAsk(const wire::MapAskT &ask);
    void handleTell(const wire::MapTellT &tell);
    void handleForm(const wire::MapFormT &form);
    void commit(MapVersion version);
    void abort(MapVersion version);
    void raiseGeneration(std::uint64_t generation);
    void veto(MapVersion version);
    void queryPeers(TimePoint now);
    wire::MapTellT stateReport() const;
    void sendToCoordinator(const Message &message);

    RankOptions m_options;
    RankEngineState m_engine;
    Cloned<Machine> m_machine;
    MapVersion m_stagedVersion = 0;
    MapVersion m_vetoedVersion = 0; ///< this agent will never arm a version up to here
    std::vector<bool> m_armedPeers;
    TimePoint m_holdingSince{};
    TimePoint m_lastPeerQuery{};
    bool m_holding = false;
    std::vector<MapMessage> m_messages;
};

} // namespace fulmarlink
