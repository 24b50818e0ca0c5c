#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace fulmarlink
{

/** One key and value of a structured log line. */
using LogField = std::pair<std::string_view, std::string>;

/** Sets the log level (debug, info, warn, error, off) and writes lines to standard error. Called once at start. */
void startLogging(std::string_view level);

/**
 * Writes one line for a change of state: event=NAME key="value" ...
 * What happens to a single request is counted, never logged.
 */
void logChange(std::string_view event, std::initializer_list<LogField> fields);

/** As logChange(), for a change that an operator should look at. */
void logWarning(std::string_view event, std::initializer_list<LogField> fields);

} // namespace fulmarlink
