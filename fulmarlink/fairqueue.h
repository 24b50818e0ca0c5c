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
 * The agent's queue before its engine: fair between customers in tokens, weighted
 * between priorities, bounded in length and in time.
 *
 * Algorithm: start-time fair queueing by virtual time. Each class and, within it,
 * each customer has a virtual start time that advances by tokens/weight when one of
 * its requests is taken; the least goes first. A class that was idle starts at the
 * current virtual time, so it can't save up. Low priorities get a small share and
 * never starve.
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

    /** False if the queue is full. */
    bool push(Item item);
    std::optional<Item> pop();
    /** Removes and gives all items whose time has run out. */
    std::vector<Item> expire(TimePoint now);
    bool remove(const DispatchId &id);
    std::vector<Item> clear();

    std::size_t size() const;
    std::uint64_t tokens() const;
    /** Tokens queued by @p customer over all priorities. */
    std::uint64_t tokensOf(std::string_view customer) const;
    std::size_t customers() const;

private:
    struct Flow {
        std::deque<Item> items;
        double start = 0; ///< virtual time at which its next item may go
    };
    struct Class {
        std::map<std::string, Flow> flows; ///< only customers with queued items
        double start = 0;
        double virtualTime = 0; ///< of the flows
    };

    template<typename Predicate>
    std::vector<Item> removeIf(Predicate predicate);

    std::array<Class, kPriorities> m_classes;
    double m_virtualTime = 0; ///< of the classes
    std::size_t m_size = 0;
    std::uint64_t m_tokens = 0;
};

} // namespace fulmarlink
