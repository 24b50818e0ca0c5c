#pragma once

#include <map>
#include <string>
#include <vector>

namespace fulmarlink
{

/** What a host has written of itself into the store. */
struct EntryRecord {
    std::string host;
    std::uint64_t revision = 0; ///< higher with each renewal
    bool isRenewed = true; ///< false: it is of a version that writes once, at its start
};

/**
 * Which entry hosts live, from successive readings of what they write of themselves.
 *
 * A host isRenewed its record; one whose record stays the same for kUnchangedReadsUntilGone readings in a row is
 * gone. A host of an earlier version, which writes once, counts as living for good. Readings are counted instead of time, so that nobody is taken for gone
 * while the store is away; one reading after an outage tells nothing.
 *
 * Contract: pure; not thread-safe; O(hosts log hosts).
 */
class LiveHosts
{
public:
    static constexpr unsigned kUnchangedReadsUntilGone = 4;

    /** One reading of all records, so long after the last one that hosts that live have renewed theirs. */
    void recordRead(const std::vector<EntryRecord> &records);
    /** A reading in between: hosts that are new count from now on. */
    void recordIntermediateRead(const std::vector<EntryRecord> &records);
    /** A reading failed: hosts may not have been able to renew theirs. */
    void recordFailedRead();
    std::vector<std::string> hosts() const;

private:
    struct Host {
        std::uint64_t revision = 0;
        unsigned unchanged = 0; ///< readings in a row
    };

    std::map<std::string, Host> m_hosts; ///< all that have a record
};

} // namespace fulmarlink
