#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/cloned.h"
#include "fulmarlink/mapswitchparticipant.h"

namespace fulmarlink
{

/** Where a coordinator is. */
enum class CoordinatorPhase : std::uint8_t {
    Recovering, ///< new: asks every rank what it is in
    Idle,
    Staging,
    Arming, ///< from here on it may no longer abort by itself
    Committing,
    Fenced, ///< a rank knows a newer generation: this coordinator is over
};

struct CoordinatorOptions {
    std::uint64_t group = 0;
    std::uint64_t generation = 1; ///< won by a conditional update of the group's object
    std::uint32_t ranks = 1;
    std::uint64_t stepMargin = 2; ///< steps between the slowest rank and the switch
    Duration resendInterval = std::chrono::milliseconds(50);
};

/**
 * The coordinator's side of the switch protocol, for one group and one generation.
 *
 * How to use: make one after winning a generation; feed messages and ticks; when
 * phase() is Idle, start() a switch. leaseValid must be checked by the owner before
 * each call that sends orders; a paused owner that goes on all the same does no harm,
 * because ranks refuse older generations and its versions lie below the newer ones'.
 *
 * Contract: it orders a commit only after every rank has said "armed", and an abort
 * after that only on a rank's refusal. Copyable; pure; not thread-safe.
 */
class MapSwitchCoordinator
{
public:
    explicit MapSwitchCoordinator(CoordinatorOptions options);
    ~MapSwitchCoordinator();
    MapSwitchCoordinator(const MapSwitchCoordinator &other);
    MapSwitchCoordinator &operator=(const MapSwitchCoordinator &other);

    /** Begins to switch to a new map; gives its version, or 0 if not Idle. */
    MapVersion start(TimePoint now, std::vector<std::uint16_t> assignment);
    void receive(TimePoint now, const Message &message);
    void tick(TimePoint now);

    CoordinatorPhase phase() const;
    /** The map that all ranks use, as far as is known. */
    MapVersion currentVersion() const;
    MapVersion attemptedVersion() const;
    std::vector<MapMessage> takeMessages();
    /** Compact state, for tests that explore all interleavings. */
    std::string fingerprint() const;

private:
    class Machine;

    void handleStaged(TimePoint now, const wire::MapStagedT &staged);
    void handleArmed(const wire::MapArmedT &armed);
    void handleTell(TimePoint now, const wire::MapTellT &told);
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
    std::uint64_t m_highestStep = 0;
    std::vector<std::uint16_t> m_assignment;
    std::vector<bool> m_answered;
    std::vector<wire::MapTellT> m_told;
    TimePoint m_lastSend{};
    bool m_forming = false; ///< waits until every rank has joined the new epoch
    std::vector<MapMessage> m_messages;
};

} // namespace fulmarlink
