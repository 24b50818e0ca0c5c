#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "fulmarlink/crashhistory.h"
#include "fulmarlink/runnerattempts.h"

namespace fulmarlink::testing
{

struct CrashSimulationOptions {
    unsigned hosts = 4;
    unsigned runners = 12;
    unsigned maxAttempts = 2; ///< runners that one attempt of a caller may run on
    unsigned callers = 60; ///< of streams that crash no runner, in progress or waiting to repeat at any time
    unsigned callerRepeats = 1; ///< of one such stream, after a failure
    unsigned crashingRequests = 0; ///< repeated by their callers until the end
    bool crashLate = false; ///< they crash a runner after the first event of their answer, not as they begin
    unsigned crashingSegments = 0; ///< prompt segments that crash each runner that begins a request with them; with any, all prompts have shared segments
    unsigned callersPerSegment = 2; ///< of different requests with each of these, in progress or waiting at any time
    Duration segmentPause = std::chrono::milliseconds(600); ///< mean, until the next request of such a caller
    bool sharesSegments = false; ///< all prompts have shared segments also without crashing ones
    Duration waveInterval = std::chrono::milliseconds(1500); ///< between waves; 0: none
    unsigned waveSize = 3; ///< runners that end in a wave, within kWaveSpread
    Duration restartDelay = std::chrono::milliseconds(1000);
    Duration streamLength = std::chrono::milliseconds(1200); ///< mean, from the first event to the end
    double slowShare = 0.05; ///< of attempts that get no event before their host gives them up
    bool slowRunnersKeepRequests = false; ///< a runner still begins a request that its host has given up
    bool storeAway = false; ///< hosts learn nothing from each other
    Duration length = std::chrono::seconds(12);
    std::uint64_t seed = 1;
};

struct CrashSimulationResult {
    unsigned answered = 0; ///< callers of streams that crash no runner
    unsigned cut = 0; ///< such callers that were left without a whole answer, for any reason
    unsigned heldBack = 0; ///< such streams that some host held back but did not ban
    unsigned banned = 0; ///< such streams that some host banned
    unsigned refusedForSegments = 0; ///< attempts of callers of such streams that a host refused for a segment of their prompts
    unsigned mostOwnCrashes = 0; ///< runners that ended under one attempt of one caller, at most
    std::vector<unsigned> runnersCrashed; ///< by each crashing request, and then by each crashing segment
};

/** Sums and maxima over plays. */
struct CrashSimulationTotals {
    unsigned answered = 0;
    unsigned cut = 0;
    unsigned heldBack = 0;
    unsigned banned = 0;
    unsigned refusedForSegments = 0;
    unsigned mostOwnCrashes = 0;
    unsigned mostCrashed = 0; ///< runners that one crashing request or segment ended, at most
    double meanCrashed = 0; ///< runners that one crashing request or segment ended
};

/** Plays the seeds from 1 to @p plays. */
CrashSimulationTotals playCrashSimulation(CrashSimulationOptions options, std::uint64_t plays);

/**
 * Several hosts with the product's crash history, record of attempts and retry policy, in front
 * of runners that end in waves and under crashing requests, in virtual time. Unlike the hosts it
 * knows why each runner ended.
 */
class CrashSimulation
{
public:
    explicit CrashSimulation(CrashSimulationOptions options);

    CrashSimulationResult run();

private:
    static constexpr std::size_t kNone = ~std::size_t{0};

    struct Runner {
        std::uint64_t born = 1;
        bool up = true;
        TimePoint restartAt{};
    };

    struct Host {
        CrashHistory history;
        RunnerAttempts attempts;
    };

    struct Attempt {
        std::size_t runner = kNone;
        TargetIncarnation incarnation;
        RunnerAttempts::Token token = 0;
        std::optional<TimePoint> firstEventAt; ///< empty: silent until its host gives it up
        TimePoint sentAt{};
        TimePoint endsAt{};
        std::optional<TimePoint> crashAt; ///< of a crashing request
        bool eventSeen = false;
    };

    struct Caller {
        std::uint64_t request = 0; ///< its fingerprint
        bool crashes = false;
        unsigned repeatsLeft = 0;
        std::optional<TimePoint> sendAt; ///< of the next attempt of the caller; empty: one is in progress
        std::size_t host = 0;
        unsigned ran = 0;
        unsigned endedRunners = 0; ///< under this attempt of the caller, as the simulation knows
        std::vector<RunnerAttempts::Token> broken; ///< of this attempt of the caller
        bool answerBegun = false;
        Attempt attempt;
        std::size_t culpritIndex = kNone;
        std::size_t crashingSegment = kNone; ///< that its prompts contain
    };

    struct Detection {
        TimePoint at{};
        std::size_t host = 0;
        TargetIncarnation incarnation;
    };

    struct Delivery {
        TimePoint at{};
        std::size_t host = 0;
        CrashRecord record;
    };

    /** A request that its host has given up and that its runner begins all the same. */
    struct Leftover {
        TimePoint at{};
        std::size_t runner = kNone;
        std::uint64_t born = 0;
        std::size_t culpritIndex = kNone;
    };

    Duration between(Duration least, Duration most);
    std::size_t below(std::size_t bound);
    CrashSuspect suspectOf(const Caller &caller) const;
    std::vector<std::string> segmentsOf(const Caller &caller) const;
    CrashKeys keysOf(const Caller &caller) const;
    void addCaller(bool crashes);
    void addSegmentCaller(std::size_t segment);
    void restartRunners();
    void startWave();
    void endRunner(std::size_t index, std::size_t culpritIndex);
    void beginLeftovers();
    void advance(Caller &caller);
    void sendFromCaller(Caller &caller);
    void sendToRunner(Caller &caller);
    bool claimTrial(const CrashStatus &status);
    void attemptBroken(Caller &caller, RunnerAttempts::Outcome outcome, bool runnerEnded);
    void finish(Caller &caller, bool answered);
    void detectEnds();
    void deliverRecords();
    void apply(std::size_t host, const CrashRecord &record);

    const CrashSimulationOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now;
    TimePoint m_nextWave;
    std::vector<Runner> m_runners;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<Caller> m_callers;
    std::vector<std::pair<TimePoint, std::size_t>> m_waveEnds;
    std::vector<Detection> m_detections;
    std::vector<Delivery> m_deliveries;
    std::vector<Leftover> m_leftovers;
    std::set<std::uint64_t> m_crashingRequests;
    std::set<std::string> m_trials; ///< names of their records
    std::map<std::uint64_t, CrashVerdict> m_worstVerdicts; ///< of streams that crash no runner, by request
    std::uint64_t m_nextRequest = 0;
    std::uint64_t m_records = 0;
    CrashSimulationResult m_result;
};

} // namespace fulmarlink::testing
