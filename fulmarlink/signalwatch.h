#pragma once

#include <set>
#include <string>

#include "fulmarlink/counters.h"
#include "fulmarlink/crashrecord.h"
#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/runneranswerobserver.h"

namespace fulmarlink
{

/**
 * Handles the signals in runners' answers that concern only the host that receives them: backoff
 * requests and leaving. Logs and counts each change. LimitWatch handles rate limits, which hosts share.
 */
class SignalWatch final : public RunnerAnswerObserver
{
public:
    explicit SignalWatch(GatewayState &state);

    /** Handles the head of any answer received on a connection to @p target, even if it belongs to another attempt than @p source. */
    void handleAnswer(const TargetInfo &target, const RunnerAnswer &answer, const std::string &source) override;
    /** Logs the backoffs that have expired. Call often. */
    void expireBackoffs();
    /** Drops the state of each incarnation that two successive calls did not find on the list of runners. Call occasionally. */
    void removeUnlistedRunners();

private:
    void noteBackoff(const TargetInfo &target, Duration asked, const std::string &source);
    void noteLeaving(const TargetInfo &target, const std::string &source);
    void noteMalformed(const TargetIncarnation &incarnation, const std::string &text);
    Duration spread(const TargetInfo &target);

    GatewayState &m_state;
    std::set<TargetIncarnation> m_unlisted; ///< incarnations that the list of runners lacked at the last removeUnlistedRunners()
    std::set<TargetIncarnation> m_malformed; ///< incarnations whose malformed backoff has been logged
    Counters::Id m_backingOff;
    Counters::Id m_backoffs;
    Counters::Id m_malformedBackoffs;
    Counters::Id m_leaving;
};

} // namespace fulmarlink
