#pragma once

#include <deque>
#include <optional>
#include <string_view>

#include "fulmarlink/clock.h"
#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

/** The state of a group and the properties of a request, as input to an admission decision. */
struct PoolLoad {
    unsigned runners = 0; ///< that can take requests
    double lowestLoad = 0; ///< load of the best runner, in requests per slot
    double events = 0; ///< expected number of events of the stream; 0: not a stream, or unknown
    Duration timeLeft{0}; ///< until the timeout of its caller or its route
};

struct GateDecision {
    bool admitted = true;
    ResultCode refusal = ResultCode::Ok;
    Duration retryAfter{0};
};

/**
 * Admission control for a rank group, or for the runners of a pool that belong to no group:
 * admits or refuses each request without queueing and sets the retry time of refused callers.
 *
 * Overload: runners that compute in lock-step slow each other down, so the gate limits the
 * requests per slot to a ceiling and adapts it to the latency that callers see: it drops by
 * 8 % when event intervals or first events are late, and rises slowly while they are on
 * time (additive increase, multiplicative decrease).
 *
 * Too slow: a stream takes as many passes as it has events. A stream that can't finish
 * before its deadline at the current event interval is refused at once: it would delay the
 * other streams and still fail. A group without events for a while is tried again.
 *
 * Stall: a group that has lost a rank refuses all requests until it has formed again.
 * After kRefusalsToStall consecutive refusals the gate admits one request every
 * kProbeInterval as a probe and refuses the others at once.
 *
 * Contract: does no I/O; not thread-safe; amortised O(1).
 */
class PoolGate
{
public:
    static constexpr unsigned kRefusalsToStall = 4;
    static constexpr Duration kProbeInterval = std::chrono::milliseconds(150);
    static constexpr Duration kIntervalWindow = std::chrono::milliseconds(180); ///< covers a few passes of a loaded group
    static constexpr Duration kIntervalExpiry = std::chrono::milliseconds(2500); ///< longer than callers wait for the next event of a stream
    static constexpr unsigned kMinIntervals = 6;
    static constexpr double kMaxCeiling = 1.5; ///< runners queue about two requests per slot; half a request per slot still starts in time
    static constexpr double kMinCeiling = 0.25;

    GateDecision decide(const PoolLoad &load, TimePoint now, Random &random);

    /** Records an event interval, or the wait for the first event, as @p ratio of its target; above 1 is late. */
    void recordLatencyRatio(double ratio, TimePoint now);
    /** Records the time between two events of a stream, for meanEventInterval(); @p target: the longest that is on time. */
    void recordEventInterval(Duration interval, Duration target, TimePoint now);
    /** Mean event interval in the latest kIntervalWindow; empty if it holds fewer than kMinIntervals, or if the last is older than kIntervalExpiry. */
    std::optional<Duration> meanEventInterval(TimePoint now) const;
    /** The longest event interval that is on time, from the route of the stream recorded last. */
    Duration gapTarget() const;
    /** A runner refused a request and proved that it did not run it. */
    void recordRefusal(TimePoint now);
    /** A runner sent part of an answer. */
    void recordAnswer(TimePoint now);
    /** A request is sent while no other is open. */
    void recordWorkStart(TimePoint now);

    double ceiling() const;
    bool stalled() const;
    /** When recordAnswer() was last called. */
    TimePoint lastAnswer() const;
    /** The later of lastAnswer() and the last recordWorkStart(), so that idle time does not count as a lack of progress. */
    TimePoint lastActivity() const;

private:
    Duration retryAfter(Duration base, Random &random) const;
    bool missesDeadline(const PoolLoad &load, TimePoint now) const;

    double m_ceiling = kMaxCeiling;
    unsigned m_refusals = 0; ///< consecutive
    TimePoint m_nextProbe{};
    TimePoint m_lastAnswer{};
    TimePoint m_workStartedAt{};
    TimePoint m_windowStartedAt{};
    std::deque<std::pair<TimePoint, Duration>> m_intervals; ///< recorded in the latest kIntervalWindow
    Duration m_intervalSum{0};
    Duration m_gapTarget{0};
    unsigned m_samples = 0;
    unsigned m_lateSamples = 0;
};

} // namespace fulmarlink
