#pragma once

#include <string>

#include "fulmarlink/admission.h"
#include "fulmarlink/gatewaystate.h"
#include "platform/platformprotocol.h"
#include "testing/harness/manualclock.h"

namespace fulmarlink::testing
{

/** What a host knows of a pool with two rank groups, "north" (n0, n1) and "south" (s0, s1). */
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

    /** The streams of a group show such pauses; 120 ms are on time. */
    void recordIntervals(const std::string &group, std::chrono::milliseconds interval)
    {
        PoolGate &gate = state.pool("p").gate(group);
        for (unsigned i = 0; i < PoolGate::kMinIntervals; ++i) {
            gate.recordEventInterval(interval, std::chrono::milliseconds(120), clock.now());
        }
        gate.recordAnswer(clock.now());
    }

    /** A request is open at the runner. */
    void addOpenRequest(const std::string &id)
    {
        state.pool("p").gate(state.targets.groupOf(id)).recordWorkStart(clock.now());
        state.targets.requestSent(id);
    }

    Admission admit(const std::set<std::string> &tried = {})
    {
        return admitToPool(state, "p", {.events = 20, .timeLeft = std::chrono::seconds(8)}, tried);
    }

    /** Requests of @p count that go to @p group; each stays open. */
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
