#include "fulmarlink/fairqueue.h"

#include <algorithm>
#include <set>

namespace fulmarlink
{

bool FairQueue::push(Item item)
{
    if (m_size >= kMaxQueued) {
        return false;
    }
    Class &queueClass = m_classes.at(static_cast<std::size_t>(item.priority));
    if (queueClass.flows.empty()) {
        queueClass.start = std::max(queueClass.start, m_virtualTime);
    }
    const auto [it, isNew] = queueClass.flows.try_emplace(item.customer);
    if (isNew) {
        it->second.start = queueClass.virtualTime;
    }
    ++m_size;
    m_tokens += item.tokens;
    it->second.items.push_back(std::move(item));
    return true;
}

std::optional<FairQueue::Item> FairQueue::pop()
{
    Class *best = nullptr;
    std::size_t bestIndex = 0;
    for (std::size_t i = 0; i < m_classes.size(); ++i) {
        Class &queueClass = m_classes[i];
        if (queueClass.flows.empty() || (best != nullptr && best->start <= queueClass.start)) {
            continue;
        }
        best = &queueClass;
        bestIndex = i;
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const auto it = std::ranges::min_element(best->flows, {}, [](const auto &item) {
        return item.second.start;
    });
    Flow &flow = it->second;
    Item item = std::move(flow.items.front());
    flow.items.pop_front();
    m_virtualTime = std::max(m_virtualTime, best->start);
    best->start += item.tokens / kWeights.at(bestIndex);
    best->virtualTime = std::max(best->virtualTime, flow.start);
    flow.start += item.tokens;
    if (flow.items.empty()) {
        best->flows.erase(it);
    }
    --m_size;
    m_tokens -= item.tokens;
    return item;
}

template<typename Predicate>
std::vector<FairQueue::Item> FairQueue::removeIf(Predicate predicate)
{
    std::vector<Item> removed;
    for (Class &queueClass : m_classes) {
        for (auto &[customer, flow] : queueClass.flows) {
            std::erase_if(flow.items, [&](Item &item) {
                if (!predicate(item)) {
                    return false;
                }
                m_tokens -= item.tokens;
                --m_size;
                removed.push_back(std::move(item));
                return true;
            });
        }
        std::erase_if(queueClass.flows, [](const auto &flow) {
            return flow.second.items.empty();
        });
    }
    return removed;
}

std::vector<FairQueue::Item> FairQueue::expire(TimePoint now)
{
    return removeIf([now](const Item &item) {
        return item.expires <= now;
    });
}

bool FairQueue::remove(const DispatchId &id)
{
    return !removeIf([&](const Item &item) {
                return item.id == id;
            }).empty();
}

std::vector<FairQueue::Item> FairQueue::clear()
{
    return removeIf([](const Item & /*item*/) {
        return true;
    });
}

std::size_t FairQueue::size() const
{
    return m_size;
}

std::uint64_t FairQueue::tokens() const
{
    return m_tokens;
}

std::uint64_t FairQueue::tokensOf(std::string_view customer) const
{
    std::uint64_t sum = 0;
    for (const Class &queueClass : m_classes) {
        const auto it = queueClass.flows.find(std::string(customer));
        if (it == queueClass.flows.end()) {
            continue;
        }
        for (const Item &item : it->second.items) {
            sum += item.tokens;
        }
    }
    return sum;
}

std::size_t FairQueue::customers() const
{
    std::set<std::string_view> names;
    for (const Class &queueClass : m_classes) {
        for (const auto &[customer, flow] : queueClass.flows) {
            names.insert(customer);
        }
    }
    return names.size();
}

} // namespace fulmarlink
