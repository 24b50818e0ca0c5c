#include "fulmarlink/httpobjectstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>

#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr std::chrono::milliseconds kCallTimeout{2000};
constexpr std::chrono::milliseconds kWatchWait{10000}; ///< asked of the server
constexpr std::chrono::milliseconds kWatchTimeout{13000};
constexpr int kHttp11 = 11;

std::string quoted(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

std::uint64_t versionOf(const HttpResponse &response)
{
    const auto tag = response[http::field::etag];
    std::uint64_t version = 0;
    if (tag.size() > 2) {
        std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
    }
    return version;
}

std::error_code errorOf(const HttpResponse &response)
{
    switch (response.result()) {
    case http::status::ok:
    case http::status::created:
        return {};
    case http::status::not_found:
        return ResultCode::ObjectNotFound;
    case http::status::not_modified:
        return ResultCode::VersionNotNewer;
    case http::status::precondition_failed:
        return ResultCode::VersionConflict;
    default:
        // The server failed at a moment that is not known: a write may have taken effect.
        return ResultCode::StoreAnswerLost;
    }
}

HttpRequest requestFor(http::verb verb, const std::string &key, const std::string &query = {})
{
    return HttpRequest(verb, "/v1/objects/" + key + query, kHttp11);
}

} // namespace

HttpObjectStore::HttpObjectStore(asio::any_io_executor executor, HttpTarget target, Counters &counters)
    : m_executor(std::move(executor))
    , m_target(std::move(target))
    , m_counters(counters)
    , m_calls(counters.registerCounter("fulmarlink_store_calls_total"))
    , m_failures(counters.registerCounter("fulmarlink_store_failures_total"))
{
}

void HttpObjectStore::get(const std::string &key, Callback callback)
{
    call(requestFor(http::verb::get, key), kCallTimeout, std::move(callback));
}

void HttpObjectStore::put(const std::string &key, std::uint64_t expected, const std::string &text, Callback callback)
{
    HttpRequest request = requestFor(http::verb::put, key);
    if (expected == 0) {
        request.set(http::field::if_none_match, "*");
    } else {
        request.set(http::field::if_match, quoted(expected));
    }
    request.body() = text;
    call(std::move(request), kCallTimeout, std::move(callback));
}

void HttpObjectStore::watch(const std::string &key, std::uint64_t above, Callback callback)
{
    const std::string query = "?above=" + std::to_string(above) + "&wait_ms=" + std::to_string(kWatchWait.count());
    call(requestFor(http::verb::get, key, query), kWatchTimeout, std::move(callback));
}

void HttpObjectStore::call(HttpRequest request, std::chrono::milliseconds timeout, Callback callback)
{
    m_counters.add(m_calls);
    const auto done = [this, callback = std::move(callback)](const std::exception_ptr &failure, HttpResult result) {
        StoredObject object;
        std::error_code error = failure ? make_error_code(ResultCode::StoreUnavailable) : result.error;
        if (!error) {
            error = errorOf(result.response);
            object.version = versionOf(result.response);
            object.text = std::move(result.response.body());
        }
        if (error == ResultCode::StoreUnavailable || error == ResultCode::StoreAnswerLost) {
            m_counters.add(m_failures);
        }
        callback(error, object);
    };
    asio::co_spawn(m_executor, httpCall(m_target, std::move(request), timeout), done);
}

} // namespace fulmarlink
