#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarlink
{

/**
 * Cuts a stream of server-sent events into whole events.
 *
 * How to use: push() the bytes as they come; takeCompleteEvents() gives all events that are
 * complete, with their closing blank lines; partial() tells whether bytes of an
 * unfinished event are held. After a break begin again with reset().
 *
 * Contract: bytes are given out in order, unchanged and once. lastId() is the id of the
 * last event given out. O(bytes).
 */
class EventSplitter
{
public:
    /** The largest event that is held, in bytes; a longer one counts as a broken stream. */
    static constexpr std::size_t kMaxEventBytes = 256U << 10;

    void push(std::string_view bytes);
    /** The whole events held; empty if there are none. */
    std::string takeCompleteEvents();
    bool partial() const;
    bool tooLong() const;
    /** The last whole event's id; empty before the first. */
    const std::string &lastId() const;
    std::uint64_t events() const;
    /** Forgets the unfinished event. */
    void reset();

private:
    void readIds(std::string_view whole);

    std::string m_held;
    std::size_t m_scanned = 0;
    std::size_t m_whole = 0; ///< bytes of m_held that are whole events
    std::string m_lastId;
    std::uint64_t m_events = 0;
};

} // namespace fulmarlink
