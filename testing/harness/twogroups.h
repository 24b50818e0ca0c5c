#pragma once

#include <string>

#include "fulmarlink/admission.h"
#include "fulmarlink/gatewaystate.h"
#include "platform/platformprotocol.h"
#include "testing/harness/manualclock.h"

namespace fulmarlink::testing
{

/** State of a host for one pool with two rank groups, "north" (n0, n1) and "south" (s0, s1). */
class TwoGroups
{
public:
    TwoGroups()
        : state(GatewaySettings(), clock, counters, protocol)
    {
        std::vector<TargetInfo> list;
        for (const char *id : {"n0", "n1", "s0", "s1"}) {
            TargetInfo info;
            info.id = id;
            info.pool = "p";
            info.slots = 4;
            list.push_back(info);
        }
        state.targets.setTargets(list, clock.now());
        for (const TargetInfo &info : list) {
            state.targets.setGroup(info.id, info.id.front() == 'n' ? "north" : "south");
        }
    }

    /** Records stream events of @p group at this interval; the target interval is 120 ms. */
    void recordIntervals(const std::string &group, std::chrono::milliseconds interval)
    {
        PoolGate &gate = state.pool("p").gate(group);
        for (unsigned i = 0; i < PoolGate::kMinIntervals; ++i) {
            gate.recordEventInterval(interval, std::chrono::milliseconds(120), clock.now());
        }
        gate.recordAnswer(clock.now());
    }

    /** Adds an open request at the runner @p id. */
    void addOpenRequest(const std::string &id)
    {
        state.pool("p").gate(state.targets.groupOf(id)).recordWorkStart(clock.now());
        state.targets.requestSent(id);
    }

    Admission admit(const std::set<std::string> &tried = {})
    {
        return admitToPool(state, "p", {.events = 20, .timeLeft = std::chrono::seconds(8)}, tried);
    }

    /** Admits @p count requests, which stay open, and returns how many of them went to @p group. */
    unsigned countAdmitted(const std::string &group, unsigned count)
    {
        unsigned sum = 0;
        for (unsigned i = 0; i < count; ++i) {
            const Admission admission = admit();
            if (admission.target) {
                state.targets.requestSent(admission.target->id);
                sum += admission.group == group ? 1 : 0;
            }
        }
        return sum;
    }

    ManualClock clock;
    Counters counters;
    PlatformProtocol protocol;
    GatewayState state;
};

} // namespace fulmarlink::testing
