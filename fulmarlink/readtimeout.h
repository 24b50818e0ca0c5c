#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <memory>

namespace fulmarlink
{

/** Cancels a read after a timeout without closing the connection, so that an error response can still be sent. */
class ReadTimeout
{
public:
    ReadTimeout(const boost::asio::any_io_executor &executor, boost::beast::tcp_stream &stream)
        : m_timer(executor)
        , m_stream(stream)
        , m_expired(std::make_shared<bool>(false))
    {
    }

    void start(std::chrono::milliseconds time)
    {
        m_timer.expires_after(time);
        m_timer.async_wait([expired = m_expired, &stream = m_stream](const boost::system::error_code &error) {
            if (!error && expired.use_count() > 1) {
                *expired = true;
                stream.cancel();
            }
        });
    }

    void stop()
    {
        m_timer.cancel();
    }

    bool expired() const
    {
        return *m_expired;
    }

private:
    boost::asio::steady_timer m_timer;
    boost::beast::tcp_stream &m_stream;
    std::shared_ptr<bool> m_expired; ///< shared with the timer handler, which may outlive this object
};

} // namespace fulmarlink
