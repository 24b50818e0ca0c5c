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
 * Learns which rank groups the runners of a pool form, by their own reports, and keeps a
 * ExpertMapController for each group. Every entry does so: which runners stall together decides
 * where a request may go.
 *
 * Reports are read when a runner is listed for the first time or again, and all of them
 * now and then, since groups may form anew with other members.
 *
 * How to use: run() once for each pool with experts; it ends when the process begins to
 * leave. Not thread-safe.
 */
class GroupWatch
{
public:
    GroupWatch(boost::asio::io_context &context, GatewayState &state, Platform &platform, std::string pool);
    ~GroupWatch();

    boost::asio::awaitable<void> run();

private:
    struct Reading;

    std::vector<TargetInfo> due();
    boost::asio::awaitable<void> readReports(std::vector<TargetInfo> targets);
    boost::asio::awaitable<void> readOne(unsigned index, std::shared_ptr<Reading> reading);
    void note(const std::vector<TargetInfo> &targets, const std::vector<RankReportRead> &reports);
    void logGroups();
    void keepMaps();
    void startKeeper(const std::string &group);

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    Platform &m_platform;
    const std::string m_pool;
    std::map<std::string, std::uint64_t> m_placed; ///< ids of runners whose group is known, with their start
    std::map<std::string, unsigned> m_members; ///< of each group, as logged last
    std::map<std::string, std::shared_ptr<ExpertMapController>> m_keepers; ///< by group
    TimePoint m_readAll{}; ///< when all reports were last read
};

} // namespace fulmarlink
