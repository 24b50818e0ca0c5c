#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "fulmarlink/clock.h"
#include "fulmarlink/counters.h"
#include "fulmarlink/customerlimiter.h"
#include "fulmarlink/documentspread.h"
#include "fulmarlink/entrycore.h"
#include "fulmarlink/entryserver.h"
#include "fulmarlink/httpobjectstore.h"
#include "fulmarlink/httpserver.h"
#include "fulmarlink/keyservice.h"
#include "fulmarlink/linkhub.h"
#include "fulmarlink/retrybudget.h"
#include "fulmarlink/ruleset.h"
#include "fulmarlink/runnerdirectory.h"
#include "fulmarlink/settings.h"
#include "fulmarlink/sharded.h"

namespace fulmarlink
{

/**
 * An entry host's process: callers' server, links to agents and other entries, rules
 * from the object API, and the decision code in shards.
 *
 * How to use: construct, start(), run the io_context on settings.threads threads;
 * startDrain() begins the shutdown and drained() tells its end.
 */
class EntryProcess final : public CallerHandler, public LinkEvents
{
public:
    static constexpr const char *kRulesDocument = "rules";

    EntryProcess(boost::asio::io_context &context, Settings settings, std::uint64_t incarnation);
    ~EntryProcess() override;

    void start();
    /** Refuses new work, finishes what runs, hands the key homes over. */
    void startDrain();
    bool drained();
    /** Ends everything that still runs, at the shutdown limit. */
    void cutAll();
    void stop();

    std::uint16_t callerPort() const;
    std::uint16_t linkPort() const;
    std::uint16_t adminPort() const;
    Counters &counters();
    std::uint64_t rulesVersion() const;
    std::size_t requests();
    std::string statusJson();
    unsigned keySlots() const;
    bool ready() const;

    std::uint64_t startRequest(RequestInfo info, std::shared_ptr<const std::vector<std::uint8_t>> body, std::shared_ptr<CallerStream> stream) override;
    void callerGone(std::uint64_t request) override;
    void callerTook(std::uint64_t request, std::uint32_t nextSequence) override;

    bool linkUp(const LinkRef &link, bool outgoing, bool leaving) override;
    void linkDown(const LinkRef &link, bool outgoing) override;
    void linkFailed(NodeId node) override;
    void linkMessage(const LinkRef &link, const Message &message) override;

private:
    struct Shard;

    template<typename Event>
    void decide(std::size_t shard, Event event);
    template<typename Event>
    void decideAll(Event event);
    void perform(Shard &shard, std::vector<EntryAction> actions);
    void send(NodeId to, const Message &message);
    void receive(NodeId from, const Message &message);
    /** Calls @p event with the limiter under its lock, then carries out what it decides. */
    void limit(const std::function<void(TimePoint)> &event);
    void spread(const Message &message, NodeId from);
    void flushSpread();
    void offerDocument(const std::string &name, std::uint64_t version, const std::string &text);
    void useRules(std::uint64_t version, const std::string &text);
    void watchDocument(const std::string &name);
    void scheduleWatch(const std::string &name, Duration delay);
    void pollHosts();
    void setHosts(std::vector<HostInfo> hosts);
    void armTick();
    void tick();
    std::shared_ptr<const RuleSet> rules() const;
    ResultCode refusalNow(TimePoint now) const;

    boost::asio::io_context &m_context;
    Settings m_settings;
    const std::uint64_t m_incarnation;
    const NodeId m_self;
    SystemClock m_clock;
    Counters m_counters;
    Counters::Id m_requestsTotal;
    Counters::Id m_requestsNow;
    Counters::Id m_rulesVersionGauge;
    Counters::Id m_hostListsRead;
    HttpObjectStore m_store;
    RunnerDirectory m_directory;
    RetryBudget m_budget;
    KeyService m_keys;
    std::mutex m_limiterMutex;
    CustomerLimiter m_limiter;
    std::mutex m_spreadMutex;
    DocumentSpread m_spread;
    mutable std::mutex m_rulesMutex;
    std::shared_ptr<const RuleSet> m_rules;
    std::atomic<std::uint64_t> m_rulesVersion = 0;
    std::unique_ptr<Sharded<Shard>> m_shards;
    std::shared_ptr<LinkHub> m_hub;
    std::shared_ptr<EntryServer> m_server;
    std::shared_ptr<HttpServer> m_admin;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_hostTimer;
    std::map<std::string, std::unique_ptr<boost::asio::steady_timer>> m_watchTimers;
    std::atomic<std::uint64_t> m_nextRequest = 1;
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_stopped = false;
    std::atomic<std::int64_t> m_confirmedAt = 0; ///< microseconds on m_clock when the rules were last confirmed
    std::string m_hostListTag; ///< of the list in use; only one read is under way at a time
    std::uint16_t m_callerPort = 0;
    std::uint16_t m_linkPort = 0;
    std::uint16_t m_adminPort = 0;
};

} // namespace fulmarlink
