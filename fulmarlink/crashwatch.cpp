// Each co_await stands in a statement of its own, as in gatewayexchange.cpp.

#include "fulmarlink/crashwatch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fulmarlink/limitwatch.h"
#include "fulmarlink/log.h"
#include "fulmarlink/platform.h"
#include "fulmarlink/targetconnections.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds kProbe{
    100}; ///< a connection that is refused is refused within a cross-zone round trip; a lost packet costs more than it tells
constexpr Duration kConfirm
    = std::chrono::milliseconds(100); ///< a runner that only turned callers away answers the others meanwhile; far below a restart's time
constexpr unsigned kLooks = 5; ///< 0.5 s: a lost packet comes again after 0.2 s and then 0.4 s
/**
 * A store holds an answer back for so long where nothing happens, 0.4 calls a second. A connection that has gone silent is noticed by then, in less
 * time than a platform gives for what all hosts must know.
 */
constexpr std::chrono::milliseconds kWait{2500};
constexpr Duration kReadAll = std::chrono::seconds(10); ///< a change that was not told of is known by then
constexpr Duration kStoreRetry = std::chrono::milliseconds(250); ///< as for the other reads of the store
constexpr std::size_t kMaxQueue = 64; ///< records; a host sees fewer runners end within an outage
constexpr std::size_t kMaxSuspects = 64; ///< of one record; a runner has some dozen requests in progress, of one host a few
constexpr std::size_t kMaxEnded = 256; ///< lives that were told of; a runner's old connections break off within seconds of its end
constexpr Duration kDropOld = std::chrono::minutes(1);

std::chrono::milliseconds unixNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

std::string textOf(const std::vector<CrashSuspect> &suspects)
{
    std::string result;
    for (const CrashSuspect &suspect : suspects) {
        result += (result.empty() ? "" : ",") + suspect.fingerprint.text();
    }
    return result;
}

std::string textOf(const std::vector<TargetLife> &lives)
{
    std::string result;
    for (const TargetLife &life : lives) {
        result += (result.empty() ? "" : ",") + life.id + '@' + std::to_string(life.born);
    }
    return result;
}

TargetLife lifeOf(const TargetInfo &target)
{
    return {target.id, target.born};
}

} // namespace

CrashWatch::CrashWatch(asio::io_context &context, GatewayState &state, Platform &platform)
    : m_context(context)
    , m_state(state)
    , m_platform(platform)
    , m_wake(context, asio::steady_timer::time_point::max())
    , m_runnersEnded(state.counters.registerCounter("fulmarlink_runners_ended_total"))
    , m_heldBack(state.counters.registerCounter("fulmarlink_requests_held_back"))
    , m_records(state.counters.registerCounter("fulmarlink_crash_records"))
    , m_recordsDropped(state.counters.registerCounter("fulmarlink_crash_records_dropped_total"))
    , m_unwritten(state.counters.registerCounter("fulmarlink_crash_records_unwritten_total"))
{
}

asio::awaitable<void> CrashWatch::sleep(Duration duration)
{
    boost::system::error_code ignored; // the timer is not cancelled
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/** One line when the store is lost and one when it is there again, not one for each try. */
void CrashWatch::noteStore(bool &before, bool now, const char *event, const std::error_code &error) const
{
    if (before == now) {
        return;
    }
    before = now;
    logChange(event,
              {{"done", now ? "true" : "false"},
               {"error", now ? std::string() : error.message()},
               {"records", std::to_string(m_state.crashes.size())},
               {"waiting", std::to_string(m_queue.size())}});
}

Duration CrashWatch::retryPause()
{
    return kStoreRetry + Duration(static_cast<Duration::rep>(m_state.random() % static_cast<std::uint64_t>(kStoreRetry.count())));
}

asio::awaitable<void> CrashWatch::run()
{
    std::uint64_t revision = 0;
    TimePoint readAll{};
    TimePoint droppedOld = m_state.clock.now();
    for (;;) {
        const TimePoint began = m_state.clock.now();
        SharedRecordsRead read;
        if (revision == 0 || began - readAll >= kReadAll) {
            read = co_await m_platform.readSharedRecords();
            readAll = read.error ? readAll : began;
        } else {
            read = co_await m_platform.awaitSharedRecords(revision, kWait);
        }
        const bool failed = read.error && read.error != ResultCode::ObjectNotFound;
        noteStore(m_readable, !failed, "crash-records-read", read.error);
        if (failed) {
            revision = read.error == ResultCode::StoreHistoryGone ? 0 : revision;
            co_await sleep(retryPause());
            continue;
        }
        revision = read.revision;
        const bool nothing = read.crashes.empty() && read.limits.empty() && read.limitsEnded.empty();
        take(std::move(read));
        if (nothing && m_state.clock.now() - began < kStoreRetry) { // it does not hold answers back: it must not be asked without a pause
            co_await sleep(retryPause());
        }
        if (m_state.clock.now() - droppedOld >= kDropOld) {
            droppedOld = m_state.clock.now();
            co_await dropOld();
        }
        if (revision == 0) { // a store that says no revision can't be waited on
            co_await sleep(kWait);
        }
    }
}

void CrashWatch::take(SharedRecordsRead read)
{
    m_state.limitWatch->applyRecords(read);
    for (CrashRecord &record : read.crashes) {
        take(std::move(record));
    }
    m_state.crashesKnown = true;
    queueClearings();
    m_state.counters.set(m_records, m_state.crashes.size());
    m_state.counters.set(m_recordsDropped, m_state.crashes.dropped());
    m_state.counters.set(m_heldBack, m_state.crashes.held(m_state.clock.now()).size());
}

void CrashWatch::take(CrashRecord record)
{
    const CrashRecord copy = record;
    if (m_state.crashes.add(std::move(record), m_state.clock.now())) {
        noteStandings(copy);
    }
}

/** One line for each request that the record holds back, or lets go. */
void CrashWatch::noteStandings(const CrashRecord &record)
{
    for (const CrashSuspect &suspect : record.suspects) {
        const CrashStanding standing = m_state.crashes.standing(suspect.fingerprint, m_state.clock.now());
        const bool let = record.kind == CrashRecordKind::Cleared;
        if (standing.crashes < 2 && !let) {
            continue;
        }
        logWarning(let ? "request-cleared" : "request-suspected",
                   {{"fingerprint", suspect.fingerprint.text()},
                    {"customer", suspect.customer},
                    {"route", suspect.route},
                    {"verdict", crashVerdictName(standing.verdict)},
                    {"crashes", std::to_string(standing.crashes)},
                    {"trials", std::to_string(standing.trials)},
                    {"lives", textOf(record.lives)},
                    {"told_by", record.host}});
    }
}

asio::awaitable<bool> CrashWatch::refusesConnections(const TargetInfo &target)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(target.address.address, error);
    auto connection = std::make_shared<TargetConnection>(m_context.get_executor());
    connection->target = target.id;
    connection->pool = target.pool;
    connection->stream.expires_after(kProbe);
    co_await connection->stream.async_connect({address, target.address.port}, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        connection->idleLimit = TargetConnections::kDefaultIdle;
        m_state.connections->release(std::move(connection));
    }
    co_return error == asio::error::connection_refused;
}

asio::awaitable<bool> CrashWatch::seemsEnded(TargetInfo target)
{
    const TargetLife life = lifeOf(target);
    if (m_ended.contains(life) || m_suspected.contains(life)) {
        co_return true;
    }
    const bool refused = co_await refusesConnections(target);
    if (refused && m_suspected.insert(life).second) {
        asio::co_spawn(m_context, confirm(std::move(target)), asio::detached);
    }
    co_return refused;
}

/**
 * A connection whose last packet was lost seems to be open for a while after its runner has
 * ended, so as long as new ones are refused it is looked at a few times more.
 */
asio::awaitable<void> CrashWatch::confirm(TargetInfo target)
{
    const TargetLife life = lifeOf(target);
    const TimePoint began = m_state.clock.now();
    bool refused = true;
    bool gone = false;
    for (unsigned look = 1; look <= kLooks && refused && !gone; ++look) {
        co_await sleep(kConfirm);
        refused = co_await refusesConnections(target);
        const bool silent = look == kLooks && m_state.targets.lastHeard(life.id) < began;
        gone = refused && (silent || !m_state.attempts.anyInProgress(life));
    }
    m_suspected.erase(life);
    if (gone) {
        ended(life, "refused");
    } else {
        logChange("runner-lives", {{"target", life.id}, {"born", std::to_string(life.born)}, {"refused", refused ? "true" : "false"}});
    }
}

void CrashWatch::restarted(const std::string &targetId, std::uint64_t born)
{
    for (const TargetLife &life : m_state.attempts.livesOf(targetId, m_state.clock.now())) {
        if (life.born != born) {
            ended(life, "started-again");
        }
    }
}

void CrashWatch::ended(const TargetLife &life, std::string_view evidence)
{
    const TimePoint now = m_state.clock.now();
    std::vector<CrashSuspect> suspects = m_state.attempts.takeSuspects(life, now);
    std::erase_if(suspects, [&](const CrashSuspect &suspect) {
        return m_state.crashes.endedWellLately(suspect.fingerprint, now);
    });
    suspects.resize(std::min(suspects.size(), kMaxSuspects));
    if (m_ended.insert(life).second) {
        m_endedOrder.push_back(life);
        m_state.counters.add(m_runnersEnded);
    }
    if (m_endedOrder.size() > kMaxEnded) {
        m_ended.erase(m_endedOrder.front());
        m_endedOrder.pop_front();
    }
    logWarning("runner-ended", {{"target", life.id}, {"born", std::to_string(life.born)}, {"evidence", evidence}, {"suspects", textOf(suspects)}});
    if (suspects.empty()) {
        return;
    }
    CrashRecord record = ownRecord(CrashRecordKind::Crash, "crash." + life.id + '.' + std::to_string(life.born));
    record.lives.push_back(life);
    record.suspects = std::move(suspects);
    queue(record);
    take(std::move(record));
    queueClearings();
}

/** A name that no other record has: this host's, by its own count and time. */
CrashRecord CrashWatch::ownRecord(CrashRecordKind kind, const std::string &name) const
{
    CrashRecord record;
    record.kind = kind;
    record.host = m_state.settings.host;
    record.writtenAt = unixNow();
    record.name = name + '.' + record.host + '.' + std::to_string(record.writtenAt.count()) + '-' + std::to_string(m_written);
    return record;
}

void CrashWatch::queueClearings()
{
    for (CrashRecord &clearing : m_state.crashes.takeClearings()) {
        CrashRecord record = ownRecord(CrashRecordKind::Cleared, "cleared." + clearing.suspects.front().fingerprint.text());
        record.lives = std::move(clearing.lives);
        record.suspects = std::move(clearing.suspects);
        queue(record);
        take(std::move(record));
    }
}

void CrashWatch::queue(CrashRecord record)
{
    ++m_written;
    if (m_queue.size() >= kMaxQueue) {
        m_state.counters.add(m_unwritten);
        logWarning("crash-record-dropped", {{"record", m_queue.front().name}});
        m_queue.pop_front();
    }
    m_queue.push_back(std::move(record));
    m_wake.cancel();
}

asio::awaitable<void> CrashWatch::publish()
{
    boost::system::error_code ignored; // cancelled when there is something to write
    for (;;) {
        if (m_queue.empty()) {
            m_wake.expires_at(asio::steady_timer::time_point::max());
            co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        const CrashRecord record = m_queue.front();
        const std::error_code error = co_await m_platform.writeCrashRecord(record);
        const bool there = !error || error == ResultCode::VersionConflict; // from an earlier write whose answer was lost
        if (there && !m_queue.empty() && m_queue.front().name == record.name) {
            m_queue.pop_front();
        }
        noteStore(m_writable, there, "crash-record-written", error);
        co_await sleep(there ? m_state.sharedWritePause() : retryPause());
    }
}

asio::awaitable<bool> CrashWatch::claimTrial(CrashSuspect suspect)
{
    const unsigned trials = m_state.crashes.standing(suspect.fingerprint, m_state.clock.now()).trials;
    CrashRecord record = ownRecord(CrashRecordKind::Trial, {});
    record.name = "trial." + suspect.fingerprint.text() + '.' + std::to_string(trials + 1);
    record.suspects.push_back(std::move(suspect));
    const std::error_code error = co_await m_platform.writeCrashRecord(record);
    if (!error) {
        take(std::move(record));
    }
    co_return !error;
}

asio::awaitable<void> CrashWatch::dropOld()
{
    for (const std::string &name : m_state.crashes.expire(unixNow(), m_state.settings.host)) {
        const std::error_code error = co_await m_platform.removeCrashRecord(name);
        if (error) {
            logChange("crash-record-kept", {{"record", name}, {"error", error.message()}});
        }
    }
}

} // namespace fulmarlink
