#include "fulmarlink/routerules.h"

#include <algorithm>

#include "fulmarlink/action.h"
#include "fulmarlink/condition.h"
#include "fulmarlink/ruleset.h"

namespace fulmarlink
{

namespace
{

/** The request is for a host and its path begins with a prefix. */
class HostPathCondition final : public Condition
{
public:
    HostPathCondition(std::string host, std::string prefix)
        : m_hosts{std::move(host)}
        , m_prefix(std::move(prefix))
    {
    }

    bool matches(const RequestInfo &request) const override
    {
        return request.path.starts_with(m_prefix) && request.host == m_hosts.front();
    }

    std::string describe() const override
    {
        return "host=" + m_hosts.front() + " path_prefix=" + m_prefix;
    }

private:
    std::vector<std::string> m_hosts;
    std::string m_prefix;
};

/** Sets all that an operator's route says. */
class RouteSpecAction final : public Action
{
public:
    explicit RouteSpecAction(const RouteSpec &spec)
        : m_spec(spec)
    {
    }

    void apply(Route &route) const override
    {
        route.name = m_spec.name;
        route.pools = m_spec.pools;
        route.pool = m_spec.pools.front().pool;
        route.idempotent = m_spec.kind == RequestKind::Idempotent || (m_spec.kind == RequestKind::Streaming && m_spec.resumable);
        route.streaming = m_spec.kind == RequestKind::Streaming;
        route.resumable = m_spec.resumable;
        route.anonymous = m_spec.anonymous;
        route.rank = m_spec.priority;
        route.maxAttempts = m_spec.maxAttempts;
        route.objective = m_spec.objective;
        route.gapTarget = m_spec.gapTarget;
        if (m_spec.timeout > Duration(0)) {
            route.deadline = m_spec.timeout;
        }
    }

    std::string describe() const override
    {
        return "route=" + m_spec.pools.front().pool;
    }

    bool decides() const override
    {
        return true;
    }

private:
    RouteSpec m_spec;
};

} // namespace

std::shared_ptr<const RuleSet> rulesFromRoutes(std::span<const RouteSpec> routes)
{
    std::vector<const RouteSpec *> ordered;
    for (const RouteSpec &route : routes) {
        ordered.push_back(&route);
    }
    std::ranges::stable_sort(ordered, std::ranges::greater(), [](const RouteSpec *route) {
        return route->pathPrefix.size();
    });
    std::vector<Rule> rules;
    for (const RouteSpec *route : ordered) {
        Rule rule;
        rule.name = route->name;
        rule.when.push_back(std::make_unique<HostPathCondition>(route->host, route->pathPrefix));
        rule.then.push_back(std::make_unique<RouteSpecAction>(*route));
        rules.push_back(std::move(rule));
    }
    return RuleSet::fromRules(std::move(rules));
}

} // namespace fulmarlink
