#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/cloned.h"
#include "fulmarlink/mapswitchparticipant.h"

namespace fulmarlink
{

/** Phase of a map switch coordinator. */
enum class CoordinatorPhase : std::uint8_t {
    Recovering, ///< new coordinator: queries the state of every rank
    Idle,
    Staging,
    Arming, ///< from here on it aborts only when a rank refuses or vetoes
    Committing,
    Fenced, ///< a rank has seen a newer generation; final
};

struct CoordinatorOptions {
    std::uint64_t group = 0;
    std::uint64_t generation = 1; ///< acquired by a conditional update of the group's object
    std::uint32_t ranks = 1;
    std::uint64_t stepMargin = 2; ///< steps between the highest step that a rank reported and the switch step
    Duration resendInterval = std::chrono::milliseconds(50);
};

/**
 * The coordinator's side of the map switch protocol, for one group and one generation.
 *
 * Usage: create one after acquiring a generation, pass in messages and ticks, and call
 * start() when phase() is Idle. The owner must check that its lease is valid before each
 * call that sends orders. An owner that was paused and continues with an expired lease
 * does no harm, because ranks refuse older generations and its versions are lower than
 * those of newer generations.
 *
 * Contract: it orders a commit only after every rank has answered "armed". Once it has
 * sent arm orders, it orders an abort only when a rank refuses or vetoes. Copyable;
 * does no I/O; not thread-safe.
 */
class MapSwitchCoordinator
{
public:
    explicit MapSwitchCoordinator(CoordinatorOptions options);
    ~MapSwitchCoordinator();
    MapSwitchCoordinator(const MapSwitchCoordinator &other);
    MapSwitchCoordinator &operator=(const MapSwitchCoordinator &other);

    /** Starts a switch to a new map. Returns its version, or 0 if the phase is not Idle. */
    MapVersion start(TimePoint now, std::vector<std::uint16_t> assignment);
    void receive(TimePoint now, const Message &message);
    void tick(TimePoint now);

    CoordinatorPhase phase() const;
    /** The latest version known to be committed; 0 before recovery. */
    MapVersion currentVersion() const;
    MapVersion attemptedVersion() const;
    std::vector<MapMessage> takeMessages();
    /** Compact encoding of the state, for tests that explore all interleavings. */
    std::string fingerprint() const;

private:
    class Machine;

    void handleStaged(TimePoint now, const wire::MapStagedT &staged);
    void handleArmed(const wire::MapArmedT &armed);
    void handleTell(TimePoint now, const wire::MapTellT &report);
    void decideRecovery();
    void beginArming();
    void commitAll();
    void abortAll(MapVersion version);
    void sendForm(std::uint32_t rank);
    void resend();
    void sendToAll(const Message &message);
    Message stageMessage() const;
    bool allAnswered() const;

    CoordinatorOptions m_options;
    Cloned<Machine> m_machine;
    MapVersion m_currentVersion = 0;
    MapVersion m_attemptedVersion = 0;
    std::uint64_t m_switchStep = 0;
    std::uint64_t m_highestStep = 0; ///< highest step that a rank has reported
    std::vector<std::uint16_t> m_assignment;
    std::vector<bool> m_answered;
    std::vector<wire::MapTellT> m_reports;
    TimePoint m_lastSend{};
    bool m_forming = false; ///< waiting until every rank has joined the new epoch
    std::vector<MapMessage> m_messages;
};

} // namespace fulmarlink
