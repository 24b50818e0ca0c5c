// entry and agent: the long-running processes. SIGTERM and SIGINT start the drain; the
// process ends when it is done, or at the shutdown limit.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <thread>

#include "app/commands.h"
#include "fulmarlink/agentprocess.h"
#include "fulmarlink/entryprocess.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kDrainCheck{50};
constexpr std::chrono::milliseconds kLinger{300}; ///< for answers that are being written

/** Rises with each start of the process on a host: nanoseconds since the epoch. */
std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

/** Drives one process from start to the end of its drain. */
template<typename Process>
class Runner
{
public:
    Runner(Settings settings, std::chrono::milliseconds shutdownLimit)
        : m_limit(shutdownLimit)
        , m_threads(settings.threads)
        , m_signals(m_context, SIGTERM, SIGINT)
        , m_timer(m_context)
        , m_process(m_context, std::move(settings), newIncarnation())
    {
    }

    ExitCode run()
    {
        m_process.start();
        m_signals.async_wait([this](const boost::system::error_code &error, int /*signal*/) {
            if (!error) {
                beginDrain();
            }
        });
        std::vector<std::thread> threads;
        for (unsigned i = 1; i < m_threads; ++i) {
            threads.emplace_back([this] {
                m_context.run();
            });
        }
        m_context.run();
        for (std::thread &thread : threads) {
            thread.join();
        }
        return m_cut ? ExitCode::Failed : ExitCode::Ok;
    }

private:
    void beginDrain()
    {
        m_drainStarted = std::chrono::steady_clock::now();
        m_process.startDrain();
        checkDrain();
    }

    void checkDrain()
    {
        m_timer.expires_after(kDrainCheck);
        m_timer.async_wait([this](const boost::system::error_code & /*error*/) {
            const bool late = std::chrono::steady_clock::now() > m_drainStarted + m_limit;
            if (!m_process.drained() && !late) {
                checkDrain();
                return;
            }
            if (late) {
                m_cut = true;
                logWarning("shutdown-limit-reached", {{"limit_ms", std::to_string(m_limit.count())}});
                m_process.cutAll();
            }
            end();
        });
    }

    void end()
    {
        m_timer.expires_after(kLinger);
        m_timer.async_wait([this](const boost::system::error_code & /*error*/) {
            logChange("stopped", {{"cut", m_cut ? "true" : "false"}});
            m_process.stop();
            m_context.stop();
        });
    }

    const std::chrono::milliseconds m_limit;
    const unsigned m_threads;
    asio::io_context m_context;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    Process m_process;
    std::chrono::steady_clock::time_point m_drainStarted{};
    bool m_cut = false;
};

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
    return Runner<EntryProcess>(std::move(settings), limit).run();
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
    return Runner<AgentProcess>(std::move(settings), limit).run();
}

} // namespace fulmarlink
