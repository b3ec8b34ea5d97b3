// What the threads of an entry tell each other.
#ifndef ZINNIAGAUGE_ADAPT_MESSAGES_H
#define ZINNIAGAUGE_ADAPT_MESSAGES_H

#include "zinniagauge/adapt/http_server.h"
#include "zinniagauge/adapt/mailbox.h"
#include "zinniagauge/board/request.h"
#include "zinniagauge/board/ticket.h"
#include "zinniagauge/decide/claim.h"
#include "zinniagauge/decide/clock_bound.h"
#include "zinniagauge/decide/issued_ticket.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace zinniagauge {

/// A request that was admitted, on its way from the front end to a worker.
struct Arrival {
  RequestId Id;
  Admission Admitted;
  HttpRequest Asked;
  HttpReply Reply;
  Time At;
  std::string IdempotencyKey;         // Empty: none.
  std::optional<IssuedTicket> Ticket; // The key, if it is an issued ticket.
};

/// A scheduler's grant, and how far its clock can have come.
struct Granted {
  Grant Given;
  ClockBound Clock;
};

/// A scheduler's refusal.
struct Refused {
  AttemptId Attempt;
  RefusalReason Reason = RefusalReason::Shed;
};

/// The scheduler that held the ticket can't be reached any more.
struct SchedulerLost {
  AttemptId Attempt;
};

/// The claim of a request's key has been decided.
struct ClaimDecided {
  RequestId Request;
  ClaimResult Result;
};

/// A caller's connection has closed.
struct CallerGone {
  std::uint64_t Connection = 0;
};

/// Finish what runs, then end the thread.
struct StopWorker {};

/// To a worker.
using WorkerMessage = std::variant<Arrival, Granted, Refused, SchedulerLost,
                                   ClaimDecided, CallerGone, StopWorker>;
using WorkerBox = Mailbox<WorkerMessage>;

/// Ask the scheduler of (zone, pool) for a grant.
struct SubmitTicket {
  Ticket Asked;
  ZoneId Zone;
};

/// Give a grant back to the scheduler that gave it.
struct ReturnGrant {
  GrantReturn Returned;
};

/// A ticket is not wanted any more.
struct DropTicket {
  AttemptId Attempt;
  PoolId Pool;
  ZoneId Zone;
};

/// One grant that is in use.
struct HeldGrant {
  Grant Held;
  PoolId Pool;
  ZoneId Zone;
};

/// Tell the schedulers which grants are in use: they keep those slots taken,
/// and one that has restarted learns of them.
struct HoldGrants {
  std::vector<HeldGrant> Held;
};

/// Time has passed.
struct SchedulerTick {};

/// End the thread.
struct StopRpc {};

/// To the RPC thread.
using RpcMessage = std::variant<SubmitTicket, ReturnGrant, DropTicket,
                                HoldGrants, SchedulerTick, StopRpc>;
using RpcBox = Mailbox<RpcMessage>;

/// Claim a key of the table for a request.
struct AskClaim {
  RequestId Request;
  ClaimKey Key;
};

/// Spend an issued ticket for a request.
struct AskTicket {
  RequestId Request;
  IssuedTicket Ticket;
};

/// A request that has asked for a claim or a ticket is over.
struct WriteOutcome {
  RequestId Request;
  Outcome Result = Outcome::Unknown;
};

/// Issue a ticket to a caller.
struct IssueTicket {
  RequestId Request;
  HttpReply Reply;
};

/// The table's answer to a transaction of claims.
struct TableAnswered {
  ClaimBatchAnswer Answer;
};

/// Write what is to be recorded, then end the thread.
struct StopClaims {};

/// To the claim thread.
using ClaimMessage = std::variant<AskClaim, AskTicket, WriteOutcome,
                                  IssueTicket, TableAnswered, StopClaims>;
using ClaimBox = Mailbox<ClaimMessage>;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_MESSAGES_H
