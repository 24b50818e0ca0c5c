#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "fulmarlink/clock.h"
#include "fulmarlink/configuration.h"

namespace fulmarlink
{

class RuleSet;

/** The owner of an API key. */
struct KeyOwner {
    std::string customer;
    std::optional<std::uint32_t> priority;
};

/** A configuration made ready for requests. Immutable. */
struct ActiveConfiguration {
    Configuration configuration;
    std::shared_ptr<const RuleSet> rules;
    std::unordered_map<std::string, KeyOwner> keys;
};

/**
 * The configuration in force on this host, and how fresh it is known to be.
 *
 * A read of the store proves what was in force when the read began, so a proof bears
 * that time. A host without a recent proof can't know that a key was not taken away.
 *
 * Contract: versions only rise within one process; an older one that arrives late is
 * counted and dropped. Pure; not thread-safe.
 */
class ConfigState
{
public:
    /** Takes @p next if it is newer than what is in force. True if it was taken. */
    bool offer(Configuration next);
    /** A linearizable read that began at @p began showed what is in force. */
    void confirm(TimePoint began);
    /** Null until the first configuration is known. */
    std::shared_ptr<const ActiveConfiguration> active() const;
    std::uint64_t version() const;
    /** Time since the newest proof's beginning; a day if there is none. */
    Duration age(TimePoint now) const;

private:
    std::shared_ptr<const ActiveConfiguration> m_active;
    std::optional<TimePoint> m_confirmed;
};

} // namespace fulmarlink
