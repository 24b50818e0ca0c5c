// The conditions that rules may use. Each registers itself under its key.

#include <algorithm>

#include "fulmarlink/condition.h"

namespace fulmarlink
{

IndexField Condition::indexField() const
{
    return IndexField::None;
}

const std::vector<std::string> &Condition::indexValues() const
{
    static const std::vector<std::string> none;
    return none;
}

namespace
{

constexpr std::uint64_t kMaxTokens = 100'000'000;
constexpr unsigned kMinutesPerHour = 60;
constexpr unsigned kHoursPerDay = 24;

std::string joined(const std::vector<std::string> &values)
{
    std::string result;
    for (const std::string &value : values) {
        result += (result.empty() ? "" : "|") + value;
    }
    return result;
}

/** A text field of the request equals one of some values. */
class FieldCondition final : public Condition
{
public:
    FieldCondition(const YamlReader &reader, std::string name, std::string RequestInfo::*field, IndexField index)
        : m_name(std::move(name))
        , m_field(field)
        , m_index(index)
        , m_values(reader.scalars())
    {
    }

    bool matches(const RequestInfo &request) const override
    {
        return std::ranges::find(m_values, request.*m_field) != m_values.end();
    }

    std::string describe() const override
    {
        return m_name + '=' + joined(m_values);
    }

    IndexField indexField() const override
    {
        return m_index;
    }

    const std::vector<std::string> &indexValues() const override
    {
        return m_values;
    }

private:
    std::string m_name;
    std::string RequestInfo::*m_field;
    IndexField m_index;
    std::vector<std::string> m_values;
};

class PathPrefixCondition final : public Condition
{
public:
    explicit PathPrefixCondition(const YamlReader &reader)
        : m_prefixes(reader.scalars())
    {
    }

    bool matches(const RequestInfo &request) const override
    {
        return std::ranges::any_of(m_prefixes, [&](const std::string &prefix) {
            return request.path.starts_with(prefix);
        });
    }

    std::string describe() const override
    {
        return "path_prefix=" + joined(m_prefixes);
    }

private:
    std::vector<std::string> m_prefixes;
};

class HeaderCondition final : public Condition
{
public:
    explicit HeaderCondition(const YamlReader &reader)
    {
        reader.keys({"name", "value"});
        m_name = reader.requiredText("name");
        m_values = reader.texts("value");
    }

    bool matches(const RequestInfo &request) const override
    {
        const std::string_view value = request.header(m_name);
        return m_values.empty() ? !value.empty() : std::ranges::find(m_values, value) != m_values.end();
    }

    std::string describe() const override
    {
        return "header " + m_name + '=' + (m_values.empty() ? "(any)" : joined(m_values));
    }

private:
    std::string m_name;
    std::vector<std::string> m_values;
};

class IdempotentCondition final : public Condition
{
public:
    explicit IdempotentCondition(const YamlReader &reader)
        : m_wanted(reader.scalarFlag(true))
    {
    }

    bool matches(const RequestInfo &request) const override
    {
        return request.idempotent == m_wanted;
    }

    std::string describe() const override
    {
        return m_wanted ? "idempotent=true" : "idempotent=false";
    }

private:
    bool m_wanted;
};

class PriorityCondition final : public Condition
{
public:
    explicit PriorityCondition(const YamlReader &reader)
    {
        for (const YamlReader &element : reader.elements()) {
            Priority priority = Priority::Normal;
            if (!parsePriority(element.scalar(), priority)) {
                element.expected("high, normal or low");
            }
            m_wanted.push_back(priority);
        }
    }

    bool matches(const RequestInfo &request) const override
    {
        return std::ranges::find(m_wanted, request.priority) != m_wanted.end();
    }

    std::string describe() const override
    {
        std::string result = "priority=";
        for (const Priority priority : m_wanted) {
            result += std::string(priorityName(priority)) + (priority == m_wanted.back() ? "" : "|");
        }
        return result;
    }

private:
    std::vector<Priority> m_wanted;
};

/** HH:MM-HH:MM in local time; a window whose end is before its start goes over midnight. */
class TimeCondition final : public Condition
{
public:
    explicit TimeCondition(const YamlReader &reader)
        : m_text(reader.scalar())
    {
        if (!parseWindow()) {
            reader.expected("a time window HH:MM-HH:MM");
        }
    }

    bool matches(const RequestInfo &request) const override
    {
        if (m_from <= m_to) {
            return request.minuteOfDay >= m_from && request.minuteOfDay < m_to;
        }
        return request.minuteOfDay >= m_from || request.minuteOfDay < m_to;
    }

    std::string describe() const override
    {
        return "time=" + m_text;
    }

private:
    static bool parseTime(std::string_view text, unsigned &minute)
    {
        const auto digit = [&](std::size_t i) {
            return text[i] >= '0' && text[i] <= '9';
        };
        if (text.size() != 5 || text[2] != ':' || !digit(0) || !digit(1) || !digit(3) || !digit(4)) {
            return false;
        }
        const auto hours = static_cast<unsigned>((text[0] - '0') * 10 + (text[1] - '0'));
        const auto minutes = static_cast<unsigned>((text[3] - '0') * 10 + (text[4] - '0'));
        minute = hours * kMinutesPerHour + minutes;
        return hours < kHoursPerDay && minutes < kMinutesPerHour;
    }

    bool parseWindow()
    {
        const std::string_view text = m_text;
        const std::size_t dash = text.find('-');
        return dash != std::string_view::npos && parseTime(text.substr(0, dash), m_from) && parseTime(text.substr(dash + 1), m_to);
    }

    std::string m_text;
    unsigned m_from = 0;
    unsigned m_to = 0;
};

class PromptTokensCondition final : public Condition
{
public:
    explicit PromptTokensCondition(const YamlReader &reader)
    {
        reader.keys({"min", "max"});
        m_least = reader.number("min", 0, 0, kMaxTokens);
        m_most = reader.number("max", kMaxTokens, 0, kMaxTokens);
        if (m_least > m_most) {
            reader.fail("min above max", "min at most max");
        }
    }

    bool matches(const RequestInfo &request) const override
    {
        return request.promptTokens >= m_least && request.promptTokens <= m_most;
    }

    std::string describe() const override
    {
        return "prompt_tokens=" + std::to_string(m_least) + ".." + std::to_string(m_most);
    }

private:
    std::uint64_t m_least = 0;
    std::uint64_t m_most = 0;
};

ConditionRegistry::Factory fieldFactory(const char *name, std::string RequestInfo::*field, IndexField index)
{
    return [=](const YamlReader &reader) {
        return std::make_unique<FieldCondition>(reader, name, field, index);
    };
}

template<typename T>
ConditionRegistry::Factory factory()
{
    return [](const YamlReader &reader) {
        return std::make_unique<T>(reader);
    };
}

const ConditionRegistrar kCustomer("customer", fieldFactory("customer", &RequestInfo::customer, IndexField::Customer));
const ConditionRegistrar kModel("model", fieldFactory("model", &RequestInfo::model, IndexField::Model));
const ConditionRegistrar kPath("path", fieldFactory("path", &RequestInfo::path, IndexField::Path));
const ConditionRegistrar kMethod("method", fieldFactory("method", &RequestInfo::method, IndexField::None));
const ConditionRegistrar kPathPrefix("path_prefix", factory<PathPrefixCondition>());
const ConditionRegistrar kHeader("header", factory<HeaderCondition>());
const ConditionRegistrar kIdempotent("idempotent", factory<IdempotentCondition>());
const ConditionRegistrar kPriority("priority", factory<PriorityCondition>());
const ConditionRegistrar kTime("time", factory<TimeCondition>());
const ConditionRegistrar kPromptTokens("prompt_tokens", factory<PromptTokensCondition>());

} // namespace

} // namespace fulmarlink
