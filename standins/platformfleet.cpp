#include "standins/platformfleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "fulmarlink/log.h"
#include "platform/wirenames.h"

namespace fulmarlink::standins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace
{

const std::string kLoopback = "127.0.0.1";
const std::string kObjects(wire_names::kObjectsPath);
const std::string kUnknownAttemptId = "other"; ///< attempt id that no caller sends
constexpr unsigned kOk = 200;
constexpr unsigned kCreated = 201;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr auto kWatchPollInterval = std::chrono::milliseconds(4); ///< polling interval of watches

HttpResponse jsonTextResponse(unsigned status, const std::string &text)
{
    return textResponse(status, text, "application/json");
}

HttpResponse jsonResponse(unsigned status, const json::value &value)
{
    return jsonTextResponse(status, json::serialize(value));
}

std::string header(const HttpRequest &request, std::string_view name)
{
    return std::string(request[std::string(name)]);
}

std::string line(std::string_view name, std::string_view value)
{
    return std::string(name) + ": " + std::string(value) + "\r\n";
}

/** The number that follows @p name in @p query; 0 if absent. */
std::uint64_t queryNumber(const std::string &query, const std::string &name)
{
    const std::size_t at = query.find(name);
    return at == std::string::npos ? 0 : std::strtoull(query.c_str() + at + name.size(), nullptr, 10);
}

/** @p text as one chunk of a chunked body. */
std::string chunkOf(const std::string &text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/** A refusal that names no request. */
std::string strayRefusal()
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + line(wire_names::kNotExecuted, "1") + "Content-Length: 0\r\n\r\n";
}

bool sendsStream(RunnerAct act)
{
    return act == RunnerAct::Answer || act == RunnerAct::CutStream || act == RunnerAct::WithoutLength || act == RunnerAct::CutStreamWithoutLength
           || act == RunnerAct::HeadWithoutLength;
}

/** A complete response to a request that was never made. */
std::string strayResponse()
{
    return "HTTP/1.1 200 OK\r\n" + line(wire_names::kAttemptId, kUnknownAttemptId) + line(wire_names::kServerSeal, "x") + "Content-Length: 5\r\n\r\nwrong";
}

} // namespace

PlatformStore::PlatformStore(asio::io_context &context)
    : m_context(context)
    , m_server(std::make_shared<HttpServer>(context.get_executor(), [this](HttpRequest request) {
        return handle(std::move(request));
    }))
{
}

HttpTarget PlatformStore::listen()
{
    return {kLoopback, m_server->listen(kLoopback, 0)};
}

void PlatformStore::set(const std::string &kind, const std::string &name, json::value spec)
{
    m_removed[kind].erase(name);
    m_objects[kind][name] = {++m_revision, std::move(spec), {}};
}

void PlatformStore::setText(const std::string &kind, const std::string &name, const std::string &specText)
{
    set(kind, name, nullptr);
    m_objects[kind][name].specText = specText;
}

void PlatformStore::remove(const std::string &kind, const std::string &name)
{
    ++m_revision;
    if (m_objects[kind].erase(name) > 0) {
        m_removed[kind][name] = m_revision;
    }
}

bool PlatformStore::has(const std::string &kind, const std::string &name) const
{
    const auto it = m_objects.find(kind);
    return it != m_objects.end() && it->second.contains(name);
}

json::value PlatformStore::get(const std::string &kind, const std::string &name) const
{
    return has(kind, name) ? m_objects.at(kind).at(name).spec : json::value();
}

std::vector<std::string> PlatformStore::names(const std::string &kind) const
{
    std::vector<std::string> result;
    const auto it = m_objects.find(kind);
    if (it != m_objects.end()) {
        for (const auto &[name, object] : it->second) {
            result.push_back(name);
        }
    }
    return result;
}

std::string PlatformStore::textOf(const std::string &name, const Object &object)
{
    const json::object metadata{{"name", name}, {"revision", object.revision}};
    return R"({"metadata":)" + json::serialize(metadata) + R"(,"spec":)" + (object.specText.empty() ? json::serialize(object.spec) : object.specText) + '}';
}

HttpResponse PlatformStore::read(const std::string &kind, const std::string &name) const
{
    const auto it = m_objects.find(kind);
    if (name.empty() && !answerToLists.empty()) {
        return jsonTextResponse(kOk, answerToLists);
    }
    if (name.empty()) {
        std::vector<std::string> items;
        if (it != m_objects.end()) {
            for (const auto &[key, object] : it->second) {
                items.push_back(textOf(key, object));
            }
        }
        if (listsInvalidText) {
            items.emplace_back("{\"metadata\":{\"name\":\"\xff\xfe\"},\"spec\":\"\xc3\"}");
        }
        return jsonTextResponse(kOk, R"({"items":[)" + joined(items) + R"(],"more":false,"current_rev":)" + std::to_string(m_revision) + '}');
    }
    if (it == m_objects.end() || !it->second.contains(name)) {
        return jsonResponse(kNotFound, json::object{{"error", "not found"}});
    }
    return jsonTextResponse(kOk, textOf(name, it->second.at(name)));
}

HttpResponse PlatformStore::write(const std::string &kind, const std::string &name, const HttpRequest &request)
{
    const json::value body = json::parse(request.body());
    const json::object &metadata = body.at("metadata").as_object();
    const std::string key = name.empty() ? std::string(metadata.at("name").as_string()) : name;
    auto &objects = m_objects[kind];
    const auto it = objects.find(key);
    if (name.empty() ? it != objects.end() : it == objects.end()) {
        return jsonTextResponse(name.empty() ? kConflict : kNotFound, it == objects.end() ? "null" : textOf(key, it->second));
    }
    const json::value *condition = metadata.if_contains("revision");
    if (condition != nullptr && condition->to_number<std::uint64_t>() != it->second.revision) {
        return jsonTextResponse(kConflict, textOf(key, it->second));
    }
    set(kind, key, body.at("spec"));
    return jsonTextResponse(name.empty() ? kCreated : kOk, textOf(key, objects.at(key)));
}

HttpResponse PlatformStore::erase(const std::string &kind, const std::string &name)
{
    const bool there = has(kind, name);
    remove(kind, name);
    return jsonResponse(there ? kOk : kNotFound, json::object());
}

/** Long poll: returns once an object of the kind has changed since the given revision, or after wait_ms. */
asio::awaitable<HttpResponse> PlatformStore::watch(std::string kind, std::string query)
{
    if (faults.watchRevisionGone) {
        co_return jsonResponse(kGone, json::object());
    }
    const std::uint64_t since = queryNumber(query, "watch=");
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(queryNumber(query, "wait_ms="));
    std::vector<std::string> events;
    while (!faults.watchesReturnEarly && events.empty() && std::chrono::steady_clock::now() < end) {
        boost::system::error_code ignored; // the timer is not cancelled
        asio::steady_timer timer(m_context, kWatchPollInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        for (const auto &[name, object] : m_objects[kind]) {
            if (object.revision > since && !faults.watchesMissChanges) {
                events.push_back(R"({"object":)" + textOf(name, object) + R"(,"removed":false})");
            }
        }
        for (const auto &[name, revision] : m_removed[kind]) {
            if (revision > since && !faults.watchesMissChanges) {
                events.push_back(R"({"object":)" + textOf(name, {revision, json::object(), {}}) + R"(,"removed":true})");
            }
        }
    }
    co_return jsonTextResponse(kOk, R"({"events":[)" + joined(events) + R"(],"current_rev":)" + std::to_string(m_revision) + '}');
}

asio::awaitable<HttpResponse> PlatformStore::handle(HttpRequest request)
{
    ++calls;
    boost::system::error_code ignored; // the timers are not cancelled before the test ends
    const bool reads = request.method() == http::verb::get;
    const bool lost = !reads && faults.unansweredWrites > 0;
    std::string path(request.target());
    const std::size_t mark = std::min(path.find('?'), path.size());
    const std::string query = path.substr(mark);
    path.resize(mark);
    writes += reads ? 0 : 1;
    const std::string rest = path.starts_with(kObjects) ? path.substr(kObjects.size()) : "";
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (faults.delay.count() > 0) {
        asio::steady_timer timer(m_context, faults.delay);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (faults.silent || lost) {
        if (lost) {
            --faults.unansweredWrites;
            write(kind, name, request);
        }
        asio::steady_timer timer(m_context, std::chrono::hours(1));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (faults.refusalStatus != 0) {
        co_return textResponse(faults.refusalStatus, "refused\n");
    }
    if (reads && query.find("watch=") != std::string::npos) {
        HttpResponse changes = co_await watch(kind, query);
        co_return changes;
    }
    if (reads) {
        co_return read(kind, name);
    }
    if (request.method() == http::verb::delete_) {
        co_return erase(kind, name);
    }
    co_return write(kind, name, request);
}

json::object runnerEntry(const std::string &pool, const HttpTarget &address, unsigned slots, const std::string &state)
{
    return {{"service", pool},
            {"addr", address.address + ':' + std::to_string(address.port)},
            {"zone", "z"},
            {"version", "v1"},
            {"slots", slots},
            {"state", state},
            {wire_names::kSlowStartLeftMs, 0},
            {wire_names::kOrdersAccepted, 0}};
}

PlatformRunner::PlatformRunner(asio::io_context &context, std::string id)
    : act([](const HttpRequest &) {
        return RunnerAct::Answer;
    })
    , m_context(context)
    , m_id(std::move(id))
    , m_acceptor(context)
{
}

HttpTarget PlatformRunner::listen(std::uint16_t port)
{
    ++m_incarnation;
    const tcp::endpoint endpoint(asio::ip::make_address(kLoopback), port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    return {kLoopback, m_acceptor.local_endpoint().port()};
}

const std::string &PlatformRunner::id() const
{
    return m_id;
}

void PlatformRunner::end()
{
    boost::system::error_code ignored; // a close error has no consequence for a runner that has ended
    m_acceptor.close(ignored);
    for (boost::beast::tcp_stream *stream : m_openStreams) {
        if (!silentCrash) {
            stream->close();
        }
    }
}

void PlatformRunner::setId(std::string id)
{
    m_id = std::move(id);
}

asio::awaitable<void> PlatformRunner::acceptLoop()
{
    const unsigned incarnation = m_incarnation;
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error || incarnation != m_incarnation) {
            co_return;
        }
        ++connections;
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> PlatformRunner::pause(std::chrono::milliseconds time)
{
    boost::system::error_code ignored; // the timer is not cancelled
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::size_t PlatformRunner::openConnections() const
{
    return m_openStreams.size();
}

asio::awaitable<void> PlatformRunner::serve(tcp::socket socket)
{
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    m_openStreams.insert(&stream);
    bool again = true;
    while (again) {
        boost::system::error_code error;
        HttpRequest request;
        while (stalled) {
            co_await pause(std::chrono::milliseconds(1));
        }
        co_await http::async_read(stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        const bool reported = co_await answerReport(stream, request, again);
        if (reported) {
            continue;
        }
        receivedRequests.push_back(request);
        RunnerAct chosen = act(request);
        if (header(request, wire_names::kExpectInstance) != m_id) {
            chosen = RunnerAct::Misdirected;
        }
        again = co_await answer(stream, request, chosen);
    }
    m_openStreams.erase(&stream);
}

/** Ends the runner. For a stream, sends the response head first, since it precedes the first token. */
asio::awaitable<void> PlatformRunner::crash(boost::beast::tcp_stream &stream, const HttpRequest &request)
{
    if (request.target().starts_with("/stream/")) {
        co_await write(stream, streamHead(request, streamsHaveLength));
    }
    if (!m_acceptor.is_open()) {
        co_return; // another request has already ended the runner
    }
    stream.close();
    end();
    if (onCrash) {
        onCrash();
    }
}

asio::awaitable<bool> PlatformRunner::answerReport(boost::beast::tcp_stream &stream, const HttpRequest &request, bool &again)
{
    if (request.target() != wire_names::kReportPath) {
        co_return false;
    }
    ++reportReads;
    const std::string body = reportText.empty() ? json::serialize(report) : reportText;
    again = co_await write(stream,
                           "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + runnerHeaderLines() + "Content-Length: " + std::to_string(body.size())
                               + "\r\n\r\n" + body);
    co_return true;
}

std::string PlatformRunner::head(const HttpRequest &request, const std::string &status, const std::string &extra) const
{
    return "HTTP/1.1 " + status + "\r\n" + line(wire_names::kAttemptId, header(request, wire_names::kAttemptId)) + line(wire_names::kServerLoad, "1,0,4")
           + line("Keep-Alive", "timeout=5") + runnerHeaderLines() + extra;
}

std::string PlatformRunner::streamHead(const HttpRequest &request, bool chunked) const
{
    const std::string framing = chunked ? line("Transfer-Encoding", "chunked") : line("Connection", "close");
    return head(request, "200 OK", line(wire_names::kServerSeal, m_id) + line("Content-Type", "text/event-stream") + framing + "\r\n");
}

/** Header lines about the runner itself that every response carries. */
std::string PlatformRunner::runnerHeaderLines() const
{
    std::string lines = limit.empty() ? std::string() : line(wire_names::kRequestLimit, limit);
    lines += leaving ? line(wire_names::kLeaving, "1") : std::string();
    return lines;
}

asio::awaitable<bool> PlatformRunner::write(boost::beast::tcp_stream &stream, std::string text)
{
    boost::system::error_code error;
    co_await asio::async_write(stream, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> PlatformRunner::answer(boost::beast::tcp_stream &stream, const HttpRequest &request, RunnerAct act)
{
    const bool large = largeAnswerBytes > 0 && request.target().starts_with("/large/");
    const std::string body = large ? std::string(largeAnswerBytes, 'x') : "from " + m_id;
    const std::string sealed = line(wire_names::kServerSeal, m_id);
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (act == RunnerAct::Refuse || act == RunnerAct::Misdirected) {
        const bool full = act == RunnerAct::Refuse;
        const std::string status = full ? "503 Service Unavailable" : "421 Misdirected Request";
        const std::string wait = full && !retryAfter.empty() ? line(wire_names::kRetryAfter, retryAfter) : "";
        const std::string id = refusalsNameRequest ? line(wire_names::kAttemptId, header(request, wire_names::kAttemptId)) : "";
        co_return co_await write(
            stream, "HTTP/1.1 " + status + "\r\n" + line(wire_names::kNotExecuted, "1") + id + wait + runnerHeaderLines() + "Content-Length: 0\r\n\r\n");
    }
    attemptsRun.push_back(header(request, wire_names::kAttemptId));
    co_await pause(workTime);
    if (request.target().starts_with("/stream/") && sendsStream(act)) {
        co_return co_await this->stream(stream, request, act);
    }
    bool open = true;
    switch (act) {
    case RunnerAct::Fail:
        open = co_await write(stream, head(request, "500 Internal Server Error", sealed + length) + body);
        break;
    case RunnerAct::ResetUnanswered:
        stream.socket().set_option(asio::socket_base::linger(true, 0));
        stream.close();
        open = false;
        break;
    case RunnerAct::Silent:
        co_await pause(std::chrono::hours(1));
        break;
    case RunnerAct::Crash:
        co_await crash(stream, request);
        open = false;
        break;
    case RunnerAct::StrayFirst:
        open = co_await write(stream, strayResponse() + head(request, "200 OK", sealed + length) + body);
        break;
    case RunnerAct::RefusalFirst:
        open = co_await write(stream, strayRefusal() + head(request, "200 OK", sealed + length) + body);
        break;
    case RunnerAct::Unsealed:
        open = co_await write(stream, head(request, "200 OK", length) + body);
        break;
    case RunnerAct::WithoutLength:
        co_await write(stream, head(request, "200 OK", sealed + "Connection: close\r\n\r\n") + body);
        open = false;
        break;
    case RunnerAct::Truncated:
        co_await write(stream, head(request, "200 OK", sealed + length) + body.substr(0, 3));
        open = false;
        break;
    case RunnerAct::TruncatedHalfway:
        co_await write(stream, head(request, "200 OK", sealed + length) + body.substr(0, body.size() / 2));
        open = false;
        break;
    case RunnerAct::StrayLast:
        open = co_await write(stream, head(request, "200 OK", sealed + length) + body + strayResponse());
        break;
    case RunnerAct::Garbage:
        co_await write(stream, "no answer at all\r\n\r\n");
        open = false;
        break;
    default:
        open = co_await write(stream, head(request, "200 OK", sealed + length) + body);
        break;
    }
    co_return open;
}

asio::awaitable<bool> PlatformRunner::stream(boost::beast::tcp_stream &stream, const HttpRequest &request, RunnerAct act)
{
    const std::string last = header(request, wire_names::kLastEventId);
    const unsigned first = last.empty() ? 0 : static_cast<unsigned>(std::stoul(last)) + 1;
    const bool unframedAct = act == RunnerAct::WithoutLength || act == RunnerAct::CutStreamWithoutLength || act == RunnerAct::HeadWithoutLength;
    const bool chunked = streamsHaveLength && !unframedAct;
    bool open = co_await write(stream, streamHead(request, chunked));
    if (act == RunnerAct::HeadWithoutLength) {
        co_return false;
    }
    for (unsigned i = first; i < events && open; ++i) {
        std::string event = "id: " + std::to_string(i) + "\ndata: part " + std::to_string(i) + "\n\n";
        const bool cut = (act == RunnerAct::CutStream || act == RunnerAct::CutStreamWithoutLength) && i == first + 2;
        if (cut) {
            event.resize(event.size() / 2);
        }
        const std::string bytes = chunked ? chunkOf(event) : event;
        open = co_await write(stream, bytes);
        if (cut) {
            co_return false;
        }
        co_await pause(workTime);
    }
    if (!open) {
        ++abandonedStreams;
        co_return false;
    }
    if (!chunked) {
        co_return false;
    }
    co_return co_await write(stream, "0\r\n\r\n");
}

} // namespace fulmarlink::standins
