// Invariant: `next` is when this host's next slot begins, and it only moves on when a slot is
// used or the share changes. Slots that pass unused are skipped when they are looked at, so
// that nothing accrues.
//
// A slot may be used late, and the next one begins in its own time all the same, so that the
// whole share is used; but no sooner than an interval less kMostCredit after that, which is
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

constexpr double kMostCredit = 0.2; ///< of an interval
constexpr Duration kShortInterval = std::chrono::seconds(1); ///< the credit may be a burst up to here
constexpr double kMostPerSecond = 1e5; ///< of one host; more than it can send
constexpr double kNever = 1e-9; ///< requests a second below which a share counts as none

Duration asDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/** The order in which hosts come for a runner; the same on all hosts. */
std::uint64_t weightOf(const std::string &host, const TargetLife &life)
{
    const std::string key = host + '\n' + life.id + '\n' + std::to_string(life.born);
    return XXH3_64bits(key.data(), key.size());
}

} // namespace

LimitPacer::LimitPacer(LimitPacerOptions options)
    : m_options(options)
{
}

Duration LimitPacer::interval(const Limited &limited)
{
    return asDuration(1 / limited.share);
}

Duration LimitPacer::lifeOfSlot(const Limited &limited) const
{
    return std::max(std::min(interval(limited), m_options.slotLife), m_options.burst);
}

/** Begin of the slot that may be used at @p now, or else of the next one. */
TimePoint LimitPacer::slot(const Limited &limited, TimePoint now) const
{
    const Duration late = now - limited.next - lifeOfSlot(limited);
    if (late < Duration(0)) {
        return limited.next;
    }
    return limited.next + interval(limited) * (late / interval(limited) + 1);
}

double LimitPacer::computeShare(const TargetLife &life, double perSecond) const
{
    const double rate = std::clamp(perSecond, m_options.leastPerSecond, kMostPerSecond);
    if (m_hosts.empty()) {
        return rate / m_options.hostsUnknown;
    }
    const double most = std::max<double>(m_options.fewSharers, rate);
    const auto sharers = static_cast<std::size_t>(std::min<double>(static_cast<double>(m_hosts.size()), most));
    const std::uint64_t own = weightOf(m_self, life);
    const auto before = static_cast<std::size_t>(std::ranges::count_if(m_hosts, [&](const std::string &host) {
        return host != m_self && std::pair(weightOf(host, life), host) < std::pair(own, m_self);
    }));
    if (mutated(Mutation::WholeLimitEach)) {
        return rate;
    }
    return before < sharers ? rate / static_cast<double>(sharers) : 0;
}

/** What had passed of the time until the next slot stays passed, so that changes bring no slots of their own. */
void LimitPacer::setShare(Limited &limited, double share, TimePoint now, Random &random) const
{
    const double before = limited.share;
    if (share == before) {
        return;
    }
    const bool fresh = before < kNever;
    const TimePoint next = fresh ? now : slot(limited, now);
    limited.share = share;
    if (share < kNever) {
        return;
    }
    const double part = fresh ? std::uniform_real_distribution<double>(0, 1)(random) : std::chrono::duration<double>(next - now).count() * before;
    limited.next = next <= now && !fresh ? now : now + asDuration(std::max(0.0, part) / share);
}

void LimitPacer::setHosts(std::vector<std::string> hosts, const std::string &self, TimePoint now, Random &random)
{
    m_self = self;
    if (!hosts.empty() && std::ranges::find(hosts, self) == hosts.end()) {
        hosts.push_back(self);
    }
    m_hosts = std::move(hosts);
    for (auto &[life, limited] : m_limited) {
        setShare(limited, computeShare(life, limited.perSecond), now, random);
    }
}

void LimitPacer::setLimit(const TargetLife &life, double perSecond, TimePoint now, Random &random)
{
    Limited &limited = m_limited[life];
    limited.perSecond = perSecond;
    setShare(limited, computeShare(life, perSecond), now, random);
}

void LimitPacer::clear(const TargetLife &life)
{
    m_limited.erase(life);
}

bool LimitPacer::hasRoom(const TargetLife &life, TimePoint now) const
{
    const auto next = nextRoom(life, now);
    return next && *next <= now;
}

std::optional<TimePoint> LimitPacer::nextRoom(const TargetLife &life, TimePoint now) const
{
    const auto it = m_limited.find(life);
    if (it == m_limited.end() || mutated(Mutation::IgnoreLimits)) {
        return now;
    }
    if (it->second.share < kNever) {
        return std::nullopt;
    }
    return std::max(now, slot(it->second, now));
}

bool LimitPacer::take(const TargetLife &life, TimePoint now)
{
    if (!hasRoom(life, now)) {
        return false;
    }
    const auto it = m_limited.find(life);
    if (it == m_limited.end() || it->second.share < kNever) {
        return true;
    }
    const Duration every = interval(it->second);
    const Duration credit = every <= kShortInterval ? m_options.burst : std::chrono::duration_cast<Duration>(every * kMostCredit);
    it->second.next = std::max(slot(it->second, now) + every, now + every - credit);
    return true;
}

std::optional<double> LimitPacer::shareOf(const TargetLife &life) const
{
    const auto it = m_limited.find(life);
    return it == m_limited.end() ? std::nullopt : std::optional(it->second.share);
}

double LimitPacer::limitOf(const TargetLife &life) const
{
    const auto it = m_limited.find(life);
    return it == m_limited.end() ? 0 : std::max(it->second.perSecond, m_options.leastPerSecond);
}

bool LimitPacer::any() const
{
    return !m_limited.empty();
}

unsigned LimitPacer::hosts() const
{
    return m_hosts.empty() ? m_options.hostsUnknown : static_cast<unsigned>(m_hosts.size());
}

} // namespace fulmarlink
