#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/crashrecord.h"

namespace fulmarlink
{

/**
 * This host's attempts at each life of a runner: those in progress, and those that broke
 * off a short while ago. When the runner turns out to have ended, they are the suspects.
 *
 * Contract: pure; not thread-safe.
 */
class RunnerAttempts
{
public:
    using Token = std::uint64_t;
    /** A runner's end is noticed at the latest when its entry lapses or shows a new start: three heartbeats of 1.2 s and one reading of the list. */
    static constexpr Duration kRetention = std::chrono::seconds(5);

    /** How an attempt ended. */
    enum class Outcome : std::uint8_t {
        Resolved, ///< answered, refused, or its caller left: the runner's end later is none of its doing
        Broken, ///< without a word of the runner
    };

    Token add(const TargetIncarnation &life, CrashSuspect suspect);
    /** The first event of its answer has come. */
    void markAnswering(Token token);
    void recordEnd(Token token, Outcome outcome, TimePoint now);

    bool anyInProgress(const TargetIncarnation &life) const;
    /** Those in progress at @p life and those that broke off there lately; they are given once. */
    std::vector<CrashSuspect> takeSuspects(const TargetIncarnation &life, TimePoint now);
    /** Lives of the runner @p id at which attempts are in progress or broke off lately. */
    std::vector<TargetIncarnation> livesOf(const std::string &id, TimePoint now);

private:
    struct Attempt {
        TargetIncarnation life;
        CrashSuspect suspect;
        bool inProgress = true;
        bool taken = false; ///< counted at the end of its runner
        TimePoint endedAt{};
    };

    void forgetOld(TimePoint now);

    std::map<Token, Attempt> m_attempts;
    Token m_last = 0;
};

} // namespace fulmarlink
