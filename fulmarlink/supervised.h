#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string>

#include "fulmarlink/counters.h"

namespace fulmarlink
{

/**
 * Runs @p loop, and runs it again after a pause if it ends by an exception.
 *
 * For loops that a process needs for as long as it lives. What made one end, an object in
 * the store for example, is mostly still there for the next host and the next start of
 * the process: neither a process that ends nor a loop that is gone without a word helps.
 *
 * @p loop is called anew each time, so what it keeps in variables of its own is lost.
 */
boost::asio::awaitable<void>
supervised(boost::asio::io_context &context, Counters &counters, std::string name, std::function<boost::asio::awaitable<void>()> loop);

/** What() of an exception, for a log line. */
std::string whatOf(const std::exception_ptr &error);

} // namespace fulmarlink
