// Clients that send more than a gateway may hold: the store, the runners, the crowd and the judge.
// testing/crowd.sh starts it and one real gateway with lowered limits. It ends with 0 if the gateway lives, stayed within its
// memory and descriptors, and answers ordinary callers while the crowd's connections are open.
//
// Nothing here depends on the machine's speed: the judge waits until each client has sent everything or was disconnected, and the
// gateway has accepted all connections and read what it reads of them. A gateway that hangs is left to the time limit of ctest.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/value.hpp>
#include <fstream>
#include <iostream>
#include <vector>

#include "app/commandline.h"
#include "standins/platformfleet.h"
#include "testing/harness/caller.h"
#include "testing/harness/crowd.h"
#include "testing/harness/freeport.h"
#include "testing/harness/processwatch.h"

namespace fulmarlink::testing
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr std::size_t kMachineMemory = 64 * kMegabyte; ///< of the gateway's machine
constexpr std::size_t kPieceBytes = 64 * kKilobyte; ///< of one write
constexpr int kSendBufferBytes = 16 * kKilobyte; ///< of a client, so that the gateway's side has what was written
constexpr std::size_t kOrdinaryTries = 5; ///< as clients retry a refused or unread request
constexpr unsigned kQuietRounds = 3; ///< writes of all clients in a row of which nothing is taken: the kernel's buffers are full
constexpr auto kPollInterval = 20ms;

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
        m_context.run();
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
        const json::object limits{{"max_body_bytes", kCrowdMaxBody}, {"max_header_bytes", 16 * kKilobyte}};
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
            co_await sleep(kPollInterval);
            std::ifstream(m_folder + "/pid") >> pid;
        }
        m_gateway.setPid(pid);
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
            m_files = std::max(m_files, m_gateway.openFiles());
            co_await sleep(kPollInterval);
        }
        if (m_crowd.fillsKernel) {
            co_await fillKernel();
        }
        co_await awaitSettled();
        std::cout << "        clients " << m_crowd.clients << ", sent everything " << m_sentAll << ", disconnected " << m_disconnected << std::endl;
        co_await judge();
    }

    /** Waits until the gateway has accepted all connections and has read what it reads of them. */
    asio::awaitable<void> awaitSettled()
    {
        KernelQueues queues = ProcessWatch::queuesAt(target().port);
        while (m_gateway.alive() && (queues.unaccepted > 0 || (queues.unread > 0 && !m_crowd.fillsKernel))) {
            co_await sleep(kPollInterval);
            queues = ProcessWatch::queuesAt(target().port);
        }
        m_files = std::max(m_files, m_gateway.openFiles());
    }

    /** Writes to all connections until nothing more is taken. Before, waits until the gateway has read the requests, and so reads no more. */
    asio::awaitable<void> fillKernel()
    {
        while (m_runner.receivedRequests.size() < m_crowd.clients && m_gateway.alive()) {
            co_await sleep(kPollInterval);
        }
        for (unsigned quiet = 0; quiet < kQuietRounds; ++quiet) {
            std::size_t taken = 0;
            for (const auto &socket : m_sockets) {
                taken += writeUntilFull(*socket, m_crowd.script.block);
            }
            if (taken > 0) {
                quiet = 0;
            }
            co_await sleep(kPollInterval);
        }
    }

    static std::size_t writeUntilFull(tcp::socket &socket, const std::string &block)
    {
        boost::system::error_code error;
        std::size_t taken = 0;
        socket.non_blocking(true);
        while (!error) {
            taken += socket.write_some(asio::buffer(block), error);
        }
        return taken;
    }

    asio::awaitable<void> judge()
    {
        check(m_gateway.alive(), "the process lives");
        const KernelQueues queues = m_gateway.queues();
        const std::size_t kernel = queues.unread + queues.untaken;
        const unsigned ordinary = co_await askUntilServed(m_callers, request("small"), kOrdinaryTries);
        check(ordinary == 200, "an ordinary request is answered beside the crowd, status " + std::to_string(ordinary));
        const unsigned ready = co_await askUntilServed(m_readiness, probe(), kOrdinaryTries);
        check(ready == 200, "the platform's probe is answered beside the crowd, status " + std::to_string(ready));
        m_sockets.clear();
        const unsigned largest = co_await askUntilServed(m_callers, request(std::string(kCrowdMaxBody, 'x')), kOrdinaryTries);
        check(largest == 200, "a request of the largest size is answered afterwards, status " + std::to_string(largest));
        const std::size_t memory = m_gateway.peakMemory() + kernel;
        const std::string figures = std::to_string(m_gateway.peakMemory() / kKilobyte) + " KB and " + std::to_string(kernel / kKilobyte) + " KB in the kernel";
        if (m_judgesMemory) {
            check(memory <= kMachineMemory, "memory " + figures + " within " + std::to_string(kMachineMemory / kKilobyte) + " KB");
        }
        check(m_files <= m_crowd.maxOpenFiles, "descriptors " + std::to_string(m_files) + " within " + std::to_string(m_crowd.maxOpenFiles));
        check(m_gateway.alive(), "the process lives at the end");
    }

    asio::awaitable<boost::system::error_code> send(tcp::socket &socket, const Script &script)
    {
        boost::system::error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        co_await asio::async_write(socket, asio::buffer(script.begin), token);
        std::string piece;
        std::size_t sent = 0;
        while (!error && sent < script.repeats) {
            piece.clear();
            while (sent < script.repeats && (piece.empty() || piece.size() + script.block.size() <= kPieceBytes)) {
                piece += script.block;
                ++sent;
            }
            co_await asio::async_write(socket, asio::buffer(piece), token);
        }
        if (!error) {
            co_await asio::async_write(socket, asio::buffer(script.end), token);
        }
        if (!error && script.awaitsAnswer) {
            co_await socket.async_wait(tcp::socket::wait_read, token);
        }
        co_return error;
    }

    /** Sends the script; the client has finished once everything is sent or it is disconnected. */
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
        m_disconnected += error ? 1 : 0;
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
    std::size_t m_files = 0; ///< the most that were seen open in the gateway
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
