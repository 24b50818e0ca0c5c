#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/message.h"
#include "fulmarlink/requestinfo.h"

namespace fulmarlink
{

/**
 * The agent's queue in front of its engine. It shares the engine fairly between customers by
 * tokens, weights the priorities, and bounds the queue's length and the time spent in it.
 *
 * Algorithm: start-time fair queueing by virtual time. Each priority class, and each customer
 * within it, has a virtual start time that advances by tokens / weight when one of its requests is
 * taken; the lowest start time goes first. A class that was idle starts at the current virtual
 * time, so it can't accumulate credit. Low priorities get a small share and never starve.
 *
 * Contract: push() and pop() cost O(log customers). At most kMaxQueued items.
 */
class FairQueue
{
public:
    static constexpr std::size_t kMaxQueued = 1024;
    static constexpr std::array<double, kPriorities> kWeights = {16, 4, 1};

    struct Item {
        DispatchId id;
        std::string customer;
        std::uint32_t tokens = 1;
        Priority priority = Priority::Normal;
        TimePoint expires{};
    };

    /** Returns false if the queue is full. */
    bool push(Item item);
    std::optional<Item> pop();
    /** Removes and returns all items that have expired. */
    std::vector<Item> expire(TimePoint now);
    /** Returns false if no item has this id. */
    bool remove(const DispatchId &id);
    /** Removes and returns all items. */
    std::vector<Item> clear();

    std::size_t size() const;
    std::uint64_t tokens() const;
    /** Tokens queued by @p customer in all priorities. */
    std::uint64_t tokensOf(std::string_view customer) const;
    /** The number of customers with queued items. */
    std::size_t customers() const;

private:
    struct Flow {
        std::deque<Item> items;
        double start = 0; ///< virtual start time of its next item
    };
    struct Class {
        std::map<std::string, Flow> flows; ///< only customers with queued items
        double start = 0; ///< virtual start time of its next item
        double virtualTime = 0; ///< of its flows
    };

    template<typename Predicate>
    std::vector<Item> removeIf(Predicate predicate);

    std::array<Class, kPriorities> m_classes;
    double m_virtualTime = 0; ///< of the priority classes
    std::size_t m_size = 0;
    std::uint64_t m_tokens = 0;
};

} // namespace fulmarlink
