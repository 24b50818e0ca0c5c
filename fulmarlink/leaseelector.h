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
     * A holder may act for so long after the beginning of its last renewal. A group whose owner has died or frozen has no map that fits until another
     * host takes over: 3 s instead of 1.8 s served 2 in 100 less on one site by 40 plays, and made no difference on two others.
     */
    Duration leaseDuration = std::chrono::milliseconds(1800);
    Duration renewInterval = std::chrono::milliseconds(540); ///< leaves room for a renewal that the store leaves unanswered for 0.7 s
    Duration takeoverTimeout
        = std::chrono::milliseconds(2220); ///< the others wait for so long without a renewal; longer than the term by the drift of any clock
    Duration acquireDelay{0}; ///< before it takes a lease that has lapsed or was left, so that hosts fit for the work come first
};

/**
 * Decides when to renew, take or leave a lease that is kept by conditional writes.
 *
 * The holder's right ends by its own clock before anybody else may take the lease. A
 * paused holder can still send one order after it wakes: what it holds the lease for must
 * bear that.
 *
 * Contract: pure; not thread-safe.
 */
class LeaseElector
{
public:
    enum class Step : std::uint8_t {
        Wait,
        Write, ///< write the record that nextRecord() gives
        Read, ///< what the store holds now
        Poll, ///< a cheap read, to see whether the holder renews
    };

    explicit LeaseElector(LeaseOptions options);

    Step step(TimePoint now) const;
    LeaseRecord nextRecord() const;
    void handleRead(const LeaseRead &read, TimePoint now);
    /** @p began is when the write was sent. */
    void handleWrite(const LeaseRead &written, TimePoint began, TimePoint now);
    /** What the next records say of ranks that are slow; a change is written at once. */
    void setSlowTargets(std::vector<std::string> ids);
    /** What to write so that others may take over at once. */
    LeaseRecord releasedRecord() const;

    /** The holder can't do its work: it leaves the lease and does not take it again before @p until. */
    void standDown(TimePoint until);
    void setAcquireDelay(Duration acquireDelay);
    bool holds(TimePoint now) const;
    /** Unique to this term of holding; rises from holder to holder. */
    std::uint64_t termId() const;
    const LeaseRecord &record() const;

private:
    LeaseOptions m_options;
    LeaseRecord m_seen; ///< the newest record known
    TimePoint m_seenChanged{}; ///< when it was first seen
    bool m_known = false; ///< m_seen is from a read
    bool m_holding = false;
    std::optional<std::vector<std::string>> m_slowTargets; ///< what this holder knows; nothing: what the record says
    std::uint64_t m_term = 0;
    TimePoint m_renewed{}; ///< beginning of the last renewal that was confirmed
    TimePoint m_lastRead{};
    TimePoint m_yieldedUntil{};
};

} // namespace fulmarlink
