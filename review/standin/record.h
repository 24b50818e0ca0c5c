#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review
{

/** The record of a case: one line for each thing that was sent, answered or run, with the time since the start. Thread-safe. */
class Record
{
public:
    explicit Record(const std::string &path);

    void line(const std::string &text);
    /** Milliseconds since the record was opened. */
    double now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const std::chrono::steady_clock::time_point m_start;
};

} // namespace review
