#include "fulmarlink/adaptivetimeout.h"

#include <algorithm>

namespace fulmarlink
{

namespace
{

constexpr unsigned kFactor = 2; ///< timeout over the time that answers took
constexpr unsigned kAnswersRemembered = 4; ///< a dependency that is fast again is noticed after some such number of answers

} // namespace

AdaptiveTimeout::AdaptiveTimeout(std::chrono::milliseconds least, std::chrono::milliseconds most)
    : m_least(least)
    , m_most(most)
{
}

std::chrono::milliseconds AdaptiveTimeout::timeout() const
{
    return std::clamp(kFactor * m_answerTime, m_least, m_most);
}

void AdaptiveTimeout::recordAnswer(std::chrono::milliseconds time)
{
    m_answerTime = std::max(time, (m_answerTime * (kAnswersRemembered - 1) + time) / kAnswersRemembered);
}

void AdaptiveTimeout::recordFailure()
{
    m_answerTime /= 2;
}

} // namespace fulmarlink
