#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <memory>

#include "fulmarlink/httpclient.h"

namespace fulmarlink
{

/**
 * One kept connection to a service of the platform, for one call at a time.
 *
 * Contract: a call that gets no answer within its time closes the connection, since an
 * answer that was lost means that nothing more comes on it. A call that finds the kept
 * connection closed is sent once more on a new one only if @p repeatable. Bytes that follow
 * an answer belong to no call: the next call does not use their connection.
 * Not thread-safe.
 */
class HttpConnection
{
public:
    HttpConnection(boost::asio::any_io_executor executor, HttpTarget target);
    ~HttpConnection();

    boost::asio::awaitable<HttpResult> call(HttpRequest request, std::chrono::milliseconds timeout, bool repeatable);
    bool busy() const;

private:
    boost::asio::awaitable<HttpResult> callOnce(HttpRequest &request, std::chrono::milliseconds timeout);
    void close();

    struct Parts;
    boost::asio::any_io_executor m_executor;
    HttpTarget m_target;
    std::unique_ptr<Parts> m_parts;
    bool m_busy = false;
};

/** Whether bytes, the peer's close or an error can be read from @p stream now. None of it is taken. */
bool isReadable(boost::beast::tcp_stream &stream);

/** The socket options of every connection that this program opens or accepts. */
void tuneSocket(boost::beast::tcp_stream &stream);

} // namespace fulmarlink
