// EntryProcess's part that learns: rules and key homes from the object API and from
// peers, and the host list. The other part, requests and links, is in entryprocess.cpp.

#include <boost/asio/co_spawn.hpp>

#include "fulmarlink/entryprocess.h"
#include "fulmarlink/hostlist.h"
#include "fulmarlink/log.h"

namespace fulmarlink
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr Duration kWatchRetry = std::chrono::milliseconds(500);
constexpr Duration kWatcherCheck = std::chrono::seconds(2); ///< how often a node that does not watch looks whether it should
constexpr std::chrono::milliseconds kHostListTimeout{2000};
constexpr int kHttp11 = 11;
constexpr const char *kEntryRole = "entry";

} // namespace

void EntryProcess::spread(const Message &message, NodeId from)
{
    bool changed = false;
    {
        const std::lock_guard lock(m_spreadMutex);
        changed = m_spread.receive(m_clock.now(), from, message);
    }
    flushSpread();
    const auto *reply = std::get_if<wire::DocumentReplyT>(&message);
    if (changed && reply != nullptr) {
        if (reply->document == kRulesDocument) {
            useRules(reply->version, reply->text);
        } else {
            m_keys.setTable(m_clock.now(), reply->version, reply->text);
        }
    }
}

void EntryProcess::flushSpread()
{
    std::vector<Envelope> messages;
    {
        const std::lock_guard lock(m_spreadMutex);
        messages = m_spread.takeMessages();
        m_confirmedAt = m_spread.document(kRulesDocument).confirmedAt.time_since_epoch().count();
    }
    for (const Envelope &envelope : messages) {
        send(envelope.to, envelope.message);
    }
}

void EntryProcess::offerDocument(const std::string &name, std::uint64_t version, const std::string &text)
{
    bool changed = false;
    {
        const std::lock_guard lock(m_spreadMutex);
        changed = m_spread.offer(m_clock.now(), name, version, text);
    }
    flushSpread();
    if (changed && name == kRulesDocument) {
        useRules(version, text);
    } else if (changed) {
        m_keys.setTable(m_clock.now(), version, text);
    }
}

void EntryProcess::useRules(std::uint64_t version, const std::string &text)
{
    FileErrors errors;
    auto parsed = RuleSet::parse(text, "rules@" + std::to_string(version), errors);
    if (!parsed) {
        // `ctl apply` checks before it writes; whoever wrote this went around it. The last good rules stay.
        logWarning("rules-rejected", {{"version", std::to_string(version)}, {"error", errors.front().text()}});
        m_counters.countResult(ResultCode::RulesInvalid);
        return;
    }
    const std::lock_guard lock(m_rulesMutex);
    if (version <= m_rulesVersion) {
        return; // a newer one was parsed meanwhile
    }
    m_rules = std::move(parsed);
    m_rulesVersion = version;
    m_counters.set(m_rulesVersionGauge, version);
    logChange("rules-in-force", {{"version", std::to_string(version)}});
}

void EntryProcess::watchDocument(const std::string &name)
{
    std::uint64_t version = 0;
    bool watcher = false;
    {
        const std::lock_guard lock(m_spreadMutex);
        version = m_spread.document(name).version;
        watcher = m_spread.isWatcher();
    }
    if (m_stopped) {
        return;
    }
    if (!watcher && version != 0) {
        scheduleWatch(name, kWatcherCheck);
        return;
    }
    const auto answered = [this, name](std::error_code error, const StoredObject &object) {
        if (!error) {
            offerDocument(name, object.version, object.text);
        } else if (error == ResultCode::VersionNotNewer) {
            const std::lock_guard lock(m_spreadMutex);
            m_spread.confirm(m_clock.now(), name);
        }
        const bool again = !error || error == ResultCode::VersionNotNewer;
        scheduleWatch(name, again ? Duration(0) : kWatchRetry);
    };
    if (version == 0) {
        m_store.get(name, answered);
    } else {
        m_store.watch(name, version, answered);
    }
}

void EntryProcess::scheduleWatch(const std::string &name, Duration delay)
{
    asio::steady_timer &timer = *m_watchTimers.at(name);
    timer.expires_after(delay);
    timer.async_wait([this, name](const boost::system::error_code &error) {
        if (!error) {
            watchDocument(name);
        }
    });
}

void EntryProcess::pollHosts()
{
    HttpRequest request(http::verb::get, "/v1/hosts", kHttp11);
    if (!m_hostListTag.empty()) {
        request.set(http::field::if_none_match, m_hostListTag); // an unchanged list is not sent again
    }
    asio::co_spawn(
        m_context, httpCall(m_settings.hostList, std::move(request), kHostListTimeout), [this](const std::exception_ptr &failure, const HttpResult &result) {
            std::vector<HostInfo> hosts;
            if (!failure && !result.error && result.response.result() == http::status::ok && !parseHostList(result.response.body(), hosts)) {
                const auto tag = result.response[http::field::etag];
                m_hostListTag.assign(tag.data(), tag.size());
                m_counters.add(m_hostListsRead);
                setHosts(std::move(hosts));
            }
            if (m_stopped) {
                return;
            }
            m_hostTimer.expires_after(m_settings.hostListInterval);
            m_hostTimer.async_wait([this](const boost::system::error_code &error) {
                if (!error) {
                    pollHosts();
                }
            });
        });
}

void EntryProcess::setHosts(std::vector<HostInfo> hosts)
{
    const TimePoint now = m_clock.now();
    std::vector<NodeId> entries;
    std::vector<std::string> live;
    std::vector<std::string> listed;
    for (const HostInfo &host : hosts) {
        const NodeId id = nodeId(host.name);
        m_hub->setAddress(id, host.address, host.port);
        if (host.role != kEntryRole) {
            continue;
        }
        entries.push_back(id);
        listed.push_back(host.name);
        if (!host.leaving) {
            live.push_back(host.name);
        }
    }
    m_directory.setHosts(now, hosts);
    std::vector<NodeId> homes;
    homes.reserve(live.size());
    for (const std::string &name : live) {
        homes.push_back(nodeId(name));
    }
    limit([&](TimePoint at) {
        m_limiter.setEntries(at, homes);
    });
    m_keys.setEntries(now, std::move(live), std::move(listed));
    const std::lock_guard lock(m_spreadMutex);
    m_spread.setPeers(entries);
}

std::shared_ptr<const RuleSet> EntryProcess::rules() const
{
    const std::lock_guard lock(m_rulesMutex);
    return m_rules;
}

} // namespace fulmarlink
