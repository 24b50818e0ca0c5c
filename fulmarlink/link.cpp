#include "fulmarlink/link.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "fulmarlink/counters.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::seconds kHelloTimeout{3};

} // namespace

Link::Link(Tcp::socket socket, std::shared_ptr<LinkHub> hub, bool outgoing, std::uint64_t epoch)
    : m_socket(std::move(socket))
    , m_hub(std::move(hub))
    , m_helloTimer(m_socket.get_executor())
    , m_outgoing(outgoing)
{
    m_ref.epoch = epoch;
}

void Link::connect(NodeId node, const Tcp::endpoint &endpoint)
{
    m_wanted = node;
    armHelloTimer();
    m_socket.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            self->fail(error);
            return;
        }
        boost::system::error_code ignored;
        self->m_socket.set_option(Tcp::no_delay(true), ignored);
        self->send(self->m_hub->hello(self->m_ref.epoch));
        self->readHeader();
    });
}

void Link::start()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_socket.set_option(Tcp::no_delay(true), ignored);
        self->armHelloTimer();
        self->readHeader();
    });
}

void Link::armHelloTimer()
{
    m_helloTimer.expires_after(kHelloTimeout);
    m_helloTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_established) {
            self->fail(ResultCode::HelloExpected);
        }
    });
}

void Link::readHeader()
{
    asio::async_read(m_socket, asio::buffer(m_header), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        if (error) {
            self->fail(error);
            return;
        }
        std::size_t length = 0;
        const std::error_code bad = decodeFrameLength(self->m_header, length);
        if (bad) {
            self->fail(bad);
            return;
        }
        self->readBody(length);
    });
}

void Link::readBody(std::size_t length)
{
    m_body.resize(length);
    asio::async_read(m_socket, asio::buffer(m_body), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        if (error) {
            self->fail(error);
            return;
        }
        self->onFrame();
    });
}

void Link::onFrame()
{
    Message message;
    const std::error_code bad = decodeFrameBody(m_body, message);
    if (bad) {
        fail(bad);
        return;
    }
    if (m_established) {
        m_hub->m_events.linkMessage(m_ref, message);
    } else if (const auto *hello = std::get_if<wire::HelloT>(&message)) {
        onHello(*hello);
    } else {
        fail(ResultCode::HelloExpected);
    }
    if (!m_closed) {
        readHeader();
    }
}

void Link::onHello(const wire::HelloT &hello)
{
    if (hello.major != kProtocolMajor) {
        fail(ResultCode::ProtocolMajorDiffers);
        return;
    }
    if (m_outgoing && hello.node != m_wanted) {
        fail(ResultCode::HelloExpected); // another process has taken the address
        return;
    }
    m_ref.node = hello.node;
    m_ref.incarnation = hello.incarnation;
    m_peerLeaving = hello.leaving;
    if (!m_outgoing) {
        m_ref.epoch = hello.link_epoch;
        send(m_hub->hello(hello.link_epoch));
    }
    m_helloTimer.cancel();
    m_established = true;
    if (!m_hub->established(shared_from_this())) {
        fail(ResultCode::StaleLink);
    }
}

void Link::send(const Message &message)
{
    asio::post(m_socket.get_executor(), [self = shared_from_this(), frame = encodeFrame(message)]() mutable {
        if (self->m_closed) {
            return;
        }
        self->m_unsentBytes += frame.size();
        self->m_unsent.push_back(std::move(frame));
        if (self->m_unsentBytes > LinkHub::kMaxUnsentBytes) {
            self->fail(ResultCode::LinkLost);
            return;
        }
        if (!self->m_writing) {
            self->write();
        }
    });
}

void Link::write()
{
    m_writing = true;
    std::vector<asio::const_buffer> buffers;
    const std::size_t count = m_unsent.size();
    for (const auto &frame : m_unsent) {
        buffers.emplace_back(asio::buffer(frame));
    }
    asio::async_write(m_socket, buffers, [self = shared_from_this(), count](const boost::system::error_code &error, std::size_t bytes) {
        if (error) {
            self->fail(error);
            return;
        }
        self->m_unsentBytes -= bytes;
        self->m_unsent.erase(self->m_unsent.begin(), self->m_unsent.begin() + static_cast<std::ptrdiff_t>(count));
        self->m_writing = false;
        if (!self->m_unsent.empty()) {
            self->write();
        }
    });
}

void Link::close()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->fail(std::make_error_code(std::errc::operation_canceled));
    });
}

void Link::fail(std::error_code error)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    if (error.category() == resultCategory()) {
        m_hub->m_counters.countResult(static_cast<ResultCode>(error.value()));
    }
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_helloTimer.cancel();
    if (m_established) {
        m_hub->closed(shared_from_this());
    } else if (m_outgoing) {
        m_hub->connectFailed(m_wanted);
    }
}

const LinkRef &Link::ref() const
{
    return m_ref;
}

bool Link::outgoing() const
{
    return m_outgoing;
}

bool Link::peerLeaving() const
{
    return m_peerLeaving;
}

} // namespace fulmarlink
