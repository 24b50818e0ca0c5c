#include "review/standin-2/drillstore.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

namespace review
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using fulmarlink::HttpRequest;
using fulmarlink::HttpResponse;

namespace
{

const std::string kObjects = "/v1/objects/";
constexpr unsigned kOk = 200;
constexpr unsigned kCreated = 201;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr unsigned kUnavailable = 503;
constexpr auto kWatchPoll = std::chrono::milliseconds(5);

std::uint64_t queryNumber(const std::string &query, const std::string &name)
{
    const std::size_t at = query.find(name + '=');
    return at == std::string::npos ? 0 : std::strtoull(query.c_str() + at + name.size() + 1, nullptr, 10);
}

} // namespace

DrillStore::DrillStore(asio::io_context &context)
    : m_context(context)
    , m_server(std::make_shared<fulmarlink::HttpServer>(context.get_executor(), [this](HttpRequest request) {
        return handle(std::move(request));
    }))
{
}

std::uint16_t DrillStore::listen()
{
    return m_server->listen("127.0.0.1", 0);
}

void DrillStore::set(const std::string &kind, const std::string &name, json::value spec)
{
    Object &object = m_state.objects[kind][name];
    if (object.revision != 0 && object.spec == spec) {
        return; // a write that changes nothing
    }
    m_state.removed[kind].erase(name);
    object = {++m_state.revision, std::move(spec)};
}

void DrillStore::remove(const std::string &kind, const std::string &name)
{
    if (m_state.objects[kind].erase(name) > 0) {
        m_state.removed[kind][name] = ++m_state.revision;
    }
}

std::size_t DrillStore::count(const std::string &kind) const
{
    const auto it = m_state.objects.find(kind);
    return it == m_state.objects.end() ? 0 : it->second.size();
}

void DrillStore::copy()
{
    m_copy = m_state;
}

void DrillStore::goAway()
{
    m_away = true;
}

void DrillStore::restore()
{
    m_state = m_copy;
    ++m_era;
    m_away = false;
}

HttpResponse DrillStore::answer(unsigned status, const json::value &body) const
{
    HttpResponse response = fulmarlink::textResponse(status, json::serialize(body), "application/json");
    response.set("Store-Era", std::to_string(m_era));
    return response;
}

json::object DrillStore::describe(const std::string &name, const Object &object) const
{
    const json::object metadata{{"name", name}, {"revision", object.revision}, {"created", 1}, {"finalizers", json::array()}, {"deleting", false}};
    return {{"metadata", metadata}, {"spec", object.spec}, {"status", nullptr}};
}

HttpResponse DrillStore::list(const std::string &kind) const
{
    json::array items;
    const auto it = m_state.objects.find(kind);
    if (it != m_state.objects.end()) {
        for (const auto &[name, object] : it->second) {
            items.push_back(describe(name, object));
        }
    }
    return answer(kOk, json::object{{"items", items}, {"more", false}, {"current_rev", m_state.revision}});
}

asio::awaitable<HttpResponse> DrillStore::watch(std::string kind, std::uint64_t revision, std::uint64_t waitMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    const std::uint64_t era = m_era;
    asio::steady_timer timer(m_context);
    for (;;) {
        if (m_away) {
            co_return answer(kUnavailable, nullptr);
        }
        if (era != m_era || revision > m_state.revision) {
            co_return answer(kGone, nullptr);
        }
        json::array events;
        for (const auto &[name, object] : m_state.objects[kind]) {
            if (object.revision > revision) {
                events.push_back(json::object{{"removed", false}, {"object", describe(name, object)}});
            }
        }
        for (const auto &[name, at] : m_state.removed[kind]) {
            if (at > revision) {
                events.push_back(json::object{{"removed", true}, {"object", describe(name, {at, nullptr})}});
            }
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= end) {
            co_return answer(kOk, json::object{{"events", events}, {"current_rev", m_state.revision}});
        }
        boost::system::error_code ignored; // the timer is not cancelled
        timer.expires_after(kWatchPoll);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

HttpResponse DrillStore::write(const std::string &kind, const std::string &name, const HttpRequest &request)
{
    const json::value body = json::parse(request.body());
    const json::object &metadata = body.at("metadata").as_object();
    const std::string key = name.empty() ? std::string(metadata.at("name").as_string()) : name;
    auto &objects = m_state.objects[kind];
    const auto it = objects.find(key);
    if (name.empty() && it != objects.end()) {
        return answer(kConflict, describe(key, it->second));
    }
    if (!name.empty() && it == objects.end()) {
        return answer(kNotFound, nullptr);
    }
    const json::value *condition = metadata.if_contains("revision");
    if (!name.empty() && condition != nullptr && condition->to_number<std::uint64_t>() != it->second.revision) {
        return answer(kConflict, describe(key, it->second));
    }
    set(kind, key, body.at("spec"));
    return answer(name.empty() ? kCreated : kOk, describe(key, objects.at(key)));
}

HttpResponse DrillStore::erase(const std::string &kind, const std::string &name)
{
    if (!m_state.objects[kind].contains(name)) {
        return answer(kNotFound, nullptr);
    }
    remove(kind, name);
    return answer(kOk, nullptr);
}

asio::awaitable<HttpResponse> DrillStore::handle(HttpRequest request)
{
    const std::string target(request.target());
    if (m_away) {
        co_return answer(kUnavailable, nullptr);
    }
    if (!target.starts_with(kObjects)) {
        co_return answer(kNotFound, nullptr);
    }
    const std::size_t question = std::min(target.find('?'), target.size());
    const std::string path = target.substr(kObjects.size(), question - kObjects.size());
    const std::string query = target.substr(question);
    const std::size_t slash = std::min(path.find('/'), path.size());
    const std::string kind = path.substr(0, slash);
    const std::string name = slash < path.size() ? path.substr(slash + 1) : std::string();
    if (request.method() == http::verb::post || request.method() == http::verb::put) {
        co_return write(kind, name, request);
    }
    if (request.method() == http::verb::delete_) {
        co_return erase(kind, name);
    }
    if (query.find("watch=") != std::string::npos) {
        HttpResponse response = co_await watch(kind, queryNumber(query, "watch"), queryNumber(query, "wait_ms"));
        co_return response;
    }
    if (name.empty()) {
        co_return list(kind);
    }
    const auto it = m_state.objects[kind].find(name);
    if (it == m_state.objects[kind].end()) {
        co_return answer(kNotFound, nullptr);
    }
    co_return answer(kOk, describe(name, it->second));
}

} // namespace review
