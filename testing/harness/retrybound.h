#pragma once

#include <chrono>
#include <vector>

namespace fulmarlink::testing
{

/** The retries that a pool may get in any window, from all hosts together. */
struct RetryBound {
    std::chrono::microseconds window{10'000'000};
    double ratio = 0.2; ///< of the pool's requests
    double slack = 90;
};

/** What a pool got, as times since any epoch, each in order. */
struct RetryTraffic {
    std::vector<std::chrono::microseconds> requests; ///< sent by callers, whether they reached a runner or not
    std::vector<std::chrono::microseconds> retries; ///< arrivals at runners beyond the first of their request
};

/** The window with the most retries beyond its bound. */
struct RetryWindow {
    std::size_t retries = 0;
    double allowed = 0;

    double excess() const;
};

RetryWindow worstRetryWindow(const RetryTraffic &traffic, const RetryBound &bound);

} // namespace fulmarlink::testing
