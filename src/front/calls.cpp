#include "zinniagauge/front/admission.h"

#include "zinniagauge/decide/complete_events.h"
#include "zinniagauge/decide/random.h"

#include <algorithm>
#include <array>

namespace zinniagauge {

namespace {

/// Bytes that may wait for a slow caller before its back end is held up.
constexpr std::size_t MostBuffered = std::size_t{128} << 10U;

/// Events after which a stream says how fast its back end is.
constexpr std::uint32_t PaceEvents = 8;

BackendState *backendOf(RequestLoop &rl, const Call &call) {
  const auto it = rl.Backends.find(call.LastBackend);
  return it == rl.Backends.end() ? nullptr : it->second.get();
}

/// Ends a call whose caller has the start of a stream, so that it doesn't look
/// whole.
void breakOff(const std::shared_ptr<Call> &call, std::string_view why) {
  CallerConnection *from = call->Caller;
  endCall(call, CallEnd::StreamAborted, 0, why);
  if (from)
    closeCallerAfterSending(*from);
}

/// Answers with a status of our own and ends the call. A caller that has the
/// start of an answer can't be given another one.
void endOwn(const std::shared_ptr<Call> &call, CallEnd end, int status,
            std::string_view why, Duration retryafter = Duration::zero()) {
  if (call->Facts.ResponseStarted) {
    breakOff(call, why);
    return;
  }
  CallerConnection *from = call->Caller;
  if (from)
    respondWithStatus(*from, status, why, retryafter);
  endCall(call, end, status, why);
  if (from)
    serveNextRequest(*from);
}

void refuse(const std::shared_ptr<Call> &call, std::string_view why,
            Duration retryafter = DefaultRetryAfter) {
  // Only what surely hasn't run is said not to have run.
  if (call->Facts.MayHaveRun)
    endOwn(call, CallEnd::Unknown, 502, why);
  else
    endOwn(call, CallEnd::Refused, 503, why, retryafter);
}

void onDue(void *ctx, Time /*now*/) {
  Call &c = *static_cast<Call *>(ctx);
  const std::shared_ptr<Call> call =
      c.Caller ? c.Caller->ActiveCall
               : (c.Connection ? c.Connection->ActiveCall : nullptr);
  if (!call)
    return;
  if (call->Phase == CallPhase::Waiting) {
    refuse(call, "no back end had room in time");
    return;
  }
  recordMoveStats(*call->Owner, *call, true);
  abortTransfer(*call);
  endOwn(call, CallEnd::TimedOut, 504, "time is over");
}

/// How long a stream that broke may wait to go on elsewhere; callers leave a
/// silent stream after some two seconds.
constexpr Duration ResumeWait = std::chrono::milliseconds(1500);

/// Part of its target for which a call waits for room, unless none is more
/// urgent: its caller is better told early to come back than late.
constexpr double PatientPart = 0.125;

/// Likewise of the most urgent calls, which get the next room anyway and are
/// still of use when they are late.
constexpr double UrgentPart = 2.0;

/// How long a call may wait for room.
Time queueDue(const Call &call, Time now) {
  if (call.Facts.ResponseStarted)
    return std::min(call.Deadline, now + ResumeWait);
  const double part = call.Plan.MostUrgent ? UrgentPart : PatientPart;
  const auto wait =
      std::chrono::duration_cast<Duration>(call.Plan.LatencyTarget * part);
  return std::max(now, std::min(call.Deadline, call.Arrived + wait));
}

/// Learns from the events that have come how fast the back end is.
void measurePace(RequestLoop &rl, const Call &call, StreamState &st) {
  if (st.Events - st.PaceStartEvents < PaceEvents)
    return;
  if (BackendState *b = backendOf(rl, call))
    recordEventTime(*b, st.LastEventAt - st.PaceStartAt,
                    st.Events - st.PaceStartEvents);
  st.PaceStartAt = st.LastEventAt;
  st.PaceStartEvents = st.Events;
}

void logAttemptEnd(RequestLoop &rl, const Call &call, AttemptEnd end,
                   std::string_view why, bool again) {
  countAttempt(rl.Metrics, toString(end));
  if (!rl.Log.logsCalls())
    return;
  const BackendState *b = backendOf(rl, call);
  EventLine line = eventLine("attempt_end");
  add(line, "call", call.Id);
  add(line, "backend", b ? b->Info.Name : std::string_view("gone"));
  add(line, "result", toString(end));
  add(line, "why", why);
  add(line, "again", std::int64_t{again ? 1 : 0});
  add(line, "sent", std::int64_t{call.Facts.SentAttempts});
  add(line, "most", std::int64_t{call.Facts.MaxAttempts});
  add(line, "left_ms", call.Deadline - rl.EventLoop.Now);
  rl.Log.write(line);
}

/// What of the retry budget is this front's.
RetryLimits ownRetries(RequestLoop &rl) {
  const ReadGuard guard;
  return limitsPerProcess(rl.Settings.Retries,
                          rl.Board.Shares.read(guard).AliveProcesses);
}

/// Takes one more attempt from the limits, if they allow it.
bool takeAgain(RequestLoop &rl, const Call &call, AttemptEnd end) {
  if (!call.Caller || !mayRetry(call.Facts, end))
    return false;
  if (end == AttemptEnd::NotSent)
    return true;
  return takeRetry(rl.Pools[call.Plan.Pool].Retries, ownRetries(rl),
                   rl.EventLoop.Now);
}

/// Whether a back end's failure may reach the caller with its own status: those
/// below would promise that the call hasn't run.
bool promisesNotRun(int status) noexcept {
  constexpr std::array<int, 4> Promises = {408, 421, 429, 503};
  return std::find(Promises.begin(), Promises.end(), status) != Promises.end();
}

void passFailure(const std::shared_ptr<Call> &call, const MessageHead &head,
                 std::string_view body) {
  if (promisesNotRun(head.Status) || call->Facts.ResponseStarted) {
    endOwn(call, CallEnd::Unknown, 502, "back end failed");
    return;
  }
  CallerConnection *from = call->Caller;
  if (from)
    forwardResponse(*from, head, body, call->Head.Method);
  endCall(call, CallEnd::BackendFailed, head.Status, "back end failed");
  if (from)
    serveNextRequest(*from);
}

/// A failure that the back end itself answered.
void onFailure(const std::shared_ptr<Call> &call, const MessageHead &head,
               std::string_view body) {
  RequestLoop &rl = *call->Owner;
  call->Facts.MayHaveRun = true;
  const bool again = takeAgain(rl, *call, AttemptEnd::Failed);
  logAttemptEnd(rl, *call, AttemptEnd::Failed, std::to_string(head.Status),
                again);
  if (again)
    dispatchCall(call);
  else
    passFailure(call, head, body);
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
  call->Timer.Fn = onDue;
  call->Timer.Ctx = call.get();
  call->Work = parseCallWork(*call, rl.Names);
  c.ActiveCall = call;
  ++rl.ActiveCalls;
  std::optional<Denial> no = routeCall(rl, *call);
  if (!no)
    no = chargeCall(rl, *call);
  if (no) {
    endOwn(call, CallEnd::Refused, no->Status, no->Reason, no->RetryAfter);
    return;
  }
  call->Deadline = call->Arrived + call->Plan.Timeout;
  const auto left = findField(call->Head.Fields, rl.Names.TimeLeft);
  if (const auto ms = left ? parseNumber(*left) : std::nullopt)
    call->Deadline = std::min(call->Deadline,
                              call->Arrived + std::chrono::milliseconds(*ms));
  countFirstSend(rl.Pools[call->Plan.Pool].Retries, rl.Settings.Retries,
                 rl.EventLoop.Now);
  dispatchCall(call);
}

void dispatchCall(const std::shared_ptr<Call> &call) {
  RequestLoop &rl = *call->Owner;
  call->Phase = CallPhase::Waiting;
  if (call->Plan.Version !=
      rl.Board.PlanVersion.load(std::memory_order_acquire)) {
    if (const auto no = routeCall(rl, *call)) {
      if (call->Facts.ResponseStarted)
        breakOff(call, no->Reason);
      else if (call->Facts.MayHaveRun)
        refuse(call, no->Reason);
      else
        endOwn(call, CallEnd::Refused, no->Status, no->Reason, no->RetryAfter);
      return;
    }
  }
  BackendState *to = pickBackend(rl, *call);
  if (!to) {
    enqueue(rl, *call);
    arm(rl.EventLoop, call->Timer, queueDue(*call, rl.EventLoop.Now));
    return;
  }
  call->LastBackend = to->Info.Id;
  call->TriedBackends.push_back(call->LastBackend);
  if (!sendCall(rl, call, *to)) {
    refuse(call, "no socket left");
    return;
  }
  call->Phase = CallPhase::Sent;
  ++call->Facts.SentAttempts;
  arm(rl.EventLoop, call->Timer, call->Deadline);
}

bool canRetry(RequestLoop &rl, const Call &call) {
  return call.Caller && rl.EventLoop.Now < call.Deadline &&
         mayRetry(call.Facts, AttemptEnd::Lost) &&
         hasRetryBudget(rl.Pools[call.Plan.Pool].Retries, ownRetries(rl),
                        rl.EventLoop.Now);
}

void onCallerDisconnected(const std::shared_ptr<Call> &call) {
  call->Caller = nullptr;
  if (call->Phase == CallPhase::Ended)
    return;
  // What may not be repeated is left to finish: cutting it off would leave its
  // outcome open.
  if (call->Phase == CallPhase::Sent && call->Facts.Kind == CallKind::Unsafe)
    return;
  abortTransfer(*call);
  endCall(call, CallEnd::CallerDisconnected, 0, "caller left");
}

void onAttemptEnd(const std::shared_ptr<Call> &call, AttemptEnd end,
                  std::string_view why) {
  RequestLoop &rl = *call->Owner;
  if (call->Phase == CallPhase::Ended)
    return;
  CallFacts &facts = call->Facts;
  if (end == AttemptEnd::Lost) {
    facts.MayHaveRun = true;
    recordMoveStats(rl, *call, true);
  }
  if (end == AttemptEnd::NotSent) {
    --facts.SentAttempts;
    ++facts.UnreachableAttempts;
  }
  facts.HasTimeLeft = rl.EventLoop.Now < call->Deadline;
  call->Stream.PartialEvent.clear();
  call->Stream.PaceStartEvents = call->Stream.Events;
  call->Stream.PaceStartAt = rl.EventLoop.Now;
  const bool again = takeAgain(rl, *call, end);
  logAttemptEnd(rl, *call, end, why, again);
  if (!call->Caller) {
    endCall(call, CallEnd::CallerDisconnected, 0, why);
    return;
  }
  switch (nextStep(facts, end, again)) {
  case NextStep::Retry:
    dispatchCall(call);
    break;
  case NextStep::Refuse:
    refuse(call, why);
    break;
  case NextStep::AbortStream:
    breakOff(call, why);
    break;
  case NextStep::ForwardFailure:
  case NextStep::ReportUnknown:
    endOwn(call, CallEnd::Unknown, 502, why);
    break;
  }
}

void onResponse(const std::shared_ptr<Call> &call, const MessageHead &head,
                std::string_view body) {
  RequestLoop &rl = *call->Owner;
  BackendState *b = backendOf(rl, *call);
  if (findField(head.Fields, rl.Names.NotRunMark) || head.Status == 421) {
    if (b && head.Status == 421)
      b->WrongIncarnation = true;
    onAttemptEnd(call, AttemptEnd::NotRun, std::to_string(head.Status));
    dispatchQueued(rl, call->Plan.Pool);
    return;
  }
  const bool good = head.Status / 100 == 2;
  const bool sound = !good || (findField(head.Fields, rl.Names.Seal) &&
                               !findField(head.Fields, "Content-Encoding"));
  const bool failed = head.Status >= 500 || promisesNotRun(head.Status);
  recordMoveStats(rl, *call, failed || !sound);
  if (b) {
    recordResponse(rl, *b, failed || !sound);
    if (call->Facts.Kind != CallKind::Stream)
      recordEventTime(*b, rl.EventLoop.Now - call->SentAt, 1);
  }
  if (!sound) {
    onAttemptEnd(call, AttemptEnd::Lost, "answer without its proof");
  } else if (call->Facts.ResponseStarted && !failed) {
    onAttemptEnd(call, AttemptEnd::Lost, "answer is no stream");
  } else if (failed && call->Phase != CallPhase::Ended) {
    onFailure(call, head, body);
  } else {
    countAttempt(rl.Metrics, "answered");
    CallerConnection *from = call->Caller;
    if (from) {
      forwardResponse(*from, head, body, call->Head.Method);
      recordFirstByteTime(rl.Metrics, call->Facts.Kind,
                          rl.EventLoop.Now - call->Arrived);
    }
    endCall(call, good ? CallEnd::Served : CallEnd::BackendFailed, head.Status,
            good ? "" : "back end's own answer");
    if (from)
      serveNextRequest(*from);
  }
  dispatchQueued(rl, call->Plan.Pool);
}

bool onEvents(const std::shared_ptr<Call> &call, const MessageHead &head,
              std::string_view part) {
  RequestLoop &rl = *call->Owner;
  StreamState &st = call->Stream;
  st.PartialEvent.append(part);
  const CompleteEvents cut = findCompleteEvents(st.PartialEvent);
  if (cut.Bytes == 0 || !call->Caller)
    return true;
  if (st.LastEventId && cut.FirstId && *cut.FirstId <= *st.LastEventId)
    return false;
  const std::string_view whole =
      std::string_view(st.PartialEvent).substr(0, cut.Bytes);
  if (call->Facts.ResponseStarted) {
    forwardEvents(*call->Caller, whole);
    st.LongestGap = std::max(st.LongestGap, rl.EventLoop.Now - st.LastEventAt);
  } else {
    startStreamResponse(*call->Caller, head, whole);
    call->Facts.ResponseStarted = true;
    st.FirstEventAt = rl.EventLoop.Now;
    recordFirstByteTime(rl.Metrics, CallKind::Stream,
                        rl.EventLoop.Now - call->Arrived);
    recordPromptTime(rl, *call);
    st.PaceStartAt = rl.EventLoop.Now;
    st.PaceStartEvents = cut.Count;
  }
  st.LastEventAt = rl.EventLoop.Now;
  st.Events += cut.Count;
  measurePace(rl, *call, st);
  if (cut.LastId)
    st.LastEventId = cut.LastId;
  st.PartialEvent.erase(0, cut.Bytes);
  if (call->Connection && pendingBytes(call->Caller->Tcp) > MostBuffered)
    setReadPaused(call->Connection->Tcp, true);
  return true;
}

void onStreamEnd(const std::shared_ptr<Call> &call, const MessageHead &head) {
  RequestLoop &rl = *call->Owner;
  if (BackendState *b = backendOf(rl, *call))
    recordResponse(rl, *b, false);
  recordMoveStats(rl, *call, false);
  countAttempt(rl.Metrics, "answered");
  CallerConnection *from = call->Caller;
  if (from) {
    if (!call->Facts.ResponseStarted)
      startStreamResponse(*from, head, call->Stream.PartialEvent);
    else if (!call->Stream.PartialEvent.empty())
      forwardEvents(*from, call->Stream.PartialEvent);
    endStreamResponse(*from);
  }
  recordLongestGap(rl.Metrics, call->Stream.LongestGap);
  endCall(call, from ? CallEnd::Served : CallEnd::CallerDisconnected,
          head.Status, "");
  if (from)
    serveNextRequest(*from);
  dispatchQueued(rl, call->Plan.Pool);
}

void endCall(const std::shared_ptr<Call> &call, CallEnd end, int status,
             std::string_view why) {
  RequestLoop &rl = *call->Owner;
  if (call->Phase == CallPhase::Ended)
    return;
  dequeue(rl, *call);
  call->Phase = CallPhase::Ended;
  disarm(rl.EventLoop, call->Timer);
  --rl.ActiveCalls;
  if (end == CallEnd::Refused && call->Plan.Cost > 0)
    refundAllowance(rl.Allowances[call->Plan.Workspace], call->Plan.Cost);
  countCall(rl.Metrics, call->Facts.Kind, toString(end), status);
  recordQueueTime(rl.Metrics, call->Facts.Kind, call->QueueTime);
  if (!rl.Log.logsCalls())
    return;
  const BackendState *b = backendOf(rl, *call);
  EventLine line = eventLine("call_end");
  add(line, "call", call->Id);
  add(line, "end", toString(end));
  add(line, "status", std::int64_t{status});
  add(line, "why", why);
  add(line, "route", call->Plan.Route);
  add(line, "workspace", call->Plan.WorkspaceName);
  add(line, "backend", b ? b->Info.Name : std::string_view());
  add(line, "sent", std::int64_t{call->Facts.SentAttempts});
  add(line, "queue_ms", call->QueueTime);
  add(line, "total_ms", rl.EventLoop.Now - call->Arrived);
  add(line, "plan", static_cast<std::int64_t>(call->Plan.Version));
  add(line, "proof_ms", bootNow() - fromNanos(rl.Board.PlanConfirmedAt));
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
