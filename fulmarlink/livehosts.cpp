#include "fulmarlink/livehosts.h"

#include <utility>

namespace fulmarlink
{

void LiveHosts::recordRead(const std::vector<EntryRecord> &records)
{
    std::map<std::string, Host> hosts;
    for (const EntryRecord &record : records) {
        const auto before = m_hosts.find(record.host);
        const bool same = record.isRenewed && before != m_hosts.end() && before->second.revision == record.revision;
        hosts[record.host] = {record.revision, same ? before->second.unchanged + 1 : 0};
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
        host.unchanged = host.unchanged < kUnchangedReadsUntilGone ? 0 : host.unchanged;
    }
}

std::vector<std::string> LiveHosts::hosts() const
{
    std::vector<std::string> result;
    for (const auto &[name, host] : m_hosts) {
        if (host.unchanged < kUnchangedReadsUntilGone) {
            result.push_back(name);
        }
    }
    return result;
}

} // namespace fulmarlink
