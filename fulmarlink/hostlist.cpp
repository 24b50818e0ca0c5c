#include "fulmarlink/hostlist.h"

#include <boost/json.hpp>

#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

namespace
{

bool readText(const boost::json::object &object, std::string_view key, std::string &text)
{
    const auto *value = object.if_contains(boost::json::string_view(key.data(), key.size()));
    if (value == nullptr || !value->is_string()) {
        return false;
    }
    text = std::string(value->as_string());
    return !text.empty();
}

bool readHost(const boost::json::value &value, HostInfo &host)
{
    const auto *object = value.if_object();
    if (object == nullptr) {
        return false;
    }
    const auto *port = object->if_contains("port");
    boost::system::error_code error;
    if (port != nullptr) {
        host.port = port->to_number<std::uint16_t>(error);
    }
    std::string state;
    const bool texts = readText(*object, "name", host.name) && readText(*object, "role", host.role) && readText(*object, "zone", host.zone)
                       && readText(*object, "address", host.address) && readText(*object, "state", state);
    host.leaving = state == "leaving";
    return texts && port != nullptr && !error && (state == "live" || state == "leaving");
}

} // namespace

std::error_code parseHostList(std::string_view json, std::vector<HostInfo> &hosts)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(boost::json::string_view(json.data(), json.size()), error);
    if (error || !value.is_array() || value.as_array().size() > kMaxHosts) {
        return ResultCode::SettingsInvalid;
    }
    std::vector<HostInfo> read;
    for (const boost::json::value &element : value.as_array()) {
        HostInfo host;
        if (!readHost(element, host)) {
            return ResultCode::SettingsInvalid;
        }
        read.push_back(std::move(host));
    }
    hosts = std::move(read);
    return {};
}

std::string serializeHostList(const std::vector<HostInfo> &hosts)
{
    boost::json::array array;
    for (const HostInfo &host : hosts) {
        array.push_back({{"name", host.name},
                         {"role", host.role},
                         {"zone", host.zone},
                         {"address", host.address},
                         {"port", host.port},
                         {"state", host.leaving ? "leaving" : "live"}});
    }
    return boost::json::serialize(array);
}

} // namespace fulmarlink
