#include "testing/harness/gatewayfleet.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <cstdlib>

#include "fulmarlink/log.h"
#include "platform/platformclient.h"
#include "platform/platformprotocol.h"
#include "testing/harness/freeport.h"

namespace fulmarlink::testing
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;
using standins::PlatformRunner;
using standins::RunnerAct;

namespace
{

constexpr unsigned kSlots = 8;
constexpr auto kReadyLimit = 6s;
constexpr auto kAnswerLimit = 8s;
constexpr const char *kGatewayHeader = "X-Gateway"; ///< request header: the gateway that the request is sent to

/** Key of a segment where paths are keys as well. */
std::string segmentKey(const std::string &segment)
{
    return "segment " + segment;
}

json::value configuration(const GatewayFleetOptions &options)
{
    json::value result = json::parse(R"({"version":3,
"routes":[
 {"name":"once","host":"h.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":2000,"slo_ms":200,"priority":1,"service":"plain","max_attempts":3},
 {"name":"again","host":"h.example","path_prefix":"/again/","kind":"idempotent","timeout_ms":2000,"slo_ms":200,"priority":1,"service":"plain","max_attempts":3},
 {"name":"stream","host":"h.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":4000,"slo_ms":500,"gap_target_ms":120,"resumable":true,"priority":1,"service":"plain","max_attempts":3}],
"services":[{"name":"plain","max_conns":1000}],
"tenants":[{"name":"customer","api_keys":["key"]},{"name":"other","api_keys":["other-key"]}]})");
    result.at("services").at(0).as_object()["max_conns"] = options.maxConnections;
    if (options.group) {
        result.at("services").at(0).as_object()["engine"] = json::object{{"slots", kSlots}, {"sets", 1}, {"experts", 4}, {"placements", 2}};
    }
    return result;
}

} // namespace

GatewayFleet::GatewayFleet(GatewayFleetOptions options)
    : store(context)
    , m_options(options)
    , m_up(options.runners, true)
    , m_crashCause(options.runners)
    , m_hosts(options.gateways)
    , m_arrivalsAt(options.runners)
    , m_requestsAt(options.runners)
    , m_refusedShare(options.runners, 0)
{
    startLogging(std::getenv("FULMARLINK_TEST_LOG") != nullptr ? "info" : "off"); // NOLINT(concurrency-mt-unsafe): before any thread
    const HttpTarget address = store.listen();
    store.set("config", "main", configuration(options));
    for (unsigned i = 0; i < options.runners; ++i) {
        m_runners.push_back(std::make_unique<PlatformRunner>(context, "i-" + std::to_string(i)));
        PlatformRunner &runner = *m_runners.back();
        runner.workTime = options.workTime;
        runner.silentCrash = options.silentCrash;
        runner.streamsHaveLength = options.streamsHaveLength;
        runner.act = [this, i](const HttpRequest &request) {
            return chooseAct(i, request);
        };
        runner.onCrash = [this, i] {
            m_crashes[m_crashCause[i]].push_back(std::chrono::steady_clock::now());
            scheduleRestart(i);
        };
        if (options.group) {
            runner.report["group"] = json::object{{"name", "g"}, {"epoch", 1}, {"rank", i}, {"size", options.runners}, {"state", "open"}};
        }
        m_addresses.push_back(runner.listen(freePort()));
        listRunner(i);
    }
    for (unsigned i = 0; i < options.gateways; ++i) {
        storeProxies.push_back(std::make_unique<LoopbackProxy>(context, address));
        GatewaySettings &settings = m_hosts[i].settings;
        settings.host = "entry-" + std::to_string(i);
        settings.zone = "z";
        settings.callers = {"127.0.0.1", freePort()};
        settings.readiness = {"127.0.0.1", freePort()};
        settings.store = storeProxies.back()->listen();
        settings.leavingBound = 500ms;
        settings.retryRatio = options.retryRatio;
        settings.retrySlack = options.retrySlack;
        settings.crashes.holdTime = options.holdTime;
    }
}

GatewayFleet::~GatewayFleet() = default;

void GatewayFleet::listRunner(unsigned runner)
{
    json::object entry = standins::runnerEntry("plain", m_addresses[runner], kSlots);
    entry["born"] = m_firstStartTime + ++m_incarnations;
    store.set("servers", m_runners[runner]->id(), entry);
}

void GatewayFleet::setRefusals(unsigned index, double share, const std::string &retryAfter)
{
    m_refusedShare[index] = share;
    m_runners[index]->retryAfter = retryAfter;
}

/** Records the arrival. Returns true if the runner refuses the request. */
bool GatewayFleet::recordArrival(unsigned runner, const HttpRequest &request)
{
    const std::string gateway(request[kGatewayHeader]);
    if (gateway.empty()) {
        return false; // an order or a read of counts
    }
    const Time now = std::chrono::steady_clock::now();
    FleetArrival arrival{static_cast<unsigned>(std::stoul(gateway)), now, {}};
    const bool refused = std::bernoulli_distribution(m_refusedShare[runner])(m_random);
    const double seconds = std::strtod(m_runners[runner]->retryAfter.c_str(), nullptr);
    if (refused && seconds > 0) {
        arrival.backoffUntil = now + std::chrono::duration_cast<Time::duration>(std::chrono::duration<double>(seconds));
    }
    m_requestsAt[runner].push_back(arrival);
    return refused;
}

/** The crashing segment of the request's prompt, or else its path if that crashes runners; empty if neither does. */
std::string GatewayFleet::crashCauseOf(const HttpRequest &request) const
{
    const std::string prompt(request["Prompt-Prefix"]);
    for (const std::string &segment : crashingSegments) {
        if (prompt.find(segment + ':') < prompt.rfind(',')) {
            return segmentKey(segment);
        }
    }
    const std::string path(request.target());
    return path.find("crash") == std::string::npos ? std::string() : path;
}

RunnerAct GatewayFleet::chooseAct(unsigned runner, const HttpRequest &request)
{
    const std::string path(request.target());
    m_arrivals[path].push_back(std::chrono::steady_clock::now());
    if (const std::string cause = crashCauseOf(request); !cause.empty() && cause != path) {
        m_arrivals[cause].push_back(std::chrono::steady_clock::now());
    }
    if (!request["Attempt-Id"].empty()) { // orders and reads of counts are not requests
        m_arrivalsAt[runner].push_back(std::chrono::steady_clock::now());
    }
    if (recordArrival(runner, request)) {
        return RunnerAct::Refuse;
    }
    const bool firstTry = m_seenAttempts.insert(std::string(request["Attempt-Id"])).second;
    if (path.find("reset") != std::string::npos && firstTry) {
        return RunnerAct::ResetUnanswered;
    }
    if (path.find("cut") != std::string::npos && firstTry) {
        return RunnerAct::CutStream;
    }
    const std::string cause = crashCauseOf(request);
    if (cause.empty()) {
        return RunnerAct::Answer;
    }
    m_crashCause[runner] = cause;
    return RunnerAct::Crash;
}

void GatewayFleet::crashRunner(unsigned index)
{
    m_runners[index]->end();
    scheduleRestart(index);
}

void GatewayFleet::scheduleRestart(unsigned runner)
{
    m_up[runner] = false;
    asio::co_spawn(context, restartRunner(runner), asio::detached);
}

asio::awaitable<void> GatewayFleet::restartRunner(unsigned runner)
{
    boost::system::error_code ignored; // the timers are not cancelled
    const std::string previousId = m_runners[runner]->id();
    asio::steady_timer timer(context, m_options.restartDelay);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (!m_options.sameId) {
        m_runners[runner]->setId(previousId + "x");
    }
    m_addresses[runner] = m_runners[runner]->listen(freePort());
    m_up[runner] = true;
    listRunner(runner);
    if (!m_options.sameId) {
        timer.expires_after(std::max(m_options.entryExpiry - m_options.restartDelay, 0ms));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        store.remove("servers", previousId);
    }
}

bool GatewayFleet::start()
{
    for (unsigned i = 0; i < m_options.gateways; ++i) {
        startGateway(i);
    }
    return runUntil(
        [this] {
            return std::ranges::all_of(m_hosts, [](const Host &host) {
                return host.gateway->ready();
            });
        },
        kReadyLimit);
}

void GatewayFleet::startGateway(unsigned index)
{
    Host &host = m_hosts[index];
    host.counters = std::make_unique<Counters>();
    host.context = std::make_unique<asio::io_context>(1);
    PlatformClientOptions options;
    options.store = host.settings.store;
    GatewayAdapters adapters;
    adapters.protocol = std::make_unique<PlatformProtocol>();
    adapters.platform = std::make_unique<PlatformClient>(host.context->get_executor(), m_clock, *host.counters, options);
    host.gateway = std::make_unique<Gateway>(*host.context, host.settings, *host.counters, std::move(adapters));
    host.gateway->start();
}

bool GatewayFleet::ready(unsigned gateway) const
{
    return m_hosts[gateway].gateway && m_hosts[gateway].gateway->ready();
}

void GatewayFleet::killGateway(unsigned index)
{
    Host &host = m_hosts[index];
    host.gateway.reset();
    host.context.reset();
}

HttpRequest GatewayFleet::request(const std::string &path, const std::string &body, const std::string &key)
{
    HttpRequest result(http::verb::post, path, 11);
    result.set(http::field::host, "h.example");
    result.set("Attempt-Id", "attempt-" + std::to_string(++m_attempts));
    result.set("Deadline-Ms", "5000");
    result.set(http::field::authorization, "Token " + key);
    result.body() = body;
    result.prepare_payload();
    return result;
}

std::shared_ptr<Answer> GatewayFleet::send(unsigned gateway, HttpRequest message, std::shared_ptr<bool> done)
{
    auto answer = std::make_shared<Answer>();
    message.set(kGatewayHeader, std::to_string(gateway));
    asio::co_spawn(context, callOnce(context, m_hosts[gateway].settings.callers, std::move(message), answer, std::move(done)), asio::detached);
    return answer;
}

Answer GatewayFleet::ask(unsigned gateway, HttpRequest message)
{
    const auto done = std::make_shared<bool>(false);
    const auto answer = send(gateway, std::move(message), done);
    runUntil(
        [&done] {
            return *done;
        },
        kAnswerLimit);
    return *answer;
}

/** Polls every event loop once. */
void GatewayFleet::poll()
{
    context.run_for(1ms);
    for (const Host &host : m_hosts) {
        if (host.context) {
            host.context->poll();
        }
    }
}

void GatewayFleet::runFor(std::chrono::milliseconds time)
{
    runUntil(
        [] {
            return false;
        },
        time);
}

bool GatewayFleet::runUntilRunning(unsigned runners)
{
    return runUntil(
        [this, runners] {
            return runningRunners() >= runners;
        },
        kReadyLimit);
}

PlatformRunner &GatewayFleet::runner(unsigned index)
{
    return *m_runners[index];
}

const std::vector<FleetArrival> &GatewayFleet::requestsAt(unsigned runner) const
{
    return m_requestsAt[runner];
}

const std::vector<GatewayFleet::Time> &GatewayFleet::arrivalTimesAt(unsigned runner) const
{
    return m_arrivalsAt[runner];
}

bool GatewayFleet::isRunning(unsigned runner) const
{
    return m_up[runner];
}

unsigned GatewayFleet::runningRunners() const
{
    return static_cast<unsigned>(std::ranges::count(m_up, true));
}

std::size_t GatewayFleet::crashCount(const std::string &path) const
{
    const auto it = m_crashes.find(path);
    return it == m_crashes.end() ? 0 : it->second.size();
}

std::size_t GatewayFleet::arrivalCount(const std::string &path, Time after) const
{
    const auto it = m_arrivals.find(path);
    if (it == m_arrivals.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(it->second, [after](Time time) {
        return time > after;
    }));
}

GatewayFleet::Time GatewayFleet::crashTime(const std::string &path, std::size_t number) const
{
    return m_crashes.at(path).at(number - 1);
}

std::size_t GatewayFleet::segmentCrashCount(const std::string &segment) const
{
    return crashCount(segmentKey(segment));
}

std::size_t GatewayFleet::segmentArrivalCount(const std::string &segment, Time after) const
{
    return arrivalCount(segmentKey(segment), after);
}

GatewayFleet::Time GatewayFleet::segmentCrashTime(const std::string &segment, std::size_t number) const
{
    return crashTime(segmentKey(segment), number);
}

bool GatewayFleet::attemptRan(const std::string &attemptId) const
{
    return std::ranges::any_of(m_runners, [&](const auto &runner) {
        return std::ranges::find(runner->attemptsRun, attemptId) != runner->attemptsRun.end();
    });
}

std::uint64_t GatewayFleet::counterSum(const std::string &counter) const
{
    std::uint64_t sum = 0;
    for (const Host &host : m_hosts) {
        const std::string text = host.counters ? '\n' + host.counters->text() : "";
        const std::size_t at = text.find('\n' + counter + ' ');
        sum += at == std::string::npos ? 0 : std::stoull(text.substr(at + counter.size() + 2));
    }
    return sum;
}

} // namespace fulmarlink::testing
