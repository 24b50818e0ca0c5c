#pragma once

#include <map>
#include <string>
#include <vector>

namespace fulmarlink
{

/** The record that an entry host keeps of itself in the store. */
struct EntryRecord {
    std::string host;
    std::uint64_t revision = 0; ///< rises with each renewal
    bool isRenewed = true; ///< false: the host runs an earlier version, which writes its record only at startup
};

/**
 * Tracks which entry hosts are alive from successive reads of their records in the store.
 *
 * A live host renews its record; a host whose record stays unchanged for kUnchangedReadsUntilGone
 * reads in a row counts as gone. A host of an earlier version, which writes its record only once,
 * counts as alive for as long as the record exists. Reads are counted instead of time, so that no
 * host is declared gone while the store is unreachable. A single read after an outage proves
 * nothing, since hosts may not have been able to renew their records.
 *
 * Contract: pure; not thread-safe; O(hosts log hosts).
 */
class LiveHosts
{
public:
    static constexpr unsigned kUnchangedReadsUntilGone = 4;

    /** Applies a read of all records. Every live host must have had time to renew its record since the previous call. */
    void recordRead(const std::vector<EntryRecord> &records);
    /** Applies a read before all records are due for renewal: adds new hosts but counts no record as unchanged. */
    void recordIntermediateRead(const std::vector<EntryRecord> &records);
    /** Records a failed read. Hosts may not have been able to renew either, so the counts of those still alive restart. */
    void recordFailedRead();
    /** The names of the live hosts, sorted. */
    std::vector<std::string> hosts() const;

private:
    struct Host {
        std::uint64_t revision = 0;
        unsigned unchangedReads = 0; ///< in a row
    };

    std::map<std::string, Host> m_hosts; ///< all hosts that have a record, by name
};

} // namespace fulmarlink
