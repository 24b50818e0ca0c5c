#include <gtest/gtest.h>

#include "fulmarlink/clock.h"
#include "fulmarlink/ruleset.h"

namespace fulmarlink::testing
{

namespace
{

std::shared_ptr<const RuleSet> parse(const std::string &text)
{
    FileErrors errors;
    auto rules = RuleSet::parse(text, "rules.yaml", errors);
    EXPECT_TRUE(errors.empty()) << errors.front().text();
    return rules;
}

std::string randomRules(Random &random, unsigned count)
{
    std::string text = "rules:\n";
    for (unsigned i = 0; i < count; ++i) {
        text += "  - name: rule" + std::to_string(i) + "\n    when: {";
        std::string conditions;
        const auto add = [&](const std::string &condition) {
            conditions += (conditions.empty() ? "" : ", ") + condition;
        };
        if (random() % 2 == 0) {
            add("customer: [c" + std::to_string(random() % 9) + ", c" + std::to_string(random() % 9) + "]");
        }
        if (random() % 3 == 0) {
            add("model: m" + std::to_string(random() % 4));
        }
        if (random() % 3 == 0) {
            add("path: /p" + std::to_string(random() % 4));
        }
        if (random() % 5 == 0) {
            add("path_prefix: /p");
        }
        if (random() % 5 == 0) {
            add("priority: [high, low]");
        }
        if (random() % 5 == 0) {
            add("idempotent: false");
        }
        if (random() % 6 == 0) {
            add("prompt_tokens: {min: 10, max: 100}");
        }
        if (random() % 6 == 0) {
            add("time: '22:00-06:00'");
        }
        if (random() % 6 == 0) {
            add("header: {name: X-Team, value: [a, b]}");
        }
        text += conditions + "}\n    then: {route: pool}\n";
    }
    return text;
}

RequestInfo randomRequest(Random &random)
{
    RequestInfo request;
    request.customer = "c" + std::to_string(random() % 10);
    request.model = "m" + std::to_string(random() % 5);
    request.path = "/p" + std::to_string(random() % 5);
    request.priority = static_cast<Priority>(random() % kPriorities);
    request.idempotent = random() % 2 == 0;
    request.promptTokens = static_cast<std::uint32_t>(random() % 150);
    request.minuteOfDay = static_cast<unsigned>(random() % 1440);
    if (random() % 2 == 0) {
        request.headers.emplace_back("x-team", random() % 2 == 0 ? "a" : "z");
    }
    return request;
}

} // namespace

TEST(RuleSet, CompiledMatchEqualsLinearOracle)
{
    Random random(42);
    unsigned matched = 0;
    for (unsigned round = 0; round < 200; ++round) {
        const auto rules = parse(randomRules(random, 1 + static_cast<unsigned>(random() % 30)));
        ASSERT_TRUE(rules);
        for (unsigned i = 0; i < 100; ++i) {
            const RequestInfo request = randomRequest(random);
            const int index = rules->match(request);
            ASSERT_EQ(index, rules->matchLinear(request));
            matched += index >= 0 ? 1 : 0;
        }
    }
    EXPECT_GT(matched, 1000U);
}

TEST(RuleSet, EveryErrorIsLocatedInOnePass)
{
    FileErrors errors;
    const auto rules = RuleSet::parse("rules:\n"
                                      "  - name: a\n"
                                      "    when: {custmer: x}\n"
                                      "    then: {route: pool}\n"
                                      "  - name: b\n"
                                      "    when: {priority: urgent}\n"
                                      "    then: {route: pool, refuse: runner-replaced}\n"
                                      "  - name: c\n"
                                      "    when: {time: '25:00-26:00'}\n"
                                      "    then: {deadline_ms: 0}\n",
                                      "rules.yaml",
                                      errors);
    EXPECT_EQ(rules, nullptr);
    std::vector<std::string> texts;
    for (const FileError &error : errors) {
        texts.push_back(error.text());
    }
    const std::vector<std::string> expected = {
        "rules.yaml:3:12: found unknown key 'custmer', expected 'customer'",
        "rules.yaml:6:22: found 'urgent', expected high, normal or low",
        "rules.yaml:7:33: found 'runner-replaced', expected the name of a result code that says not run, for example refused-by-rule",
        "rules.yaml:5:5: found rule 'b' with 2 of route and refuse, expected exactly one of route and refuse",
        "rules.yaml:9:18: found '25:00-26:00', expected a time window HH:MM-HH:MM",
        "rules.yaml:10:25: found '0', expected a whole number from 1 to 3600000",
        "rules.yaml:8:5: found rule 'c' with 0 of route and refuse, expected exactly one of route and refuse",
    };
    EXPECT_EQ(texts, expected);
}

TEST(RuleSet, FirstMatchDecides)
{
    const auto rules = parse("rules:\n"
                             "  - {name: one, when: {customer: acme, path_prefix: /note}, then: {refuse: refused-by-rule}}\n"
                             "  - {name: two, when: {customer: acme}, then: {route: a, priority: high, deadline_ms: 50, idempotent: false}}\n"
                             "  - {name: all, when: {}, then: {route: b, limit: {tokens_per_second: 10}}}\n");
    RequestInfo request;
    request.customer = "acme";
    request.path = "/note/1";
    EXPECT_EQ(rules->route(request).refusal, ResultCode::RefusedByRule);
    request.path = "/other";
    const Route second = rules->route(request);
    EXPECT_EQ(second.pool, "a");
    EXPECT_EQ(second.priority, Priority::High);
    EXPECT_EQ(second.deadline, Duration(std::chrono::milliseconds(50)));
    request.customer = "other";
    EXPECT_EQ(rules->route(request).pool, "b");
    EXPECT_EQ(rules->route(request).limit->burst, 10U);
    EXPECT_EQ(rules->pools(), (std::vector<std::string>{"a", "b"}));
}

TEST(RuleSet, NoMatchIsRefused)
{
    const auto rules = parse("rules:\n  - {name: one, when: {customer: acme}, then: {route: a}}\n");
    EXPECT_EQ(rules->route(RequestInfo()).refusal, ResultCode::NoRuleMatched);
}

} // namespace fulmarlink::testing
