// Prints, for runners that end in waves and under requests or prompt segments that crash them, how many streams are
// refused that crash no runner, and how many runners a crashing request or segment gets.
//   build/crashwaves_bench [PLAYS]

#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "testing/harness/crashsimulation.h"

namespace
{

using namespace fulmarlink;
using namespace fulmarlink::testing;
using namespace std::chrono_literals;

constexpr std::uint64_t kDefaultPlays = 100;

struct Row {
    const char *name;
    CrashSimulationOptions options;
};

const std::vector<Row> kRows{
    {"waves each 1.5 s", {}},
    {"waves each 1.5 s, callers repeat 4 times", {.callerRepeats = 4}},
    {"waves each 0.4 s", {.waveInterval = 400ms}},
    {"waves of 8 of 16", {.runners = 16, .waveSize = 8}},
    {"3 attempts, waves of 2 of 8 each 0.25 s, no repeats",
     {.runners = 8, .maxAttempts = 3, .callerRepeats = 0, .waveInterval = 250ms, .waveSize = 2, .restartDelay = 350ms}},
    {"1 early crasher", {.crashingRequests = 1, .waveInterval = 0ms}},
    {"2 early crashers, waves each 1.5 s", {.crashingRequests = 2}},
    {"2 early crashers, waves each 0.4 s", {.crashingRequests = 2, .waveInterval = 400ms}},
    {"2 early crashers, slow runners", {.crashingRequests = 2, .slowShare = 0.3}},
    {"2 early crashers, slow runners that keep requests", {.crashingRequests = 2, .slowShare = 0.3, .slowRunnersKeepRequests = true}},
    {"1 late crasher", {.crashingRequests = 1, .crashLate = true, .waveInterval = 0ms}},
    {"1 late crasher, waves each 1.5 s", {.crashingRequests = 1, .crashLate = true}},
    {"2 late crashers", {.crashingRequests = 2, .crashLate = true, .waveInterval = 0ms}},
    {"2 late crashers, waves each 1.5 s", {.crashingRequests = 2, .crashLate = true}},
    {"shared segments, waves each 1.5 s", {.sharesSegments = true}},
    {"shared segments, waves each 0.4 s", {.sharesSegments = true, .waveInterval = 400ms}},
    {"shared segments, waves of 8 of 16", {.runners = 16, .sharesSegments = true, .waveSize = 8}},
    {"1 crashing segment", {.crashingSegments = 1, .waveInterval = 0ms}},
    {"1 crashing segment, 8 callers", {.crashingSegments = 1, .callersPerSegment = 8, .waveInterval = 0ms}},
    {"1 crashing segment, 1 caller each 3 s", {.crashingSegments = 1, .callersPerSegment = 1, .segmentPause = 3000ms, .waveInterval = 0ms}},
    {"1 crashing segment, waves each 1.5 s", {.crashingSegments = 1}},
    {"1 crashing segment, waves each 0.4 s", {.crashingSegments = 1, .waveInterval = 400ms}},
    {"2 crashing segments", {.crashingSegments = 2, .waveInterval = 0ms}},
    {"2 crashing segments, waves each 1.5 s", {.crashingSegments = 2}},
    {"1 crashing segment, 6 other callers", {.callers = 6, .crashingSegments = 1, .waveInterval = 0ms}},
    {"1 crashing segment, slow runners", {.crashingSegments = 1, .waveInterval = 0ms, .slowShare = 0.3}},
};

void print(const Row &row, std::uint64_t plays)
{
    const CrashSimulationTotals totals = playCrashSimulation(row.options, plays);
    std::cout << std::left << std::setw(56) << row.name << std::right << std::setw(9) << totals.answered << std::setw(8) << totals.cut << std::setw(6)
              << totals.heldBack << std::setw(8) << totals.banned << std::setw(8) << totals.refusedForSegments << std::setw(8) << std::fixed
              << std::setprecision(2) << totals.meanCrashed << std::setw(6) << totals.mostCrashed << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t plays = argc > 1 ? std::stoull(argv[1]) : kDefaultPlays;
    std::cout << std::left << std::setw(56) << "streams answered, cut, held back, banned, refused for a segment; runners a crasher: mean, most" << '\n';
    for (const Row &row : kRows) {
        print(row, plays);
    }
    return 0;
}
