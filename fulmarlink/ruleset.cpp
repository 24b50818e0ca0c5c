// How the match works. Every rule is filed once: under the values of one condition
// that demands an exact customer, else path, else model; a rule without such a
// condition goes into m_rest. A request can only match rules filed under its own
// customer, path or model, or in m_rest. Each of these lists is in rule order, so
// the first match of each is found by walking it, and the least index of the four
// is the answer. Invariant: a rule is in exactly one of the four structures.

#include "fulmarlink/ruleset.h"

#include <algorithm>
#include <limits>
#include <set>

#include "fulmarlink/action.h"
#include "fulmarlink/condition.h"

namespace fulmarlink
{

namespace
{

constexpr std::uint32_t kNoRule = std::numeric_limits<std::uint32_t>::max();

template<typename Plugin, typename PluginRegistry>
std::vector<std::unique_ptr<Plugin>> readPlugins(const YamlReader &reader)
{
    std::vector<std::unique_ptr<Plugin>> result;
    reader.keys(PluginRegistry::instance().names());
    for (const auto &[key, value] : reader.entries()) {
        if (auto plugin = PluginRegistry::instance().create(key, value)) {
            result.push_back(std::move(plugin));
        }
    }
    return result;
}

bool allHold(const Rule &rule, const RequestInfo &request)
{
    return RuleSet::firstFailure(rule, request) == nullptr;
}

Rule readRule(const YamlReader &reader)
{
    Rule rule;
    reader.keys({"name", "when", "then"});
    rule.name = reader.requiredText("name");
    rule.line = reader.line();
    rule.when = readPlugins<Condition, ConditionRegistry>(reader.child("when"));
    rule.then = readPlugins<Action, ActionRegistry>(reader.child("then"));
    const auto deciding = std::ranges::count_if(rule.then, [](const auto &action) {
        return action->decides();
    });
    if (deciding != 1) {
        reader.fail("rule '" + rule.name + "' with " + std::to_string(deciding) + " of route and refuse", "exactly one of route and refuse");
    }
    return rule;
}

/** The condition under which a rule is filed, or null. */
const Condition *indexCondition(const Rule &rule)
{
    for (const IndexField field : {IndexField::Customer, IndexField::Path, IndexField::Model}) {
        const auto it = std::ranges::find_if(rule.when, [field](const auto &condition) {
            return condition->indexField() == field;
        });
        if (it != rule.when.end()) {
            return it->get();
        }
    }
    return nullptr;
}

} // namespace

RuleSet::RuleSet() = default;
RuleSet::~RuleSet() = default;

std::shared_ptr<const RuleSet> RuleSet::parse(std::string_view text, const std::string &file, FileErrors &errors)
{
    const std::size_t before = errors.size();
    const YamlReader reader = YamlReader::parse(text, file, errors);
    reader.keys({"rules"});
    auto result = std::make_shared<RuleSet>();
    std::set<std::string> names;
    for (const YamlReader &element : reader.child("rules").elements()) {
        if (result->m_rules.size() == kMaxRules) {
            element.fail("more rules", "at most " + std::to_string(kMaxRules));
            break;
        }
        Rule rule = readRule(element);
        if (!rule.name.empty() && !names.insert(rule.name).second) {
            element.fail("rule '" + rule.name + "' twice", "each name once");
        }
        result->m_rules.push_back(std::move(rule));
    }
    if (errors.size() == before && result->m_rules.empty()) {
        reader.fail("no rules", "a list under 'rules'");
    }
    if (errors.size() != before) {
        return nullptr;
    }
    result->compile();
    return result;
}

std::shared_ptr<const RuleSet> RuleSet::fromRules(std::vector<Rule> rules)
{
    auto result = std::make_shared<RuleSet>();
    result->m_rules = std::move(rules);
    result->compile();
    return result;
}

void RuleSet::compile()
{
    for (std::uint32_t i = 0; i < m_rules.size(); ++i) {
        const Condition *condition = indexCondition(m_rules[i]);
        if (condition == nullptr) {
            m_rest.push_back(i);
            continue;
        }
        const IndexField field = condition->indexField();
        ValueIndex &index = field == IndexField::Customer ? m_byCustomer : field == IndexField::Path ? m_byPath : m_byModel;
        for (const std::string &value : condition->indexValues()) {
            index[value].push_back(i);
        }
    }
}

std::uint32_t RuleSet::firstMatch(const RuleIndexes &candidates, const RequestInfo &request, std::uint32_t best) const
{
    for (const std::uint32_t i : candidates) {
        if (i >= best) {
            return best;
        }
        if (allHold(m_rules[i], request)) {
            return i;
        }
    }
    return best;
}

std::uint32_t RuleSet::firstMatch(const ValueIndex &index, const std::string &value, const RequestInfo &request, std::uint32_t best) const
{
    const auto it = index.find(value);
    return it == index.end() ? best : firstMatch(it->second, request, best);
}

int RuleSet::match(const RequestInfo &request) const
{
    std::uint32_t best = firstMatch(m_byCustomer, request.customer, request, kNoRule);
    best = firstMatch(m_byPath, request.path, request, best);
    best = firstMatch(m_byModel, request.model, request, best);
    best = firstMatch(m_rest, request, best);
    return best == kNoRule ? -1 : static_cast<int>(best);
}

int RuleSet::matchLinear(const RequestInfo &request) const
{
    const auto it = std::ranges::find_if(m_rules, [&](const Rule &rule) {
        return allHold(rule, request);
    });
    return it == m_rules.end() ? -1 : static_cast<int>(it - m_rules.begin());
}

Route RuleSet::route(const RequestInfo &request) const
{
    Route route;
    route.priority = request.priority;
    route.idempotent = request.idempotent;
    const int index = match(request);
    if (index < 0) {
        route.refusal = ResultCode::NoRuleMatched;
        return route;
    }
    for (const auto &action : m_rules[static_cast<std::size_t>(index)].then) {
        action->apply(route);
    }
    return route;
}

const std::vector<Rule> &RuleSet::rules() const
{
    return m_rules;
}

std::vector<std::string> RuleSet::pools() const
{
    std::set<std::string> names;
    for (const Rule &rule : m_rules) {
        Route route;
        for (const auto &action : rule.then) {
            action->apply(route);
        }
        if (!route.pool.empty()) {
            names.insert(route.pool);
        }
    }
    return {names.begin(), names.end()};
}

const Condition *RuleSet::firstFailure(const Rule &rule, const RequestInfo &request)
{
    const auto it = std::ranges::find_if_not(rule.when, [&](const auto &condition) {
        return condition->matches(request);
    });
    return it == rule.when.end() ? nullptr : it->get();
}

} // namespace fulmarlink
