#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <memory>
#include <system_error>
#include <vector>

#include "fulmarlink/frame.h"
#include "fulmarlink/linkhub.h"

namespace fulmarlink
{

/** One framed TCP connection of a LinkHub. All its work runs on one strand. */
class Link : public std::enable_shared_from_this<Link>
{
public:
    using Tcp = boost::asio::ip::tcp;

    Link(Tcp::socket socket, std::shared_ptr<LinkHub> hub, bool outgoing, std::uint64_t epoch);

    /** Connects, says hello and reads. For outgoing links. */
    void connect(NodeId node, const Tcp::endpoint &endpoint);
    /** Reads from a connection that was accepted. */
    void start();
    void send(const Message &message);
    void close();

    const LinkRef &ref() const;
    bool outgoing() const;
    bool peerLeaving() const;

private:
    void readHeader();
    void readBody(std::size_t length);
    void onFrame();
    void onHello(const wire::HelloT &hello);
    void write();
    void fail(std::error_code error);
    void armHelloTimer();

    Tcp::socket m_socket;
    std::shared_ptr<LinkHub> m_hub;
    boost::asio::steady_timer m_helloTimer;
    const bool m_outgoing;
    NodeId m_wanted = 0; ///< the node that an outgoing link is for
    LinkRef m_ref;
    bool m_peerLeaving = false;
    bool m_established = false;
    bool m_closed = false;
    bool m_writing = false;
    std::array<std::uint8_t, kFrameHeaderBytes> m_header{};
    std::vector<std::uint8_t> m_body;
    std::deque<std::vector<std::uint8_t>> m_unsent;
    std::size_t m_unsentBytes = 0;
};

} // namespace fulmarlink
