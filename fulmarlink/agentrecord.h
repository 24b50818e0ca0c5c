#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "fulmarlink/agentcore.h"

namespace fulmarlink
{

/** A dispatch as AgentCore keeps it. Internal to AgentCore. */
struct AgentCore::Record {
    std::shared_ptr<const wire::DispatchT> request; ///< null in a tombstone
    State state = State::Queued;
    TimePoint deadline{};
    TimePoint startedAt{};
    TimePoint finishedAt{};
    bool keyed = false;
    bool keep = false; ///< all chunks from the first on are still there
    bool cancelled = false;
    bool paused = false;
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::deque<Chunk> chunks;
    std::uint32_t base = 0; ///< sequence number of chunks.front()
    std::size_t bytes = 0; ///< in chunks
    std::vector<Subscriber> subscribers;

    std::uint32_t end() const
    {
        return base + static_cast<std::uint32_t>(chunks.size());
    }
};

} // namespace fulmarlink
