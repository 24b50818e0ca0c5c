#include "fulmarlink/settings.h"

#include <boost/asio/ip/address.hpp>

namespace fulmarlink
{

namespace
{

constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kDayMs = 86'400'000;
constexpr std::uint64_t kMaxThreads = 64;
constexpr std::uint64_t kMaxCount = 10'000'000;
constexpr std::uint64_t kMaxBytes = 1U << 30;

std::chrono::milliseconds readMs(const YamlReader &reader, std::string_view key, std::chrono::milliseconds fallback, std::uint64_t least = 1)
{
    return std::chrono::milliseconds(reader.number(key, static_cast<std::uint64_t>(fallback.count()), least, kDayMs));
}

Duration readDuration(const YamlReader &reader, std::string_view key, Duration fallback, std::uint64_t least = 1)
{
    return readMs(reader, key, std::chrono::duration_cast<std::chrono::milliseconds>(fallback), least);
}

HttpTarget readTarget(const YamlReader &parent, std::string_view key, bool required)
{
    HttpTarget target;
    if (!parent.has(key)) {
        if (required) {
            parent.requiredText(key);
        }
        return target;
    }
    const YamlReader reader = parent.child(key);
    reader.keys({"address", "port"});
    target.address = reader.requiredText("address");
    boost::system::error_code error;
    boost::asio::ip::make_address(target.address, error);
    if (!target.address.empty() && error) {
        reader.child("address").expected("an IP number");
    }
    target.port = static_cast<std::uint16_t>(reader.number("port", 0, 0, kMaxPort));
    if (!reader.has("port")) {
        reader.requiredText("port");
    }
    return target;
}

void readHeaders(const YamlReader &reader, CallerHeaders &headers)
{
    reader.keys({"customer", "model", "priority", "deadline_ms", "idempotency_key"});
    headers.customer = reader.text("customer", headers.customer);
    headers.model = reader.text("model", headers.model);
    headers.priority = reader.text("priority", headers.priority);
    headers.deadlineMs = reader.text("deadline_ms", headers.deadlineMs);
    headers.idempotencyKey = reader.text("idempotency_key", headers.idempotencyKey);
}

void readDirectory(const YamlReader &reader, DirectoryOptions &options)
{
    reader.keys({"picker", "slow_start_ms", "errors_to_eject", "eject_ms", "max_ejected_share"});
    options.picker = reader.text("picker", options.picker);
    if (!PickerRegistry::instance().contains(options.picker)) {
        const auto names = PickerRegistry::instance().names();
        const auto nearest = nearestName(options.picker, names);
        reader.child("picker").expected("the name of a picker" + (nearest ? ", perhaps " + *nearest : std::string()));
    }
    options.slowStart = readDuration(reader, "slow_start_ms", options.slowStart, 0);
    options.errorsToEject = static_cast<unsigned>(reader.number("errors_to_eject", options.errorsToEject, 1, kMaxCount));
    options.ejectFor = readDuration(reader, "eject_ms", options.ejectFor);
    options.maxEjectedShare = reader.real("max_ejected_share", options.maxEjectedShare, 0, 1);
}

void readKeys(const YamlReader &reader, KeyLedgerOptions &options)
{
    reader.keys({"retention_ms", "max_keys", "homes"});
    options.retention = readDuration(reader, "retention_ms", options.retention);
    options.maxKeys = reader.number("max_keys", options.maxKeys, 1, kMaxCount);
    options.homes = static_cast<unsigned>(reader.number("homes", options.homes, 1, kMaxCount));
}

EntrySettings readEntry(const YamlReader &reader)
{
    EntrySettings entry;
    reader.keys({"listen",
                 "headers",
                 "max_header_bytes",
                 "max_body_bytes",
                 "read_timeout_ms",
                 "idle_timeout_ms",
                 "max_requests",
                 "max_connections",
                 "default_deadline_ms",
                 "shutdown_limit_ms",
                 "retry_share",
                 "runners",
                 "keys",
                 "watchers",
                 "max_isolation_ms"});
    entry.listen = readTarget(reader, "listen", true);
    readHeaders(reader.child("headers"), entry.headers);
    entry.maxHeaderBytes = reader.number("max_header_bytes", entry.maxHeaderBytes, 256, kMaxBytes);
    entry.maxBodyBytes = reader.number("max_body_bytes", entry.maxBodyBytes, 1, 3U << 20);
    entry.readTimeout = readMs(reader, "read_timeout_ms", entry.readTimeout);
    entry.idleTimeout = readMs(reader, "idle_timeout_ms", entry.idleTimeout);
    entry.maxRequests = reader.number("max_requests", entry.maxRequests, 1, kMaxCount);
    entry.maxConnections = reader.number("max_connections", entry.maxConnections, 1, kMaxCount);
    entry.defaultDeadline = readMs(reader, "default_deadline_ms", entry.defaultDeadline);
    entry.shutdownLimit = readMs(reader, "shutdown_limit_ms", entry.shutdownLimit);
    entry.retryShare = reader.real("retry_share", entry.retryShare, 0, 1);
    readDirectory(reader.child("runners"), entry.directory);
    readKeys(reader.child("keys"), entry.keys);
    entry.watchers = static_cast<unsigned>(reader.number("watchers", entry.watchers, 1, kMaxCount));
    entry.maxIsolation = readMs(reader, "max_isolation_ms", entry.maxIsolation, 0);
    return entry;
}

AgentSettings readAgent(const YamlReader &reader)
{
    AgentSettings agent;
    reader.keys({"pool", "runner", "shutdown_limit_ms", "refusal_statuses", "concurrency", "max_queue_ms", "max_dispatches", "window_bytes", "keep_keyed_ms"});
    agent.pool = reader.requiredText("pool");
    if (agent.pool == "entry") {
        reader.child("pool").expected("a pool's name; 'entry' is taken by the entry hosts");
    }
    agent.runner = readTarget(reader, "runner", true);
    agent.shutdownLimit = readMs(reader, "shutdown_limit_ms", agent.shutdownLimit);
    for (const YamlReader &element : reader.child("refusal_statuses").elements()) {
        agent.refusalStatuses.push_back(static_cast<unsigned>(element.scalarNumber(503, 400, 599)));
    }
    AgentOptions &options = agent.options;
    options.concurrency = static_cast<unsigned>(reader.number("concurrency", options.concurrency, 1, kMaxCount));
    options.maxQueueTime = readDuration(reader, "max_queue_ms", options.maxQueueTime, 0);
    options.maxDispatches = reader.number("max_dispatches", options.maxDispatches, 16, kMaxCount);
    options.windowBytes = reader.number("window_bytes", options.windowBytes, 1024, kMaxBytes);
    options.keepKeyed = readDuration(reader, "keep_keyed_ms", options.keepKeyed);
    return agent;
}

} // namespace

Settings Settings::parse(std::string_view text, const std::string &file, FileErrors &errors)
{
    Settings settings;
    const YamlReader reader = YamlReader::parse(text, file, errors);
    reader.keys({"host", "zone", "threads", "log_level", "admin", "links", "platform", "entry", "agent"});
    settings.host = reader.requiredText("host");
    settings.zone = reader.requiredText("zone");
    settings.threads = static_cast<unsigned>(reader.number("threads", settings.threads, 1, kMaxThreads));
    settings.logLevel = reader.text("log_level", settings.logLevel);
    settings.admin = readTarget(reader, "admin", false);
    settings.links = readTarget(reader, "links", true);
    const YamlReader platform = reader.child("platform");
    platform.keys({"object_api", "host_list", "host_list_interval_ms"});
    settings.objectApi = readTarget(platform, "object_api", reader.has("entry"));
    settings.hostList = readTarget(platform, "host_list", reader.has("entry"));
    settings.hostListInterval = readMs(platform, "host_list_interval_ms", settings.hostListInterval, 100);
    if (reader.has("entry") == reader.has("agent")) {
        reader.fail(reader.has("entry") ? "both entry and agent" : "neither entry nor agent", "exactly one of entry and agent");
    }
    if (reader.has("entry")) {
        settings.entry = readEntry(reader.child("entry"));
        settings.entry->directory.zone = settings.zone;
        settings.entry->keys.self = settings.host;
    }
    if (reader.has("agent")) {
        settings.agent = readAgent(reader.child("agent"));
        settings.agent->options.self = nodeId(settings.host);
    }
    return settings;
}

} // namespace fulmarlink
