#pragma once

#include <chrono>
#include <fstream>
#include <string>

namespace review
{

/** The record of a run: a line for each event, with the milliseconds since its start. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_start(std::chrono::steady_clock::now())
    {
    }

    void line(const std::string &text)
    {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start);
        m_file << age.count() << " ms: " << text << '\n';
        m_file.flush();
    }

private:
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_start;
};

} // namespace review
