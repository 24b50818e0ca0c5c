#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "fulmarlink/httpserver.h"
#include "fulmarlink/objectstore.h"
#include "fulmarlink/runner.h"

namespace fulmarlink::standins
{

/**
 * In-memory fake of the platform's object API and host list over HTTP.
 * Injectable faults of the object API: down (every call gets 503), delayed responses, and lost
 * answers (the write takes effect, but the caller gets 500).
 */
class ObjectApi
{
public:
    explicit ObjectApi(boost::asio::any_io_executor executor);

    std::uint16_t listen(const std::string &address, std::uint16_t port);
    void setHosts(std::vector<HostInfo> hosts);
    /** Writes an object unconditionally. */
    void seed(const std::string &key, const std::string &text);
    void setDown(bool down);
    void setDelay(std::chrono::milliseconds delay);
    /** The next @p count writes take effect but are answered with 500. */
    void loseAnswers(unsigned count);
    std::uint64_t calls() const;
    StoredObject object(const std::string &key) const;
    void close();

private:
    boost::asio::awaitable<HttpResponse> handle(HttpRequest request);
    boost::asio::awaitable<HttpResponse> read(std::string key, std::string query);
    /** Returns the host list with an entity tag, or 304 if the caller's If-None-Match has that tag. */
    HttpResponse hostList(const HttpRequest &request) const;
    HttpResponse write(const std::string &key, const HttpRequest &request);
    HttpResponse answer(const StoredObject &object, bool withText) const;

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<HttpServer> m_server;
    mutable std::mutex m_mutex;
    std::map<std::string, StoredObject> m_objects;
    std::vector<HostInfo> m_hosts;
    bool m_down = false;
    std::chrono::milliseconds m_delay{0};
    unsigned m_lostAnswers = 0;
    std::uint64_t m_calls = 0;
};

} // namespace fulmarlink::standins
