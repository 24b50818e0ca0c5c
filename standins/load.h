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

/** Amount and mix of the requests that a Load sends. */
struct LoadOptions {
    unsigned requests = 400;
    unsigned customers = 10;
    unsigned parallel = 32; ///< concurrent callers
    std::uint64_t seed = 1;
    unsigned maxTries = 6; ///< attempts that a caller makes for one request
    double singleRunShare = 0.2; ///< share of requests that must run at most once; each has an idempotency key
    double serviceShare = 0.3; ///< share of requests to the plain service
    unsigned tokens = 0; ///< tokens per generated response; 0: random
};

/** Results as recorded by the callers; none of them come from the balancer's counters. */
struct LoadReport {
    unsigned sent = 0; ///< requests, without retries
    unsigned tries = 0;
    unsigned answered = 0;
    unsigned notRun = 0; ///< given up after maxTries refusals, all of them "not run"
    unsigned unknown = 0; ///< ended with an outcome that was reported or detected as unknown
    unsigned lost = 0; ///< neither a response nor a result code
    unsigned misdelivered = 0; ///< received the response to another request
    unsigned wrongBody = 0; ///< the response ended normally but its body was not the expected one
    unsigned falseNotRun = 0; ///< every attempt was reported "not run", but a runner's ledger has the request
    unsigned duplicateRuns = 0; ///< single-run requests that occur more than once in the runners' ledgers
    std::map<std::string, unsigned> refusals; ///< attempts by Fulmarlink-Result
    std::vector<double> firstByteMs; ///< answered requests only, measured from the start of the last attempt

    double percentile(double share) const;
};

/** One request of a caller and its outcome. */
struct CallerRecord {
    std::string serial;
    bool singleRun = false;
    enum class End : std::uint8_t {
        Pending,
        Answered,
        NotRun,
        Unknown,
        Lost,
        Misdelivered,
        WrongBody,
    } end = End::Pending;
};

/**
 * Load generator over real sockets. Each request goes to one entry, each retry to the next
 * entry. Retries "not run" refusals and unknown outcomes; the latter is safe because every
 * request either may be repeated or carries an idempotency key.
 */
class Load
{
public:
    Load(boost::asio::io_context &context, LoadOptions options, std::vector<std::uint16_t> ports);

    void start();
    bool finished() const;
    unsigned done() const;
    /** Compares the recorded outcomes with @p executions, the number of runs in the runners' ledgers by serial. Call once finished. */
    LoadReport report(const std::map<std::string, unsigned> &executions) const;

private:
    struct Attempt;

    boost::asio::awaitable<void> caller(unsigned first);
    boost::asio::awaitable<void> runRequest(unsigned index);
    boost::asio::awaitable<Attempt> send(std::uint16_t port, HttpRequest request, const std::string &serial, unsigned tokens);
    void recordAttempt(unsigned index, const Attempt &result);

    boost::asio::io_context &m_context;
    LoadOptions m_options;
    std::vector<std::uint16_t> m_ports;
    std::vector<CallerRecord> m_records;
    mutable std::mutex m_mutex;
    LoadReport m_report;
    std::atomic<unsigned> m_done = 0;
};

} // namespace fulmarlink::standins
