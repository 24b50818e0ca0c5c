#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

/** Why a request was dispatched again. Each has its own counter. */
enum class RetryReason : std::uint8_t {
    RunnerBusy, ///< the agent refused early; nothing was run
    RunnerLeaving, ///< the agent is draining
    LinkNeverSent, ///< the link broke before the dispatch was handed to it
    NeverArrived, ///< the agent proved that the dispatch never reached it
    IdempotentLost, ///< the outcome is unknown but the request is idempotent and no byte was given
    EngineRefused, ///< the engine refused before running
    Count,
};

std::string_view retryReasonName(RetryReason reason);

/**
 * The process's own counters.
 *
 * How to use: the fixed counters (one for each result code and each retry reason)
 * have functions of their own; others are registered once by name and added to by
 * the returned id. Names follow the usual convention: fulmarlink_<what>_total.
 *
 * Contract: add() takes no lock and is O(1); values are spread over kShards cache
 * lines and summed by the readers. At most kMaxCounters counters exist; a name
 * registered twice gives the same id.
 */
class Counters
{
public:
    using Id = std::uint16_t;
    static constexpr std::size_t kMaxCounters = 384;
    static constexpr std::size_t kShards = 8;

    Counters();

    /** Registers @p name, which may carry labels as name{label="value"}. Thread-safe. */
    Id registerCounter(std::string_view name);
    void add(Id id, std::uint64_t amount = 1);
    /** For values that go up and down, for example requests in progress. */
    void set(Id id, std::uint64_t value);
    void countResult(ResultCode code);
    void countRetry(RetryReason reason);

    std::uint64_t value(Id id) const;
    std::uint64_t result(ResultCode code) const;
    std::uint64_t retries(RetryReason reason) const;
    /** All counters in the Prometheus text format, sorted by name. */
    std::string text() const;
    /** All counters as one JSON object. */
    std::string json() const;
    /** The names of all counters, sorted. */
    std::vector<std::string> names() const;

private:
    struct alignas(64) Shard {
        std::array<std::atomic<std::uint64_t>, kMaxCounters> values{};
    };

    std::vector<std::pair<std::string, Id>> sorted() const;

    std::array<Shard, kShards> m_shards;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_names;
    std::vector<std::pair<ResultCode, Id>> m_resultIds;
    Id m_firstRetry = 0;
};

} // namespace fulmarlink
