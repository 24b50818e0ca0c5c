#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/message.h"

namespace fulmarlink
{

struct SpreadOptions {
    NodeId self = 0;
    unsigned watchers = 3; ///< entries that watch the object API for a document
    unsigned fanout = 4; ///< peers told at once of a new version
    Duration pullInterval = std::chrono::seconds(1); ///< how often one random peer is asked
};

/** One versioned document as a node knows it. */
struct SpreadDocument {
    std::uint64_t version = 0;
    std::string text;
    TimePoint confirmedAt{}; ///< when the store or a peer last had no newer version
};

/**
 * Carries versioned documents (rules, key homes) from the object API to all entry
 * hosts: a few watch, the rest learn from peers.
 *
 * Algorithm: the `watchers` entries that come first in a rendezvous hash over the
 * listed entries watch the store; the set follows the host list, so it heals by
 * itself. Whoever learns a new version tells `fanout` random peers its number, and
 * peers that lack it ask for the text (push of numbers, pull of texts). Besides, each
 * node asks one random peer every pullInterval, which repairs lost messages: the
 * share of nodes that lack a version shrinks by at least a constant factor each
 * interval ("epidemic algorithms", Demers et al.).
 *
 * Contract: a node's version of a document never falls. Pure; not thread-safe.
 */
class DocumentSpread
{
public:
    DocumentSpread(SpreadOptions options, std::vector<std::string> documents, std::uint64_t seed);

    void setPeers(const std::vector<NodeId> &entries);
    /** True if this node shall watch the store. */
    bool isWatcher() const;
    /** A version from the store, from a peer or from the settings; false if it is not newer. */
    bool offer(TimePoint now, const std::string &document, std::uint64_t version, std::string text);
    /** The store has said that nothing newer exists. */
    void confirm(TimePoint now, const std::string &document);
    /** True if a document changed. */
    bool receive(TimePoint now, NodeId from, const Message &message);
    void tick(TimePoint now);

    const SpreadDocument &document(const std::string &name) const;
    std::vector<Envelope> takeMessages();

private:
    void tell(const std::string &name, unsigned count);
    NodeId randomPeer();

    SpreadOptions m_options;
    std::map<std::string, SpreadDocument> m_documents;
    std::vector<NodeId> m_peers; ///< without this node
    bool m_watcher = true;
    TimePoint m_nextPull{};
    Random m_random;
    std::vector<Envelope> m_messages;
};

} // namespace fulmarlink
