#include "fulmarlink/groupwatch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fulmarlink/expertmapcontroller.h"
#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/log.h"
#include "fulmarlink/platform.h"
#include "fulmarlink/supervised.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kRound = std::chrono::milliseconds(200); ///< the age of a report; a runner that is new waits so long for its group
constexpr Duration kReadAll
    = std::chrono::seconds(8); ///< 64 reports from each of 16 hosts are 128 a second; a group that forms anew is out of work for 2 s before

} // namespace

/** Reports that are read at the same time; the last one wakes the reader. */
struct GroupWatch::Reading {
    Reading(asio::io_context &context, std::vector<TargetInfo> theTargets)
        : timer(context, asio::steady_timer::time_point::max())
        , targets(std::move(theTargets))
        , reports(targets.size())
        , open(targets.size())
    {
    }

    asio::steady_timer timer;
    std::vector<TargetInfo> targets;
    std::vector<RankReportRead> reports;
    std::size_t open;
};

GroupWatch::GroupWatch(asio::io_context &context, GatewayState &state, Platform &platform, std::string pool)
    : m_context(context)
    , m_state(state)
    , m_platform(platform)
    , m_pool(std::move(pool))
{
}

GroupWatch::~GroupWatch() = default;

asio::awaitable<void> GroupWatch::run()
{
    boost::system::error_code ignored; // the timer is not cancelled
    asio::steady_timer timer(m_context);
    while (!m_state.drainBegan) {
        const std::vector<TargetInfo> targets = due();
        if (!targets.empty()) {
            co_await readReports(targets);
        }
        keepMaps();
        timer.expires_after(kRound);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

/** Runners whose group is not known, or all of them when that is due. */
std::vector<TargetInfo> GroupWatch::due()
{
    std::vector<TargetInfo> listed = m_state.targets.listed(m_pool);
    const TimePoint now = m_state.clock.now();
    std::erase_if(listed, [&](const TargetInfo &target) {
        return m_state.signals.exclusion({target.id, target.born}, 0, now) == RunnerExclusion::BackingOff;
    });
    if (now - m_readAll >= kReadAll) {
        m_readAll = now;
        return listed;
    }
    std::erase_if(listed, [&](const TargetInfo &target) {
        const auto it = m_placed.find(target.id);
        return it != m_placed.end() && it->second == target.born;
    });
    return listed;
}

asio::awaitable<void> GroupWatch::readOne(unsigned index, std::shared_ptr<Reading> reading)
{
    reading->reports[index] = co_await m_platform.readRankReport(reading->targets[index]);
    if (--reading->open == 0) {
        reading->timer.cancel();
    }
}

asio::awaitable<void> GroupWatch::readReports(std::vector<TargetInfo> targets)
{
    const auto reading = std::make_shared<Reading>(m_context, std::move(targets));
    for (unsigned i = 0; i < reading->targets.size(); ++i) {
        asio::co_spawn(m_context, readOne(i, reading), asio::detached);
    }
    boost::system::error_code ignored; // cancelled when the last call has ended
    if (reading->open > 0) {
        co_await reading->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    note(reading->targets, reading->reports);
}

void GroupWatch::note(const std::vector<TargetInfo> &targets, const std::vector<RankReportRead> &reports)
{
    for (unsigned i = 0; i < targets.size(); ++i) {
        const RankReportRead &read = reports[i];
        const bool inNone = read.error == ResultCode::ObjectNotFound;
        if (read.error && !inNone) {
            continue; // it is asked again
        }
        m_state.targets.setGroup(targets[i].id, inNone ? std::string() : read.report.group);
        m_placed[targets[i].id] = targets[i].born;
    }
    logGroups();
}

void GroupWatch::logGroups()
{
    std::map<std::string, unsigned> members;
    for (const TargetInfo &target : m_state.targets.listed(m_pool)) {
        ++members[m_state.targets.groupOf(target.id)];
    }
    if (members == m_members) {
        return;
    }
    std::string text;
    for (const auto &[group, count] : members) {
        text += (text.empty() ? "" : ",") + (group.empty() ? "none" : group) + ':' + std::to_string(count);
    }
    logChange("groups-changed", {{"pool", m_pool}, {"members", text}});
    m_members = std::move(members);
}

void GroupWatch::keepMaps()
{
    std::set<std::string> listed;
    for (const TargetInfo &target : m_state.targets.listed(m_pool)) {
        listed.insert(target.id);
        const std::string &group = m_state.targets.groupOf(target.id);
        if (!group.empty() && !m_keepers.contains(group)) {
            startKeeper(group);
        }
    }
    std::erase_if(m_placed, [&](const auto &entry) {
        return !listed.contains(entry.first);
    });
    std::erase_if(m_keepers, [](const auto &entry) {
        return entry.second->ended();
    });
}

void GroupWatch::startKeeper(const std::string &group)
{
    const auto keeper = std::make_shared<ExpertMapController>(m_context, m_state, m_platform, m_pool, group);
    m_keepers.emplace(group, keeper);
    asio::co_spawn(m_context, keeper->run(), [this, keeper](const std::exception_ptr &error) { // it lives as long as its loop
        if (!error) {
            return;
        }
        // Rethrown it would end this process, and then that of the host which takes the lease next. The keeper gives its lease back and is replaced.
        logWarning("map-keeper-broke-off", {{"pool", m_pool}, {"error", whatOf(error)}});
        asio::co_spawn(m_context, keeper->end(), [keeper](const std::exception_ptr & /*it only writes the lease*/) {
        });
    });
}

} // namespace fulmarlink
