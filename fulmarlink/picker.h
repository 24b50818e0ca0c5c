#pragma once

#include <memory>
#include <span>
#include <string>

#include "fulmarlink/registry.h"
#include "fulmarlink/runner.h"

namespace fulmarlink
{

/** A runner that may take a request, with the data that pickers compare. */
struct Candidate {
    NodeId id = 0;
    bool localZone = false;
    std::uint32_t ownInFlight = 0; ///< requests in progress there from this host
    RunnerLoad load; ///< its age follows from reportedAt; capacity 0: never reported
    double weight = 1.0; ///< below 1 during slow start
};

struct PickContext {
    TimePoint now{};
    std::uint64_t prefixHash = 0; ///< hash of the prompt prefix; 0: the request has none
    bool preferLocalZone = true;
    unsigned attempt = 0; ///< number of earlier dispatches of this request
    bool last = false; ///< last attempt, which the agent queues: select by shortest queue instead of by free slot
};

/**
 * Selects a runner for a request. Implementations are registered by name.
 *
 * Contract: pick() receives at least one candidate and returns an index into the
 * span. A picker belongs to one directory and is called under its lock.
 */
class Picker
{
public:
    virtual ~Picker() = default;
    virtual std::size_t pick(std::span<const Candidate> candidates, const PickContext &context, Random &random) = 0;
    /** Number of load probes that the entry host should send before it picks; 0 for most pickers. */
    virtual unsigned probes() const
    {
        return 0;
    }
};

using PickerRegistry = Registry<Picker>;
using PickerRegistrar = Registrar<Picker>;

/** Load that pickers compare, in requests per slot, including queued requests; lower is better. */
double loadScore(const Candidate &candidate, TimePoint now);

} // namespace fulmarlink
