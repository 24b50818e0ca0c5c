#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fulmarlink/agentcore.h"
#include "fulmarlink/message.h"

namespace fulmarlink
{

class Counters;
class Link;

/** What a process says of itself when a link opens. */
struct LinkIdentity {
    NodeId node = 0;
    std::string name;
    std::string role;
    std::string zone;
    std::uint64_t incarnation = 0;
};

/** What a LinkHub reports. Calls come from the hub's threads, one at a time for each link. */
class LinkEvents
{
public:
    virtual ~LinkEvents() = default;
    /** A link is open; false closes it again. */
    virtual bool linkUp(const LinkRef &link, bool outgoing, bool leaving) = 0;
    virtual void linkDown(const LinkRef &link, bool outgoing) = 0;
    /** A link could not be opened; nothing that was sent to it has left this process. */
    virtual void linkFailed(NodeId node) = 0;
    virtual void linkMessage(const LinkRef &link, const Message &message) = 0;
};

/**
 * All links of one process to others: framed TCP, opened on demand.
 *
 * How to use: listen(), then open() a link before dispatching to it; send() takes the
 * newest link to the node. Messages other than dispatches are held (kMaxHeld) while a
 * link opens; a dispatch is only ever written to a link that is open, and only once.
 *
 * Contract: thread-safe. A link whose peer sends a frame that is too large or does not
 * verify, or whose major version differs, is closed and counted. A link that its peer
 * does not read is closed once kMaxUnsentBytes wait.
 */
class LinkHub : public std::enable_shared_from_this<LinkHub>
{
public:
    static constexpr std::size_t kMaxHeld = 64;
    static constexpr std::size_t kMaxUnsentBytes = 32U << 20;

    LinkHub(boost::asio::any_io_executor executor, LinkIdentity identity, LinkEvents &events, Counters &counters);
    ~LinkHub();

    /** Accepts links at @p address; port 0 takes any free one. Gives the port. */
    std::uint16_t listen(const std::string &address, std::uint16_t port);
    /** Tells where a node listens; open() needs it. */
    void setAddress(NodeId node, const std::string &address, std::uint16_t port);
    /** Opens a link unless one is open or opening. */
    void open(NodeId node);
    void send(NodeId node, const Message &message);
    /** Tells peers of later links that this process is leaving. */
    void setLeaving();
    void close();
    std::size_t links() const;

private:
    friend class Link;
    struct Peer {
        std::string address;
        std::uint16_t port = 0;
        std::shared_ptr<Link> outgoing; ///< open
        std::shared_ptr<Link> incoming; ///< the newest
        bool opening = false;
        std::vector<Message> held;
    };

    void accept();
    void connected(NodeId node, const std::shared_ptr<Link> &link);
    void connectFailed(NodeId node);
    bool established(const std::shared_ptr<Link> &link);
    bool establishedOutgoing(const std::shared_ptr<Link> &link);
    bool establishedIncoming(const std::shared_ptr<Link> &link);
    void closed(const std::shared_ptr<Link> &link);
    Message hello(std::uint64_t epoch) const;

    boost::asio::any_io_executor m_executor;
    const LinkIdentity m_identity;
    LinkEvents &m_events;
    Counters &m_counters;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    mutable std::mutex m_mutex;
    std::map<NodeId, Peer> m_peers;
    std::vector<std::weak_ptr<Link>> m_accepted;
    std::uint64_t m_nextEpoch = 1;
    bool m_leaving = false;
    bool m_closed = false;
};

} // namespace fulmarlink
