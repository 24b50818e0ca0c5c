#pragma once

#include <set>
#include <string>

#include "fulmarlink/counters.h"
#include "fulmarlink/gatewaystate.h"
#include "fulmarlink/runnerlimits.h"

namespace fulmarlink
{

struct RunnerAnswer;

/**
 * Takes in what runners' answers say of the requests a second that they take, and tells of
 * each change in a line.
 */
class LimitWatch
{
public:
    explicit LimitWatch(GatewayState &state);

    /** An answer of @p target to @p attempt, whose request was sent at @p sent. */
    void answered(const TargetInfo &target, const RunnerAnswer &answer, TimePoint sent, const std::string &attempt);

private:
    void noteChange(const TargetLife &life, LimitChange change, const NamedLimit &before);
    void noteMalformed(const TargetLife &life, const std::string &text);

    GatewayState &m_state;
    std::set<TargetLife> m_malformed; ///< lives that a line has told of
    Counters::Id m_limited;
    Counters::Id m_malformedLimits;
};

} // namespace fulmarlink
