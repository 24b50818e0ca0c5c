#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/platform.h"

namespace fulmarlink
{

struct LeaseOptions {
    std::string self;
    /**
     * How long a holder may act after the start of its last successful renewal. While a holder is dead or frozen, its group's map does not follow the
     * demand until another host takes over, so a longer duration can reduce the number of requests served.
     */
    Duration leaseDuration = std::chrono::milliseconds(1800);
    Duration renewInterval = std::chrono::milliseconds(540); ///< leaves time for a renewal that the store does not answer for 0.7 s
    Duration takeoverTimeout
        = std::chrono::milliseconds(2220); ///< others take over after this time without a renewal; exceeds leaseDuration by more than any clock drift
    Duration acquireDelay{0}; ///< extra wait before an expired or released lease is acquired, so that better suited hosts come first
};

/**
 * Decides when to acquire, renew, read or give up a lease that is stored by conditional writes.
 *
 * A holder's lease expires by its own clock before another host may acquire it. A process
 * that is suspended while it holds the lease can still send one order after it resumes; the
 * protected operation must tolerate that.
 *
 * Does no I/O: the caller carries out step() and passes the result to handleRead() or
 * handleWrite(). Not thread-safe.
 */
class LeaseElector
{
public:
    enum class Step : std::uint8_t {
        Wait,
        Write, ///< write nextRecord()
        Read, ///< read the current record
        Poll, ///< a cheap read that may be stale, to see whether the holder renews
    };

    explicit LeaseElector(LeaseOptions options);

    Step step(TimePoint now) const;
    LeaseRecord nextRecord() const;
    void handleRead(const LeaseRead &read, TimePoint now);
    /** @p sentAt is when the write was sent; the lease duration counts from there. */
    void handleWrite(const LeaseRead &written, TimePoint sentAt, TimePoint now);
    /** Sets the slow ranks for the records that this holder writes; a change is written at once. */
    void setSlowTargets(std::vector<std::string> ids);
    /** The record to write so that other hosts can acquire the lease at once. */
    LeaseRecord releasedRecord() const;

    /** Gives up the lease and does not acquire it again before @p until. For a holder that can't do its work. */
    void standDown(TimePoint until);
    void setAcquireDelay(Duration acquireDelay);
    bool holds(TimePoint now) const;
    /** Unique for each uninterrupted tenure; increases from holder to holder. */
    std::uint64_t termId() const;
    const LeaseRecord &record() const;

private:
    LeaseOptions m_options;
    LeaseRecord m_record; ///< newest known
    TimePoint m_recordChangedAt{}; ///< when m_record's revision was first seen
    bool m_recordKnown = false; ///< false: the stored record must be read first
    bool m_holding = false;
    std::optional<std::vector<std::string>> m_slowTargets; ///< set by this holder; unset: as in the record
    std::uint64_t m_termId = 0;
    TimePoint m_renewedAt{}; ///< start of the last confirmed renewal
    TimePoint m_lastReadAt{};
    TimePoint m_standDownUntil{};
};

} // namespace fulmarlink
