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

/** Times and limits of an engine stand-in. */
struct EngineOptions {
    std::string name;
    unsigned batch = 8; ///< requests that run at once; more get 503
    std::chrono::microseconds prefillPerToken{20};
    std::chrono::microseconds step{2000}; ///< between tokens
    std::chrono::microseconds stepPerRequest{200}; ///< added for each request in the batch
    std::size_t prefixes = 64; ///< prompts whose prefix stays cached
    bool checksFencing = true; ///< refuses orders with an older fencing number
};

/** One request that reached the engine, by the serial number that its caller gave it. */
struct EngineLedgerLine {
    std::string serial;
    std::string runner;
    bool finished = false;
};

/**
 * Stands in for a model engine, and for a plain service, over HTTP/1.1:
 * POST /v1/generate streams as many tokens as X-Tokens says as server-sent events;
 * any other path answers once, echoing the caller's serial number (X-Serial);
 * POST /v1/orders takes orders with a fencing number (Fencing-Number).
 *
 * It keeps a ledger of every request that it began to run.
 */
class Engine : public std::enable_shared_from_this<Engine>
{
public:
    Engine(boost::asio::any_io_executor executor, EngineOptions options);

    std::uint16_t listen(const std::string &address, std::uint16_t port);
    /** Stops accepting and breaks every connection, as a crash would. */
    void kill();
    /** Answers every request with 503 before running it. */
    void setRefusing(bool refusing);
    /** Breaks each answer off after @p tokens tokens; 0 switches it off. */
    void setBreakAfter(unsigned tokens);
    /** Stalls: nothing advances while set. */
    void setStalled(bool stalled);

    std::vector<EngineLedgerLine> ledger() const;
    std::uint64_t prefixHits() const;

private:
    using Stream = boost::beast::tcp_stream;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> generate(Stream &stream, const HttpRequest &request);
    boost::asio::awaitable<void> answerPlain(Stream &stream, const HttpRequest &request);
    HttpResponse takeOrder(const HttpRequest &request);
    boost::asio::awaitable<void> pause(std::chrono::microseconds time);
    std::size_t enter(const HttpRequest &request);
    void leave(std::size_t line, bool finished);
    bool prefixCached(const std::string &body);

    boost::asio::any_io_executor m_executor;
    EngineOptions m_options;
    boost::asio::ip::tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    std::vector<EngineLedgerLine> m_ledger;
    std::list<std::uint64_t> m_prefixes; ///< most recently used first
    std::vector<std::weak_ptr<Stream>> m_streams;
    std::uint64_t m_prefixHits = 0;
    std::uint64_t m_fencing = 0;
    std::atomic<unsigned> m_running = 0;
    std::atomic<bool> m_refusing = false;
    std::atomic<unsigned> m_breakAfter = 0;
    std::atomic<bool> m_stalled = false;
    std::atomic<bool> m_killed = false;
};

} // namespace fulmarlink::standins
