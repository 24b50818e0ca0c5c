#pragma once

#include <algorithm>
#include <utility>

#include "testing/harness/world.h"

namespace fulmarlink::testing
{

// The parts of a World. Internal to it.

/** The two ends of a link in an order that does not depend on who opened it. */
inline std::pair<NodeId, NodeId> ordered(NodeId a, NodeId b)
{
    return {std::min(a, b), std::max(a, b)};
}

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

} // namespace fulmarlink::testing
