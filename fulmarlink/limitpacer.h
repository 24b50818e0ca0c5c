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
    unsigned maxSharersAtLowRate = 5; ///< most hosts that share a limit, or its number of requests per second if that is more
    double minPerSecond = 0.1; ///< floor for all hosts together: without any requests, hosts would not learn that a lower limit has ended
    unsigned assumedHosts = 16; ///< number of hosts assumed until the list of hosts has been read
    unsigned maxHosts = 400; ///< assumed for the share of a limit until then, since all hosts may have restarted at once; more than any deployment has
    Duration maxSlotLifetime = std::chrono::seconds(4); ///< an unused slot expires after this time, or after one interval if that is shorter
    Duration burst = std::chrono::milliseconds(500); ///< a host with several slots within this time may use them at once
};

/**
 * Paces this host's requests to runners that limit the request rate of all hosts together.
 * The host's share of a limit is a sequence of time slots, one request each.
 *
 * Each host computes independently which hosts share a runner: the first ones in a rendezvous
 * hash over the live hosts and the runner's incarnation, each with the same rate. The other hosts
 * send nothing to the runner. Hosts need not communicate for this, so the total stays within
 * the limit while the store is unavailable; it can be wrong only while hosts disagree on
 * which hosts are alive.
 *
 * Bound, for hosts that agree on the live hosts and a limit of L requests per second: L in the
 * long run, and at most 1.5 * 4 * L + 5 requests within any 4 s, whatever the hosts' phases
 * are. Unused slots expire: a host that was idle, frozen or disconnected can use at most one
 * of them, or those within `burst`.
 *
 * Contract: no I/O and no clock; not thread-safe; canSend() and tryAcquire() are O(log n) in
 * the number of runners with a limit.
 */
class LimitPacer
{
public:
    explicit LimitPacer(LimitPacerOptions options = {});

    /** Sets the live hosts, with or without @p self; empty: not known. */
    void setHosts(std::vector<std::string> hosts, const std::string &self, TimePoint now, Random &random);
    void setLimit(const TargetIncarnation &incarnation, double perSecond, TimePoint now, Random &random);
    void removeLimit(const TargetIncarnation &incarnation);

    /** Whether this host may send the runner a request now; always true if no limit is known. */
    bool canSend(const TargetIncarnation &incarnation, TimePoint now) const;
    /** Like canSend(), and uses up the slot. */
    bool tryAcquire(const TargetIncarnation &incarnation, TimePoint now);
    /** When this host may next send to the runner: @p now if it may at once; nothing if this host has no share of the limit. */
    std::optional<TimePoint> nextSendTime(const TargetIncarnation &incarnation, TimePoint now) const;
    /** This host's share of the limit, in requests per second; nothing if no limit is known. */
    std::optional<double> shareOf(const TargetIncarnation &incarnation) const;
    /** The runner's limit, in requests per second, but at least LimitPacerOptions::minPerSecond; 0 if no limit is known. */
    double limitOf(const TargetIncarnation &incarnation) const;
    bool hasLimits() const;
    /** Number of live hosts, or the assumed number if they are not known. */
    unsigned hostCount() const;

private:
    struct PacedRunner {
        double perSecond = 0; ///< limit of all hosts together
        double share = 0; ///< part of it for this host, in requests per second
        TimePoint next{}; ///< start of the next slot
    };

    static Duration interval(const PacedRunner &runner);
    Duration slotLifetime(const PacedRunner &runner) const;
    TimePoint usableSlot(const PacedRunner &runner, TimePoint now) const;
    double computeShare(const TargetIncarnation &incarnation, double perSecond) const;
    void setShare(PacedRunner &runner, double share, TimePoint now, Random &random) const;

    const LimitPacerOptions m_options;
    std::vector<std::string> m_hosts; ///< live hosts, including this one; empty: not known
    std::string m_self;
    std::map<TargetIncarnation, PacedRunner> m_runners;
};

} // namespace fulmarlink
