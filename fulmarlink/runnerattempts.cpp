#include "fulmarlink/runnerattempts.h"

#include <algorithm>

namespace fulmarlink
{

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
        suspect.answerStarted = suspect.answerStarted || suspect.state != SuspectState::Lost;
    }
    return suspects;
}

RunnerAttempts::Token RunnerAttempts::add(const TargetIncarnation &incarnation, CrashSuspect suspect)
{
    m_attempts.emplace(++m_lastToken, Attempt{incarnation, std::move(suspect)});
    return m_lastToken;
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
        it->second.suspect.state = outcome == Outcome::Lost ? SuspectState::Lost : SuspectState::GivenUp;
        it->second.endedAt = now;
    }
    removeExpired(now);
    return reported;
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
        result.push_back(attempt.suspect);
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
