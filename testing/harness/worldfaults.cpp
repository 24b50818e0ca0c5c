// World: what can happen to it, faults and operators' doings.

#include <algorithm>
#include <stdexcept>

#include "testing/harness/worldnodes.h"

namespace fulmarlink::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr const char *kRules = "rules";

} // namespace

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

std::error_code World::create(const std::string &key)
{
    if (m_storeDown) {
        return ResultCode::StoreUnavailable;
    }
    ++m_storeWrites;
    return m_store.try_emplace(key, 1, std::string()).second ? std::error_code() : make_error_code(ResultCode::VersionConflict);
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

} // namespace fulmarlink::testing
