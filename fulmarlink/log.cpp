#include "fulmarlink/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace fulmarlink
{

namespace
{

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("fulmarlink");
    return instance;
}

std::string format(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=" + std::string(event);
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += "=\"";
        line += value;
        line += '"';
    }
    return line;
}

} // namespace

void startLogging(std::string_view level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %p %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
    logger()->setAdditivity(false);
    logger()->addAppender(appender);
    logger()->setLevel(log4cxx::Level::toLevel(std::string(level), log4cxx::Level::getInfo()));
}

void logChange(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG4CXX_INFO(logger(), format(event, fields));
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG4CXX_WARN(logger(), format(event, fields));
}

} // namespace fulmarlink
