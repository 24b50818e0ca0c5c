#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fulmarlink/counters.h"
#include "fulmarlink/gateway.h"
#include "fulmarlink/hostclock.h"
#include "standins/platformfleet.h"
#include "testing/harness/caller.h"
#include "testing/harness/loopbackproxy.h"

namespace fulmarlink::testing
{

struct GatewayFleetOptions {
    unsigned gateways = 5;
    unsigned runners = 6;
    bool sameId = true; ///< a restarted runner keeps its id
    bool group = false; ///< the runners are the ranks of one group
    std::chrono::milliseconds restartDelay{350}; ///< from a runner's crash to its restart
    std::chrono::milliseconds entryExpiry{700}; ///< from a runner's crash to the removal of its entry, if it restarts with a new id
    std::chrono::milliseconds holdTime{300'000}; ///< CrashPolicy::holdTime of the gateways
    bool silentCrash = false; ///< when a runner crashes, only the connection of the request that crashed it is closed
    bool streamsHaveLength = true; ///< of the runners
    unsigned maxConnections = 1000; ///< configured limit of a runner's connections from all hosts together
    double retryRatio = 10'000; ///< of the gateways; by default the retry budget keeps no request from the runners
    double retrySlack = 10'000; ///< of the gateways
    std::chrono::milliseconds workTime{3}; ///< time that a runner takes before an answer and between events
};

/** A request that reached a runner, whether it ran or not. */
struct FleetArrival {
    unsigned gateway = 0;
    std::chrono::steady_clock::time_point at;
    std::chrono::steady_clock::time_point backoffUntil; ///< end of the backoff named in the runner's refusal; the epoch if it did not ask for one
};

/**
 * Several gateways in front of one pool, whose runners may report a rate limit in their answers, or
 * crash when they start certain requests and restart later. The store and the runners are fakes; each
 * gateway reaches the store through its own proxy. Not thread-safe.
 *
 * A request whose path contains "crash" crashes each runner that starts it. With "reset" in the path the connection of its
 * first attempt is reset, and with "cut" its first stream is cut off. What reaches the runners is counted here, independently
 * of the gateways' own counters.
 */
class GatewayFleet
{
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit GatewayFleet(GatewayFleetOptions options);
    ~GatewayFleet();

    /** Starts all gateways. Returns false if they are not ready in time. */
    bool start();
    void startGateway(unsigned index);
    /** Stops a gateway without any notice to callers, runners or the store, as a power failure of its host does. */
    void killGateway(unsigned index);

    bool ready(unsigned gateway) const;

    HttpRequest request(const std::string &path, const std::string &body = "text", const std::string &key = "key");
    /** Sends a request without waiting; @p done is set at the end of the answer. */
    std::shared_ptr<Answer> send(unsigned gateway, HttpRequest message, std::shared_ptr<bool> done = std::make_shared<bool>(false));
    /** Sends a request and waits for the end of the answer. */
    Answer ask(unsigned gateway, HttpRequest message);
    void runFor(std::chrono::milliseconds time);
    template<typename Condition>
    bool runUntil(Condition condition, std::chrono::milliseconds limit)
    {
        const Time end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            poll();
        }
        return condition();
    }
    /** Runs until at least @p runners runners are up. Returns false on timeout. */
    bool runUntilRunning(unsigned runners);
    /** Crashes a runner for a reason unrelated to any request. */
    void crashRunner(unsigned index);

    standins::PlatformRunner &runner(unsigned index);
    /** Makes the runner refuse @p share of its requests from now on, with a Retry-After of @p retryAfter seconds; "": without one. */
    void setRefusals(unsigned index, double share, const std::string &retryAfter);
    /** Requests that reached a runner, in order of arrival. */
    const std::vector<FleetArrival> &requestsAt(unsigned runner) const;
    /** Times at which requests reached a runner, whether they ran or not, in order. */
    const std::vector<Time> &arrivalTimesAt(unsigned runner) const;

    bool isRunning(unsigned runner) const;
    unsigned runningRunners() const;
    /** Number of runner crashes caused by requests to @p path. */
    std::size_t crashCount(const std::string &path) const;
    /** Number of requests to @p path that reached a runner after @p after, whether they ran or not. */
    std::size_t arrivalCount(const std::string &path, Time after = {}) const;
    /** As crashCount() and arrivalCount(), for requests whose prompts contain the crashing segment. */
    std::size_t segmentCrashCount(const std::string &segment) const;
    std::size_t segmentArrivalCount(const std::string &segment, Time after = {}) const;
    /** Time of the @p number-th crash, from 1, caused by the segment. */
    Time segmentCrashTime(const std::string &segment, std::size_t number) const;
    /** Time of the @p number-th crash, from 1, caused by @p path. */
    Time crashTime(const std::string &path, std::size_t number) const;
    /** True if a runner started the attempt. */
    bool attemptRan(const std::string &attemptId) const;
    /** Sum of the counter over all gateways. */
    std::uint64_t counterSum(const std::string &counter) const;

    boost::asio::io_context context{1};
    std::set<std::string> crashingSegments; ///< ids of prompt segments: a request with one of them before its last crashes each runner that starts it
    standins::PlatformStore store;
    std::vector<std::unique_ptr<LoopbackProxy>> storeProxies; ///< by gateway

private:
    struct Host {
        GatewaySettings settings;
        std::unique_ptr<Counters> counters;
        std::unique_ptr<boost::asio::io_context> context; ///< separate, so that the gateway can be killed
        std::unique_ptr<Gateway> gateway;
    };

    std::string crashCauseOf(const HttpRequest &request) const;
    void listRunner(unsigned runner);
    void scheduleRestart(unsigned runner);
    boost::asio::awaitable<void> restartRunner(unsigned runner);
    standins::RunnerAct chooseAct(unsigned runner, const HttpRequest &request);
    bool recordArrival(unsigned runner, const HttpRequest &request);
    void poll();

    const GatewayFleetOptions m_options;
    const HostClock m_clock;
    std::vector<std::unique_ptr<standins::PlatformRunner>> m_runners;
    std::vector<HttpTarget> m_addresses;
    std::vector<bool> m_up;
    std::vector<std::string> m_crashCause; ///< by runner: the path of the request that crashes it, or the segment of its prompt
    std::vector<Host> m_hosts;
    std::map<std::string, std::vector<Time>> m_arrivals; ///< by path, and by crashing segment
    std::vector<std::vector<Time>> m_arrivalsAt; ///< by runner
    std::vector<std::vector<FleetArrival>> m_requestsAt; ///< by runner
    std::vector<double> m_refusedShare; ///< by runner
    std::mt19937 m_random{1};
    std::map<std::string, std::vector<Time>> m_crashes; ///< by path, or by segment
    std::set<std::string> m_seenAttempts; ///< ids of attempts that have reached a runner
    std::uint64_t m_firstStartTime = 1'790'000'000'000;
    unsigned m_incarnations = 0;
    unsigned m_attempts = 0;
};

} // namespace fulmarlink::testing
