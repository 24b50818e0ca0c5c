// An event ends at a blank line: "\n\n" or "\r\n\r\n". m_scanned is where the search
// continues, so that each byte is examined only once.

#include "fulmarlink/eventsplitter.h"

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

void EventSplitter::push(std::string_view bytes)
{
    m_buffer += bytes;
    for (; m_scanned < m_buffer.size(); ++m_scanned) {
        if (m_buffer[m_scanned] != '\n') {
            continue;
        }
        const bool afterLf = m_scanned >= 1 && m_buffer[m_scanned - 1] == '\n';
        const bool afterCrLf = m_scanned >= 3 && m_buffer.compare(m_scanned - 3, 4, "\r\n\r\n") == 0;
        if (afterLf || afterCrLf) {
            m_completeBytes = m_scanned + 1;
        }
    }
}

std::string EventSplitter::takeCompleteEvents()
{
    if (mutated(Mutation::GiveHalfEvents)) {
        m_completeBytes = m_buffer.size();
    }
    std::string result = m_buffer.substr(0, m_completeBytes);
    m_buffer.erase(0, m_completeBytes);
    m_scanned -= m_completeBytes;
    m_completeBytes = 0;
    countAndReadIds(result);
    return result;
}

void EventSplitter::countAndReadIds(std::string_view completeEvents)
{
    std::size_t begin = 0;
    while (begin < completeEvents.size()) {
        const std::size_t end = std::min(completeEvents.find('\n', begin), completeEvents.size());
        std::string_view line = completeEvents.substr(begin, end - begin);
        begin = end + 1;
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            ++m_events;
            continue;
        }
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            m_lastId = line;
        }
    }
}

bool EventSplitter::partial() const
{
    return m_buffer.size() > m_completeBytes;
}

bool EventSplitter::tooLong() const
{
    return m_buffer.size() - m_completeBytes > kMaxEventBytes;
}

const std::string &EventSplitter::lastId() const
{
    return m_lastId;
}

std::uint64_t EventSplitter::events() const
{
    return m_events;
}

void EventSplitter::reset()
{
    m_buffer.clear();
    m_scanned = 0;
    m_completeBytes = 0;
}

} // namespace fulmarlink
