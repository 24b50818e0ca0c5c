// Each co_await stands in a statement of its own, as in gatewayexchange.cpp.

#include "fulmarlink/supervised.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

/** An object that can't be read stays for minutes; four tries a second would fill the log, and a bound on a change is two seconds. */
constexpr Duration kPause = std::chrono::milliseconds(500);

} // namespace

std::string whatOf(const std::exception_ptr &error)
{
    try {
        std::rethrow_exception(error);
    } catch (const std::exception &exception) {
        return exception.what();
    } catch (...) {
        return "of an unknown type";
    }
}

asio::awaitable<void> supervised(asio::io_context &context, Counters &counters, std::string name, std::function<asio::awaitable<void>()> loop)
{
    const Counters::Id exceptions = counters.registerCounter("fulmarlink_exceptions_total");
    for (;;) {
        std::exception_ptr error;
        try {
            co_await loop();
        } catch (...) {
            error = std::current_exception();
        }
        if (!error) {
            co_return;
        }
        counters.add(exceptions);
        logWarning("loop-broke-off", {{"loop", name}, {"error", whatOf(error)}});
        boost::system::error_code ignored; // the timer is not cancelled
        asio::steady_timer timer(context, kPause);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace fulmarlink
