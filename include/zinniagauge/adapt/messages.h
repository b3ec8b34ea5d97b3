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
struct AdmittedRequest {
  RequestId Id;
  Admission Admitted;
  HttpRequest Request;
  HttpResponder Reply;
  Time ArrivedAt;
  std::string IdempotencyKey;         // Empty: none.
  std::optional<IssuedTicket> Ticket; // The key, if it is an issued ticket.
};

/// A scheduler's grant, and how far its clock can have come.
struct Granted {
  Grant IssuedGrant;
  ClockBound Clock;
};

/// A scheduler's refusal.
struct Refused {
  AttemptId Attempt;
  RefusalReason Reason = RefusalReason::Shed;
};

/// The scheduler that held the ticket can't be reached any more.
struct SchedulerUnreachable {
  AttemptId Attempt;
};

/// The claim of a request's key has been decided.
struct ClaimDecided {
  RequestId Request;
  ClaimResult Result;
};

/// A caller's connection has closed.
struct CallerDisconnected {
  std::uint64_t Connection = 0;
};

/// Finish what runs, then end the thread.
struct StopWorker {};

/// To a worker.
using WorkerMessage =
    std::variant<AdmittedRequest, Granted, Refused, SchedulerUnreachable,
                 ClaimDecided, CallerDisconnected, StopWorker>;
using WorkerMailbox = Mailbox<WorkerMessage>;

/// Ask the scheduler of (zone, pool) for a grant.
struct SubmitTicket {
  Ticket NewTicket;
  ZoneId Zone;
};

/// Give a grant back to the scheduler that gave it.
struct SubmitGrantReturn {
  GrantReturn Return;
};

/// A ticket is not wanted any more.
struct WithdrawTicket {
  AttemptId Attempt;
  PoolId Pool;
  ZoneId Zone;
};

/// One grant that is in use.
struct GrantInUse {
  Grant UsedGrant;
  PoolId Pool;
  ZoneId Zone;
};

/// Tell the schedulers which grants are in use: they keep those slots taken,
/// and one that has restarted learns of them.
struct AnnounceGrants {
  std::vector<GrantInUse> Grants;
};

/// Time has passed.
struct SchedulerTick {};

/// End the thread.
struct StopRpcThread {};

/// To the RPC thread.
using RpcMessage = std::variant<SubmitTicket, SubmitGrantReturn, WithdrawTicket,
                                AnnounceGrants, SchedulerTick, StopRpcThread>;
using RpcMailbox = Mailbox<RpcMessage>;

/// Claim a key of the table for a request.
struct RequestClaim {
  RequestId Request;
  ClaimKey Key;
};

/// Spend an issued ticket for a request.
struct RedeemTicket {
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
  HttpResponder Reply;
};

/// The table's answer to a transaction of claims.
struct ClaimBatchCompleted {
  ClaimBatchResult Result;
};

/// Write what is to be recorded, then end the thread.
struct StopClaimThread {};

/// To the claim thread.
using ClaimMessage =
    std::variant<RequestClaim, RedeemTicket, WriteOutcome, IssueTicket,
                 ClaimBatchCompleted, StopClaimThread>;
using ClaimMailbox = Mailbox<ClaimMessage>;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_ADAPT_MESSAGES_H
