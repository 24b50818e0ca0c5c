#pragma once

#include <memory>
#include <span>
#include <string>

#include "fulmarlink/registry.h"
#include "fulmarlink/runner.h"

namespace fulmarlink
{

/** One runner that may take a request, as a picker sees it. */
struct Candidate {
    NodeId id = 0;
    bool localZone = false;
    std::uint32_t ownInFlight = 0; ///< this entry's own requests there
    RunnerLoad load; ///< reportedAt tells its age; capacity 0 means never reported
    double weight = 1.0; ///< below 1 in slow start
};

struct PickContext {
    TimePoint now{};
    std::uint64_t prefixHash = 0; ///< 0: the request has no prompt prefix
    bool preferLocalZone = true;
    unsigned attempt = 0; ///< dispatches of this request before this one
    bool last = false; ///< the agent will queue the request: the shortest queue counts, not a free slot
};

/**
 * Chooses a runner for a request. Pickers are plug-ins by name.
 *
 * Contract: pick() is given at least one candidate and returns an index into the
 * span. A picker belongs to one shard and is called under its lock.
 */
class Picker
{
public:
    virtual ~Picker() = default;
    virtual std::size_t pick(std::span<const Candidate> candidates, const PickContext &context, Random &random) = 0;
    /** How many fresh probes the entry should send before it picks; 0 for most pickers. */
    virtual unsigned probes() const
    {
        return 0;
    }
};

using PickerRegistry = Registry<Picker>;
using PickerRegistrar = Registrar<Picker>;

/** The load a picker compares: requests per slot, queued ones counted in full. Lower is better. */
double loadScore(const Candidate &candidate, TimePoint now);

} // namespace fulmarlink
