// The life of one request, from its admission to its outcome: events go in,
// actions come out, and nothing in between waits or sends.
#ifndef ZINNIAGAUGE_DECIDE_DISPATCH_H
#define ZINNIAGAUGE_DECIDE_DISPATCH_H

#include "zinniagauge/board/error.h"
#include "zinniagauge/board/outcome.h"
#include "zinniagauge/board/request.h"
#include "zinniagauge/board/ticket.h"
#include "zinniagauge/decide/breaker.h"
#include "zinniagauge/decide/clock_bound.h"
#include "zinniagauge/decide/retry.h"
#include "zinniagauge/decide/stream_end.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinniagauge {

/// Bounds of a request's life, alike for all requests of a process.
struct DispatchLimits {
  Duration FirstByteTimeout = std::chrono::seconds(20); // Of a stream's answer.
  Duration PlainHeadTimeout =
      std::chrono::seconds(90);                       // Head of a plain answer.
  Duration IdleTimeout = std::chrono::seconds(15);    // Between two parts.
  Duration EndGrace = std::chrono::milliseconds(200); // After the end mark.
  Backoff RetryBackoff;                               // Before a retry.
  std::uint32_t MaxRetries = 3;                       // At endpoints.
  std::uint32_t MaxResumes = 3;                       // Of one stream.
  std::size_t MaxResponseBytes = std::size_t{64} << 20U; // Of a plain answer.
};

/// What one worker thread's requests share. One thread uses it.
struct Dispatcher {
  DispatchLimits Limits;
  RetryBudget Budget;
  BreakerList Breakers;
};

/// One transfer between this process and an endpoint: an attempt, or the
/// resumption of its stream. Answers of any other transfer are dropped.
struct TransferId {
  AttemptId Attempt;
  std::uint32_t ResumeNumber = 0; // Counts from 1; zero: the attempt's first.

  auto operator<=>(const TransferId &) const = default;
};

/// What is to be done for one request, besides what admission says.
struct DispatchSpec {
  RequestId Id;
  Admission Admitted;
  bool HasKey = false;   // Has an Idempotency-Key or an issued ticket.
  bool IsEngine = false; // Can cancel, and resume a stream by offset.
  std::uint32_t SchedulerCount = 1; // How many may be asked for a grant.
  std::uint64_t RandomState = 0;    // Seeds the jitter of its retries.
};

/// The head of an endpoint's answer.
struct ResponseHead {
  int Status = 0;
  bool NotRun = false;        // It carries the header Zinnia-Not-Run: 1.
  bool IsEventStream = false; // Its content type is text/event-stream.
  std::optional<std::uint64_t> ResumeOffset; // Where a resumed stream goes on.
};

/// How an attempt to claim the caller's key ended.
enum class ClaimStatus : std::uint8_t {
  Acquired,     ///< This request may be dispatched, and no other of the key.
  HeldByOther,  ///< Another request has the key.
  Undetermined, ///< Whose it is can't be read; the request must not run.
  Rejected,     ///< The key can't be used here.
};

/// The answer to a TakeClaim.
struct ClaimResult {
  ClaimStatus Status = ClaimStatus::Undetermined;
  std::optional<Outcome>
      HolderOutcome;       // Of the other request, if it has ended.
  std::string_view Detail; // Of Refused, for the caller.
};

/// Action: send a ticket for \p Attempt to the scheduler with index
/// \p Scheduler in the order in which this VM asks them.
struct RequestGrant {
  AttemptId Attempt;
  std::uint32_t SchedulerIndex = 0;
  EndpointId Avoid;
};

/// Action: the ticket or grant of \p Attempt is no longer wanted.
struct CancelTicket {
  AttemptId Attempt;
  std::uint32_t SchedulerIndex = 0;
};

/// Action: claim the caller's key for this request.
struct AcquireClaim {
  RequestId Request;
};

/// Action: write the outcome into this request's claim, if that can be done.
struct RecordOutcome {
  RequestId Request;
  Outcome Result = Outcome::Unknown;
};

/// Action: connect, and call maySend right before the first byte leaves.
struct SendRequest {
  TransferId Transfer;
  EndpointId Endpoint;
  bool NewConnection = false; // Never over a connection that was used before.
  std::optional<std::uint64_t>
      ResumeOffset; // Resume the stream from this byte.
};

/// Action: stop the transfer, close its connection, and if \p Tell is set have
/// the engine stop its work.
struct CancelAtEndpoint {
  TransferId Transfer;
  EndpointId Endpoint;
  bool CancelWork = false;
};

/// Action: return a grant to the scheduler that gave it.
struct ReturnGrant {
  GrantReturn Return;
  VersionId Version; // That the grant was for.
};

/// Action: start a streamed answer to the caller.
struct BeginResponse {
  int Status = 0;
};

/// Action: pass a part of a streamed answer on. The view lives as long as the
/// call that made the action.
struct ForwardBody {
  std::string_view Bytes;
};

/// Action: the request is over; tell its caller. If BeginAnswer came before,
/// end the stream as whole or as broken by \p Whole; otherwise send \p Status
/// and \p Body if \p Status is set, or else \p Err.
struct FinishRequest {
  Outcome Result = Outcome::Unknown;
  bool Complete = false;
  int Status = 0;        // Of the endpoint's whole answer; zero: there is none.
  std::string_view Body; // Of a plain answer; lives as long as the Dispatch.
  EndpointId Endpoint;   // The peer of Err, if it was an endpoint.
  std::optional<Error> Err;
};

/// What the owner of a Dispatch has to do, in this order.
using DispatchAction =
    std::variant<RequestGrant, CancelTicket, AcquireClaim, RecordOutcome,
                 SendRequest, CancelAtEndpoint, ReturnGrant, BeginResponse,
                 ForwardBody, FinishRequest>;
using DispatchActions = std::vector<DispatchAction>;

/// Where a request is in its life.
enum class DispatchPhase : std::uint8_t {
  New,           ///< Not admitted yet.
  AwaitingGrant, ///< A scheduler has its ticket.
  AwaitingClaim, ///< It has a grant, and its key is being claimed.
  Connecting,    ///< No byte of the current transfer has left.
  InFlight,      ///< Bytes may have left; an answer is awaited or arrives.
  BackingOff,    ///< Waits before it asks again.
  Done,          ///< Its outcome is told. Nothing happens any more.
};

/// One request. Its owner calls the functions below, all on one thread, and
/// carries out the actions. Only these functions change it.
struct Dispatch {
  DispatchSpec Spec;
  DispatchPhase Phase = DispatchPhase::New;
  TransferId CurrentTransfer;

  // Asking.
  std::uint32_t SchedulerIndex = 0; // Index of the one that is asked.
  bool SchedulerWasUnreachable =
      false;                      // Some one of this round was out of reach.
  std::uint32_t FailedRounds = 0; // Of asking all schedulers in vain.
  EndpointId Avoid;               // Refused or failed the last attempt.
  bool ClaimAcquired = false;     // The key is surely this request's.
  bool ClaimRequested = false;    // It may be.

  // The current attempt.
  std::optional<Grant> ActiveGrant;
  ClockBound GrantClock;           // Of the clock on which the grant ends.
  bool GrantExpired = false;       // The grant ended before a byte could leave.
  std::uint32_t ExpiredGrants = 0; // How many grants have.
  std::uint32_t LastSentAttempt = 0; // The highest attempt number sent.
  EndpointId LastEndpoint;           // Of the last attempt sent.
  Time SentAt;
  std::optional<Time> FirstByteAt;
  std::optional<ResponseHead> Head;
  StreamEndScanner Mark;
  std::string Body;               // Of a plain answer, as far as it has come.
  std::uint32_t OutputTokens = 0; // The owner fills these in, if the answer
  std::uint32_t CachedTokens = 0; // tells them.

  // The whole life.
  bool MayHaveRun = false;    // Some earlier attempt may have run.
  bool GrantDeclined = false; // A grant was given back for its endpoint's sake.
  std::uint32_t AttemptsSent = 0; // Attempts of which a byte may have left,
  std::uint32_t AttemptsRefused =
      0; // and those that the endpoint refused to run.
  bool IsCallerDisconnected = false;
  bool ResponseBegun = false;       // BeginAnswer is out.
  std::uint64_t BytesForwarded = 0; // Bytes.
  std::uint32_t Retries = 0;
  Outcome Result = Outcome::Unknown; // Once Done.

  // Times by which something must have happened.
  Time BackoffEndsAt;
  Time ResponseDeadline; // The next part of an answer.
};

/// A request is admitted: asks for a grant.
void onAdmitted(Dispatch &d, Dispatcher &w, const DispatchSpec &work, Time now,
                DispatchActions &out);

/// A scheduler granted an attempt; \p cb bounds that scheduler's clock. A grant
/// that isn't wanted any more is given back.
void onGrant(Dispatch &d, Dispatcher &w, const Grant &g, const ClockBound &cb,
             Time now, DispatchActions &out);

/// A scheduler refused \p id.
void onTicketRefused(Dispatch &d, Dispatcher &w, AttemptId id,
                     RefusalReason why, Time now, DispatchActions &out);

/// The scheduler that has the ticket of \p id can't be reached any more.
void onSchedulerUnreachable(Dispatch &d, Dispatcher &w, AttemptId id, Time now,
                            DispatchActions &out);

/// The claim of the caller's key has been decided.
void onClaimDecided(Dispatch &d, Dispatcher &w, const ClaimResult &res,
                    Time now, DispatchActions &out);

/// Whether maySend would return true now.
[[nodiscard]] bool isReadyToSend(const Dispatch &d, TransferId id,
                                 Time now) noexcept;

/// The current transfer must not be sent for a reason of the owner's own: the
/// grant goes back and another is asked for. From now on maySend is false.
void refuseSend(Dispatch &d) noexcept;

/// Whether the first byte of \p id may leave now. After true, it counts as
/// sent. After false the transfer must be stopped without a byte leaving, and
/// onBroken be called.
[[nodiscard]] bool tryBeginSend(Dispatch &d, const Dispatcher &w, TransferId id,
                                Time now) noexcept;

/// The head of an answer has arrived, other than an interim one.
void onResponseHead(Dispatch &d, Dispatcher &w, TransferId id,
                    const ResponseHead &head, Time now, DispatchActions &out);

/// A part of an answer's body has arrived.
void onResponseBody(Dispatch &d, Dispatcher &w, TransferId id,
                    std::string_view part, Time now, DispatchActions &out);

/// An answer has ended. \p whole: by its stated length or the end mark of its
/// transfer encoding, and not by the close of the connection.
void onResponseEnd(Dispatch &d, Dispatcher &w, TransferId id, bool whole,
                   Time now, DispatchActions &out);

/// A transfer has failed: no connection, or one that broke.
void onTransferFailed(Dispatch &d, Dispatcher &w, TransferId id,
                      const Error &err, Time now, DispatchActions &out);

/// The caller has left.
void onCallerDisconnected(Dispatch &d, Dispatcher &w, Time now,
                          DispatchActions &out);

/// This process stops and can wait for the request no longer.
void onStop(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out);

/// Does what is due at \p now.
void onTime(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out);

/// When onTime has to be called next; the far future if never.
[[nodiscard]] Time dueAt(const Dispatch &d) noexcept;

/// What returns \p g unused, for a grant whose request is over.
[[nodiscard]] GrantReturn unusedReturn(const Grant &g) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_DISPATCH_H
