// Each co_await is a statement of its own; the reason is in gatewayexchange.cpp.

#include "fulmarlink/crashwatch.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>

#include "fulmarlink/limitwatch.h"
#include "fulmarlink/log.h"
#include "fulmarlink/platform.h"

namespace fulmarlink
{

namespace asio = boost::asio;

namespace
{

/**
 * How long the store may hold an answer back while nothing changes: 0.4 calls a second. A connection that has gone silent is noticed after this time,
 * which is less than the platform allows until all hosts must know a record.
 */
constexpr std::chrono::milliseconds kLongPoll{2500};
constexpr Duration kFullReadInterval = std::chrono::seconds(10); ///< bounds the delay of a change that the store did not announce
constexpr Duration kStoreRetry = std::chrono::milliseconds(250); ///< as for the other reads of the store
constexpr std::size_t kMaxQueue = 64; ///< records; a host sees fewer runners end during a store outage
constexpr std::size_t kMaxSuspects = 64; ///< per record; a runner has some dozen requests in progress, a few of them from one host
constexpr std::size_t kMaxRecordSegments = 256; ///< of all suspects together; some 16 KB
constexpr std::size_t kMaxEnded = 256; ///< incarnations already handled; a runner's old connections break off within seconds of its end
constexpr Duration kExpiryInterval = std::chrono::minutes(1);

} // namespace

CrashWatch::CrashWatch(asio::io_context &context, GatewayState &state, Platform &platform)
    : m_context(context)
    , m_state(state)
    , m_platform(platform)
    , m_wakePublisher(context, asio::steady_timer::time_point::max())
    , m_runnersEnded(state.counters.registerCounter("fulmarlink_runners_ended_total"))
    , m_heldBack(state.counters.registerCounter("fulmarlink_requests_held_back"))
    , m_segmentsHeldBack(state.counters.registerCounter("fulmarlink_segments_held_back"))
    , m_records(state.counters.registerCounter("fulmarlink_crash_records"))
    , m_recordsDropped(state.counters.registerCounter("fulmarlink_crash_records_dropped_total"))
    , m_unwritten(state.counters.registerCounter("fulmarlink_crash_records_unwritten_total"))
{
}

asio::awaitable<void> CrashWatch::sleep(Duration duration)
{
    boost::system::error_code ignored; // this timer is never cancelled
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/** Logs a line only when the store becomes unavailable or available again, not one for each attempt. */
void CrashWatch::logStoreState(bool &available, bool nowAvailable, const char *event, const std::error_code &error) const
{
    if (available == nowAvailable) {
        return;
    }
    available = nowAvailable;
    logChange(event,
              {{"done", nowAvailable ? "true" : "false"},
               {"error", nowAvailable ? std::string() : error.message()},
               {"records", std::to_string(m_state.crashes.size())},
               {"waiting", std::to_string(m_queue.size())}});
}

Duration CrashWatch::retryDelay()
{
    return kStoreRetry + Duration(static_cast<Duration::rep>(m_state.random() % static_cast<std::uint64_t>(kStoreRetry.count())));
}

asio::awaitable<void> CrashWatch::run()
{
    std::uint64_t revision = 0;
    TimePoint lastFullRead{};
    TimePoint lastExpiry = m_state.clock.now();
    for (;;) {
        const TimePoint began = m_state.clock.now();
        SharedRecordsRead read;
        if (revision == 0 || began - lastFullRead >= kFullReadInterval) {
            read = co_await m_platform.readSharedRecords();
            lastFullRead = read.error ? lastFullRead : began;
        } else {
            read = co_await m_platform.awaitSharedRecords(revision, kLongPoll);
        }
        const bool failed = read.error && read.error != ResultCode::ObjectNotFound;
        logStoreState(m_readable, !failed, "crash-records-read", read.error);
        if (failed) {
            revision = read.error == ResultCode::StoreHistoryGone ? 0 : revision;
            co_await sleep(retryDelay());
            continue;
        }
        revision = read.revision;
        const bool unchanged = read.crashes.empty() && read.limits.empty() && read.removedLimits.empty();
        apply(std::move(read));
        if (unchanged && m_state.clock.now() - began < kStoreRetry) { // the store does not hold answers back: wait, to avoid polling it in a tight loop
            co_await sleep(retryDelay());
        }
        if (m_state.clock.now() - lastExpiry >= kExpiryInterval) {
            lastExpiry = m_state.clock.now();
            co_await removeExpired();
        }
        if (revision == 0) { // a store that reports no revision can't be waited on
            co_await sleep(kLongPoll);
        }
    }
}

void CrashWatch::apply(SharedRecordsRead read)
{
    m_state.limitWatch->applyRecords(read);
    for (CrashRecord &record : read.crashes) {
        apply(std::move(record));
    }
    m_state.crashRecordsLoaded = true;
    queueClearances();
    m_state.counters.set(m_records, m_state.crashes.size());
    m_state.counters.set(m_recordsDropped, m_state.crashes.droppedRecords());
    const std::vector<HeldRequest> held = m_state.crashes.heldRequests(m_state.clock.now());
    m_state.counters.set(m_heldBack, held.size());
    m_state.counters.set(m_segmentsHeldBack, static_cast<std::size_t>(std::ranges::count_if(held, [](const HeldRequest &request) {
                             return !request.status.segment.empty();
                         })));
}

void CrashWatch::apply(CrashRecord record)
{
    const CrashRecord copy = record;
    if (!m_state.crashes.add(std::move(record), m_state.clock.now())) {
        return;
    }
    for (const CrashSuspect &suspect : copy.suspects) {
        const auto survivors = m_state.attempts.survivors(suspect.fingerprint, suspect.exposure, m_state.clock.now());
        m_state.crashes.observeSurvivors(suspect.fingerprint, survivors, unixNow());
    }
    logStatuses(copy);
}

/** Logs a line for each request or segment that the record clears, and for each that now has two crashes or more. */
void CrashWatch::logStatuses(const CrashRecord &record)
{
    std::set<RequestFingerprint> logged;
    for (const CrashSuspect &suspect : record.suspects) {
        const CrashKeys keys = crashKeysOf(suspect.fingerprint, suspect.segments);
        logStatus(record, suspect, m_state.crashes.status(keys.request, m_state.clock.now()));
        for (const RequestFingerprint &segment : keys.segments) {
            if (logged.insert(segment).second) {
                logStatus(record, suspect, m_state.crashes.status(segment, m_state.clock.now()));
            }
        }
    }
}

void CrashWatch::logStatus(const CrashRecord &record, const CrashSuspect &suspect, const CrashStatus &status) const
{
    const bool isClearance = record.kind == CrashRecordKind::Cleared;
    if (status.crashes < 2 && !isClearance) {
        return;
    }
    const bool isSegment = !status.segment.empty();
    logWarning(isClearance ? "request-cleared" : (isSegment ? "segment-suspected" : "request-suspected"),
               {{"fingerprint", status.key.text()},
                {"segment", status.segment},
                {"customer", isSegment && status.key.customer == kAllCustomers ? std::string() : suspect.customer},
                {"route", suspect.route},
                {"verdict", crashVerdictName(status.verdict)},
                {"crashes", std::to_string(status.crashes)},
                {"chance", scientific(status.chance)},
                {"survivors", std::to_string(status.survivors)},
                {"trials", std::to_string(status.trials)},
                {"lives", textOf(record.incarnations)},
                {"told_by", record.host}});
}

void CrashWatch::segmentsAnswered(std::span<const RequestFingerprint> segments)
{
    m_state.crashes.segmentsAnswered(segments, m_state.clock.now());
    queueClearances();
}

void CrashWatch::runnerAnswered(const TargetIncarnation &incarnation)
{
    m_state.attempts.recordAnswer(incarnation);
    if (m_ended.erase(incarnation) > 0) {
        std::erase(m_endedOrder, incarnation);
    }
}

void CrashWatch::noteEnd(const TargetIncarnation &incarnation, std::string_view evidence)
{
    if (m_state.crashes.observeEnd(incarnation, unixNow())) {
        logChange("runner-end-noted", {{"target", incarnation.id}, {"born", std::to_string(incarnation.born)}, {"evidence", evidence}});
    }
}

void CrashWatch::restarted(const std::string &targetId, std::uint64_t born)
{
    for (const TargetIncarnation &incarnation : m_state.attempts.incarnationsOf(targetId, m_state.clock.now())) {
        const bool sentAfterEnd = m_ended.contains(incarnation); // handleEnded() has taken all earlier attempts
        if (incarnation.born != born && !sentAfterEnd) {
            handleEnded(incarnation, "started-again");
        }
    }
}

void CrashWatch::handleEnded(const TargetIncarnation &incarnation, std::string_view evidence)
{
    const TimePoint now = m_state.clock.now();
    std::vector<CrashSuspect> suspects = m_state.attempts.takeSuspects(incarnation, now);
    std::ranges::move(m_state.attempts.takeSurvived(incarnation, now), std::back_inserter(suspects));
    std::optional<CrashRecord> completed = m_state.crashes.takeCompleted(suspects, now);
    suspects.resize(std::min(suspects.size(), kMaxSuspects));
    if (m_ended.insert(incarnation).second) {
        m_endedOrder.push_back(incarnation);
        m_state.counters.add(m_runnersEnded);
    }
    if (m_endedOrder.size() > kMaxEnded) {
        m_ended.erase(m_endedOrder.front());
        m_endedOrder.pop_front();
    }
    logWarning("runner-ended",
               {{"target", incarnation.id},
                {"born", std::to_string(incarnation.born)},
                {"evidence", evidence},
                {"suspects", textOf(suspects)},
                {"segments", segmentsOf(suspects)},
                {"states", statesOf(suspects)}});
    if (completed) {
        CrashRecord record = newRecord(CrashRecordKind::Cleared, "cleared." + incarnation.id + '.' + std::to_string(incarnation.born));
        record.incarnations.push_back(incarnation);
        record.suspects = std::move(completed->suspects);
        record.completionAge = completed->completionAge;
        enqueue(std::move(record));
    }
    if (suspects.empty()) {
        return;
    }
    recordCrash(incarnation, crashEvidence(std::move(suspects)));
}

void CrashWatch::recordCrash(const TargetIncarnation &incarnation, std::vector<CrashSuspect> suspects)
{
    CrashRecord record = newRecord(CrashRecordKind::Crash, "crash." + incarnation.id + '.' + std::to_string(incarnation.born));
    const TargetInfo *target = m_state.targets.find(incarnation.id);
    record.pool = target == nullptr ? std::string() : target->pool;
    record.incarnations.push_back(incarnation);
    dropSegments(suspects, incarnation);
    record.suspects = std::move(suspects);
    enqueue(record);
    apply(std::move(record));
    queueClearances();
}

/** Drops the segments that have been answered recently, and those beyond the limit of a record. */
void CrashWatch::dropSegments(std::vector<CrashSuspect> &suspects, const TargetIncarnation &incarnation) const
{
    std::size_t kept = 0;
    std::size_t dropped = 0;
    for (CrashSuspect &suspect : suspects) {
        std::erase_if(suspect.segments, [&](const std::string &id) {
            return m_state.crashes.completedRecently(segmentFingerprint(suspect.fingerprint.customer, id), m_state.clock.now());
        });
        const std::size_t room = kMaxRecordSegments - kept;
        dropped += suspect.segments.size() - std::min(suspect.segments.size(), room);
        suspect.segments.resize(std::min(suspect.segments.size(), room));
        kept += suspect.segments.size();
    }
    if (dropped > 0) {
        logWarning("crash-record-segments-dropped", {{"target", incarnation.id}, {"kept", std::to_string(kept)}, {"dropped", std::to_string(dropped)}});
    }
}

void CrashWatch::suspectLost(const TargetIncarnation &incarnation, CrashSuspect suspect)
{
    if (!m_state.crashes.completedRecently(suspect.fingerprint, m_state.clock.now())) {
        recordCrash(incarnation, {std::move(suspect)});
    }
}

/** Returns a record of this host. Its name is unique: the prefix, the host, the time and a counter. */
CrashRecord CrashWatch::newRecord(CrashRecordKind kind, const std::string &namePrefix) const
{
    CrashRecord record;
    record.kind = kind;
    record.host = m_state.settings.host;
    record.writtenAt = unixNow();
    record.name = namePrefix + '.' + record.host + '.' + std::to_string(record.writtenAt.count()) + '-' + std::to_string(m_enqueued);
    return record;
}

void CrashWatch::queueClearances()
{
    for (CrashRecord &clearance : m_state.crashes.takeClearances()) {
        CrashRecord record = newRecord(CrashRecordKind::Cleared, "cleared." + clearance.suspects.front().fingerprint.text());
        record.incarnations = std::move(clearance.incarnations);
        record.completionAge = clearance.completionAge;
        record.suspects = std::move(clearance.suspects);
        enqueue(record);
        apply(std::move(record));
    }
}

void CrashWatch::enqueue(CrashRecord record)
{
    ++m_enqueued;
    if (m_queue.size() >= kMaxQueue) {
        m_state.counters.add(m_unwritten);
        logWarning("crash-record-dropped", {{"record", m_queue.front().name}});
        m_queue.pop_front();
    }
    m_queue.push_back(std::move(record));
    m_wakePublisher.cancel();
}

asio::awaitable<void> CrashWatch::publish()
{
    boost::system::error_code ignored; // the timer is cancelled when a record is queued
    for (;;) {
        if (m_queue.empty()) {
            m_wakePublisher.expires_at(asio::steady_timer::time_point::max());
            co_await m_wakePublisher.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        const CrashRecord record = m_queue.front();
        const std::error_code error = co_await m_platform.writeCrashRecord(record);
        const bool written = !error || error == ResultCode::VersionConflict; // a conflict: an earlier write succeeded but its answer was lost
        if (written && !m_queue.empty() && m_queue.front().name == record.name) {
            m_queue.pop_front();
        }
        logStoreState(m_writable, written, "crash-record-written", error);
        co_await sleep(written ? m_state.sharedWriteInterval() : retryDelay());
    }
}

asio::awaitable<bool> CrashWatch::claimTrial(CrashSuspect suspect)
{
    const unsigned trials = m_state.crashes.status(suspect.fingerprint, m_state.clock.now()).trials;
    CrashRecord record = newRecord(CrashRecordKind::Trial, {});
    record.name = "trial." + suspect.fingerprint.text() + '.' + std::to_string(trials + 1);
    record.suspects.push_back(std::move(suspect));
    const std::error_code error = co_await m_platform.writeCrashRecord(record);
    if (!error) {
        apply(std::move(record));
    }
    co_return !error;
}

asio::awaitable<void> CrashWatch::removeExpired()
{
    for (const std::string &name : m_state.crashes.expire(unixNow(), m_state.settings.host)) {
        const std::error_code error = co_await m_platform.removeCrashRecord(name);
        if (error) {
            logChange("crash-record-kept", {{"record", name}, {"error", error.message()}});
        }
    }
}

} // namespace fulmarlink
