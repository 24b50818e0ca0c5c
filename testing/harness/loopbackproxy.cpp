#include "testing/harness/loopbackproxy.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace fulmarlink::testing
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::chrono::milliseconds kHeldCheck{20}; ///< how often held bytes look whether they may pass

void resetSocket(tcp::socket &socket)
{
    boost::system::error_code ignored; // it may be closed already
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct LoopbackProxy::Pair {
    Pair(tcp::socket accepted, asio::io_context &context)
        : near(std::move(accepted))
        , far(context)
    {
    }

    void reset()
    {
        resetSocket(near);
        resetSocket(far);
    }

    tcp::socket near;
    tcp::socket far;
};

LoopbackProxy::LoopbackProxy(asio::io_context &context, HttpTarget upstream)
    : m_context(context)
    , m_upstream(std::move(upstream))
    , m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
{
}

HttpTarget LoopbackProxy::listen()
{
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

void LoopbackProxy::setMode(ProxyMode mode, std::chrono::milliseconds delay)
{
    m_mode = mode;
    m_delay = delay;
}

void LoopbackProxy::reset()
{
    for (const auto &weak : m_pairs) {
        if (const auto pair = weak.lock()) {
            pair->reset();
        }
    }
    m_pairs.clear();
}

asio::awaitable<void> LoopbackProxy::sleep(std::chrono::milliseconds time)
{
    boost::system::error_code ignored; // the timer is not cancelled
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> LoopbackProxy::acceptLoop()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        if (m_mode == ProxyMode::Refuse) {
            resetSocket(socket);
            continue;
        }
        auto pair = std::make_shared<Pair>(std::move(socket), m_context);
        m_pairs.remove_if([](const std::weak_ptr<Pair> &weak) {
            return weak.expired();
        });
        m_pairs.push_back(pair);
        asio::co_spawn(m_context, open(std::move(pair)), asio::detached);
    }
}

asio::awaitable<void> LoopbackProxy::open(std::shared_ptr<Pair> pair)
{
    boost::system::error_code error;
    co_await pair->far.async_connect({asio::ip::make_address(m_upstream.address), m_upstream.port}, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        pair->reset();
        co_return;
    }
    asio::co_spawn(m_context, forward(pair, false), asio::detached);
    asio::co_spawn(m_context, forward(pair, true), asio::detached);
}

asio::awaitable<void> LoopbackProxy::forward(std::shared_ptr<Pair> pair, bool answers)
{
    tcp::socket &from = answers ? pair->far : pair->near;
    tcp::socket &to = answers ? pair->near : pair->far;
    std::array<char, 4096> bytes{};
    boost::system::error_code error;
    while (!error) {
        const std::size_t size = co_await from.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        bool held = true;
        while (held) {
            held = m_mode == ProxyMode::Silent || (m_mode == ProxyMode::OneWay && answers);
            if (held) {
                co_await sleep(kHeldCheck);
            }
        }
        if (m_mode == ProxyMode::Delay) {
            co_await sleep(m_delay);
        }
        if (error) {
            break;
        }
        co_await asio::async_write(to, asio::buffer(bytes.data(), size), asio::redirect_error(asio::use_awaitable, error));
    }
    boost::system::error_code ignored; // the other side may be gone
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (error != asio::error::eof) {
        pair->reset();
    }
}

} // namespace fulmarlink::testing
