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

/** How the platform's store misbehaves. */
struct StoreFaults {
    unsigned refuseWith = 0; ///< status for every call; 0: none
    bool silent = false; ///< calls are read and never answered
    unsigned loseWrites = 0; ///< so many writes are done and not answered
    bool forgetful = false; ///< what is asked to be watched from is gone
    bool deaf = false; ///< watches hear of nothing
    bool hasty = false; ///< watches are answered at once, with nothing
    std::chrono::milliseconds delay{0};
};

/**
 * Stands in for the platform's store: objects by kind and name with revisions and
 * conditions, lists, over HTTP and in memory. For one thread.
 */
class PlatformStore
{
public:
    explicit PlatformStore(boost::asio::io_context &context);

    HttpTarget listen();
    /** Writes an object of the operator or of a runner, whatever is there. */
    void set(const std::string &kind, const std::string &name, boost::json::value spec);
    void remove(const std::string &kind, const std::string &name);
    bool has(const std::string &kind, const std::string &name) const;
    /** Its content; null if it is not there. */
    boost::json::value get(const std::string &kind, const std::string &name) const;
    /** The names of a kind's objects. */
    std::vector<std::string> names(const std::string &kind) const;

    StoreFaults faults;
    unsigned calls = 0;
    unsigned writes = 0; ///< calls that were not reads
    bool spoil = false; ///< lists hold one more item whose text is not valid in its encoding

private:
    struct Object {
        std::uint64_t revision = 0;
        boost::json::value spec;
    };

    boost::asio::awaitable<HttpResponse> handle(HttpRequest request);
    boost::asio::awaitable<HttpResponse> watch(std::string kind, std::string query);
    HttpResponse erase(const std::string &kind, const std::string &name);
    HttpResponse read(const std::string &kind, const std::string &name) const;
    HttpResponse write(const std::string &kind, const std::string &name, const HttpRequest &request);
    static boost::json::value shown(const std::string &name, const Object &object);

    boost::asio::io_context &m_context;
    std::shared_ptr<HttpServer> m_server;
    std::map<std::string, std::map<std::string, Object>> m_objects; ///< by kind, by name
    std::map<std::string, std::map<std::string, std::uint64_t>> m_removed; ///< revisions of removals, by kind, by name
    std::uint64_t m_revision = 1;
};

/** What a runner of @p pool writes of itself into the store. */
boost::json::object runnerEntry(const std::string &pool, const HttpTarget &address, unsigned slots, const std::string &state = "ready");

/** What a runner does with one request. */
enum class RunnerAct : std::uint8_t {
    Answer, ///< a whole answer
    Refuse, ///< not run: full
    Misdirected, ///< not run: another runner has the address
    Fail, ///< runs it and fails
    ResetUnanswered, ///< runs it and resets the connection
    Silent, ///< runs it and says nothing
    Foreign, ///< an answer to another request comes before the right one
    Unsealed, ///< an answer that nobody vouches for
    Unframed, ///< an answer without a length that ends with its connection
    Truncated, ///< an answer that breaks off
    Extra, ///< a second answer after the right one
    Garbage, ///< bytes that are no answer
    CutStream, ///< a stream that breaks off inside its third event
    Crash, ///< runs it, and the whole runner ends
};

/** Stands in for one runner of the platform. For one thread. */
class PlatformRunner
{
public:
    PlatformRunner(boost::asio::io_context &context, std::string id);

    /** @p port 0: any that is free. */
    HttpTarget listen(std::uint16_t port = 0);
    const std::string &id() const;
    /** The process is gone: connections are cut, new ones are refused. */
    void end();
    bool lossy = false; ///< when it ends, callers do not hear of it on their open connections
    /** Begins another life; listen() follows. */
    void setId(std::string id);

    /** Called when a request has ended the runner. */
    std::function<void()> crashed;
    /** Chooses what happens to a request; by default all are answered. */
    std::function<RunnerAct(const HttpRequest &)> act;
    std::chrono::milliseconds work{0}; ///< before an answer, and between events
    unsigned events = 6; ///< of a stream
    std::string limit; ///< requests a second, as it names them in its answers; empty: it names none
    std::string retryAfter; ///< seconds, as it names them when it turns a request away; empty: it names none
    bool leaving = false; ///< it says so in its answers
    /** What it says of itself, fields of the platform's report; empty: it is in no group. */
    boost::json::object report;
    std::vector<std::string> ran; ///< ids of the attempts that were run
    std::vector<HttpRequest> seen; ///< all requests that arrived, but for those of its report
    std::size_t openConnections() const;
    std::size_t connections = 0; ///< that were opened to it
    unsigned reports = 0; ///< times that its report was read
    unsigned abandoned = 0; ///< streams whose connection closed before their end

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> answer(boost::beast::tcp_stream &stream, const HttpRequest &request, RunnerAct act);
    /** True if the request was about the runner itself and is answered. */
    boost::asio::awaitable<bool> answerReport(boost::beast::tcp_stream &stream, const HttpRequest &request, bool &again);
    boost::asio::awaitable<void> crash(boost::beast::tcp_stream &stream, const HttpRequest &request);
    boost::asio::awaitable<bool> stream(boost::beast::tcp_stream &stream, const HttpRequest &request, RunnerAct act);
    boost::asio::awaitable<bool> write(boost::beast::tcp_stream &stream, std::string text);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    std::string head(const HttpRequest &request, const std::string &status, const std::string &extra) const;
    std::string ownLines() const;

    boost::asio::io_context &m_context;
    std::string m_id;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<boost::beast::tcp_stream *> m_open; ///< connections of callers
    unsigned m_lives = 0;
};

} // namespace fulmarlink::standins
