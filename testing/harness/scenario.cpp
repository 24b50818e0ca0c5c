#include "testing/harness/scenario.h"

#include <algorithm>
#include <memory>

#include "fulmarlink/yamlreader.h"
#include "testing/harness/world.h"

namespace fulmarlink::testing
{

namespace
{

constexpr std::uint64_t kMaxMs = 86'400'000;
constexpr std::uint64_t kMaxCount = 1'000'000;
constexpr Duration kSettle = std::chrono::seconds(5); ///< before the first event: lists, rules and key homes
constexpr const char *kDefaultRules = "rules:\n"
                                      "  - name: notes\n"
                                      "    when: {path_prefix: /note}\n"
                                      "    then: {route: pool, idempotent: false}\n"
                                      "  - name: rest\n"
                                      "    when: {}\n"
                                      "    then: {route: pool, idempotent: true}\n";

Duration ms(std::uint64_t value)
{
    return std::chrono::milliseconds(value);
}

/** One scenario while it runs. */
class Scenario
{
public:
    Scenario(const YamlReader &reader, FileErrors &errors)
        : m_reader(reader)
        , m_errors(errors)
    {
    }

    ScenarioResult run()
    {
        m_reader.keys({"name", "seed", "hosts", "rules", "engine", "key_retention_ms", "list_lag_ms", "events", "run_ms", "expect"});
        makeWorld();
        addHosts();
        m_world->run(kSettle);
        m_start = m_world->now();
        playEvents();
        m_world->run(m_start + ms(m_reader.number("run_ms", 20'000, 1, kMaxMs)) - m_world->now());
        m_world->checkEnd();
        checkExpectations();
        ScenarioResult result;
        result.failures = m_world->violations();
        result.failures.insert(result.failures.end(), m_failures.begin(), m_failures.end());
        for (const FileError &error : m_errors) {
            result.failures.push_back(error.text());
        }
        result.history = m_world->history();
        return result;
    }

private:
    void makeWorld()
    {
        WorldOptions options;
        options.seed = m_reader.number("seed", 1, 0, kMaxCount);
        options.keyRetention = ms(m_reader.number("key_retention_ms", 600'000, 1, kMaxMs));
        options.listLag = ms(m_reader.number("list_lag_ms", 500, 0, kMaxMs));
        options.rules = m_reader.text("rules", kDefaultRules);
        m_world = std::make_unique<World>(options);
        const YamlReader engine = m_reader.child("engine");
        engine.keys({"first_byte_ms", "chunks", "chunk_ms"});
        m_world->setEngineShape(ms(engine.number("first_byte_ms", 30, 0, kMaxMs)),
                                static_cast<unsigned>(engine.number("chunks", 4, 0, kMaxCount)),
                                ms(engine.number("chunk_ms", 10, 0, kMaxMs)));
    }

    void addHosts()
    {
        for (const YamlReader &host : m_reader.child("hosts").elements()) {
            host.keys({"name", "role", "zone", "concurrency"});
            const std::string name = host.requiredText("name");
            const std::string role = host.requiredText("role");
            const std::string zone = host.text("zone", "zone-1");
            m_names.push_back(name);
            if (role == "entry") {
                m_world->addEntry(name, zone);
            } else {
                m_world->addRunner(name, role, zone, static_cast<unsigned>(host.number("concurrency", 4, 1, kMaxCount)));
            }
        }
    }

    void playEvents()
    {
        for (const YamlReader &event : m_reader.child("events").elements()) {
            const TimePoint time = m_start + ms(event.number("at_ms", 0, 0, kMaxMs));
            if (time > m_world->now()) {
                m_world->run(time - m_world->now());
            }
            play(event);
        }
    }

    std::string host(const YamlReader &event, std::string_view key)
    {
        std::string name = event.requiredText(key);
        if (std::ranges::find(m_names, name) == m_names.end()) {
            event.fail("host '" + name + "'", "a name under 'hosts'");
            return m_names.empty() ? std::string() : m_names.front();
        }
        return name;
    }

    void play(const YamlReader &event)
    {
        static const std::vector<std::string> kKeys = {"at_ms",
                                                       "request",
                                                       "leave",
                                                       "kill",
                                                       "restart",
                                                       "pause",
                                                       "drain",
                                                       "break",
                                                       "cut",
                                                       "unlist",
                                                       "list",
                                                       "mark_leaving",
                                                       "store",
                                                       "network",
                                                       "engine",
                                                       "apply",
                                                       "for_ms"};
        event.keys(kKeys);
        const Duration time = ms(event.number("for_ms", 1000, 0, kMaxMs));
        if (event.has("request")) {
            playRequest(event.child("request"));
        } else if (event.has("leave")) {
            m_world->callerLeaves(event.text("leave"));
        } else if (event.has("kill")) {
            m_world->kill(host(event, "kill"));
        } else if (event.has("restart")) {
            m_world->restart(host(event, "restart"));
        } else if (event.has("pause")) {
            m_world->pause(host(event, "pause"), time);
        } else if (event.has("drain")) {
            m_world->drain(host(event, "drain"));
        } else if (event.has("unlist")) {
            m_world->unlist(host(event, "unlist"));
        } else if (event.has("list")) {
            m_world->list(host(event, "list"));
        } else if (event.has("mark_leaving")) {
            m_world->markLeaving(host(event, "mark_leaving"));
        } else {
            playMore(event, time);
        }
    }

    void playMore(const YamlReader &event, Duration time)
    {
        if (event.has("break") || event.has("cut")) {
            const bool cutting = event.has("cut");
            const auto pair = event.texts(cutting ? "cut" : "break");
            if (pair.size() != 2) {
                event.fail(std::to_string(pair.size()) + " hosts", "two");
            } else if (cutting) {
                m_world->cut(pair[0], pair[1], time);
            } else {
                m_world->breakLink(pair[0], pair[1]);
            }
        } else if (event.has("store")) {
            playStore(event.child("store"));
        } else if (event.has("network")) {
            const YamlReader network = event.child("network");
            network.keys({"duplicate", "drop", "reorder_ms"});
            m_world->setDuplicates(network.real("duplicate", 0, 0, 1));
            m_world->setDrops(network.real("drop", 0, 0, 1));
            m_world->setReorder(ms(network.number("reorder_ms", 0, 0, kMaxMs)));
        } else if (event.has("engine")) {
            const YamlReader engine = event.child("engine");
            engine.keys({"of", "refusing", "stalled", "break_after"});
            const std::string name = host(engine, "of");
            m_world->setEngineRefusing(name, engine.flag("refusing", false));
            m_world->setEngineStalled(name, engine.flag("stalled", false));
            m_world->setEngineBreakAfter(name, static_cast<unsigned>(engine.number("break_after", 0, 0, kMaxCount)));
        } else if (event.has("apply")) {
            playApply(event.child("apply"));
        } else {
            event.fail("no event", "an event as docs/SCENARIOS.md lists them");
        }
    }

    void playRequest(const YamlReader &request)
    {
        request.keys({"id", "serial", "entry", "path", "key", "deadline_ms"});
        const std::string id = request.requiredText("id");
        const std::string serial = request.text("serial", id);
        const Duration deadline = ms(request.number("deadline_ms", 10'000, 1, kMaxMs));
        m_world->request(id, serial, host(request, "entry"), request.text("path", "/ask"), request.text("key"), deadline);
    }

    void playStore(const YamlReader &store)
    {
        store.keys({"down", "delay_ms", "lose_answers"});
        if (store.has("down")) {
            m_world->setStoreDown(store.flag("down", false));
        }
        if (store.has("delay_ms")) {
            m_world->setStoreDelay(ms(store.number("delay_ms", 3, 0, kMaxMs)));
        }
        if (store.has("lose_answers")) {
            m_world->loseStoreAnswers(static_cast<unsigned>(store.number("lose_answers", 0, 0, kMaxCount)));
        }
    }

    void playApply(const YamlReader &apply)
    {
        apply.keys({"rules", "expected_version", "result"});
        const std::error_code error = m_world->apply(apply.text("rules", kDefaultRules), apply.number("expected_version", 1, 0, kMaxCount));
        const std::string result = error ? std::string(resultInfo(static_cast<ResultCode>(error.value())).name) : "ok";
        const std::string wanted = apply.text("result", "ok");
        if (result != wanted) {
            m_failures.push_back("apply gave " + result + ", expected " + wanted);
        }
    }

    void checkExpectations()
    {
        for (const YamlReader &expectation : m_reader.child("expect").elements()) {
            expectation.keys(
                {"request", "outcome", "code", "data", "within_ms", "executions", "count", "at_most", "rules_version", "on", "key_slots", "drained"});
            if (expectation.has("request")) {
                checkRequest(expectation);
            } else if (expectation.has("executions")) {
                checkExecutions(expectation);
            } else if (expectation.has("rules_version")) {
                compare(host(expectation, "on") + "'s rules version",
                        m_world->rulesVersion(host(expectation, "on")),
                        expectation.number("rules_version", 0, 0, kMaxCount));
            } else if (expectation.has("key_slots")) {
                compare(host(expectation, "on") + "'s key slots", m_world->keySlots(host(expectation, "on")), expectation.number("key_slots", 0, 0, kMaxCount));
            } else if (expectation.has("drained")) {
                const std::string name = host(expectation, "drained");
                if (!m_world->drained(name)) {
                    m_failures.push_back(name + " is not drained");
                }
            } else {
                expectation.fail("no expectation", "an expectation as docs/SCENARIOS.md lists them");
            }
        }
    }

    void compare(const std::string &what, std::uint64_t actual, std::uint64_t wanted)
    {
        if (actual != wanted) {
            m_failures.push_back(what + " is " + std::to_string(actual) + ", expected " + std::to_string(wanted));
        }
    }

    void checkRequest(const YamlReader &expectation)
    {
        const std::string id = expectation.text("request");
        const auto it = m_world->attempts().find(id);
        if (it == m_world->attempts().end() || !it->second.finished) {
            m_failures.push_back(id + " did not end");
            return;
        }
        const ResultInfo &info = resultInfo(it->second.code);
        const std::string outcome = expectation.text("outcome", outcomeName(info.outcome));
        const std::string code = expectation.text("code", info.name);
        if (outcome != outcomeName(info.outcome) || code != info.name) {
            m_failures.push_back(id + " ended as " + std::string(outcomeName(info.outcome)) + " with " + std::string(info.name) + ", expected " + outcome
                                 + " with " + code);
        }
        const Duration took = it->second.finishedAt - it->second.startedAt;
        if (took > ms(expectation.number("within_ms", kMaxMs, 0, kMaxMs))) {
            m_failures.push_back(id + " took " + std::to_string(took.count() / 1000) + " ms");
        }
    }

    void checkExecutions(const YamlReader &expectation)
    {
        const std::string serial = expectation.text("executions");
        const unsigned runs = m_world->executionsOf(serial);
        if (expectation.has("count")) {
            compare("executions of " + serial, runs, expectation.number("count", 0, 0, kMaxCount));
        }
        if (runs > expectation.number("at_most", kMaxCount, 0, kMaxCount)) {
            m_failures.push_back(serial + " ran " + std::to_string(runs) + " times");
        }
    }

    const YamlReader &m_reader;
    FileErrors &m_errors;
    std::unique_ptr<World> m_world;
    TimePoint m_start{};
    std::vector<std::string> m_names;
    std::vector<std::string> m_failures;
};

} // namespace

ScenarioResult runScenario(std::string_view text, const std::string &file)
{
    FileErrors errors;
    const YamlReader reader = YamlReader::parse(text, file, errors);
    return Scenario(reader, errors).run();
}

} // namespace fulmarlink::testing
