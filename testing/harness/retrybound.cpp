#include "testing/harness/retrybound.h"

#include <algorithm>
#include <optional>

namespace fulmarlink::testing
{

namespace
{

using Times = std::vector<std::chrono::microseconds>;

std::size_t countIn(const Times &times, std::chrono::microseconds begin, std::chrono::microseconds end)
{
    return static_cast<std::size_t>(std::ranges::lower_bound(times, end) - std::ranges::lower_bound(times, begin));
}

/** By the requests of the window from @p begin, of the window before it or of the one half a window before it, whichever are most. */
double allowedFrom(std::chrono::microseconds begin, const Times &requests, const RetryBound &bound)
{
    std::size_t most = 0;
    for (const auto shift : {std::chrono::microseconds(0), bound.window / 2, bound.window}) {
        most = std::max(most, countIn(requests, begin - shift, begin - shift + bound.window));
    }
    return bound.ratio * static_cast<double>(most) + bound.slack;
}

} // namespace

double RetryWindow::excess() const
{
    return static_cast<double>(retries) - allowed;
}

RetryWindow worstRetryWindow(const RetryTraffic &traffic, const RetryBound &bound)
{
    std::optional<RetryWindow> worst;
    for (const auto begin : traffic.retries) { // the worst window begins with a retry
        const RetryWindow window{countIn(traffic.retries, begin, begin + bound.window), allowedFrom(begin, traffic.requests, bound)};
        worst = !worst || window.excess() > worst->excess() ? window : worst;
    }
    return worst.value_or(RetryWindow{0, bound.slack});
}

} // namespace fulmarlink::testing
