#pragma once

#include <map>
#include <memory>
#include <vector>

#include "fulmarlink/entrycore.h"

namespace fulmarlink
{

/** The state that EntryCore keeps for a caller's request. Internal to EntryCore. */
struct EntryCore::Request {
    explicit Request(bool idempotent)
        : machine(idempotent)
    {
    }

    RequestId id = 0;
    RequestInfo info;
    Route route;
    std::shared_ptr<const Body> body;
    RequestMachine machine;
    TimePoint deadline{};
    TimePoint wakeAt{};
    TimePoint permitUntil{};
    TimePoint linkUntil{};

    bool limited = false; ///< waits for the permit of its customer's limit
    bool keyed = false; ///< needs a permit from the home of its idempotency key
    KeyHash key;
    DispatchId permitId;

    bool observer = false; ///< reads the answer of another request's dispatch
    DispatchId observed;
    DispatchId current; ///< sequence 0: none
    NodeId runner = 0; ///< 0: none chosen
    std::uint64_t runnerIncarnation = 0;
    bool linking = false; ///< waits for a link to runner
    bool counted = false; ///< the directory counts it in flight on runner
    unsigned attempts = 0;
    std::vector<NodeId> tried;
    ResultCode lastRefusal = ResultCode::EmptyPool;
    Duration retryAfter{0};

    bool headGiven = false;
    std::uint32_t nextSequence = 0;
    std::map<std::uint32_t, wire::ChunkT> held; ///< chunks received out of order, by sequence number
};

} // namespace fulmarlink
