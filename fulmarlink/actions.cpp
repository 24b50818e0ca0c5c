// The actions that rules may use. Each registers itself under its key.

#include <algorithm>

#include "fulmarlink/action.h"

namespace fulmarlink
{

namespace
{

constexpr std::string_view kEntryRole = "entry";
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::uint64_t kAttemptsBound = 10;
constexpr std::uint64_t kMaxRate = 1'000'000'000;

class RouteAction final : public Action
{
public:
    explicit RouteAction(const YamlReader &reader)
        : m_pool(reader.scalar())
    {
        if (m_pool == kEntryRole) {
            reader.expected("a pool of runners; 'entry' is the role of the entry hosts");
        }
    }

    void apply(Route &route) const override
    {
        route.pool = m_pool;
    }

    std::string describe() const override
    {
        return "route=" + m_pool;
    }

    bool decides() const override
    {
        return true;
    }

private:
    std::string m_pool;
};

/** Refuses with a result code by name; only codes that prove "not run" can be used. */
class RefuseAction final : public Action
{
public:
    explicit RefuseAction(const YamlReader &reader)
    {
        const std::string name = reader.scalar();
        const auto table = resultTable();
        const auto it = std::ranges::find(table, name, &ResultInfo::name);
        if (it == table.end() || it->outcome != Outcome::NotRun) {
            reader.expected("the name of a result code that says not run, for example refused-by-rule");
            return;
        }
        m_code = it->code;
    }

    void apply(Route &route) const override
    {
        route.refusal = m_code;
    }

    std::string describe() const override
    {
        return "refuse=" + std::string(resultInfo(m_code).name);
    }

    bool decides() const override
    {
        return true;
    }

private:
    ResultCode m_code = ResultCode::RefusedByRule;
};

class PriorityAction final : public Action
{
public:
    explicit PriorityAction(const YamlReader &reader)
    {
        if (!parsePriority(reader.scalar(), m_priority)) {
            reader.expected("high, normal or low");
        }
    }

    void apply(Route &route) const override
    {
        route.priority = m_priority;
    }

    std::string describe() const override
    {
        return "priority=" + std::string(priorityName(m_priority));
    }

private:
    Priority m_priority = Priority::Normal;
};

class DeadlineAction final : public Action
{
public:
    explicit DeadlineAction(const YamlReader &reader)
        : m_deadline(std::chrono::milliseconds(reader.scalarNumber(1, 1, kMaxDeadlineMs)))
    {
    }

    void apply(Route &route) const override
    {
        route.deadline = m_deadline;
    }

    std::string describe() const override
    {
        return "deadline_ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline).count());
    }

private:
    Duration m_deadline;
};

class LimitAction final : public Action
{
public:
    explicit LimitAction(const YamlReader &reader)
    {
        reader.keys({"tokens_per_second", "burst"});
        m_limit.tokensPerSecond = reader.number("tokens_per_second", 1, 1, kMaxRate);
        m_limit.burst = reader.number("burst", m_limit.tokensPerSecond, 1, kMaxRate);
        if (!reader.has("tokens_per_second")) {
            reader.fail("no key 'tokens_per_second'", "'tokens_per_second' with a value");
        }
    }

    void apply(Route &route) const override
    {
        route.limit = m_limit;
    }

    std::string describe() const override
    {
        return "limit=" + std::to_string(m_limit.tokensPerSecond) + "/s";
    }

private:
    TokenLimit m_limit;
};

class MaxAttemptsAction final : public Action
{
public:
    explicit MaxAttemptsAction(const YamlReader &reader)
        : m_attempts(static_cast<unsigned>(reader.scalarNumber(1, 1, kAttemptsBound)))
    {
    }

    void apply(Route &route) const override
    {
        route.maxAttempts = m_attempts;
    }

    std::string describe() const override
    {
        return "max_attempts=" + std::to_string(m_attempts);
    }

private:
    unsigned m_attempts;
};

class IdempotentAction final : public Action
{
public:
    explicit IdempotentAction(const YamlReader &reader)
        : m_idempotent(reader.scalarFlag(true))
    {
    }

    void apply(Route &route) const override
    {
        route.idempotent = m_idempotent;
    }

    std::string describe() const override
    {
        return m_idempotent ? "idempotent=true" : "idempotent=false";
    }

private:
    bool m_idempotent;
};

class PreferLocalZoneAction final : public Action
{
public:
    explicit PreferLocalZoneAction(const YamlReader &reader)
        : m_prefer(reader.scalarFlag(true))
    {
    }

    void apply(Route &route) const override
    {
        route.preferLocalZone = m_prefer;
    }

    std::string describe() const override
    {
        return m_prefer ? "prefer_local_zone=true" : "prefer_local_zone=false";
    }

private:
    bool m_prefer;
};

template<typename T>
ActionRegistry::Factory factory()
{
    return [](const YamlReader &reader) {
        return std::make_unique<T>(reader);
    };
}

const ActionRegistrar kRoute("route", factory<RouteAction>());
const ActionRegistrar kRefuse("refuse", factory<RefuseAction>());
const ActionRegistrar kPriority("priority", factory<PriorityAction>());
const ActionRegistrar kDeadline("deadline_ms", factory<DeadlineAction>());
const ActionRegistrar kLimit("limit", factory<LimitAction>());
const ActionRegistrar kMaxAttempts("max_attempts", factory<MaxAttemptsAction>());
const ActionRegistrar kIdempotent("idempotent", factory<IdempotentAction>());
const ActionRegistrar kPreferLocalZone("prefer_local_zone", factory<PreferLocalZoneAction>());

} // namespace

} // namespace fulmarlink
