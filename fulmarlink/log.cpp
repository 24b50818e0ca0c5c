#include "fulmarlink/log.h"

#include <chrono>
#include <cmath>
#include <iomanip>
#include <limits>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <mutex>
#include <poll.h>
#include <sstream>
#include <unistd.h>

#include "fulmarlink/clock.h"

namespace fulmarlink
{

namespace
{

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("fulmarlink");
    return instance;
}

constexpr std::size_t kMaxHeldBytes = 256U << 10; ///< lines that the reader has not taken yet
constexpr std::size_t kWriteBytes = 4096; ///< a pipe that polls as writable takes so many without blocking (PIPE_BUF)

/** Gathers lines and writes them to a descriptor without ever blocking. Thread-safe. */
class LineBuffer
{
public:
    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        if (m_held.size() + line.size() > kMaxHeldBytes) {
            ++m_dropped;
            return;
        }
        if (m_dropped > 0) {
            m_held += "event=log-lines-dropped count=\"" + std::to_string(m_dropped) + "\" reason=\"reader too slow\"\n";
            m_dropped = 0;
        }
        m_held += line;
        if (m_held.size() >= kWriteBytes) {
            write();
        }
    }

    void flush()
    {
        const std::lock_guard lock(m_mutex);
        write();
    }

private:
    void write()
    {
        std::size_t done = 0;
        while (done < m_held.size()) {
            pollfd ready{STDOUT_FILENO, POLLOUT, 0};
            if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
                break;
            }
            const auto written = ::write(STDOUT_FILENO, m_held.data() + done, std::min(kWriteBytes, m_held.size() - done));
            if (written <= 0) {
                break;
            }
            done += static_cast<std::size_t>(written);
        }
        m_held.erase(0, done);
    }

    std::mutex m_mutex;
    std::string m_held;
    std::uint64_t m_dropped = 0;
};

LineBuffer &lineBuffer()
{
    static LineBuffer instance;
    return instance;
}

/** Lines on requests that may still be written in this second. */
class LineRate
{
public:
    /** True if a line may be written; then @p missed is how many were not since the last. */
    bool take(std::uint64_t &missed)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        if (now - m_began >= std::chrono::seconds(1)) {
            m_began = now;
            m_written = 0;
        }
        if (m_written >= kMaxRequestLines) {
            ++m_missed;
            return false;
        }
        ++m_written;
        missed = std::exchange(m_missed, 0);
        return true;
    }

private:
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_began{};
    unsigned m_written = 0;
    std::uint64_t m_missed = 0;
};

bool &standardOutput()
{
    static bool chosen = false;
    return chosen;
}

/** Seconds since the epoch with milliseconds; cheap, and the same in every time zone. */
std::string timeText()
{
    const auto now = unixNow().count();
    std::string millis = std::to_string(now % 1000);
    millis.insert(0, 3 - millis.size(), '0');
    return std::to_string(now / 1000) + '.' + millis;
}

constexpr std::size_t kMaxValueBytes = 2048; ///< of a line on a request; callers choose some of the values

/** Appends @p value so that it can't end the quotes around it or begin another line: much of what is logged is others' text. */
void appendEscaped(std::string &line, std::string_view value)
{
    static constexpr std::string_view kDigits = "0123456789abcdef";
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line += {'\\', character};
        } else if (byte < ' ' || byte > '~') {
            line += {'\\', 'x', kDigits[byte >> 4U], kDigits[byte & 15U]};
        } else {
            line += character;
        }
    }
}

std::string format(std::string_view event, std::initializer_list<LogField> fields, std::size_t maxValueBytes)
{
    std::string line = "event=" + std::string(event);
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += "=\"";
        appendEscaped(line, std::string_view(value).substr(0, maxValueBytes));
        line += value.size() > maxValueBytes ? "..." : "";
        line += '"';
    }
    return line;
}

} // namespace

void startLogging(std::string_view level, bool toStandardOutput)
{
    standardOutput() = toStandardOutput;
    logger()->setAdditivity(false);
    if (!toStandardOutput) {
        const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %p %m%n");
        logger()->addAppender(std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err"));
    }
    logger()->setLevel(log4cxx::Level::toLevel(std::string(level), log4cxx::Level::getInfo()));
}

namespace
{

void write(const log4cxx::LevelPtr &level,
           std::string_view event,
           std::initializer_list<LogField> fields,
           std::size_t maxValueBytes = std::numeric_limits<std::size_t>::max())
{
    if (!logger()->isEnabledFor(level)) {
        return;
    }
    if (standardOutput()) {
        lineBuffer().add(timeText() + ' ' + level->toString() + ' ' + format(event, fields, maxValueBytes) + '\n');
    } else {
        LOG4CXX_LOG(logger(), level, format(event, fields, maxValueBytes));
    }
}

} // namespace

void logChange(std::string_view event, std::initializer_list<LogField> fields)
{
    write(log4cxx::Level::getInfo(), event, fields);
}

void logRequest(std::string_view event, std::initializer_list<LogField> fields)
{
    static LineRate rate;
    std::uint64_t missed = 0;
    if (!rate.take(missed)) {
        return;
    }
    if (missed > 0) {
        logChange("request-lines-left-out", {{"count", std::to_string(missed)}});
    }
    write(log4cxx::Level::getInfo(), event, fields, kMaxValueBytes);
}

void flushLog()
{
    lineBuffer().flush();
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    write(log4cxx::Level::getWarn(), event, fields);
}

std::string joined(std::span<const std::string> texts, std::string_view separator)
{
    std::string result;
    for (const std::string &text : texts) {
        result += result.empty() ? "" : separator;
        result += text;
    }
    return result;
}

std::string msText(Duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

std::string twoDecimals(double value)
{
    std::ostringstream text;
    text << std::round(value * 100) / 100;
    return text.str();
}

std::string scientific(double value)
{
    std::ostringstream text;
    text << std::scientific << std::setprecision(1) << value;
    return text.str();
}

} // namespace fulmarlink
