#include "review/standin/record.h"

#include <cstdio>

namespace review
{

Record::Record(const std::string &path)
    : m_file(path)
    , m_start(std::chrono::steady_clock::now())
{
}

void Record::line(const std::string &text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%10.1f ", now());
    const std::lock_guard lock(m_mutex);
    m_file << time << text << '\n' << std::flush;
}

double Record::now() const
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - m_start).count();
}

} // namespace review
