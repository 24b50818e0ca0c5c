#include "fulmarlink/runnerattempts.h"

#include <algorithm>

namespace fulmarlink
{

RunnerAttempts::Token RunnerAttempts::add(const TargetIncarnation &life, CrashSuspect suspect)
{
    m_attempts.emplace(++m_last, Attempt{life, std::move(suspect)});
    return m_last;
}

void RunnerAttempts::markAnswering(Token token)
{
    const auto it = m_attempts.find(token);
    if (it != m_attempts.end()) {
        it->second.suspect.answerStarted = true;
    }
}

void RunnerAttempts::recordEnd(Token token, Outcome outcome, TimePoint now)
{
    const auto it = m_attempts.find(token);
    if (it == m_attempts.end()) {
        return;
    }
    if (outcome == Outcome::Resolved || it->second.taken) {
        m_attempts.erase(it);
    } else {
        it->second.inProgress = false;
        it->second.endedAt = now;
    }
    forgetOld(now);
}

void RunnerAttempts::forgetOld(TimePoint now)
{
    std::erase_if(m_attempts, [now](const auto &entry) {
        return !entry.second.inProgress && now - entry.second.endedAt > kRetention;
    });
}

bool RunnerAttempts::anyInProgress(const TargetIncarnation &life) const
{
    return std::ranges::any_of(m_attempts, [&life](const auto &entry) {
        return entry.second.inProgress && entry.second.life == life;
    });
}

std::vector<CrashSuspect> RunnerAttempts::takeSuspects(const TargetIncarnation &life, TimePoint now)
{
    forgetOld(now);
    std::vector<CrashSuspect> result;
    for (auto &[token, attempt] : m_attempts) {
        if (attempt.life != life || attempt.taken) {
            continue;
        }
        attempt.taken = true;
        result.push_back(attempt.suspect);
    }
    std::erase_if(m_attempts, [](const auto &entry) {
        return entry.second.taken && !entry.second.inProgress;
    });
    return result;
}

std::vector<TargetIncarnation> RunnerAttempts::livesOf(const std::string &id, TimePoint now)
{
    forgetOld(now);
    std::vector<TargetIncarnation> result;
    for (const auto &[token, attempt] : m_attempts) {
        const bool known = std::ranges::find(result, attempt.life) != result.end();
        if (attempt.life.id == id && !attempt.taken && !known) {
            result.push_back(attempt.life);
        }
    }
    return result;
}

} // namespace fulmarlink
