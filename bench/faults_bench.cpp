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

/** How a request that may run once is kept from running twice. */
enum class Way : std::uint8_t {
    KeyHome, ///< the product's
    CreateEach, ///< a conditional create in the object API before each, and no key
};

/** Asks for @p requests notes, one each @p interval; gives how many were answered. */
unsigned askNotes(World &world, Way way, const std::string &prefix, unsigned requests, Duration interval)
{
    std::vector<std::string> ids;
    for (unsigned i = 0; i < requests; ++i) {
        const std::string id = prefix + std::to_string(i);
        if (way == Way::KeyHome || !world.create(id)) {
            world.request(id, id, "e" + std::to_string(1 + i % 3), "/note", way == Way::KeyHome ? id : std::string(), 3s);
            ids.push_back(id);
        }
        world.run(interval);
    }
    world.run(4s);
    unsigned answered = 0;
    for (const std::string &id : ids) {
        const auto it = world.attempts().find(id);
        answered += it != world.attempts().end() && it->second.finished && it->second.code == ResultCode::Ok ? 1 : 0;
    }
    return answered;
}

/** Requests that may run once, in an outage of the object API of an hour, both ways. */
void printOutage()
{
    std::cout << "\nat most once: answered of 400 with the object API up, its writes, answered of 720 in an outage of an hour, of 240 after one of three "
                 "entries restarts in it\n";
    for (const Way way : {Way::KeyHome, Way::CreateEach}) {
        const auto world = makeWorld(1);
        const std::uint64_t before = world->storeWrites();
        const unsigned up = askNotes(*world, way, "u", 400, 50ms);
        const std::uint64_t writes = world->storeWrites() - before;
        world->setStoreDown(true);
        const unsigned down = askNotes(*world, way, "d", 720, 5s);
        world->restart("e1");
        const unsigned restarted = askNotes(*world, way, "r", 240, 250ms);
        std::cout << std::left << std::setw(42) << (way == Way::KeyHome ? "key homes" : "a conditional create for each") << std::right << std::setw(6) << up
                  << std::setw(8) << writes << std::setw(8) << down << std::setw(8) << restarted << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    const bool pairs = argc > 1 && std::strcmp(argv[1], "--pairs") == 0;
    const unsigned violations = printFaults(pairs);
    printOutage();
    return violations == 0 ? 0 : 1;
}
