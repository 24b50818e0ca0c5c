#pragma once

#include <deque>
#include <optional>
#include <string_view>

#include "fulmarlink/clock.h"
#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

/** What the gate knows when a request comes. */
struct PoolLoad {
    unsigned runners = 0; ///< that may take work
    double lowestLoad = 0; ///< of the best runner, in requests for each of its slots
    double events = 0; ///< that the request will probably have; 0: not a stream, or not known
    Duration timeLeft{0}; ///< until its caller or its route gives it up
};

struct GateDecision {
    bool admitted = true;
    ResultCode refusal = ResultCode::Ok;
    Duration retryAfter{0};
};

/**
 * Decides at once whether a rank group, or a pool whose runners are in none, takes one more
 * request, and when a refused caller should come back.
 *
 * Overload: runners that answer in lock-step slow each other down, so the gate keeps a
 * ceiling on the requests for each slot and moves it by what callers see: it sinks by a
 * tenth when pauses between events or first events are late, and rises slowly while
 * they are on time (additive increase, multiplicative decrease).
 *
 * Too slow: a stream takes as many passes as it has events. Where the passes of now would
 * not let it end before its deadline it is refused at once: it would take part in making
 * the others late and end as nothing. A group of which nothing is heard for a while is
 * tried again.
 *
 * Stall: a group that has lost a rank refuses everything until it has formed again.
 * After kRefusalsToStall refusals in a row the gate lets one request through at a time,
 * each kProbeInterval, and refuses the others at once.
 *
 * Contract: pure; not thread-safe; O(1).
 */
class PoolGate
{
public:
    static constexpr unsigned kRefusalsToStall = 4;
    static constexpr Duration kProbeInterval = std::chrono::milliseconds(150);
    static constexpr Duration kIntervalWindow = std::chrono::milliseconds(180); ///< a few passes of a loaded group
    static constexpr Duration kIntervalExpiry = std::chrono::milliseconds(2500); ///< longer than callers wait for the next event of a stream
    static constexpr unsigned kMinIntervals = 6;
    static constexpr double kMaxCeiling = 1.5; ///< runners queue about two requests for each slot; half a slot's worth still begins in time
    static constexpr double kMinCeiling = 0.25;

    GateDecision decide(const PoolLoad &load, TimePoint now, Random &random);

    /** A stream's pause, or its wait for the first event, took @p ratio times what is on time. */
    void recordLatencyRatio(double ratio, TimePoint now);
    /** A stream's events came @p pause apart; feeds meanEventInterval(). */
    void recordEventInterval(Duration pause, Duration target, TimePoint now);
    /** Mean pause between the events of the newest kIntervalWindow; nothing if fewer than kMinIntervals were seen, or none for kIntervalExpiry. */
    std::optional<Duration> meanEventInterval(TimePoint now) const;
    /** The longest pause that is on time, as the newest stream's route says. */
    Duration gapTarget() const;
    /** A runner of the pool proved that it did not run a request. */
    void recordRefusal(TimePoint now);
    /** A runner of the pool has begun to answer. */
    void recordAnswer(TimePoint now);
    /** A request goes out while no other is open. */
    void recordWorkStart(TimePoint now);

    double ceiling() const;
    bool stalled() const;
    /** When a runner of the pool last gave a sign of work. */
    TimePoint lastAnswer() const;
    /** The later of that and of the time at which it last got work after having had none. */
    TimePoint lastActivity() const;

private:
    Duration retryAfter(Duration base, Random &random) const;
    bool tooSlow(const PoolLoad &load, TimePoint now) const;

    double m_ceiling = kMaxCeiling;
    unsigned m_refusals = 0; ///< in a row
    TimePoint m_nextProbe{};
    TimePoint m_lastAnswer{};
    TimePoint m_workStartedAt{};
    TimePoint m_windowBegan{};
    std::deque<std::pair<TimePoint, Duration>> m_pauses; ///< of the last kIntervalWindow
    Duration m_pauseSum{0};
    Duration m_gapTarget{0};
    unsigned m_seen = 0;
    unsigned m_late = 0;
};

} // namespace fulmarlink
