#pragma once

#include <string_view>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/counters.h"

namespace fulmarlink
{

/**
 * A latency histogram made of counters, in the usual text form: NAME_bucket{le="MS"},
 * NAME_sum and NAME_count, in milliseconds.
 *
 * Contract: thread-safe, O(buckets), takes no lock.
 */
class LatencyHistogram
{
public:
    LatencyHistogram(Counters &counters, std::string_view name);

    void observe(Duration value);

private:
    struct Bucket {
        Duration upTo{0};
        Counters::Id id = 0;
    };

    Counters &m_counters;
    std::vector<Bucket> m_buckets; ///< ascending
    Counters::Id m_infinite;
    Counters::Id m_sum;
    Counters::Id m_count;
};

} // namespace fulmarlink
