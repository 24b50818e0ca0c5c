#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarlink
{

/**
 * Splits a stream of server-sent events into complete events.
 *
 * Usage: push() the bytes as they arrive; takeCompleteEvents() returns all complete events
 * with their terminating blank lines; partial() tells whether bytes of an incomplete event
 * are buffered. Call reset() before reading from a new connection.
 *
 * Contract: bytes are returned in order, unchanged and once. lastId() is the last id in
 * the events returned. The total time is linear in the number of bytes.
 */
class EventSplitter
{
public:
    /** Maximum size of a buffered event in bytes; the caller treats a longer one as a broken stream. */
    static constexpr std::size_t kMaxEventBytes = 256U << 10;

    void push(std::string_view bytes);
    /** Removes and returns the complete events in the buffer; empty if there are none. */
    std::string takeCompleteEvents();
    bool partial() const;
    bool tooLong() const;
    /** The last event id returned so far; empty if there was none. */
    const std::string &lastId() const;
    std::uint64_t events() const;
    /** Discards the buffered bytes; lastId() and events() stay. */
    void reset();

private:
    void countAndReadIds(std::string_view completeEvents);

    std::string m_buffer;
    std::size_t m_scanned = 0;
    std::size_t m_completeBytes = 0; ///< size in bytes of the complete events at the start of m_buffer
    std::string m_lastId;
    std::uint64_t m_events = 0;
};

} // namespace fulmarlink
