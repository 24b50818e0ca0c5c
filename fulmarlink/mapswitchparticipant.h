#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/cloned.h"
#include "fulmarlink/message.h"

namespace fulmarlink
{

/** Version number of a group's expert map. It also identifies the attempt to switch to that map. */
using MapVersion = std::uint64_t;

/** Phase of a rank in a map switch. */
enum class RankPhase : std::uint8_t {
    Idle,
    Staged, ///< the moved experts are loaded; the old map is still in use
    Armed, ///< will not run the switch step before it knows the outcome
    Committed, ///< uses the new map from the switch step on
};

/**
 * State of a rank that its engine stores, so that it survives a restart of the agent.
 * A new agent reads it from the engine before it sends any message.
 */
struct RankEngineState {
    std::uint64_t generation = 0; ///< highest coordinator generation seen; stage, arm and form orders of older ones are refused
    std::uint64_t epoch = 0; ///< generation in which the group was last formed; ranks of one epoch run steps together
    MapVersion mapVersion = 0; ///< version in use
    MapVersion armedVersion = 0; ///< 0: not armed
    std::uint64_t armedStep = 0; ///< switch step: the first that uses the armed version
    MapVersion nextVersion = 0; ///< committed version, used from armedStep on; 0: none
    std::uint64_t step = 0; ///< the next step to run
    bool outOfGroup = false; ///< the engine has restarted and belongs to no group until it joins a new epoch
    bool operator==(const RankEngineState &) const = default;
};

struct RankOptions {
    std::uint64_t group = 0;
    std::uint32_t rank = 0;
    std::uint32_t ranks = 1;
    Duration peerQueryDelay = std::chrono::milliseconds(20); ///< an armed rank that has waited this long at the switch step queries its peers
};

/** A message to the agent of one rank or to the coordinator. */
struct MapMessage {
    enum class Destination : std::uint8_t {
        Rank,
        Coordinator,
    } destination = Destination::Coordinator;
    std::uint32_t rank = 0;
    Message message;
};

/**
 * One rank's side of the map switch protocol; runs in the agent next to the engine.
 *
 * Usage: call mapForNextStep() before each step and run the step only if it returns a
 * version. Call completeStep() after each step, pass in messages and ticks, and send the
 * messages from takeMessages().
 *
 * Contract: within an epoch, mapForNextStep() never returns different versions to two ranks
 * for the same step. An armed rank is released only by proof that all ranks are armed
 * (commit) or that some rank never will be (abort). Copyable; does no I/O; not thread-safe.
 */
class MapSwitchParticipant
{
public:
    MapSwitchParticipant(RankOptions options, const RankEngineState &engine);
    ~MapSwitchParticipant();
    MapSwitchParticipant(const MapSwitchParticipant &other);
    MapSwitchParticipant &operator=(const MapSwitchParticipant &other);

    /** Returns the map version for the next step, or nothing if the rank must wait. */
    std::optional<MapVersion> mapForNextStep(TimePoint now);
    void completeStep();
    void receive(TimePoint now, const Message &message);
    void tick(TimePoint now);

    const RankEngineState &engine() const;
    RankPhase phase() const;
    MapVersion vetoedVersion() const;
    MapVersion stagedVersion() const;
    /** Whether the rank is waiting at the switch step for the outcome. */
    bool isHolding() const;
    std::vector<MapMessage> takeMessages();

private:
    class Machine;

    void handleStage(const wire::MapStageT &stage);
    void handleArm(const wire::MapArmT &arm);
    void handleAsk(const wire::MapAskT &ask);
    void handleTell(const wire::MapTellT &report);
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
    MapVersion m_vetoedVersion = 0; ///< this agent never arms this or a lower version
    std::vector<bool> m_armedPeers;
    TimePoint m_holdingSince{};
    TimePoint m_lastPeerQuery{};
    bool m_holding = false;
    std::vector<MapMessage> m_messages;
};

} // namespace fulmarlink
