#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "app/commandline.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

/** Drives one process from start to the end of its drain. */
template<typename Process>
class ProcessRunner
{
public:
    static constexpr std::chrono::milliseconds kCheck{50}; ///< how often the end of the drain is looked for
    static constexpr std::chrono::milliseconds kWriteOut{300}; ///< for answers that are being written

    ProcessRunner(boost::asio::io_context &context, Process &process, unsigned threads, std::chrono::milliseconds shutdownLimit)
        : m_context(context)
        , m_process(process)
        , m_threads(threads)
        , m_limit(shutdownLimit)
        , m_signals(context, SIGTERM, SIGINT)
        , m_timer(context)
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
        m_timer.expires_after(kCheck);
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
        m_timer.expires_after(kWriteOut);
        m_timer.async_wait([this](const boost::system::error_code & /*error*/) {
            if (!m_cut && !m_process.drained()) {
                checkDrain(); // a request has come meanwhile
                return;
            }
            logChange("stopped", {{"cut", m_cut ? "true" : "false"}});
            m_process.stop();
            m_context.stop();
        });
    }

    boost::asio::io_context &m_context;
    Process &m_process;
    const unsigned m_threads;
    const std::chrono::milliseconds m_limit;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::chrono::steady_clock::time_point m_drainStarted{};
    bool m_cut = false;
};

} // namespace fulmarlink
