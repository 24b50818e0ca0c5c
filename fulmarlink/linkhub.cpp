#include "fulmarlink/linkhub.h"

#include <boost/asio/strand.hpp>

#include "fulmarlink/counters.h"
#include "fulmarlink/link.h"

namespace fulmarlink
{

namespace asio = boost::asio;
using asio::ip::tcp;

LinkHub::LinkHub(asio::any_io_executor executor, LinkIdentity identity, LinkEvents &events, Counters &counters)
    : m_executor(std::move(executor))
    , m_identity(std::move(identity))
    , m_events(events)
    , m_counters(counters)
{
}

LinkHub::~LinkHub() = default;

std::uint16_t LinkHub::listen(const std::string &address, std::uint16_t port)
{
    m_acceptor = std::make_unique<tcp::acceptor>(asio::make_strand(m_executor), tcp::endpoint(asio::ip::make_address(address), port));
    const std::uint16_t actual = m_acceptor->local_endpoint().port();
    accept();
    return actual;
}

void LinkHub::accept()
{
    m_acceptor->async_accept(asio::make_strand(m_executor), [self = shared_from_this()](const boost::system::error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            const auto link = std::make_shared<Link>(std::move(socket), self, false, 0);
            const std::lock_guard lock(self->m_mutex);
            if (self->m_closed) {
                return;
            }
            std::erase_if(self->m_accepted, [](const auto &weak) {
                return weak.expired();
            });
            self->m_accepted.push_back(link);
            link->start();
        }
        self->accept();
    });
}

void LinkHub::setAddress(NodeId node, const std::string &address, std::uint16_t port)
{
    const std::lock_guard lock(m_mutex);
    m_peers[node].address = address;
    m_peers[node].port = port;
}

void LinkHub::open(NodeId node)
{
    std::unique_lock lock(m_mutex);
    Peer &peer = m_peers[node];
    if (m_closed || peer.opening) {
        return;
    }
    if (peer.outgoing) {
        // Already open: whoever asks has missed the event.
        const auto link = peer.outgoing;
        lock.unlock();
        asio::post(m_executor, [self = shared_from_this(), link] {
            self->m_events.linkUp(link->ref(), true, link->peerLeaving());
        });
        return;
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(peer.address, error);
    if (error || peer.port == 0) {
        lock.unlock();
        asio::post(m_executor, [self = shared_from_this(), node] {
            self->m_events.linkFailed(node);
        });
        return;
    }
    peer.opening = true;
    const auto link = std::make_shared<Link>(tcp::socket(asio::make_strand(m_executor)), shared_from_this(), true, m_nextEpoch++);
    link->connect(node, tcp::endpoint(address, peer.port));
}

void LinkHub::send(NodeId node, const Message &message)
{
    std::shared_ptr<Link> link;
    bool needsLink = false;
    {
        const std::lock_guard lock(m_mutex);
        Peer &peer = m_peers[node];
        link = peer.outgoing ? peer.outgoing : peer.incoming;
        if (!link && !std::holds_alternative<wire::DispatchT>(message) && peer.port != 0 && peer.held.size() < kMaxHeld) {
            peer.held.push_back(message);
            needsLink = true;
        }
    }
    if (link) {
        link->send(message);
    } else if (needsLink) {
        open(node);
    }
}

bool LinkHub::established(const std::shared_ptr<Link> &link)
{
    return link->outgoing() ? establishedOutgoing(link) : establishedIncoming(link);
}

bool LinkHub::establishedOutgoing(const std::shared_ptr<Link> &link)
{
    std::vector<Message> held;
    {
        // Before the event, whose receiver sends on the link at once.
        const std::lock_guard lock(m_mutex);
        Peer &peer = m_peers[link->ref().node];
        peer.outgoing = link;
        peer.opening = false;
        held = std::exchange(peer.held, {});
    }
    const bool wanted = m_events.linkUp(link->ref(), true, link->peerLeaving());
    for (const Message &message : held) {
        link->send(message);
    }
    return wanted;
}

bool LinkHub::establishedIncoming(const std::shared_ptr<Link> &link)
{
    if (!m_events.linkUp(link->ref(), false, link->peerLeaving())) {
        return false;
    }
    std::shared_ptr<Link> older;
    {
        const std::lock_guard lock(m_mutex);
        older = std::exchange(m_peers[link->ref().node].incoming, link);
    }
    if (older) {
        older->close();
    }
    return true;
}

void LinkHub::connectFailed(NodeId node)
{
    {
        const std::lock_guard lock(m_mutex);
        Peer &peer = m_peers[node];
        peer.opening = false;
        peer.held.clear();
        if (m_closed) {
            return;
        }
    }
    m_events.linkFailed(node);
}

void LinkHub::closed(const std::shared_ptr<Link> &link)
{
    {
        const std::lock_guard lock(m_mutex);
        Peer &peer = m_peers[link->ref().node];
        if (peer.outgoing == link) {
            peer.outgoing.reset();
        }
        if (peer.incoming == link) {
            peer.incoming.reset();
        }
        if (m_closed) {
            return;
        }
    }
    m_events.linkDown(link->ref(), link->outgoing());
}

Message LinkHub::hello(std::uint64_t epoch) const
{
    wire::HelloT hello;
    hello.major = kProtocolMajor;
    hello.minor = kProtocolMinor;
    hello.node = m_identity.node;
    hello.name = m_identity.name;
    hello.role = m_identity.role;
    hello.zone = m_identity.zone;
    hello.incarnation = m_identity.incarnation;
    hello.link_epoch = epoch;
    const std::lock_guard lock(m_mutex);
    hello.leaving = m_leaving;
    return hello;
}

void LinkHub::setLeaving()
{
    const std::lock_guard lock(m_mutex);
    m_leaving = true;
}

void LinkHub::close()
{
    std::vector<std::shared_ptr<Link>> links;
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        for (auto &[node, peer] : m_peers) {
            // Links hold the hub: it must not hold them, or neither is ever freed.
            links.push_back(std::exchange(peer.outgoing, nullptr));
            links.push_back(std::exchange(peer.incoming, nullptr));
        }
        for (const auto &weak : m_accepted) {
            links.push_back(weak.lock());
        }
    }
    for (const auto &link : links) {
        if (link) {
            link->close();
        }
    }
    if (m_acceptor) {
        asio::post(m_acceptor->get_executor(), [self = shared_from_this()] {
            boost::system::error_code ignored;
            self->m_acceptor->close(ignored);
        });
    }
}

std::size_t LinkHub::links() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto &[node, peer] : m_peers) {
        count += (peer.outgoing ? 1 : 0) + (peer.incoming ? 1 : 0);
    }
    return count;
}

} // namespace fulmarlink
