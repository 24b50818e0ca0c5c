// An event ends at a blank line: "\n\n", or "\r\n\r\n". m_scanned is where the search
// goes on, so that each byte is looked at once.

#include "fulmarlink/eventsplitter.h"

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

void EventSplitter::push(std::string_view bytes)
{
    m_held += bytes;
    for (; m_scanned < m_held.size(); ++m_scanned) {
        if (m_held[m_scanned] != '\n') {
            continue;
        }
        const bool plain = m_scanned >= 1 && m_held[m_scanned - 1] == '\n';
        const bool withReturn = m_scanned >= 3 && m_held.compare(m_scanned - 3, 4, "\r\n\r\n") == 0;
        if (plain || withReturn) {
            m_whole = m_scanned + 1;
        }
    }
}

std::string EventSplitter::takeCompleteEvents()
{
    if (mutated(Mutation::GiveHalfEvents)) {
        m_whole = m_held.size();
    }
    std::string whole = m_held.substr(0, m_whole);
    m_held.erase(0, m_whole);
    m_scanned -= m_whole;
    m_whole = 0;
    readIds(whole);
    return whole;
}

void EventSplitter::readIds(std::string_view whole)
{
    std::size_t begin = 0;
    while (begin < whole.size()) {
        const std::size_t end = std::min(whole.find('\n', begin), whole.size());
        std::string_view line = whole.substr(begin, end - begin);
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
    return m_held.size() > m_whole;
}

bool EventSplitter::tooLong() const
{
    return m_held.size() - m_whole > kMaxEventBytes;
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
    m_held.clear();
    m_scanned = 0;
    m_whole = 0;
}

} // namespace fulmarlink
