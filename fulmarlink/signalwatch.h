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
 * Takes in what runners' answers tell this host alone: to back off, and that they are
 * leaving. Logs and counts each change. Limits, which hosts share, are LimitWatch's.
 */
class SignalWatch final : public RunnerAnswerObserver
{
public:
    explicit SignalWatch(GatewayState &state);

    /** The head of any answer that came on a connection to @p target, also one that belongs to another attempt than @p source. */
    void handleAnswer(const TargetInfo &target, const RunnerAnswer &answer, const std::string &source) override;
    /** Called often: logs what is over. */
    void expireBackoffs();
    /** Called now and then: what runners said that are gone is forgotten. */
    void removeUnlistedRunners();

private:
    void noteBackoff(const TargetInfo &target, Duration asked, const std::string &source);
    void noteLeaving(const TargetInfo &target, const std::string &source);
    void noteMalformed(const TargetIncarnation &life, const std::string &text);
    Duration spread(const TargetInfo &target);

    GatewayState &m_state;
    std::set<TargetIncarnation> m_unlisted; ///< lives that the list of runners did not have when removeUnlistedRunners() last looked
    std::set<TargetIncarnation> m_malformed; ///< lives that a line has told of
    Counters::Id m_backingOff;
    Counters::Id m_backoffs;
    Counters::Id m_malformedBackoffs;
    Counters::Id m_leaving;
};

} // namespace fulmarlink
