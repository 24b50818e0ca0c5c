#pragma once

#include <chrono>

namespace fulmarlink
{

/**
 * A timeout that follows the time that a dependency takes for its answers, so that a slow one is not taken for a silent one. A silent one gives
 * no answers to follow: each failure shortens the timeout again.
 *
 * Pure; not thread-safe.
 */
class AdaptiveTimeout
{
public:
    /** The timeout is between @p least and @p most. */
    AdaptiveTimeout(std::chrono::milliseconds least, std::chrono::milliseconds most);

    std::chrono::milliseconds timeout() const;
    void recordAnswer(std::chrono::milliseconds time);
    void recordFailure();

private:
    const std::chrono::milliseconds m_least;
    const std::chrono::milliseconds m_most;
    std::chrono::milliseconds m_answerTime{0}; ///< the longest of late, decaying
};

} // namespace fulmarlink
