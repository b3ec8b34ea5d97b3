#include "zinniagauge/decide/dispatch.h"

#include "zinniagauge/board/invariant.h"

#include <algorithm>
#include <utility>

namespace zinniagauge {

namespace {

/// How an attempt under a grant ended.
enum class AttemptEnd : std::uint8_t {
  Unsent,        ///< No byte was sent.
  ConnectFailed, ///< No byte was sent: the endpoint is unreachable.
  Refused,       ///< The endpoint refused before running it.
  Broken,        ///< It may have run; the response is incomplete.
  Cancelled,     ///< It may have run; this process cancelled it.
  Completed,     ///< The response is complete.
};

bool needsClaim(const Dispatch &d) noexcept {
  return d.Spec.HasKey && !d.Spec.Admitted.Idempotent && !d.ClaimAcquired;
}

/// Whether \p id is the transfer in progress; events of any other are ignored.
bool isCurrent(const Dispatch &d, TransferId id) noexcept {
  return id == d.CurrentTransfer && (d.Phase == DispatchPhase::Connecting ||
                                     d.Phase == DispatchPhase::InFlight);
}

/// Whether a byte of the current attempt may have been sent.
bool isSent(const Dispatch &d) noexcept {
  return d.Phase == DispatchPhase::InFlight ||
         d.CurrentTransfer.ResumeNumber > 0;
}

bool isStream(const Dispatch &d) noexcept {
  constexpr int Ok = 200;
  return d.Head && d.Head->IsEventStream && d.Head->Status == Ok;
}

/// Whether the status leaves open if the endpoint ran the request: overload,
/// and what a gateway returns when it lost the server.
bool isAmbiguousStatus(int status) noexcept {
  constexpr int TimedOut = 408;
  constexpr int TooManyRequests = 429;
  constexpr int BadGateway = 502;
  constexpr int GatewayTimeout = 504;
  return status == TimedOut || status == TooManyRequests ||
         (status >= BadGateway && status <= GatewayTimeout);
}

Outcome outcomeOf(int status) noexcept {
  constexpr int FirstError = 400;
  if (isAmbiguousStatus(status))
    return Outcome::Unknown;
  return status < FirstError ? Outcome::Completed : Outcome::Failed;
}

bool isRefusal(const ResponseHead &head) noexcept {
  constexpr int TooManyRequests = 429;
  constexpr int Unavailable = 503;
  return head.NotRun &&
         (head.Status == TooManyRequests || head.Status == Unavailable);
}

bool isEndpointFailure(const Dispatch &d, AttemptEnd end) noexcept {
  constexpr int FirstServerError = 500;
  if (end == AttemptEnd::Completed)
    return d.Head->Status >= FirstServerError;
  return end == AttemptEnd::Broken || end == AttemptEnd::ConnectFailed;
}

GrantReturn grantReturnOf(const Dispatch &d, AttemptEnd end, Time now) {
  GrantReturn ret = unusedReturn(*d.ActiveGrant);
  ret.EndpointFailed = isEndpointFailure(d, end);
  ret.RefusedByEndpoint = end == AttemptEnd::Refused;
  ret.Cancelled = end == AttemptEnd::Cancelled;
  ret.Dispatched =
      end != AttemptEnd::Unsent && end != AttemptEnd::ConnectFailed;
  if (!ret.Dispatched)
    return ret;
  ret.PromptTokens = d.Spec.Admitted.PromptTokens;
  ret.OutputTokens = d.OutputTokens;
  ret.CachedTokens = d.CachedTokens;
  ret.FirstTokenTime = d.FirstByteAt.value_or(now) - d.SentAt;
  ret.TotalTime = now - d.SentAt;
  return ret;
}

/// Records the result of the attempt at the endpoint's circuit breaker. Times
/// are recorded per unit of work, since request sizes differ by a factor of a
/// hundred.
void recordAtBreaker(const Dispatch &d, Dispatcher &w, const GrantReturn &ret,
                     AttemptEnd end, Time now) {
  constexpr std::uint32_t FixedUnits = 64;
  if (end == AttemptEnd::Unsent || end == AttemptEnd::Cancelled)
    return cancelProbe(w.Breakers, ret.Endpoint);
  const Admission &adm = d.Spec.Admitted;
  const bool by_first_token = isStream(d);
  const std::int64_t units =
      FixedUnits + adm.PromptTokens + (by_first_token ? 0 : adm.OutputTokens);
  EndpointUse use{
      ret.Endpoint, ret.EndpointFailed || ret.RefusedByEndpoint, {}};
  if (end == AttemptEnd::Completed)
    use.TimePerUnit =
        (by_first_token ? ret.FirstTokenTime : ret.TotalTime) / units;
  recordUse(w.Breakers, use, now);
}

/// Returns the grant, if one is held, and records whether the attempt may have
/// run.
void endAttempt(Dispatch &d, Dispatcher &w, AttemptEnd end, Time now,
                DispatchActions &out) {
  if (!d.ActiveGrant)
    return;
  const GrantReturn ret = grantReturnOf(d, end, now);
  recordAtBreaker(d, w, ret, end, now);
  out.emplace_back(ReturnGrant{ret, d.ActiveGrant->Version});
  d.AttemptsRefused += end == AttemptEnd::Refused ? 1 : 0;
  if (ret.EndpointFailed || ret.RefusedByEndpoint)
    d.AvoidEndpoint = ret.Endpoint;
  d.MayHaveRun |= end == AttemptEnd::Broken || end == AttemptEnd::Completed ||
                  end == AttemptEnd::Cancelled;
  d.ActiveGrant.reset();
}

/// Ends the request. Its attempt must have ended before.
void finish(Dispatch &d, FinishRequest fin, DispatchActions &out) {
  const bool consistent =
      fin.Result != Outcome::NotRun || d.AttemptsSent == d.AttemptsRefused;
  if (!check(Invariant::NotRunIsTrue, consistent))
    fin.Result = Outcome::Unknown;
  if (d.ClaimRequested)
    out.emplace_back(RecordOutcome{d.Spec.Id, fin.Result});
  d.Phase = DispatchPhase::Done;
  d.Result = fin.Result;
  out.emplace_back(std::move(fin));
}

bool isAtEndpoint(Step at) noexcept {
  return at == Step::Connect || at == Step::Dispatch ||
         at == Step::ReadResponse;
}

/// Ends a request that got no complete response.
void finishWithError(Dispatch &d, Error err, DispatchActions &out) {
  FinishRequest fin;
  fin.Result = d.MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  if (isAtEndpoint(err.FailedStep))
    fin.Endpoint = d.LastEndpoint;
  fin.Err = std::move(err);
  finish(d, std::move(fin), out);
}

/// Asks a scheduler for a grant under a new attempt number, so that late events
/// of earlier attempts are recognised.
void requestGrant(Dispatch &d, DispatchActions &out) {
  ++d.CurrentTransfer.Attempt.Number;
  d.CurrentTransfer.ResumeNumber = 0;
  d.Phase = DispatchPhase::AwaitingGrant;
  out.emplace_back(RequestGrant{d.CurrentTransfer.Attempt, d.SchedulerIndex,
                                d.AvoidEndpoint});
}

void startBackoff(Dispatch &d, const Dispatcher &w, std::uint32_t n, Time now) {
  d.Phase = DispatchPhase::BackingOff;
  d.BackoffEndsAt = now + backoffWait(w.Limits.RetryBackoff, n,
                                      nextRandom(d.Spec.RandomState));
}

/// Returns an expired grant and requests another: at once after the first
/// expiry, and after a backoff from then on.
void replaceExpiredGrant(Dispatch &d, Dispatcher &w, Time now,
                         DispatchActions &out) {
  endAttempt(d, w, AttemptEnd::Unsent, now, out);
  d.GrantExpired = false;
  if (++d.ExpiredGrants == 1)
    requestGrant(d, out);
  else
    startBackoff(d, w, d.ExpiredGrants, now);
}

/// Returns a grant because its endpoint fails or is slow. This happens only
/// once for a request: if all endpoints fail or are slow, it is tried
/// nevertheless.
void declineGrant(Dispatch &d, DispatchActions &out) {
  d.GrantDeclined = true;
  d.AvoidEndpoint = d.ActiveGrant->Endpoint;
  out.emplace_back(
      ReturnGrant{unusedReturn(*d.ActiveGrant), d.ActiveGrant->Version});
  d.ActiveGrant.reset();
  requestGrant(d, out);
}

void startTransfer(Dispatch &d, const Dispatcher &w, Time now,
                   DispatchActions &out) {
  d.Phase = DispatchPhase::Connecting;
  d.ResponseDeadline =
      now + (d.Spec.Admitted.Stream ? w.Limits.FirstByteTimeout
                                    : w.Limits.PlainHeadTimeout);
  d.LastEndpoint = d.ActiveGrant->Endpoint;
  d.Head.reset();
  SendRequest req{d.CurrentTransfer, d.ActiveGrant->Endpoint, false, {}};
  req.NewConnection = !d.Spec.Admitted.Idempotent || d.Retries > 0;
  if (d.CurrentTransfer.ResumeNumber > 0) {
    req.NewConnection = true;
    req.ResumeOffset = d.BytesForwarded;
  } else {
    d.Body.clear();
    d.EndScanner = {};
    d.FirstByteAt.reset();
  }
  out.emplace_back(req);
}

/// Sends under the active grant, or requests another if it has expired.
void startTransferIfValid(Dispatch &d, Dispatcher &w, Time now,
                          DispatchActions &out) {
  if (mayUse(d.GrantClock, *d.ActiveGrant, now))
    startTransfer(d, w, now, out);
  else
    replaceExpiredGrant(d, w, now, out);
}

/// Starts a retry after a backoff, if the budget and the deadline allow one.
bool retry(Dispatch &d, Dispatcher &w, Time now) {
  if (d.IsCallerDisconnected || d.Retries >= w.Limits.MaxRetries)
    return false;
  if (now >= d.Spec.Admitted.Deadline || !spendRetry(w.Budget))
    return false;
  ++d.Retries;
  d.SchedulerIndex = 0;
  d.SchedulerWasUnreachable = false;
  startBackoff(d, w, d.Retries, now);
  return true;
}

bool mayResume(const Dispatch &d, const Dispatcher &w) noexcept {
  return d.ResponseBegun && !d.IsCallerDisconnected && d.Spec.IsEngine &&
         d.Spec.Admitted.Idempotent &&
         d.CurrentTransfer.ResumeNumber < w.Limits.MaxResumes;
}

/// Ends a request whose response is complete; an idempotent one is retried if
/// its status leaves open whether it ran.
void complete(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out) {
  endAttempt(d, w, AttemptEnd::Completed, now, out);
  const int status = d.Head->Status;
  if (d.Spec.Admitted.Idempotent && isAmbiguousStatus(status) &&
      retry(d, w, now))
    return;
  FinishRequest fin;
  fin.Result = outcomeOf(status);
  fin.Complete = true;
  fin.Status = status;
  fin.Body = d.Body;
  if (fin.Result == Outcome::Completed)
    earnRetry(w.Budget);
  finish(d, std::move(fin), out);
}

/// Handles a transfer that failed before a byte was sent.
void onConnectFailed(Dispatch &d, Dispatcher &w, const Error &err, Time now,
                     DispatchActions &out) {
  if (d.GrantExpired)
    return replaceExpiredGrant(d, w, now, out);
  endAttempt(d, w, AttemptEnd::ConnectFailed, now, out);
  if (!retry(d, w, now))
    finishWithError(d, err, out);
}

/// Handles a response that broke off or never came: a stream whose end mark has
/// arrived is complete, and others are resumed or retried if allowed.
void onResponseFailed(Dispatch &d, Dispatcher &w, const Error &err, Time now,
                      DispatchActions &out) {
  if (isStream(d) && d.EndScanner.Complete)
    return complete(d, w, now, out);
  if (mayResume(d, w)) {
    ++d.CurrentTransfer.ResumeNumber;
    return startBackoff(d, w, d.CurrentTransfer.ResumeNumber, now);
  }
  endAttempt(d, w, AttemptEnd::Broken, now, out);
  if (d.ResponseBegun || !d.Spec.Admitted.Idempotent || !retry(d, w, now))
    finishWithError(d, err, out);
}

void onCurrentFailed(Dispatch &d, Dispatcher &w, const Error &err, Time now,
                     DispatchActions &out) {
  if (isSent(d))
    onResponseFailed(d, w, err, now, out);
  else
    onConnectFailed(d, w, err, now, out);
}

/// Stops the current transfer, so that nothing more is sent or received.
void stopTransfer(Dispatch &d, bool cancel_work, DispatchActions &out) {
  out.emplace_back(
      CancelAtEndpoint{d.CurrentTransfer, d.ActiveGrant->Endpoint,
                       cancel_work && d.Spec.IsEngine && isSent(d)});
}

/// Ends the request in any phase; an attempt that was sent ends as \p end.
void abandon(Dispatch &d, Dispatcher &w, AttemptEnd end, Error err, Time now,
             DispatchActions &out) {
  if (d.Phase == DispatchPhase::AwaitingGrant)
    out.emplace_back(CancelTicket{d.CurrentTransfer.Attempt, d.SchedulerIndex});
  const bool sent = d.ActiveGrant && isSent(d);
  if (d.Phase == DispatchPhase::Connecting ||
      d.Phase == DispatchPhase::InFlight || sent)
    stopTransfer(d, true, out);
  endAttempt(d, w, sent ? end : AttemptEnd::Unsent, now, out);
  finishWithError(d, std::move(err), out);
}

Step stepOf(const Dispatch &d) noexcept {
  switch (d.Phase) {
  case DispatchPhase::AwaitingClaim:
    return Step::Claim;
  case DispatchPhase::Connecting:
    return Step::Connect;
  case DispatchPhase::InFlight:
    return Step::ReadResponse;
  default:
    return Step::Admit;
  }
}

Error refusalError(RefusalReason why) {
  switch (why) {
  case RefusalReason::Shed:
    return {ErrorCode::Overloaded, Step::Admit, {}, "shed under overload"};
  case RefusalReason::TooLate:
    return {ErrorCode::TimedOut, Step::Admit, {}, "the deadline can't be met"};
  case RefusalReason::NoEndpoint:
    return {ErrorCode::Unavailable, Step::Admit, {}, "no endpoint may be used"};
  case RefusalReason::Stopping:
    break;
  }
  return {ErrorCode::Unavailable, Step::Admit, {}, "no scheduler in reach"};
}

/// Asks the next scheduler. When all have been asked, the request ends, unless
/// one was unreachable: then it asks all again after a backoff, since another
/// VM takes over that role soon.
void tryNextScheduler(Dispatch &d, const Dispatcher &w, RefusalReason why,
                      Time now, DispatchActions &out) {
  if (++d.SchedulerIndex < d.Spec.SchedulerCount)
    return requestGrant(d, out);
  d.SchedulerIndex = 0;
  if (!std::exchange(d.SchedulerWasUnreachable, false))
    return finishWithError(d, refusalError(why), out);
  startBackoff(d, w, ++d.FailedRounds, now);
}

/// Handles the head of a resumed stream, which must continue at the byte where
/// the last transfer broke off.
void onResumedHead(Dispatch &d, Dispatcher &w, const ResponseHead &head,
                   Time now, DispatchActions &out) {
  constexpr int Ok = 200;
  constexpr int PartialContent = 206;
  const bool ok = head.Status == Ok || head.Status == PartialContent;
  if (ok && head.IsEventStream && head.ResumeOffset == d.BytesForwarded) {
    d.Head = head;
    d.Head->Status = Ok;
    return;
  }
  abandon(
      d, w, AttemptEnd::Broken,
      {ErrorCode::Broken, Step::ReadResponse, {}, "the stream was not resumed"},
      now, out);
}

void onRefusedByEndpoint(Dispatch &d, Dispatcher &w, Time now,
                         DispatchActions &out) {
  stopTransfer(d, false, out);
  endAttempt(d, w, AttemptEnd::Refused, now, out);
  if (!retry(d, w, now))
    finishWithError(d,
                    {ErrorCode::Overloaded,
                     Step::Dispatch,
                     {},
                     "the endpoint refused before running it"},
                    out);
}

void bufferPlainBody(Dispatch &d, Dispatcher &w, std::string_view part,
                     Time now, DispatchActions &out) {
  if (d.Body.size() + part.size() <= w.Limits.MaxResponseBytes) {
    d.Body.append(part);
    return;
  }
  abandon(
      d, w, AttemptEnd::Cancelled,
      {ErrorCode::TooLarge, Step::ReadResponse, {}, "the answer is too large"},
      now, out);
}

void forwardStreamBody(Dispatch &d, const Dispatcher &w, std::string_view part,
                       Time now, DispatchActions &out) {
  if (!std::exchange(d.ResponseBegun, true) && !d.IsCallerDisconnected)
    out.emplace_back(BeginResponse{d.Head->Status});
  if (!d.IsCallerDisconnected)
    out.emplace_back(ForwardBody{part});
  d.BytesForwarded += part.size();
  scanForStreamEnd(d.EndScanner, part);
  if (d.EndScanner.Complete)
    d.ResponseDeadline = std::min(d.ResponseDeadline, now + w.Limits.EndGrace);
}

void onDeadline(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out) {
  Error err{ErrorCode::TimedOut, stepOf(d), {}, "the deadline has passed"};
  // Exceeding the deadline counts as a failure of the endpoint, like a broken
  // connection.
  abandon(d, w, AttemptEnd::Broken, std::move(err), now, out);
}

void onResponseTimeout(Dispatch &d, Dispatcher &w, Time now,
                       DispatchActions &out) {
  const Error err{
      ErrorCode::TimedOut, stepOf(d), {}, "the connection went silent"};
  stopTransfer(d, true, out);
  onCurrentFailed(d, w, err, now, out);
}

void endBackoff(Dispatch &d, const Dispatcher &w, Time now,
                DispatchActions &out) {
  if (d.ActiveGrant)
    startTransfer(d, w, now, out);
  else
    requestGrant(d, out);
}

} // namespace

void onAdmitted(Dispatch &d, Dispatcher & /*w*/, const DispatchSpec &spec,
                Time /*now*/, DispatchActions &out) {
  if (d.Phase != DispatchPhase::New)
    return;
  d.Spec = spec;
  d.CurrentTransfer.Attempt.Request = spec.Id;
  requestGrant(d, out);
}

void onGrant(Dispatch &d, Dispatcher &w, const Grant &g, const ClockBound &cb,
             Time now, DispatchActions &out) {
  if (d.ActiveGrant && d.ActiveGrant->Id == g.Id)
    return;
  if (d.Phase != DispatchPhase::AwaitingGrant ||
      g.Attempt != d.CurrentTransfer.Attempt) {
    out.emplace_back(ReturnGrant{unusedReturn(g), g.Version});
    return;
  }
  d.ActiveGrant = g;
  d.GrantClock = cb;
  if (!mayUse(cb, g, now))
    return replaceExpiredGrant(d, w, now, out);
  if (!d.GrantDeclined && !mayTry(w.Breakers, g.Endpoint, now))
    return declineGrant(d, out);
  if (!needsClaim(d))
    return startTransfer(d, w, now, out);
  d.Phase = DispatchPhase::AwaitingClaim;
  d.ClaimRequested = true;
  out.emplace_back(AcquireClaim{d.Spec.Id});
}

void onTicketRefused(Dispatch &d, Dispatcher &w, AttemptId id,
                     RefusalReason why, Time now, DispatchActions &out) {
  if (d.Phase != DispatchPhase::AwaitingGrant ||
      id != d.CurrentTransfer.Attempt)
    return;
  d.SchedulerWasUnreachable |= why == RefusalReason::Stopping;
  tryNextScheduler(d, w, why, now, out);
}

void onSchedulerUnreachable(Dispatch &d, Dispatcher &w, AttemptId id, Time now,
                            DispatchActions &out) {
  onTicketRefused(d, w, id, RefusalReason::Stopping, now, out);
}

void onClaimDecided(Dispatch &d, Dispatcher &w, const ClaimResult &res,
                    Time now, DispatchActions &out) {
  if (d.Phase != DispatchPhase::AwaitingClaim)
    return;
  if (res.Status == ClaimStatus::Acquired) {
    d.ClaimAcquired = true;
    return startTransferIfValid(d, w, now, out);
  }
  endAttempt(d, w, AttemptEnd::Unsent, now, out);
  FinishRequest fin;
  if (res.Status == ClaimStatus::Undetermined) {
    // This call did not run, so its row may be freed. Its outcome is unknown
    // nevertheless: an earlier call with the key may have run, and a caller
    // that gets not_run may use a new key.
    out.emplace_back(RecordOutcome{d.Spec.Id, Outcome::NotRun});
    d.ClaimRequested = false;
    fin.Result = Outcome::Unknown;
    fin.Err = Error{ErrorCode::Unavailable,
                    Step::Claim,
                    {},
                    "the key can't be claimed now; this call did not run, an "
                    "earlier one may have: repeat it with the same key"};
    return finish(d, std::move(fin), out);
  }
  d.ClaimRequested = false;
  const bool other = res.Status == ClaimStatus::HeldByOther;
  fin.Result =
      res.HolderOutcome.value_or(other ? Outcome::Unknown : Outcome::NotRun);
  fin.Err = Error{ErrorCode::Conflict, Step::Claim, {}, {}};
  fin.Err->Detail =
      other ? "another request has this key" : std::string(res.Detail);
  finish(d, std::move(fin), out);
}

bool isReadyToSend(const Dispatch &d, TransferId id, Time now) noexcept {
  if (d.Phase != DispatchPhase::Connecting || id != d.CurrentTransfer ||
      d.GrantExpired)
    return false;
  return id.ResumeNumber > 0 || mayUse(d.GrantClock, *d.ActiveGrant, now);
}

void refuseSend(Dispatch &d) noexcept {
  d.GrantExpired = d.Phase == DispatchPhase::Connecting &&
                   d.CurrentTransfer.ResumeNumber == 0;
}

bool tryBeginSend(Dispatch &d, const Dispatcher &w, TransferId id,
                  Time now) noexcept {
  if (!isReadyToSend(d, id, now)) {
    if (id == d.CurrentTransfer)
      refuseSend(d);
    return false;
  }
  const bool first = id.ResumeNumber == 0;
  if (first && !check(Invariant::OneDispatchPerAttempt,
                      id.Attempt.Number > d.LastSentAttempt))
    return false;
  if (first &&
      !check(Invariant::GrantInTime, mayUse(d.GrantClock, *d.ActiveGrant, now)))
    return false;
  d.Phase = DispatchPhase::InFlight;
  d.LastSentAttempt = id.Attempt.Number;
  if (first) {
    ++d.AttemptsSent;
    d.SentAt = now;
  }
  d.ResponseDeadline =
      now + (d.Spec.Admitted.Stream ? w.Limits.FirstByteTimeout
                                    : w.Limits.PlainHeadTimeout);
  return true;
}

void onResponseHead(Dispatch &d, Dispatcher &w, TransferId id,
                    const ResponseHead &head, Time now, DispatchActions &out) {
  if (id != d.CurrentTransfer || d.Phase != DispatchPhase::InFlight || d.Head)
    return;
  if (!d.FirstByteAt)
    d.FirstByteAt = now;
  d.ResponseDeadline = now + w.Limits.IdleTimeout;
  if (id.ResumeNumber > 0)
    return onResumedHead(d, w, head, now, out);
  if (isRefusal(head))
    return onRefusedByEndpoint(d, w, now, out);
  d.Head = head;
}

void onResponseBody(Dispatch &d, Dispatcher &w, TransferId id,
                    std::string_view part, Time now, DispatchActions &out) {
  if (id != d.CurrentTransfer || d.Phase != DispatchPhase::InFlight ||
      !d.Head || part.empty())
    return;
  d.ResponseDeadline = now + w.Limits.IdleTimeout;
  if (isStream(d))
    forwardStreamBody(d, w, part, now, out);
  else
    bufferPlainBody(d, w, part, now, out);
}

void onResponseEnd(Dispatch &d, Dispatcher &w, TransferId id, bool whole,
                   Time now, DispatchActions &out) {
  if (id != d.CurrentTransfer || d.Phase != DispatchPhase::InFlight)
    return;
  const bool marked = !isStream(d) || d.EndScanner.Complete;
  if (d.Head && whole && marked)
    return complete(d, w, now, out);
  onResponseFailed(
      d, w,
      {ErrorCode::Broken, Step::ReadResponse, {}, "the answer was cut short"},
      now, out);
}

void onTransferFailed(Dispatch &d, Dispatcher &w, TransferId id,
                      const Error &err, Time now, DispatchActions &out) {
  if (isCurrent(d, id))
    onCurrentFailed(d, w, err, now, out);
}

void onCallerDisconnected(Dispatch &d, Dispatcher &w, Time now,
                          DispatchActions &out) {
  if (d.Phase == DispatchPhase::Done || d.Phase == DispatchPhase::New)
    return;
  d.IsCallerDisconnected = true;
  const bool cancellable = d.Spec.IsEngine || d.Spec.Admitted.Idempotent;
  if (d.Phase == DispatchPhase::InFlight && !cancellable)
    return; // It runs to its end, so that its claim records the outcome.
  abandon(
      d, w, AttemptEnd::Cancelled,
      {ErrorCode::Disconnected, Step::WriteResponse, {}, "the caller has left"},
      now, out);
}

void onStop(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out) {
  if (d.Phase == DispatchPhase::Done || d.Phase == DispatchPhase::New)
    return;
  abandon(d, w, AttemptEnd::Cancelled,
          {ErrorCode::Stopping, stepOf(d), {}, "this process stops"}, now, out);
}

void onTime(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out) {
  if (now < dueAt(d))
    return;
  if (!d.ResponseBegun && now >= d.Spec.Admitted.Deadline)
    return onDeadline(d, w, now, out);
  if (d.Phase == DispatchPhase::BackingOff)
    return endBackoff(d, w, now, out);
  onResponseTimeout(d, w, now, out);
}

Time dueAt(const Dispatch &d) noexcept {
  if (d.Phase == DispatchPhase::Done || d.Phase == DispatchPhase::New)
    return Time::max();
  const Time end = d.ResponseBegun ? Time::max() : d.Spec.Admitted.Deadline;
  if (d.Phase == DispatchPhase::BackingOff)
    return std::min(end, d.BackoffEndsAt);
  if (d.Phase == DispatchPhase::Connecting ||
      d.Phase == DispatchPhase::InFlight)
    return std::min(end, d.ResponseDeadline);
  return end;
}

GrantReturn unusedReturn(const Grant &g) noexcept {
  GrantReturn ret;
  ret.Id = g.Id;
  ret.Attempt = g.Attempt;
  ret.Endpoint = g.Endpoint;
  return ret;
}

} // namespace zinniagauge
