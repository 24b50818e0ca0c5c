// gateway: an entry host's process on the users' platform. SIGTERM starts the drain,
// SIGHUP and a changed settings file reload the settings.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <iostream>
#include <malloc.h>
#include <memory>

#include "app/commands.h"
#include "app/processrunner.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/gateway.h"
#include "fulmarlink/hostclock.h"
#include "fulmarlink/log.h"
#include "fulmarlink/platform.h"
#include "fulmarlink/requestmemory.h"
#include "platform/platformclient.h"
#include "platform/platformprotocol.h"

namespace fulmarlink
{

namespace
{

constexpr int kReturnedBlockBytes = RequestMemory::kSmallBytes; ///< larger blocks are returned to the system as soon as they are freed
constexpr int kKeptHeapBytes = 1 << 20; ///< free memory at the end of the heap that is kept, so that usual work does not resize the heap
constexpr std::chrono::seconds kFileCheck{2}; ///< settings may change without a signal
constexpr std::chrono::milliseconds kShutdownReserve{700}; ///< before the platform's SIGKILL, for the last log lines and closed connections

bool readGatewaySettings(const std::string &path, std::string &text, GatewaySettings &settings)
{
    FileErrors errors;
    if (!readFile(path, text)) {
        return false;
    }
    settings = GatewaySettings::parse(text, path, errors);
    for (const FileError &error : errors) {
        std::cerr << error.text() << '\n';
        logWarning("settings-invalid", {{"error", error.text()}});
    }
    return errors.empty();
}

/** Reloads the settings on SIGHUP and when the file's text has changed; settings with errors are not taken. */
class SettingsReloader
{
public:
    SettingsReloader(boost::asio::io_context &context, Gateway &gateway, std::string path, std::string text)
        : m_gateway(gateway)
        , m_path(std::move(path))
        , m_text(std::move(text))
        , m_signals(context, SIGHUP)
        , m_timer(context)
    {
        waitForSignal();
        waitForChange();
    }

private:
    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int /*signal*/) {
            if (!error) {
                reload(true);
                waitForSignal();
            }
        });
    }

    void waitForChange()
    {
        m_timer.expires_after(kFileCheck);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                reload(false);
                waitForChange();
            }
        });
    }

    void reload(bool asked)
    {
        std::string text;
        GatewaySettings settings;
        if (!asked && (!readFile(m_path, text) || text == m_text)) {
            return;
        }
        if (readGatewaySettings(m_path, text, settings)) {
            m_text = text;
            m_gateway.reload(std::move(settings));
        }
    }

    Gateway &m_gateway;
    const std::string m_path;
    std::string m_text;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
};

} // namespace

namespace
{

/** By default the threshold grows with each large block that is freed, and the heap then keeps the memory of large requests. */
void limitKeptMemory()
{
    mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, kKeptHeapBytes);
}

} // namespace

ExitCode runGateway(int argc, const char **argv)
{
    CommandLine line("gateway", "Runs an entry host's process that calls runners directly. SIGTERM: drain, then exit. SIGHUP: reload.", "SETTINGS");
    ExitCode code = ExitCode::Ok;
    if (!line.parse(argc, argv, code)) {
        return code;
    }
    if (line.operands().size() != 1) {
        return line.fail("exactly one settings file is needed");
    }
    std::string text;
    GatewaySettings settings;
    startLogging("info", true);
    if (!readGatewaySettings(line.operands().front(), text, settings)) {
        flushLog();
        return ExitCode::Usage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    limitKeptMemory();
    boost::asio::io_context context(1);
    Counters counters;
    const HostClock clock;
    PlatformClientOptions options;
    options.store = settings.store;
    GatewayAdapters adapters;
    adapters.protocol = std::make_unique<PlatformProtocol>();
    adapters.platform = std::make_unique<PlatformClient>(context.get_executor(), clock, counters, options);
    const auto limit = settings.shutdownLimit - kShutdownReserve;
    Gateway gateway(context, std::move(settings), counters, std::move(adapters));
    const SettingsReloader reloader(context, gateway, line.operands().front(), text);
    return ProcessRunner<Gateway>(context, gateway, 1, limit).run();
}

} // namespace fulmarlink
