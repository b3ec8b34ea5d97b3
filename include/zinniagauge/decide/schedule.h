// The scheduler of one pool: tickets wait in order of tier, and grants go out
// as endpoints have room.
#ifndef ZINNIAGAUGE_DECIDE_SCHEDULE_H
#define ZINNIAGAUGE_DECIDE_SCHEDULE_H

#include "zinniagauge/board/bundle.h"
#include "zinniagauge/board/endpoint.h"
#include "zinniagauge/board/move.h"
#include "zinniagauge/board/ticket.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace zinniagauge {

/// What the scheduler reads of the board, as views of sections that a read
/// guard keeps alive for the call.
struct ScheduleView {
  const Bundle &InForce;
  const EndpointList &Endpoints;
  const MoveList &Moves;
};

/// A refused ticket.
struct Refusal {
  AttemptId Attempt;
  VmId Entry;
  RefusalReason Reason = RefusalReason::Shed;
};

/// What a step decided; the caller sends it to the entries.
struct ScheduleChanges {
  std::vector<Grant> Grants;
  std::vector<Refusal> Refusals;
};

/// A ticket in the queue.
struct QueuedTicket {
  Ticket Asked;
  Time Arrived;
  Time Deadline;
};

/// A grant that has not been returned.
struct OpenGrant {
  Grant Given;
  VmId Entry;
  Time Lapses;
};

/// The state of one pool's scheduler. Only the functions below change it.
struct Scheduler {
  ZoneId Zone;
  PoolId Pool;
  VmId Self;
  std::uint64_t Incarnation = 0;
  std::uint64_t NextGrant = 1;
  std::vector<QueuedTicket> Queue;
  std::map<AttemptId, OpenGrant> Open;
};

/// Queues \p t. A ticket whose attempt is known already is ignored, so a
/// repeated message does no harm.
void enqueue(Scheduler &s, const Ticket &t, Time now);

/// Forgets the ticket or open grant of \p id: its caller has left.
void cancel(Scheduler &s, AttemptId id);

/// Takes a grant back and learns from what the entry saw.
void giveBack(Scheduler &s, const GrantReturn &ret, Time now);

/// Takes over an open grant that another scheduler, or this one before a
/// restart, has given.
void announce(Scheduler &s, const Grant &g, VmId entry, Time now);

/// Grants and refuses what it can now. Appends to \p out.
void step(Scheduler &s, const ScheduleView &view, Time now,
          ScheduleChanges &out);

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_SCHEDULE_H
