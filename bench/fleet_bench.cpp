// Picking, overload and fairness with the real decision code: EntryCore, RunnerDirectory,
// AgentCore and the pickers, around them an event loop and engines that are no more
// than a number of slots and a service time.
//
// fleet_bench [--small] [--large] [--traps] [--seeds N] [--load SHARE]...; without
// arguments all of it, which takes about twenty minutes at the full size.

#include <algorithm>
#include <cmath>
#include <cstring>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <numeric>
#include <queue>
#include <span>

#include "fulmarlink/agentcore.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/entrycore.h"
#include "fulmarlink/frame.h"
#include "fulmarlink/retrybudget.h"
#include "fulmarlink/runnerdirectory.h"

namespace
{

using namespace fulmarlink;
using namespace std::chrono_literals;

constexpr unsigned kZones = 4;
constexpr unsigned kSlots = 8; ///< requests that an engine runs at once
constexpr double kMeanService = 1.0; ///< seconds after the first token
constexpr double kPrefill = 0.12; ///< seconds for a cold prompt
constexpr unsigned kPrefixes = 400; ///< prompts' prefixes in use
constexpr std::size_t kCachedPrefixes = 40; ///< an engine holds
constexpr Duration kTick = 50ms;
constexpr Duration kTail = 4s; ///< requests that come later may not end within the run
constexpr unsigned kSampleEvery = 64; ///< control messages whose size is taken

enum class Trap : std::uint8_t {
    None,
    SlowRunner, ///< ten times slower, heartbeats healthy
    FastFailing, ///< breaks every request at once
    Newcomer, ///< one starts empty in the middle
    ZoneLost,
    LargeCustomer, ///< one customer at ten times its share
};

struct FleetOptions {
    unsigned entries = 4;
    unsigned runners = 16;
    double load = 0.8; ///< of capacity
    std::string picker;
    std::uint64_t seed = 1;
    Duration time = 20s;
    Duration warmup = 5s;
    Trap trap = Trap::None;
};

struct FleetResult {
    std::vector<double> firstToken; ///< ms, answered requests
    std::vector<double> othersFirstToken; ///< of all customers but the large one
    unsigned sent = 0;
    unsigned answered = 0;
    unsigned refused = 0;
    unsigned broken = 0;
    unsigned hits = 0;
    unsigned crossZone = 0;
    double controlBytes = 0;
};

class Fleet;

/** Knows every runner's true state: the bound. */
class OmniscientPicker final : public Picker
{
public:
    static const std::map<NodeId, AgentCore *> *agents;

    std::size_t pick(std::span<const Candidate> candidates, const PickContext & /*context*/, Random &random) override
    {
        std::size_t best = 0;
        double bestLoad = 1e9;
        const std::size_t start = random() % candidates.size();
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const std::size_t index = (start + i) % candidates.size();
            const wire::LoadT load = agents->at(candidates[index].id)->load();
            const double own = load.in_flight + load.queued;
            if (own < bestLoad) {
                bestLoad = own;
                best = index;
            }
        }
        return best;
    }
};

const std::map<NodeId, AgentCore *> *OmniscientPicker::agents = nullptr;
const PickerRegistrar kOmniscient("omniscient", [] {
    return std::make_unique<OmniscientPicker>();
});

class NoHomes final : public KeyHomes
{
public:
    std::pair<NodeId, std::uint64_t> homeOf(const KeyHash & /*key*/) const override
    {
        return {0, 0};
    }
};

class Fleet
{
public:
    explicit Fleet(const FleetOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_now(TimePoint(1h))
    {
        for (unsigned i = 0; i < options.runners; ++i) {
            addRunner(i);
        }
        for (unsigned i = 0; i < options.entries; ++i) {
            addEntry(i);
        }
        OmniscientPicker::agents = &m_agentCores;
    }

    FleetResult run()
    {
        const TimePoint start = m_now;
        for (unsigned i = 0; i < m_options.entries; ++i) {
            scheduleArrival(i);
            tickEntry(i);
        }
        for (unsigned i = 0; i < m_options.runners; ++i) {
            tickRunner(i);
        }
        m_measureFrom = start + m_options.warmup;
        m_end = start + m_options.time;
        at(m_measureFrom + (m_end - m_measureFrom) / 3, [this] {
            springTrap();
        });
        while (!m_events.empty() && m_events.top().time <= m_end) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        const double seconds = std::chrono::duration<double>(m_end - m_measureFrom).count();
        m_result.controlBytes /= seconds * (m_options.entries + m_options.runners);
        return m_result;
    }

private:
    struct Runner {
        NodeId id = 0;
        unsigned zone = 0;
        std::unique_ptr<AgentCore> core;
        std::unique_ptr<Counters> counters;
        std::vector<std::uint64_t> prefixes;
        double speed = 1;
        bool failing = false;
        bool dead = false;
    };
    struct Entry {
        NodeId id = 0;
        unsigned zone = 0;
        std::unique_ptr<Counters> counters;
        std::unique_ptr<RunnerDirectory> directory;
        std::unique_ptr<RetryBudget> budget;
        std::unique_ptr<EntryCore> core;
    };
    struct Asked {
        TimePoint at{};
        bool counted = false;
        bool seen = false;
        bool large = false;
    };
    struct Event {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.push({time, m_order++, std::move(action)});
    }

    static std::string runnerName(unsigned i)
    {
        return "runner-" + std::to_string(i);
    }

    void addRunner(unsigned i)
    {
        auto runner = std::make_unique<Runner>();
        runner->id = nodeId(runnerName(i));
        runner->zone = i % kZones;
        runner->counters = std::make_unique<Counters>();
        AgentOptions options;
        options.self = runner->id;
        options.incarnation = 1;
        options.concurrency = kSlots;
        runner->core = std::make_unique<AgentCore>(options, *runner->counters);
        m_agentCores[runner->id] = runner->core.get();
        m_byId[runner->id] = i;
        m_runners.push_back(std::move(runner));
    }

    void addEntry(unsigned i)
    {
        auto entry = std::make_unique<Entry>();
        const std::string name = "entry-" + std::to_string(i);
        entry->id = nodeId(name);
        entry->zone = i % kZones;
        entry->counters = std::make_unique<Counters>();
        DirectoryOptions directory;
        directory.picker = m_options.picker;
        directory.zone = "z" + std::to_string(entry->zone);
        directory.slowStart = 5s;
        entry->directory = std::make_unique<RunnerDirectory>(directory, mixHash(m_options.seed, i));
        entry->budget = std::make_unique<RetryBudget>(0.2);
        EntryOptions options;
        options.self = entry->id;
        options.incarnation = 1;
        entry->core = std::make_unique<EntryCore>(
            options, EntryCore::Services{*entry->directory, *entry->budget, *entry->counters, m_homes}, mixHash(m_options.seed, i + 1));
        std::vector<HostInfo> hosts;
        for (unsigned runner = 0; runner < m_options.runners; ++runner) {
            hosts.push_back({runnerName(runner), "pool", "z" + std::to_string(runner % kZones), "", 1, false});
        }
        entry->directory->setHosts(m_now, hosts);
        for (const auto &runner : m_runners) {
            entry->directory->linkUp(m_now, runner->id, 1, false);
            runner->core->linkUp(m_now, {entry->id, 1, 1});
        }
        m_entryById[entry->id] = i;
        m_entries.push_back(std::move(entry));
    }

    void scheduleArrival(unsigned entry)
    {
        const double capacity = m_options.runners * kSlots / (kMeanService + kPrefill);
        const double rate = capacity * m_options.load / m_options.entries * (m_largeCustomer ? 1.0 + kLargeExtra : 1.0);
        const double wait = std::exponential_distribution<double>(rate)(m_random);
        at(m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)), [this, entry] {
            arrive(entry);
            scheduleArrival(entry);
        });
    }

    void arrive(unsigned index)
    {
        Entry &entry = *m_entries[index];
        RequestInfo info;
        const bool large = m_largeCustomer && std::uniform_real_distribution<double>(0, 1)(m_random) < kLargeExtra / (1.0 + kLargeExtra);
        info.customer = large ? "large" : "customer-" + std::to_string(m_random() % 20);
        info.method = "POST";
        info.prefixHash = 1 + m_random() % kPrefixes;
        info.path = "/" + std::to_string(info.prefixHash);
        info.budget = 30s;
        info.promptTokens = 300;
        Route route;
        route.pool = "pool";
        route.idempotent = true;
        const RequestId id = m_nextRequest++;
        const bool counted = m_now >= m_measureFrom && m_now < m_end - kTail;
        m_asked[id] = {m_now, counted, false, large};
        m_result.sent += counted ? 1 : 0;
        entry.core->start(m_now, id, std::move(info), route, m_body);
        performEntry(index);
    }

    void tickEntry(unsigned index)
    {
        m_entries[index]->core->tick(m_now);
        performEntry(index);
        at(m_now + kTick, [this, index] {
            tickEntry(index);
        });
    }

    void tickRunner(unsigned index)
    {
        m_runners[index]->core->tick(m_now);
        performRunner(index);
        at(m_now + kTick, [this, index] {
            tickRunner(index);
        });
    }

    Duration latency(unsigned zoneA, unsigned zoneB)
    {
        return zoneA == zoneB ? 300us : 1500us;
    }

    void countControl(const Message &message)
    {
        const bool payload = std::holds_alternative<wire::ChunkT>(message) || std::holds_alternative<wire::DispatchT>(message);
        if (m_now < m_measureFrom || payload || m_control++ % kSampleEvery != 0) {
            return;
        }
        m_result.controlBytes += static_cast<double>(encodeFrame(message).size() * kSampleEvery) * 2; // sent and received
    }

    void performEntry(unsigned index)
    {
        Entry &entry = *m_entries[index];
        for (EntryAction &action : entry.core->takeActions()) {
            if (auto *sending = std::get_if<SendAction>(&action)) {
                sendToRunner(index, std::move(sending->envelope));
            } else if (auto *opening = std::get_if<OpenLinkAction>(&action)) {
                const NodeId node = opening->node;
                at(m_now + 2ms, [this, index, node] {
                    m_entries[index]->core->linkFailed(m_now, node);
                    performEntry(index);
                });
            } else if (auto *delivering = std::get_if<DeliverAction>(&action)) {
                noteFirstToken(delivering->request);
            } else {
                noteEnd(std::get<FinishAction>(action));
            }
        }
    }

    void noteFirstToken(RequestId id)
    {
        Asked &asked = m_asked[id];
        if (asked.seen || !asked.counted) {
            return;
        }
        asked.seen = true;
        const double ms = std::chrono::duration<double, std::milli>(m_now - asked.at).count();
        m_result.firstToken.push_back(ms);
        if (!asked.large) {
            m_result.othersFirstToken.push_back(ms);
        }
    }

    void noteEnd(const FinishAction &finish)
    {
        const auto it = m_asked.find(finish.request);
        if (it->second.counted) {
            m_result.answered += finish.code == ResultCode::Ok ? 1 : 0;
            m_result.refused += resultInfo(finish.code).outcome == Outcome::NotRun ? 1 : 0;
            m_result.broken += resultInfo(finish.code).outcome == Outcome::Unknown ? 1 : 0;
        }
        m_asked.erase(it);
    }

    void sendToRunner(unsigned from, Envelope envelope)
    {
        countControl(envelope.message);
        const unsigned to = m_byId.at(envelope.to);
        const Duration time = latency(m_entries[from]->zone, m_runners[to]->zone);
        const bool dispatch = std::holds_alternative<wire::DispatchT>(envelope.message);
        m_result.crossZone += dispatch && m_entries[from]->zone != m_runners[to]->zone && m_now >= m_measureFrom ? 1 : 0;
        m_dispatches += dispatch && m_now >= m_measureFrom ? 1 : 0;
        at(m_now + time, [this, from, to, message = std::make_shared<Message>(std::move(envelope.message))] {
            if (m_runners[to]->dead) {
                return;
            }
            m_runners[to]->core->receive(m_now, {m_entries[from]->id, 1, 1}, *message);
            performRunner(to);
        });
    }

    void performRunner(unsigned index)
    {
        Runner &runner = *m_runners[index];
        for (AgentAction &action : runner.core->takeActions()) {
            if (auto *envelope = std::get_if<Envelope>(&action)) {
                countControl(envelope->message);
                const unsigned to = m_entryById.at(envelope->to);
                at(m_now + latency(runner.zone, m_entries[to]->zone), [this, index, to, message = std::make_shared<Message>(std::move(envelope->message))] {
                    m_entries[to]->core->receive(m_now, m_runners[index]->id, *message);
                    performEntry(to);
                });
            } else if (auto *starting = std::get_if<StartEngineAction>(&action)) {
                startEngine(index, starting->id, std::strtoull(starting->request->path.c_str() + 1, nullptr, 10));
            }
        }
    }

    bool cached(Runner &runner, std::uint64_t prefix)
    {
        const auto it = std::ranges::find(runner.prefixes, prefix);
        const bool hit = it != runner.prefixes.end();
        if (hit) {
            runner.prefixes.erase(it);
        } else if (runner.prefixes.size() >= kCachedPrefixes) {
            runner.prefixes.erase(runner.prefixes.begin());
        }
        runner.prefixes.push_back(prefix);
        return hit;
    }

    void startEngine(unsigned index, const DispatchId &id, std::uint64_t prefix)
    {
        Runner &runner = *m_runners[index];
        runner.core->engineCommitted(m_now, id);
        if (runner.failing) {
            at(m_now + 1ms, [this, index, id] {
                m_runners[index]->core->engineFailed(m_now, id, ResultCode::EngineBroke, false);
                performRunner(index);
            });
            return;
        }
        const bool hit = cached(runner, prefix);
        m_result.hits += hit && m_now >= m_measureFrom ? 1 : 0;
        const double prefill = kPrefill * (hit ? 0.2 : 1) / runner.speed;
        const double service = std::lognormal_distribution<double>(std::log(kMeanService) - 0.32, 0.8)(m_random) / runner.speed;
        const auto toDuration = [](double seconds) {
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        };
        at(m_now + toDuration(prefill), [this, index, id] {
            m_runners[index]->core->engineHead(m_now, id, 200, {});
            performRunner(index);
        });
        at(m_now + toDuration(prefill + service), [this, index, id] {
            if (!m_runners[index]->dead) {
                m_runners[index]->core->engineEnd(m_now, id);
                performRunner(index);
            }
        });
    }

    void springTrap()
    {
        switch (m_options.trap) {
        case Trap::None:
            return;
        case Trap::SlowRunner:
            m_runners[1]->speed = 0.1;
            return;
        case Trap::FastFailing:
            m_runners[1]->failing = true;
            return;
        case Trap::Newcomer:
            m_runners[1]->prefixes.clear();
            for (const auto &entry : m_entries) {
                entry->directory->linkUp(m_now, m_runners[1]->id, 1, false);
            }
            return;
        case Trap::ZoneLost:
            for (unsigned i = 0; i < m_options.runners; ++i) {
                if (m_runners[i]->zone == 1) {
                    loseRunner(i);
                }
            }
            return;
        case Trap::LargeCustomer:
            m_largeCustomer = true;
            return;
        }
    }

    void loseRunner(unsigned index)
    {
        m_runners[index]->dead = true;
        for (unsigned i = 0; i < m_options.entries; ++i) {
            at(m_now + 5ms, [this, i, index] {
                m_entries[i]->directory->linkDown(m_runners[index]->id);
                m_entries[i]->core->linkDown(m_now, m_runners[index]->id);
                performEntry(i);
            });
        }
    }

public:
    unsigned dispatches() const
    {
        return m_dispatches;
    }

private:
    static constexpr double kLargeExtra = 0.5; ///< ten shares of one in twenty

    FleetOptions m_options;
    Random m_random;
    TimePoint m_now;
    TimePoint m_measureFrom{};
    TimePoint m_end{};
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::map<NodeId, unsigned> m_byId;
    std::map<NodeId, unsigned> m_entryById;
    std::map<NodeId, AgentCore *> m_agentCores;
    NoHomes m_homes;
    std::map<RequestId, Asked> m_asked;
    std::shared_ptr<const Body> m_body = std::make_shared<const Body>();
    RequestId m_nextRequest = 1;
    unsigned m_dispatches = 0;
    std::uint64_t m_control = 0;
    bool m_largeCustomer = false;
    FleetResult m_result;
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, nth);
    return *nth;
}

FleetResult average(FleetOptions options, unsigned seeds, unsigned &dispatches)
{
    FleetResult sum;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        Fleet fleet(options);
        const FleetResult one = fleet.run();
        dispatches += fleet.dispatches();
        sum.firstToken.insert(sum.firstToken.end(), one.firstToken.begin(), one.firstToken.end());
        sum.othersFirstToken.insert(sum.othersFirstToken.end(), one.othersFirstToken.begin(), one.othersFirstToken.end());
        sum.sent += one.sent;
        sum.answered += one.answered;
        sum.refused += one.refused;
        sum.broken += one.broken;
        sum.hits += one.hits;
        sum.crossZone += one.crossZone;
        sum.controlBytes += one.controlBytes / seeds;
    }
    return sum;
}

void printPickers(unsigned entries, unsigned runners, Duration time, unsigned seeds, std::span<const double> loads)
{
    for (const double load : loads) {
        std::cout << "\n"
                  << entries << " entries, " << runners << " runners, " << std::fixed << std::setprecision(0) << load * 100 << "% of capacity, seeds 1 to "
                  << seeds << "\n";
        std::cout << std::left << std::setw(16) << "picker" << std::right << std::setw(9) << "p50 ms" << std::setw(9) << "p99 ms" << std::setw(11) << "answered"
                  << std::setw(9) << "refused" << std::setw(8) << "broken" << std::setw(8) << "hits" << std::setw(8) << "xzone" << std::setw(12)
                  << "control B/s"
                  << "\n";
        for (const char *picker : {"omniscient", "random", "round_robin", "least_requests", "two_choices", "reported_two", "affinity"}) {
            FleetOptions options;
            options.entries = entries;
            options.runners = runners;
            options.load = load;
            options.picker = picker;
            options.time = time;
            unsigned dispatches = 0;
            const FleetResult result = average(options, seeds, dispatches);
            std::cout << std::left << std::setw(16) << picker << std::right << std::setprecision(0) << std::setw(9) << percentile(result.firstToken, 0.5)
                      << std::setw(9) << percentile(result.firstToken, 0.99) << std::setprecision(3) << std::setw(11)
                      << static_cast<double>(result.answered) / result.sent << std::setw(9) << static_cast<double>(result.refused) / result.sent << std::setw(8)
                      << result.broken << std::setw(8) << std::setprecision(2) << static_cast<double>(result.hits) / dispatches << std::setw(8)
                      << static_cast<double>(result.crossZone) / dispatches << std::setprecision(0) << std::setw(12) << result.controlBytes << '\n';
        }
    }
}

void printTraps(unsigned seeds)
{
    static constexpr const char *kNames[] = {"none", "slow runner", "fast-failing runner", "newcomer", "zone lost", "large customer x10"};
    std::cout << "\ntraps: 4 entries, 16 runners, 60% of capacity, picker affinity, the trap after a third of the time\n";
    std::cout << std::left << std::setw(22) << "trap" << std::right << std::setw(9) << "p50 ms" << std::setw(9) << "p99 ms" << std::setw(14) << "others p99"
              << std::setw(11) << "answered" << std::setw(9) << "refused" << std::setw(8) << "broken"
              << "\n";
    for (int i = 0; i <= static_cast<int>(Trap::LargeCustomer); ++i) {
        FleetOptions options;
        options.load = 0.6;
        options.picker = "affinity";
        options.trap = static_cast<Trap>(i);
        unsigned dispatches = 0;
        const FleetResult result = average(options, seeds, dispatches);
        std::cout << std::left << std::setw(22) << kNames[i] << std::right << std::fixed << std::setprecision(0) << std::setw(9)
                  << percentile(result.firstToken, 0.5) << std::setw(9) << percentile(result.firstToken, 0.99) << std::setw(14)
                  << percentile(result.othersFirstToken, 0.99) << std::setprecision(3) << std::setw(11) << static_cast<double>(result.answered) / result.sent
                  << std::setw(9) << static_cast<double>(result.refused) / result.sent << std::setw(8) << result.broken << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    bool small = false;
    bool large = false;
    bool traps = false;
    unsigned seeds = 5;
    std::vector<double> loads;
    for (int i = 1; i < argc; ++i) {
        small = small || std::strcmp(argv[i], "--small") == 0;
        large = large || std::strcmp(argv[i], "--large") == 0;
        traps = traps || std::strcmp(argv[i], "--traps") == 0;
        if (std::strcmp(argv[i], "--load") == 0 && i + 1 < argc) {
            loads.push_back(std::strtod(argv[i + 1], nullptr));
        }
        if (std::strcmp(argv[i], "--seeds") == 0 && i + 1 < argc) {
            seeds = static_cast<unsigned>(std::strtoul(argv[i + 1], nullptr, 10));
        }
    }
    if (loads.empty()) {
        loads = {0.5, 0.8, 0.95, 1.2};
    }
    const bool all = !small && !large && !traps;
    if (small || all) {
        printPickers(4, 16, 20s, seeds, loads);
    }
    if (traps || all) {
        printTraps(seeds);
    }
    if (large || all) {
        printPickers(370, 600, 10s, std::min(seeds, 5U), loads);
    }
    return 0;
}
