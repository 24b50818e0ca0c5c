// What becomes of requests under each fault and each pair of faults, on the small world
// of real decision code that the scenarios and the fuzzer use; and what at-most-once
// costs the object API. faults_bench [--pairs]

#include <cstring>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>

#include "testing/harness/world.h"

namespace
{

using namespace fulmarlink;
using namespace fulmarlink::testing;
using namespace std::chrono_literals;

constexpr const char *kRules = "rules:\n"
                               "  - {name: notes, when: {path_prefix: /note}, then: {route: pool, idempotent: false}}\n"
                               "  - {name: rest, when: {}, then: {route: pool, idempotent: true}}\n";
constexpr unsigned kSeeds = 5;
constexpr unsigned kRequests = 300; ///< a run, one each 20 ms

struct Fault {
    const char *name;
    std::function<void(World &)> strike;
};

std::vector<Fault> faults()
{
    return {
        {"none",
         [](World &) {
         }},
        {"runner dies",
         [](World &world) {
             world.unlist("r1");
         }},
        {"runner replaced",
         [](World &world) {
             world.restart("r1");
         }},
        {"runner paused 2 s",
         [](World &world) {
             world.pause("r1", 2s);
         }},
        {"runner drains",
         [](World &world) {
             world.drain("r1");
         }},
        {"engine stalls",
         [](World &world) {
             world.setEngineStalled("r1", true);
         }},
        {"engine breaks off",
         [](World &world) {
             world.setEngineBreakAfter("r1", 2);
         }},
        {"entry dies",
         [](World &world) {
             world.unlist("e1");
         }},
        {"entry replaced",
         [](World &world) {
             world.restart("e1");
         }},
        {"entry paused 2 s",
         [](World &world) {
             world.pause("e1", 2s);
         }},
        {"link breaks",
         [](World &world) {
             world.breakLink("e1", "r1");
         }},
        {"link cut 1 s",
         [](World &world) {
             world.cut("e1", "r1", 1s);
         }},
        {"messages doubled, reordered",
         [](World &world) {
             world.setDuplicates(0.5);
             world.setReorder(50ms);
         }},
        {"messages lost, 5%",
         [](World &world) {
             world.setDrops(0.05);
         }},
        {"object API down",
         [](World &world) {
             world.setStoreDown(true);
         }},
        {"object API's answers lost",
         [](World &world) {
             world.loseStoreAnswers(5);
         }},
    };
}

struct Tally {
    unsigned sent = 0;
    unsigned answered = 0;
    unsigned notRun = 0;
    unsigned unknown = 0;
    unsigned entryDied = 0;
    unsigned doubled = 0;
    unsigned falseNotRun = 0;
    unsigned violations = 0;
    std::map<std::string, unsigned> codes;
};

std::unique_ptr<World> makeWorld(std::uint64_t seed)
{
    WorldOptions options;
    options.seed = seed;
    options.rules = kRules;
    auto world = std::make_unique<World>(options);
    for (const char *name : {"e1", "e2", "e3"}) {
        world->addEntry(name, "z");
    }
    for (const char *name : {"r1", "r2", "r3"}) {
        world->addRunner(name, "pool", "z", 4);
    }
    world->run(3s);
    return world;
}

void count(const World &world, Tally &tally)
{
    for (const auto &[id, attempt] : world.attempts()) {
        ++tally.sent;
        if (!attempt.finished) {
            ++tally.entryDied;
            continue;
        }
        const Outcome outcome = resultInfo(attempt.code).outcome;
        tally.answered += outcome == Outcome::Answered ? 1 : 0;
        tally.notRun += outcome == Outcome::NotRun ? 1 : 0;
        tally.unknown += outcome == Outcome::Unknown ? 1 : 0;
        tally.codes[std::string(resultInfo(attempt.code).name)] += attempt.code == ResultCode::Ok ? 0 : 1;
        tally.doubled += attempt.singleRun && world.executionsOf(attempt.serial) > 1 ? 1 : 0;
    }
    for (const std::string &violation : world.violations()) {
        ++tally.violations;
        tally.falseNotRun += violation.find("not run") != std::string::npos ? 1 : 0;
    }
}

void play(const Fault &first, const Fault &second, std::uint64_t seed, Tally &tally)
{
    const auto world = makeWorld(seed);
    for (unsigned i = 0; i < kRequests; ++i) {
        if (i == kRequests / 3) {
            first.strike(*world);
        }
        if (i == kRequests / 3 + 20) {
            second.strike(*world);
        }
        const std::string id = "q" + std::to_string(i);
        const bool keyed = i % 3 == 0;
        world->request(id, id, "e" + std::to_string(1 + i % 3), i % 3 < 2 ? "/note" : "/ask", keyed ? "k" + id : std::string(), 3s);
        world->run(20ms);
    }
    world->run(8s);
    world->checkEnd();
    count(*world, tally);
}

void printTally(const std::string &name, const Tally &tally)
{
    std::cout << std::left << std::setw(52) << name << std::right << std::setw(6) << tally.sent << std::setw(9) << tally.answered << std::setw(8)
              << tally.notRun << std::setw(8) << tally.unknown << std::setw(8) << tally.entryDied << std::setw(8) << tally.doubled << std::setw(7)
              << tally.falseNotRun << std::setw(7) << tally.violations;
    for (const auto &[code, times] : tally.codes) {
        if (times > 0) {
            std::cout << "  " << code << ' ' << times;
        }
    }
    std::cout << '\n';
}

unsigned printFaults(bool pairs)
{
    std::cout << "seeds 1 to " << kSeeds << "; two thirds of the requests may run once only, a third has an idempotency key\n";
    std::cout << std::left << std::setw(52) << "fault" << std::right << std::setw(6) << "sent" << std::setw(9) << "answered" << std::setw(8) << "notrun"
              << std::setw(8) << "unknown" << std::setw(8) << "entry+" << std::setw(8) << "doubled" << std::setw(7) << "false" << std::setw(7) << "broken\n";
    unsigned violations = 0;
    const std::vector<Fault> all = faults();
    Tally total;
    for (std::size_t i = 0; i < all.size(); ++i) {
        Tally tally;
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            play(all[i], all.front(), seed, tally);
        }
        printTally(all[i].name, tally);
        violations += tally.violations;
        for (std::size_t j = 1; pairs && i > 0 && j < all.size(); ++j) {
            Tally pair;
            for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
                play(all[i], all[j], seed, pair);
            }
            printTally(std::string(all[i].name) + " + " + all[j].name, pair);
            violations += pair.violations;
        }
    }
    std::cout << "(entry+: the caller's entry died with the request, so that no answer could come)\n";
    return violations;
}

/** Keyed requests in an outage of an hour, beside a conditional create for each. */
void printOutage()
{
    const auto world = makeWorld(1);
    const std::uint64_t writesBefore = world->storeWrites();
    unsigned number = 0;
    const auto ask = [&](unsigned requests, Duration interval) {
        unsigned answered = 0;
        std::vector<std::string> ids;
        for (unsigned i = 0; i < requests; ++i) {
            ids.push_back("k" + std::to_string(number++));
            world->request(ids.back(), ids.back(), "e" + std::to_string(1 + i % 3), "/note", ids.back(), 3s);
            world->run(interval);
        }
        world->run(4s);
        for (const std::string &id : ids) {
            const auto it = world->attempts().find(id);
            answered += it != world->attempts().end() && it->second.finished && it->second.code == ResultCode::Ok ? 1 : 0;
        }
        return answered;
    };
    const unsigned before = ask(400, 50ms);
    const std::uint64_t writes = world->storeWrites() - writesBefore;
    world->setStoreDown(true);
    const unsigned during = ask(720, 5s);
    std::cout << "\nat most once, requests with keys: up, " << before << " of 400 answered with " << writes
              << " writes to the object API (a conditional create for each: 400); down for an hour, " << during
              << " of 720 answered (a conditional create for each: 0)\n";
    world->restart("e1");
    const unsigned after = ask(240, 250ms);
    std::cout << "then one of three entries restarts, the object API still down: " << after << " of 240 answered\n";
}

} // namespace

int main(int argc, char **argv)
{
    const bool pairs = argc > 1 && std::strcmp(argv[1], "--pairs") == 0;
    const unsigned violations = printFaults(pairs);
    printOutage();
    return violations == 0 ? 0 : 1;
}
