#include "fulmarlink/slottable.h"

#include <boost/json.hpp>

#include "fulmarlink/resultcode.h"

namespace fulmarlink
{

namespace
{

constexpr std::uint64_t kLowHashSeed = 0x9e3779b97f4a7c15;

bool parseOwner(const boost::json::value &value, SlotOwner &owner)
{
    const auto *object = value.if_object();
    if (object == nullptr) {
        return false;
    }
    const auto *name = object->if_contains("owner");
    const auto *incarnation = object->if_contains("incarnation");
    const auto *term = object->if_contains("term");
    const auto *clean = object->if_contains("clean");
    if (name == nullptr || !name->is_string() || incarnation == nullptr || term == nullptr || clean == nullptr || !clean->is_bool()) {
        return false;
    }
    boost::system::error_code error;
    owner.name = std::string(name->as_string());
    owner.incarnation = incarnation->to_number<std::uint64_t>(error);
    if (error) {
        return false;
    }
    owner.term = term->to_number<std::uint64_t>(error);
    owner.clean = clean->as_bool();
    return !error;
}

} // namespace

KeyHash hashKey(std::string_view customer, std::string_view key)
{
    const std::uint64_t seed = hashOf(customer);
    return {hashOf(key, seed), hashOf(key, seed ^ kLowHashSeed)};
}

SlotTable::SlotTable()
    : owners(kSlots)
{
}

std::uint32_t SlotTable::slotOf(const KeyHash &key)
{
    return static_cast<std::uint32_t>(key.high % kSlots);
}

std::string SlotTable::serialize() const
{
    boost::json::array slots;
    for (const SlotOwner &owner : owners) {
        slots.push_back({{"owner", owner.name}, {"incarnation", owner.incarnation}, {"term", owner.term}, {"clean", owner.clean}});
    }
    return boost::json::serialize(boost::json::object{{"slots", slots}});
}

std::error_code SlotTable::parse(std::string_view text, std::uint64_t newVersion)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(boost::json::string_view(text.data(), text.size()), error);
    if (error || !value.is_object()) {
        return ResultCode::SettingsInvalid;
    }
    const auto *slots = value.as_object().if_contains("slots");
    if (slots == nullptr || !slots->is_array() || slots->as_array().size() != kSlots) {
        return ResultCode::SettingsInvalid;
    }
    std::vector<SlotOwner> parsed;
    for (const boost::json::value &slot : slots->as_array()) {
        SlotOwner owner;
        if (!parseOwner(slot, owner)) {
            return ResultCode::SettingsInvalid;
        }
        parsed.push_back(std::move(owner));
    }
    owners = std::move(parsed);
    version = newVersion;
    return {};
}

} // namespace fulmarlink
