#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/crashrecord.h"

namespace fulmarlink
{

struct LimitPacerOptions {
    unsigned maxSharersAtLowRate = 5; ///< hosts that share a limit at most, or as many as it has requests a second
    double minPerSecond = 0.1; ///< of all hosts, where a runner takes less: who never sends never learns that the limit has ended
    unsigned assumedHosts = 16; ///< assumed while the list of hosts has not been read
    Duration maxSlotLifetime = std::chrono::seconds(4); ///< a slot that no request has used by then is lost; sooner where the next one begins sooner
    Duration burst = std::chrono::milliseconds(500); ///< slots of so long may be used at once, where a host has several in it
};

/**
 * This host's share of the requests a second that runners take from all hosts together, as
 * slots in time.
 *
 * Each host computes alone who shares a runner: the first hosts in a rendezvous hash over
 * the live ones and the runner's life, each with the same rate. The others leave the runner
 * out. No host asks another one, so the sum holds with the store away; it can only be wrong
 * while hosts disagree on which of them live.
 *
 * Bound, for hosts that agree on who lives: L a second over a longer time, and within any
 * 4 s at most 1.5 times that + 5, whatever the hosts' phases are. Slots that pass unused are
 * lost: a host that was idle, frozen or away has one at most, or those of `burst`.
 *
 * Contract: pure; not thread-safe; canSend() and tryAcquire() are O(log n) in the runner runners.
 */
class LimitPacer
{
public:
    explicit LimitPacer(LimitPacerOptions options = {});

    /** The hosts that live, with or without @p self; empty: not known. */
    void setHosts(std::vector<std::string> hosts, const std::string &self, TimePoint now, Random &random);
    void setLimit(const TargetIncarnation &life, double perSecond, TimePoint now, Random &random);
    void removeLimit(const TargetIncarnation &life);

    /** Whether this host may send a request there now; always where no limit is known. */
    bool canSend(const TargetIncarnation &life, TimePoint now) const;
    /** The same, and uses the room up. */
    bool tryAcquire(const TargetIncarnation &life, TimePoint now);
    /** When this host may send there again: @p now if it may at once; nothing if it leaves the runner out. */
    std::optional<TimePoint> nextSendTime(const TargetIncarnation &life, TimePoint now) const;
    /** Of this host, in requests a second; nothing if no limit is known. */
    std::optional<double> shareOf(const TargetIncarnation &life) const;
    /** As the runner named it, or the least that it gets; 0 if no limit is known. */
    double limitOf(const TargetIncarnation &life) const;
    bool hasLimits() const;
    /** Hosts that live, as far as is known. */
    unsigned hostCount() const;

private:
    struct PacedRunner {
        double perSecond = 0; ///< of all hosts
        double share = 0; ///< of this host
        TimePoint next{}; ///< when the next slot begins
    };

    static Duration interval(const PacedRunner &runner);
    Duration slotLifetime(const PacedRunner &runner) const;
    TimePoint usableSlot(const PacedRunner &runner, TimePoint now) const;
    double computeShare(const TargetIncarnation &life, double perSecond) const;
    void setShare(PacedRunner &runner, double share, TimePoint now, Random &random) const;

    const LimitPacerOptions m_options;
    std::vector<std::string> m_hosts; ///< this one included; empty: not known
    std::string m_self;
    std::map<TargetIncarnation, PacedRunner> m_runners;
};

} // namespace fulmarlink
