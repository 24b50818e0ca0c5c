#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "fulmarlink/clock.h"
#include "fulmarlink/requestfingerprint.h"

namespace fulmarlink
{

/**
 * When each prompt segment was last seen to be answered. Holds a limited number of them; those that were
 * answered longest ago are forgotten first. No I/O; not thread-safe.
 */
class AnswerTimes
{
public:
    explicit AnswerTimes(std::size_t maxSegments);

    void record(const RequestFingerprint &segment, TimePoint now);
    std::optional<TimePoint> last(const RequestFingerprint &segment) const;
    std::size_t size() const;

private:
    void forgetOldest();

    const std::size_t m_maxSegments;
    std::map<RequestFingerprint, TimePoint> m_times;
};

} // namespace fulmarlink
