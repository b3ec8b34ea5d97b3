// Messages between the threads of an entry.
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

/// An admitted request, passed from the front end to a worker.
struct AdmittedRequest {
  RequestId Id;
  Admission Admitted;
  HttpRequest Request;
  HttpResponder Responder;
  Time ArrivedAt;
  std::string IdempotencyKey;         // Empty if there is none.
  std::optional<IssuedTicket> Ticket; // Set if the key is an issued ticket.
};

/// A grant, and the bound on the clock of the scheduler that issued it.
struct Granted {
  Grant IssuedGrant;
  ClockBound Clock;
};

/// A scheduler refused a ticket.
struct Refused {
  AttemptId Attempt;
  RefusalReason Reason = RefusalReason::Shed;
};

/// The call to the scheduler that got the ticket failed.
struct SchedulerUnreachable {
  AttemptId Attempt;
};

/// The claim on a request's idempotency key, or its issued ticket, has been
/// decided.
struct ClaimDecided {
  RequestId Request;
  ClaimResult Result;
};

/// The caller has closed its connection.
struct CallerDisconnected {
  std::uint64_t Connection = 0;
};

/// Finish the requests in progress, then end the thread.
struct StopWorker {};

/// Any message to a worker.
using WorkerMessage =
    std::variant<AdmittedRequest, Granted, Refused, SchedulerUnreachable,
                 ClaimDecided, CallerDisconnected, StopWorker>;
using WorkerMailbox = Mailbox<WorkerMessage>;

/// Submit a ticket to the scheduler of its zone and pool.
struct SubmitTicket {
  Ticket NewTicket;
  ZoneId Zone;
};

/// Return a grant to the scheduler that issued it.
struct SubmitGrantReturn {
  GrantReturn Return;
};

/// Cancel a ticket that is no longer needed.
struct WithdrawTicket {
  AttemptId Attempt;
  PoolId Pool;
  ZoneId Zone;
};

/// One grant that is in use, with the pool and zone of its scheduler.
struct GrantInUse {
  Grant UsedGrant;
  PoolId Pool;
  ZoneId Zone;
};

/// Announce grants in use to their schedulers. The schedulers keep those slots
/// occupied; a scheduler that has restarted learns of them this way.
struct AnnounceGrants {
  std::vector<GrantInUse> Grants;
};

/// Step the schedulers, since time has passed.
struct SchedulerTick {};

/// End the thread.
struct StopRpcThread {};

/// Any message to the RPC thread.
using RpcMessage = std::variant<SubmitTicket, SubmitGrantReturn, WithdrawTicket,
                                AnnounceGrants, SchedulerTick, StopRpcThread>;
using RpcMailbox = Mailbox<RpcMessage>;

/// Acquire the claim on a key in the table for a request.
struct RequestClaim {
  RequestId Request;
  ClaimKey Key;
};

/// Redeem an issued ticket for a request.
struct RedeemTicket {
  RequestId Request;
  IssuedTicket Ticket;
};

/// Record the outcome of a finished request that had requested a claim or
/// redeemed a ticket.
struct WriteOutcome {
  RequestId Request;
  Outcome Result = Outcome::Unknown;
};

/// Issue a ticket to a caller.
struct IssueTicket {
  RequestId Request;
  HttpResponder Responder;
};

/// The table's result for a transaction with a batch of claims.
struct ClaimBatchCompleted {
  ClaimBatchResult Result;
};

/// Write the outcomes that are still queued, then end the thread.
struct StopClaimThread {};

/// Any message to the claim thread.
using ClaimMessage =
    std::variant<RequestClaim, RedeemTicket, WriteOutcome, IssueTicket,
                 ClaimBatchCompleted, StopClaimThread>;
using ClaimMailbox = Mailbox<ClaimMessage>;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_MESSAGES_H
