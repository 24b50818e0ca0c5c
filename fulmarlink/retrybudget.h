#pragma once

#include <mutex>

namespace fulmarlink
{

/**
 * Bounds the retries of one entry host to a share of its first attempts, so that
 * retries can't multiply an overload. Since every entry obeys the same share, the
 * whole system does too: agents and engines never retry by themselves.
 *
 * How to use: countFirstAttempt() for each new request; a retry is sent only if takeRetry()
 * gives true. Early refusals by an agent that never reached an engine cost
 * kRefusalCost of a retry, since they spend no runner time.
 *
 * Contract: thread-safe, O(1). Over any span in which n first attempts came, at most
 * share * n + kMaxBalance retries are allowed.
 */
class RetryBudget
{
public:
    static constexpr double kMaxBalance = 10;
    static constexpr double kRefusalCost = 0.1;

    explicit RetryBudget(double share)
        : m_share(share)
    {
    }

    void countFirstAttempt();
    bool takeRetry(double cost = 1.0);

private:
    const double m_share;
    std::mutex m_mutex;
    double m_balance = kMaxBalance;
};

} // namespace fulmarlink
