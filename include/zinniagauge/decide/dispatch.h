// The state machine of one request, from its admission to its outcome: events
// go in, actions come out, and no function here waits or sends.
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

/// Time-outs and limits of a request. They are the same for all requests of a
/// process.
struct DispatchLimits {
  /// Until the head of a stream.
  Duration FirstByteTimeout = std::chrono::seconds(20);
  /// Until the head of a plain response.
  Duration PlainHeadTimeout = std::chrono::seconds(90);
  /// Between two parts of a body.
  Duration IdleTimeout = std::chrono::seconds(15);
  /// From a stream's end mark to its end.
  Duration EndGrace = std::chrono::milliseconds(200);
  Backoff RetryBackoff;         // Wait before a retry.
  std::uint32_t MaxRetries = 3; // Retries at endpoints.
  std::uint32_t MaxResumes = 3; // Resumptions of one stream.
  /// For the body of a plain response.
  std::size_t MaxResponseBytes = std::size_t{64} << 20U;
};

/// State that the requests of one worker thread share. Only that thread uses
/// it.
struct Dispatcher {
  DispatchLimits Limits;
  RetryBudget Budget;
  BreakerList Breakers;
};

/// Identifies one transfer between this process and an endpoint: the first of
/// an attempt, or a resumption of its stream. Events of any transfer but the
/// current one are ignored.
struct TransferId {
  AttemptId Attempt;
  std::uint32_t ResumeNumber = 0; // Resumptions count from 1; zero: the first.

  auto operator<=>(const TransferId &) const = default;
};

/// What a request needs from its dispatch, besides the result of its admission.
struct DispatchSpec {
  RequestId Id;
  Admission Admitted;
  bool HasKey = false;   // Has an Idempotency-Key or an issued ticket.
  bool IsEngine = false; // Can cancel work, and resume a stream.
  std::uint32_t SchedulerCount = 1; // How many may be asked for a grant.
  std::uint64_t RandomState = 0;    // For the jitter of its retries.
};

/// Status and relevant headers of an endpoint's response.
struct ResponseHead {
  int Status = 0;
  bool NotRun = false;        // The header Zinnia-Not-Run: 1 is present.
  bool IsEventStream = false; // The content type is text/event-stream.
  std::optional<std::uint64_t> ResumeOffset; // First byte of a resumed stream.
};

/// Result of an attempt to claim the caller's idempotency key.
enum class ClaimStatus : std::uint8_t {
  Acquired,     ///< Only this request of the key may be dispatched.
  HeldByOther,  ///< Another request holds the key.
  Undetermined, ///< The holder can't be read; the request must not run.
  Rejected,     ///< The key can't be used here.
};

/// The result of an AcquireClaim action.
struct ClaimResult {
  ClaimStatus Status = ClaimStatus::Undetermined;
  std::optional<Outcome> HolderOutcome; // Of the holder, if it has ended.
  std::string_view Detail;              // Why it was Rejected, for the caller.
};

/// Action: send a ticket for \p Attempt to the scheduler at position
/// \p SchedulerIndex of the order in which this VM asks schedulers.
struct RequestGrant {
  AttemptId Attempt;
  std::uint32_t SchedulerIndex = 0;
  EndpointId AvoidEndpoint;
};

/// Action: tell the scheduler that the ticket or grant of \p Attempt is no
/// longer needed.
struct CancelTicket {
  AttemptId Attempt;
  std::uint32_t SchedulerIndex = 0;
};

/// Action: claim the caller's idempotency key for this request.
struct AcquireClaim {
  RequestId Request;
};

/// Action: write the outcome into this request's claim, if possible.
struct RecordOutcome {
  RequestId Request;
  Outcome Result = Outcome::Unknown;
};

/// Action: connect to the endpoint, and call tryBeginSend right before the
/// first byte is sent.
struct SendRequest {
  TransferId Transfer;
  EndpointId Endpoint;
  bool NewConnection = false; // Never reuse a connection.
  /// Resume the stream from this byte.
  std::optional<std::uint64_t> ResumeOffset;
};

/// Action: stop the transfer and close its connection. If \p CancelWork is set,
/// the engine must stop its work as well.
struct CancelAtEndpoint {
  TransferId Transfer;
  EndpointId Endpoint;
  bool CancelWork = false;
};

/// Action: return a grant to the scheduler that issued it.
struct ReturnGrant {
  GrantReturn Return;
  VersionId Version; // That the grant was issued for.
};

/// Action: start a streamed response to the caller.
struct BeginResponse {
  int Status = 0;
};

/// Action: forward a part of a streamed response to the caller. The view points
/// into the buffer that was passed to onResponseBody.
struct ForwardBody {
  std::string_view Bytes;
};

/// Action: the request has ended; complete the response to its caller. After
/// BeginResponse, end the stream normally if \p Complete is set, and as broken
/// otherwise. Without BeginResponse, send \p Status and \p Body if \p Status is
/// set, and \p Err otherwise.
struct FinishRequest {
  Outcome Result = Outcome::Unknown;
  bool Complete = false;
  int Status = 0;        // Of the endpoint's complete response; zero: none.
  std::string_view Body; // Of a plain response; points into the Dispatch.
  EndpointId Endpoint;   // The peer that Err is about, if an endpoint.
  std::optional<Error> Err;
};

/// What the owner of a Dispatch must do, in the order of the list.
using DispatchAction =
    std::variant<RequestGrant, CancelTicket, AcquireClaim, RecordOutcome,
                 SendRequest, CancelAtEndpoint, ReturnGrant, BeginResponse,
                 ForwardBody, FinishRequest>;
using DispatchActions = std::vector<DispatchAction>;

/// The phase that a request is in.
enum class DispatchPhase : std::uint8_t {
  New,           ///< Not admitted yet.
  AwaitingGrant, ///< A scheduler holds its ticket.
  AwaitingClaim, ///< It has a grant, and its key is being claimed.
  Connecting,    ///< No byte of the current transfer was sent.
  InFlight,      ///< Bytes may have been sent; the response is not complete.
  BackingOff,    ///< Waits before the next attempt or resumption.
  Done,          ///< The outcome is reported; events are ignored.
};

/// The state of one request. Its owner calls the functions below, all on one
/// thread, and carries out the actions. Only these functions change it, but for
/// the token counts, which the owner sets.
struct Dispatch {
  DispatchSpec Spec;
  DispatchPhase Phase = DispatchPhase::New;
  TransferId CurrentTransfer;

  // Asking schedulers for a grant.
  std::uint32_t SchedulerIndex = 0;     // Of the scheduler that was asked last.
  bool SchedulerWasUnreachable = false; // At least one in this round.
  std::uint32_t FailedRounds = 0;       // Rounds that ended without a grant.
  EndpointId AvoidEndpoint;    // It refused or failed the last attempt.
  bool ClaimAcquired = false;  // This request holds the key.
  bool ClaimRequested = false; // This request may hold the key.

  // The current attempt.
  std::optional<Grant> ActiveGrant;
  ClockBound GrantClock; // Bounds the clock by which the grant expires.
  /// It expired, or the owner refused to send under it.
  bool GrantExpired = false;
  /// Grants that expired before a byte was sent.
  std::uint32_t ExpiredGrants = 0;
  /// The highest attempt number that was sent.
  std::uint32_t LastSentAttempt = 0;
  EndpointId LastEndpoint; // Of the last transfer that was started.
  Time SentAt;
  std::optional<Time> FirstByteAt;
  std::optional<ResponseHead> Head;
  StreamEndScanner EndScanner;
  std::string Body;               // Of a plain response, as far as received.
  std::uint32_t OutputTokens = 0; // Set by the owner, if it is reported.
  std::uint32_t CachedTokens = 0; // Set by the owner, if it is reported.

  // The whole request.
  bool MayHaveRun = false;           // Some earlier attempt may have run.
  bool GrantDeclined = false;        // Because its endpoint failed or was slow.
  std::uint32_t AttemptsSent = 0;    // Of which a byte may have been sent.
  std::uint32_t AttemptsRefused = 0; // Sent, but the endpoint did not run them.
  bool IsCallerDisconnected = false;
  bool ResponseBegun = false;       // BeginResponse was emitted.
  std::uint64_t BytesForwarded = 0; // Counted also after the caller has left.
  std::uint32_t Retries = 0;
  Outcome Result = Outcome::Unknown; // Set in phase Done.

  // Deadlines of the current phase.
  Time BackoffEndsAt;
  Time ResponseDeadline; // For the next part of the response.
};

/// Starts an admitted request: asks for a grant.
void onAdmitted(Dispatch &d, Dispatcher &w, const DispatchSpec &spec, Time now,
                DispatchActions &out);

/// A scheduler granted an attempt; \p cb bounds that scheduler's clock. A grant
/// that is no longer needed is returned.
void onGrant(Dispatch &d, Dispatcher &w, const Grant &g, const ClockBound &cb,
             Time now, DispatchActions &out);

/// A scheduler refused the ticket of attempt \p id.
void onTicketRefused(Dispatch &d, Dispatcher &w, AttemptId id,
                     RefusalReason why, Time now, DispatchActions &out);

/// The scheduler that holds the ticket of attempt \p id has become unreachable.
void onSchedulerUnreachable(Dispatch &d, Dispatcher &w, AttemptId id, Time now,
                            DispatchActions &out);

/// The claim of the caller's key has been decided.
void onClaimDecided(Dispatch &d, Dispatcher &w, const ClaimResult &res,
                    Time now, DispatchActions &out);

/// Whether tryBeginSend would return true now.
[[nodiscard]] bool isReadyToSend(const Dispatch &d, TransferId id,
                                 Time now) noexcept;

/// Prevents the current transfer from being sent, for a reason of the owner's.
/// From now on tryBeginSend returns false; when the transfer is reported as
/// failed, its grant is returned and another is requested.
void refuseSend(Dispatch &d) noexcept;

/// Whether the first byte of \p id may be sent now. If true, the transfer
/// counts as sent. If false, the owner must stop the transfer before a byte is
/// sent, and call onTransferFailed.
[[nodiscard]] bool tryBeginSend(Dispatch &d, const Dispatcher &w, TransferId id,
                                Time now) noexcept;

/// The head of a final response, not an interim one, has arrived.
void onResponseHead(Dispatch &d, Dispatcher &w, TransferId id,
                    const ResponseHead &head, Time now, DispatchActions &out);

/// A part of a response's body has arrived.
void onResponseBody(Dispatch &d, Dispatcher &w, TransferId id,
                    std::string_view part, Time now, DispatchActions &out);

/// A response has ended. \p whole: its content length or the end of its
/// transfer encoding was reached; it did not end by the close of the
/// connection.
void onResponseEnd(Dispatch &d, Dispatcher &w, TransferId id, bool whole,
                   Time now, DispatchActions &out);

/// A transfer has failed: it could not connect, or its connection broke.
void onTransferFailed(Dispatch &d, Dispatcher &w, TransferId id,
                      const Error &err, Time now, DispatchActions &out);

/// The caller has disconnected.
void onCallerDisconnected(Dispatch &d, Dispatcher &w, Time now,
                          DispatchActions &out);

/// Ends the request, since this process is stopping and waits no longer.
void onStop(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out);

/// Handles what is due at \p now: deadlines, time-outs and ends of backoffs.
void onTime(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out);

/// When onTime must be called next; Time::max() if never.
[[nodiscard]] Time dueAt(const Dispatch &d) noexcept;

/// The return of \p g without any use of it, for a grant whose request has
/// ended.
[[nodiscard]] GrantReturn unusedReturn(const Grant &g) noexcept;

} // namespace zinniagauge

#endif // ZINNIAGAUGE_DECIDE_DISPATCH_H
