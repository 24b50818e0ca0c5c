// fulmarlink: a load balancer for expert-parallel model groups. One binary, several commands.

#include <array>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

#include "app/commands.h"

namespace fulmarlink
{

namespace
{

struct Command {
    std::string_view name;
    ExitCode (*run)(int, const char **);
    std::string_view summary;
};

constexpr auto kCommands = std::to_array<Command>({
    {"entry", runEntry, "run an entry host's process"},
    {"agent", runAgent, "run a target host's process, beside one runner"},
    {"gateway", runGateway, "run an entry host's process that calls runners directly"},
    {"check", runCheck, "validate settings and rule files"},
    {"explain", runExplain, "say which rule takes a request, and why"},
    {"ctl", runCtl, "show, compare, apply and watch the configuration"},
    {"held", runHeld, "list and release requests that are held back since runners ended under them"},
    {"limited", runLimited, "list runners that have named how many requests a second they take"},
    {"targets", runTargets, "list runners, and entries in their list that can't be used"},
    {"demo", runDemo, "run a whole fleet on loopback under a load"},
    {"standin", runStandin, "run stand-ins for the platform and for engines"},
});

void printUsage(std::ostream &out)
{
    out << "Usage: fulmarlink COMMAND [OPTION...]\n\nCommands:\n";
    for (const Command &command : kCommands) {
        out << "  " << command.name << std::string(10 - command.name.size(), ' ') << command.summary << '\n';
    }
    out << "\n'fulmarlink COMMAND --help' tells more; 'fulmarlink --version' the version.\n"
           "Exit codes: 0 done, 1 the result is bad, 2 wrong arguments or files, 3 conflict, 4 not reachable.\n";
}

} // namespace

bool readFile(const std::string &path, std::string &text)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf())) {
        std::cerr << "fulmarlink: can't read " << path << '\n';
        return false;
    }
    text = content.str();
    return true;
}

} // namespace fulmarlink

int main(int argc, const char **argv)
{
    using namespace fulmarlink;
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--version") {
        std::cout << "fulmarlink " FULMARLINK_VERSION "\n";
        return 0;
    }
    if (name == "--help" || name == "-h" || name == "help") {
        printUsage(std::cout);
        return 0;
    }
    for (const Command &command : kCommands) {
        if (command.name != name) {
            continue;
        }
        try {
            return static_cast<int>(command.run(argc - 1, argv + 1));
        } catch (const std::exception &error) {
            std::cerr << "fulmarlink " << name << ": " << error.what() << '\n';
            return static_cast<int>(ExitCode::Failed);
        }
    }
    printUsage(std::cerr);
    return static_cast<int>(ExitCode::Usage);
}
