#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarlink/counters.h"

namespace fulmarlink
{

/** An item of an answer that can't be parsed or decoded. The product uses nothing of it but its name. */
struct MalformedItem {
    std::string name; ///< empty if it can't be read
    std::uint64_t revision = 0; ///< 0 if it can't be read
    std::string problem;
};

/**
 * Tracks the malformed items of the answers that are read again and again. Logs a line when an item becomes malformed, when its problem
 * changes and when that ends, rather than at each read.
 *
 * Contract: a gauge holds the number of malformed items. At most kMaxLines lines a call, and kMaxTracked items of a kind are tracked;
 * what goes beyond is counted in the gauge and in one line. Not thread-safe.
 */
class MalformedItems
{
public:
    static constexpr std::size_t kMaxLines = 20;
    static constexpr std::size_t kMaxTracked = 1000;
    static constexpr std::size_t kMaxNameText = 64; ///< bytes of a name in a log line

    /** @p event and @p nameField are those of the log lines. @p gauge is registered in @p counters. */
    MalformedItems(Counters &counters, std::string_view gauge, std::string event, std::string nameField);

    /** Replaces the malformed items of @p kind by those of a complete read. */
    void replace(const std::string &kind, std::vector<MalformedItem> items);
    /** Adds an item, or notes its present problem. */
    void add(const std::string &kind, const MalformedItem &item);
    /** The item is sound again, or gone. */
    void remove(const std::string &kind, const std::string &name);
    /** Removes the items whose names are not in @p names, without a line. */
    void retain(const std::set<std::string> &names);
    std::size_t size() const;

private:
    struct Kind {
        std::map<std::string, MalformedItem> items; ///< by name
        std::size_t untracked = 0;
    };

    void logLine(const std::string &kind, const MalformedItem &item, std::string_view change);
    void finishCall(const std::string &kind);

    Counters &m_counters;
    Counters::Id m_gauge;
    std::string m_event;
    std::string m_nameField;
    std::map<std::string, Kind> m_kinds;
    std::size_t m_lines = 0; ///< of this call
};

} // namespace fulmarlink
