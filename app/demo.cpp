// demo: a whole deployment on loopback under a load, with faults on demand. The table
// at the end comes from the callers' and the runners' own ledgers.

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <iomanip>
#include <iostream>
#include <thread>

#include "app/commands.h"
#include "fulmarlink/log.h"
#include "standins/fleet.h"
#include "standins/load.h"

namespace fulmarlink
{

namespace
{

using namespace std::chrono_literals;

struct DemoOptions {
    long long requests = 400;
    long long seed = 1;
    long long customers = 10;
    std::string deployment = "lisbon";
    bool killRunner = false;
    bool storeDown = false;
    bool json = false;
};

constexpr auto kReadyTimeout = 20s;
constexpr auto kProgressInterval = 500ms;
constexpr auto kHostListLag = 1s;
constexpr unsigned kThreads = 4;
constexpr std::size_t kVictim = 1; ///< the runner that --kill-runner kills

standins::FleetOptions fleetOptions(const std::string &deployment)
{
    standins::FleetOptions options;
    if (deployment == "swansea") {
        options.zones = {"hall-tawe", "hall-landore", "hall-hafod"};
        options.modelPool = "desk-reader";
        options.servicePool = "desk-lookup";
    }
    return options;
}

std::map<std::string, unsigned> executions(standins::Fleet &fleet)
{
    std::map<std::string, unsigned> result;
    for (const auto &engine : fleet.engines()) {
        for (const standins::EngineLedgerEntry &line : engine->ledger()) {
            ++result[line.serial];
        }
    }
    return result;
}

void watchLoad(const DemoOptions &options, standins::Fleet &fleet, const standins::Load &load)
{
    const auto total = static_cast<unsigned>(options.requests);
    bool killed = false;
    bool dropped = false;
    bool down = false;
    auto killedAt = std::chrono::steady_clock::now();
    auto nextLine = killedAt;
    while (!load.finished()) {
        const unsigned done = load.done();
        if (options.storeDown && !down && done >= total / 4) {
            fleet.objectApi().setDown(true);
            down = true;
            std::cerr << "object API down\n";
        }
        if (options.killRunner && !killed && done >= total / 3) {
            fleet.killRunner(kVictim);
            killed = true;
            killedAt = std::chrono::steady_clock::now();
            std::cerr << "runner killed\n";
        }
        if (killed && !dropped && std::chrono::steady_clock::now() > killedAt + kHostListLag) {
            fleet.unlistRunner(kVictim);
            dropped = true;
        }
        if (std::chrono::steady_clock::now() >= nextLine) {
            std::cerr << done << " of " << total << " done\n";
            nextLine += kProgressInterval;
        }
        std::this_thread::sleep_for(10ms);
    }
}

void printTable(const standins::LoadReport &report)
{
    const auto row = [](const std::string &name, const auto &value) {
        std::cout << "  " << std::left << std::setw(42) << name << std::right << std::setw(8) << value << '\n';
    };
    std::cout << "what the callers and the runners say\n" << std::fixed << std::setprecision(1);
    row("requests sent", report.sent);
    row("tries, repeats included", report.tries);
    row("answered whole", report.answered);
    row("refused to the end, not run", report.notRun);
    row("outcome unknown, said so", report.unknown);
    row("lost", report.lost);
    row("doubled", report.duplicateRuns);
    row("crossed", report.misdelivered);
    row("cut short", report.wrongBody);
    row("falsely said to be not run", report.falseNotRun);
    for (const auto &[result, count] : report.refusals) {
        row("  tries refused: " + result, count);
    }
    row("p50 to first byte, ms", report.percentile(0.5));
    row("p99 to first byte, ms", report.percentile(0.99));
}

void printJson(const standins::LoadReport &report)
{
    boost::json::object refusals;
    for (const auto &[result, count] : report.refusals) {
        refusals[result] = count;
    }
    const boost::json::object object{{"sent", report.sent},
                                     {"tries", report.tries},
                                     {"answered", report.answered},
                                     {"not_run", report.notRun},
                                     {"unknown", report.unknown},
                                     {"lost", report.lost},
                                     {"doubled", report.duplicateRuns},
                                     {"crossed", report.misdelivered},
                                     {"cut_short", report.wrongBody},
                                     {"false_not_run", report.falseNotRun},
                                     {"refusals", refusals},
                                     {"p50_ms", report.percentile(0.5)},
                                     {"p99_ms", report.percentile(0.99)}};
    std::cout << boost::json::serialize(object) << '\n';
}

ExitCode runFleet(const DemoOptions &options, boost::asio::io_context &context)
{
    standins::Fleet fleet(context, fleetOptions(options.deployment));
    fleet.start();
    auto work = boost::asio::make_work_guard(context);
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < kThreads; ++i) {
        threads.emplace_back([&context] {
            context.run();
        });
    }
    standins::LoadReport report;
    const bool ready = fleet.waitReady(kReadyTimeout);
    if (ready) {
        standins::LoadOptions loadOptions;
        loadOptions.requests = static_cast<unsigned>(options.requests);
        loadOptions.seed = static_cast<std::uint64_t>(options.seed);
        loadOptions.customers = static_cast<unsigned>(std::max(1LL, options.customers));
        standins::Load load(context, loadOptions, fleet.callerPorts());
        load.start();
        watchLoad(options, fleet, load);
        report = load.report(executions(fleet));
    }
    fleet.stop();
    work.reset();
    context.stop();
    for (std::thread &thread : threads) {
        thread.join();
    }
    if (!ready) {
        std::cerr << "the fleet was not ready in time\n";
        for (const auto &entry : fleet.entries()) {
            std::cerr << entry->statusJson() << '\n';
        }
        return ExitCode::Failed;
    }
    options.json ? printJson(report) : printTable(report);
    const unsigned bad = report.lost + report.duplicateRuns + report.misdelivered + report.wrongBody + report.falseNotRun;
    return bad == 0 ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace

ExitCode runDemo(int argc, const char **argv)
{
    DemoOptions options;
    CommandLine line(
        "demo", "Runs entries, agents and stand-ins of a deployment on loopback under a load. Exits 1 if anything is lost, doubled, cut short or crossed.", "");
    line.addNumber("requests", &options.requests, "Requests to send (400)");
    line.addNumber("seed", &options.seed, "Seed of the load (1)");
    line.addNumber("customers", &options.customers, "Customers that send them (10)");
    line.addText("deployment", &options.deployment, "lisbon or swansea", "NAME");
    line.addFlag("kill-runner", &options.killRunner, "Kill one runner and its agent on the way");
    line.addFlag("store-down", &options.storeDown, "Take the object API down on the way");
    line.addFlag("json", &options.json, "Print the result as JSON");
    ExitCode code = ExitCode::Ok;
    if (!line.parse(argc, argv, code)) {
        return code;
    }
    if (options.deployment != "lisbon" && options.deployment != "swansea") {
        return line.fail("--deployment is lisbon or swansea");
    }
    startLogging("warn");
    boost::asio::io_context context;
    return runFleet(options, context);
}

} // namespace fulmarlink
