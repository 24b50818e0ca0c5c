#include "standins/objectapi.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

#include "fulmarlink/hostlist.h"
#include "fulmarlink/nodeid.h"

namespace fulmarlink::standins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr std::string_view kObjects = "/v1/objects/";
constexpr std::string_view kHosts = "/v1/hosts";
constexpr std::chrono::milliseconds kWatchPollInterval{20};

std::uint64_t parseNumberAfter(std::string_view text, std::string_view name)
{
    const std::size_t at = text.find(name);
    std::uint64_t value = 0;
    if (at != std::string_view::npos) {
        std::from_chars(text.data() + at + name.size(), text.data() + text.size(), value);
    }
    return value;
}

asio::awaitable<void> sleepFor(std::chrono::milliseconds time)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

ObjectApi::ObjectApi(asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
    m_server = std::make_shared<HttpServer>(m_executor, [this](HttpRequest request) {
        return handle(std::move(request));
    });
}

std::uint16_t ObjectApi::listen(const std::string &address, std::uint16_t port)
{
    return m_server->listen(address, port);
}

asio::awaitable<HttpResponse> ObjectApi::handle(HttpRequest request)
{
    const std::string target(request.target().data(), request.target().size());
    if (target == kHosts) {
        co_return hostList(request);
    }
    std::chrono::milliseconds delay{0};
    bool down = false;
    {
        const std::lock_guard lock(m_mutex);
        ++m_calls;
        delay = m_delay;
        down = m_down;
    }
    if (delay.count() > 0) {
        co_await sleepFor(delay);
    }
    if (down) {
        co_return textResponse(503, "down\n");
    }
    if (!target.starts_with(kObjects)) {
        co_return textResponse(404, "no such path\n");
    }
    const std::size_t question = target.find('?');
    const std::string key = target.substr(kObjects.size(), question == std::string::npos ? question : question - kObjects.size());
    if (request.method() == http::verb::put) {
        co_return write(key, request);
    }
    std::string query;
    if (question != std::string::npos) {
        query = target.substr(question);
    }
    co_return co_await read(key, std::move(query));
}

HttpResponse ObjectApi::hostList(const HttpRequest &request) const
{
    const std::lock_guard lock(m_mutex);
    const std::string text = serializeHostList(m_hosts);
    const std::string tag = '"' + std::to_string(hashOf(text)) + '"';
    HttpResponse response = request[http::field::if_none_match] == tag ? textResponse(304, {}) : textResponse(200, text, "application/json");
    response.set(http::field::etag, tag);
    return response;
}

asio::awaitable<HttpResponse> ObjectApi::read(std::string key, std::string query)
{
    const std::uint64_t above = parseNumberAfter(query, "above=");
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(parseNumberAfter(query, "wait_ms="));
    for (;;) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_down) {
                co_return textResponse(503, "down\n");
            }
            const auto it = m_objects.find(key);
            if (it == m_objects.end() && query.empty()) {
                co_return textResponse(404, "no such object\n");
            }
            if (it != m_objects.end() && (query.empty() || it->second.version > above)) {
                co_return answer(it->second, true);
            }
        }
        if (std::chrono::steady_clock::now() >= until) {
            co_return textResponse(304, {});
        }
        co_await sleepFor(kWatchPollInterval);
    }
}

HttpResponse ObjectApi::write(const std::string &key, const HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_objects.find(key);
    const std::uint64_t version = it == m_objects.end() ? 0 : it->second.version;
    const auto match = request[http::field::if_match];
    const bool mustBeNew = request[http::field::if_none_match] == "*";
    const std::uint64_t expected = match.empty() ? 0 : parseNumberAfter({match.data(), match.size()}, "\"");
    if ((mustBeNew && version != 0) || (!mustBeNew && expected != version)) {
        return textResponse(412, "the version is " + std::to_string(version) + "\n");
    }
    m_objects[key] = {version + 1, request.body()};
    if (m_lostAnswers > 0) {
        --m_lostAnswers;
        return textResponse(500, "answer lost\n");
    }
    return answer(m_objects[key], false);
}

HttpResponse ObjectApi::answer(const StoredObject &object, bool withText) const
{
    HttpResponse response = textResponse(200, withText ? object.text : std::string());
    response.set(http::field::etag, '"' + std::to_string(object.version) + '"');
    return response;
}

void ObjectApi::setHosts(std::vector<HostInfo> hosts)
{
    const std::lock_guard lock(m_mutex);
    m_hosts = std::move(hosts);
}

void ObjectApi::seed(const std::string &key, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_objects[key] = {m_objects[key].version + 1, text};
}

void ObjectApi::setDown(bool down)
{
    const std::lock_guard lock(m_mutex);
    m_down = down;
}

void ObjectApi::setDelay(std::chrono::milliseconds delay)
{
    const std::lock_guard lock(m_mutex);
    m_delay = delay;
}

void ObjectApi::loseAnswers(unsigned count)
{
    const std::lock_guard lock(m_mutex);
    m_lostAnswers = count;
}

std::uint64_t ObjectApi::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

StoredObject ObjectApi::object(const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_objects.find(key);
    return it == m_objects.end() ? StoredObject{} : it->second;
}

void ObjectApi::close()
{
    m_server->close();
}

} // namespace fulmarlink::standins
