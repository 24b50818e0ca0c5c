#pragma once

#include <map>
#include <memory>
#include <vector>

#include "fulmarlink/entrycore.h"

namespace fulmarlink
{

/** A caller's request as EntryCore keeps it. Internal to EntryCore. */
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

    bool limited = false; ///< waits for its customer's limit
    bool keyed = false; ///< needs a permit of its key's home
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
    std::map<std::uint32_t, wire::ChunkT> held; ///< came before its turn
};

} // namespace fulmarlink
