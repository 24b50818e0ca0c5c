// The world of a fault soak: store, runners, proxies in between, callers and the oracle.
// testing/soak.sh starts it and the gateways, which it stops, pauses, kills and restarts by
// signals. It ends with 0 if every promise held, as callers and runners saw it.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <unistd.h>

#include "app/commandline.h"
#include "platform/wirenames.h"
#include "standins/platformfleet.h"
#include "testing/harness/loopbackproxy.h"
#include "testing/harness/soakledger.h"

namespace fulmarlink::testing
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using standins::PlatformRunner;
using standins::PlatformStore;
using standins::RunnerAct;

constexpr unsigned kGateways = 3;
constexpr unsigned kRunners = 4;
constexpr unsigned kCallers = 24;
constexpr unsigned kEvents = 8; ///< of a stream
constexpr auto kRevokeBound = 5000ms;
constexpr auto kBackoff = 1500ms; ///< that a runner asks for when it turns requests away
constexpr const char *kBackoffText = "1.5"; ///< the same, in seconds
constexpr const char *kGatewayHeader = "X-Gateway"; ///< of a request: the gateway that its caller chose
constexpr auto kPatience = 6000ms; ///< of a caller, far beyond every route's time

enum class Kind : std::uint8_t {
    Once,
    Again,
    Stream,
};

/** Of the gateways; with every other seed so small that processes which renew it at each start come near the bound or exceed it. */
RetryBound retryBound(std::uint64_t seed)
{
    return seed % 2 == 0 ? RetryBound{.ratio = 0.001, .slack = 10} : RetryBound{};
}

/** What became of one attempt, as its caller saw it. */
struct Attempt {
    Kind kind = Kind::Once;
    std::string key;
    Clock::time_point sent{};
    unsigned status = 0;
};

/** Each time another port that is free; below the range of outgoing connections, apart from other soaks on this machine. */
std::uint16_t freePort()
{
    constexpr unsigned kFirst = 10'000;
    constexpr unsigned kPorts = 7'000; ///< apart from those of the unit tests, which run beside soaks
    constexpr unsigned kOfOneSoak = 16;
    static unsigned next = static_cast<unsigned>(getpid()) * kOfOneSoak;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(kFirst + next++ % kPorts);
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(asio::ip::tcp::v4());
        acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error) {
            return port;
        }
    }
}

std::string text(const HttpTarget &target)
{
    return target.address + ':' + std::to_string(target.port);
}

class SoakWorld
{
public:
    SoakWorld(std::uint64_t seed, std::chrono::seconds length, std::string folder)
        : m_random(seed)
        , m_length(length)
        , m_folder(std::move(folder))
        , m_store(m_context)
        , m_retryBound(retryBound(seed))
        , m_ledger(m_retryBound)
    {
    }

    int run()
    {
        prepare();
        asio::co_spawn(m_context, trouble(), asio::detached);
        asio::co_spawn(m_context, operatorLoop(), asio::detached);
        asio::co_spawn(m_context, limits(), asio::detached);
        asio::co_spawn(m_context, backoffs(), asio::detached);
        for (unsigned i = 0; i < kCallers; ++i) {
            asio::co_spawn(m_context, caller(i), asio::detached);
        }
        m_context.run_for(m_length + kPatience);
        return judge();
    }

private:
    unsigned pick(unsigned bound)
    {
        return static_cast<unsigned>(m_random() % bound);
    }

    asio::awaitable<void> sleep(std::chrono::milliseconds time)
    {
        boost::system::error_code ignored; // the timer is not cancelled
        asio::steady_timer timer(m_context, time);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    bool over() const
    {
        return Clock::now() - m_began > m_length;
    }

    LoopbackProxy &proxy(const HttpTarget &upstream)
    {
        m_proxies.push_back(std::make_unique<LoopbackProxy>(m_context, upstream));
        return *m_proxies.back();
    }

    void prepare()
    {
        const HttpTarget store = m_store.listen();
        writeConfiguration();
        for (unsigned i = 0; i < kRunners; ++i) {
            m_runners.push_back(std::make_unique<PlatformRunner>(m_context, "i-" + std::to_string(i)));
            PlatformRunner &runner = *m_runners.back();
            runner.events = kEvents;
            runner.workTime = 5ms;
            runner.act = [this, i](const HttpRequest &request) {
                return chooseAct(i, request);
            };
            const HttpTarget address = proxy(runner.listen()).listen();
            m_store.set("servers", runner.id(), standins::runnerEntry("plain", address, 8));
        }
        for (unsigned i = 0; i < kGateways; ++i) {
            m_gateways.push_back({"127.0.0.1", freePort()});
            std::ofstream file(m_folder + "/gateway-" + std::to_string(i) + ".yaml");
            file << "host: entry-" << i << "\nzone: z\nlisten:\n  callers: \"" << text(m_gateways.back()) << "\"\n  readiness: \"127.0.0.1:" << freePort()
                 << "\"\nstore: \"" << text(proxy(store).listen()) << "\"\nbounds:\n  revoke_ms: " << kRevokeBound.count()
                 << "\n  retry_ratio: " << m_retryBound.ratio << "\n  retry_slack: " << m_retryBound.slack << "\n";
        }
        m_ready = Clock::now();
        std::ofstream(m_folder + "/ready") << std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()
                                           << '\n';
    }

    RunnerAct chooseAct(unsigned runner, const HttpRequest &request)
    {
        const auto gateway = static_cast<unsigned>(std::strtoul(std::string(request[kGatewayHeader]).c_str(), nullptr, 10));
        m_ledger.arrived(runner, gateway, std::string(request[std::string(wire_names::kAttemptId)]));
        if (!m_runners[runner]->retryAfter.empty()) {
            m_ledger.askedToBackOff(runner, gateway, kBackoff);
            return RunnerAct::Refuse;
        }
        static constexpr auto kActs = std::to_array<RunnerAct>({RunnerAct::Refuse,
                                                                RunnerAct::Fail,
                                                                RunnerAct::ResetUnanswered,
                                                                RunnerAct::Silent,
                                                                RunnerAct::StrayFirst,
                                                                RunnerAct::Unsealed,
                                                                RunnerAct::WithoutLength,
                                                                RunnerAct::Truncated,
                                                                RunnerAct::StrayLast,
                                                                RunnerAct::Garbage,
                                                                RunnerAct::CutStream});
        return pick(100) < 85 ? RunnerAct::Answer : kActs[pick(kActs.size())];
    }

    void writeConfiguration()
    {
        const auto route = [](const std::string &name, const std::string &kind, unsigned timeout) {
            return json::object{{"name", name},
                                {"host", "h"},
                                {"path_prefix", "/" + name + "/"},
                                {"kind", kind},
                                {"timeout_ms", timeout},
                                {"slo_ms", 100},
                                {"gap_target_ms", 120},
                                {"resumable", true},
                                {"service", "plain"},
                                {"max_attempts", 2}};
        };
        json::array keys;
        for (const std::string &key : m_keys) {
            keys.emplace_back(key);
        }
        const json::array routes{route("once", "non_idempotent", 900), route("again", "idempotent", 1500), route("stream", "streaming", 3000)};
        m_store.set("config",
                    "main",
                    json::object{{"version", ++m_version},
                                 {"routes", routes},
                                 {"services", json::array{json::object{{"name", "plain"}}}},
                                 {"tenants", json::array{json::object{{"name", "c"}, {"api_keys", keys}}}}});
    }

    /** Keys come and go; a taken one is remembered with the time of the store's acknowledgement. */
    asio::awaitable<void> operatorLoop()
    {
        for (unsigned i = 0; !over(); ++i) {
            co_await sleep(std::chrono::milliseconds(300 + pick(1500)));
            if (m_keys.size() > 2) {
                m_taken[*m_keys.begin()] = Clock::now();
                m_keys.erase(m_keys.begin());
            }
            m_keys.insert("key-" + std::to_string(100 + i));
            writeConfiguration();
        }
    }

    asio::awaitable<void> trouble()
    {
        while (!over()) {
            co_await sleep(std::chrono::milliseconds(100 + pick(500)));
            const unsigned index = pick(static_cast<unsigned>(m_proxies.size()));
            LoopbackProxy &harmed = *m_proxies[index];
            const unsigned kind = pick(9);
            if (index < kRunners) { // theirs come first
                m_ledger.wayChanged(index, kind < 5);
            }
            if (kind >= 5) {
                harmed.setMode(ProxyMode::Pass);
                if (kind == 5) {
                    harmed.reset();
                }
            } else {
                harmed.setMode(static_cast<ProxyMode>(kind), std::chrono::milliseconds(pick(250)));
            }
            if (pick(12) == 0) {
                m_store.faults.refusalStatus = pick(2) == 0 ? 503 : 0;
            }
        }
        for (const auto &proxy : m_proxies) {
            proxy->setMode(ProxyMode::Pass);
        }
        m_store.faults.refusalStatus = 0;
    }

    /** One runner after the other is in need for some seconds. */
    asio::awaitable<void> limits()
    {
        while (!over()) {
            co_await sleep(std::chrono::milliseconds(200 + pick(800)));
            const unsigned runner = pick(kRunners);
            const auto from = Clock::now();
            m_runners[runner]->limit = SoakLedger::kLimit;
            co_await sleep(std::chrono::milliseconds(8000 + pick(4000)));
            m_runners[runner]->limit.clear();
            m_ledger.limited(runner, from, Clock::now());
        }
    }

    /** One runner after the other turns requests away for some seconds and asks those who sent them to back off. */
    asio::awaitable<void> backoffs()
    {
        while (!over()) {
            co_await sleep(std::chrono::milliseconds(500 + pick(1500)));
            PlatformRunner &runner = *m_runners[pick(kRunners)];
            runner.retryAfter = kBackoffText;
            co_await sleep(std::chrono::milliseconds(1000 + pick(3000)));
            runner.retryAfter.clear();
        }
    }

    /** testing/soak.sh writes a line for each: the gateway, the milliseconds since the soak was ready, and whether it stands still from then on. */
    void readSignals()
    {
        std::ifstream file(m_folder + "/signals");
        unsigned gateway = 0;
        long long milliseconds = 0;
        bool stopped = false;
        while (file >> gateway >> milliseconds >> stopped) {
            m_ledger.gatewayChanged(gateway, m_ready + std::chrono::milliseconds(milliseconds), stopped);
        }
    }

    HttpRequest request(Kind kind, const std::string &id, const std::string &key, unsigned gateway) const
    {
        static constexpr auto kPaths = std::to_array<const char *>({"/once/x", "/again/x", "/stream/x"});
        HttpRequest message(http::verb::post, kPaths[static_cast<std::size_t>(kind)], 11);
        message.set(http::field::host, "h");
        message.set(std::string(wire_names::kAttemptId), id);
        message.set(std::string(wire_names::kDeadlineMs), "4000");
        message.set(http::field::authorization, std::string(wire_names::kAuthorizationScheme) + key);
        message.set(kGatewayHeader, std::to_string(gateway));
        message.body() = "text";
        message.prepare_payload();
        return message;
    }

    /** A caller that uses its connection until it ends, then the next gateway. */
    asio::awaitable<void> caller(unsigned number)
    {
        unsigned next = number;
        while (!over()) {
            boost::system::error_code error;
            boost::beast::tcp_stream stream(m_context);
            stream.expires_after(1s);
            const unsigned index = next++ % kGateways;
            const HttpTarget &gateway = m_gateways[index];
            co_await stream.async_connect({asio::ip::make_address(gateway.address), gateway.port}, asio::redirect_error(asio::use_awaitable, error));
            boost::beast::flat_buffer buffer;
            while (!error && !over()) {
                error = co_await exchange(stream, buffer, index);
                co_await sleep(std::chrono::milliseconds(pick(60)));
            }
            co_await sleep(20ms);
        }
    }

    asio::awaitable<boost::system::error_code> exchange(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, unsigned gateway)
    {
        const std::string id = "a" + std::to_string(++m_lastId);
        Attempt &attempt = m_attempts[id];
        attempt.kind = static_cast<Kind>(pick(3));
        const bool old = !m_taken.empty() && pick(4) == 0;
        attempt.key = old ? m_taken.rbegin()->first : *m_keys.begin();
        attempt.sent = Clock::now();
        m_ledger.requestSent();
        boost::system::error_code error;
        const HttpRequest message = request(attempt.kind, id, attempt.key, gateway);
        stream.expires_after(kPatience);
        co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
        http::response_parser<http::string_body> parser;
        if (!error) {
            co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        }
        if (parser.is_header_done()) {
            attempt.status = parser.get().result_int();
        }
        if (!error) {
            check(id, attempt, parser.get());
            error = parser.get().keep_alive() ? error : http::error::end_of_stream;
        }
        co_return error;
    }

    void broken(const std::string &what)
    {
        m_broken.push_back(what);
    }

    void check(const std::string &id, const Attempt &attempt, const HttpResponse &answer)
    {
        ++m_answers[answer.result_int()];
        if (answer[std::string(wire_names::kAttemptId)] != id) {
            broken(id + " got the answer of " + std::string(answer[std::string(wire_names::kAttemptId)]));
        }
        if (answer.result_int() != 200) {
            return;
        }
        const std::string seal(answer[std::string(wire_names::kServerSeal)]);
        std::string expected = "from " + seal;
        if (attempt.kind == Kind::Stream && answer[http::field::content_type] == "text/event-stream") {
            expected.clear();
            for (unsigned i = 0; i < kEvents; ++i) {
                expected += "id: " + std::to_string(i) + "\ndata: part " + std::to_string(i) + "\n\n";
            }
        }
        if (seal.empty() || answer.body() != expected) {
            broken(id + " got a success that is not the runner's whole answer: " + answer.body());
        }
    }

    int judge()
    {
        std::map<std::string, unsigned> runs;
        for (const auto &runner : m_runners) {
            for (const std::string &id : runner->attemptsRun) {
                ++runs[id];
            }
        }
        for (const auto &[id, attempt] : m_attempts) {
            const auto it = runs.find(id);
            const unsigned ran = it == runs.end() ? 0 : it->second;
            if (attempt.kind == Kind::Once && ran > 1) {
                broken(id + " ran " + std::to_string(ran) + " times");
            }
            if (ran > 2) {
                broken(id + " ran at more runners than its route allows");
            }
            const bool refused = attempt.status == 429 || attempt.status == 503 || attempt.status == 408 || attempt.status == 421;
            if (attempt.kind == Kind::Once && refused && ran > 0) {
                broken(id + " was refused as not run and ran");
            }
            const auto taken = m_taken.find(attempt.key);
            if (ran > 0 && taken != m_taken.end() && attempt.sent > taken->second + kRevokeBound) {
                broken(id + " ran with a key that had been taken");
            }
        }
        readSignals();
        std::ranges::copy(m_ledger.judge(), std::back_inserter(m_broken));
        std::cout << m_ledger.summary() << '\n';
        std::cout << "attempts " << m_attempts.size() << ", run " << runs.size();
        for (const auto &[status, count] : m_answers) {
            std::cout << ", " << status << ": " << count;
        }
        std::cout << '\n';
        if (m_answers[200] == 0) {
            broken("nothing was served");
        }
        for (const std::string &what : m_broken) {
            std::cout << "BROKEN: " << what << '\n';
        }
        return m_broken.empty() ? 0 : 1;
    }

    std::mt19937_64 m_random;
    const std::chrono::seconds m_length;
    const std::string m_folder;
    asio::io_context m_context{1};
    PlatformStore m_store;
    std::vector<std::unique_ptr<PlatformRunner>> m_runners;
    std::vector<std::unique_ptr<LoopbackProxy>> m_proxies;
    std::vector<HttpTarget> m_gateways;
    std::set<std::string> m_keys = {"key-000", "key-001"};
    std::map<std::string, Clock::time_point> m_taken; ///< by key
    std::map<std::string, Attempt> m_attempts; ///< by id
    std::map<unsigned, unsigned> m_answers; ///< by status
    const RetryBound m_retryBound;
    SoakLedger m_ledger;
    Clock::time_point m_ready{}; ///< when testing/soak.sh may start the gateways
    std::vector<std::string> m_broken;
    std::uint64_t m_version = 0;
    std::uint64_t m_lastId = 0;
    const Clock::time_point m_began = Clock::now();
};

} // namespace

} // namespace fulmarlink::testing

int main(int argc, const char **argv)
{
    using namespace fulmarlink;
    CommandLine line("soak", "Plays the world of a fault soak; testing/soak.sh plays the gateways.", "FOLDER");
    long long seed = 1;
    long long seconds = 20;
    line.addNumber("seed", &seed, "of all chance");
    line.addNumber("seconds", &seconds, "how long callers ask");
    ExitCode code = ExitCode::Ok;
    if (!line.parse(argc, argv, code)) {
        return static_cast<int>(code);
    }
    if (line.operands().size() != 1) {
        return static_cast<int>(line.fail("exactly one folder is needed"));
    }
    testing::SoakWorld world(static_cast<std::uint64_t>(seed), std::chrono::seconds(seconds), line.operands().front());
    return world.run();
}
