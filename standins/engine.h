#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fulmarlink/httpclient.h"

namespace fulmarlink::standins
{

/** Simulated latencies and limits of an Engine. */
struct EngineOptions {
    std::string name; ///< runner name in the ledger
    unsigned batch = 8; ///< maximum concurrent requests; further ones get 503
    std::chrono::microseconds prefillPerToken{20};
    std::chrono::microseconds step{2000}; ///< time between two tokens
    std::chrono::microseconds stepPerRequest{200}; ///< added to step for each running request
    std::size_t prefixes = 64; ///< capacity of the prefix cache (LRU), in prompts
    bool checksFencing = true; ///< rejects orders whose fencing number is lower than the highest one received
};

/** One request that the engine began to run, identified by the serial number that its caller set. */
struct EngineLedgerEntry {
    std::string serial;
    std::string runner;
    bool finished = false;
};

/**
 * Fake model engine and plain service over HTTP/1.1:
 * POST /v1/generate streams the number of tokens given in X-Tokens as server-sent events;
 * POST /v1/orders accepts orders with a fencing number (Fencing-Number);
 * any other path returns a single response that echoes the caller's serial number (X-Serial).
 *
 * Records every request that it began to run in a ledger.
 */
class Engine : public std::enable_shared_from_this<Engine>
{
public:
    Engine(boost::asio::any_io_executor executor, EngineOptions options);

    std::uint16_t listen(const std::string &address, std::uint16_t port);
    /** Simulates a crash: stops accepting and closes every connection. */
    void kill();
    /** While set, rejects every request but orders with 503 without running it. */
    void setRefusing(bool refusing);
    /** Closes the connection of each generated response after @p tokens tokens; 0 disables this. */
    void setBreakAfter(unsigned tokens);
    /** While set, running requests make no progress. */
    void setStalled(bool stalled);

    std::vector<EngineLedgerEntry> ledger() const;
    std::uint64_t prefixHits() const;

private:
    using Stream = boost::beast::tcp_stream;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> generate(Stream &stream, const HttpRequest &request);
    boost::asio::awaitable<void> answerPlain(Stream &stream, const HttpRequest &request);
    HttpResponse acceptOrder(const HttpRequest &request);
    boost::asio::awaitable<void> pause(std::chrono::microseconds time);
    std::size_t beginRequest(const HttpRequest &request);
    void endRequest(std::size_t line, bool finished);
    bool prefixCached(const std::string &body);

    boost::asio::any_io_executor m_executor;
    EngineOptions m_options;
    boost::asio::ip::tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    std::vector<EngineLedgerEntry> m_ledger;
    std::list<std::uint64_t> m_prefixes; ///< most recently used first
    std::vector<std::weak_ptr<Stream>> m_streams;
    std::uint64_t m_prefixHits = 0;
    std::uint64_t m_highestFencing = 0;
    std::atomic<unsigned> m_running = 0;
    std::atomic<bool> m_refusing = false;
    std::atomic<unsigned> m_breakAfter = 0;
    std::atomic<bool> m_stalled = false;
    std::atomic<bool> m_killed = false;
};

} // namespace fulmarlink::standins
