#include "zinniagauge/decide/dispatch.h"

#include "zinniagauge/board/invariant.h"

#include <algorithm>
#include <utility>

namespace zinniagauge {

namespace {

/// How the use of a grant ended.
enum class AttemptEnd : std::uint8_t {
  Unsent,    ///< No byte left.
  NoConnect, ///< Likewise, since the endpoint could not be reached.
  Refused,   ///< The endpoint refused before running it.
  Broken,    ///< It may have run, and gave no whole answer.
  Cancelled, ///< It may have run, and this side ended it.
  Answered,  ///< The answer is whole.
};

bool needsClaim(const Dispatch &d) noexcept {
  return d.Work.Keyed && !d.Work.Admitted.Idempotent && !d.Claimed;
}

/// Whether events of transfer \p id are still of use.
bool isCurrent(const Dispatch &d, TransferId id) noexcept {
  return id == d.Current && (d.Phase == DispatchPhase::Connecting ||
                             d.Phase == DispatchPhase::Answering);
}

/// Whether a byte of the current attempt may have left.
bool isSent(const Dispatch &d) noexcept {
  return d.Phase == DispatchPhase::Answering || d.Current.Resume > 0;
}

bool isStream(const Dispatch &d) noexcept {
  constexpr int Ok = 200;
  return d.Head && d.Head->EventStream && d.Head->Status == Ok;
}

/// Statuses that don't tell whether the endpoint ran the request: overload, and
/// what a gateway says for a server that it lost.
bool isUnsure(int status) noexcept {
  constexpr int TimedOut = 408;
  constexpr int TooMany = 429;
  constexpr int BadGateway = 502;
  constexpr int GatewayTimeout = 504;
  return status == TimedOut || status == TooMany ||
         (status >= BadGateway && status <= GatewayTimeout);
}

Outcome outcomeOf(int status) noexcept {
  constexpr int FirstError = 400;
  if (isUnsure(status))
    return Outcome::Unknown;
  return status < FirstError ? Outcome::Completed : Outcome::Failed;
}

bool isRefusal(const AnswerHead &head) noexcept {
  constexpr int TooMany = 429;
  constexpr int Unavailable = 503;
  return head.SaysNotRun &&
         (head.Status == TooMany || head.Status == Unavailable);
}

bool failedAtEndpoint(const Dispatch &d, AttemptEnd end) noexcept {
  constexpr int FirstServerError = 500;
  if (end == AttemptEnd::Answered)
    return d.Head->Status >= FirstServerError;
  return end == AttemptEnd::Broken || end == AttemptEnd::NoConnect;
}

GrantReturn returnOf(const Dispatch &d, AttemptEnd end, Time now) {
  GrantReturn ret = unused(*d.Held);
  ret.Broken = failedAtEndpoint(d, end);
  ret.Refused = end == AttemptEnd::Refused;
  ret.Cancelled = end == AttemptEnd::Cancelled;
  ret.Dispatched = end != AttemptEnd::Unsent && end != AttemptEnd::NoConnect;
  if (!ret.Dispatched)
    return ret;
  ret.PromptTokens = d.Work.Admitted.PromptTokens;
  ret.OutputTokens = d.OutputTokens;
  ret.CachedTokens = d.CachedTokens;
  ret.FirstToken = d.FirstByteAt.value_or(now) - d.SentAt;
  ret.Total = now - d.SentAt;
  return ret;
}

/// Tells the endpoint's breaker how the attempt went. The time is taken for a
/// unit of work, since requests differ in size a hundredfold.
void noteBreaker(const Dispatch &d, Dispatcher &w, const GrantReturn &ret,
                 AttemptEnd end, Time now) {
  constexpr std::uint32_t FixedUnits = 64;
  if (end == AttemptEnd::Unsent || end == AttemptEnd::Cancelled)
    return noteUnused(w.Breakers, ret.Endpoint);
  const Admission &adm = d.Work.Admitted;
  const bool first = isStream(d);
  const std::int64_t units =
      FixedUnits + adm.PromptTokens + (first ? 0 : adm.OutputTokens);
  EndpointUse use{ret.Endpoint, ret.Broken || ret.Refused, {}};
  if (end == AttemptEnd::Answered)
    use.PerUnit = (first ? ret.FirstToken : ret.Total) / units;
  noteUse(w.Breakers, use, now);
}

/// Returns the grant, if one is held, and notes what the attempt may have done.
void endAttempt(Dispatch &d, Dispatcher &w, AttemptEnd end, Time now,
                DispatchActions &out) {
  if (!d.Held)
    return;
  const GrantReturn ret = returnOf(d, end, now);
  noteBreaker(d, w, ret, end, now);
  out.emplace_back(GiveBack{ret, d.Held->Version});
  d.Refusals += end == AttemptEnd::Refused ? 1 : 0;
  if (ret.Broken || ret.Refused)
    d.Avoid = ret.Endpoint;
  d.MayHaveRun |= end == AttemptEnd::Broken || end == AttemptEnd::Answered ||
                  end == AttemptEnd::Cancelled;
  d.Held.reset();
}

/// Ends the request. The attempt has ended before.
void finish(Dispatch &d, FinishRequest fin, DispatchActions &out) {
  const bool istrue = fin.Result != Outcome::NotRun || d.Sends == d.Refusals;
  if (!check(Invariant::NotRunIsTrue, istrue))
    fin.Result = Outcome::Unknown;
  if (d.ClaimAsked)
    out.emplace_back(RecordOutcome{d.Work.Id, fin.Result});
  d.Phase = DispatchPhase::Done;
  d.Result = fin.Result;
  out.emplace_back(std::move(fin));
}

bool isAtEndpoint(Step at) noexcept {
  return at == Step::Connect || at == Step::Dispatch || at == Step::Answer;
}

/// Ends a request that got no whole answer.
void giveUp(Dispatch &d, Error err, DispatchActions &out) {
  FinishRequest fin;
  fin.Result = d.MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  if (isAtEndpoint(err.At))
    fin.Endpoint = d.Endpoint;
  fin.Err = std::move(err);
  finish(d, std::move(fin), out);
}

/// Asks a scheduler for a grant, under a new attempt number, so that whatever
/// still comes of an earlier one is told apart.
void ask(Dispatch &d, DispatchActions &out) {
  ++d.Current.Attempt.Number;
  d.Current.Resume = 0;
  d.Phase = DispatchPhase::Asking;
  out.emplace_back(AskGrant{d.Current.Attempt, d.Scheduler, d.Avoid});
}

void pause(Dispatch &d, const Dispatcher &w, std::uint32_t n, Time now) {
  d.Phase = DispatchPhase::Pausing;
  d.PauseEnds = now + backoffWait(w.Limits.Pause, n, nextRandom(d.Work.Random));
}

/// Gives a grant back whose end has come, and asks anew: at once after the
/// first one, then after a pause.
void askAnew(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out) {
  endAttempt(d, w, AttemptEnd::Unsent, now, out);
  d.Lapsed = false;
  if (++d.Lapses == 1)
    ask(d, out);
  else
    pause(d, w, d.Lapses, now);
}

/// Gives a grant back since its endpoint does badly. Only once in a request's
/// life: if all endpoints do badly, the request is tried nevertheless.
void decline(Dispatch &d, DispatchActions &out) {
  d.Declined = true;
  d.Avoid = d.Held->Endpoint;
  out.emplace_back(GiveBack{unused(*d.Held), d.Held->Version});
  d.Held.reset();
  ask(d, out);
}

void send(Dispatch &d, const Dispatcher &w, Time now, DispatchActions &out) {
  d.Phase = DispatchPhase::Connecting;
  d.AnswerDue = now + (d.Work.Admitted.Stream ? w.Limits.FirstByte
                                              : w.Limits.WholeAnswer);
  d.Endpoint = d.Held->Endpoint;
  d.Head.reset();
  SendRequest req{d.Current, d.Held->Endpoint, false, {}};
  req.Fresh = !d.Work.Admitted.Idempotent || d.Retries > 0;
  if (d.Current.Resume > 0) {
    req.Fresh = true;
    req.Offset = d.PassedOn;
  } else {
    d.Body.clear();
    d.Mark = {};
    d.FirstByteAt.reset();
  }
  out.emplace_back(req);
}

/// Sends under the grant that is held, or asks for another if it has lapsed.
void sendInTime(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out) {
  if (mayUse(d.Bound, *d.Held, now))
    send(d, w, now, out);
  else
    askAnew(d, w, now, out);
}

/// Tries again after a pause, if the budget and the deadline have room.
bool retry(Dispatch &d, Dispatcher &w, Time now) {
  if (d.CallerGone || d.Retries >= w.Limits.MostRetries)
    return false;
  if (now >= d.Work.Admitted.Deadline || !spendRetry(w.Budget))
    return false;
  ++d.Retries;
  d.Scheduler = 0;
  d.SchedulerLost = false;
  pause(d, w, d.Retries, now);
  return true;
}

bool mayResume(const Dispatch &d, const Dispatcher &w) noexcept {
  return d.Begun && !d.CallerGone && d.Work.Engine &&
         d.Work.Admitted.Idempotent && d.Current.Resume < w.Limits.MostResumes;
}

/// Ends a request whose answer is whole.
void complete(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out) {
  endAttempt(d, w, AttemptEnd::Answered, now, out);
  const int status = d.Head->Status;
  if (d.Work.Admitted.Idempotent && isUnsure(status) && retry(d, w, now))
    return;
  FinishRequest fin;
  fin.Result = outcomeOf(status);
  fin.Whole = true;
  fin.Status = status;
  fin.Body = d.Body;
  if (fin.Result == Outcome::Completed)
    earnRetry(w.Budget);
  finish(d, std::move(fin), out);
}

/// A connection failed before a byte left it.
void failConnect(Dispatch &d, Dispatcher &w, const Error &err, Time now,
                 DispatchActions &out) {
  if (d.Lapsed)
    return askAnew(d, w, now, out);
  endAttempt(d, w, AttemptEnd::NoConnect, now, out);
  if (!retry(d, w, now))
    giveUp(d, err, out);
}

/// An answer broke off, or never came.
void failAnswer(Dispatch &d, Dispatcher &w, const Error &err, Time now,
                DispatchActions &out) {
  if (isStream(d) && d.Mark.Whole)
    return complete(d, w, now, out);
  if (mayResume(d, w)) {
    ++d.Current.Resume;
    return pause(d, w, d.Current.Resume, now);
  }
  endAttempt(d, w, AttemptEnd::Broken, now, out);
  if (d.Begun || !d.Work.Admitted.Idempotent || !retry(d, w, now))
    giveUp(d, err, out);
}

void failTransfer(Dispatch &d, Dispatcher &w, const Error &err, Time now,
                  DispatchActions &out) {
  if (isSent(d))
    failAnswer(d, w, err, now, out);
  else
    failConnect(d, w, err, now, out);
}

/// Stops the current transfer, so that nothing more of it can arrive or leave.
void stopTransfer(Dispatch &d, bool tell, DispatchActions &out) {
  out.emplace_back(CancelAtEndpoint{d.Current, d.Held->Endpoint,
                                    tell && d.Work.Engine && isSent(d)});
}

/// Ends the request wherever it is; an attempt that was sent ends as \p end.
void abandon(Dispatch &d, Dispatcher &w, AttemptEnd end, Error err, Time now,
             DispatchActions &out) {
  if (d.Phase == DispatchPhase::Asking)
    out.emplace_back(CancelTicket{d.Current.Attempt, d.Scheduler});
  const bool sent = d.Held && isSent(d);
  if (d.Phase == DispatchPhase::Connecting ||
      d.Phase == DispatchPhase::Answering || sent)
    stopTransfer(d, true, out);
  endAttempt(d, w, sent ? end : AttemptEnd::Unsent, now, out);
  giveUp(d, std::move(err), out);
}

Step stepOf(const Dispatch &d) noexcept {
  switch (d.Phase) {
  case DispatchPhase::Claiming:
    return Step::Claim;
  case DispatchPhase::Connecting:
    return Step::Connect;
  case DispatchPhase::Answering:
    return Step::Answer;
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
/// one was out of reach: another VM takes its role soon.
void askNext(Dispatch &d, const Dispatcher &w, RefusalReason why, Time now,
             DispatchActions &out) {
  if (++d.Scheduler < d.Work.Schedulers)
    return ask(d, out);
  d.Scheduler = 0;
  if (!std::exchange(d.SchedulerLost, false))
    return giveUp(d, refusalError(why), out);
  pause(d, w, ++d.Rounds, now);
}

/// Takes the head of a resumed stream, which must go on at the byte where the
/// last transfer broke off.
void onResumedHead(Dispatch &d, Dispatcher &w, const AnswerHead &head, Time now,
                   DispatchActions &out) {
  constexpr int Ok = 200;
  constexpr int PartialContent = 206;
  const bool ok = head.Status == Ok || head.Status == PartialContent;
  if (ok && head.EventStream && head.Offset == d.PassedOn) {
    d.Head = head;
    d.Head->Status = Ok;
    return;
  }
  abandon(d, w, AttemptEnd::Broken,
          {ErrorCode::Broken, Step::Answer, {}, "the stream was not resumed"},
          now, out);
}

void onRefusedByEndpoint(Dispatch &d, Dispatcher &w, Time now,
                         DispatchActions &out) {
  stopTransfer(d, false, out);
  endAttempt(d, w, AttemptEnd::Refused, now, out);
  if (!retry(d, w, now))
    giveUp(d,
           {ErrorCode::Overloaded,
            Step::Dispatch,
            {},
            "the endpoint refused before running it"},
           out);
}

void keepPlain(Dispatch &d, Dispatcher &w, std::string_view part, Time now,
               DispatchActions &out) {
  if (d.Body.size() + part.size() <= w.Limits.MostAnswerBytes) {
    d.Body.append(part);
    return;
  }
  abandon(d, w, AttemptEnd::Cancelled,
          {ErrorCode::TooLarge, Step::Answer, {}, "the answer is too large"},
          now, out);
}

void passOn(Dispatch &d, const Dispatcher &w, std::string_view part, Time now,
            DispatchActions &out) {
  if (!std::exchange(d.Begun, true) && !d.CallerGone)
    out.emplace_back(BeginAnswer{d.Head->Status});
  if (!d.CallerGone)
    out.emplace_back(PassOn{part});
  d.PassedOn += part.size();
  scan(d.Mark, part);
  if (d.Mark.Whole)
    d.AnswerDue = std::min(d.AnswerDue, now + w.Limits.EndGrace);
}

void onDeadline(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out) {
  Error err{ErrorCode::TimedOut, stepOf(d), {}, "the deadline has passed"};
  // An endpoint that runs out the deadline is as bad as one that breaks.
  abandon(d, w, AttemptEnd::Broken, std::move(err), now, out);
}

void onSilence(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out) {
  const Error err{
      ErrorCode::TimedOut, stepOf(d), {}, "the connection went silent"};
  stopTransfer(d, true, out);
  failTransfer(d, w, err, now, out);
}

void endPause(Dispatch &d, const Dispatcher &w, Time now,
              DispatchActions &out) {
  if (d.Held)
    send(d, w, now, out);
  else
    ask(d, out);
}

} // namespace

void onArrived(Dispatch &d, Dispatcher & /*w*/, const DispatchWork &work,
               Time /*now*/, DispatchActions &out) {
  if (d.Phase != DispatchPhase::New)
    return;
  d.Work = work;
  d.Current.Attempt.Request = work.Id;
  ask(d, out);
}

void onGrant(Dispatch &d, Dispatcher &w, const Grant &g, const ClockBound &cb,
             Time now, DispatchActions &out) {
  if (d.Held && d.Held->Id == g.Id)
    return;
  if (d.Phase != DispatchPhase::Asking || g.Attempt != d.Current.Attempt) {
    out.emplace_back(GiveBack{unused(g), g.Version});
    return;
  }
  d.Held = g;
  d.Bound = cb;
  if (!mayUse(cb, g, now))
    return askAnew(d, w, now, out);
  if (!d.Declined && !mayTry(w.Breakers, g.Endpoint, now))
    return decline(d, out);
  if (!needsClaim(d))
    return send(d, w, now, out);
  d.Phase = DispatchPhase::Claiming;
  d.ClaimAsked = true;
  out.emplace_back(TakeClaim{d.Work.Id});
}

void onRefused(Dispatch &d, Dispatcher &w, AttemptId id, RefusalReason why,
               Time now, DispatchActions &out) {
  if (d.Phase != DispatchPhase::Asking || id != d.Current.Attempt)
    return;
  d.SchedulerLost |= why == RefusalReason::Stopping;
  askNext(d, w, why, now, out);
}

void onSchedulerLost(Dispatch &d, Dispatcher &w, AttemptId id, Time now,
                     DispatchActions &out) {
  onRefused(d, w, id, RefusalReason::Stopping, now, out);
}

void onClaim(Dispatch &d, Dispatcher &w, const ClaimResult &res, Time now,
             DispatchActions &out) {
  if (d.Phase != DispatchPhase::Claiming)
    return;
  if (res.Status == ClaimStatus::Mine) {
    d.Claimed = true;
    return sendInTime(d, w, now, out);
  }
  endAttempt(d, w, AttemptEnd::Unsent, now, out);
  FinishRequest fin;
  if (res.Status == ClaimStatus::Unreadable) {
    // This call did not run, so its row may go; but an earlier one with the key
    // may have run, and who hears not_run may take a new key.
    out.emplace_back(RecordOutcome{d.Work.Id, Outcome::NotRun});
    d.ClaimAsked = false;
    fin.Result = Outcome::Unknown;
    fin.Err = Error{ErrorCode::Unavailable,
                    Step::Claim,
                    {},
                    "the key can't be claimed now; this call did not run, an "
                    "earlier one may have: repeat it with the same key"};
    return finish(d, std::move(fin), out);
  }
  d.ClaimAsked = false;
  const bool other = res.Status == ClaimStatus::Other;
  fin.Result =
      res.Recorded.value_or(other ? Outcome::Unknown : Outcome::NotRun);
  fin.Err = Error{ErrorCode::Conflict, Step::Claim, {}, {}};
  fin.Err->Detail =
      other ? "another request has this key" : std::string(res.Detail);
  finish(d, std::move(fin), out);
}

bool isReady(const Dispatch &d, TransferId id, Time now) noexcept {
  if (d.Phase != DispatchPhase::Connecting || id != d.Current || d.Lapsed)
    return false;
  return id.Resume > 0 || mayUse(d.Bound, *d.Held, now);
}

void refuseSend(Dispatch &d) noexcept {
  d.Lapsed = d.Phase == DispatchPhase::Connecting && d.Current.Resume == 0;
}

bool maySend(Dispatch &d, const Dispatcher &w, TransferId id,
             Time now) noexcept {
  if (!isReady(d, id, now)) {
    if (id == d.Current)
      refuseSend(d);
    return false;
  }
  const bool first = id.Resume == 0;
  if (first &&
      !check(Invariant::OneDispatchPerAttempt, id.Attempt.Number > d.LastSent))
    return false;
  if (first && !check(Invariant::GrantInTime, mayUse(d.Bound, *d.Held, now)))
    return false;
  d.Phase = DispatchPhase::Answering;
  d.LastSent = id.Attempt.Number;
  if (first) {
    ++d.Sends;
    d.SentAt = now;
  }
  d.AnswerDue = now + (d.Work.Admitted.Stream ? w.Limits.FirstByte
                                              : w.Limits.WholeAnswer);
  return true;
}

void onHead(Dispatch &d, Dispatcher &w, TransferId id, const AnswerHead &head,
            Time now, DispatchActions &out) {
  if (id != d.Current || d.Phase != DispatchPhase::Answering || d.Head)
    return;
  if (!d.FirstByteAt)
    d.FirstByteAt = now;
  d.AnswerDue = now + w.Limits.Idle;
  if (id.Resume > 0)
    return onResumedHead(d, w, head, now, out);
  if (isRefusal(head))
    return onRefusedByEndpoint(d, w, now, out);
  d.Head = head;
}

void onPart(Dispatch &d, Dispatcher &w, TransferId id, std::string_view part,
            Time now, DispatchActions &out) {
  if (id != d.Current || d.Phase != DispatchPhase::Answering || !d.Head ||
      part.empty())
    return;
  d.AnswerDue = now + w.Limits.Idle;
  if (isStream(d))
    passOn(d, w, part, now, out);
  else
    keepPlain(d, w, part, now, out);
}

void onEnd(Dispatch &d, Dispatcher &w, TransferId id, bool whole, Time now,
           DispatchActions &out) {
  if (id != d.Current || d.Phase != DispatchPhase::Answering)
    return;
  const bool marked = !isStream(d) || d.Mark.Whole;
  if (d.Head && whole && marked)
    return complete(d, w, now, out);
  failAnswer(d, w,
             {ErrorCode::Broken, Step::Answer, {}, "the answer was cut short"},
             now, out);
}

void onBroken(Dispatch &d, Dispatcher &w, TransferId id, const Error &err,
              Time now, DispatchActions &out) {
  if (isCurrent(d, id))
    failTransfer(d, w, err, now, out);
}

void onCallerGone(Dispatch &d, Dispatcher &w, Time now, DispatchActions &out) {
  if (d.Phase == DispatchPhase::Done || d.Phase == DispatchPhase::New)
    return;
  d.CallerGone = true;
  const bool cancels = d.Work.Engine || d.Work.Admitted.Idempotent;
  if (d.Phase == DispatchPhase::Answering && !cancels)
    return; // It runs to its end, so that its claim tells how it ended.
  abandon(d, w, AttemptEnd::Cancelled,
          {ErrorCode::Gone, Step::Reply, {}, "the caller has left"}, now, out);
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
  if (!d.Begun && now >= d.Work.Admitted.Deadline)
    return onDeadline(d, w, now, out);
  if (d.Phase == DispatchPhase::Pausing)
    return endPause(d, w, now, out);
  onSilence(d, w, now, out);
}

Time dueAt(const Dispatch &d) noexcept {
  if (d.Phase == DispatchPhase::Done || d.Phase == DispatchPhase::New)
    return Time::max();
  const Time end = d.Begun ? Time::max() : d.Work.Admitted.Deadline;
  if (d.Phase == DispatchPhase::Pausing)
    return std::min(end, d.PauseEnds);
  if (d.Phase == DispatchPhase::Connecting ||
      d.Phase == DispatchPhase::Answering)
    return std::min(end, d.AnswerDue);
  return end;
}

GrantReturn unused(const Grant &g) noexcept {
  GrantReturn ret;
  ret.Id = g.Id;
  ret.Attempt = g.Attempt;
  ret.Endpoint = g.Endpoint;
  return ret;
}

} // namespace zinniagauge
