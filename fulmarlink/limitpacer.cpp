// Invariant: `next` is when this host's next slot begins, and it only moves on when a slot is
// used or the share changes. Slots that pass unused are skipped when they are looked at, so
// that nothing accrues.
//
// A slot may be used late, and the next one begins in its own time all the same, so that the
// whole share is used; but no sooner than an interval less kMaxCredit after that, which is
// what bounds the requests of a short time where slots are long.

#include "fulmarlink/limitpacer.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

constexpr double kMaxCredit = 0.2; ///< of an interval
constexpr Duration kShortInterval = std::chrono::seconds(1); ///< the credit may be a burst up to here
constexpr double kMaxPerSecond = 1e5; ///< of one host; more than it can send
constexpr double kMinShare = 1e-9; ///< requests a second below which a share counts as none

Duration durationFromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/** The order in which hosts come for a runner; the same on all hosts. */
std::uint64_t rendezvousWeight(const std::string &host, const TargetIncarnation &life)
{
    const std::string key = host + '\n' + life.id + '\n' + std::to_string(life.born);
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

/** Begin of the slot that may be used at @p now, or else of the next one. */
TimePoint LimitPacer::usableSlot(const PacedRunner &runner, TimePoint now) const
{
    const Duration late = now - runner.next - slotLifetime(runner);
    if (late < Duration(0)) {
        return runner.next;
    }
    return runner.next + interval(runner) * (late / interval(runner) + 1);
}

double LimitPacer::computeShare(const TargetIncarnation &life, double perSecond) const
{
    const double rate = std::clamp(perSecond, m_options.minPerSecond, kMaxPerSecond);
    if (m_hosts.empty()) {
        return rate / m_options.assumedHosts;
    }
    const double most = std::max<double>(m_options.maxSharersAtLowRate, rate);
    const auto sharers = static_cast<std::size_t>(std::min<double>(static_cast<double>(m_hosts.size()), most));
    const std::uint64_t own = rendezvousWeight(m_self, life);
    const auto before = static_cast<std::size_t>(std::ranges::count_if(m_hosts, [&](const std::string &host) {
        return host != m_self && std::pair(rendezvousWeight(host, life), host) < std::pair(own, m_self);
    }));
    if (mutated(Mutation::WholeLimitEach)) {
        return rate;
    }
    return before < sharers ? rate / static_cast<double>(sharers) : 0;
}

/** What had passed of the time until the next slot stays passed, so that changes bring no slots of their own. */
void LimitPacer::setShare(PacedRunner &runner, double share, TimePoint now, Random &random) const
{
    const double before = runner.share;
    if (share == before) {
        return;
    }
    const bool fresh = before < kMinShare;
    const TimePoint next = fresh ? now : usableSlot(runner, now);
    runner.share = share;
    if (share < kMinShare) {
        return;
    }
    const double part = fresh ? std::uniform_real_distribution<double>(0, 1)(random) : std::chrono::duration<double>(next - now).count() * before;
    runner.next = next <= now && !fresh ? now : now + durationFromSeconds(std::max(0.0, part) / share);
}

void LimitPacer::setHosts(std::vector<std::string> hosts, const std::string &self, TimePoint now, Random &random)
{
    m_self = self;
    if (!hosts.empty() && std::ranges::find(hosts, self) == hosts.end()) {
        hosts.push_back(self);
    }
    m_hosts = std::move(hosts);
    for (auto &[life, runner] : m_runners) {
        setShare(runner, computeShare(life, runner.perSecond), now, random);
    }
}

void LimitPacer::setLimit(const TargetIncarnation &life, double perSecond, TimePoint now, Random &random)
{
    PacedRunner &runner = m_runners[life];
    runner.perSecond = perSecond;
    setShare(runner, computeShare(life, perSecond), now, random);
}

void LimitPacer::removeLimit(const TargetIncarnation &life)
{
    m_runners.erase(life);
}

bool LimitPacer::canSend(const TargetIncarnation &life, TimePoint now) const
{
    const auto next = nextSendTime(life, now);
    return next && *next <= now;
}

std::optional<TimePoint> LimitPacer::nextSendTime(const TargetIncarnation &life, TimePoint now) const
{
    const auto it = m_runners.find(life);
    if (it == m_runners.end() || mutated(Mutation::IgnoreLimits)) {
        return now;
    }
    if (it->second.share < kMinShare) {
        return std::nullopt;
    }
    return std::max(now, usableSlot(it->second, now));
}

bool LimitPacer::tryAcquire(const TargetIncarnation &life, TimePoint now)
{
    if (!canSend(life, now)) {
        return false;
    }
    const auto it = m_runners.find(life);
    if (it == m_runners.end() || it->second.share < kMinShare) {
        return true;
    }
    const Duration every = interval(it->second);
    const Duration credit = every <= kShortInterval ? m_options.burst : std::chrono::duration_cast<Duration>(every * kMaxCredit);
    it->second.next = std::max(usableSlot(it->second, now) + every, now + every - credit);
    return true;
}

std::optional<double> LimitPacer::shareOf(const TargetIncarnation &life) const
{
    const auto it = m_runners.find(life);
    return it == m_runners.end() ? std::nullopt : std::optional(it->second.share);
}

double LimitPacer::limitOf(const TargetIncarnation &life) const
{
    const auto it = m_runners.find(life);
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
