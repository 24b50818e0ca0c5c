#pragma once

#include <functional>
#include <variant>

#include "fulmarlink/nodeid.h"
#include "proto/protocol_generated.h"

namespace fulmarlink
{

/** Any message between fulmarlink's own processes; proto/protocol.fbs defines each. */
using Message = std::variant<wire::HelloT,
                             wire::DispatchT,
                             wire::RefuseT,
                             wire::AcceptT,
                             wire::ChunkT,
                             wire::AckT,
                             wire::CancelT,
                             wire::AttachT,
                             wire::ProbeT,
                             wire::ProbeReplyT,
                             wire::PermitRequestT,
                             wire::PermitReplyT,
                             wire::PermitOutcomeT,
                             wire::SlotHandoverT,
                             wire::SlotHandoverDoneT,
                             wire::DocumentVersionT,
                             wire::DocumentRequestT,
                             wire::DocumentReplyT,
                             wire::MapStageT,
                             wire::MapStagedT,
                             wire::MapArmT,
                             wire::MapArmedT,
                             wire::MapCommitT,
                             wire::MapAbortT,
                             wire::MapAskT,
                             wire::MapTellT,
                             wire::MapFormT,
                             wire::LimitAskT,
                             wire::LimitGrantT>;

/** Names one dispatch of one request: entry host, its incarnation, and a sequence number that it never reuses. */
using DispatchId = wire::DispatchId;

struct DispatchIdHash {
    std::size_t operator()(const DispatchId &id) const
    {
        return mixHash(mixHash(id.entry(), id.incarnation()), id.sequence());
    }
};

/** A message on its way to another node. */
struct Envelope {
    NodeId to = 0;
    Message message;
};

/** For std::visit with one lambda for each type. */
template<typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace fulmarlink
