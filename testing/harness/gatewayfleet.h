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
    bool sameId = true; ///< a runner that starts again has the id that it had
    bool group = false; ///< the runners are the ranks of one group
    std::chrono::milliseconds restartDelay{350}; ///< from a runner's end to its next start
    std::chrono::milliseconds entryExpiry{700}; ///< from a runner's end until its entry goes, if it has not started again
    std::chrono::milliseconds holdTime{300'000}; ///< as in the gateways' settings
    bool silentCrash = false; ///< of a runner that ends, callers hear on the connection of the request that ended it alone
    unsigned maxConnections = 1000; ///< that a runner takes from all hosts together, as the configuration says
    std::chrono::milliseconds workTime{3}; ///< of a runner before an answer, and between events
};

/** A request that reached a runner, run or not. */
struct FleetArrival {
    unsigned gateway = 0;
    std::chrono::steady_clock::time_point at;
    std::chrono::steady_clock::time_point backoffUntil; ///< the runner turned it away and wants nothing from that gateway until then; the epoch: it did not
};

/**
 * Several gateways before one pool, whose runners may name a limit in their answers, or end
 * when they begin certain requests and start again after a while. The store and the runners
 * are stand-ins; each gateway reaches the store through a proxy of its own. For one thread.
 *
 * A request whose path contains "crash" ends each runner that begins it; "reset" has the connection of its first try reset, and "cut" its first
 * stream cut off. What the runners saw is counted here, apart from what the gateways say of themselves.
 */
class GatewayFleet
{
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit GatewayFleet(GatewayFleetOptions options);
    ~GatewayFleet();

    /** False if the gateways are not ready in time. */
    bool start();
    void startGateway(unsigned index);
    /** As if its host had lost power: nothing is said to anybody. */
    void killGateway(unsigned index);

    bool ready(unsigned gateway) const;

    HttpRequest request(const std::string &path, const std::string &body = "text", const std::string &key = "key");
    /** Sends without waiting. */
    std::shared_ptr<Answer> send(unsigned gateway, HttpRequest message, std::shared_ptr<bool> done = std::make_shared<bool>(false));
    /** Sends and waits for the end of the answer. */
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
    /** Until so many runners take requests. */
    bool runUntilRunning(unsigned runners);
    /** Ends a runner for a cause of its own. */
    void crashRunner(unsigned index);

    standins::PlatformRunner &runner(unsigned index);
    /** From now on the runner turns away @p share of its requests, and names @p retryAfter seconds; "": it names none. */
    void setRefusals(unsigned index, double share, const std::string &retryAfter);
    /** Requests that reached a runner, the earliest first. */
    const std::vector<FleetArrival> &requestsAt(unsigned runner) const;
    /** When requests reached a runner, run or not, the earliest first. */
    const std::vector<Time> &arrivalTimesAt(unsigned runner) const;

    unsigned runningRunners() const;
    /** Runners that requests of @p path have ended. */
    std::size_t crashCount(const std::string &path) const;
    /** Times at which requests of @p path reached a runner, run or not, later than @p after. */
    std::size_t arrivalCount(const std::string &path, Time after = {}) const;
    /** When the @p number-th runner, from 1, ended under @p path. */
    Time crashTime(const std::string &path, std::size_t number) const;
    /** Whether a runner began the attempt. */
    bool attemptRan(const std::string &attemptId) const;
    std::uint64_t counterSum(const std::string &counter) const;

    boost::asio::io_context context{1};
    standins::PlatformStore store;
    std::vector<std::unique_ptr<LoopbackProxy>> storeProxies; ///< by gateway

private:
    struct Host {
        GatewaySettings settings;
        std::unique_ptr<Counters> counters;
        std::unique_ptr<boost::asio::io_context> context; ///< of its own, so that it can be killed
        std::unique_ptr<Gateway> gateway;
    };

    void list(unsigned runner);
    void ended(unsigned runner);
    boost::asio::awaitable<void> comeBack(unsigned runner);
    standins::RunnerAct choose(unsigned runner, const HttpRequest &request);
    bool refuses(unsigned runner, const HttpRequest &request);
    void poll();

    const GatewayFleetOptions m_options;
    const HostClock m_clock;
    std::vector<std::unique_ptr<standins::PlatformRunner>> m_runners;
    std::vector<HttpTarget> m_addresses;
    std::vector<bool> m_up;
    std::vector<std::string> m_killer; ///< by runner: the path that it began last and that ends it
    std::vector<Host> m_hosts;
    std::map<std::string, std::vector<Time>> m_arrivals; ///< by path
    std::vector<std::vector<Time>> m_arrivalsAt; ///< by runner
    std::vector<std::vector<FleetArrival>> m_requestsAt; ///< by runner
    std::vector<double> m_refusedShare; ///< by runner
    std::mt19937 m_random{1};
    std::map<std::string, std::vector<Time>> m_crashes; ///< by path
    std::set<std::string> m_reset; ///< attempts that a runner has seen
    std::uint64_t m_born = 1'790'000'000'000;
    unsigned m_lives = 0;
    unsigned m_attempts = 0;
};

} // namespace fulmarlink::testing
