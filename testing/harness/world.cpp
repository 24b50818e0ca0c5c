#include "testing/harness/world.h"

#include <algorithm>
#include <stdexcept>

#include "testing/harness/worldnodes.h"

namespace fulmarlink::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration kTick = 20ms;
constexpr Duration kListPoll = 200ms;
constexpr Duration kDeadlineSlack = 100ms;
constexpr const char *kRules = "rules";
constexpr const char *kKeyHomes = "key-homes";

} // namespace

World::World(WorldOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_now(TimePoint(1h))
{
    if (!m_options.rules.empty()) {
        m_store[kRules] = {1, m_options.rules};
    }
}

World::~World() = default;

void World::at(TimePoint time, Event event)
{
    m_events.emplace(time, Scheduled{{}, 0, std::move(event)});
}

void World::atNode(TimePoint time, const Node &node, Event event)
{
    m_events.emplace(time, Scheduled{node.host.name, node.incarnation, std::move(event)});
}

void World::fire(Scheduled scheduled)
{
    if (!scheduled.node.empty()) {
        Node *node = find(scheduled.node);
        if (!node->up || node->incarnation != scheduled.incarnation) {
            return;
        }
        if (m_now < node->pausedUntil) {
            node->waiting.push_back(std::move(scheduled));
            return;
        }
    }
    scheduled.event();
}

void World::run(Duration time)
{
    const TimePoint until = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= until) {
        const auto it = m_events.begin();
        m_now = std::max(m_now, it->first);
        Scheduled scheduled = std::move(it->second);
        m_events.erase(it);
        fire(std::move(scheduled));
    }
    m_now = until;
}

TimePoint World::now() const
{
    return m_now;
}

void World::addEntry(const std::string &name, const std::string &zone)
{
    auto node = std::make_unique<EntryNode>();
    node->host = {name, "entry", zone, "127.0.0.1", 1, false};
    node->id = nodeId(name);
    EntryNode &added = *node;
    m_byId[node->id] = node.get();
    m_listed[name] = node->host;
    m_nodes[name] = std::move(node);
    startEntry(added);
    publishList();
}

void World::addRunner(const std::string &name, const std::string &pool, const std::string &zone, unsigned concurrency)
{
    auto node = std::make_unique<RunnerNode>();
    node->host = {name, pool, zone, "127.0.0.1", 1, false};
    node->id = nodeId(name);
    node->concurrency = concurrency;
    RunnerNode &added = *node;
    m_byId[node->id] = node.get();
    m_listed[name] = node->host;
    m_nodes[name] = std::move(node);
    startRunner(added);
    publishList();
}

void World::startEntry(EntryNode &entry)
{
    entry.up = true;
    entry.draining = false;
    entry.incarnation = m_nextIncarnation++;
    entry.pausedUntil = TimePoint{};
    entry.waiting.clear();
    entry.requests.clear();
    entry.opening.clear();
    entry.rules.reset();
    entry.rulesVersion = 0;
    entry.reading = false;
    entry.counters = std::make_unique<Counters>();
    DirectoryOptions directory;
    directory.zone = entry.host.zone;
    directory.picker = m_options.picker;
    directory.slowStart = Duration(0);
    entry.directory = std::make_unique<RunnerDirectory>(directory, mixHash(m_options.seed, entry.incarnation));
    entry.budget = std::make_unique<RetryBudget>(0.5);
    KeyLedgerOptions keys;
    keys.self = entry.host.name;
    keys.incarnation = entry.incarnation;
    keys.retention = m_options.keyRetention;
    entry.ledger = std::make_unique<KeyLedger>(keys, *entry.counters);
    entry.homes.ledger = entry.ledger.get();
    EntryOptions options;
    options.self = entry.id;
    options.incarnation = entry.incarnation;
    const EntryCore::Services services{*entry.directory, *entry.budget, *entry.counters, entry.homes};
    entry.core = std::make_unique<EntryCore>(options, services, mixHash(m_options.seed, entry.incarnation + 1));
    SpreadOptions spread;
    spread.self = entry.id;
    entry.spread = std::make_unique<DocumentSpread>(spread, std::vector<std::string>{kRules, kKeyHomes}, mixHash(m_options.seed, entry.incarnation + 2));
    watchStore(entry, kRules);
    watchStore(entry, kKeyHomes);
    refreshList(entry);
    tickEntry(entry);
}

void World::startRunner(RunnerNode &runner)
{
    runner.up = true;
    runner.draining = false;
    runner.incarnation = m_nextIncarnation++;
    runner.pausedUntil = TimePoint{};
    runner.waiting.clear();
    runner.counters = std::make_unique<Counters>();
    AgentOptions options;
    options.self = runner.id;
    options.incarnation = runner.incarnation;
    options.concurrency = runner.concurrency;
    runner.core = std::make_unique<AgentCore>(options, *runner.counters);
    tickRunner(runner);
}

void World::tickEntry(EntryNode &entry)
{
    entry.core->tick(m_now);
    performEntry(entry);
    entry.ledger->tick(m_now);
    performLedger(entry);
    updateTable(entry);
    entry.spread->tick(m_now);
    performSpread(entry);
    atNode(m_now + kTick, entry, [this, &entry] {
        tickEntry(entry);
    });
}

void World::tickRunner(RunnerNode &runner)
{
    runner.core->tick(m_now);
    performRunner(runner);
    atNode(m_now + kTick, runner, [this, &runner] {
        tickRunner(runner);
    });
}

void World::performEntry(EntryNode &entry)
{
    for (const EntryAction &action : entry.core->takeActions()) {
        std::visit(Overloaded{
                       [&](const SendAction &sending) {
                           send(entry, sending.envelope.to, sending.envelope.message);
                       },
                       [&](const OpenLinkAction &opening) {
                           openLink(entry, opening.node);
                       },
                       [&](const LimitAction &limiting) {
                           entry.core->limitDecided(m_now, limiting.request, true, Duration(0));
                           performEntry(entry);
                       },
                       [&](const DeliverAction &delivering) {
                           deliverAnswer(entry, delivering);
                       },
                       [&](const FinishAction &finishing) {
                           finishAttempt(entry, finishing);
                       },
                   },
                   action);
    }
}

void World::request(const std::string &id,
                    const std::string &serial,
                    const std::string &entryName,
                    const std::string &path,
                    const std::string &key,
                    Duration deadline)
{
    EntryNode *target = entry(entryName);
    Attempt attempt;
    attempt.id = id;
    attempt.serial = serial;
    attempt.entry = entryName;
    attempt.startedAt = m_now;
    attempt.deadline = m_now + deadline;
    if (target == nullptr || !target->up) {
        return; // no connection
    }
    RequestInfo info;
    info.customer = "customer";
    info.method = "POST";
    info.path = path;
    info.idempotencyKey = key;
    info.budget = deadline;
    info.promptTokens = 10;
    info.headers = {{"serial", serial}, {"attempt", id}};
    Route route;
    if (target->draining) {
        route.refusal = ResultCode::ShuttingDown;
    } else if (target->rules) {
        route = target->rules->route(info);
    } else {
        route.refusal = ResultCode::NoConfiguration;
    }
    attempt.singleRun = !route.idempotent;
    note("request " + id + " (" + serial + ") at " + entryName);
    m_attempts[id] = attempt;
    const RequestId number = m_nextRequest++;
    target->requests[number] = id;
    const auto body = std::make_shared<const Body>(serial.begin(), serial.end());
    atNode(m_now, *target, [this, target, number, info, route, body, id, deadline] {
        m_attempts.at(id).deadline = m_now + deadline; // a paused entry reads the request, and its budget, late
        target->core->start(m_now, number, info, route, body);
        performEntry(*target);
    });
}

void World::deliverAnswer(EntryNode &entry, const DeliverAction &action)
{
    Attempt &attempt = m_attempts.at(entry.requests.at(action.request));
    if (attempt.finished) {
        violate(attempt.id + " got bytes after its end");
    }
    attempt.data.append(action.data.begin(), action.data.end());
    entry.core->callerTook(m_now, action.request, action.nextSequence);
    performEntry(entry);
}

void World::finishAttempt(EntryNode &entry, const FinishAction &action)
{
    Attempt &attempt = m_attempts.at(entry.requests.at(action.request));
    if (attempt.finished) {
        violate(attempt.id + " ended twice");
    }
    attempt.finished = true;
    attempt.finishedAt = m_now;
    attempt.code = action.code;
    note("end of " + attempt.id + ": " + std::string(resultInfo(action.code).name));
    if (action.code == ResultCode::Ok && attempt.data != answerOf(attempt.serial)) {
        violate(attempt.id + " got '" + attempt.data + "' as a whole answer");
    }
    if (!answerOf(attempt.serial).starts_with(attempt.data)) {
        violate(attempt.id + " got '" + attempt.data + "', which is no beginning of its answer");
    }
    if (m_now > attempt.deadline + kDeadlineSlack && m_now >= entry.pausedUntil + kDeadlineSlack + kTick) {
        violate(attempt.id + " ended after its deadline");
    }
}

bool World::drained(const std::string &name) const
{
    const Node *node = find(name);
    if (const auto *asRunner = dynamic_cast<const RunnerNode *>(node)) {
        return asRunner->core->drained(m_now);
    }
    const auto &asEntry = static_cast<const EntryNode &>(*node);
    return asEntry.core->requests() == 0 && asEntry.ledger->drained(m_now);
}

void World::checkEnd()
{
    std::map<std::string, unsigned> runsOf;
    for (const Execution &execution : m_executions) {
        ++runsOf[execution.attempt];
    }
    for (const auto &[id, attempt] : m_attempts) {
        const bool saysNotRun = attempt.finished && resultInfo(attempt.code).outcome == Outcome::NotRun;
        if (saysNotRun && runsOf[id] > 0) {
            violate(id + " was said to be not run (" + std::string(resultInfo(attempt.code).name) + ") and ran");
        }
        if (!attempt.finished && !attempt.entryDied) {
            violate(id + " never ended");
        }
    }
}

void World::note(const std::string &text)
{
    m_history.push_back(std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch() - 1h).count()) + " ms: " + text);
}

void World::violate(const std::string &text)
{
    note("VIOLATION: " + text);
    m_violations.push_back(text);
}

World::Node *World::find(const std::string &name)
{
    const auto it = m_nodes.find(name);
    return it == m_nodes.end() ? nullptr : it->second.get();
}

const World::Node *World::find(const std::string &name) const
{
    const auto it = m_nodes.find(name);
    return it == m_nodes.end() ? nullptr : it->second.get();
}

World::Node *World::find(NodeId id)
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? nullptr : it->second;
}

World::EntryNode *World::entry(const std::string &name)
{
    return dynamic_cast<EntryNode *>(find(name));
}

World::RunnerNode *World::runner(const std::string &name)
{
    auto *result = dynamic_cast<RunnerNode *>(find(name));
    if (result == nullptr) {
        throw std::invalid_argument("no runner " + name);
    }
    return result;
}

const std::map<std::string, Attempt> &World::attempts() const
{
    return m_attempts;
}

const std::vector<Execution> &World::executions() const
{
    return m_executions;
}

unsigned World::executionsOf(const std::string &serial) const
{
    const auto it = m_executionCount.find(serial);
    return it == m_executionCount.end() ? 0 : it->second;
}

std::uint64_t World::rulesVersion(const std::string &name) const
{
    return static_cast<const EntryNode &>(*find(name)).rulesVersion;
}

std::uint64_t World::storeVersion(const std::string &key) const
{
    const auto it = m_store.find(key);
    return it == m_store.end() ? 0 : it->second.first;
}

std::uint64_t World::storeWrites() const
{
    return m_storeWrites;
}

unsigned World::keySlots(const std::string &name) const
{
    return static_cast<const EntryNode &>(*find(name)).ledger->ownedSlots();
}

bool World::alive(const std::string &name) const
{
    const Node *node = find(name);
    return node != nullptr && node->up;
}

std::uint64_t World::counter(const std::string &name, ResultCode code) const
{
    return find(name)->counters->result(code);
}

std::uint64_t World::lostTakeovers(const std::string &name) const
{
    Counters &counters = *find(name)->counters;
    return counters.value(counters.registerCounter("fulmarlink_key_slots_taken_over_total{memory=\"lost\"}"));
}

const std::vector<std::string> &World::violations() const
{
    return m_violations;
}

const std::vector<std::string> &World::history() const
{
    return m_history;
}

} // namespace fulmarlink::testing
