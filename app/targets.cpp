// targets: the runners that the platform's store lists, and the entries that can't be used.

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>

#include "app/commands.h"
#include "app/parsetarget.h"
#include "app/storesession.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace
{

namespace json = boost::json;

std::string addressText(const HttpTarget &target)
{
    return target.address + ':' + std::to_string(target.port);
}

/** @p text with everything escaped that a terminal could take for more than text. */
std::string quoted(const std::string &text)
{
    return json::serialize(json::value(text));
}

void print(const TargetsRead &read)
{
    std::cout << "runner  pool  address  zone  born  state\n";
    for (const TargetInfo &target : read.targets) {
        std::cout << target.id << "  " << target.pool << "  " << addressText(target.address) << "  " << target.zone << "  " << target.born << "  "
                  << (target.leaving ? "leaving" : "ready") << '\n';
    }
    for (const MalformedItem &entry : read.malformed) {
        std::cout << "malformed: " << quoted(entry.name) << " at revision " << entry.revision << ": " << entry.problem << '\n';
    }
}

void printJson(const TargetsRead &read)
{
    json::array runners;
    for (const TargetInfo &target : read.targets) {
        runners.push_back(json::object{{"runner", target.id},
                                       {"pool", target.pool},
                                       {"address", addressText(target.address)},
                                       {"zone", target.zone},
                                       {"born", target.born},
                                       {"leaving", target.leaving}});
    }
    json::array malformed;
    for (const MalformedItem &entry : read.malformed) {
        malformed.push_back(json::object{{"name", entry.name}, {"revision", entry.revision}, {"problem", entry.problem}});
    }
    std::cout << json::serialize(json::object{{"runners", std::move(runners)}, {"malformed", std::move(malformed)}}) << '\n';
}

} // namespace

ExitCode runTargets(int argc, const char **argv)
{
    std::string store = "127.0.0.1:8080";
    bool asJson = false;
    CommandLine line("targets", "Prints the runners that the store lists, and the entries in that list that can't be used.", "");
    line.addText("store", &store, "Where the platform's store listens (127.0.0.1:8080)", "ADDRESS:PORT");
    line.addFlag("json", &asJson, "Print the list as JSON");
    ExitCode code = ExitCode::Ok;
    if (!line.parse(argc, argv, code)) {
        return code;
    }
    HttpTarget target;
    if (!parseTarget(store, target)) {
        return line.fail("--store takes ADDRESS:PORT with an IP number");
    }
    if (!line.operands().empty()) {
        return line.fail("it takes no further words");
    }
    startLogging("error"); // the malformed entries are printed
    StoreSession session(target);
    const TargetsRead read = session.targets();
    if (read.error) {
        std::cerr << "fulmarlink targets: " << read.error.message() << '\n';
        return ExitCode::Unreachable;
    }
    asJson ? printJson(read) : print(read);
    return ExitCode::Ok;
}

} // namespace fulmarlink
