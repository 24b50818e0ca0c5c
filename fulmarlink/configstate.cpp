#include "fulmarlink/configstate.h"

#include <algorithm>

#include "fulmarlink/mutation.h"
#include "fulmarlink/routerules.h"
#include "fulmarlink/ruleset.h"

namespace fulmarlink
{

namespace
{

constexpr Duration kNeverConfirmed = std::chrono::hours(24);

} // namespace

const ServiceSpec *Configuration::service(const std::string &name) const
{
    const auto it = std::ranges::find(services, name, &ServiceSpec::name);
    return it == services.end() ? nullptr : &*it;
}

bool ConfigState::offer(Configuration next)
{
    if (m_active && next.version <= m_active->configuration.version && !mutated(Mutation::TakeOlderVersion)) {
        return false;
    }
    auto active = std::make_shared<ActiveConfiguration>();
    active->rules = rulesFromRoutes(next.routes);
    for (const CustomerSpec &customer : next.customers) {
        for (const std::string &key : customer.apiKeys) {
            active->keys.emplace(key, KeyOwner{customer.name, customer.priority});
        }
    }
    active->configuration = std::move(next);
    m_active = std::move(active);
    return true;
}

void ConfigState::confirm(TimePoint began)
{
    m_confirmed = std::max(m_confirmed.value_or(began), began);
}

std::shared_ptr<const ActiveConfiguration> ConfigState::active() const
{
    return m_active;
}

std::uint64_t ConfigState::version() const
{
    return m_active ? m_active->configuration.version : 0;
}

Duration ConfigState::age(TimePoint now) const
{
    return m_confirmed ? now - *m_confirmed : kNeverConfirmed;
}

} // namespace fulmarlink
