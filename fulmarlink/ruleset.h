#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fulmarlink/route.h"
#include "fulmarlink/yamlreader.h"

namespace fulmarlink
{

class Action;
class Condition;

/** One when-then rule. */
struct Rule {
    std::string name;
    int line = 0; ///< where it stands in its file
    std::vector<std::unique_ptr<Condition>> when; ///< all must hold; empty: always
    std::vector<std::unique_ptr<Action>> then;
};

/**
 * An ordered list of when-then rules; the first that matches decides.
 *
 * How to use:
 * @code
 * FileErrors errors;
 * const auto rules = RuleSet::parse(text, "rules.yaml", errors);
 * if (!rules) { ... print the errors ... }
 * const Route route = rules->route(request);
 * @endcode
 *
 * Contract: immutable after parse(), so threads may share one. match() costs
 * O(r) where r is the number of rules that name this request's customer, model or
 * path plus the rules that name none of them; it does not grow with the number of
 * rules for other customers. matchLinear() is the slow oracle and gives the same.
 */
class RuleSet
{
public:
    static constexpr std::size_t kMaxRules = 20'000;

    RuleSet();
    ~RuleSet();
    RuleSet(const RuleSet &) = delete;
    RuleSet &operator=(const RuleSet &) = delete;

    /** Null if the file has any error; all of them are in @p errors. */
    static std::shared_ptr<const RuleSet> parse(std::string_view text, const std::string &file, FileErrors &errors);

    /** Rules that were made in code, in order. */
    static std::shared_ptr<const RuleSet> fromRules(std::vector<Rule> rules);

    /** The index of the first rule that matches, or -1. */
    int match(const RequestInfo &request) const;
    int matchLinear(const RequestInfo &request) const;

    /** What the matching rule says; NoRuleMatched as refusal if none does. */
    Route route(const RequestInfo &request) const;

    const std::vector<Rule> &rules() const;
    /** The names of all pools that rules route to, sorted. */
    std::vector<std::string> pools() const;
    /** The first condition of @p rule that @p request does not meet, or null. */
    static const Condition *firstFailure(const Rule &rule, const RequestInfo &request);

private:
    using RuleIndexes = std::vector<std::uint32_t>;
    using ValueIndex = std::unordered_map<std::string, RuleIndexes>;

    void compile();
    std::uint32_t firstMatch(const RuleIndexes &candidates, const RequestInfo &request, std::uint32_t best) const;
    std::uint32_t firstMatch(const ValueIndex &index, const std::string &value, const RequestInfo &request, std::uint32_t best) const;

    std::vector<Rule> m_rules;
    ValueIndex m_byCustomer;
    ValueIndex m_byModel;
    ValueIndex m_byPath;
    RuleIndexes m_rest;
};

} // namespace fulmarlink
