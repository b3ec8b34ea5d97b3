#include "zinniagauge/front/admission.h"

#include "zinniagauge/decide/event_cut.h"
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
  const auto it = rl.Backends.find(call.At);
  return it == rl.Backends.end() ? nullptr : it->second.get();
}

/// Ends a call whose caller has the start of a stream, so that it doesn't look
/// whole.
void breakOff(const std::shared_ptr<Call> &call, std::string_view why) {
  Caller *from = call->From;
  endCall(call, CallEnd::BrokenOff, 0, why);
  if (from)
    finishCaller(*from);
}

/// Answers with a status of our own and ends the call. A caller that has the
/// start of an answer can't be given another one.
void endOwn(const std::shared_ptr<Call> &call, CallEnd end, int status,
            std::string_view why, Duration retryafter = Duration::zero()) {
  if (call->Facts.Begun) {
    breakOff(call, why);
    return;
  }
  Caller *from = call->From;
  if (from)
    answerOwn(*from, status, why, retryafter);
  endCall(call, end, status, why);
  if (from)
    callerDone(*from);
}

void refuse(const std::shared_ptr<Call> &call, std::string_view why,
            Duration retryafter = ComeBack) {
  // Only what surely hasn't run is said not to have run.
  if (call->Facts.MayHaveRun)
    endOwn(call, CallEnd::Unknown, 502, why);
  else
    endOwn(call, CallEnd::Refused, 503, why, retryafter);
}

void onDue(void *ctx, Time /*now*/) {
  Call &c = *static_cast<Call *>(ctx);
  const std::shared_ptr<Call> call =
      c.From ? c.From->Active : (c.Link ? c.Link->For : nullptr);
  if (!call)
    return;
  if (call->Phase == CallPhase::Waiting) {
    refuse(call, "no back end had room in time");
    return;
  }
  noteEvidence(*call->Owner, *call, true);
  cutLink(*call);
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
  if (call.Facts.Begun)
    return std::min(call.Due, now + ResumeWait);
  const double part = call.Plan.Urgent ? UrgentPart : PatientPart;
  const auto wait =
      std::chrono::duration_cast<Duration>(call.Plan.Target * part);
  return std::max(now, std::min(call.Due, call.Arrived + wait));
}

/// Learns from the events that have come how fast the back end is.
void measurePace(RequestLoop &rl, const Call &call, StreamState &st) {
  if (st.Events - st.MarkEvents < PaceEvents)
    return;
  if (BackendState *b = backendOf(rl, call))
    notePace(*b, st.LastAt - st.MarkAt, st.Events - st.MarkEvents);
  st.MarkAt = st.LastAt;
  st.MarkEvents = st.Events;
}

void logAttemptEnd(RequestLoop &rl, const Call &call, AttemptEnd end,
                   std::string_view why, bool again) {
  countAttempt(rl.Metrics, toString(end));
  if (!rl.Log.wantsCalls())
    return;
  const BackendState *b = backendOf(rl, call);
  EventLine line = eventLine("attempt_end");
  add(line, "call", call.Id);
  add(line, "backend", b ? b->Info.Name : std::string_view("gone"));
  add(line, "result", toString(end));
  add(line, "why", why);
  add(line, "again", std::int64_t{again ? 1 : 0});
  add(line, "sent", std::int64_t{call.Facts.Sent});
  add(line, "most", std::int64_t{call.Facts.MostAttempts});
  add(line, "left_ms", call.Due - rl.Lp.Now);
  rl.Log.write(line);
}

/// What of the retry budget is this front's.
RetryAllowance ownRetries(RequestLoop &rl) {
  const ReadGuard guard;
  return partOf(rl.Settings.Retries, rl.Board.Shares.read(guard).Processes);
}

/// Takes one more attempt from the limits, if they allow it.
bool takeAgain(RequestLoop &rl, const Call &call, AttemptEnd end) {
  if (!call.From || !mayTryAgain(call.Facts, end))
    return false;
  if (end == AttemptEnd::NotSent)
    return true;
  return takeRepeat(rl.Pools[call.Plan.Pool].Retries, ownRetries(rl),
                    rl.Lp.Now);
}

/// Whether a back end's failure may reach the caller with its own status: those
/// below would promise that the call hasn't run.
bool promisesNotRun(int status) noexcept {
  constexpr std::array<int, 4> Promises = {408, 421, 429, 503};
  return std::find(Promises.begin(), Promises.end(), status) != Promises.end();
}

void passFailure(const std::shared_ptr<Call> &call, const MessageHead &head,
                 std::string_view body) {
  if (promisesNotRun(head.Status) || call->Facts.Begun) {
    endOwn(call, CallEnd::Unknown, 502, "back end failed");
    return;
  }
  Caller *from = call->From;
  if (from)
    answerWhole(*from, head, body, call->Head.Method);
  endCall(call, CallEnd::BackendFailed, head.Status, "back end failed");
  if (from)
    callerDone(*from);
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
    place(call);
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

void startCall(Caller &c, MessageHead head, std::string body) {
  RequestLoop &rl = *c.Owner;
  auto call = std::make_shared<Call>();
  call->Owner = &rl;
  call->Head = std::move(head);
  call->Body = std::move(body);
  call->Id = findField(call->Head.Fields, rl.Names.CallId).value_or("");
  call->Draw = nextRandom(rl.Random);
  call->Arrived = rl.Lp.Now;
  call->From = &c;
  call->Timer.Fn = onDue;
  call->Timer.Ctx = call.get();
  call->Work = workOf(*call, rl.Names);
  c.Active = call;
  ++rl.Active;
  std::optional<Denial> no = routeCall(rl, *call);
  if (!no)
    no = chargeCall(rl, *call);
  if (no) {
    endOwn(call, CallEnd::Refused, no->Status, no->Why, no->RetryAfter);
    return;
  }
  call->Due = call->Arrived + call->Plan.Timeout;
  const auto left = findField(call->Head.Fields, rl.Names.TimeLeft);
  if (const auto ms = left ? numberOf(*left) : std::nullopt)
    call->Due =
        std::min(call->Due, call->Arrived + std::chrono::milliseconds(*ms));
  noteCall(rl.Pools[call->Plan.Pool].Retries, rl.Settings.Retries, rl.Lp.Now);
  place(call);
}

void place(const std::shared_ptr<Call> &call) {
  RequestLoop &rl = *call->Owner;
  call->Phase = CallPhase::Waiting;
  if (call->Plan.Version !=
      rl.Board.PlanVersion.load(std::memory_order_acquire)) {
    if (const auto no = routeCall(rl, *call)) {
      if (call->Facts.Begun)
        breakOff(call, no->Why);
      else if (call->Facts.MayHaveRun)
        refuse(call, no->Why);
      else
        endOwn(call, CallEnd::Refused, no->Status, no->Why, no->RetryAfter);
      return;
    }
  }
  BackendState *to = pickBackend(rl, *call);
  if (!to) {
    enqueue(rl, *call);
    arm(rl.Lp, call->Timer, queueDue(*call, rl.Lp.Now));
    return;
  }
  call->At = to->Info.Id;
  call->Tried.push_back(call->At);
  if (!sendCall(rl, call, *to)) {
    refuse(call, "no socket left");
    return;
  }
  call->Phase = CallPhase::Sent;
  ++call->Facts.Sent;
  arm(rl.Lp, call->Timer, call->Due);
}

bool couldRepeat(RequestLoop &rl, const Call &call) {
  return call.From && rl.Lp.Now < call.Due &&
         mayTryAgain(call.Facts, AttemptEnd::Lost) &&
         fitsRepeat(rl.Pools[call.Plan.Pool].Retries, ownRetries(rl),
                    rl.Lp.Now);
}

void onCallerGone(const std::shared_ptr<Call> &call) {
  call->From = nullptr;
  if (call->Phase == CallPhase::Over)
    return;
  // What may not be repeated is left to finish: cutting it off would leave its
  // outcome open.
  if (call->Phase == CallPhase::Sent && call->Facts.Kind == CallKind::Unsafe)
    return;
  cutLink(*call);
  endCall(call, CallEnd::CallerLeft, 0, "caller left");
}

void onAttemptEnd(const std::shared_ptr<Call> &call, AttemptEnd end,
                  std::string_view why) {
  RequestLoop &rl = *call->Owner;
  if (call->Phase == CallPhase::Over)
    return;
  CallFacts &facts = call->Facts;
  if (end == AttemptEnd::Lost) {
    facts.MayHaveRun = true;
    noteEvidence(rl, *call, true);
  }
  if (end == AttemptEnd::NotSent) {
    --facts.Sent;
    ++facts.Unreached;
  }
  facts.TimeLeft = rl.Lp.Now < call->Due;
  call->Stream.Tail.clear();
  call->Stream.MarkEvents = call->Stream.Events;
  call->Stream.MarkAt = rl.Lp.Now;
  const bool again = takeAgain(rl, *call, end);
  logAttemptEnd(rl, *call, end, why, again);
  if (!call->From) {
    endCall(call, CallEnd::CallerLeft, 0, why);
    return;
  }
  switch (nextStep(facts, end, again)) {
  case NextStep::Again:
    place(call);
    break;
  case NextStep::Refuse:
    refuse(call, why);
    break;
  case NextStep::BreakOff:
    breakOff(call, why);
    break;
  case NextStep::PassOn:
  case NextStep::GiveUp:
    endOwn(call, CallEnd::Unknown, 502, why);
    break;
  }
}

void onWholeAnswer(const std::shared_ptr<Call> &call, const MessageHead &head,
                   std::string_view body) {
  RequestLoop &rl = *call->Owner;
  BackendState *b = backendOf(rl, *call);
  if (findField(head.Fields, rl.Names.NotRun) || head.Status == 421) {
    if (b && head.Status == 421)
      b->WrongLife = true;
    onAttemptEnd(call, AttemptEnd::NotRun, std::to_string(head.Status));
    pump(rl, call->Plan.Pool);
    return;
  }
  const bool good = head.Status / 100 == 2;
  const bool sound = !good || (findField(head.Fields, rl.Names.Seal) &&
                               !findField(head.Fields, "Content-Encoding"));
  const bool failed = head.Status >= 500 || promisesNotRun(head.Status);
  noteEvidence(rl, *call, failed || !sound);
  if (b) {
    noteAnswer(rl, *b, failed || !sound);
    if (call->Facts.Kind != CallKind::Stream)
      notePace(*b, rl.Lp.Now - call->SentAt, 1);
  }
  if (!sound) {
    onAttemptEnd(call, AttemptEnd::Lost, "answer without its proof");
  } else if (call->Facts.Begun && !failed) {
    onAttemptEnd(call, AttemptEnd::Lost, "answer is no stream");
  } else if (failed && call->Phase != CallPhase::Over) {
    onFailure(call, head, body);
  } else {
    countAttempt(rl.Metrics, "answered");
    Caller *from = call->From;
    if (from) {
      answerWhole(*from, head, body, call->Head.Method);
      timeFirst(rl.Metrics, call->Facts.Kind, rl.Lp.Now - call->Arrived);
    }
    endCall(call, good ? CallEnd::Served : CallEnd::BackendFailed, head.Status,
            good ? "" : "back end's own answer");
    if (from)
      callerDone(*from);
  }
  pump(rl, call->Plan.Pool);
}

bool onEvents(const std::shared_ptr<Call> &call, const MessageHead &head,
              std::string_view part) {
  RequestLoop &rl = *call->Owner;
  StreamState &st = call->Stream;
  st.Tail.append(part);
  const EventCut cut = cutEvents(st.Tail);
  if (cut.Bytes == 0 || !call->From)
    return true;
  if (st.LastId && cut.FirstId && *cut.FirstId <= *st.LastId)
    return false;
  const std::string_view whole = std::string_view(st.Tail).substr(0, cut.Bytes);
  if (call->Facts.Begun) {
    answerEvents(*call->From, whole);
    st.LongestGap = std::max(st.LongestGap, rl.Lp.Now - st.LastAt);
  } else {
    answerStream(*call->From, head, whole);
    call->Facts.Begun = true;
    st.FirstAt = rl.Lp.Now;
    timeFirst(rl.Metrics, CallKind::Stream, rl.Lp.Now - call->Arrived);
    notePrompt(rl, *call);
    st.MarkAt = rl.Lp.Now;
    st.MarkEvents = cut.Count;
  }
  st.LastAt = rl.Lp.Now;
  st.Events += cut.Count;
  measurePace(rl, *call, st);
  if (cut.LastId)
    st.LastId = cut.LastId;
  st.Tail.erase(0, cut.Bytes);
  if (call->Link && waiting(call->From->Ch) > MostBuffered)
    pause(call->Link->Ch, true);
  return true;
}

void onStreamEnd(const std::shared_ptr<Call> &call, const MessageHead &head) {
  RequestLoop &rl = *call->Owner;
  if (BackendState *b = backendOf(rl, *call))
    noteAnswer(rl, *b, false);
  noteEvidence(rl, *call, false);
  countAttempt(rl.Metrics, "answered");
  Caller *from = call->From;
  if (from) {
    if (!call->Facts.Begun)
      answerStream(*from, head, call->Stream.Tail);
    else if (!call->Stream.Tail.empty())
      answerEvents(*from, call->Stream.Tail);
    answerStreamEnd(*from);
  }
  timeGap(rl.Metrics, call->Stream.LongestGap);
  endCall(call, from ? CallEnd::Served : CallEnd::CallerLeft, head.Status, "");
  if (from)
    callerDone(*from);
  pump(rl, call->Plan.Pool);
}

void endCall(const std::shared_ptr<Call> &call, CallEnd end, int status,
             std::string_view why) {
  RequestLoop &rl = *call->Owner;
  if (call->Phase == CallPhase::Over)
    return;
  dequeue(rl, *call);
  call->Phase = CallPhase::Over;
  disarm(rl.Lp, call->Timer);
  --rl.Active;
  if (end == CallEnd::Refused && call->Plan.Cost > 0)
    giveBack(rl.Allowances[call->Plan.Workspace], call->Plan.Cost);
  countCall(rl.Metrics, call->Facts.Kind, toString(end), status);
  timeQueue(rl.Metrics, call->Facts.Kind, call->QueueTime);
  if (!rl.Log.wantsCalls())
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
  add(line, "sent", std::int64_t{call->Facts.Sent});
  add(line, "queue_ms", call->QueueTime);
  add(line, "total_ms", rl.Lp.Now - call->Arrived);
  add(line, "plan", static_cast<std::int64_t>(call->Plan.Version));
  add(line, "proof_ms", bootNow() - fromNanos(rl.Board.PlanProven));
  add(line, "tokens", static_cast<std::int64_t>(call->Work.PromptTokens));
  add(line, "output", static_cast<std::int64_t>(call->Work.OutputTokens));
  if (call->Stream.Events > 0) {
    add(line, "events", std::int64_t{call->Stream.Events});
    add(line, "first_ms", call->Stream.FirstAt - call->Arrived);
    add(line, "gap_ms", call->Stream.LongestGap);
  }
  rl.Log.write(line);
}

} // namespace zinniagauge
