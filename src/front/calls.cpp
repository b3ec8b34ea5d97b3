// The course of a call: its attempts, its retries and its end.
#include "zinniagauge/front/call_fingerprint.h"
#include "zinniagauge/front/reachability.h"
#include "zinniagauge/front/relay.h"

#include "zinniagauge/decide/complete_events.h"
#include "zinniagauge/decide/random.h"
#include "zinniagauge/decide/relay_choice.h"

#include <algorithm>
#include <array>

namespace zinniagauge {

namespace {

/// Unsent bytes for a slow caller above which reading from its back end pauses.
constexpr std::size_t MaxUnsentBytes = std::size_t{128} << 10U;

/// Limit of one event of a stream, far above a page of text.
constexpr std::size_t MaxEventBytes = std::size_t{64} << 10U;

/// A back end that crashes later than this after a stream's first event hasn't
/// crashed on that stream: a deadly one ends its back end as it begins.
constexpr Duration SoundStreamTime = std::chrono::seconds(2);

/// Number of events over which the time per event is measured.
constexpr std::uint32_t PaceEvents = 8;

/// The back end of the latest attempt; null if there is none, it is gone, or
/// the call was relayed.
BackendState *backendOf(RequestLoop &rl, const Call &call) {
  const auto it = rl.Backends.find(call.LastBackend);
  return it == rl.Backends.end() ? nullptr : it->second.get();
}

/// The name of the back end or front to which the latest attempt was sent;
/// \p other if there is none or it is gone.
std::string_view targetName(const RequestLoop &rl, const Call &call,
                            std::string_view other) {
  const auto &targets = call.ThroughPeer ? rl.Peers : rl.Backends;
  const auto it = targets.find(call.LastBackend);
  return it == targets.end() ? other : it->second->Info.Name;
}

/// Ends a call after the caller received part of a stream. The connection
/// closes without the last chunk, so that the stream doesn't look complete.
void abortStream(const std::shared_ptr<Call> &call, std::string_view reason) {
  CallerConnection *caller = call->Caller;
  endCall(call, CallEnd::StreamAborted, 0, reason);
  if (caller)
    closeCallerAfterSending(*caller);
}

/// Ends the call with a response that this process generates. If part of a
/// response was already sent, the stream is aborted instead.
void respondAndEnd(const std::shared_ptr<Call> &call, CallEnd end, int status,
                   std::string_view reason,
                   Duration retryafter = Duration::zero()) {
  if (call->Facts.ResponseStarted) {
    abortStream(call, reason);
    return;
  }
  CallerConnection *caller = call->Caller;
  if (caller)
    respondWithStatus(*caller, status, reason, retryafter,
                      call->FromPeer && closesPeer(status));
  endCall(call, end, status, reason);
  if (caller)
    serveNextRequest(*caller);
}

/// Ends a call that can't be served.
void refuse(const std::shared_ptr<Call> &call, std::string_view reason,
            Duration retryafter = DefaultRetryAfter) {
  // 503 states that the call hasn't run, so it is sent only if that is certain.
  if (call->Facts.MayHaveRun)
    respondAndEnd(call, CallEnd::Unknown, 502, reason);
  else
    respondAndEnd(call, CallEnd::Refused, 503, reason, retryafter);
}

/// Told to callers whose pool has back ends in evacuated zones only. Operators
/// empty a zone for minutes rather than for moments.
constexpr Duration EvacuatedRetryAfter = std::chrono::seconds(2);

/// Refuses a call that has waited for a back end for too long. If the back ends
/// asked for fewer calls, the caller is told when they take the next one.
void refuseWaiting(const std::shared_ptr<Call> &call) {
  constexpr Duration MaxWait = std::chrono::seconds(5);
  if (isPoolEvacuated(*call->Owner, call->Plan.Pool)) {
    refuse(call, ZoneEvacuated, EvacuatedRetryAfter);
    return;
  }
  const Duration wait = timeUntilSend(*call->Owner, call->Plan.Pool);
  if (isPoolCold(*call->Owner, call->Plan.Pool)) {
    refuse(call, "back ends are cold",
           std::clamp(wait, DefaultRetryAfter, MaxWait));
    return;
  }
  if (wait > Duration::zero())
    refuse(call, "back ends ask for fewer calls",
           std::clamp(wait, DefaultRetryAfter, MaxWait));
  else
    refuse(call, "no back end had room in time");
}

Time queueDeadline(const Call &call, Time now);

/// Applies the decision on a call without a free slot. Returns false if the
/// fixed limits of the queue time hold.
bool waitByForecast(const std::shared_ptr<Call> &call) {
  RequestLoop &rl = *call->Owner;
  const auto decision = decideWait(rl, *call);
  if (!decision)
    return false;
  if (decision->Refusal == WaitRefusal::None)
    arm(rl.EventLoop, call->Timer, decision->DecideAgainAt);
  else
    refuse(call, toString(decision->Refusal), forecastRetryAfter(rl, *call));
  return true;
}

/// Sends a call that waits by a forecast if a slot is free for it: calls far
/// back in the queue aren't tried by each dispatch.
bool sendIfPossible(const std::shared_ptr<Call> &call) {
  RequestLoop &rl = *call->Owner;
  if (!call->Forecast || !pickTarget(rl, *call))
    return false;
  dequeue(rl, *call);
  dispatchCall(call);
  return true;
}

/// The queue timeout or the deadline of a call has passed, or its wait is
/// decided again.
void onCallTimer(void *ctx, Time /*now*/) {
  Call &c = *static_cast<Call *>(ctx);
  const std::shared_ptr<Call> call =
      c.Caller ? c.Caller->ActiveCall
               : (c.Connection ? c.Connection->ActiveCall : nullptr);
  if (!call)
    return;
  if (call->Phase == CallPhase::Waiting) {
    if (sendIfPossible(call) || waitByForecast(call))
      return;
    const Time now = call->Owner->EventLoop.Now;
    if (const Time end = queueDeadline(*call, now); end > now)
      arm(call->Owner->EventLoop, call->Timer, end);
    else
      refuseWaiting(call);
    return;
  }
  recordLostAttempt(*call->Owner, *call);
  abortTransfer(*call);
  respondAndEnd(call, CallEnd::TimedOut, 504, "time is over");
}

/// How long an interrupted stream may wait for a back end that resumes it.
/// Callers disconnect from a silent stream after about two seconds.
constexpr Duration MaxResumeWait = std::chrono::milliseconds(1500);

/// Maximum queue time of a call as a fraction of its latency target, unless it
/// is among the most urgent. An early refusal lets the caller retry sooner.
constexpr double QueueTimeFraction = 0.125;

/// Maximum queue time of a call whose response isn't a stream. Its back end's
/// slots free up within a fraction of the target, so a short wait is enough.
constexpr double PlainQueueTimeFraction = 0.5;

/// Maximum queue time of the most urgent calls as a fraction of their latency
/// target. They get the next free capacity anyway and are still useful late.
constexpr double MostUrgentQueueTimeFraction = 2.0;

/// Until when a call may wait for free capacity.
Time queueDeadline(const Call &call, Time now) {
  if (call.Facts.ResponseStarted)
    return std::min(call.Deadline, now + MaxResumeWait);
  double fraction = QueueTimeFraction;
  if (call.Facts.Kind != CallKind::Stream)
    fraction = PlainQueueTimeFraction;
  else if (call.Plan.MostUrgent)
    fraction = MostUrgentQueueTimeFraction;
  const auto wait =
      std::chrono::duration_cast<Duration>(call.Plan.LatencyTarget * fraction);
  return std::max(now, std::min(call.Deadline, call.Arrived + wait));
}

/// When the call must have ended: after its route's timeout, or after the time
/// that its caller states if that is shorter.
Time deadlineOf(const Call &call, const HeaderNames &names) {
  const Time end = call.Arrived + call.Plan.Timeout;
  const auto left = findField(call.Head.Fields, names.TimeLeft);
  if (const auto ms = left ? parseNumber(*left) : std::nullopt)
    return std::min(end, call.Arrived + std::chrono::milliseconds(*ms));
  return end;
}

/// Records the back end's time per event after each PaceEvents events.
void measurePace(RequestLoop &rl, const Call &call, StreamState &st) {
  if (st.Events - st.PaceStartEvents < PaceEvents)
    return;
  if (BackendState *b = backendOf(rl, call))
    recordEventTime(*b, st.PaceStartAt, st.LastEventAt,
                    st.Events - st.PaceStartEvents);
  st.PaceStartAt = st.LastEventAt;
  st.PaceStartEvents = st.Events;
}

/// Counts and logs the end of an attempt; \p retrying: the call is retried.
void logAttemptEnd(RequestLoop &rl, const Call &call, AttemptEnd end,
                   std::string_view reason, bool retrying) {
  countAttempt(rl.Metrics, toString(end));
  if (!rl.Log.logsCalls())
    return;
  EventLine line = eventLine("attempt_end");
  add(line, "call", call.Id);
  add(line, "backend", targetName(rl, call, "gone"));
  add(line, "result", toString(end));
  add(line, "why", reason);
  add(line, "again", std::int64_t{retrying ? 1 : 0});
  add(line, "sent", std::int64_t{call.Facts.SentAttempts});
  add(line, "most", std::int64_t{call.Facts.MaxAttempts});
  add(line, "left_ms", call.Deadline - rl.EventLoop.Now);
  rl.Log.write(line);
}

/// The part of the retry budget that this process may use.
RetryLimits ownRetryLimits(const RequestLoop &rl) {
  return limitsPerProcess(rl.Settings.Retries, rl.Board.LivingFronts);
}

/// Takes one retry from the budget. Returns false if the call may not be
/// retried or the budget is used up. An attempt that wasn't sent needs no
/// budget.
bool takeRetryIfAllowed(RequestLoop &rl, const Call &call, AttemptEnd end) {
  if (!call.Caller || !mayRetry(call.Facts, end))
    return false;
  if (end == AttemptEnd::NotSent)
    return true;
  return takeRetry(rl.Pools[call.Plan.Pool].Retries, ownRetryLimits(rl),
                   rl.EventLoop.Now);
}

/// The facts of a relayed call, with the attempt that the front which relayed
/// it keeps for the loss of this one.
CallFacts withSendersAttempt(const Call &call) {
  CallFacts facts = call.Facts;
  facts.MaxAttempts += call.SenderKeepsAttempt ? 1 : 0;
  return facts;
}

/// Whether \p call could be retried if its attempt were lost now.
bool canRetry(const RequestLoop &rl, const Call &call) {
  const auto pool = rl.Pools.find(call.Plan.Pool);
  return call.Caller && rl.EventLoop.Now < call.Deadline &&
         mayRetry(withSendersAttempt(call), AttemptEnd::Lost) &&
         !mayCrashAgain(rl, call) &&
         traitStatus(rl, call) != TraitStatus::Quarantined &&
         pool != rl.Pools.end() &&
         hasRetryBudget(pool->second.Retries, ownRetryLimits(rl),
                        rl.EventLoop.Now);
}

/// Prepares the call for an attempt after one that has ended.
void resetAttempt(RequestLoop &rl, Call &call) {
  call.Stream.PartialEvent.clear();
  call.Stream.PartialScan = {};
  call.Stream.PaceStartEvents = call.Stream.Events;
  call.Stream.PaceStartAt = rl.EventLoop.Now;
}

/// Records the choice of \p to for the next attempt.
void recordChoice(Call &call, const BackendState &to) {
  call.LastBackend = to.Info.Id;
  call.TriedBackends.push_back(call.LastBackend);
  call.ThroughPeer = to.IsPeer;
  call.AttemptsCharged = to.IsPeer ? attemptsForPeer(call.Facts) : 1;
}

/// Records that the call is on its way to its back end.
void recordDispatch(RequestLoop &rl, Call &call) {
  call.Phase = CallPhase::Sent;
  call.Facts.SentAttempts += call.AttemptsCharged;
  if (call.Plan.Cost > 0 && !call.CostReported)
    recordSpent(rl.Allowances[call.Plan.Workspace], call.Plan.Cost);
  call.CostReported = true;
  arm(rl.EventLoop, call.Timer, call.Deadline);
}

/// Whether \p status states that the call hasn't run. A back end's failure with
/// such a status isn't passed on to the caller, as the call may have run.
bool statesNotRun(int status) noexcept {
  constexpr std::array<int, 4> Statuses = {408, 421, 429, 503};
  return std::find(Statuses.begin(), Statuses.end(), status) != Statuses.end();
}

/// Passes a back end's failure on to the caller and ends the call.
void forwardFailure(const std::shared_ptr<Call> &call, const MessageHead &head,
                    std::string_view body) {
  if (statesNotRun(head.Status) || call->Facts.ResponseStarted) {
    respondAndEnd(call, CallEnd::Unknown, 502, "back end failed");
    return;
  }
  CallerConnection *caller = call->Caller;
  if (caller)
    forwardResponse(*caller, head, body);
  endCall(call, CallEnd::BackendFailed, head.Status, "back end failed");
  if (caller)
    serveNextRequest(*caller);
}

/// Called when the back end has responded with a failure.
void onFailureResponse(const std::shared_ptr<Call> &call,
                       const MessageHead &head, std::string_view body) {
  RequestLoop &rl = *call->Owner;
  call->Facts.MayHaveRun = true;
  if (call->ThroughPeer)
    recordFurtherAttempts(*call, head);
  const bool retrying = takeRetryIfAllowed(rl, *call, AttemptEnd::Failed);
  logAttemptEnd(rl, *call, AttemptEnd::Failed, std::to_string(head.Status),
                retrying);
  if (retrying)
    dispatchCall(call);
  else
    forwardFailure(call, head, body);
}

} // namespace

std::string_view toString(CallEnd end) noexcept {
  constexpr std::array<std::string_view, CallEndCount> Names = {
      "served",    "backend_failed", "refused",    "unknown",
      "timed_out", "broken_off",     "caller_left"};
  return Names[static_cast<std::size_t>(end)];
}

void startCall(CallerConnection &c, MessageHead head, std::string body) {
  RequestLoop &rl = *c.Owner;
  auto call = std::make_shared<Call>();
  call->Owner = &rl;
  call->Head = std::move(head);
  call->Body = std::move(body);
  call->Id = findField(call->Head.Fields, rl.Names.CallId).value_or("");
  call->RandomValue = nextRandom(rl.RandomState);
  call->Arrived = rl.EventLoop.Now;
  call->Caller = &c;
  call->Timer.Fn = onCallTimer;
  call->Timer.Ctx = call.get();
  call->Work = parseCallWork(*call, rl.Names);
  c.ActiveCall = call;
  ++rl.ActiveCalls;
  call->FromPeer = c.FromPeer;
  rl.RelayedCalls += call->FromPeer ? 1 : 0;
  std::optional<Denial> denial;
  if (call->FromPeer) {
    denial = readRelayedPlan(rl, *call);
  } else {
    denial = routeCall(rl, *call);
    call->Deadline = deadlineOf(*call, rl.Names);
  }
  if (!denial && !acceptsCall(rl, *call))
    denial = Denial{503, "stopping", ShutdownRetryAfter};
  if (!denial && !call->FromPeer)
    denial = chargeCall(rl, *call);
  if (denial) {
    respondAndEnd(call, CallEnd::Refused, denial->Status, denial->Reason,
                  denial->RetryAfter);
    return;
  }
  call->Work.Traits.push_back(fingerprintOf(*call));
  countArrival(rl.Pools[call->Plan.Pool].Arrivals, rl.EventLoop.Now);
  if (!call->FromPeer)
    countFirstSend(rl.Pools[call->Plan.Pool].Retries, rl.Settings.Retries,
                   rl.EventLoop.Now);
  dispatchCall(call);
}

void refuseWaitingCalls(RequestLoop &rl, std::string_view reason) {
  std::vector<std::shared_ptr<Call>> waiting;
  for (const auto &[id, pool] : rl.Pools)
    for (const auto &[rank, call] : pool.Queue)
      if (call->Caller)
        waiting.push_back(call->Caller->ActiveCall);
  for (const std::shared_ptr<Call> &call : waiting)
    refuse(call, reason);
}

void endSentCalls(RequestLoop &rl, std::string_view reason) {
  std::vector<std::shared_ptr<Call>> sent;
  for (const auto &[ptr, conn] : rl.BackendConnections)
    if (conn->ActiveCall && conn->ActiveCall->Caller)
      sent.push_back(conn->ActiveCall);
  for (const std::shared_ptr<Call> &call : sent) {
    abortTransfer(*call);
    respondAndEnd(call, CallEnd::Unknown, 504, reason);
  }
}

void dispatchCall(const std::shared_ptr<Call> &call) {
  RequestLoop &rl = *call->Owner;
  call->Phase = CallPhase::Waiting;
  // Once it was sent, a call runs to its end under the plan that admitted it; a
  // relayed one was admitted by the front that its caller reached.
  if (!call->FromPeer && call->Facts.SentAttempts == 0 &&
      call->Plan.Version !=
          rl.Board.PlanVersion.load(std::memory_order_acquire)) {
    if (const auto denial = routeCall(rl, *call)) {
      respondAndEnd(call, CallEnd::Refused, denial->Status, denial->Reason,
                    denial->RetryAfter);
      return;
    }
  }
  if (traitStatus(rl, *call) == TraitStatus::Quarantined) {
    refuse(call, "call in quarantine", QuarantineRetryAfter);
    return;
  }
  BackendState *to = pickTarget(rl, *call);
  if (!to && call->FromPeer &&
      rl.Pools[call->Plan.Pool].Reach.State != PoolReach::Reached) {
    refuse(call, "pool isn't reached from here");
    return;
  }
  if (!to) {
    enqueue(rl, *call);
    if (!waitByForecast(call))
      arm(rl.EventLoop, call->Timer, queueDeadline(*call, rl.EventLoop.Now));
    return;
  }
  if (call->Forecast)
    recordForecastError(rl.Metrics, call->ForecastStart - rl.EventLoop.Now);
  recordChoice(*call, *to);
  if (!sendCall(rl, call, *to)) {
    if (to->IsPeer) {
      dispatchCall(call); // It is passed over now.
      return;
    }
    refuse(call, "no socket left");
    return;
  }
  recordDispatch(rl, *call);
}

BackendState *pickSuccessor(RequestLoop &rl, const Call &call) {
  if (!canRetry(rl, call))
    return nullptr;
  BackendState *to = pickTarget(rl, call);
  return to && to->Info.Id != call.LastBackend ? to : nullptr;
}

bool takeOver(BackendConnection &next, const std::shared_ptr<Call> &call,
              std::string_view reason) {
  RequestLoop &rl = *call->Owner;
  if (!canRetry(rl, *call))
    return false;
  if (!mayRetry(call->Facts, AttemptEnd::Lost)) {
    call->Facts = withSendersAttempt(*call);
    call->SenderKeepsAttempt = false;
  }
  if (!takeRetryIfAllowed(rl, *call, AttemptEnd::Lost))
    return false;
  call->Facts.MayHaveRun = true;
  recordLostAttempt(rl, *call);
  logAttemptEnd(rl, *call, AttemptEnd::Lost, reason, true);
  giveUpSilent(*call->Connection);
  resetAttempt(rl, *call);
  recordChoice(*call, *next.Target);
  sendCallOver(next, call);
  recordDispatch(rl, *call);
  return true;
}

void onCallerDisconnected(const std::shared_ptr<Call> &call) {
  call->Caller = nullptr;
  if (call->Phase == CallPhase::Ended)
    return;
  // A call that isn't safe to retry runs to its end: aborting it would leave
  // its outcome unknown.
  if (call->Phase == CallPhase::Sent && call->Facts.Kind == CallKind::Unsafe)
    return;
  abortTransfer(*call);
  endCall(call, CallEnd::CallerDisconnected, 0, "caller left");
}

void onAttemptEnd(const std::shared_ptr<Call> &call, AttemptEnd end,
                  std::string_view reason) {
  RequestLoop &rl = *call->Owner;
  if (call->Phase == CallPhase::Ended)
    return;
  CallFacts &facts = call->Facts;
  if (end == AttemptEnd::Lost) {
    facts.MayHaveRun = true;
    recordLostAttempt(rl, *call);
  }
  if (end == AttemptEnd::NotSent) {
    facts.SentAttempts -= call->AttemptsCharged;
    ++facts.UnreachableAttempts;
  }
  // A stream in progress has lost its back end for this attempt, so that a
  // rejection doesn't use up its attempts.
  if (end == AttemptEnd::NotRun && facts.ResponseStarted &&
      facts.ForgivenRejections < MaxForgivenRejections) {
    ++facts.ForgivenRejections;
    --facts.SentAttempts;
  }
  facts.HasTimeLeft = rl.EventLoop.Now < call->Deadline;
  resetAttempt(rl, *call);
  const bool retrying =
      !(end == AttemptEnd::Lost && mayCrashAgain(rl, *call)) &&
      takeRetryIfAllowed(rl, *call, end);
  logAttemptEnd(rl, *call, end, reason, retrying);
  if (!call->Caller) {
    endCall(call, CallEnd::CallerDisconnected, 0, reason);
    return;
  }
  switch (nextStep(facts, end, retrying)) {
  case NextStep::Retry:
    dispatchCall(call);
    break;
  case NextStep::Refuse:
    refuse(call, reason);
    break;
  case NextStep::AbortStream:
    abortStream(call, reason);
    break;
  case NextStep::ForwardFailure:
  case NextStep::ReportUnknown:
    respondAndEnd(call, CallEnd::Unknown, 502, reason);
    break;
  }
}

void onResponse(const std::shared_ptr<Call> &call, const MessageHead &head,
                std::string_view body) {
  RequestLoop &rl = *call->Owner;
  if (const auto end = call->ThroughPeer ? relayOutcome(head) : std::nullopt) {
    recordRelayEnd(rl, *call, head, *end);
    onAttemptEnd(call, *end, "relay " + std::to_string(head.Status));
    return;
  }
  BackendState *b = backendOf(rl, *call);
  if (findField(head.Fields, rl.Names.NotRun) || head.Status == 421) {
    if (b && head.Status == 421)
      b->WrongIncarnation = true;
    onAttemptEnd(call, AttemptEnd::NotRun, std::to_string(head.Status));
    dispatchQueued(rl, call->Plan.Pool);
    return;
  }
  const bool success = head.Status / 100 == 2;
  const bool failed = head.Status >= 500 || statesNotRun(head.Status);
  if (success)
    recordAnswered(rl, *call);
  recordMoveStats(rl, *call, failed);
  if (b) {
    recordResponse(rl, *b, failed);
    if (call->Facts.Kind != CallKind::Stream)
      recordEventTime(*b, call->SentAt, rl.EventLoop.Now, 1);
  }
  if (call->Facts.ResponseStarted && !failed) {
    onAttemptEnd(call, AttemptEnd::Lost, "answer is no stream");
  } else if (failed && call->Phase != CallPhase::Ended) {
    onFailureResponse(call, head, body);
  } else {
    countAttempt(rl.Metrics, "answered");
    CallerConnection *caller = call->Caller;
    if (caller) {
      forwardResponse(*caller, head, body);
      recordFirstByteTime(rl.Metrics, call->Facts.Kind,
                          rl.EventLoop.Now - call->Arrived);
    }
    endCall(call, success ? CallEnd::Served : CallEnd::BackendFailed,
            head.Status, success ? "" : "back end's own answer");
    if (caller)
      serveNextRequest(*caller);
  }
  dispatchQueued(rl, call->Plan.Pool);
}

std::string_view onEvents(const std::shared_ptr<Call> &call,
                          const MessageHead &head, std::string_view part) {
  RequestLoop &rl = *call->Owner;
  StreamState &st = call->Stream;
  st.PartialEvent.append(part);
  const CompleteEvents complete =
      findCompleteEvents(st.PartialEvent, st.PartialScan);
  if (st.PartialEvent.size() - complete.Bytes > MaxEventBytes)
    return "event too large";
  if (complete.Bytes == 0)
    return {};
  if (!call->Caller) {
    st.PartialEvent.erase(0, complete.Bytes);
    return {};
  }
  if (st.LastEventId && complete.FirstId &&
      *complete.FirstId <= *st.LastEventId)
    return "events out of order";
  const std::string_view events =
      std::string_view(st.PartialEvent).substr(0, complete.Bytes);
  if (call->Facts.ResponseStarted) {
    forwardEvents(*call->Caller, events);
    st.LongestGap = std::max(st.LongestGap, rl.EventLoop.Now - st.LastEventAt);
  } else {
    startStreamResponse(*call->Caller, head, events);
    call->Facts.ResponseStarted = true;
    st.FirstEventAt = rl.EventLoop.Now;
    recordFirstByteTime(rl.Metrics, CallKind::Stream,
                        rl.EventLoop.Now - call->Arrived);
    recordPromptTime(rl, *call);
    st.PaceStartAt = rl.EventLoop.Now;
    st.PaceStartEvents = complete.Count;
  }
  st.LastEventAt = rl.EventLoop.Now;
  if (st.Events == st.EventsBefore)
    st.AttemptEventAt = rl.EventLoop.Now;
  st.Events += complete.Count;
  if (st.LastEventAt - st.AttemptEventAt >= SoundStreamTime)
    recordAnswered(rl, *call);
  measurePace(rl, *call, st);
  if (complete.LastId)
    st.LastEventId = complete.LastId;
  st.PartialEvent.erase(0, complete.Bytes);
  if (call->Connection && pendingBytes(call->Caller->Tcp) > MaxUnsentBytes)
    setReadPaused(call->Connection->Tcp, true);
  return {};
}

void onStreamEnd(const std::shared_ptr<Call> &call, const MessageHead &head) {
  RequestLoop &rl = *call->Owner;
  if (BackendState *b = backendOf(rl, *call))
    recordResponse(rl, *b, false);
  recordMoveStats(rl, *call, false);
  recordAnswered(rl, *call);
  countAttempt(rl.Metrics, "answered");
  CallerConnection *caller = call->Caller;
  if (caller) {
    if (!call->Facts.ResponseStarted)
      startStreamResponse(*caller, head, call->Stream.PartialEvent);
    else if (!call->Stream.PartialEvent.empty())
      forwardEvents(*caller, call->Stream.PartialEvent);
    endStreamResponse(*caller);
  }
  recordLongestGap(rl.Metrics, call->Stream.LongestGap);
  endCall(call, caller ? CallEnd::Served : CallEnd::CallerDisconnected,
          head.Status, "");
  if (caller)
    serveNextRequest(*caller);
  dispatchQueued(rl, call->Plan.Pool);
}

void endCall(const std::shared_ptr<Call> &call, CallEnd end, int status,
             std::string_view reason) {
  RequestLoop &rl = *call->Owner;
  if (call->Phase == CallPhase::Ended)
    return;
  dequeue(rl, *call);
  call->Phase = CallPhase::Ended;
  disarm(rl.EventLoop, call->Timer);
  --rl.ActiveCalls;
  rl.RelayedCalls -= call->FromPeer ? 1 : 0;
  if (end == CallEnd::Refused && call->Plan.Cost > 0 && !call->CostReported)
    refundAllowance(rl.Allowances[call->Plan.Workspace], call->Plan.Cost);
  countCall(rl.Metrics, call->Facts.Kind, toString(end), status);
  if (end == CallEnd::Refused)
    countRefusal(rl.Metrics, reason);
  recordQueueTime(rl.Metrics, call->Facts.Kind, call->QueueTime);
  if (!rl.Log.logsCalls())
    return;
  EventLine line = eventLine("call_end");
  add(line, "call", call->Id);
  add(line, "end", toString(end));
  add(line, "status", std::int64_t{status});
  add(line, "why", reason);
  add(line, "route", call->Plan.Route);
  add(line, "workspace", call->Plan.WorkspaceName);
  add(line, "backend", targetName(rl, *call, ""));
  add(line, "relayed", std::int64_t{call->FromPeer ? 1 : 0});
  add(line, "sent", std::int64_t{call->Facts.SentAttempts});
  add(line, "queue_ms", call->QueueTime);
  if (end == CallEnd::Refused && call->Forecast)
    add(line, "forecast_ms", *call->Forecast);
  add(line, "total_ms", rl.EventLoop.Now - call->Arrived);
  add(line, "plan", static_cast<std::int64_t>(call->Plan.Version));
  if (call->Plan.ProofAge)
    add(line, "proof_ms", *call->Plan.ProofAge);
  add(line, "tokens", static_cast<std::int64_t>(call->Work.PromptTokens));
  add(line, "output", static_cast<std::int64_t>(call->Work.OutputTokens));
  if (call->Stream.Events > 0) {
    add(line, "events", std::int64_t{call->Stream.Events});
    add(line, "first_ms", call->Stream.FirstEventAt - call->Arrived);
    add(line, "gap_ms", call->Stream.LongestGap);
  }
  rl.Log.write(line);
}

} // namespace zinniagauge
