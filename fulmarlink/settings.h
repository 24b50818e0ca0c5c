#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarlink/agentcore.h"
#include "fulmarlink/httpclient.h"
#include "fulmarlink/keyledger.h"
#include "fulmarlink/runnerdirectory.h"
#include "fulmarlink/yamlreader.h"

namespace fulmarlink
{

/** Names of the headers that carry what callers say of a request. */
struct CallerHeaders {
    std::string customer = "X-Customer";
    std::string model = "X-Model";
    std::string priority = "X-Priority";
    std::string deadlineMs = "X-Deadline-Ms";
    std::string idempotencyKey = "Idempotency-Key";
};

struct EntrySettings {
    HttpTarget listen; ///< for callers
    CallerHeaders headers;
    std::size_t maxHeaderBytes = 16U << 10;
    std::size_t maxBodyBytes = 1U << 20;
    std::chrono::milliseconds readTimeout{10'000};
    std::chrono::milliseconds idleTimeout{60'000};
    std::size_t maxRequests = 4096;
    std::size_t maxConnections = 4096;
    std::chrono::milliseconds defaultDeadline{60'000};
    std::chrono::milliseconds shutdownLimit{60'000};
    double retryShare = 0.1;
    DirectoryOptions directory;
    KeyLedgerOptions keys;
    unsigned watchers = 3;
    std::chrono::milliseconds maxIsolation{0}; ///< 0: serve on the last known rules for ever
};

struct AgentSettings {
    std::string pool;
    HttpTarget runner;
    std::chrono::milliseconds shutdownLimit{60'000};
    std::vector<unsigned> refusalStatuses; ///< answers of the engine that mean "not run"
    AgentOptions options;
};

/** One process's settings, read once at start. */
struct Settings {
    std::string host;
    std::string zone;
    unsigned threads = 2;
    std::string logLevel = "info";
    HttpTarget admin;
    HttpTarget links;
    HttpTarget objectApi;
    HttpTarget hostList;
    std::chrono::milliseconds hostListInterval{2000};
    std::optional<EntrySettings> entry;
    std::optional<AgentSettings> agent;

    /** All errors are recorded; the result is only meaningful without any. */
    static Settings parse(std::string_view text, const std::string &file, FileErrors &errors);
};

} // namespace fulmarlink
