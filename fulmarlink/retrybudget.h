#pragma once

#include <mutex>

namespace fulmarlink
{

/**
 * Limits the retries of one entry host to a share of its first attempts, so that retries can't
 * multiply an overload. Every entry host applies the same share and agents and engines never retry
 * by themselves, so the share holds for the whole system too.
 *
 * Usage: call countFirstAttempt() for each new request, and send a retry only if takeRetry()
 * returns true. An early refusal by an agent, which never reached an engine, costs only
 * kRefusalCost of a retry, since it used no runner time.
 *
 * Contract: thread-safe, O(1). Over any span with n first attempts, at most
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
