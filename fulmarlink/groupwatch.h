#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fulmarlink/clock.h"
#include "fulmarlink/rankgroups.h"

namespace fulmarlink
{

class ExpertMapController;
class Platform;
struct GatewayState;
struct TargetInfo;

/**
 * Discovers the rank groups of a pool from the runners' reports and runs an
 * ExpertMapController for each group. Every host does so, because routing depends on which
 * runners stall together.
 *
 * A runner's report is read when the runner is newly listed, listed again or has restarted;
 * all reports are read again at an interval, because groups may re-form with other members.
 *
 * Usage: call run() once for each pool with experts; it ends when the process starts to
 * drain. Not thread-safe.
 */
class GroupWatch
{
public:
    GroupWatch(boost::asio::io_context &context, GatewayState &state, Platform &platform, std::string pool);
    ~GroupWatch();

    boost::asio::awaitable<void> run();

private:
    struct ReportBatch;

    std::vector<TargetInfo> runnersToRead();
    boost::asio::awaitable<void> readReports(std::vector<TargetInfo> targets);
    boost::asio::awaitable<void> readOneReport(unsigned index, std::shared_ptr<ReportBatch> batch);
    void recordGroups(const std::vector<TargetInfo> &targets, const std::vector<RankReportRead> &reports);
    void logGroups();
    void updateControllers();
    void startController(const std::string &group);

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    Platform &m_platform;
    const std::string m_pool;
    std::map<std::string, std::uint64_t> m_recordedStarts; ///< start of each runner whose group is known, by its ID
    std::map<std::string, unsigned> m_loggedMembers; ///< member count by group, as last logged
    std::map<std::string, std::shared_ptr<ExpertMapController>> m_controllers; ///< by group
    TimePoint m_lastFullRead{}; ///< when all reports were last read
};

} // namespace fulmarlink
