// entry and agent: the long-running processes. SIGTERM and SIGINT start the drain; the
// process ends when it is done, or at the shutdown limit.

#include <boost/asio/io_context.hpp>
#include <iostream>
#include <memory>

#include "app/commands.h"
#include "app/processrunner.h"
#include "fulmarlink/agentprocess.h"
#include "fulmarlink/entryprocess.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace
{

/** Rises with each start of the process on a host: nanoseconds since the epoch. */
std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

bool readSettings(CommandLine &line, int argc, const char **argv, Settings &settings, ExitCode &code)
{
    if (!line.parse(argc, argv, code)) {
        return false;
    }
    if (line.operands().size() != 1) {
        code = line.fail("exactly one settings file is needed");
        return false;
    }
    std::string text;
    FileErrors errors;
    code = ExitCode::Usage;
    if (!readFile(line.operands().front(), text)) {
        return false;
    }
    settings = Settings::parse(text, line.operands().front(), errors);
    for (const FileError &error : errors) {
        std::cerr << error.text() << '\n';
    }
    return errors.empty();
}

} // namespace

ExitCode runEntry(int argc, const char **argv)
{
    CommandLine line("entry", "Runs an entry host's process. SIGTERM: no new work, everything running is finished, then exit.", "SETTINGS");
    Settings settings;
    ExitCode code = ExitCode::Ok;
    if (!readSettings(line, argc, argv, settings, code)) {
        return code;
    }
    if (!settings.entry) {
        return line.fail("the settings have no part 'entry'");
    }
    startLogging(settings.logLevel);
    const auto limit = settings.entry->shutdownLimit;
    boost::asio::io_context context;
    const unsigned threads = settings.threads;
    EntryProcess process(context, std::move(settings), newIncarnation());
    return ProcessRunner<EntryProcess>(context, process, threads, limit).run();
}

ExitCode runAgent(int argc, const char **argv)
{
    CommandLine line("agent", "Runs a target host's process, beside one runner. SIGTERM: no new work, everything running is finished, then exit.", "SETTINGS");
    Settings settings;
    ExitCode code = ExitCode::Ok;
    if (!readSettings(line, argc, argv, settings, code)) {
        return code;
    }
    if (!settings.agent) {
        return line.fail("the settings have no part 'agent'");
    }
    startLogging(settings.logLevel);
    const auto limit = settings.agent->shutdownLimit;
    boost::asio::io_context context;
    const unsigned threads = settings.threads;
    AgentProcess process(context, std::move(settings), newIncarnation());
    return ProcessRunner<AgentProcess>(context, process, threads, limit).run();
}

} // namespace fulmarlink
