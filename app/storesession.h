#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include "fulmarlink/hostclock.h"
#include "platform/platformclient.h"

namespace fulmarlink
{

/** The store, asked from outside of any gateway. */
class StoreSession
{
public:
    explicit StoreSession(const HttpTarget &store)
        : m_client(m_context.get_executor(), m_clock, m_counters, {.store = store})
    {
    }

    /** What hosts have told each other of runners. */
    SharedRecordsRead records()
    {
        return wait(m_client.readSharedRecords());
    }

    TargetsRead targets()
    {
        return wait(m_client.readTargets());
    }

    /** The number of listed runners; 0 if the list can't be read. */
    std::size_t runnerCount()
    {
        return targets().targets.size();
    }

    std::error_code write(CrashRecord record)
    {
        return wait(m_client.writeCrashRecord(std::move(record)));
    }

    TimePoint now() const
    {
        return m_clock.now();
    }

private:
    template<typename Result>
    Result wait(boost::asio::awaitable<Result> call)
    {
        auto result = boost::asio::co_spawn(m_context, std::move(call), boost::asio::use_future);
        m_context.restart();
        m_context.run();
        return result.get();
    }

    boost::asio::io_context m_context{1};
    HostClock m_clock;
    Counters m_counters;
    PlatformClient m_client;
};

} // namespace fulmarlink
