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
 * Stands in for the platform's object API and host list, over HTTP and in memory.
 * Faults are set by calls: down (every call gets 503), slow, and lost answers (the
 * write takes effect, the connection gets 500).
 */
class ObjectApi
{
public:
    explicit ObjectApi(boost::asio::any_io_executor executor);

    std::uint16_t listen(const std::string &address, std::uint16_t port);
    void setHosts(std::vector<HostInfo> hosts);
    /** Puts an object in place, whatever is there. */
    void seed(const std::string &key, const std::string &text);
    void setDown(bool down);
    void setDelay(std::chrono::milliseconds delay);
    /** The answers of the next @p count writes are lost. */
    void loseAnswers(unsigned count);
    std::uint64_t calls() const;
    StoredObject object(const std::string &key) const;
    void close();

private:
    boost::asio::awaitable<HttpResponse> handle(HttpRequest request);
    boost::asio::awaitable<HttpResponse> read(std::string key, std::string query);
    /** The host list, with an entity tag; 304 to a caller that has it. */
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
