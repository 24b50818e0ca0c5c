#include "review/standin-2/platform.h"

#include <chrono>

namespace review
{

namespace json = boost::json;

json::object serverEntry(const std::string &service, std::uint16_t port, unsigned slots, std::uint64_t born)
{
    return {{"service", service},
            {"addr", "127.0.0.1:" + std::to_string(port)},
            {"zone", "zone-a"},
            {"version", "v1"},
            {"slots", slots},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"stage", "unified"},
            {"models", json::array{json::object{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}},
            {"call_seq", 0},
            {"born", born}};
}

std::uint64_t startTime()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

json::object route(const std::string &name, const std::string &prefix, const std::string &service, const std::string &kind)
{
    const bool streaming = kind == "streaming";
    json::object result{{"name", name},
                        {"host", "models.example"},
                        {"path_prefix", prefix},
                        {"kind", kind},
                        {"timeout_ms", streaming ? 8000 : 1500},
                        {"slo_ms", streaming ? 500 : 150},
                        {"priority", streaming ? 1 : 2},
                        {"service", service},
                        {"max_attempts", 2},
                        {"anonymous", false},
                        {"affinity", streaming},
                        {"resumable", streaming}};
    if (streaming) {
        result["gap_target_ms"] = 120;
    }
    return result;
}

json::object modelService(const RankGroupOptions &options)
{
    const json::object engine{{"slots", 12},
                              {"kv_capacity_tokens", 280'000},
                              {"link_mbps", options.linkMbps},
                              {"stride", 4},
                              {"models", json::array{json::object{{"name", "m"}}}},
                              {"step_ms", 4.55},
                              {"per_seq_ms", 0.905},
                              {"context_per_k", 0.0183},
                              {"read_per_s", 61'400.0},
                              {"pairs_per_m", 0.525},
                              {"chunk", 512},
                              {"report_lag_ms", static_cast<double>(options.reportLag.count())},
                              {"usual", json::object{{"prompt", 835}, {"answer", 97}}},
                              {"sets", options.sets},
                              {"experts", options.experts},
                              {"placements", options.placements},
                              {"spare", options.spare},
                              {"expert_mb", options.expertMb},
                              {"expert_share", options.expertShare},
                              {"form_ms", 600.0}};
    return {{"name", kModelService}, {"health_path", "/healthz"}, {"max_conns", 258}, {"protocol", "h1"}, {"tls", false}, {"engine", engine}};
}

json::object plainService(const std::string &name)
{
    return {{"name", name}, {"health_path", "/healthz"}, {"max_conns", 110}, {"protocol", "h1"}, {"tls", false}};
}

json::object configuration(std::uint64_t version, json::array routes, json::array services, json::array tenants)
{
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", std::move(services)},
            {"limits", json::object{{"max_header_bytes", 16'384}, {"max_body_bytes", 4'194'304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 30'000}}},
            {"tenants", std::move(tenants)}};
}

json::object tenant(const std::string &name, json::array keys)
{
    return {{"name", name}, {"api_keys", std::move(keys)}};
}

} // namespace review
