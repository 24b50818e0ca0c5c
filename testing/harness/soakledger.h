#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "testing/harness/retrybound.h"

namespace fulmarlink::testing
{

/** What runners of a soak got from which gateway, and whether that was within what they had asked for. */
class SoakLedger
{
public:
    using Clock = std::chrono::steady_clock;

    static constexpr const char *kLimit = "3"; ///< requests a second from all gateways together, as a runner in need names it
    static constexpr auto kLimitKnown = std::chrono::milliseconds(3000); ///< from when on it is held
    static constexpr auto kLimitSpan = std::chrono::milliseconds(4000);
    static constexpr std::size_t kMostInLimitSpan = 23; ///< one and a half times what the limit allows, and 5
    static constexpr auto kBackoffKnown = std::chrono::milliseconds(500); ///< for requests that were on their way
    static constexpr std::size_t kMostInBackoff = 2; ///< that the platform lets pass

    /** @p retryBound is that of the gateways' settings. */
    explicit SoakLedger(RetryBound retryBound);

    void requestSent();
    void arrived(unsigned runner, unsigned gateway, const std::string &attempt);
    /** The runner turned that gateway away and wants nothing from it for @p time. */
    void askedToBackOff(unsigned runner, unsigned gateway, std::chrono::milliseconds time);
    /** The way to the runner was harmed or mended. */
    void wayChanged(unsigned runner, bool harmed);
    /** The gateway was stopped or killed, or goes on since then. */
    void gatewayChanged(unsigned gateway, Clock::time_point when, bool stopped);
    void limited(unsigned runner, Clock::time_point from, Clock::time_point until);

    /** What was broken, a line each. */
    std::vector<std::string> judge() const;
    /** A line on what was tried. */
    std::string summary() const;

private:
    struct Arrival {
        unsigned gateway = 0;
        Clock::time_point at;
    };
    struct Backoff {
        unsigned runner = 0;
        unsigned gateway = 0;
        Clock::time_point from;
        Clock::time_point until;
        bool wayHarmed = false; ///< when it was asked for
    };
    struct Limit {
        unsigned runner = 0;
        Clock::time_point from;
        Clock::time_point until;
    };

    bool heldUp(unsigned runner, Clock::time_point at) const;
    RetryWindow worstRetries() const;
    std::size_t mostWithinLimit(const Limit &limit) const;
    std::size_t sentWithin(const Backoff &backoff) const;
    bool gatewayStopped(const Backoff &backoff) const;
    /** The gateway may not have read the runner's answer, or has forgotten it. */
    bool excused(const Backoff &backoff) const;

    const RetryBound m_retryBound;
    RetryTraffic m_retryTraffic;
    std::set<std::string> m_arrivedAttempts;
    std::map<unsigned, std::vector<Arrival>> m_arrivals; ///< by runner
    std::vector<Backoff> m_backoffs;
    std::vector<Limit> m_limits;
    std::map<unsigned, bool> m_wayHarmed; ///< by runner, now
    std::map<unsigned, std::vector<Clock::time_point>> m_wayChanges; ///< by runner
    std::map<unsigned, std::map<Clock::time_point, bool>> m_gatewayStops; ///< by gateway: whether it was stopped from then on
};

} // namespace fulmarlink::testing
