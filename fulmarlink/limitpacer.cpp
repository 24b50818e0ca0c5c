// Invariant: `next` is the start of this host's next slot. It advances only when a slot is
// used or the share changes. Slots that expire unused are skipped on lookup, so that unused
// capacity does not accumulate.
//
// Using a slot late does not delay the next one, so that the whole share can be used. But the
// next slot starts no sooner than one interval, less kMaxCredit, after that use; this bounds
// the number of requests in a short time where the interval is long.

#include "fulmarlink/limitpacer.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr double kMaxCredit = 0.2; ///< fraction of an interval
constexpr Duration kShortInterval = std::chrono::seconds(1); ///< up to this interval, the credit is LimitPacerOptions::burst
constexpr double kMaxPerSecond = 1e5; ///< per host; more than a host can send
constexpr double kMinShare = 1e-9; ///< requests per second; a smaller share counts as none

Duration durationFromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/** Hosts share a runner's limit in the order of this hash, lowest first; it is the same on all hosts. */
std::uint64_t rendezvousWeight(const std::string &host, const TargetIncarnation &incarnation)
{
    const std::string key = host + '\n' + incarnation.id + '\n' + std::to_string(incarnation.born);
    return XXH3_64bits(key.data(), key.size());
}

} // namespace

LimitPacer::LimitPacer(LimitPacerOptions options)
    : m_options(options)
{
}

Duration LimitPacer::interval(const PacedRunner &runner)
{
    return durationFromSeconds(1 / runner.share);
}

Duration LimitPacer::slotLifetime(const PacedRunner &runner) const
{
    return std::max(std::min(interval(runner), m_options.maxSlotLifetime), m_options.burst);
}

/** Start of the slot that can be used at @p now, or else of the next one. */
TimePoint LimitPacer::usableSlot(const PacedRunner &runner, TimePoint now) const
{
    const Duration overdue = now - runner.next - slotLifetime(runner);
    if (overdue < Duration(0)) {
        return runner.next;
    }
    return runner.next + interval(runner) * (overdue / interval(runner) + 1);
}

double LimitPacer::computeShare(const TargetIncarnation &incarnation, double perSecond) const
{
    const double rate = std::clamp(perSecond, m_options.minPerSecond, kMaxPerSecond);
    if (m_hosts.empty()) {
        return rate / m_options.maxHosts;
    }
    const double maxSharers = std::max<double>(m_options.maxSharersAtLowRate, rate);
    const auto sharers = static_cast<std::size_t>(std::min<double>(static_cast<double>(m_hosts.size()), maxSharers));
    const std::uint64_t ownWeight = rendezvousWeight(m_self, incarnation);
    const auto rank = static_cast<std::size_t>(std::ranges::count_if(m_hosts, [&](const std::string &host) {
        return host != m_self && std::pair(rendezvousWeight(host, incarnation), host) < std::pair(ownWeight, m_self);
    }));
    if (mutated(Mutation::WholeLimitEach)) {
        return rate;
    }
    return rank < sharers ? rate / static_cast<double>(sharers) : 0;
}

/** Preserves the elapsed part of the wait for the next slot, so that changes of the share create no additional slots. */
void LimitPacer::setShare(PacedRunner &runner, double share, TimePoint now, Random &random) const
{
    const double oldShare = runner.share;
    if (share == oldShare) {
        return;
    }
    const bool hadNoShare = oldShare < kMinShare;
    const TimePoint next = hadNoShare ? now : usableSlot(runner, now);
    runner.share = share;
    if (share < kMinShare) {
        return;
    }
    const double remainingPart
        = hadNoShare ? std::uniform_real_distribution<double>(0, 1)(random) : std::chrono::duration<double>(next - now).count() * oldShare;
    runner.next = next <= now && !hadNoShare ? now : now + durationFromSeconds(std::max(0.0, remainingPart) / share);
}

void LimitPacer::setHosts(std::vector<std::string> hosts, const std::string &self, TimePoint now, Random &random)
{
    m_self = self;
    if (!hosts.empty() && std::ranges::find(hosts, self) == hosts.end()) {
        hosts.push_back(self);
    }
    m_hosts = std::move(hosts);
    for (auto &[incarnation, runner] : m_runners) {
        setShare(runner, computeShare(incarnation, runner.perSecond), now, random);
    }
}

void LimitPacer::setLimit(const TargetIncarnation &incarnation, double perSecond, TimePoint now, Random &random)
{
    PacedRunner &runner = m_runners[incarnation];
    runner.perSecond = perSecond;
    setShare(runner, computeShare(incarnation, perSecond), now, random);
}

void LimitPacer::removeLimit(const TargetIncarnation &incarnation)
{
    m_runners.erase(incarnation);
}

bool LimitPacer::canSend(const TargetIncarnation &incarnation, TimePoint now) const
{
    const auto next = nextSendTime(incarnation, now);
    return next && *next <= now;
}

std::optional<TimePoint> LimitPacer::nextSendTime(const TargetIncarnation &incarnation, TimePoint now) const
{
    const auto it = m_runners.find(incarnation);
    if (it == m_runners.end() || mutated(Mutation::IgnoreLimits)) {
        return now;
    }
    if (it->second.share < kMinShare) {
        return std::nullopt;
    }
    return std::max(now, usableSlot(it->second, now));
}

bool LimitPacer::tryAcquire(const TargetIncarnation &incarnation, TimePoint now)
{
    if (!canSend(incarnation, now)) {
        return false;
    }
    const auto it = m_runners.find(incarnation);
    if (it == m_runners.end() || it->second.share < kMinShare) {
        return true;
    }
    const Duration slotInterval = interval(it->second);
    const Duration credit = slotInterval <= kShortInterval ? m_options.burst : std::chrono::duration_cast<Duration>(slotInterval * kMaxCredit);
    it->second.next = std::max(usableSlot(it->second, now) + slotInterval, now + slotInterval - credit);
    return true;
}

std::optional<double> LimitPacer::shareOf(const TargetIncarnation &incarnation) const
{
    const auto it = m_runners.find(incarnation);
    return it == m_runners.end() ? std::nullopt : std::optional(it->second.share);
}

double LimitPacer::limitOf(const TargetIncarnation &incarnation) const
{
    const auto it = m_runners.find(incarnation);
    return it == m_runners.end() ? 0 : std::max(it->second.perSecond, m_options.minPerSecond);
}

bool LimitPacer::hasLimits() const
{
    return !m_runners.empty();
}

unsigned LimitPacer::hostCount() const
{
    return m_hosts.empty() ? m_options.assumedHosts : static_cast<unsigned>(m_hosts.size());
}

} // namespace fulmarlink
