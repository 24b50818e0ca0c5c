#include "fulmarlink/malformeditems.h"

#include <utility>

#include "fulmarlink/log.h"

namespace fulmarlink
{

MalformedItems::MalformedItems(Counters &counters, std::string_view gauge, std::string event, std::string nameField)
    : m_counters(counters)
    , m_gauge(counters.registerCounter(std::string(gauge)))
    , m_event(std::move(event))
    , m_nameField(std::move(nameField))
{
}

void MalformedItems::replace(const std::string &kind, std::vector<MalformedItem> items)
{
    Kind current;
    unsigned unnamed = 0;
    for (MalformedItem &item : items) {
        if (current.items.size() == kMaxTracked) {
            ++current.untracked;
            continue;
        }
        std::string key = item.name.empty() ? "unnamed " + std::to_string(++unnamed) : item.name;
        current.items.insert_or_assign(std::move(key), std::move(item));
    }
    Kind &known = m_kinds[kind];
    for (const auto &[name, item] : known.items) {
        if (!current.items.contains(name)) {
            logLine(kind, item, "ended");
        }
    }
    for (const auto &[name, item] : current.items) {
        const auto before = known.items.find(name);
        if (before == known.items.end()) {
            logLine(kind, item, "begins");
        } else if (before->second.problem != item.problem) {
            logLine(kind, item, "changed");
        }
    }
    known = std::move(current);
    finishCall(kind);
}

void MalformedItems::add(const std::string &kind, const MalformedItem &item)
{
    Kind &known = m_kinds[kind];
    const auto it = known.items.find(item.name);
    if (it != known.items.end()) {
        if (it->second.problem != item.problem) {
            logLine(kind, item, "changed");
        }
        it->second = item;
    } else if (known.items.size() < kMaxTracked) {
        logLine(kind, item, "begins");
        known.items.emplace(item.name, item);
    }
    finishCall(kind);
}

void MalformedItems::remove(const std::string &kind, const std::string &name)
{
    const auto it = m_kinds.find(kind);
    if (it == m_kinds.end() || !it->second.items.contains(name)) {
        return;
    }
    logLine(kind, it->second.items.at(name), "ended");
    it->second.items.erase(name);
    finishCall(kind);
}

void MalformedItems::retain(const std::set<std::string> &names)
{
    for (auto &[kind, known] : m_kinds) {
        std::erase_if(known.items, [&](const auto &entry) {
            return !names.contains(entry.first);
        });
    }
    m_counters.set(m_gauge, size());
}

std::size_t MalformedItems::size() const
{
    std::size_t total = 0;
    for (const auto &[kind, known] : m_kinds) {
        total += known.items.size() + known.untracked;
    }
    return total;
}

void MalformedItems::logLine(const std::string &kind, const MalformedItem &item, std::string_view change)
{
    if (++m_lines > kMaxLines) {
        return;
    }
    logWarning(m_event,
               {{m_nameField, item.name.substr(0, kMaxNameText)},
                {"kind", kind},
                {"revision", std::to_string(item.revision)},
                {"change", std::string(change)},
                {"problem", item.problem}});
}

void MalformedItems::finishCall(const std::string &kind)
{
    const std::size_t lines = std::exchange(m_lines, 0);
    if (lines > kMaxLines) {
        logWarning(m_event, {{"kind", kind}, {"change", "left-out"}, {"lines", std::to_string(lines - kMaxLines)}});
    }
    m_counters.set(m_gauge, size());
}

} // namespace fulmarlink
