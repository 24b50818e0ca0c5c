#include "fulmarlink/runnerattempts.h"

#include <algorithm>

namespace fulmarlink
{

namespace
{

constexpr std::chrono::milliseconds kMinExposure{1}; ///< of an attempt whose times are known; 0 stands for unknown
constexpr std::size_t kMaxSingleReadBytes = 512; ///< common servers read at least so much at once; of a longer request a runner may have read a part
constexpr std::size_t kMaxSurvivors = 16; ///< per suspect; bounds the size of a record

} // namespace

std::string_view suspectStateName(SuspectState state)
{
    switch (state) {
    case SuspectState::InProgress:
        return "in-progress";
    case SuspectState::Lost:
        return "lost";
    case SuspectState::GivenUp:
        return "given-up";
    case SuspectState::Survived:
        return "survived";
    }
    return "in-progress";
}

std::vector<CrashSuspect> crashEvidence(std::vector<CrashSuspect> suspects)
{
    for (CrashSuspect &suspect : suspects) {
        suspect.unlikely = suspect.state == SuspectState::Survived;
        suspect.unanswered = !suspect.answerStarted && suspect.state != SuspectState::InProgress;
        suspect.answerStarted = suspect.answerStarted || suspect.state != SuspectState::Lost;
        if (suspect.answerStarted) {
            suspect.segments.clear(); // those are judged by requests that were lost before the answer
        }
    }
    return suspects;
}

RunnerAttempts::Outcome RunnerAttempts::brokenOutcome(ConnectionEnd connectionEnd, std::size_t requestBytes, bool answerStarted)
{
    const bool readAtOnce = requestBytes <= kMaxSingleReadBytes;
    switch (connectionEnd) {
    case ConnectionEnd::Open:
        return Outcome::Broken;
    case ConnectionEnd::InOrder:
        return Outcome::LostInOrder;
    case ConnectionEnd::Reset:
        return readAtOnce && !answerStarted ? Outcome::LostUnread : Outcome::Lost;
    case ConnectionEnd::Failed:
        return Outcome::Lost;
    }
    return Outcome::Lost;
}

RunnerAttempts::Token RunnerAttempts::add(const TargetIncarnation &incarnation, CrashSuspect suspect, std::optional<Start> start)
{
    Attempt attempt{incarnation, std::move(suspect)};
    attempt.start = start;
    m_attempts.emplace(++m_lastToken, std::move(attempt));
    return m_lastToken;
}

/**
 * How long the runner may have been working on the attempt before it ended. A lost attempt shows when that was. A given-up one had not been begun
 * while its host waited, so only the time after that counts.
 */
std::chrono::milliseconds RunnerAttempts::exposureOf(const Attempt &attempt, TimePoint now) const
{
    if (!attempt.start) {
        return std::chrono::milliseconds(0);
    }
    const bool givenUp = attempt.suspect.state == SuspectState::GivenUp || attempt.suspect.state == SuspectState::Survived;
    const TimePoint from = givenUp ? attempt.endedAt : attempt.start->sentAt;
    const TimePoint until = attempt.suspect.state == SuspectState::Lost ? attempt.endedAt : now;
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(until - from), kMinExposure);
}

std::vector<TargetIncarnation> RunnerAttempts::survivors(const RequestFingerprint &fingerprint, std::chrono::milliseconds exposure, TimePoint now) const
{
    std::vector<TargetIncarnation> result;
    for (const auto &[token, attempt] : m_attempts) {
        const bool lost = attempt.suspect.state == SuspectState::Lost;
        if (attempt.suspect.fingerprint != fingerprint || lost || attempt.reported || !attempt.start) {
            continue;
        }
        const bool hasBegun = attempt.start->hasSlot || attempt.suspect.answerStarted;
        const TimePoint until = attempt.inProgress ? now : attempt.endedAt;
        const bool asLong = until - attempt.start->sentAt >= exposure;
        if (hasBegun && asLong && result.size() < kMaxSurvivors && std::ranges::find(result, attempt.incarnation) == result.end()) {
            result.push_back(attempt.incarnation);
        }
    }
    return result;
}

void RunnerAttempts::markAnswering(Token token)
{
    const auto it = m_attempts.find(token);
    if (it == m_attempts.end()) {
        return;
    }
    it->second.suspect.answerStarted = true;
    recordAnswer(it->second.incarnation);
}

void RunnerAttempts::recordAnswer(const TargetIncarnation &incarnation)
{
    for (auto &[token, attempt] : m_attempts) {
        if (attempt.suspect.state == SuspectState::GivenUp && attempt.incarnation == incarnation) {
            attempt.suspect.state = SuspectState::Survived;
        }
    }
}

void RunnerAttempts::markAccepting(Token token)
{
    const auto it = m_attempts.find(token);
    if (it != m_attempts.end()) {
        it->second.suspect.state = SuspectState::GivenUp;
        it->second.suspect.unread = false;
    }
}

std::size_t RunnerAttempts::unresolved(std::span<const Token> tokens, TimePoint now)
{
    removeExpired(now);
    return static_cast<std::size_t>(std::ranges::count_if(tokens, [this](Token token) {
        const auto it = m_attempts.find(token);
        return it != m_attempts.end() && !it->second.inProgress && it->second.suspect.state != SuspectState::Survived;
    }));
}

bool RunnerAttempts::recordEnd(Token token, Outcome outcome, TimePoint now)
{
    const auto it = m_attempts.find(token);
    if (it == m_attempts.end()) {
        return false;
    }
    const bool reported = it->second.reported;
    if (outcome == Outcome::Resolved || reported) {
        m_attempts.erase(it);
    } else {
        it->second.inProgress = false;
        setOutcome(it->second, outcome, now);
    }
    removeExpired(now);
    return reported;
}

void RunnerAttempts::setOutcome(Attempt &attempt, Outcome outcome, TimePoint now)
{
    attempt.suspect.state = outcome == Outcome::Broken ? SuspectState::GivenUp : SuspectState::Lost;
    attempt.suspect.unread = outcome == Outcome::LostUnread;
    attempt.suspect.closedInOrder = outcome == Outcome::LostInOrder;
    attempt.endedAt = now;
}

void RunnerAttempts::updateEnd(Token token, Outcome outcome, TimePoint now)
{
    const auto it = m_attempts.find(token);
    if (it == m_attempts.end() || it->second.inProgress) {
        return;
    }
    if (outcome == Outcome::Resolved) {
        it->second.suspect.state = SuspectState::Survived;
    } else if (outcome != Outcome::Broken) {
        setOutcome(it->second, outcome, now);
    }
}

void RunnerAttempts::removeExpired(TimePoint now)
{
    std::erase_if(m_attempts, [now](const auto &entry) {
        return !entry.second.inProgress && now - entry.second.endedAt > kRetention;
    });
}

bool RunnerAttempts::anyInProgress(const TargetIncarnation &incarnation) const
{
    return std::ranges::any_of(m_attempts, [&incarnation](const auto &entry) {
        return entry.second.inProgress && entry.second.incarnation == incarnation;
    });
}

std::vector<CrashSuspect> RunnerAttempts::takeSuspects(const TargetIncarnation &incarnation, TimePoint now)
{
    return take(incarnation, false, now);
}

std::vector<CrashSuspect> RunnerAttempts::takeSurvived(const TargetIncarnation &incarnation, TimePoint now)
{
    return take(incarnation, true, now);
}

std::vector<CrashSuspect> RunnerAttempts::take(const TargetIncarnation &incarnation, bool survived, TimePoint now)
{
    removeExpired(now);
    std::vector<CrashSuspect> result;
    for (auto &[token, attempt] : m_attempts) {
        const bool wanted = (attempt.suspect.state == SuspectState::Survived) == survived;
        if (!wanted || attempt.incarnation != incarnation || attempt.reported) {
            continue;
        }
        attempt.reported = true;
        CrashSuspect suspect = attempt.suspect;
        suspect.exposure = exposureOf(attempt, now);
        result.push_back(std::move(suspect));
    }
    for (CrashSuspect &suspect : result) {
        suspect.survivors = survivors(suspect.fingerprint, suspect.exposure, now);
    }
    std::erase_if(m_attempts, [](const auto &entry) {
        return entry.second.reported && !entry.second.inProgress;
    });
    return result;
}

std::vector<TargetIncarnation> RunnerAttempts::incarnationsOf(const std::string &id, TimePoint now)
{
    removeExpired(now);
    std::vector<TargetIncarnation> result;
    for (const auto &[token, attempt] : m_attempts) {
        const bool listed = std::ranges::find(result, attempt.incarnation) != result.end();
        if (attempt.incarnation.id == id && !attempt.reported && !listed) {
            result.push_back(attempt.incarnation);
        }
    }
    return result;
}

} // namespace fulmarlink
