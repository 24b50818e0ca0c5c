#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/httpclient.h"
#include "fulmarlink/resultcode.h"

namespace fulmarlink::standins
{

struct LoadOptions {
    unsigned requests = 400;
    unsigned customers = 10;
    unsigned parallel = 32; ///< callers at work at once
    std::uint64_t seed = 1;
    unsigned maxTries = 6; ///< of one request, by the caller
    double noteShare = 0.2; ///< requests that may run once only, each with an idempotency key
    double serviceShare = 0.3; ///< requests for the plain service
    unsigned tokens = 0; ///< of each generated answer; 0: drawn
};

/** What the callers' own ledger says; nothing in it comes from the balancer's counters. */
struct LoadReport {
    unsigned sent = 0; ///< requests, repeats not counted
    unsigned tries = 0;
    unsigned answered = 0;
    unsigned notRun = 0; ///< given up after maxTries refusals, all "not run"
    unsigned unknown = 0; ///< ended with an honest "outcome unknown"
    unsigned lost = 0; ///< no answer and no code at all
    unsigned crossed = 0; ///< somebody else's answer
    unsigned cutShort = 0; ///< an answer that seemed whole and was not
    unsigned falseNotRun = 0; ///< every try was said to be "not run", and yet a runner's ledger has it
    unsigned doubled = 0; ///< single-run requests that runners' ledgers have more than once
    std::map<std::string, unsigned> refusals; ///< by Fulmarlink-Result, each try
    std::vector<double> firstByteMs; ///< of answered requests, from the last try's start

    double percentile(double share) const;
};

/** What one caller asked and what became of it. */
struct CallerRecord {
    std::string serial;
    bool singleRun = false;
    enum class End : std::uint8_t {
        Pending,
        Answered,
        NotRun,
        Unknown,
        Lost,
        Crossed,
        CutShort,
    } end = End::Pending;
};

/**
 * Callers over real sockets: each request goes to one entry, repeats of it to the
 * next. A refusal that says "not run" is tried again; so is an unknown outcome of a
 * request that may be repeated, or that carries an idempotency key.
 */
class Load
{
public:
    Load(boost::asio::io_context &context, LoadOptions options, std::vector<std::uint16_t> ports);

    void start();
    bool finished() const;
    unsigned done() const;
    /** The report, with what the runners' ledgers say of each serial. Call once finished. */
    LoadReport report(const std::map<std::string, unsigned> &executions) const;

private:
    struct Try;

    boost::asio::awaitable<void> caller(unsigned first);
    boost::asio::awaitable<void> runRequest(unsigned index);
    boost::asio::awaitable<Try> send(std::uint16_t port, HttpRequest request, const std::string &serial, unsigned tokens);
    void note(unsigned index, const Try &result);

    boost::asio::io_context &m_context;
    LoadOptions m_options;
    std::vector<std::uint16_t> m_ports;
    std::vector<CallerRecord> m_records;
    mutable std::mutex m_mutex;
    LoadReport m_report;
    std::atomic<unsigned> m_done = 0;
};

} // namespace fulmarlink::standins
