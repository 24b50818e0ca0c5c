#include "fulmarlink/gatewaystate.h"

#include <algorithm>
#include <random>
#include <utility>

#include "fulmarlink/log.h"
#include "fulmarlink/mutation.h"

namespace fulmarlink
{

namespace
{

/** Allows for the time between the check of a key and the start at the runner: delay on a busy host and network latency. */
constexpr Duration kRevokeMargin = std::chrono::milliseconds(600);

/**
 * Maximum age of the configuration's confirmation at which a host reports ready. The platform needs two seconds to route callers
 * to other hosts, and requests with a key are refused from maxKeyProofAge() on. A lost read takes 0.95 s.
 */
constexpr Duration kMaxReadyProofAge = std::chrono::milliseconds(2100);

constexpr unsigned kEntryRenewalsPerSecond = 20; ///< by all hosts together, at most; they are part of kSharedWritesPerSecond

constexpr Duration kMinStallTime = std::chrono::milliseconds(500); ///< longer than any pass, shorter than callers wait
constexpr int kStallPasses = 2; ///< passes of a group with a slow rank take over a second without being stalled

TargetTableOptions tableOptions(const GatewaySettings &settings)
{
    TargetTableOptions options;
    options.zone = settings.zone;
    return options;
}

} // namespace

GatewayState::GatewayState(GatewaySettings theSettings, const Clock &theClock, Counters &theCounters, const CallerProtocol &theProtocol)
    : settings(std::move(theSettings))
    , clock(theClock)
    , counters(theCounters)
    , protocol(theProtocol)
    , targets(tableOptions(settings))
    , requestMemory(std::make_shared<RequestMemory>(settings.requestMemory))
    , crashes(settings.crashes)
    , startedAt(theClock.now())
    , random(std::random_device()())
    , requestDuration(counters, "fulmarlink_request_duration_ms")
    , firstEventDelay(counters, "fulmarlink_first_event_ms")
    , eventInterval(counters, "fulmarlink_event_pause_ms")
    , deniedRetries(counters.registerCounter("fulmarlink_retries_denied_total"))
    , limitedSends(counters.registerCounter("fulmarlink_limited_sends_total"))
    , segmentRefusals(counters.registerCounter("fulmarlink_segment_refusals_total"))
    , ignoredSegments(counters.registerCounter("fulmarlink_prompt_segments_ignored_total"))
    , unbufferedAnswers(counters.registerCounter("fulmarlink_unbuffered_answers_total"))
    , backoffSends(counters.registerCounter("fulmarlink_backoff_sends_total"))
{
    targets.setSignals(&signals);
    for (const AttemptEnd end : {AttemptEnd::NotSent, AttemptEnd::Refused, AttemptEnd::Failed, AttemptEnd::Broken, AttemptEnd::Overdue}) {
        const std::string label = "{after=\"" + std::string(attemptEndName(end)) + "\"}";
        grantedRetries.emplace(end, counters.registerCounter("fulmarlink_retries_granted_total" + label));
    }
}

/**
 * The slack is divided by the largest number of hosts of the last window. Hosts that are missing from the list may still have granted their
 * parts in it; and they may be alive, with their records lost or late.
 */
WindowBudgetOptions GatewayState::budgetOptions()
{
    WindowBudgetOptions options;
    options.window = settings.retryWindow;
    options.ratio = settings.retryRatio;
    options.slack = settings.retrySlack;
    options.entries = mutated(Mutation::ForgetFormerHosts) ? entries : recentEntries.maximum(clock.now(), settings.retryWindow);
    options.processStart = startedAt;
    return options;
}

void GatewayState::setEntries(unsigned count)
{
    const unsigned before = std::exchange(entries, std::max(1U, count));
    recentEntries.set(entries, clock.now());
    if (entries != before) {
        logChange("retry-budget-share",
                  {{"hosts", std::to_string(entries)},
                   {"before", std::to_string(before)},
                   {"divided_by", std::to_string(recentEntries.maximum(clock.now(), settings.retryWindow))},
                   {"slack", twoDecimals(settings.retrySlack)},
                   {"window_ms", std::to_string(settings.retryWindow.count())},
                   {"process_ms", msText(clock.now() - startedAt)}});
    }
    updateBudgets();
}

void GatewayState::updateBudgets()
{
    for (auto &[name, pool] : pools) {
        pool.budget.setOptions(budgetOptions());
    }
}

PoolState &GatewayState::pool(const std::string &name)
{
    return pools.try_emplace(name, budgetOptions()).first->second;
}

PoolGate &PoolState::gate(const std::string &group)
{
    return gates[group];
}

bool GatewayState::isGroupStalled(const std::string &poolName, const std::string &group, TimePoint now)
{
    const PoolGate &gate = pool(poolName).gate(group);
    const TimePoint lastActivity = gate.lastActivity();
    if (lastActivity == TimePoint{} || targets.ownRequests(poolName, group) == 0) {
        return false;
    }
    const Duration expectedInterval = gate.meanEventInterval(now).value_or(Duration(0)) * kStallPasses;
    return now - lastActivity > std::max(kMinStallTime, expectedInterval);
}

void GatewayState::checkBodyLimit() const
{
    const std::size_t bodyLimit = config.active()->configuration.limits.maxBodyBytes;
    const std::size_t memory = requestMemory->limit(MemoryLease::Share::LargeRequests);
    if (bodyLimit > memory) {
        logWarning("body-limit-exceeds-memory", {{"max_body_bytes", std::to_string(bodyLimit)}, {"memory", std::to_string(memory)}});
    }
}

Duration GatewayState::sharedWriteInterval() const
{
    return Duration(std::chrono::seconds(1)) * entries / (kSharedWritesPerSecond - kEntryRenewalsPerSecond);
}

Duration GatewayState::maxKeyProofAge() const
{
    return settings.revokeBound - kRevokeMargin;
}

bool GatewayState::proofIsStale(TimePoint now) const
{
    return config.age(now) > kMaxReadyProofAge;
}

bool GatewayState::keyProofValid(TimePoint now) const
{
    return config.age(now) < maxKeyProofAge() || mutated(Mutation::ForgetProofAge);
}

} // namespace fulmarlink
