#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fulmarlink/agentcore.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/documentspread.h"
#include "fulmarlink/entrycore.h"
#include "fulmarlink/keyledger.h"
#include "fulmarlink/retrybudget.h"
#include "fulmarlink/ruleset.h"
#include "fulmarlink/runnerdirectory.h"

namespace fulmarlink::testing
{

struct WorldOptions {
    std::uint64_t seed = 1;
    Duration keyRetention = std::chrono::minutes(10);
    Duration listLag = std::chrono::milliseconds(500);
    std::string rules;
    std::string picker = "reported_two";
};

/** What one caller asked at one entry, and what became of it. */
struct Attempt {
    std::string id;
    std::string serial; ///< equal for repeats of one request
    std::string entry;
    bool singleRun = false;
    TimePoint startedAt{};
    TimePoint deadline{};
    bool finished = false;
    bool entryDied = false;
    bool left = false; ///< the caller has gone
    ResultCode code = ResultCode::Ok;
    TimePoint finishedAt{};
    std::string data;
};

/** One request that an engine began to run. */
struct Execution {
    std::string serial;
    std::string attempt;
    std::string runner;
};

/**
 * A few entries, agents, engines, a store and a host list on a virtual clock: the real
 * decision code, small fakes at its interfaces, and faults by calls. It knows the
 * promises and records every violation, with the history of events that led there.
 *
 * Links are modelled as TCP: a message goes over one link, of two incarnations; a
 * broken link may still deliver what was on its way, late. Beyond TCP, messages on a
 * link can be duplicated, delayed, reordered and dropped.
 */
class World
{
public:
    explicit World(WorldOptions options);
    ~World();

    void addEntry(const std::string &name, const std::string &zone);
    void addRunner(const std::string &name, const std::string &pool, const std::string &zone, unsigned concurrency);

    /** Starts a request; @p key empty: none. */
    void
    request(const std::string &id, const std::string &serial, const std::string &entry, const std::string &path, const std::string &key, Duration deadline);
    void callerLeaves(const std::string &id);
    void kill(const std::string &node);
    /** A new incarnation with an empty memory; a living node is killed first. */
    void restart(const std::string &node);
    void pause(const std::string &node, Duration time);
    void drain(const std::string &node);
    void breakLink(const std::string &a, const std::string &b);
    /** Nothing passes between the two until the time is over; then what was sent arrives. */
    void cut(const std::string &a, const std::string &b, Duration time);
    void unlist(const std::string &node);
    void list(const std::string &node);
    void markLeaving(const std::string &node);
    void setStoreDown(bool down);
    void setStoreDelay(Duration delay);
    void loseStoreAnswers(unsigned count);
    void setDuplicates(double share);
    void setDrops(double share);
    void setReorder(Duration spread);
    void setEngineRefusing(const std::string &runner, bool refusing);
    void setEngineBreakAfter(const std::string &runner, unsigned chunks);
    void setEngineStalled(const std::string &runner, bool stalled);
    void setEngineShape(Duration firstByte, unsigned chunks, Duration interval);
    /** An operator writes rules against @p expected; gives the result at once if the store is up. */
    std::error_code apply(const std::string &text, std::uint64_t expected);

    /** Creates an object on the condition that it does not exist: the simplest way to at most once, for comparison. */
    std::error_code create(const std::string &key);

    void run(Duration time);
    TimePoint now() const;

    const std::map<std::string, Attempt> &attempts() const;
    const std::vector<Execution> &executions() const;
    unsigned executionsOf(const std::string &serial) const;
    std::uint64_t rulesVersion(const std::string &entry) const;
    std::uint64_t storeVersion(const std::string &key) const;
    std::uint64_t storeWrites() const;
    unsigned keySlots(const std::string &entry) const;
    bool alive(const std::string &node) const;
    bool drained(const std::string &node) const;
    std::uint64_t counter(const std::string &node, ResultCode code) const;
    /** Key slots that the entry took over without memory. */
    std::uint64_t lostTakeovers(const std::string &entry) const;
    /** Checks what can only be said at the end; call after all deadlines. */
    void checkEnd();
    const std::vector<std::string> &violations() const;
    const std::vector<std::string> &history() const;

private:
    struct Node;
    struct EntryNode;
    struct RunnerNode;
    struct LinkState;
    struct EngineJob;
    class Homes;

    using Event = std::function<void()>;
    struct Scheduled {
        std::string node; ///< empty: the world itself
        std::uint64_t incarnation = 0;
        Event event;
    };

    void at(TimePoint time, Event event);
    void atNode(TimePoint time, const Node &node, Event event);
    void fire(Scheduled scheduled);
    void startEntry(EntryNode &entry);
    void startRunner(RunnerNode &runner);
    void tickEntry(EntryNode &entry);
    void tickRunner(RunnerNode &runner);
    void watchStore(EntryNode &entry, const std::string &document);
    void performEntry(EntryNode &entry);
    void performRunner(RunnerNode &runner);
    void performLedger(EntryNode &entry);
    void performSpread(EntryNode &entry);
    void updateTable(EntryNode &entry);
    void readTable(EntryNode &entry);
    void useDocument(EntryNode &entry, const std::string &name, std::uint64_t version, const std::string &text);
    void openLink(EntryNode &from, NodeId to);
    void linkBroken(LinkState &link);
    void send(Node &from, NodeId to, const Message &message);
    void deliver(const std::shared_ptr<LinkState> &link, bool forward, const Message &message);
    void receiveEntry(EntryNode &entry, NodeId from, const Message &message);
    void deliverAnswer(EntryNode &entry, const DeliverAction &action);
    void finishAttempt(EntryNode &entry, const FinishAction &action);
    void startEngine(RunnerNode &runner, const StartEngineAction &action);
    void engineStep(RunnerNode &runner, const std::shared_ptr<EngineJob> &job);
    void publishList();
    void refreshList(EntryNode &entry);
    void note(const std::string &text);
    void violate(const std::string &text);
    Duration latency();
    bool isCut(NodeId a, NodeId b) const;
    std::string answerOf(const std::string &serial) const;
    Node *find(const std::string &name);
    const Node *find(const std::string &name) const;
    Node *find(NodeId id);
    EntryNode *entry(const std::string &name);
    RunnerNode *runner(const std::string &name);
    std::shared_ptr<LinkState> linkBetween(NodeId a, NodeId b);

    WorldOptions m_options;
    Random m_random;
    TimePoint m_now{};
    std::multimap<TimePoint, Scheduled> m_events;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::map<NodeId, Node *> m_byId;
    std::vector<std::shared_ptr<LinkState>> m_links;
    std::map<std::pair<NodeId, NodeId>, TimePoint> m_cuts;
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_store;
    std::map<std::string, HostInfo> m_listed;
    std::map<std::string, Attempt> m_attempts;
    std::vector<Execution> m_executions;
    std::map<std::string, unsigned> m_executionCount;
    std::vector<std::string> m_violations;
    std::vector<std::string> m_history;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_nextEpoch = 1;
    std::uint64_t m_storeWrites = 0;
    RequestId m_nextRequest = 1;
    bool m_storeDown = false;
    Duration m_storeDelay = std::chrono::milliseconds(3);
    unsigned m_lostAnswers = 0;
    double m_duplicates = 0;
    double m_drops = 0;
    Duration m_reorder{0};
    Duration m_firstByte = std::chrono::milliseconds(30);
    unsigned m_chunks = 4;
    Duration m_interval = std::chrono::milliseconds(10);
};

} // namespace fulmarlink::testing
