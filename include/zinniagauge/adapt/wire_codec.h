// Converts the board's structs to Cap'n Proto messages and back.
#ifndef ZINNIAGAUGE_ADAPT_WIRE_CODEC_H
#define ZINNIAGAUGE_ADAPT_WIRE_CODEC_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/endpoint.h"
#include "zinniagauge/board/member.h"
#include "zinniagauge/board/move.h"
#include "zinniagauge/board/ticket.h"

#include "zinnia.capnp.h"

#include <span>

namespace zinniagauge {

void write(wire::AttemptId::Builder to, const AttemptId &from);
[[nodiscard]] AttemptId read(wire::AttemptId::Reader from);

void write(wire::Ticket::Builder to, const Ticket &from, ZoneId zone);
[[nodiscard]] Ticket read(wire::Ticket::Reader from);

void write(wire::Grant::Builder to, const Grant &from);
[[nodiscard]] Grant read(wire::Grant::Reader from);

void write(wire::GrantReturn::Builder to, const GrantReturn &from);
[[nodiscard]] GrantReturn read(wire::GrantReturn::Reader from);

void write(capnp::List<wire::Member>::Builder to, std::span<const Member> from);
[[nodiscard]] MemberList read(capnp::List<wire::Member>::Reader from);

/// Load reports are encoded with their age instead of a point in time. \p now
/// is the monotonic time of this VM.
void write(capnp::List<wire::EndpointState>::Builder to,
           std::span<const EndpointState> from, Time now);
[[nodiscard]] EndpointList read(capnp::List<wire::EndpointState>::Reader from,
                                Time now);

void write(capnp::List<wire::MoveState>::Builder to,
           std::span<const MoveState> from);
[[nodiscard]] MoveList read(capnp::List<wire::MoveState>::Reader from);

void write(capnp::List<wire::EvidenceRow>::Builder to,
           std::span<const VersionStats> from);
[[nodiscard]] VersionStatsList
read(capnp::List<wire::EvidenceRow>::Reader from);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_WIRE_CODEC_H
