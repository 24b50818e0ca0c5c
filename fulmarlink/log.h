#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

/** One key and value of a structured log line. */
struct LogField {
    template<typename Value>
    LogField(std::string_view theKey, Value &&theValue)
        : key(theKey)
        , value(std::forward<Value>(theValue))
    {
    }

    std::string_view key;
    std::string value;
};

/**
 * Sets the log level (debug, info, warn, error, off) and writes lines to standard output,
 * or to standard error. Called once at start.
 *
 * Contract: never blocks. Lines are gathered and written by flushLog() as far as the
 * reader takes them; what finds no room is dropped and counted in a line of its own.
 */
void startLogging(std::string_view level, bool toStandardOutput = false);

/** Writes what has gathered, without blocking. Called by a timer of the process. */
void flushLog();

/**
 * Writes one line for a change of state: event=NAME key="value" ...
 */
void logChange(std::string_view event, std::initializer_list<LogField> fields);

/**
 * As logChange(), for a decision on one request. At most kMaxRequestLines a second are
 * written; what goes beyond is counted in the next line. Values are cut after 2 KB, and then end with "...".
 */
void logRequest(std::string_view event, std::initializer_list<LogField> fields);

/** Lines on requests in a second: eight for each request of a busy entry host, some 400 bytes each. */
inline constexpr unsigned kMaxRequestLines = 300;

/** As logChange(), for a change that an operator should look at. */
void logWarning(std::string_view event, std::initializer_list<LogField> fields);

/** The texts with @p separator between them. */
std::string joined(std::span<const std::string> texts, std::string_view separator = ",");

/** @p value in whole milliseconds for a log line. */
std::string msText(Duration value);

/** @p value for a log line, with two decimals at the most. */
std::string twoDecimals(double value);

/** The value with two significant digits and an exponent, for probabilities. */
std::string scientific(double value);

} // namespace fulmarlink
