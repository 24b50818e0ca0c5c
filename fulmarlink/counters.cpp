#include "fulmarlink/counters.h"

#include <algorithm>
#include <boost/json.hpp>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace fulmarlink
{

namespace
{

std::size_t shardOfThisThread()
{
    thread_local const std::size_t shard = std::hash<std::thread::id>{}(std::this_thread::get_id()) % Counters::kShards;
    return shard;
}

} // namespace

std::string_view retryReasonName(RetryReason reason)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(RetryReason::Count)> kNames
        = {"runner-busy", "runner-leaving", "link-never-sent", "never-arrived", "idempotent-lost", "engine-refused"};
    return kNames.at(static_cast<std::size_t>(reason));
}

Counters::Counters()
{
    for (const ResultInfo &info : resultTable()) {
        const std::string name
            = "fulmarlink_results_total{code=\"" + std::to_string(static_cast<int>(info.code)) + "\",name=\"" + std::string(info.name) + "\"}";
        m_resultIds.emplace_back(info.code, registerCounter(name));
    }
    m_firstRetry = static_cast<Id>(m_names.size());
    for (std::size_t i = 0; i < static_cast<std::size_t>(RetryReason::Count); ++i) {
        registerCounter("fulmarlink_retries_total{reason=\"" + std::string(retryReasonName(static_cast<RetryReason>(i))) + "\"}");
    }
}

Counters::Id Counters::registerCounter(std::string_view name)
{
    const std::lock_guard lock(m_mutex);
    const auto it = std::ranges::find(m_names, name);
    if (it != m_names.end()) {
        return static_cast<Id>(it - m_names.begin());
    }
    if (m_names.size() == kMaxCounters) {
        throw std::length_error("too many counters");
    }
    m_names.emplace_back(name);
    return static_cast<Id>(m_names.size() - 1);
}

void Counters::add(Id id, std::uint64_t amount)
{
    m_shards[shardOfThisThread()].values[id].fetch_add(amount, std::memory_order_relaxed);
}

void Counters::set(Id id, std::uint64_t value)
{
    m_shards[0].values[id].store(value, std::memory_order_relaxed);
}

void Counters::countResult(ResultCode code)
{
    const auto it = std::ranges::lower_bound(m_resultIds, code, {}, &std::pair<ResultCode, Id>::first);
    add(it->second);
}

void Counters::countRetry(RetryReason reason)
{
    add(static_cast<Id>(m_firstRetry + static_cast<Id>(reason)));
}

std::uint64_t Counters::value(Id id) const
{
    std::uint64_t sum = 0;
    for (const Shard &shard : m_shards) {
        sum += shard.values[id].load(std::memory_order_relaxed);
    }
    return sum;
}

std::uint64_t Counters::result(ResultCode code) const
{
    return value(std::ranges::lower_bound(m_resultIds, code, {}, &std::pair<ResultCode, Id>::first)->second);
}

std::uint64_t Counters::retries(RetryReason reason) const
{
    return value(static_cast<Id>(m_firstRetry + static_cast<Id>(reason)));
}

std::vector<std::pair<std::string, Counters::Id>> Counters::sorted() const
{
    std::vector<std::pair<std::string, Id>> all;
    const std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < m_names.size(); ++i) {
        all.emplace_back(m_names[i], static_cast<Id>(i));
    }
    std::ranges::sort(all);
    return all;
}

std::string Counters::text() const
{
    std::ostringstream out;
    std::string family;
    for (const auto &[name, id] : sorted()) {
        const std::string thisFamily = name.substr(0, name.find('{'));
        if (thisFamily != family) {
            family = thisFamily;
            out << "# TYPE " << family << (family.ends_with("_total") ? " counter\n" : " gauge\n");
        }
        out << name << ' ' << value(id) << '\n';
    }
    return out.str();
}

std::string Counters::json() const
{
    boost::json::object object;
    for (const auto &[name, id] : sorted()) {
        object[name] = value(id);
    }
    return boost::json::serialize(object);
}

std::vector<std::string> Counters::names() const
{
    std::vector<std::string> result;
    for (const auto &[name, id] : sorted()) {
        result.push_back(name);
    }
    return result;
}

} // namespace fulmarlink
