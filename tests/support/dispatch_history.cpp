// Implements random histories of requests and checks their invariants.
#include "support/dispatch_history.h"

#include "support/claim_table.h"

#include "zinniagauge/decide/claim.h"
#include "zinniagauge/decide/dispatch.h"
#include "zinniagauge/decide/issued_ticket.h"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace zinniagauge::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t VmCount = 3;
constexpr std::size_t KeyCount = 4;
constexpr std::size_t EndpointCount = 3;
constexpr std::size_t MaxLiveCalls = 4;
constexpr std::uint64_t SchedulerId = 1000;
constexpr Duration GrantTtl = seconds(2);

/// One request as its process holds it.
struct Call {
  Dispatch State;
  std::size_t Key = 0; // Idempotency key in the table; zero: none.
  std::optional<IssuedTicket> Ticket;
  std::string ReceivedBytes;
};

/// What the test records of a request, independently of its process.
struct RequestRecord {
  std::string OnceKey; // May run at most once; empty: idempotent.
  bool Stream = false;
  std::uint64_t Runs = 0;
  std::optional<Outcome> ReportedOutcome;
  bool HeldByOther = false; // Another request holds its key.
};

struct Vm {
  std::uint64_t Number = 0;
  std::uint64_t Incarnation = 1;
  Duration ClockAhead = Duration::zero(); // Relative to Now.
  Dispatcher Worker;
  Claims Claiming;
  TicketStore Tickets;
  std::map<RequestId, std::unique_ptr<Call>> Calls;
  bool Frozen = false;
  std::deque<std::function<void()>> Inbox; // Events that wait until thaw().
  std::optional<ClaimBatch> PendingBatch;
};

/// A transfer on the network, between a process and an endpoint.
struct WireTransfer {
  TransferId Id;
  std::size_t Vm = 0;
  std::uint64_t Incarnation = 0;
  std::optional<std::uint64_t> Offset;
  bool Sent = false;    // The first byte has been sent.
  bool Arrived = false; // The endpoint has the request.
  bool HeadSent = false;
  ResponseHead Head;
  std::string RemainingBody; // Not yet delivered.
};

/// A ticket that waits at the scheduler.
struct PendingTicket {
  AttemptId Attempt;
  std::size_t Vm = 0;
  std::uint64_t Incarnation = 0;
};

/// A table transaction that takes effect after a delay.
struct DelayedBatch {
  Time At;
  ClaimBatch Batch;
};

class History {
public:
  History(const ChoiceFn &choose, HistoryCounts &counts);

  void stepOnce();
  void finishAll();
  [[nodiscard]] const std::string &fault() const noexcept { return Fault; }

private:
  std::size_t pick(std::size_t n) { return choose() % n; }
  std::uint64_t choose() { return Choose(); }
  void reportFault(const std::string &what);

  [[nodiscard]] Time clockOf(const Vm &vm) const { return Now + vm.ClockAhead; }
  void post(std::size_t vm, std::function<void()> event);
  void postCall(std::size_t vm, std::uint64_t incarnation, RequestId id,
                std::function<void(Vm &, Call &, DispatchActions &)> event);

  void startRequest();
  void answerTicket();
  void issueGrant(const PendingTicket &t);
  void connect();
  void failTransfer();
  void arriveAtEndpoint();
  void deliverResponse();
  void misdeliverResponse();
  void stepTable();
  void passTime();
  void freeze();
  void thaw(std::size_t n);
  void kill();
  void disconnectCaller();
  void restartVm(Vm &vm);

  void serveTransfer(WireTransfer &w);
  void resumeTransfer(WireTransfer &w);
  void deliverPart(WireTransfer &w, bool breaks);
  WireTransfer *
  pickTransfer(const std::function<bool(const WireTransfer &)> &fits);

  void carryOut(Vm &vm, Call &c, DispatchActions out);
  void carryOutOne(Vm &vm, Call &c, const DispatchAction &a,
                   DispatchActions &more);
  void finish(Call &c, const FinishRequest &a);
  void checkReceived(const Call &c, const RequestRecord &record, bool whole);
  void applyClaimActions(Vm &vm, const ClaimActions &out);
  void stepVm(std::size_t n);
  void stepVms();
  void checkFinalState();

  const ChoiceFn &Choose;
  HistoryCounts &Counts;
  std::string Fault;
  Time Now{std::chrono::hours(1)};
  Duration SchedulerAhead = seconds(77);
  std::array<Vm, VmCount> Vms;
  std::vector<WireTransfer> Transfers;
  std::vector<PendingTicket> Tickets;
  std::vector<IssuedTicket> IssuedTickets;
  std::map<RequestId, RequestRecord> Records;
  std::map<std::string, std::uint64_t> RunsOf; // By OnceKey.
  std::map<GrantId, int> GrantBalance;         // Issued minus returned.
  std::set<std::uint64_t> DeadGrants;
  std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> GrantVm;
  ClaimTable Table;
  std::vector<DelayedBatch> DelayedBatches;
  bool NoMoreFaults = false; // Set by finishAll().
  std::uint64_t LastRequest = 0;
  std::uint64_t LastGrant = 0;
};

std::string plainText(AttemptId id) {
  return "answer to " + toString(id.Request) + " try " +
         std::to_string(id.Number);
}

std::string responseText(AttemptId id, bool stream) {
  if (!stream)
    return plainText(id);
  return "data: " + plainText(id) + "\n\ndata: more\n\ndata: [DONE]\n\n";
}

History::History(const ChoiceFn &choose, HistoryCounts &counts)
    : Choose(choose), Counts(counts) {
  for (std::size_t n = 0; n < VmCount; ++n) {
    Vms[n].Number = n + 1;
    Vms[n].ClockAhead = seconds(31 * n);
    Vms[n].Incarnation = 0;
    restartVm(Vms[n]);
  }
}

void History::restartVm(Vm &vm) {
  Vm next;
  next.Number = vm.Number;
  next.Incarnation = vm.Incarnation + 1;
  next.ClockAhead = vm.ClockAhead + milliseconds(1);
  next.Claiming.Self = next.Tickets.Vm = VmId{vm.Number};
  next.Claiming.Incarnation = next.Tickets.Incarnation = next.Incarnation;
  next.Worker.Limits.FirstByteTimeout = seconds(3);
  next.Worker.Limits.PlainHeadTimeout = seconds(5);
  next.Worker.Limits.IdleTimeout = seconds(2);
  vm = std::move(next);
}

void History::reportFault(const std::string &what) {
  if (Fault.empty())
    Fault = what;
}

void History::post(std::size_t vm, std::function<void()> event) {
  if (Vms[vm].Frozen)
    Vms[vm].Inbox.push_back(std::move(event));
  else
    event();
}

void History::postCall(
    std::size_t vm, std::uint64_t incarnation, RequestId id,
    std::function<void(Vm &, Call &, DispatchActions &)> event) {
  post(vm, [this, vm, incarnation, id, event = std::move(event)] {
    Vm &v = Vms[vm];
    const auto it = v.Calls.find(id);
    if (v.Incarnation != incarnation || it == v.Calls.end())
      return;
    DispatchActions out;
    event(v, *it->second, out);
    carryOut(v, *it->second, std::move(out));
  });
}

void History::stepOnce() {
  using Step = void (History::*)();
  // The steps that let requests proceed are listed several times so that they
  // are chosen more often.
  static constexpr std::array<Step, 24> Steps = {
      &History::startRequest,     &History::startRequest,
      &History::answerTicket,     &History::answerTicket,
      &History::connect,          &History::connect,
      &History::arriveAtEndpoint, &History::arriveAtEndpoint,
      &History::deliverResponse,  &History::deliverResponse,
      &History::deliverResponse,  &History::deliverResponse,
      &History::stepTable,        &History::stepTable,
      &History::stepTable,        &History::passTime,
      &History::passTime,         &History::passTime,
      &History::freeze,           &History::kill,
      &History::failTransfer,     &History::misdeliverResponse,
      &History::disconnectCaller, &History::answerTicket};
  (this->*Steps[pick(Steps.size())])();
  stepVms();
}

void History::startRequest() {
  const std::size_t n = pick(VmCount);
  Vm &vm = Vms[n];
  if (vm.Frozen || vm.Calls.size() >= MaxLiveCalls)
    return;
  auto owned = std::make_unique<Call>();
  Call &c = *owned;
  DispatchSpec spec;
  spec.Id = {vm.Number, ++LastRequest};
  RequestRecord &record = Records[spec.Id];
  const std::size_t kind = pick(6);
  spec.Admitted.Idempotent = kind == 0 || kind == 1;
  spec.Admitted.Stream = record.Stream = pick(2) == 0;
  spec.IsEngine = spec.Admitted.Stream;
  spec.SchedulerCount = 2;
  spec.RandomState = choose();
  spec.Admitted.Deadline = clockOf(vm) + seconds(5 + pick(20));
  if (kind == 2)
    record.OnceKey = toString(spec.Id);
  if (kind == 3 || kind == 4) {
    c.Key = 1 + pick(KeyCount);
    record.OnceKey = "key " + std::to_string(c.Key);
  }
  if (kind == 5) {
    if (IssuedTickets.empty() || pick(2) == 0)
      IssuedTickets.push_back(issue(vm.Tickets, choose()));
    c.Ticket = IssuedTickets[pick(IssuedTickets.size())];
    record.OnceKey = toString(*c.Ticket);
  }
  spec.HasKey = c.Key != 0 || c.Ticket;
  ++Counts.Requests;
  vm.Calls.emplace(spec.Id, std::move(owned));
  DispatchActions out;
  onAdmitted(c.State, vm.Worker, spec, clockOf(vm), out);
  carryOut(vm, c, std::move(out));
}

void History::issueGrant(const PendingTicket &t) {
  Grant g;
  g.Id = {VmId{SchedulerId}, 1, ++LastGrant};
  g.Attempt = t.Attempt;
  g.Endpoint = EndpointId{1 + pick(EndpointCount)};
  const Duration age =
      NoMoreFaults ? Duration::zero() : milliseconds(300 * pick(8));
  g.IssuedAt = Now + SchedulerAhead - age;
  g.Ttl = GrantTtl;
  ++GrantBalance[g.Id];
  GrantVm[LastGrant] = {t.Vm, t.Incarnation};
  const Duration pingage = milliseconds(pick(1000));
  ClockBound cb{g.Id.Scheduler, 1, Now + SchedulerAhead - pingage,
                clockOf(Vms[t.Vm]) - pingage - milliseconds(pick(5)), true};
  const std::size_t n = t.Vm;
  post(n, [this, n, t, g, cb] {
    Vm &vm = Vms[n];
    const auto it = vm.Calls.find(t.Attempt.Request);
    if (vm.Incarnation != t.Incarnation || it == vm.Calls.end()) {
      // The process no longer has the request and returns the grant unused.
      --GrantBalance[g.Id];
      return;
    }
    DispatchActions out;
    onGrant(it->second->State, vm.Worker, g, cb, clockOf(vm), out);
    carryOut(vm, *it->second, std::move(out));
  });
}

void History::answerTicket() {
  if (Tickets.empty())
    return;
  const std::size_t n = pick(Tickets.size());
  const PendingTicket t = Tickets[n];
  constexpr std::size_t Refuses = 13;
  constexpr std::size_t Lost = 14;
  constexpr std::size_t Doubled = 15;
  const std::size_t what = NoMoreFaults ? 0 : pick(16);
  // The ticket stays in the list in this case, so that it is granted twice, as
  // by a second scheduler.
  if (what != Doubled)
    Tickets.erase(Tickets.begin() + static_cast<std::ptrdiff_t>(n));
  if (what != Refuses && what != Lost) {
    issueGrant(t);
    return;
  }
  const auto why =
      what == 5 ? static_cast<RefusalReason>(pick(4)) : RefusalReason::Stopping;
  postCall(t.Vm, t.Incarnation, t.Attempt.Request,
           [this, t, why](Vm &vm, Call &c, DispatchActions &out) {
             onTicketRefused(c.State, vm.Worker, t.Attempt, why, clockOf(vm),
                             out);
           });
}

WireTransfer *
History::pickTransfer(const std::function<bool(const WireTransfer &)> &fits) {
  std::vector<WireTransfer *> found;
  for (WireTransfer &w : Transfers)
    if (fits(w))
      found.push_back(&w);
  return found.empty() ? nullptr : found[pick(found.size())];
}

void History::connect() {
  WireTransfer *w =
      pickTransfer([](const WireTransfer &it) { return !it.Sent; });
  if (!w)
    return;
  const TransferId id = w->Id;
  postCall(w->Vm, w->Incarnation, id.Attempt.Request,
           [this, id](Vm &vm, Call &c, DispatchActions &out) {
             const auto it = std::find_if(
                 Transfers.begin(), Transfers.end(),
                 [&](const WireTransfer &x) { return x.Id == id && !x.Sent; });
             if (it == Transfers.end())
               return;
             const std::optional<Grant> held = c.State.ActiveGrant;
             if (tryBeginSend(c.State, vm.Worker, id, clockOf(vm))) {
               it->Sent = true;
               const Time end = held->IssuedAt + held->Ttl;
               if (id.ResumeNumber == 0 && Now + SchedulerAhead >= end)
                 reportFault("a grant was used after its expiry");
               return;
             }
             Transfers.erase(it);
             Counts.ExpiredGrants += c.State.GrantExpired ? 1 : 0;
             onTransferFailed(
                 c.State, vm.Worker, id,
                 {ErrorCode::Broken, Step::Connect, {}, "not sent"},
                 clockOf(vm), out);
           });
}

void History::failTransfer() {
  WireTransfer *w = pickTransfer([](const WireTransfer &) { return true; });
  if (!w)
    return;
  const WireTransfer failed = *w;
  // A request that has been sent may still arrive, but its response
  // is lost.
  if (!w->Sent)
    std::erase_if(Transfers,
                  [&](const WireTransfer &x) { return x.Id == failed.Id; });
  postCall(failed.Vm, failed.Incarnation, failed.Id.Attempt.Request,
           [this, failed](Vm &vm, Call &c, DispatchActions &out) {
             onTransferFailed(
                 c.State, vm.Worker, failed.Id,
                 {ErrorCode::Broken, Step::ReadResponse, {}, "reset"},
                 clockOf(vm), out);
           });
}

void History::arriveAtEndpoint() {
  WireTransfer *w = pickTransfer(
      [](const WireTransfer &it) { return it.Sent && !it.Arrived; });
  if (!w)
    return;
  w->Arrived = true;
  if (w->Offset)
    resumeTransfer(*w);
  else
    serveTransfer(*w);
}

/// The endpoint refuses the request, fails it or runs it.
void History::serveTransfer(WireTransfer &w) {
  constexpr int Ok = 200;
  constexpr int Busy = 503;
  constexpr int Error = 500;
  RequestRecord &record = Records[w.Id.Attempt.Request];
  const std::size_t what = NoMoreFaults ? 7 : pick(8);
  w.Head.Status = what <= 2 ? Busy : Ok;
  w.Head.NotRun = what <= 1;
  w.RemainingBody = "busy";
  if (what <= 2)
    return;
  ++record.Runs;
  ++Counts.Runs;
  if (!record.OnceKey.empty() && ++RunsOf[record.OnceKey] > 1)
    reportFault("more than one run of " + record.OnceKey);
  w.Head.Status = what == 3 ? Error : Ok;
  w.Head.IsEventStream = record.Stream && what != 3;
  w.RemainingBody = responseText(w.Id.Attempt, w.Head.IsEventStream);
}

/// The engine resumes a stream at its offset, or answers 404 as if the stream
/// were unknown.
void History::resumeTransfer(WireTransfer &w) {
  constexpr int Partial = 206;
  constexpr int Unknown = 404;
  ++Counts.Resumes;
  const std::string whole = responseText(w.Id.Attempt, true);
  w.Head.Status = Unknown;
  if (!NoMoreFaults && pick(4) == 0)
    return;
  w.Head.Status = Partial;
  w.Head.IsEventStream = true;
  w.Head.ResumeOffset = *w.Offset;
  w.RemainingBody =
      whole.substr(std::min<std::size_t>(*w.Offset, whole.size()));
}

/// Delivers the next part of a response to the process: first its head, then
/// random amounts of its body. With \p breaks the connection ends after it.
void History::deliverPart(WireTransfer &w, bool breaks) {
  // A proxy may also end a stream early in an orderly way.
  const bool early = breaks && w.Head.IsEventStream && pick(2) == 0;
  const TransferId id = w.Id;
  const ResponseHead head = w.Head;
  const bool sendhead = !std::exchange(w.HeadSent, true);
  const std::size_t most =
      w.RemainingBody.size() > 40 ? 1 + pick(40) : w.RemainingBody.size();
  const std::string part = sendhead ? "" : w.RemainingBody.substr(0, most);
  const bool ends = !sendhead && part.size() == w.RemainingBody.size();
  if (!sendhead)
    w.RemainingBody.erase(0, most);
  const std::size_t n = w.Vm;
  const std::uint64_t inc = w.Incarnation;
  if (breaks || ends)
    std::erase_if(Transfers, [&](const WireTransfer &x) { return x.Id == id; });
  postCall(n, inc, id.Attempt.Request,
           [this, id, head, sendhead, part, early, breaks,
            ends](Vm &vm, Call &c, DispatchActions &out) {
             const Time now = clockOf(vm);
             if (sendhead)
               onResponseHead(c.State, vm.Worker, id, head, now, out);
             onResponseBody(c.State, vm.Worker, id, part, now, out);
             if (breaks || ends)
               onResponseEnd(c.State, vm.Worker, id, early || !breaks, now,
                             out);
           });
}

void History::deliverResponse() {
  WireTransfer *w =
      pickTransfer([](const WireTransfer &it) { return it.Arrived; });
  if (w)
    deliverPart(*w, !NoMoreFaults && pick(16) == 0);
}

/// Delivers the response of one transfer to the request of another, which must
/// ignore it.
void History::misdeliverResponse() {
  WireTransfer *from =
      pickTransfer([](const WireTransfer &it) { return it.Arrived; });
  WireTransfer *to = pickTransfer([](const WireTransfer &) { return true; });
  if (!from || !to || from == to)
    return;
  const TransferId id = from->Id;
  const ResponseHead head = from->Head;
  const std::string part = from->RemainingBody;
  postCall(
      to->Vm, to->Incarnation, to->Id.Attempt.Request,
      [this, id, head, part](Vm &vm, Call &c, DispatchActions &out) {
        if (c.State.Spec.Id == id.Attempt.Request)
          return; // deliverResponse() covers a request's own late response.
        const Time now = clockOf(vm);
        onResponseHead(c.State, vm.Worker, id, head, now, out);
        onResponseBody(c.State, vm.Worker, id, part, now, out);
        onResponseEnd(c.State, vm.Worker, id, true, now, out);
      });
}

void History::stepTable() {
  const std::size_t n = pick(VmCount);
  Vm &vm = Vms[n];
  if (!vm.PendingBatch)
    return;
  const ClaimBatch batch = *std::exchange(vm.PendingBatch, std::nullopt);
  ClaimBatchResult ans{batch.Number, BatchStatus::Undetermined, {}};
  const std::size_t what = NoMoreFaults ? 0 : pick(8);
  if (what <= 4)
    ans.Results = apply(Table, batch);
  if (what <= 3)
    ans.Status = BatchStatus::Completed;
  if (what == 5)
    ans.Status = BatchStatus::NotApplied;
  if (what == 6)
    DelayedBatches.push_back({Now + milliseconds(300 * pick(20)), batch});
  Counts.LostClaimResponses += what == 4 || what >= 6 ? 1 : 0;
  const std::uint64_t inc = vm.Incarnation;
  post(n, [this, n, inc, ans] {
    if (Vms[n].Incarnation != inc)
      return;
    ClaimActions out;
    onBatchResult(Vms[n].Claiming, ans, clockOf(Vms[n]), out);
    applyClaimActions(Vms[n], out);
  });
}

void History::passTime() {
  static constexpr std::array<int, 8> Ms = {1, 1, 1, 5, 5, 20, 60, 400};
  const bool longer = pick(24) == 0;
  Now += longer ? milliseconds(2500 * (1 + pick(3)))
                : milliseconds(Ms[pick(Ms.size())]);
  std::vector<DelayedBatch> due;
  for (const DelayedBatch &it : DelayedBatches)
    if (it.At <= Now)
      due.push_back(it);
  std::erase_if(DelayedBatches,
                [&](const DelayedBatch &it) { return it.At <= Now; });
  for (const DelayedBatch &it : due)
    static_cast<void>(apply(Table, it.Batch));
}

void History::freeze() {
  const std::size_t n = pick(VmCount);
  if (Vms[n].Frozen)
    thaw(n);
  else
    Vms[n].Frozen = pick(4) == 0;
}

void History::thaw(std::size_t n) {
  Vm &vm = Vms[n];
  vm.Frozen = false;
  // The events that waited may be handled before or after the timers.
  if (pick(2) == 0)
    stepVm(n);
  while (!vm.Inbox.empty()) {
    const auto event = std::move(vm.Inbox.front());
    vm.Inbox.pop_front();
    event();
  }
}

void History::kill() {
  if (pick(8) != 0)
    return;
  Vm &vm = Vms[pick(VmCount)];
  ++Counts.Kills;
  if (vm.PendingBatch && pick(2) == 0)
    static_cast<void>(apply(Table, *vm.PendingBatch));
  restartVm(vm);
}

void History::disconnectCaller() {
  const std::size_t n = pick(VmCount);
  Vm &vm = Vms[n];
  if (vm.Calls.empty() || pick(6) != 0)
    return;
  auto it = vm.Calls.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(pick(vm.Calls.size())));
  postCall(n, vm.Incarnation, it->first,
           [this](Vm &v, Call &c, DispatchActions &out) {
             onCallerDisconnected(c.State, v.Worker, clockOf(v), out);
           });
}

void History::carryOut(Vm &vm, Call &c, DispatchActions out) {
  DispatchActions more;
  while (!out.empty()) {
    for (const DispatchAction &a : out)
      carryOutOne(vm, c, a, more);
    out = std::exchange(more, {});
  }
  if (c.State.Phase == DispatchPhase::Done)
    vm.Calls.erase(c.State.Spec.Id);
}

void History::carryOutOne(Vm &vm, Call &c, const DispatchAction &a,
                          DispatchActions &more) {
  const std::size_t n = vm.Number - 1;
  const RequestId id = c.State.Spec.Id;
  if (const auto *grantreq = std::get_if<RequestGrant>(&a))
    Tickets.push_back({grantreq->Attempt, n, vm.Incarnation});
  if (std::get_if<AcquireClaim>(&a) && !c.Ticket)
    requestClaim(vm.Claiming, id, claimKeyOf({}, std::to_string(c.Key)),
                 clockOf(vm));
  if (std::get_if<AcquireClaim>(&a) && c.Ticket)
    onClaimDecided(c.State, vm.Worker, redeem(vm.Tickets, *c.Ticket, id),
                   clockOf(vm), more);
  if (const auto *rec = std::get_if<RecordOutcome>(&a)) {
    if (c.Ticket)
      recordOutcome(vm.Tickets, *c.Ticket, id, rec->Result);
    else
      recordOutcome(vm.Claiming, id, rec->Result);
  }
  if (const auto *req = std::get_if<SendRequest>(&a)) {
    WireTransfer w;
    w.Id = req->Transfer;
    w.Vm = n;
    w.Incarnation = vm.Incarnation;
    w.Offset = req->ResumeOffset;
    Transfers.push_back(std::move(w));
  }
  if (const auto *ret = std::get_if<ReturnGrant>(&a))
    if (--GrantBalance[ret->Return.Id] < 0)
      reportFault("a grant was returned twice");
  if (const auto *part = std::get_if<ForwardBody>(&a))
    c.ReceivedBytes.append(part->Bytes);
  if (const auto *fin = std::get_if<FinishRequest>(&a))
    finish(c, *fin);
}

void History::finish(Call &c, const FinishRequest &a) {
  RequestRecord &record = Records[c.State.Spec.Id];
  if (record.ReportedOutcome)
    reportFault("a request finished twice");
  record.ReportedOutcome = a.Result;
  record.HeldByOther = a.Err && a.Err->Code == ErrorCode::Conflict;
  if (!c.State.ResponseBegun)
    c.ReceivedBytes.append(a.Body);
  Counts.Completed += a.Result == Outcome::Completed ? 1 : 0;
  Counts.NotRun += a.Result == Outcome::NotRun ? 1 : 0;
  Counts.Unknown += a.Result == Outcome::Unknown ? 1 : 0;
  Counts.Failed += a.Result == Outcome::Failed ? 1 : 0;
  const bool ran =
      a.Result == Outcome::Completed || a.Result == Outcome::Failed;
  if (ran && record.Runs == 0 && RunsOf[record.OnceKey] == 0)
    reportFault(
        "completed or failed was reported for a request that did not run");
  if (!c.State.IsCallerDisconnected)
    checkReceived(c, record,
                  a.Result == Outcome::Completed && !record.HeldByOther);
}

/// Checks that a caller received the response of one attempt of its own
/// request: all of it if \p whole, otherwise a prefix.
void History::checkReceived(const Call &c, const RequestRecord &record,
                            bool whole) {
  if (c.ReceivedBytes.empty() && !whole)
    return;
  if (c.ReceivedBytes == "busy" && !whole)
    return;
  bool own = false;
  for (std::uint32_t n = 1; n <= c.State.LastSentAttempt; ++n) {
    const AttemptId id{c.State.Spec.Id, n};
    const std::string text = responseText(id, record.Stream);
    const std::string failed = responseText(id, false);
    own |= whole
               ? c.ReceivedBytes == text
               : text.starts_with(c.ReceivedBytes) || failed == c.ReceivedBytes;
  }
  if (!own)
    reportFault("a caller received bytes that are not its response: " +
                c.ReceivedBytes);
}

void History::applyClaimActions(Vm &vm, const ClaimActions &out) {
  for (const ClaimDecision &d : out.Decisions) {
    const auto it = vm.Calls.find(d.Request);
    if (it == vm.Calls.end())
      continue;
    DispatchActions actions;
    onClaimDecided(it->second->State, vm.Worker, d.Result, clockOf(vm),
                   actions);
    carryOut(vm, *it->second, std::move(actions));
  }
  if (out.Batch)
    vm.PendingBatch = out.Batch;
}

void History::stepVm(std::size_t n) {
  Vm &vm = Vms[n];
  if (vm.Frozen)
    return;
  const Time now = clockOf(vm);
  std::vector<RequestId> due;
  for (const auto &it : vm.Calls)
    if (dueAt(it.second->State) <= now)
      due.push_back(it.first);
  for (const RequestId id : due) {
    Call &c = *vm.Calls.at(id);
    DispatchActions out;
    onTime(c.State, vm.Worker, now, out);
    carryOut(vm, c, std::move(out));
  }
  if (vm.Claiming.PendingClaims.empty() && vm.Claiming.PendingOutcomes.empty())
    return;
  ClaimActions out;
  step(vm.Claiming, now, out);
  applyClaimActions(vm, out);
}

void History::stepVms() {
  for (std::size_t n = 0; n < VmCount; ++n)
    stepVm(n);
}

/// Lets all requests finish without further faults, and checks the invariants
/// of the final state.
void History::finishAll() {
  constexpr int Rounds = 400;
  NoMoreFaults = true;
  for (std::size_t n = 0; n < VmCount; ++n)
    if (Vms[n].Frozen)
      thaw(n);
  for (int n = 0; n < Rounds && Fault.empty(); ++n) {
    answerTicket();
    connect();
    arriveAtEndpoint();
    deliverResponse();
    stepTable();
    if (n % 8 == 0)
      Now += milliseconds(500);
    stepVms();
  }
  Now += std::chrono::minutes(2);
  stepVms();
  for (const DelayedBatch &it : DelayedBatches)
    static_cast<void>(apply(Table, it.Batch));
  while (
      pickTransfer([](const WireTransfer &w) { return w.Sent && !w.Arrived; }))
    arriveAtEndpoint();
  checkFinalState();
}

void History::checkFinalState() {
  for (const Vm &vm : Vms)
    if (!vm.Calls.empty())
      reportFault("a request never finished");
  for (const auto &it : Records)
    if (it.second.ReportedOutcome == Outcome::NotRun &&
        !it.second.HeldByOther && it.second.Runs > 0)
      reportFault("not_run was reported for a request that ran");
  for (const auto &it : GrantBalance) {
    const auto &[vm, inc] = GrantVm[it.first.Number];
    if (it.second > 0 && Vms[vm].Incarnation == inc)
      reportFault("a grant was never returned");
  }
}

} // namespace

std::string describe(const HistoryCounts &counts) {
  std::string text;
  const auto add = [&](std::string_view name, std::uint64_t n) {
    text.append(name).append(" ").append(std::to_string(n)).append("  ");
  };
  add("requests", counts.Requests);
  add("runs", counts.Runs);
  add("completed", counts.Completed);
  add("failed", counts.Failed);
  add("not_run", counts.NotRun);
  add("unknown", counts.Unknown);
  add("resumes", counts.Resumes);
  add("expired grants", counts.ExpiredGrants);
  add("kills", counts.Kills);
  add("lost claim responses", counts.LostClaimResponses);
  return text;
}

std::string runDispatchHistory(const ChoiceFn &choose, std::uint64_t steps,
                               HistoryCounts &counts) {
  History h(choose, counts);
  for (std::uint64_t n = 0; n < steps && h.fault().empty(); ++n)
    h.stepOnce();
  if (h.fault().empty())
    h.finishAll();
  return h.fault();
}

} // namespace zinniagauge::testing
