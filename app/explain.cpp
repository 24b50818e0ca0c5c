// explain: which rule takes a request, and why the ones before it don't.

#include <charconv>
#include <iostream>

#include "app/commands.h"
#include "fulmarlink/action.h"
#include "fulmarlink/condition.h"
#include "fulmarlink/ruleset.h"

namespace fulmarlink
{

namespace
{

constexpr const char *kFields = "customer, model, method, path, priority, prompt_tokens, minute, idempotent, header:NAME";

bool setField(RequestInfo &request, const std::string &name, const std::string &value)
{
    const auto number = [&](auto &target) {
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), target);
        return error == std::errc() && end == value.data() + value.size();
    };
    if (name == "customer") {
        request.customer = value;
    } else if (name == "model") {
        request.model = value;
    } else if (name == "method") {
        request.method = value;
        request.idempotent = methodIsIdempotent(value);
    } else if (name == "path") {
        request.path = value;
    } else if (name == "priority") {
        return parsePriority(value, request.priority);
    } else if (name == "prompt_tokens") {
        return number(request.promptTokens);
    } else if (name == "minute") {
        return number(request.minuteOfDay);
    } else if (name == "idempotent") {
        request.idempotent = value == "true";
        return value == "true" || value == "false";
    } else if (name.starts_with("header:")) {
        request.headers.emplace_back(name.substr(std::string_view("header:").size()), value);
    } else {
        return false;
    }
    return true;
}

void printRule(const Rule &rule, const RequestInfo &request, bool taken)
{
    std::cout << (taken ? "takes it   " : "passed by  ") << rule.name << " (line " << rule.line << ")";
    if (const Condition *failed = RuleSet::firstFailure(rule, request)) {
        std::cout << ": not " << failed->describe();
    }
    std::cout << '\n';
    if (!taken) {
        return;
    }
    for (const auto &condition : rule.when) {
        std::cout << "             when " << condition->describe() << '\n';
    }
    for (const auto &action : rule.then) {
        std::cout << "             then " << action->describe() << '\n';
    }
}

} // namespace

ExitCode runExplain(int argc, const char **argv)
{
    std::vector<std::string> fields;
    CommandLine line("explain", "Prints the rule that takes a request, and the condition on which each rule before it failed.", "RULES");
    line.addTexts("set", &fields, "A field of the request; may be given several times", "FIELD=VALUE");
    ExitCode code = ExitCode::Ok;
    if (!line.parse(argc, argv, code)) {
        return code;
    }
    if (line.operands().size() != 1) {
        return line.fail("exactly one rule file is needed");
    }
    RequestInfo request;
    request.method = "POST";
    request.path = "/";
    for (const std::string &field : fields) {
        const std::size_t equals = field.find('=');
        if (equals == std::string::npos || !setField(request, field.substr(0, equals), field.substr(equals + 1))) {
            return line.fail("--set " + field + ": FIELD=VALUE, where FIELD is one of " + kFields);
        }
    }
    std::string text;
    if (!readFile(line.operands().front(), text)) {
        return ExitCode::Usage;
    }
    FileErrors errors;
    const auto rules = RuleSet::parse(text, line.operands().front(), errors);
    for (const FileError &error : errors) {
        std::cerr << error.text() << '\n';
    }
    if (!rules) {
        return ExitCode::Usage;
    }
    const int taken = rules->match(request);
    for (int i = 0; i < static_cast<int>(rules->rules().size()) && (taken < 0 || i <= taken); ++i) {
        printRule(rules->rules()[static_cast<std::size_t>(i)], request, i == taken);
    }
    if (taken < 0) {
        std::cout << "no rule takes it: refused with " << static_cast<int>(ResultCode::NoRuleMatched) << ' ' << resultInfo(ResultCode::NoRuleMatched).name
                  << '\n';
    }
    return ExitCode::Ok;
}

} // namespace fulmarlink
