#include "review/standin/store.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdlib>

namespace review
{

namespace json = boost::json;
namespace http = boost::beast::http;

namespace
{

const std::string kPath = "/v1/objects/";
const std::string kJson = "Content-Type: application/json\r\n";

std::uint64_t numberIn(const std::string &query, const std::string &name)
{
    const std::size_t at = query.find(name + '=');
    return at == std::string::npos ? 0 : std::strtoull(query.c_str() + at + name.size() + 1, nullptr, 10);
}

} // namespace

Store::Store()
    : m_server([this](Connection &connection, const Request &request) {
        return handle(connection, request);
    })
{
}

unsigned short Store::port() const
{
    return m_server.port();
}

void Store::set(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(m_mutex);
    Object &object = m_kinds[kind][name];
    if (object.revision != 0 && !object.removed && object.spec == spec) {
        return; // a write that changes nothing
    }
    object = {++m_revision, spec, false};
    m_changed.notify_all();
}

void Store::set(const std::string &kind, const std::string &name, const json::value &spec)
{
    set(kind, name, std::string(json::serialize(spec)));
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    Object &object = m_kinds[kind][name];
    object.revision = ++m_revision;
    object.removed = true;
    m_changed.notify_all();
}

std::string Store::textOf(const std::string &name, const Object &object)
{
    return R"({"metadata":{"name":)" + json::serialize(json::value(name)) + R"(,"revision":)" + std::to_string(object.revision) + R"(},"spec":)" + object.spec
           + '}';
}

std::string Store::read(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    if (!name.empty()) {
        const auto it = m_kinds[kind].find(name);
        const bool found = it != m_kinds[kind].end() && !it->second.removed;
        return found ? answer("200 OK", kJson, textOf(name, it->second)) : answer("404 Not Found", kJson, "{}");
    }
    std::string items;
    for (const auto &[key, object] : m_kinds[kind]) {
        if (!object.removed) {
            items += (items.empty() ? "" : ",") + textOf(key, object);
        }
    }
    return answer("200 OK", kJson, R"({"items":[)" + items + R"(],"more":false,"current_rev":)" + std::to_string(m_revision) + '}');
}

std::string Store::watch(const std::string &kind, const std::string &query)
{
    const std::uint64_t since = numberIn(query, "watch");
    std::unique_lock lock(m_mutex);
    std::string events;
    m_changed.wait_for(lock, std::chrono::milliseconds(numberIn(query, "wait_ms")), [&] {
        for (const auto &[key, object] : m_kinds[kind]) {
            if (object.revision > since) {
                events += (events.empty() ? "" : ",") + (R"({"object":)" + textOf(key, object)) + R"(,"removed":)" + (object.removed ? "true}" : "false}");
            }
        }
        return !events.empty();
    });
    return answer("200 OK", kJson, R"({"events":[)" + events + R"(],"current_rev":)" + std::to_string(m_revision) + '}');
}

std::string Store::write(const std::string &kind, const std::string &name, const Request &request)
{
    boost::system::error_code error;
    const json::value body = json::parse(request.body(), error);
    if (error || !body.is_object()) {
        return answer("400 Bad Request", kJson, "{}");
    }
    const json::object &metadata = body.at("metadata").as_object();
    const bool creates = request.method() == http::verb::post;
    const std::string key = creates ? std::string(metadata.at("name").as_string()) : name;
    const std::lock_guard lock(m_mutex);
    Object &object = m_kinds[kind][key];
    const bool exists = object.revision != 0 && !object.removed;
    if (!exists && !creates) {
        return answer("404 Not Found", kJson, "{}");
    }
    const json::value *condition = metadata.if_contains("revision");
    const bool conflicts = condition != nullptr && condition->to_number<std::uint64_t>() != object.revision;
    if (exists && (creates || conflicts)) {
        return answer("409 Conflict", kJson, textOf(key, object));
    }
    const std::string spec = json::serialize(body.at("spec"));
    if (!exists || object.spec != spec) {
        object = {++m_revision, spec, false};
        m_changed.notify_all();
    }
    return answer(creates ? "201 Created" : "200 OK", kJson, textOf(key, object));
}

bool Store::handle(Connection &connection, const Request &request)
{
    const std::string target(request.target());
    const std::size_t mark = std::min(target.find('?'), target.size());
    const std::string query = target.substr(mark);
    if (!target.starts_with(kPath)) {
        return connection.write(answer("404 Not Found", kJson, "{}"));
    }
    const std::string path = target.substr(kPath.size(), mark - kPath.size());
    const std::size_t slash = std::min(path.find('/'), path.size());
    const std::string kind = path.substr(0, slash);
    const std::string name = slash < path.size() ? path.substr(slash + 1) : "";
    if (request.method() == http::verb::get) {
        return connection.write(query.find("watch=") == std::string::npos ? read(kind, name) : watch(kind, query));
    }
    if (request.method() == http::verb::delete_) {
        remove(kind, name);
        return connection.write(answer("200 OK", kJson, "{}"));
    }
    return connection.write(write(kind, name, request));
}

} // namespace review
