#include "testing/harness/world.h"

#include <algorithm>
#include <stdexcept>

namespace fulmarlink::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration kTick = 20ms;
constexpr Duration kListPoll = 200ms;
constexpr Duration kStoreRetry = 300ms;
constexpr Duration kLeavingGrace = 3s;
constexpr Duration kDeadlineSlack = 100ms;
constexpr const char *kRules = "rules";
constexpr const char *kKeyHomes = "key-homes";

std::pair<NodeId, NodeId> ordered(NodeId a, NodeId b)
{
    return {std::min(a, b), std::max(a, b)};
}

std::string headerOf(const wire::DispatchT &dispatch, std::string_view name)
{
    for (const auto &header : dispatch.headers) {
        if (header->name == name) {
            return header->value;
        }
    }
    return {};
}

} // namespace

struct World::Node {
    virtual ~Node() = default;
    HostInfo host;
    NodeId id = 0;
    std::uint64_t incarnation = 0;
    bool up = false;
    bool draining = false;
    TimePoint drainedAt{};
    TimePoint pausedUntil{};
    std::vector<Scheduled> waiting; ///< came while paused
    std::unique_ptr<Counters> counters;
};

class World::Homes final : public KeyHomes
{
public:
    std::pair<NodeId, std::uint64_t> homeOf(const KeyHash &key) const override
    {
        return ledger->homeOf(key);
    }

    KeyLedger *ledger = nullptr;
};

struct World::EntryNode : World::Node {
    std::unique_ptr<RunnerDirectory> directory;
    std::unique_ptr<RetryBudget> budget;
    std::unique_ptr<KeyLedger> ledger;
    Homes homes;
    std::unique_ptr<EntryCore> core;
    std::unique_ptr<DocumentSpread> spread;
    std::shared_ptr<const RuleSet> rules;
    std::uint64_t rulesVersion = 0;
    std::map<RequestId, std::string> requests;
    std::map<NodeId, bool> opening;
    bool reading = false;
    TimePoint nextRead{};
};

struct World::RunnerNode : World::Node {
    std::unique_ptr<AgentCore> core;
    unsigned concurrency = 1;
    std::map<std::uint64_t, std::shared_ptr<EngineJob>> jobs; ///< by dispatch sequence and entry, mixed
    bool refusing = false;
    bool stalled = false;
    unsigned breakAfter = 0;
};

struct World::LinkState {
    NodeId from = 0; ///< the opener, an entry
    NodeId to = 0;
    std::uint64_t fromIncarnation = 0;
    std::uint64_t toIncarnation = 0;
    std::uint64_t epoch = 0;
    bool open = false;
    TimePoint lastArrival[2] = {}; ///< in order unless reordering is on
};

struct World::EngineJob {
    DispatchId id;
    std::uint64_t agent = 0; ///< incarnation of the agent that started it
    std::shared_ptr<const wire::DispatchT> request;
    unsigned next = 0;
    bool committed = false;
    bool headSent = false;
    bool cancelled = false;
    bool blocked = false;
};

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

void World::watchStore(EntryNode &entry, const std::string &document)
{
    // A read every kStoreRetry stands for a watch; only watchers and nodes without the document read.
    atNode(m_now + m_storeDelay, entry, [this, &entry, document] {
        const auto it = m_store.find(document);
        const bool reads = entry.spread->isWatcher() || entry.spread->document(document).version == 0;
        if (!m_storeDown && reads && it != m_store.end()) {
            const auto [version, text] = it->second;
            useDocument(entry, document, version, text);
        }
        atNode(m_now + kStoreRetry, entry, [this, &entry, document] {
            watchStore(entry, document);
        });
    });
}

void World::useDocument(EntryNode &entry, const std::string &name, std::uint64_t version, const std::string &text)
{
    const bool changed = entry.spread->offer(m_now, name, version, text);
    performSpread(entry);
    if (changed) {
        if (name == kKeyHomes) {
            SlotTable table;
            if (!table.parse(text, version)) {
                entry.ledger->setTable(m_now, table);
            }
            return;
        }
        FileErrors errors;
        const auto parsed = RuleSet::parse(text, "rules", errors);
        if (version < entry.rulesVersion) {
            violate(entry.host.name + " went from rules version " + std::to_string(entry.rulesVersion) + " to " + std::to_string(version));
        }
        if (parsed) {
            entry.rules = parsed;
            entry.rulesVersion = version;
        }
    }
}

void World::updateTable(EntryNode &entry)
{
    if (const auto update = entry.ledger->takeUpdate(m_now)) {
        const Duration delay = m_storeDelay;
        at(m_now + delay, [this, name = entry.host.name, incarnation = entry.incarnation, wanted = *update] {
            bool lost = m_storeDown;
            bool written = false;
            auto &object = m_store[kKeyHomes];
            if (!m_storeDown && object.first == wanted.expectedVersion) {
                object = {object.first + 1, wanted.text};
                ++m_storeWrites;
                written = true;
                if (m_lostAnswers > 0) {
                    --m_lostAnswers;
                    lost = true;
                }
            }
            Node *node = find(name);
            if (!node->up || node->incarnation != incarnation) {
                return;
            }
            const std::uint64_t version = object.first;
            atNode(m_now + latency(), *node, [this, node, written, lost, version, text = wanted.text] {
                auto &self = static_cast<EntryNode &>(*node);
                self.ledger->updateFinished();
                self.nextRead = TimePoint{};
                if (written && !lost) {
                    SlotTable table;
                    if (!table.parse(text, version)) {
                        self.ledger->setTable(m_now, table);
                    }
                    useDocument(self, kKeyHomes, version, text);
                }
            });
        });
    }
    if (entry.ledger->wantsTable() && !entry.reading && m_now >= entry.nextRead) {
        entry.reading = true;
        entry.nextRead = m_now + kStoreRetry;
        readTable(entry);
    }
}

void World::readTable(EntryNode &entry)
{
    atNode(m_now + m_storeDelay + latency(), entry, [this, &entry] {
        entry.reading = false;
        if (m_storeDown) {
            return;
        }
        const auto it = m_store.find(kKeyHomes);
        SlotTable table;
        if (it != m_store.end() && it->second.first != 0 && table.parse(it->second.second, it->second.first)) {
            return;
        }
        entry.ledger->setTable(m_now, table);
        if (it != m_store.end() && it->second.first != 0) {
            useDocument(entry, kKeyHomes, it->second.first, it->second.second);
        }
    });
}

void World::performSpread(EntryNode &entry)
{
    for (const Envelope &envelope : entry.spread->takeMessages()) {
        send(entry, envelope.to, envelope.message);
    }
}

void World::performLedger(EntryNode &entry)
{
    for (const Envelope &envelope : entry.ledger->takeMessages()) {
        send(entry, envelope.to, envelope.message);
    }
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

void World::openLink(EntryNode &from, NodeId to)
{
    if (const auto link = linkBetween(from.id, to); link && link->from == from.id) {
        atNode(m_now, from, [this, &from, to] {
            from.core->linkUp(m_now, to);
            performEntry(from);
        });
        return;
    }
    if (from.opening[to]) {
        return;
    }
    from.opening[to] = true;
    const auto link = std::make_shared<LinkState>();
    link->from = from.id;
    link->to = to;
    link->fromIncarnation = from.incarnation;
    link->epoch = m_nextEpoch++;
    at(m_now + latency(), [this, link, &from] {
        Node *target = find(link->to);
        const auto fail = [this, &from, link] {
            atNode(m_now + latency(), from, [this, &from, link] {
                from.opening[link->to] = false;
                from.core->linkFailed(m_now, link->to);
                performEntry(from);
            });
        };
        if (target == nullptr || !target->up || isCut(link->from, link->to)) {
            fail();
            return;
        }
        atNode(m_now, *target, [this, link, target, &from, fail] {
            link->toIncarnation = target->incarnation;
            if (auto *agent = dynamic_cast<RunnerNode *>(target)) {
                if (!agent->core->linkUp(m_now, {link->from, link->fromIncarnation, link->epoch})) {
                    fail();
                    return;
                }
            }
            if (!from.up || from.incarnation != link->fromIncarnation) {
                return;
            }
            const bool leaving = target->draining;
            atNode(m_now + latency(), from, [this, link, &from, leaving] {
                from.opening[link->to] = false;
                link->open = true;
                m_links.push_back(link);
                from.directory->linkUp(m_now, link->to, link->toIncarnation, leaving);
                from.core->linkUp(m_now, link->to);
                performEntry(from);
            });
        });
    });
}

std::shared_ptr<World::LinkState> World::linkBetween(NodeId a, NodeId b)
{
    for (auto it = m_links.rbegin(); it != m_links.rend(); ++it) {
        const LinkState &link = **it;
        if (link.open && ((link.from == a && link.to == b) || (link.from == b && link.to == a))) {
            return *it;
        }
    }
    return nullptr;
}

void World::send(Node &from, NodeId to, const Message &message)
{
    if (to == from.id) {
        atNode(m_now, from, [this, &from, message] {
            receiveEntry(static_cast<EntryNode &>(from), from.id, message);
        });
        return;
    }
    auto link = linkBetween(from.id, to);
    if (!link) {
        // Between entries a link opens by itself and the message waits for it; the fake just takes longer.
        auto *entry = dynamic_cast<EntryNode *>(&from);
        Node *target = find(to);
        if (entry == nullptr || target == nullptr || dynamic_cast<EntryNode *>(target) == nullptr || !target->up) {
            return;
        }
        link = std::make_shared<LinkState>();
        link->from = from.id;
        link->to = to;
        link->fromIncarnation = from.incarnation;
        link->toIncarnation = target->incarnation;
        link->epoch = m_nextEpoch++;
        link->open = true;
        m_links.push_back(link);
    }
    const bool forward = link->from == from.id;
    const auto roll = [this] {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    };
    if (roll() < m_drops) {
        note("lost: a message from " + from.host.name);
        return;
    }
    const unsigned copies = roll() < m_duplicates ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
        TimePoint arrival = m_now + latency();
        if (m_reorder.count() > 0) {
            arrival += Duration(std::uniform_int_distribution<std::int64_t>(0, m_reorder.count())(m_random));
        } else {
            arrival = std::max(arrival, link->lastArrival[forward ? 1 : 0]);
            link->lastArrival[forward ? 1 : 0] = arrival;
        }
        at(arrival, [this, link, forward, message] {
            deliver(link, forward, message);
        });
    }
}

void World::deliver(const std::shared_ptr<LinkState> &link, bool forward, const Message &message)
{
    const auto it = m_cuts.find(ordered(link->from, link->to));
    if (it != m_cuts.end() && m_now < it->second) {
        at(it->second + latency(), [this, link, forward, message] {
            deliver(link, forward, message);
        });
        return;
    }
    Node *target = find(forward ? link->to : link->from);
    const std::uint64_t incarnation = forward ? link->toIncarnation : link->fromIncarnation;
    if (target == nullptr || !target->up || target->incarnation != incarnation) {
        return;
    }
    const NodeId sender = forward ? link->from : link->to;
    atNode(m_now, *target, [this, link, target, sender, message] {
        if (auto *agent = dynamic_cast<RunnerNode *>(target)) {
            agent->core->receive(m_now, {link->from, link->fromIncarnation, link->epoch}, message);
            performRunner(*agent);
            return;
        }
        receiveEntry(static_cast<EntryNode &>(*target), sender, message);
    });
}

void World::receiveEntry(EntryNode &entry, NodeId from, const Message &message)
{
    entry.core->receive(m_now, from, message);
    performEntry(entry);
    std::visit(Overloaded{
                   [&](const wire::PermitRequestT &request) {
                       entry.ledger->request(m_now, from, request);
                   },
                   [&](const wire::PermitOutcomeT &outcome) {
                       entry.ledger->outcome(m_now, outcome);
                   },
                   [&](const wire::SlotHandoverT &handover) {
                       entry.ledger->handover(m_now, from, handover);
                   },
                   [&](const wire::SlotHandoverDoneT &done) {
                       entry.ledger->handoverDone(m_now, from, done);
                   },
                   [&](const wire::DocumentReplyT &reply) {
                       useDocument(entry, reply.document, reply.version, reply.text);
                   },
                   [&](const auto & /*other*/) {
                       entry.spread->receive(m_now, from, message);
                   },
               },
               message);
    performLedger(entry);
    performSpread(entry);
}

void World::linkBroken(LinkState &link)
{
    link.open = false;
    Node *from = find(link.from);
    Node *to = find(link.to);
    if (auto *entry = dynamic_cast<EntryNode *>(from); entry != nullptr && entry->up && entry->incarnation == link.fromIncarnation) {
        atNode(m_now + latency(), *entry, [this, entry, node = link.to] {
            if (!linkBetween(entry->id, node)) {
                entry->directory->linkDown(node);
            }
            entry->core->linkDown(m_now, node);
            performEntry(*entry);
        });
    }
    if (auto *agent = dynamic_cast<RunnerNode *>(to); agent != nullptr && agent->up && agent->incarnation == link.toIncarnation) {
        const LinkRef ref{link.from, link.fromIncarnation, link.epoch};
        atNode(m_now + latency(), *agent, [this, agent, ref] {
            agent->core->linkDown(m_now, ref);
            performRunner(*agent);
        });
    }
}

void World::breakLink(const std::string &a, const std::string &b)
{
    note("break " + a + " - " + b);
    const NodeId first = nodeId(a);
    const NodeId second = nodeId(b);
    for (const auto &link : m_links) {
        if (link->open && ordered(link->from, link->to) == ordered(first, second)) {
            linkBroken(*link);
        }
    }
    std::erase_if(m_links, [](const auto &link) {
        return !link->open;
    });
}

void World::cut(const std::string &a, const std::string &b, Duration time)
{
    note("cut " + a + " - " + b);
    m_cuts[ordered(nodeId(a), nodeId(b))] = m_now + time;
}

bool World::isCut(NodeId a, NodeId b) const
{
    const auto it = m_cuts.find(ordered(a, b));
    return it != m_cuts.end() && m_now < it->second;
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

void World::callerLeaves(const std::string &id)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end() || it->second.finished) {
        return;
    }
    it->second.left = true;
    EntryNode *target = entry(it->second.entry);
    for (const auto &[number, name] : target->requests) {
        if (name != id) {
            continue;
        }
        atNode(m_now, *target, [this, target, leaving = number] {
            target->core->callerGone(m_now, leaving);
            performEntry(*target);
        });
        return;
    }
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

std::string World::answerOf(const std::string &serial) const
{
    std::string answer;
    for (unsigned i = 0; i < m_chunks; ++i) {
        answer += serial + ':' + std::to_string(i) + ';';
    }
    return answer;
}

void World::performRunner(RunnerNode &runner)
{
    for (const AgentAction &action : runner.core->takeActions()) {
        std::visit(Overloaded{
                       [&](const Envelope &envelope) {
                           send(runner, envelope.to, envelope.message);
                       },
                       [&](const StartEngineAction &start) {
                           startEngine(runner, start);
                       },
                       [&](const CancelEngineAction &cancel) {
                           const auto it = runner.jobs.find(DispatchIdHash()(cancel.id));
                           if (it != runner.jobs.end()) {
                               it->second->cancelled = true;
                           }
                       },
                       [&](const ResumeEngineAction &resume) {
                           const auto it = runner.jobs.find(DispatchIdHash()(resume.id));
                           if (it != runner.jobs.end() && it->second->blocked) {
                               it->second->blocked = false;
                               engineStep(runner, it->second);
                           }
                       },
                   },
                   action);
    }
}

void World::startEngine(RunnerNode &runner, const StartEngineAction &action)
{
    if (runner.draining && m_now > runner.drainedAt + kLeavingGrace) {
        violate(runner.host.name + " takes new work " + std::to_string((m_now - runner.drainedAt).count()) + " us after it began to leave");
    }
    auto job = std::make_shared<EngineJob>();
    job->id = action.id;
    job->agent = runner.incarnation;
    job->request = action.request;
    runner.jobs[DispatchIdHash()(action.id)] = job;
    atNode(m_now + latency(), runner, [this, &runner, job] {
        if (job->cancelled || runner.refusing) {
            runner.core->engineFailed(m_now, job->id, job->cancelled ? ResultCode::CancelledBeforeRun : ResultCode::EngineUnreachable, true);
            performRunner(runner);
            return;
        }
        runner.core->engineCommitted(m_now, job->id);
        job->committed = true;
        // From here the engine has it, whatever becomes of the agent.
        const std::string serial = headerOf(*job->request, "serial");
        m_executions.push_back({serial, headerOf(*job->request, "attempt"), runner.host.name});
        ++m_executionCount[serial];
        note(runner.host.name + " runs " + serial);
        const bool single = !job->request->idempotent;
        if (single && m_executionCount[serial] > 1) {
            violate(serial + " ran " + std::to_string(m_executionCount[serial]) + " times");
        }
        performRunner(runner);
        atNode(m_now + m_firstByte, runner, [this, &runner, job] {
            engineStep(runner, job);
        });
    });
}

void World::engineStep(RunnerNode &runner, const std::shared_ptr<EngineJob> &job)
{
    if (runner.stalled && !job->cancelled) {
        atNode(m_now + kTick, runner, [this, &runner, job] {
            engineStep(runner, job);
        });
        return;
    }
    if (job->cancelled || (runner.breakAfter != 0 && job->next >= runner.breakAfter)) {
        runner.core->engineFailed(m_now, job->id, job->cancelled ? ResultCode::CallerGone : ResultCode::EngineBroke, false);
        performRunner(runner);
        return;
    }
    const std::string serial = headerOf(*job->request, "serial");
    if (!job->headSent) {
        job->headSent = true;
        runner.core->engineHead(m_now, job->id, 200, {{"serial", serial}});
    }
    if (job->next == m_chunks) {
        runner.core->engineEnd(m_now, job->id);
        performRunner(runner);
        return;
    }
    const std::string data = serial + ':' + std::to_string(job->next++) + ';';
    job->blocked = !runner.core->engineData(m_now, job->id, std::span(reinterpret_cast<const std::uint8_t *>(data.data()), data.size()));
    performRunner(runner);
    if (!job->blocked) {
        atNode(m_now + m_interval, runner, [this, &runner, job] {
            engineStep(runner, job);
        });
    }
}

void World::kill(const std::string &name)
{
    Node *node = find(name);
    if (node == nullptr || !node->up) {
        return;
    }
    note("kill " + name);
    node->up = false;
    for (const auto &link : m_links) {
        if (link->open && (link->from == node->id || link->to == node->id)) {
            linkBroken(*link);
        }
    }
    std::erase_if(m_links, [](const auto &link) {
        return !link->open;
    });
    for (auto &[id, attempt] : m_attempts) {
        if (attempt.entry == name && !attempt.finished) {
            attempt.entryDied = true;
        }
    }
}

void World::restart(const std::string &name)
{
    Node *node = find(name);
    if (node == nullptr) {
        return;
    }
    kill(name);
    note("restart " + name);
    if (auto *asEntry = dynamic_cast<EntryNode *>(node)) {
        startEntry(*asEntry);
    } else {
        auto &asRunner = static_cast<RunnerNode &>(*node);
        asRunner.jobs.clear();
        startRunner(asRunner);
    }
}

void World::pause(const std::string &name, Duration time)
{
    Node *node = find(name);
    if (node == nullptr || !node->up) {
        return;
    }
    note("pause " + name);
    node->pausedUntil = std::max(node->pausedUntil, m_now + time);
    at(node->pausedUntil, [this, node] {
        if (m_now < node->pausedUntil) {
            return;
        }
        std::vector<Scheduled> waiting = std::exchange(node->waiting, {});
        for (Scheduled &scheduled : waiting) {
            fire(std::move(scheduled));
        }
    });
}

void World::drain(const std::string &name)
{
    Node *node = find(name);
    if (node == nullptr || !node->up || node->draining) {
        return;
    }
    note("drain " + name);
    node->draining = true;
    node->drainedAt = m_now;
    atNode(m_now, *node, [this, node] {
        if (auto *asRunner = dynamic_cast<RunnerNode *>(node)) {
            asRunner->core->startDrain(m_now);
            performRunner(*asRunner);
        } else {
            static_cast<EntryNode &>(*node).ledger->startDrain(m_now);
        }
    });
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

void World::unlist(const std::string &name)
{
    note("unlist " + name);
    // The list drops only hosts that are gone.
    kill(name);
    m_listed.erase(name);
    publishList();
}

void World::list(const std::string &name)
{
    note("list " + name);
    m_listed[name] = find(name)->host;
    publishList();
}

void World::markLeaving(const std::string &name)
{
    note("leaving " + name);
    const auto it = m_listed.find(name);
    if (it != m_listed.end()) {
        it->second.leaving = true;
    }
    publishList();
}

void World::publishList()
{
    for (auto &[name, node] : m_nodes) {
        if (auto *asEntry = dynamic_cast<EntryNode *>(node.get()); asEntry != nullptr && asEntry->up) {
            const Duration lag(std::uniform_int_distribution<std::int64_t>(0, m_options.listLag.count())(m_random));
            atNode(m_now + lag, *asEntry, [this, asEntry] {
                refreshList(*asEntry);
            });
        }
    }
}

void World::refreshList(EntryNode &entry)
{
    std::vector<HostInfo> hosts;
    std::vector<NodeId> entries;
    std::vector<std::string> live;
    std::vector<std::string> listed;
    for (const auto &[name, host] : m_listed) {
        hosts.push_back(host);
        if (host.role != "entry") {
            continue;
        }
        entries.push_back(nodeId(name));
        listed.push_back(name);
        if (!host.leaving) {
            live.push_back(name);
        }
    }
    entry.directory->setHosts(m_now, hosts);
    entry.ledger->setEntries(m_now, live, listed);
    entry.spread->setPeers(entries);
}

void World::setStoreDown(bool down)
{
    note(down ? "store down" : "store up");
    m_storeDown = down;
}

void World::setStoreDelay(Duration delay)
{
    m_storeDelay = delay;
}

void World::loseStoreAnswers(unsigned count)
{
    note("store loses answers");
    m_lostAnswers = count;
}

void World::setDuplicates(double share)
{
    m_duplicates = share;
}

void World::setDrops(double share)
{
    m_drops = share;
}

void World::setReorder(Duration spread)
{
    m_reorder = spread;
}

void World::setEngineRefusing(const std::string &name, bool refusing)
{
    runner(name)->refusing = refusing;
}

void World::setEngineBreakAfter(const std::string &name, unsigned chunks)
{
    runner(name)->breakAfter = chunks;
}

void World::setEngineStalled(const std::string &name, bool stalled)
{
    runner(name)->stalled = stalled;
}

void World::setEngineShape(Duration firstByte, unsigned chunks, Duration interval)
{
    m_firstByte = firstByte;
    m_chunks = chunks;
    m_interval = interval;
}

std::error_code World::apply(const std::string &text, std::uint64_t expected)
{
    if (m_storeDown) {
        return ResultCode::StoreUnavailable;
    }
    auto &object = m_store[kRules];
    if (object.first != expected) {
        return ResultCode::VersionConflict;
    }
    object = {expected + 1, text};
    ++m_storeWrites;
    note("rules version " + std::to_string(expected + 1) + " applied");
    return {};
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

Duration World::latency()
{
    return 500us + Duration(std::uniform_int_distribution<std::int64_t>(0, 1000)(m_random));
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
