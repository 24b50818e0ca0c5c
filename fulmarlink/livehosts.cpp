#include "fulmarlink/livehosts.h"

#include <utility>

namespace fulmarlink
{

void LiveHosts::recordRead(const std::vector<EntryRecord> &records)
{
    std::map<std::string, Host> hosts;
    for (const EntryRecord &record : records) {
        const auto previous = m_hosts.find(record.host);
        const bool isUnchanged = record.isRenewed && previous != m_hosts.end() && previous->second.revision == record.revision;
        hosts[record.host] = {record.revision, isUnchanged ? previous->second.unchangedReads + 1 : 0};
    }
    m_hosts = std::move(hosts);
}

void LiveHosts::recordIntermediateRead(const std::vector<EntryRecord> &records)
{
    for (const EntryRecord &record : records) {
        Host &host = m_hosts[record.host];
        if (host.revision != record.revision) {
            host = {record.revision, 0};
        }
    }
}

void LiveHosts::recordFailedRead()
{
    for (auto &[name, host] : m_hosts) {
        host.unchangedReads = host.unchangedReads < kUnchangedReadsUntilGone ? 0 : host.unchangedReads;
    }
}

std::vector<std::string> LiveHosts::hosts() const
{
    std::vector<std::string> result;
    for (const auto &[name, host] : m_hosts) {
        if (host.unchangedReads < kUnchangedReadsUntilGone) {
            result.push_back(name);
        }
    }
    return result;
}

} // namespace fulmarlink
