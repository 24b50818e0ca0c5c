#include "fulmarlink/documentspread.h"

#include <algorithm>

#include "fulmarlink/mutation.h"

namespace fulmarlink
{

DocumentSpread::DocumentSpread(SpreadOptions options, std::vector<std::string> documents, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
    for (std::string &name : documents) {
        m_documents.emplace(std::move(name), SpreadDocument{});
    }
}

void DocumentSpread::setPeers(const std::vector<NodeId> &entries)
{
    std::vector<NodeId> order = entries;
    std::ranges::sort(order, {}, [](NodeId id) {
        return mixHash(id, 0);
    });
    const auto self = std::ranges::find(order, m_options.self);
    // A node that the list does not have yet watches for itself.
    m_watcher = self == order.end() || self - order.begin() < static_cast<std::ptrdiff_t>(m_options.watchers);
    m_peers.clear();
    for (const NodeId id : entries) {
        if (id != m_options.self) {
            m_peers.push_back(id);
        }
    }
}

bool DocumentSpread::isWatcher() const
{
    return m_watcher;
}

bool DocumentSpread::offer(TimePoint now, const std::string &name, std::uint64_t version, std::string text)
{
    const auto it = m_documents.find(name);
    if (it == m_documents.end()) {
        return false;
    }
    SpreadDocument &document = it->second;
    document.confirmedAt = std::max(document.confirmedAt, now);
    if (version == document.version || (version < document.version && !mutated(Mutation::AcceptOldConfiguration))) {
        return false;
    }
    document.version = version;
    document.text = std::move(text);
    tell(name, m_options.fanout);
    return true;
}

void DocumentSpread::confirm(TimePoint now, const std::string &name)
{
    const auto it = m_documents.find(name);
    if (it != m_documents.end()) {
        it->second.confirmedAt = std::max(it->second.confirmedAt, now);
    }
}

bool DocumentSpread::receive(TimePoint now, NodeId from, const Message &message)
{
    bool changed = false;
    std::visit(Overloaded{
                   [&](const wire::DocumentVersionT &told) {
                       const auto it = m_documents.find(told.document);
                       if (it == m_documents.end()) {
                           return;
                       }
                       if (told.version > it->second.version) {
                           wire::DocumentRequestT request;
                           request.document = told.document;
                           request.have = it->second.version;
                           m_messages.push_back({from, std::move(request)});
                       } else if (told.version == it->second.version) {
                           it->second.confirmedAt = now;
                       }
                   },
                   [&](const wire::DocumentRequestT &request) {
                       const auto it = m_documents.find(request.document);
                       if (it == m_documents.end()) {
                           return;
                       }
                       if (it->second.version <= request.have) {
                           wire::DocumentVersionT told;
                           told.document = request.document;
                           told.version = it->second.version;
                           m_messages.push_back({from, std::move(told)});
                           return;
                       }
                       wire::DocumentReplyT reply;
                       reply.document = request.document;
                       reply.version = it->second.version;
                       reply.text = it->second.text;
                       m_messages.push_back({from, std::move(reply)});
                   },
                   [&](const wire::DocumentReplyT &reply) {
                       changed = offer(now, reply.document, reply.version, reply.text);
                   },
                   [](const auto & /*other*/) {
                   },
               },
               message);
    return changed;
}

void DocumentSpread::tick(TimePoint now)
{
    if (now < m_nextPull || m_peers.empty()) {
        return;
    }
    m_nextPull = now + m_options.pullInterval;
    const NodeId peer = randomPeer();
    for (const auto &[name, document] : m_documents) {
        wire::DocumentRequestT request;
        request.document = name;
        request.have = document.version;
        m_messages.push_back({peer, std::move(request)});
    }
}

void DocumentSpread::tell(const std::string &name, unsigned count)
{
    if (m_peers.empty()) {
        return;
    }
    for (unsigned i = 0; i < count; ++i) {
        wire::DocumentVersionT told;
        told.document = name;
        told.version = m_documents[name].version;
        m_messages.push_back({randomPeer(), std::move(told)});
    }
}

NodeId DocumentSpread::randomPeer()
{
    return m_peers[std::uniform_int_distribution<std::size_t>(0, m_peers.size() - 1)(m_random)];
}

const SpreadDocument &DocumentSpread::document(const std::string &name) const
{
    return m_documents.at(name);
}

std::vector<Envelope> DocumentSpread::takeMessages()
{
    return std::exchange(m_messages, {});
}

} // namespace fulmarlink
