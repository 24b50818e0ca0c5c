// Cost of reading the list of runners, as a host does about once a second: split into items that are compared as text and parsed
// one by one if it has changed, against parsing the whole answer and comparing what was parsed.
//
// Usage: runnerlist_bench

#include <benchmark/benchmark.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include "fulmarlink/targettable.h"
#include "platform/configurationdecoder.h"
#include "platform/storeobjects.h"
#include "standins/platformfleet.h"

namespace
{

using namespace fulmarlink;
namespace json = boost::json;

constexpr unsigned kRunners = 600;

/** A page of the store with @p runners entries, of which, if @p malformed, each second one can't be parsed. */
std::string answer(unsigned runners, bool malformed)
{
    json::object entry = standins::runnerEntry("model-runners", {"10.128.0.9", 8080}, 12);
    entry["models"] = json::array{json::object{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}};
    const std::string sound = json::serialize(entry);
    const std::string unreadable = sound.substr(0, sound.size() - 1) + R"(,"note":"\udcff"})";
    std::string items;
    for (unsigned i = 0; i < runners; ++i) {
        items += (items.empty() ? "" : ",") + (R"({"metadata":{"name":"i-)" + std::to_string(10'000'000 + i) + R"(","revision":)" + std::to_string(i + 1))
                 + R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + (malformed && i % 2 == 0 ? unreadable : sound) + R"(,"status":null})";
    }
    return R"({"items":[)" + items + R"(],"more":false,"current_rev":530})";
}

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

void unchangedListAsText(benchmark::State &state)
{
    const std::string text = answer(kRunners, false);
    for (auto _ : state) {
        const auto list = readStoreList(text);
        benchmark::DoNotOptimize(hashOf(list->text));
    }
}
BENCHMARK(unchangedListAsText);

void unchangedListParsed(benchmark::State &state)
{
    const std::string text = answer(kRunners, false);
    for (auto _ : state) {
        const json::value value = json::parse(text);
        benchmark::DoNotOptimize(hashOf(std::string(json::serialize(value.at("items")))));
    }
}
BENCHMARK(unchangedListParsed);

void readByItems(benchmark::State &state, const std::string &text)
{
    for (auto _ : state) {
        const auto list = readStoreList(text);
        std::vector<TargetInfo> targets;
        for (const std::string_view item : list->objects) {
            const StoreObject object = readStoreObject(item);
            std::string problem;
            if (auto target = object.problem.empty() ? decodeTarget(object.name, object.spec, problem) : std::nullopt) {
                targets.push_back(std::move(*target));
            }
        }
        benchmark::DoNotOptimize(targets.data());
    }
}

void changedListByItems(benchmark::State &state)
{
    readByItems(state, answer(kRunners, false));
}
BENCHMARK(changedListByItems);

void changedListByItemsHalfOfThemMalformed(benchmark::State &state)
{
    readByItems(state, answer(kRunners, true));
}
BENCHMARK(changedListByItemsHalfOfThemMalformed);

void changedListParsed(benchmark::State &state)
{
    const std::string text = answer(kRunners, false);
    for (auto _ : state) {
        const json::value value = json::parse(text);
        std::vector<TargetInfo> targets;
        for (const json::value &item : value.at("items").as_array()) {
            std::string problem;
            if (auto target = decodeTarget(std::string(item.at("metadata").at("name").as_string()), item.at("spec"), problem)) {
                targets.push_back(std::move(*target));
            }
        }
        benchmark::DoNotOptimize(targets.data());
    }
}
BENCHMARK(changedListParsed);

} // namespace

BENCHMARK_MAIN();
