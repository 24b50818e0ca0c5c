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

constexpr Duration kPollInterval = std::chrono::milliseconds(200); ///< equals the age of a report; upper bound on how long a new runner waits for its group
constexpr Duration kFullReadInterval
    = std::chrono::seconds(8); ///< a full read of 64 runners by 16 hosts costs 128 reads/s; a group that re-forms serves no requests for 2 s in any case

} // namespace

/** Reports that are read in parallel; the last answer wakes the reader. */
struct GroupWatch::ReportBatch {
    ReportBatch(asio::io_context &context, std::vector<TargetInfo> theTargets)
        : timer(context, asio::steady_timer::time_point::max())
        , targets(std::move(theTargets))
        , reports(targets.size())
        , pending(targets.size())
    {
    }

    asio::steady_timer timer;
    std::vector<TargetInfo> targets;
    std::vector<RankReportRead> reports;
    std::size_t pending;
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
    while (!m_state.drainStartedAt) {
        const std::vector<TargetInfo> targets = runnersToRead();
        if (!targets.empty()) {
            co_await readReports(targets);
        }
        updateControllers();
        timer.expires_after(kPollInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

/** Listed runners whose group is unknown, or all of them when a full read is due; without those that back off. */
std::vector<TargetInfo> GroupWatch::runnersToRead()
{
    std::vector<TargetInfo> listed = m_state.targets.listed(m_pool);
    const TimePoint now = m_state.clock.now();
    std::erase_if(listed, [&](const TargetInfo &target) {
        return m_state.signals.exclusion({target.id, target.born}, 0, now) == RunnerExclusion::BackingOff;
    });
    if (now - m_lastFullRead >= kFullReadInterval) {
        m_lastFullRead = now;
        return listed;
    }
    std::erase_if(listed, [&](const TargetInfo &target) {
        const auto it = m_recordedStarts.find(target.id);
        return it != m_recordedStarts.end() && it->second == target.born;
    });
    return listed;
}

asio::awaitable<void> GroupWatch::readOneReport(unsigned index, std::shared_ptr<ReportBatch> batch)
{
    batch->reports[index] = co_await m_platform.readRankReport(batch->targets[index]);
    if (--batch->pending == 0) {
        batch->timer.cancel();
    }
}

asio::awaitable<void> GroupWatch::readReports(std::vector<TargetInfo> targets)
{
    const auto batch = std::make_shared<ReportBatch>(m_context, std::move(targets));
    for (unsigned i = 0; i < batch->targets.size(); ++i) {
        asio::co_spawn(m_context, readOneReport(i, batch), asio::detached);
    }
    boost::system::error_code ignored; // the last call cancels the timer
    if (batch->pending > 0) {
        co_await batch->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    recordGroups(batch->targets, batch->reports);
}

void GroupWatch::recordGroups(const std::vector<TargetInfo> &targets, const std::vector<RankReportRead> &reports)
{
    for (unsigned i = 0; i < targets.size(); ++i) {
        const RankReportRead &read = reports[i];
        const bool ungrouped = read.error == ResultCode::ObjectNotFound;
        if (read.error && !ungrouped) {
            continue; // retried in the next round
        }
        m_state.targets.setGroup(targets[i].id, ungrouped ? std::string() : read.report.group);
        m_recordedStarts[targets[i].id] = targets[i].born;
    }
    logGroups();
}

void GroupWatch::logGroups()
{
    std::map<std::string, unsigned> members;
    for (const TargetInfo &target : m_state.targets.listed(m_pool)) {
        ++members[m_state.targets.groupOf(target.id)];
    }
    if (members == m_loggedMembers) {
        return;
    }
    std::string text;
    for (const auto &[group, count] : members) {
        text += (text.empty() ? "" : ",") + (group.empty() ? "none" : group) + ':' + std::to_string(count);
    }
    logChange("groups-changed", {{"pool", m_pool}, {"members", text}});
    m_loggedMembers = std::move(members);
}

void GroupWatch::updateControllers()
{
    std::set<std::string> listed;
    for (const TargetInfo &target : m_state.targets.listed(m_pool)) {
        listed.insert(target.id);
        const std::string &group = m_state.targets.groupOf(target.id);
        if (!group.empty() && !m_controllers.contains(group)) {
            startController(group);
        }
    }
    std::erase_if(m_recordedStarts, [&](const auto &entry) {
        return !listed.contains(entry.first);
    });
    std::erase_if(m_controllers, [](const auto &entry) {
        return entry.second->ended();
    });
}

void GroupWatch::startController(const std::string &group)
{
    const auto controller = std::make_shared<ExpertMapController>(m_context, m_state, m_platform, m_pool, group);
    m_controllers.emplace(group, controller);
    asio::co_spawn(
        m_context, controller->run(), [this, controller](const std::exception_ptr &error) { // the handler keeps the controller alive until run() ends
            if (!error) {
                return;
            }
            // Rethrowing would terminate this process and then that of each host that acquires the lease. The controller releases its lease and is replaced.
            logWarning("map-keeper-broke-off", {{"pool", m_pool}, {"error", whatOf(error)}});
            asio::co_spawn(m_context, controller->end(), [controller](const std::exception_ptr & /*it only writes the lease*/) {
            });
        });
}

} // namespace fulmarlink
