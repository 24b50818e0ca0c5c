#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/connectionend.h"
#include "fulmarlink/crashrecord.h"

namespace fulmarlink
{

/**
 * Returns the suspects as a crash record has them. Only a lost attempt without an event shows that the answer had not started: a runner may not
 * have begun a given-up one, and events of one in progress may not have been read yet.
 */
std::vector<CrashSuspect> crashEvidence(std::vector<CrashSuspect> suspects);

/**
 * This host's attempts at each incarnation of a runner: those in progress, and those that
 * broke recently. They are the suspects if the runner is found to have ended.
 *
 * Contract: no I/O, and time is passed in; not thread-safe.
 */
class RunnerAttempts
{
public:
    using Token = std::uint64_t;
    /**
     * How long broken attempts are kept. A runner's end is detected at the latest when its list entry expires
     * or shows a new start, that is after three heartbeats of 1.2 s and one read of the list.
     */
    static constexpr Duration kRetention = std::chrono::seconds(5);

    /** How an attempt ended. A given-up attempt is no suspect once its runner answers another one. */
    enum class Outcome : std::uint8_t {
        Resolved, ///< answered, refused, or abandoned by its caller: not a suspect if the runner ends later
        Broken, ///< given up by this host before a complete answer or a refusal
        Lost, ///< its connection was closed by the runner or the network before a complete answer or a refusal
        LostUnread, ///< the same, by a reset before any part of the answer; the runner would have read the request at once
        LostInOrder, ///< the same, by an orderly close
    };

    /** How an attempt began. */
    struct Start {
        TimePoint sentAt{};
        bool hasSlot = false; ///< the runner had room to begin it at once
    };

    /** The outcome of an attempt without a complete answer, whose request had @p requestBytes. */
    static Outcome brokenOutcome(ConnectionEnd connectionEnd, std::size_t requestBytes, bool answerStarted);

    /** Without @p start the exposure of the suspect is unknown. */
    Token add(const TargetIncarnation &incarnation, CrashSuspect suspect, std::optional<Start> start = std::nullopt);
    /** Call when an event of the answer arrives. */
    void markAnswering(Token token);
    /** Call when the runner answers any attempt. */
    void recordAnswer(const TargetIncarnation &incarnation);
    /** Returns true if takeSuspects() has returned the attempt while it was in progress. */
    bool recordEnd(Token token, Outcome outcome, TimePoint now);
    /** Call when the connection of a given-up attempt shows what became of it: lost, or with Outcome::Resolved answered after all. */
    void updateEnd(Token token, Outcome outcome, TimePoint now);
    /** The runner accepts new connections after it has lost that of the attempt, which counts as given up from now on. */
    void markAccepting(Token token);
    /** Number of these attempts that have been lost or given up, and of which it is not known yet whether their runner ended. */
    std::size_t unresolved(std::span<const Token> tokens, TimePoint now);

    bool anyInProgress(const TargetIncarnation &incarnation) const;
    /**
     * Returns the runners that have had a copy of the request for at least @p exposure, until now or until this host gave it up, and that are not
     * known to have ended. A copy that may have been waiting there does not count.
     */
    std::vector<TargetIncarnation> survivors(const RequestFingerprint &fingerprint, std::chrono::milliseconds exposure, TimePoint now) const;
    /** Returns the attempts at @p incarnation that are in progress or broke within kRetention, each of them once, without takeSurvived(). */
    std::vector<CrashSuspect> takeSuspects(const TargetIncarnation &incarnation, TimePoint now);
    /** Returns the attempts at @p incarnation that were given up within kRetention before the runner answered others, each of them once. */
    std::vector<CrashSuspect> takeSurvived(const TargetIncarnation &incarnation, TimePoint now);
    /** Returns the incarnations of the runner @p id with attempts that are in progress or broke within kRetention. */
    std::vector<TargetIncarnation> incarnationsOf(const std::string &id, TimePoint now);

private:
    struct Attempt {
        TargetIncarnation incarnation;
        CrashSuspect suspect;
        bool inProgress = true;
        bool reported = false; ///< returned by takeSuspects()
        std::optional<Start> start{};
        TimePoint endedAt{};
    };

    std::vector<CrashSuspect> take(const TargetIncarnation &incarnation, bool survived, TimePoint now);
    std::chrono::milliseconds exposureOf(const Attempt &attempt, TimePoint now) const;
    static void setOutcome(Attempt &attempt, Outcome outcome, TimePoint now);
    void removeExpired(TimePoint now);

    std::map<Token, Attempt> m_attempts;
    Token m_lastToken = 0;
};

} // namespace fulmarlink
