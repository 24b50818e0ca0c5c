#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <list>
#include <memory>

#include "fulmarlink/httpclient.h"

namespace fulmarlink::testing
{

enum class ProxyMode : std::uint8_t {
    Pass,
    Delay, ///< bytes wait for a while
    Silent, ///< nothing passes, connections stay open
    OneWay, ///< requests pass, answers don't
    Refuse, ///< new connections are closed at once
};

/** Forwards connections on loopback and harms them as told. For one thread. */
class LoopbackProxy
{
public:
    LoopbackProxy(boost::asio::io_context &context, HttpTarget upstream);

    HttpTarget listen();
    void setMode(ProxyMode mode, std::chrono::milliseconds delay = std::chrono::milliseconds(0));
    /** Resets all open connections. */
    void reset();

private:
    struct Pair;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> open(std::shared_ptr<Pair> pair);
    boost::asio::awaitable<void> forward(std::shared_ptr<Pair> pair, bool answers);
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);

    boost::asio::io_context &m_context;
    const HttpTarget m_upstream;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<Pair>> m_pairs;
    ProxyMode m_mode = ProxyMode::Pass;
    std::chrono::milliseconds m_delay{0};
};

} // namespace fulmarlink::testing
