#include "fulmarlink/gatewaysettings.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "fulmarlink/memoryplan.h"

namespace fulmarlink
{

namespace
{

constexpr std::uint64_t kMaxMs = 3'600'000;
constexpr std::uint64_t kMaxRetentionMs = 604'800'000; ///< one week; limits the records that a starting host has to read
constexpr std::uint64_t kDefaultOpenFiles = 4096;
constexpr std::uint64_t kMinOpenFiles = 64;
constexpr std::uint64_t kMaxOpenFiles = 10'000'000;
constexpr std::uint64_t kDefaultMemoryMb = 256;
constexpr std::uint64_t kMinMemoryMb = 64; ///< the program itself takes 10 MB before the first request
constexpr std::uint64_t kMaxMemoryMb = 1U << 20;
constexpr std::uint64_t kBytesPerMb = 1U << 20;
constexpr double kMaxRatio = 10;
constexpr double kMaxSlack = 1e6;
constexpr double kMaxWeight = 1e3;
constexpr double kMaxLinkMbps = 1e6;

/** Parses ADDRESS:PORT; an optional key that is absent yields port 0. */
HttpTarget readAddress(const YamlReader &reader, std::string_view key, bool required)
{
    HttpTarget target;
    if (!required && !reader.has(key)) {
        return target;
    }
    const std::string text = reader.requiredText(key);
    const std::size_t colon = text.rfind(':');
    boost::system::error_code error;
    target.address = text.substr(0, colon);
    boost::asio::ip::make_address(target.address, error);
    const std::string_view port = colon == std::string::npos ? std::string_view() : std::string_view(text).substr(colon + 1);
    const auto [end, portError] = std::from_chars(port.data(), port.data() + port.size(), target.port);
    if (!text.empty() && (error || portError != std::errc() || end != port.data() + port.size())) {
        reader.child(key).expected("an IP address and a port, such as 10.0.0.1:8080");
    }
    return target;
}

std::chrono::milliseconds readMs(const YamlReader &reader, std::string_view key, std::chrono::milliseconds fallback, std::uint64_t maximum = kMaxMs)
{
    return std::chrono::milliseconds(reader.number(key, static_cast<std::uint64_t>(fallback.count()), 1, maximum));
}

std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

GatewaySettings GatewaySettings::parse(std::string_view text, const std::string &file, FileErrors &errors)
{
    GatewaySettings settings;
    const YamlReader reader = YamlReader::parse(text, file, errors);
    reader.keys({"host", "zone", "log_level", "listen", "store", "bounds", "crashes", "planner", "link_mbps", "max_open_files", "memory_mb"});
    const std::uint64_t openFiles = reader.number("max_open_files", kDefaultOpenFiles, kMinOpenFiles, kMaxOpenFiles);
    const std::uint64_t memory = reader.number("memory_mb", kDefaultMemoryMb, kMinMemoryMb, kMaxMemoryMb) * kBytesPerMb;
    const MemoryPlan plan = planMemory(memory, openFiles);
    settings.maxCallerConnections = plan.callerConnections;
    settings.requestMemory = plan.requests;
    settings.linkMbps = reader.real("link_mbps", settings.linkMbps, 0, kMaxLinkMbps);
    settings.host = reader.requiredText("host");
    settings.zone = reader.requiredText("zone");
    settings.logLevel = reader.text("log_level", settings.logLevel);
    const YamlReader listen = reader.child("listen");
    listen.keys({"callers", "readiness", "metrics"});
    settings.callers = readAddress(listen, "callers", true);
    settings.readiness = readAddress(listen, "readiness", true);
    settings.metrics = readAddress(listen, "metrics", false);
    settings.store = readAddress(reader, "store", true);
    const YamlReader bounds = reader.child("bounds");
    bounds.keys({"revoke_ms", "configuration_ms", "leaving_ms", "shutdown_ms", "stall_ms", "retry_window_ms", "retry_ratio", "retry_slack"});
    settings.revokeBound = readMs(bounds, "revoke_ms", settings.revokeBound);
    settings.configurationBound = readMs(bounds, "configuration_ms", settings.configurationBound);
    settings.leavingBound = readMs(bounds, "leaving_ms", settings.leavingBound);
    settings.shutdownLimit = readMs(bounds, "shutdown_ms", settings.shutdownLimit);
    settings.stallTimeout = readMs(bounds, "stall_ms", settings.stallTimeout);
    settings.retryWindow = readMs(bounds, "retry_window_ms", settings.retryWindow);
    settings.retryRatio = bounds.real("retry_ratio", settings.retryRatio, 0, kMaxRatio);
    settings.retrySlack = bounds.real("retry_slack", settings.retrySlack, 0, kMaxSlack);
    const YamlReader crashes = reader.child("crashes");
    crashes.keys({"hold_ms", "well_ms", "keep_ms", "keep_held_ms"});
    settings.crashes.holdTime = readMs(crashes, "hold_ms", toMilliseconds(settings.crashes.holdTime));
    settings.crashes.completionWindow = readMs(crashes, "well_ms", toMilliseconds(settings.crashes.completionWindow));
    settings.crashes.retention = readMs(crashes, "keep_ms", settings.crashes.retention, kMaxRetentionMs);
    settings.crashes.heldRetention = readMs(crashes, "keep_held_ms", settings.crashes.heldRetention, kMaxRetentionMs);
    const YamlReader planner = reader.child("planner");
    planner.keys({"skew_weight", "cost_weight", "sampled_ranks", "first_copies_ms", "copies_ms", "least_improvement", "rest_share"});
    settings.sampledRanks = static_cast<unsigned>(planner.number("sampled_ranks", settings.sampledRanks, 1, 1000));
    settings.firstCopyTime = readMs(planner, "first_copies_ms", settings.firstCopyTime);
    settings.followUpCopyTime = readMs(planner, "copies_ms", settings.followUpCopyTime);
    settings.minImbalanceReduction = planner.real("least_improvement", settings.minImbalanceReduction, 0, 10);
    settings.followUpGapShare = planner.real("rest_share", settings.followUpGapShare, 0, 10);
    settings.skewWeight = planner.real("skew_weight", settings.skewWeight, 0, kMaxWeight);
    settings.costWeight = planner.real("cost_weight", settings.costWeight, 0, kMaxWeight);
    return settings;
}

} // namespace fulmarlink
