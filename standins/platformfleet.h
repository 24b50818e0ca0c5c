#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fulmarlink/httpserver.h"

namespace fulmarlink::standins
{

/** Faults to inject into a PlatformStore. */
struct StoreFaults {
    unsigned refusalStatus = 0; ///< HTTP status returned for every call; 0: no fault
    bool silent = false; ///< calls are read and never answered
    unsigned unansweredWrites = 0; ///< number of further writes that take effect but are never answered
    bool watchRevisionGone = false; ///< watches get 410: the store no longer has their start revision
    bool watchesMissChanges = false; ///< watches report no changes
    bool watchesReturnEarly = false; ///< watches return at once without events
    std::chrono::milliseconds delay{0};
};

/**
 * In-memory fake of the platform's store over HTTP: objects by kind and name with revisions,
 * conditional writes, lists and watches. Not thread-safe.
 */
class PlatformStore
{
public:
    explicit PlatformStore(boost::asio::io_context &context);

    HttpTarget listen();
    /** Writes an object unconditionally, as the operator or a runner would. */
    void set(const std::string &kind, const std::string &name, boost::json::value spec);
    /** As set(), with a spec that need not be JSON. */
    void setText(const std::string &kind, const std::string &name, const std::string &specText);
    void remove(const std::string &kind, const std::string &name);
    bool has(const std::string &kind, const std::string &name) const;
    /** The object's spec; null if there is no such object. */
    boost::json::value get(const std::string &kind, const std::string &name) const;
    /** The names of a kind's objects. */
    std::vector<std::string> names(const std::string &kind) const;

    StoreFaults faults;
    unsigned calls = 0;
    unsigned writes = 0; ///< calls other than GET
    bool listsInvalidText = false; ///< lists contain an additional item whose strings are not valid UTF-8
    std::string answerToLists; ///< in place of each list, if not empty

private:
    struct Object {
        std::uint64_t revision = 0;
        boost::json::value spec;
        std::string specText; ///< in place of the spec, if not empty
    };

    boost::asio::awaitable<HttpResponse> handle(HttpRequest request);
    boost::asio::awaitable<HttpResponse> watch(std::string kind, std::string query);
    HttpResponse erase(const std::string &kind, const std::string &name);
    HttpResponse read(const std::string &kind, const std::string &name) const;
    HttpResponse write(const std::string &kind, const std::string &name, const HttpRequest &request);
    static std::string textOf(const std::string &name, const Object &object);

    boost::asio::io_context &m_context;
    std::shared_ptr<HttpServer> m_server;
    std::map<std::string, std::map<std::string, Object>> m_objects; ///< by kind, by name
    std::map<std::string, std::map<std::string, std::uint64_t>> m_removed; ///< revision of each removal, by kind, by name
    std::uint64_t m_revision = 1;
};

/** The store entry that a runner of @p pool writes for itself. */
boost::json::object runnerEntry(const std::string &pool, const HttpTarget &address, unsigned slots, const std::string &state = "ready");

/** How a PlatformRunner handles one request. */
enum class RunnerAct : std::uint8_t {
    Answer, ///< runs it and sends a complete response
    Refuse, ///< not run: at capacity
    Misdirected, ///< not run: the request expects another runner at this address
    Fail, ///< runs it and answers 500
    ResetUnanswered, ///< runs it and resets the connection
    Silent, ///< runs it and sends no response
    StrayFirst, ///< sends the response to another request before the correct one
    Unsealed, ///< sends a response without the signature header
    WithoutLength, ///< sends a response without a length, delimited by the end of the connection
    Truncated, ///< closes the connection in the middle of the body
    TruncatedHalfway, ///< the same, after half of the body
    StrayLast, ///< sends a second response after the correct one
    RefusalFirst, ///< sends a refusal that names no request before the correct response
    Garbage, ///< sends bytes that are not an HTTP response
    CutStream, ///< closes a stream in the middle of the third event that it sends
    CutStreamWithoutLength, ///< the same, and the stream has no chunks: only the end of the connection ends it
    HeadWithoutLength, ///< closes the connection after the head of a stream without chunks
    Crash, ///< runs it, and the runner process ends
};

/** Fake runner of the platform. Not thread-safe. */
class PlatformRunner
{
public:
    PlatformRunner(boost::asio::io_context &context, std::string id);

    /** Port 0 selects a free port. */
    HttpTarget listen(std::uint16_t port = 0);
    const std::string &id() const;
    /** Simulates the end of the process: closes open connections and refuses new ones. */
    void end();
    bool stalled = false; ///< accepts connections and reads nothing
    bool refusalsNameRequest = true; ///< refusals carry the id of the request, as all other responses do
    bool streamsHaveLength = true; ///< false: streams have no chunks, and only the end of the connection ends them
    bool silentCrash = false; ///< end() leaves open connections open, so callers aren't notified
    /** Sets the id of the next incarnation; call listen() afterwards. */
    void setId(std::string id);

    /** Called after a request has crashed the runner. */
    std::function<void()> onCrash;
    /** Chooses how a request is handled; the default answers all of them. */
    std::function<RunnerAct(const HttpRequest &)> act;
    std::chrono::milliseconds workTime{0}; ///< delay before a response and between events
    unsigned events = 6; ///< number of events in a stream
    std::size_t largeAnswerBytes = 0; ///< length of the body of answers to paths that begin with /large/
    std::string limit; ///< rate limit in requests per second, sent with each response; empty: not sent
    std::string retryAfter; ///< Retry-After in seconds, sent with RunnerAct::Refuse; empty: not sent
    bool leaving = false; ///< announced in each response
    /** Fields of the platform's runner report; empty: the runner is in no group. */
    boost::json::object report;
    std::string reportText; ///< in place of the report, if not empty
    std::vector<std::string> attemptsRun; ///< ids of the attempts that it ran
    std::vector<HttpRequest> receivedRequests; ///< all received requests except reads of the report
    std::size_t openConnections() const;
    std::size_t connections = 0; ///< connections accepted so far
    unsigned reportReads = 0; ///< number of reads of the report
    unsigned abandonedStreams = 0; ///< streams whose connection closed before their end

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> answer(boost::beast::tcp_stream &stream, const HttpRequest &request, RunnerAct act);
    /** Answers a read of the runner's report; returns false for any other request. */
    boost::asio::awaitable<bool> answerReport(boost::beast::tcp_stream &stream, const HttpRequest &request, bool &again);
    boost::asio::awaitable<void> crash(boost::beast::tcp_stream &stream, const HttpRequest &request);
    boost::asio::awaitable<bool> stream(boost::beast::tcp_stream &stream, const HttpRequest &request, RunnerAct act);
    boost::asio::awaitable<bool> write(boost::beast::tcp_stream &stream, std::string text);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    std::string streamHead(const HttpRequest &request, bool chunked) const;
    std::string head(const HttpRequest &request, const std::string &status, const std::string &extra) const;
    std::string runnerHeaderLines() const;

    boost::asio::io_context &m_context;
    std::string m_id;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<boost::beast::tcp_stream *> m_openStreams; ///< connections of callers
    unsigned m_incarnation = 0;
};

} // namespace fulmarlink::standins
