#include "testing/harness/soakledger.h"

#include <algorithm>

namespace fulmarlink::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr auto kOnItsWay = 600ms; ///< an answer may be held up by a proxy for so long

std::chrono::microseconds sinceEpoch(SoakLedger::Clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
}

bool anyWithin(const std::map<unsigned, std::vector<SoakLedger::Clock::time_point>> &times,
               unsigned key,
               SoakLedger::Clock::time_point from,
               SoakLedger::Clock::time_point until)
{
    const auto it = times.find(key);
    return it != times.end() && std::ranges::any_of(it->second, [&](auto time) {
               return time >= from && time <= until;
           });
}

} // namespace

SoakLedger::SoakLedger(RetryBound retryBound)
    : m_retryBound(retryBound)
{
}

/** What a proxy held up arrives later than it was sent, together with what came after it. */
bool SoakLedger::heldUp(unsigned runner, Clock::time_point at) const
{
    const auto harmed = m_wayHarmed.find(runner);
    return (harmed != m_wayHarmed.end() && harmed->second) || anyWithin(m_wayChanges, runner, at - kOnItsWay, at);
}

void SoakLedger::requestSent()
{
    m_retryTraffic.requests.push_back(sinceEpoch(Clock::now()));
}

void SoakLedger::arrived(unsigned runner, unsigned gateway, const std::string &attempt)
{
    const auto now = Clock::now();
    m_arrivals[runner].push_back({gateway, now});
    const bool isRetry = !m_arrivedAttempts.insert(attempt).second;
    if (isRetry && !heldUp(runner, now)) {
        m_retryTraffic.retries.push_back(sinceEpoch(now));
    }
}

RetryWindow SoakLedger::worstRetries() const
{
    return worstRetryWindow(m_retryTraffic, m_retryBound);
}

void SoakLedger::askedToBackOff(unsigned runner, unsigned gateway, std::chrono::milliseconds time)
{
    const auto now = Clock::now();
    m_backoffs.push_back({runner, gateway, now, now + time, m_wayHarmed[runner]});
}

void SoakLedger::wayChanged(unsigned runner, bool harmed)
{
    m_wayHarmed[runner] = harmed;
    m_wayChanges[runner].push_back(Clock::now());
}

void SoakLedger::gatewayChanged(unsigned gateway, Clock::time_point when, bool stopped)
{
    m_gatewayStops[gateway][when] = stopped;
}

void SoakLedger::limited(unsigned runner, Clock::time_point from, Clock::time_point until)
{
    m_limits.push_back({runner, from, until});
}

std::size_t SoakLedger::mostWithinLimit(const Limit &limit) const
{
    const auto it = m_arrivals.find(limit.runner);
    if (it == m_arrivals.end()) {
        return 0;
    }
    std::size_t most = 0;
    auto first = std::ranges::lower_bound(it->second, limit.from + kLimitKnown, {}, &Arrival::at);
    for (auto last = first; last != it->second.end() && last->at <= limit.until; ++last) {
        while (last->at - first->at >= kLimitSpan) {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

std::size_t SoakLedger::sentWithin(const Backoff &backoff) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_arrivals.at(backoff.runner), [&](const Arrival &arrival) {
        return arrival.gateway == backoff.gateway && arrival.at > backoff.from + kBackoffKnown && arrival.at < backoff.until;
    }));
}

/** At some time between the question and its end, or shortly before. */
bool SoakLedger::gatewayStopped(const Backoff &backoff) const
{
    const auto it = m_gatewayStops.find(backoff.gateway);
    if (it == m_gatewayStops.end()) {
        return false;
    }
    const auto next = it->second.upper_bound(backoff.from - kOnItsWay);
    const bool stoppedBefore = next != it->second.begin() && std::prev(next)->second;
    const bool changes = next != it->second.end() && next->first < backoff.until;
    return stoppedBefore || changes;
}

bool SoakLedger::excused(const Backoff &backoff) const
{
    const bool way = backoff.wayHarmed || anyWithin(m_wayChanges, backoff.runner, backoff.from - kOnItsWay, backoff.until);
    return way || gatewayStopped(backoff);
}

std::vector<std::string> SoakLedger::judge() const
{
    std::vector<std::string> broken;
    for (const Limit &limit : m_limits) {
        const std::size_t got = mostWithinLimit(limit);
        if (got > kMostInLimitSpan) {
            broken.push_back("runner " + std::to_string(limit.runner) + " named a limit and got " + std::to_string(got) + " in 4 s");
        }
    }
    for (const Backoff &backoff : m_backoffs) {
        const std::size_t sent = excused(backoff) ? 0 : sentWithin(backoff);
        if (sent > kMostInBackoff) {
            broken.push_back("runner " + std::to_string(backoff.runner) + " asked gateway " + std::to_string(backoff.gateway) + " to back off and got "
                             + std::to_string(sent) + " requests");
        }
    }
    const RetryWindow retries = worstRetries();
    if (retries.excess() > 0) {
        broken.push_back(std::to_string(retries.retries) + " retries in a window that allows " + std::to_string(retries.allowed));
    }
    return broken;
}

std::string SoakLedger::summary() const
{
    std::size_t most = 0;
    for (const Limit &limit : m_limits) {
        most = std::max(most, mostWithinLimit(limit));
    }
    std::size_t judged = 0;
    std::size_t unwanted = 0;
    for (const Backoff &backoff : m_backoffs) {
        const bool counts = !excused(backoff);
        judged += counts ? 1 : 0;
        unwanted += counts ? sentWithin(backoff) : 0;
    }
    return "limited " + std::to_string(m_limits.size()) + " times, at most " + std::to_string(most) + " in 4 s; asked to back off "
           + std::to_string(m_backoffs.size()) + " times, " + std::to_string(judged) + " judged, " + std::to_string(unwanted) + " requests meanwhile; "
           + std::to_string(m_retryTraffic.retries.size()) + " retries, " + std::to_string(worstRetries().retries) + " in a window that allows "
           + std::to_string(worstRetries().allowed);
}

} // namespace fulmarlink::testing
