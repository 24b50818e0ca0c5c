// Measures the slopes of docs/CAPACITY.md and prints the page's tables from them.
// make capacity runs it; it takes about a minute. Figures are medians of kRuns.

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <ctime>
#include <functional>
#include <future>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <map>
#include <numeric>
#include <thread>

#include "fulmarlink/agentcore.h"
#include "fulmarlink/documentspread.h"
#include "fulmarlink/entrycore.h"
#include "fulmarlink/frame.h"
#include "fulmarlink/keyledger.h"
#include "fulmarlink/loadforecast.h"
#include "fulmarlink/log.h"
#include "fulmarlink/mapplanner.h"
#include "fulmarlink/mapswitchcoordinator.h"
#include "fulmarlink/retrybudget.h"
#include "fulmarlink/ruleset.h"
#include "fulmarlink/runnerdirectory.h"
#include "standins/fleet.h"
#include "standins/load.h"

namespace
{

using namespace fulmarlink;
using namespace std::chrono_literals;

constexpr unsigned kRuns = 5;
constexpr unsigned kAgents = 10; ///< in the measurement of whole processes

// The sizes that the page works out.
struct Size {
    const char *name;
    double entries;
    double runners;
    double requests; ///< a second
    double tokens; ///< a second
    double keyed; ///< share of requests with an idempotency key that may run once only
    double customers;
    double changes; ///< of configuration a day
    double groups; ///< rank groups
    double ranks; ///< of a group
};
constexpr Size kToday = {"Lisbon or Swansea", 3, 19, 40, 8000, 0.1, 10, 10, 1, 16};
constexpr Size kFull = {"full", 370, 600, 3500, 1.6e6, 0.1, 3600, 2000, 75, 64};

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

/** Median time of one of @p count calls, in ns. */
double nsEach(std::size_t count, const std::function<void()> &work)
{
    std::vector<double> times;
    for (unsigned run = 0; run < kRuns; ++run) {
        const auto begin = std::chrono::steady_clock::now();
        work();
        times.push_back(std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count() / static_cast<double>(count));
    }
    return median(times);
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

std::size_t residentBytes()
{
    std::FILE *file = std::fopen("/proc/self/statm", "r");
    unsigned long total = 0;
    unsigned long resident = 0;
    const int read = file == nullptr ? 0 : std::fscanf(file, "%lu %lu", &total, &resident);
    if (file != nullptr) {
        std::fclose(file);
    }
    return read == 2 ? resident * 4096 : 0;
}

std::map<std::string, double> slopes;

void slope(const char *id, const char *what, double value, const char *unit)
{
    slopes[id] = value;
    std::cout << "| " << id << " | " << what << " | " << std::fixed << std::setprecision(value < 10 ? 2 : 0) << value << " " << unit
              << " | `make capacity` |\n";
}

/** CPU seconds that the one thread of @p context has used. */
double threadCpu(boost::asio::io_context &context)
{
    std::promise<double> promise;
    boost::asio::post(context, [&promise] {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        promise.set_value(static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9);
    });
    return promise.get_future().get();
}

/** Whole processes on real sockets, entry and agents each on a thread of its own. */
class PathMeasurement
{
public:
    PathMeasurement()
        : m_work{boost::asio::make_work_guard(m_rest), boost::asio::make_work_guard(m_entry), boost::asio::make_work_guard(m_agents)}
        , m_fleet(m_rest, options())
    {
        m_fleet.start();
        for (unsigned i = 0; i < 4; ++i) {
            m_threads.emplace_back([this] {
                m_rest.run();
            });
        }
        m_threads.emplace_back([this] {
            m_entry.run();
        });
        m_threads.emplace_back([this] {
            m_agents.run();
        });
        m_fleet.waitReady(20s);
    }

    ~PathMeasurement()
    {
        m_fleet.stop();
        for (boost::asio::io_context *context : {&m_rest, &m_entry, &m_agents}) {
            context->stop();
        }
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    PathMeasurement(const PathMeasurement &) = delete;
    PathMeasurement &operator=(const PathMeasurement &) = delete;

    struct Cost {
        double entrySeconds = 0;
        double agentSeconds = 0;
        double wallSeconds = 0;
        double p50 = 0;
        double p99 = 0;
    };

    /** What the processes use while nothing is asked of them. */
    Cost idle(std::chrono::seconds time)
    {
        Cost cost;
        const double entryBefore = threadCpu(m_entry);
        const double agentBefore = threadCpu(m_agents);
        std::this_thread::sleep_for(time);
        cost.entrySeconds = (threadCpu(m_entry) - entryBefore) / static_cast<double>(time.count());
        cost.agentSeconds = (threadCpu(m_agents) - agentBefore) / static_cast<double>(time.count());
        return cost;
    }

    Cost run(unsigned requests, double serviceShare, double singleRunShare, unsigned tokens, bool direct, unsigned parallel)
    {
        standins::LoadOptions load;
        load.requests = requests;
        load.serviceShare = serviceShare;
        load.singleRunShare = singleRunShare;
        load.tokens = tokens;
        load.parallel = parallel;
        load.seed = m_seed++;
        Cost cost;
        const double entryBefore = threadCpu(m_entry);
        const double agentBefore = threadCpu(m_agents);
        const auto begin = std::chrono::steady_clock::now();
        const auto ports = direct ? std::vector<std::uint16_t>{m_fleet.enginePort(m_fleet.engines().size() - 1)} : m_fleet.callerPorts();
        standins::Load callers(m_rest, load, ports);
        callers.start();
        while (!callers.finished()) {
            std::this_thread::sleep_for(1ms);
        }
        cost.wallSeconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
        cost.entrySeconds = threadCpu(m_entry) - entryBefore;
        cost.agentSeconds = threadCpu(m_agents) - agentBefore;
        const standins::LoadReport report = callers.report({});
        cost.p50 = report.percentile(0.5);
        cost.p99 = report.percentile(0.99);
        return cost;
    }

private:
    standins::FleetOptions options()
    {
        standins::FleetOptions result;
        result.entries = 1;
        result.modelRunners = 8;
        result.serviceRunners = kAgents - result.modelRunners;
        result.engineStep = 500us;
        result.entryContext = &m_entry;
        result.agentContext = &m_agents;
        return result;
    }

    boost::asio::io_context m_rest;
    boost::asio::io_context m_entry;
    boost::asio::io_context m_agents;
    std::vector<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> m_work;
    standins::Fleet m_fleet;
    std::vector<std::thread> m_threads;
    std::uint64_t m_seed = 1;
};

void measurePath()
{
    PathMeasurement path;
    path.run(200, 1, 0, 0, false, 16); // warm up
    std::vector<double> request;
    std::vector<double> agentRequest;
    std::vector<double> chunk;
    std::vector<double> agentChunk;
    std::vector<double> idle;
    std::vector<double> agentIdle;
    std::vector<double> addedP50;
    std::vector<double> addedP99;
    for (unsigned i = 0; i < kRuns; ++i) {
        constexpr unsigned kRequests = 1000;
        constexpr unsigned kTokens = 200;
        constexpr unsigned kStreams = 60;
        const auto plain = path.run(kRequests, 1, 0, 0, false, 16);
        request.push_back(plain.entrySeconds * 1e6 / kRequests);
        agentRequest.push_back(plain.agentSeconds * 1e6 / kRequests);
        const auto streams = path.run(kStreams, 0, 0, kTokens, false, 30);
        chunk.push_back((streams.entrySeconds * 1e6 - kStreams * request.back()) / (kStreams * kTokens));
        agentChunk.push_back((streams.agentSeconds * 1e6 - kStreams * agentRequest.back()) / (kStreams * kTokens));
        const auto behind = path.run(400, 1, 0, 0, false, 4);
        const auto direct = path.run(400, 1, 0, 0, true, 4);
        addedP50.push_back(behind.p50 - direct.p50);
        addedP99.push_back(behind.p99 - direct.p99);
        const auto idleCost = path.idle(1s);
        idle.push_back(idleCost.entrySeconds * 100);
        agentIdle.push_back(idleCost.agentSeconds * 100 / kAgents);
    }
    slope("S1", "entry, processor time of a whole request", median(request), "us");
    slope("S2", "entry, of one relayed chunk", median(chunk), "us");
    slope("S3", "agent, of a whole request", median(agentRequest), "us");
    slope("S4", "agent, of one relayed chunk", median(agentChunk), "us");
    slope("S20", "entry, idle: ticks, polls and watches", median(idle), "% of a core");
    slope("S21", "agent, idle", median(agentIdle), "% of a core");
    std::cout << "\nOne entry core: " << std::setprecision(0) << 1e6 / median(request) << " requests/s or " << 1e6 / median(chunk)
              << " relayed chunks/s. Added by entry and agent: p50 " << std::setprecision(2) << median(addedP50) << " ms, p99 " << median(addedP99)
              << " ms (against the engine stand-in directly, same run).\n\n";
}

std::string customerRules(unsigned count)
{
    std::string text = "rules:\n";
    for (unsigned i = 0; i < count; ++i) {
        text += "  - {name: r" + std::to_string(i) + ", when: {customer: c" + std::to_string(i) + "}, then: {route: pool}}\n";
    }
    return text + "  - {name: rest, when: {}, then: {route: pool}}\n";
}

void measureRules()
{
    std::cout << "rule match, ns: rules, compiled, linear oracle\n";
    for (const unsigned count : {10U, 100U, 1000U, 10000U}) {
        FileErrors errors;
        const std::size_t before = heapBytes();
        const auto rules = RuleSet::parse(customerRules(count), "rules", errors);
        const std::size_t bytes = heapBytes() - before;
        std::vector<RequestInfo> requests(256);
        for (unsigned i = 0; i < requests.size(); ++i) {
            requests[i].customer = "c" + std::to_string((i * 7919) % count);
        }
        volatile int sink = 0;
        const double compiled = nsEach(requests.size() * 20, [&] {
            for (unsigned round = 0; round < 20; ++round) {
                for (const RequestInfo &request : requests) {
                    sink = rules->match(request);
                }
            }
        });
        const double linear = nsEach(requests.size(), [&] {
            for (const RequestInfo &request : requests) {
                sink = rules->matchLinear(request);
            }
        });
        std::cout << "  " << std::setw(6) << count << std::setprecision(0) << std::setw(8) << compiled << std::setw(10) << linear << "  ("
                  << std::setprecision(1) << linear / compiled << "x, " << std::setprecision(0) << static_cast<double>(bytes) / count << " bytes a rule)\n";
        if (count == 10000) {
            slopes["rule-ns"] = compiled;
            slopes["rule-bytes"] = static_cast<double>(bytes) / count;
        }
    }
    std::cout << '\n';
    slope("S5", "a rule in memory", slopes["rule-bytes"], "bytes");
    slope("S6", "match of one request, 10,000 rules", slopes["rule-ns"], "ns");
}

void measurePicker()
{
    const std::size_t before = heapBytes();
    DirectoryOptions options;
    options.zone = "z0";
    RunnerDirectory directory(options, 1);
    std::vector<HostInfo> hosts;
    for (unsigned i = 0; i < 600; ++i) {
        hosts.push_back({"runner-" + std::to_string(i), "pool", "z" + std::to_string(i % 4), "127.0.0.1", 1, false});
    }
    const TimePoint now{1h};
    directory.setHosts(now, hosts);
    const double bytes = static_cast<double>(heapBytes() - before) / 600;
    PickContext context;
    context.now = now;
    const double pick = nsEach(2000, [&] {
        for (unsigned i = 0; i < 2000; ++i) {
            context.prefixHash = i + 1;
            directory.pick("pool", context, {});
        }
    });
    slope("S7", "a runner in an entry's directory", bytes, "bytes");
    slope("S8", "a pick among 600 runners", pick / 1000, "us");
}

class OneHome final : public KeyHomes
{
public:
    std::pair<NodeId, std::uint64_t> homeOf(const KeyHash & /*key*/) const override
    {
        return {1, 1};
    }
};

/** Decisions alone, in memory: what a request in flight costs. */
void measureCores()
{
    constexpr unsigned kInFlight = 1000;
    Counters counters;
    RunnerDirectory directory(DirectoryOptions(), 1);
    const NodeId runner = nodeId("runner");
    const std::vector<HostInfo> hosts = {{"runner", "pool", "z", "127.0.0.1", 1, false}};
    const TimePoint now{1h};
    directory.setHosts(now, hosts);
    directory.linkUp(now, runner, 1, false);
    RetryBudget budget(0.1);
    OneHome homes;
    EntryOptions options;
    EntryCore core(options, {directory, budget, counters, homes}, 1);
    Route route;
    route.pool = "pool";
    route.idempotent = true;
    const auto body = std::make_shared<const Body>(Body(100));
    RequestId id = 1;
    const std::size_t before = heapBytes();
    const auto startAll = [&] {
        for (unsigned i = 0; i < kInFlight; ++i) {
            RequestInfo info;
            info.customer = "customer";
            info.budget = 10s;
            core.start(now, id++, std::move(info), route, body);
        }
    };
    startAll();
    std::vector<DispatchId> ids;
    for (const EntryAction &action : core.takeActions()) {
        if (const auto *sending = std::get_if<SendAction>(&action)) {
            ids.push_back(*std::get<wire::DispatchT>(sending->envelope.message).id);
        }
    }
    const double bytes = static_cast<double>(heapBytes() - before) / kInFlight;
    const double finish = nsEach(kInFlight, [&] {
        for (const DispatchId &dispatch : ids) {
            wire::ChunkT chunk;
            chunk.id = std::make_unique<DispatchId>(dispatch);
            chunk.last = true;
            core.receive(now, runner, chunk);
        }
        core.takeActions();
        ids.clear();
        startAll();
        for (const EntryAction &action : core.takeActions()) {
            if (const auto *sending = std::get_if<SendAction>(&action)) {
                ids.push_back(*std::get<wire::DispatchT>(sending->envelope.message).id);
            }
        }
    });
    slope("S9", "a request in flight, entry's decisions", bytes, "bytes");
    slope("S10", "decisions of a request, start to end", finish / 1000, "us");
}

void measureKeys()
{
    constexpr unsigned kKeys = 50000;
    Counters counters;
    KeyLedgerOptions options;
    options.self = "e1";
    options.incarnation = 1;
    options.maxKeys = kKeys * 2;
    KeyLedger ledger(options, counters);
    const TimePoint now{1h};
    ledger.setTable(now, SlotTable());
    ledger.setEntries(now, {"e1"}, {"e1"});
    SlotTable table;
    const auto update = ledger.takeUpdate(now);
    if (!update || table.parse(update->text, 1)) {
        return;
    }
    ledger.setTable(now, table);
    const std::size_t before = heapBytes();
    const auto begin = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < kKeys; ++i) {
        const KeyHash key = hashKey("customer", std::to_string(i));
        wire::PermitRequestT request;
        request.id = std::make_unique<DispatchId>(1, 1, i);
        request.key_hi = key.high;
        request.key_lo = key.low;
        request.slot = SlotTable::slotOf(key);
        request.term = 1;
        ledger.request(now, 1, request);
        if (i % 100 == 0) {
            ledger.takeMessages();
        }
    }
    ledger.takeMessages();
    slope("S11", "a permit at its home", std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / kKeys, "us");
    slope("S12", "a key at its home", static_cast<double>(heapBytes() - before) / kKeys, "bytes");
}

template<typename T>
double frameBytes(T message)
{
    return static_cast<double>(encodeFrame(message).size());
}

void measureFrames()
{
    wire::AcceptT accept;
    accept.id = std::make_unique<DispatchId>(1, 2, 3);
    accept.load = std::make_unique<wire::LoadT>();
    accept.load->runner = 1;
    accept.load->incarnation = 2;
    accept.load->in_flight = 3;
    accept.load->capacity = 8;
    accept.load->latency_us = 1000;
    wire::AckT ack;
    ack.id = std::make_unique<DispatchId>(1, 2, 3);
    ack.next_sequence = 5;
    wire::PermitRequestT permit;
    permit.id = std::make_unique<DispatchId>(1, 2, 3);
    permit.key_hi = 1;
    permit.key_lo = 2;
    permit.slot = 3;
    permit.term = 4;
    wire::PermitOutcomeT outcome;
    outcome.id = std::make_unique<DispatchId>(1, 2, 3);
    outcome.dispatch = std::make_unique<DispatchId>(1, 2, 3);
    outcome.key_hi = 1;
    outcome.key_lo = 2;
    outcome.slot = 1;
    outcome.state = 1;
    outcome.runner = 5;
    outcome.runner_incarnation = 6;
    wire::DocumentRequestT pull;
    pull.document = "rules";
    pull.have = 5;
    const double perRequest = frameBytes(std::move(accept)) + frameBytes(std::move(ack)) * 2;
    const double perKey = frameBytes(std::move(permit)) + 60 + frameBytes(std::move(outcome)) * 2;
    slope("S13", "control bytes of a request (accept, acks)", perRequest, "bytes");
    slope("S14", "more control bytes with a key (permit, outcomes)", perKey, "bytes");
    slope("S15", "asking a peer for newer documents, both ways", 2 * 2 * frameBytes(std::move(pull)), "bytes");
}

struct SpreadRun {
    double worstSeconds = 0;
    double p99Seconds = 0;
    double p50Seconds = 0;
    double messages = 0; ///< a node, beyond the periodic ones
    unsigned reversals = 0;
};

/** One change on @p nodes entries, @p dead of them silent, messages lost with @p loss. */
SpreadRun spreadOnce(unsigned nodes, unsigned dead, double loss, std::uint64_t seed)
{
    Random random(seed);
    std::vector<std::unique_ptr<DocumentSpread>> all;
    std::vector<NodeId> ids;
    std::map<NodeId, unsigned> index;
    for (unsigned i = 0; i < nodes; ++i) {
        ids.push_back(nodeId("entry-" + std::to_string(i)));
        index[ids.back()] = i;
    }
    TimePoint now{1h};
    for (unsigned i = 0; i < nodes; ++i) {
        SpreadOptions options;
        options.self = ids[i];
        all.push_back(std::make_unique<DocumentSpread>(options, std::vector<std::string>{"rules"}, mixHash(seed, i)));
        all.back()->setPeers(ids);
        all.back()->offer(now, "rules", 1, "old");
        all.back()->takeMessages();
    }
    std::vector<double> learned(nodes, -1);
    std::multimap<TimePoint, std::tuple<unsigned, unsigned, Message>> flights;
    SpreadRun run;
    const TimePoint start = now;
    const auto collect = [&](unsigned from) {
        for (Envelope &envelope : all[from]->takeMessages()) {
            run.messages += 1.0 / nodes;
            if (std::uniform_real_distribution<double>(0, 1)(random) >= loss) {
                const Duration delay = 500us + Duration(random() % 2000);
                flights.emplace(now + delay, std::tuple(from, index[envelope.to], std::move(envelope.message)));
            }
        }
    };
    for (unsigned i = dead; i < nodes; ++i) {
        if (all[i]->isWatcher()) {
            all[i]->offer(now, "rules", 2, "new");
            learned[i] = 0;
            collect(i);
        }
    }
    for (unsigned step = 0; step < 3000; ++step, now += 10ms) {
        while (!flights.empty() && flights.begin()->first <= now) {
            auto [from, to, message] = std::move(flights.begin()->second);
            flights.erase(flights.begin());
            if (to < dead) {
                continue;
            }
            const std::uint64_t before = all[to]->document("rules").version;
            all[to]->receive(now, ids[from], message);
            const std::uint64_t after = all[to]->document("rules").version;
            run.reversals += after < before ? 1 : 0;
            if (after == 2 && learned[to] < 0) {
                learned[to] = std::chrono::duration<double>(now - start).count();
            }
            collect(to);
        }
        for (unsigned i = dead + step % 100; i < nodes; i += 100) {
            all[i]->tick(now);
            collect(i);
        }
    }
    learned.erase(learned.begin(), learned.begin() + dead);
    std::ranges::sort(learned);
    const bool missing = learned.front() < 0;
    run.worstSeconds = missing ? 1e9 : learned.back();
    run.p99Seconds = learned[static_cast<std::size_t>(0.99 * static_cast<double>(learned.size() - 1))];
    run.p50Seconds = learned[learned.size() / 2];
    return run;
}

void measureSpread()
{
    std::vector<double> worst;
    std::vector<double> p99;
    std::vector<double> p50;
    unsigned reversals = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const SpreadRun run = spreadOnce(370, 12, 0.01, seed);
        worst.push_back(run.worstSeconds);
        p99.push_back(run.p99Seconds);
        p50.push_back(run.p50Seconds);
        reversals += run.reversals;
    }
    slope("S16", "a change at all of 370 entries, 1% loss, 12 dead, worst of 20", *std::ranges::max_element(worst), "s");
    std::cout << "\nA change from its watchers to all entries: p50 " << std::setprecision(3) << median(p50) << " s, p99 " << median(p99)
              << " s, worst of 20 seeds " << *std::ranges::max_element(worst) << " s, " << reversals << " reversals.\n\n";
}

void measurePlanner()
{
    std::vector<double> times;
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
        Random random(seed);
        std::normal_distribution<double> normal;
        std::vector<LoadForecast> forecasts;
        std::vector<LayerLoad> loads;
        ExpertMap map;
        for (unsigned layer = 0; layer < 60; ++layer) {
            LayerLoad load(256);
            for (double &value : load) {
                value = std::exp(0.8 * normal(random));
            }
            loads.push_back(load);
            forecasts.emplace_back(256);
            for (unsigned i = 0; i < 4; ++i) {
                forecasts.back().observe(load);
            }
            map.push_back(initialLayer(64, 256, 5));
        }
        std::vector<LayerInput> inputs;
        for (unsigned layer = 0; layer < 60; ++layer) {
            inputs.push_back({map[layer], loads[layer], forecasts[layer], nullptr});
        }
        PlannerWeights weights;
        weights.skewWeight = 20;
        const auto planner = MapPlannerRegistry::instance().create("priced");
        const auto begin = std::chrono::steady_clock::now();
        planner->plan(inputs, weights);
        times.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count());
    }
    slope("S17", "a plan from a cold map, 64 ranks x 256 experts x 60 layers", median(times), "ms");
    CoordinatorOptions options;
    options.ranks = 64;
    MapSwitchCoordinator coordinator(options);
    coordinator.takeMessages();
    wire::MapStageT stage;
    stage.assignment.resize(64 * 5 * 2); // a typical change: two layers
    slope("S18", "a switch of maps, bytes to and from one rank", frameBytes(std::move(stage)) + 5 * 60, "bytes");
}

std::string budgetText(double budget, const char *unit)
{
    if (budget == 0) {
        return "-";
    }
    const std::string number = std::to_string(budget);
    return number.substr(0, budget < 10 ? 3 : number.find('.')) + ' ' + unit;
}

void printRow(const char *role, const char *what, double value, const char *unit, double budget, const char *slopesUsed)
{
    std::cout << "| " << role << " | " << what << " | " << std::fixed << std::setprecision(value < 10 ? 2 : 0) << value << " " << unit << " | "
              << budgetText(budget, unit) << " | "
              << (budget == 0       ? "-"
                  : value <= budget ? "met"
                                    : "missed, " + std::to_string(value / budget).substr(0, 4) + "x")
              << " | " << slopesUsed << " |\n";
}

void printSize(const Size &size)
{
    const double entryRequests = size.requests / size.entries;
    const double entryTokens = size.tokens / size.entries;
    const double runnerRequests = size.requests / size.runners;
    const double runnerTokens = size.tokens / size.runners;
    const double keysHeld = size.requests * size.keyed * 3600 / std::min(16.0, size.entries);
    const double seconds = size.tokens / size.requests * 0.066 + 1.3;
    std::cout << "\n"
              << size.name << ": " << std::setprecision(0) << size.entries << " entries, " << size.runners << " runners, " << size.requests << " requests/s, "
              << size.tokens << " tokens/s\n\n";
    std::cout << "| role | what | at this size | budget | verdict | from |\n|---|---|---|---|---|---|\n";
    printRow("entry", "requests in flight", entryRequests * seconds, "requests", 0, "sizes");
    printRow("entry", "processor, data path", (entryRequests * slopes["S1"] + entryTokens * slopes["S2"]) / 1e4, "% of a core", 0, "S1, S2");
    printRow("entry",
             "processor, control: idle and decisions",
             slopes["S20"] + entryRequests * (slopes["S10"] + slopes["S8"]) / 1e4,
             "% of a core",
             1.1,
             "S8, S10, S20");
    printRow("entry", "control, requests and keys", entryRequests * (slopes["S13"] + size.keyed * slopes["S14"]), "bytes/s", 4096, "S13, S14");
    printRow("entry", "control, documents", 2 * slopes["S15"], "bytes/s", 4096, "S15");
    printRow("entry", "memory, directory and rules", (size.runners * slopes["S7"] + size.customers * slopes["S5"]) / 1e6, "MB", 128, "S5, S7");
    printRow("entry", "memory, requests in flight", entryRequests * seconds * slopes["S9"] / 1e6, "MB", 128, "S9");
    printRow("entry, key home", "memory, keys of an hour", keysHeld * slopes["S12"] / 1e6, "MB", 128, "S12");
    printRow(
        "entry, key home", "processor, permits", size.requests * size.keyed / std::min(16.0, size.entries) * slopes["S11"] / 1e4, "% of a core", 1.1, "S11");
    printRow("agent", "processor, data path", (runnerRequests * slopes["S3"] + runnerTokens * slopes["S4"]) / 1e4, "% of a core", 0, "S3, S4");
    printRow("agent", "processor, control", slopes["S21"], "% of a core", 1.1, "S21");
    printRow("agent", "control, requests", runnerRequests * slopes["S13"], "bytes/s", 4096, "S13");
    printRow("planner of a group", "processor, a plan a minute", slopes["S17"] / 60e3 * 100, "% of a core", 1.1, "S17");
    printRow("agent of a rank", "control, a switch a minute", slopes["S18"] / 60, "bytes/s", 4096, "S18");
    printRow("object API", "watches, 3 watchers x 2 documents, 10 s each", 3 * 2 / 10.0, "calls/s", 2000, "settings");
    printRow("object API", "rules, writes and reads", size.changes / 86400 * (2 + 3), "calls/s", 2000, "settings");
}

} // namespace

int main()
{
    startLogging("off");
    const std::size_t resident = residentBytes();
    std::cout << "| id | what | slope | command |\n|---|---|---|---|\n";
    measurePath();
    measureRules();
    measurePicker();
    measureCores();
    measureKeys();
    measureFrames();
    measureSpread();
    measurePlanner();
    slope("S19", "the program resident before it does anything", static_cast<double>(resident) / 1e6, "MB");
    printSize(kToday);
    printSize(kFull);
    return 0;
}
