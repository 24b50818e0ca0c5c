// Clients that send more than a gateway may hold: the store, the runners, the crowd and the judge.
// testing/crowd.sh starts it and one real gateway with lowered limits. It ends with 0 if the gateway lives, stayed within its
// memory and descriptors, and answers ordinary callers while the crowd's connections are open.
//
// Nothing here depends on the machine's speed: the judge waits until each client has sent everything or was disconnected.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/value.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

#include "app/commandline.h"
#include "standins/platformfleet.h"
#include "testing/harness/caller.h"
#include "testing/harness/freeport.h"

namespace fulmarlink::testing
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;

constexpr std::size_t kMachineMemory = 64 * kMegabyte; ///< of the gateway's machine
constexpr std::size_t kMaxOpenFiles = 512; ///< of the gateway, unless the crowd names more; half of them for callers
constexpr std::size_t kMaxBody = kMegabyte; ///< configured limit of a request's body
constexpr std::size_t kClients = 200;
constexpr std::size_t kPieceBytes = 64 * kKilobyte; ///< of one write
constexpr int kSendBufferBytes = 16 * kKilobyte; ///< of a client, so that the gateway's side has what was written
constexpr std::size_t kOrdinaryTries = 5; ///< as clients retry a refused or unread request
constexpr auto kBlockedTime = 2s; ///< a client whose writes are blocked for so long has sent what the gateway and its kernel take
constexpr auto kLimit = 240s; ///< of one case, for a very slow machine

/** The bytes that one client sends: @p begin, then @p block @p repeats times, then @p end. Its connection then stays open. */
struct Script {
    std::string begin;
    std::string block;
    std::size_t repeats = 0;
    std::string end;
    bool awaitsAnswer = false; ///< the client has finished when an answer has begun to arrive, of which it reads nothing
};

/** A crowd, and the port that it is sent to. */
struct Crowd {
    enum class Port : std::uint8_t {
        Callers,
        Readiness,
        Metrics,
    };

    Port port = Port::Callers;
    std::size_t clients = kClients;
    Script script{};
    std::vector<Script> others{}; ///< alternating with @p script
    std::size_t maxOpenFiles = kMaxOpenFiles;
};

std::string requestHead(const std::string &target, const std::string &framing)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: crowd\r\nDeadline-Ms: 60000\r\nAuthorization: Token key\r\n" + framing + "\r\n";
}

std::string announced(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

std::string chunk(std::size_t bytes)
{
    std::ostringstream text;
    text << std::hex << bytes << "\r\n" << std::string(bytes, 'x') << "\r\n";
    return text.str();
}

/**
 * A request whose head consists of fields of five bytes. Reads of 4,096 bytes end within the first two bytes of a field, where a
 * parser can have consumed everything before, so that what is left in its buffer never gets longer.
 */
Script headOfShortFields(std::size_t bytes)
{
    constexpr std::size_t kField = 5;
    std::string begin = "POST /again/x HTTP/1.1\r\nHost: h\r\n";
    begin += "b:" + std::string(2 * kField - (begin.size() + 4) % kField, ' ') + "\r\n";
    return {begin + 'a', ":b\r\na", bytes / kField, {}};
}

Crowd crowdOf(const std::string &name)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string chunkedHead = requestHead("/again/x", chunked);
    constexpr std::size_t kFarOver = 16 * kMegabyte;
    if (name == "trailers") {
        return {.clients = 20, .script = {chunkedHead + chunk(4) + "0\r\n", "X-Trailer: " + std::string(100, 't') + "\r\n", kFarOver / 113, {}}};
    }
    if (name == "chunk-extensions") {
        return {.clients = 20, .script = {chunkedHead + "4;x=", std::string(kKilobyte, 'e'), kFarOver / kKilobyte, {}}};
    }
    if (name == "bodies-over-the-limit") {
        const Script longer{requestHead("/again/x", announced(kFarOver * 8)), std::string(kKilobyte, 'x'), kFarOver / kKilobyte, {}};
        return {.clients = 40, .script = longer, .others = {{chunkedHead, chunk(kKilobyte), kFarOver / kKilobyte, {}}}};
    }
    if (name == "announced-bodies") {
        return {.script = {requestHead("/again/x", announced(kMaxBody)), std::string(kKilobyte, 'x'), kMaxBody / kKilobyte - 1, std::string(1023, 'x')}};
    }
    if (name == "large-chunks") {
        return {.script = {chunkedHead, chunk(256 * kKilobyte), 3, chunk(256 * kKilobyte - 1)}};
    }
    if (name == "small-chunks") {
        return {.script = {chunkedHead, chunk(16), kMaxBody / 16 - 1, chunk(15)}, .others = {{chunkedHead, chunk(1), 256 * kKilobyte, {}}}};
    }
    if (name == "heads-without-end") {
        return {.clients = 60, .script = headOfShortFields(kMegabyte)};
    }
    if (name == "short-fields") {
        Script script = headOfShortFields(16'000);
        script.end = ":b\r\n" + announced(10) + "\r\n123456789";
        return {.clients = 240, .script = script};
    }
    if (name == "requests-behind-one-that-waits") {
        return {.clients = 580, .script = {requestHead("/hold/x", announced(0)), std::string(kKilobyte, 'x'), kKilobyte, {}}, .maxOpenFiles = 1200};
    }
    if (name == "unread-answers") {
        return {.script = {requestHead("/large/x", announced(0)), {}, 0, {}, true}};
    }
    const std::string head = "POST /v1/readyz HTTP/1.1\r\nHost: h\r\n";
    const Script body{head + announced(2 * kMegabyte) + "\r\n", std::string(kKilobyte, 'x'), 2 * kKilobyte - 1, {}};
    const Script trailer{head + chunked + "\r\n0\r\n", "X-Trailer: " + std::string(100, 't') + "\r\n", 2 * kMegabyte / 113, {}};
    if (name == "readiness-bodies") {
        return {.port = Crowd::Port::Readiness, .script = body, .others = {trailer}};
    }
    if (name == "metrics-bodies") {
        return {.port = Crowd::Port::Metrics, .script = body, .others = {trailer}};
    }
    if (name == "readiness-connections") {
        return {.port = Crowd::Port::Readiness, .clients = 700, .script = {"GET ", {}, 0, {}}};
    }
    if (name == "metrics-connections") {
        return {.port = Crowd::Port::Metrics, .clients = 700, .script = {"GET ", {}, 0, {}}};
    }
    return {.clients = 0};
}

/** What the system tells about the gateway's process. */
class ProcessWatch
{
public:
    void setPid(long pid)
    {
        m_folder = "/proc/" + std::to_string(pid);
        m_pid = pid;
    }

    bool alive() const
    {
        return kill(static_cast<pid_t>(m_pid), 0) == 0;
    }

    /** The largest resident memory so far, in bytes. */
    std::size_t peakMemory() const
    {
        std::ifstream file(m_folder + "/status");
        std::size_t kilobytes = 0;
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("VmHWM:")) {
                kilobytes = std::stoul(line.substr(6));
            }
        }
        return kilobytes * kKilobyte;
    }

    std::size_t openFiles() const
    {
        std::error_code error; // the process may have ended
        const std::filesystem::directory_iterator files(m_folder + "/fd", error);
        return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    /** Bytes that the kernel holds for connections accepted at @p port: received and not read, or written and not taken. */
    static std::size_t kernelBytes(std::uint16_t port)
    {
        std::ifstream file("/proc/net/tcp");
        std::size_t sum = 0;
        std::string line;
        std::getline(file, line);
        while (std::getline(file, line)) {
            std::istringstream fields(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string state;
            std::string queues;
            fields >> number >> local >> remote >> state >> queues;
            const bool listening = state == "0A";
            if (listening || std::stoul(local.substr(local.find(':') + 1), nullptr, 16) != port) {
                continue;
            }
            sum += std::stoul(queues.substr(0, 8), nullptr, 16) + std::stoul(queues.substr(9), nullptr, 16);
        }
        return sum;
    }

private:
    std::string m_folder;
    long m_pid = 0;
};

class CrowdWorld
{
public:
    CrowdWorld(std::string name, std::string folder, bool judgesMemory)
        : m_name(std::move(name))
        , m_crowd(crowdOf(m_name))
        , m_folder(std::move(folder))
        , m_judgesMemory(judgesMemory)
        , m_store(m_context)
        , m_runner(m_context, "i-0")
    {
    }

    int run()
    {
        prepare();
        asio::co_spawn(m_context, play(), [this](const std::exception_ptr &error) {
            m_broken = m_broken || error;
            m_context.stop();
        });
        m_context.run_for(kLimit);
        check(m_over, "the crowd is done in time");
        return m_broken ? 1 : 0;
    }

private:
    void check(bool holds, const std::string &what)
    {
        std::cout << (holds ? "ok      " : "FAILED  ") << what << std::endl;
        m_broken = m_broken || !holds;
    }

    void prepare()
    {
        const auto route = [](const std::string &name, unsigned timeout) {
            return json::object{{"name", name},
                                {"host", "h"},
                                {"path_prefix", "/" + name + "/"},
                                {"kind", "idempotent"},
                                {"timeout_ms", timeout},
                                {"slo_ms", 100},
                                {"service", "plain"},
                                {"max_attempts", 1}};
        };
        const json::array routes{route("again", 5000), route("hold", 60'000), route("large", 60'000)};
        const json::object limits{{"max_body_bytes", kMaxBody}, {"max_header_bytes", 16 * kKilobyte}};
        m_store.set("config",
                    "main",
                    json::object{{"version", 1},
                                 {"limits", limits},
                                 {"routes", routes},
                                 {"services", json::array{json::object{{"name", "plain"}}}},
                                 {"tenants", json::array{json::object{{"name", "c"}, {"api_keys", json::array{"key"}}}}}});
        m_runner.act = [](const HttpRequest &request) {
            return request.target().starts_with("/hold/") ? standins::RunnerAct::Silent : standins::RunnerAct::Answer;
        };
        m_runner.largeAnswerBytes = kMegabyte;
        m_store.set("servers", "i-0", standins::runnerEntry("plain", m_runner.listen(), 1000));
        for (HttpTarget *target : {&m_callers, &m_readiness, &m_metrics}) {
            *target = {"127.0.0.1", freePort()};
        }
        std::ofstream settings(m_folder + "/gateway.yaml");
        settings << "host: entry\nzone: z\nlisten:\n  callers: \"127.0.0.1:" << m_callers.port << "\"\n  readiness: \"127.0.0.1:" << m_readiness.port
                 << "\"\n  metrics: \"127.0.0.1:" << m_metrics.port << "\"\nstore: \"127.0.0.1:" << m_store.listen().port
                 << "\"\nmemory_mb: " << kMachineMemory / kMegabyte << "\nmax_open_files: " << m_crowd.maxOpenFiles << "\n";
        settings.close();
        std::ofstream(m_folder + "/ready") << "ready\n";
    }

    asio::awaitable<void> sleep(std::chrono::milliseconds time)
    {
        boost::system::error_code ignored; // the timer is not cancelled
        asio::steady_timer timer(m_context, time);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    HttpTarget target() const
    {
        switch (m_crowd.port) {
        case Crowd::Port::Readiness:
            return m_readiness;
        case Crowd::Port::Metrics:
            return m_metrics;
        default:
            return m_callers;
        }
    }

    asio::awaitable<void> play()
    {
        long pid = 0;
        while (pid == 0) {
            co_await sleep(20ms);
            std::ifstream(m_folder + "/pid") >> pid;
        }
        m_gateway.setPid(pid);
        asio::co_spawn(m_context, watchFiles(), asio::detached);
        const unsigned ready = co_await askUntilServed(m_readiness, probe(), 1000);
        check(ready == 200, "the gateway is ready");
        const unsigned before = co_await askUntilServed(m_callers, request("small"), kOrdinaryTries);
        check(before == 200, "an ordinary request is answered before, status " + std::to_string(before));
        std::cout << "        memory before the crowd: " << m_gateway.peakMemory() / kKilobyte << " KB" << std::endl;
        for (std::size_t i = 0; i < m_crowd.clients; ++i) {
            const std::size_t choice = i % (m_crowd.others.size() + 1);
            const Script &script = choice == 0 ? m_crowd.script : m_crowd.others[choice - 1];
            asio::co_spawn(m_context, client(script), asio::detached);
        }
        while (m_finished < m_crowd.clients && m_gateway.alive()) {
            co_await sleep(20ms);
        }
        std::cout << "        clients " << m_crowd.clients << ", sent everything " << m_sentAll << ", disconnected " << m_disconnected << ", blocked "
                  << m_blocked << std::endl;
        co_await judge();
        m_over = true;
    }

    asio::awaitable<void> judge()
    {
        check(m_gateway.alive(), "the process lives");
        const std::size_t kernel = ProcessWatch::kernelBytes(target().port);
        const unsigned ordinary = co_await askUntilServed(m_callers, request("small"), kOrdinaryTries);
        check(ordinary == 200, "an ordinary request is answered beside the crowd, status " + std::to_string(ordinary));
        const unsigned ready = co_await askUntilServed(m_readiness, probe(), kOrdinaryTries);
        check(ready == 200, "the platform's probe is answered beside the crowd, status " + std::to_string(ready));
        m_sockets.clear();
        const unsigned largest = co_await askUntilServed(m_callers, request(std::string(kMaxBody, 'x')), kOrdinaryTries);
        check(largest == 200, "a request of the largest size is answered afterwards, status " + std::to_string(largest));
        const std::size_t memory = m_gateway.peakMemory() + kernel;
        const std::string figures = std::to_string(m_gateway.peakMemory() / kKilobyte) + " KB and " + std::to_string(kernel / kKilobyte) + " KB in the kernel";
        if (m_judgesMemory) {
            check(memory <= kMachineMemory, "memory " + figures + " within " + std::to_string(kMachineMemory / kKilobyte) + " KB");
        }
        check(m_peakFiles <= m_crowd.maxOpenFiles, "descriptors " + std::to_string(m_peakFiles) + " within " + std::to_string(m_crowd.maxOpenFiles));
        check(m_gateway.alive(), "the process lives at the end");
    }

    asio::awaitable<void> watchFiles()
    {
        for (;;) {
            m_peakFiles = std::max(m_peakFiles, m_gateway.openFiles());
            co_await sleep(50ms);
        }
    }

    /** Writes @p text. Gives up when nothing of it has been taken for kBlockedTime, and leaves the connection open. */
    asio::awaitable<boost::system::error_code> write(tcp::socket &socket, const std::string &text)
    {
        boost::system::error_code error;
        std::size_t done = 0;
        while (!error && done < text.size()) {
            asio::steady_timer timer(m_context, kBlockedTime);
            timer.async_wait([&socket](const boost::system::error_code &cancelled) {
                if (!cancelled) {
                    socket.cancel();
                }
            });
            done += co_await socket.async_write_some(asio::buffer(text) + done, asio::redirect_error(asio::use_awaitable, error));
        }
        co_return error;
    }

    asio::awaitable<boost::system::error_code> send(tcp::socket &socket, const Script &script)
    {
        boost::system::error_code error = co_await write(socket, script.begin);
        std::string piece;
        std::size_t sent = 0;
        while (!error && sent < script.repeats) {
            piece.clear();
            while (sent < script.repeats && (piece.empty() || piece.size() + script.block.size() <= kPieceBytes)) {
                piece += script.block;
                ++sent;
            }
            error = co_await write(socket, piece);
        }
        if (!error) {
            error = co_await write(socket, script.end);
        }
        if (!error && script.awaitsAnswer) {
            co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        }
        co_return error;
    }

    /** Sends the script; the client has finished once everything is sent, it is disconnected, or its writes are blocked. */
    asio::awaitable<void> client(const Script &script)
    {
        boost::system::error_code error;
        auto socket = std::make_shared<tcp::socket>(m_context);
        m_sockets.push_back(socket);
        const HttpTarget to = target();
        socket->open(tcp::v4());
        socket->set_option(tcp::socket::send_buffer_size(kSendBufferBytes));
        co_await socket->async_connect({asio::ip::make_address(to.address), to.port}, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            error = co_await send(*socket, script);
        }
        const bool blocked = error == asio::error::operation_aborted;
        m_blocked += blocked ? 1 : 0;
        m_disconnected += error && !blocked ? 1 : 0;
        m_sentAll += error ? 0 : 1;
        ++m_finished;
    }

    static HttpRequest request(std::string body)
    {
        HttpRequest result(boost::beast::http::verb::post, "/again/ordinary", 11);
        result.set("Host", "h");
        result.set("Attempt-Id", "ordinary");
        result.set("Deadline-Ms", "20000");
        result.set("Authorization", "Token key");
        result.body() = std::move(body);
        result.prepare_payload();
        return result;
    }

    static HttpRequest probe()
    {
        HttpRequest result(boost::beast::http::verb::get, "/v1/readyz", 11);
        result.set("Host", "h");
        return result;
    }

    /** Asks on a connection of its own, again after a refusal or a connection closed unread. Returns the last status. */
    asio::awaitable<unsigned> askUntilServed(HttpTarget to, HttpRequest message, std::size_t tries)
    {
        unsigned status = 0;
        for (std::size_t i = 0; i < tries && status != 200; ++i) {
            auto answer = std::make_shared<Answer>();
            auto done = std::make_shared<bool>(false);
            co_await callOnce(m_context, to, message, answer, done);
            status = answer->status;
            if (status != 200) {
                const std::string retryAfter = (*answer)["Retry-After"];
                co_await sleep(std::chrono::milliseconds(retryAfter.empty() ? 100 : static_cast<int>(std::stod(retryAfter) * 1000)));
            }
        }
        co_return status;
    }

    const std::string m_name;
    const Crowd m_crowd;
    const std::string m_folder;
    const bool m_judgesMemory;
    asio::io_context m_context;
    standins::PlatformStore m_store;
    standins::PlatformRunner m_runner;
    HttpTarget m_callers;
    HttpTarget m_readiness;
    HttpTarget m_metrics;
    ProcessWatch m_gateway;
    std::vector<std::shared_ptr<tcp::socket>> m_sockets; ///< of the crowd
    std::size_t m_finished = 0;
    std::size_t m_sentAll = 0;
    std::size_t m_disconnected = 0;
    std::size_t m_blocked = 0;
    std::size_t m_peakFiles = 0;
    bool m_over = false;
    bool m_broken = false;
};

} // namespace

} // namespace fulmarlink::testing

int main(int argc, const char **argv)
{
    using namespace fulmarlink;
    CommandLine line("crowd", "Plays clients that send more than a gateway may hold; testing/crowd.sh starts the gateway.", "CASE FOLDER");
    bool anyMemory = false;
    line.addFlag("any-memory", &anyMemory, "does not judge the gateway's memory, as with a sanitizer that keeps freed memory");
    ExitCode code = ExitCode::Ok;
    if (!line.parse(argc, argv, code)) {
        return static_cast<int>(code);
    }
    if (line.operands().size() != 2 || testing::crowdOf(line.operands().front()).clients == 0) {
        return static_cast<int>(line.fail("a known case and a folder are needed"));
    }
    return testing::CrowdWorld(line.operands()[0], line.operands()[1], !anyMemory).run();
}
