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
constexpr std::size_t MostLive = 4;
constexpr std::uint64_t SchedulerId = 1000;
constexpr Duration GrantTtl = seconds(2);

/// One request, in its process.
struct Call {
  Dispatch Life;
  std::size_t Key = 0; // Of the table; zero: none.
  std::optional<IssuedTicket> Ticket;
  std::string Heard;
};

/// What is known of a request outside of its process.
struct Witness {
  std::string Work; // What must run at most once; empty: idempotent.
  bool Stream = false;
  std::uint64_t Runs = 0;
  std::optional<Outcome> Told;
  bool OfAnother = false; // Told of the holder of its key.
};

struct Vm {
  std::uint64_t Number = 0;
  std::uint64_t Incarnation = 1;
  Duration ClockAhead = Duration::zero(); // Of the world's.
  Dispatcher Worker;
  Claims Claiming;
  TicketStore Tickets;
  std::map<RequestId, std::unique_ptr<Call>> Calls;
  bool Frozen = false;
  std::deque<std::function<void()>> Inbox; // While frozen.
  std::optional<ClaimBatch> ToTable;
};

/// A transfer as the network sees it.
struct Wire {
  TransferId Id;
  std::size_t Vm = 0;
  std::uint64_t Incarnation = 0;
  std::optional<std::uint64_t> Offset;
  bool Sent = false;    // Bytes have left.
  bool Arrived = false; // At the endpoint.
  bool HeadSent = false;
  ResponseHead Head;
  std::string Rest; // Of the answer.
};

/// A ticket at the scheduler.
struct Asked {
  AttemptId Attempt;
  std::size_t Vm = 0;
  std::uint64_t Incarnation = 0;
};

/// A table transaction that takes effect later.
struct LateEffect {
  Time At;
  ClaimBatch Batch;
};

class History {
public:
  History(const ChoiceFn &choose, HistoryCounts &counts);

  void stepOnce();
  void settle();
  [[nodiscard]] const std::string &fault() const noexcept { return Fault; }

private:
  std::size_t pick(std::size_t n) { return choose() % n; }
  std::uint64_t choose() { return Choose(); }
  void blame(const std::string &what);

  [[nodiscard]] Time clockOf(const Vm &vm) const { return Now + vm.ClockAhead; }
  void post(std::size_t vm, std::function<void()> event);
  void postCall(std::size_t vm, std::uint64_t incarnation, RequestId id,
                std::function<void(Vm &, Call &, DispatchActions &)> event);

  void request();
  void scheduler();
  void giveGrant(const Asked &t);
  void connect();
  void failWire();
  void arrive();
  void answer();
  void crossed();
  void table();
  void passTime();
  void freeze();
  void thaw(std::size_t n);
  void kill();
  void leave();
  void restartVm(Vm &vm);

  void serveWire(Wire &w);
  void resumeWire(Wire &w);
  void piece(Wire &w, bool breaks);
  Wire *anyWire(const std::function<bool(const Wire &)> &fits);

  void carryOut(Vm &vm, Call &c, DispatchActions out);
  void act(Vm &vm, Call &c, const DispatchAction &a, DispatchActions &more);
  void finish(Call &c, const FinishRequest &a);
  void checkHeard(const Call &c, const Witness &wit, bool whole);
  void takeChanges(Vm &vm, const ClaimActions &out);
  void stepVm(std::size_t n);
  void stepVms();
  void checkRest();

  const ChoiceFn &Choose;
  HistoryCounts &Counts;
  std::string Fault;
  Time Now{std::chrono::hours(1)};
  Duration SchedulerAhead = seconds(77);
  std::array<Vm, VmCount> Vms;
  std::vector<Wire> Wires;
  std::vector<Asked> Tickets;
  std::vector<IssuedTicket> Issued;
  std::map<RequestId, Witness> Seen;
  std::map<std::string, std::uint64_t> RunsOf; // By work.
  std::map<GrantId, int> Grants;               // Not given back.
  std::set<std::uint64_t> DeadGrants;
  std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> GrantVm;
  ClaimTable Table;
  std::vector<LateEffect> Late;
  bool Calm = false; // Nothing fails any more.
  std::uint64_t LastRequest = 0;
  std::uint64_t LastGrant = 0;
};

std::string plainText(AttemptId id) {
  return "answer to " + toString(id.Request) + " try " +
         std::to_string(id.Number);
}

std::string answerText(AttemptId id, bool stream) {
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

void History::blame(const std::string &what) {
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
  // Repeated entries are the ones that drive a request on.
  static constexpr std::array<Step, 24> Steps = {
      &History::request,   &History::request,  &History::scheduler,
      &History::scheduler, &History::connect,  &History::connect,
      &History::arrive,    &History::arrive,   &History::answer,
      &History::answer,    &History::answer,   &History::answer,
      &History::table,     &History::table,    &History::table,
      &History::passTime,  &History::passTime, &History::passTime,
      &History::freeze,    &History::kill,     &History::failWire,
      &History::crossed,   &History::leave,    &History::scheduler};
  (this->*Steps[pick(Steps.size())])();
  stepVms();
}

void History::request() {
  const std::size_t n = pick(VmCount);
  Vm &vm = Vms[n];
  if (vm.Frozen || vm.Calls.size() >= MostLive)
    return;
  auto owned = std::make_unique<Call>();
  Call &c = *owned;
  DispatchSpec work;
  work.Id = {vm.Number, ++LastRequest};
  Witness &wit = Seen[work.Id];
  const std::size_t kind = pick(6);
  work.Admitted.Idempotent = kind == 0 || kind == 1;
  work.Admitted.Stream = wit.Stream = pick(2) == 0;
  work.IsEngine = work.Admitted.Stream;
  work.SchedulerCount = 2;
  work.RandomState = choose();
  work.Admitted.Deadline = clockOf(vm) + seconds(5 + pick(20));
  if (kind == 2)
    wit.Work = toString(work.Id);
  if (kind == 3 || kind == 4) {
    c.Key = 1 + pick(KeyCount);
    wit.Work = "key " + std::to_string(c.Key);
  }
  if (kind == 5) {
    if (Issued.empty() || pick(2) == 0)
      Issued.push_back(issue(vm.Tickets, choose()));
    c.Ticket = Issued[pick(Issued.size())];
    wit.Work = toString(*c.Ticket);
  }
  work.HasKey = c.Key != 0 || c.Ticket;
  ++Counts.Requests;
  vm.Calls.emplace(work.Id, std::move(owned));
  DispatchActions out;
  onAdmitted(c.Life, vm.Worker, work, clockOf(vm), out);
  carryOut(vm, c, std::move(out));
}

void History::giveGrant(const Asked &t) {
  Grant g;
  g.Id = {VmId{SchedulerId}, 1, ++LastGrant};
  g.Attempt = t.Attempt;
  g.Endpoint = EndpointId{1 + pick(EndpointCount)};
  const Duration age = Calm ? Duration::zero() : milliseconds(300 * pick(8));
  g.IssuedAt = Now + SchedulerAhead - age;
  g.Ttl = GrantTtl;
  ++Grants[g.Id];
  GrantVm[LastGrant] = {t.Vm, t.Incarnation};
  const Duration pingage = milliseconds(pick(1000));
  ClockBound cb{g.Id.Scheduler, 1, Now + SchedulerAhead - pingage,
                clockOf(Vms[t.Vm]) - pingage - milliseconds(pick(5)), true};
  const std::size_t n = t.Vm;
  post(n, [this, n, t, g, cb] {
    Vm &vm = Vms[n];
    const auto it = vm.Calls.find(t.Attempt.Request);
    if (vm.Incarnation != t.Incarnation || it == vm.Calls.end()) {
      --Grants[g.Id]; // The owner returns it unused.
      return;
    }
    DispatchActions out;
    onGrant(it->second->Life, vm.Worker, g, cb, clockOf(vm), out);
    carryOut(vm, *it->second, std::move(out));
  });
}

void History::scheduler() {
  if (Tickets.empty())
    return;
  const std::size_t n = pick(Tickets.size());
  const Asked t = Tickets[n];
  constexpr std::size_t Refuses = 13;
  constexpr std::size_t Lost = 14;
  constexpr std::size_t Doubled = 15;
  const std::size_t what = Calm ? 0 : pick(16);
  // A second scheduler may grant the same ticket as well.
  if (what != Doubled)
    Tickets.erase(Tickets.begin() + static_cast<std::ptrdiff_t>(n));
  if (what != Refuses && what != Lost) {
    giveGrant(t);
    return;
  }
  const auto why =
      what == 5 ? static_cast<RefusalReason>(pick(4)) : RefusalReason::Stopping;
  postCall(t.Vm, t.Incarnation, t.Attempt.Request,
           [this, t, why](Vm &vm, Call &c, DispatchActions &out) {
             onTicketRefused(c.Life, vm.Worker, t.Attempt, why, clockOf(vm),
                             out);
           });
}

Wire *History::anyWire(const std::function<bool(const Wire &)> &fits) {
  std::vector<Wire *> found;
  for (Wire &w : Wires)
    if (fits(w))
      found.push_back(&w);
  return found.empty() ? nullptr : found[pick(found.size())];
}

void History::connect() {
  Wire *w = anyWire([](const Wire &it) { return !it.Sent; });
  if (!w)
    return;
  const TransferId id = w->Id;
  postCall(
      w->Vm, w->Incarnation, id.Attempt.Request,
      [this, id](Vm &vm, Call &c, DispatchActions &out) {
        const auto it =
            std::find_if(Wires.begin(), Wires.end(),
                         [&](const Wire &x) { return x.Id == id && !x.Sent; });
        if (it == Wires.end())
          return;
        const std::optional<Grant> held = c.Life.ActiveGrant;
        if (tryBeginSend(c.Life, vm.Worker, id, clockOf(vm))) {
          it->Sent = true;
          const Time end = held->IssuedAt + held->Ttl;
          if (id.ResumeNumber == 0 && Now + SchedulerAhead >= end)
            blame("a grant was used after its end");
          return;
        }
        Wires.erase(it);
        Counts.Lapses += c.Life.GrantExpired ? 1 : 0;
        onTransferFailed(c.Life, vm.Worker, id,
                         {ErrorCode::Broken, Step::Connect, {}, "not sent"},
                         clockOf(vm), out);
      });
}

void History::failWire() {
  Wire *w = anyWire([](const Wire &) { return true; });
  if (!w)
    return;
  const Wire gone = *w;
  // Bytes that have left may still arrive, but no answer comes back.
  if (!w->Sent)
    std::erase_if(Wires, [&](const Wire &x) { return x.Id == gone.Id; });
  postCall(gone.Vm, gone.Incarnation, gone.Id.Attempt.Request,
           [this, gone](Vm &vm, Call &c, DispatchActions &out) {
             onTransferFailed(
                 c.Life, vm.Worker, gone.Id,
                 {ErrorCode::Broken, Step::ReadResponse, {}, "reset"},
                 clockOf(vm), out);
           });
}

void History::arrive() {
  Wire *w = anyWire([](const Wire &it) { return it.Sent && !it.Arrived; });
  if (!w)
    return;
  w->Arrived = true;
  if (w->Offset)
    resumeWire(*w);
  else
    serveWire(*w);
}

/// The endpoint has the request: it refuses, fails or runs it.
void History::serveWire(Wire &w) {
  constexpr int Ok = 200;
  constexpr int Busy = 503;
  constexpr int Error = 500;
  Witness &wit = Seen[w.Id.Attempt.Request];
  const std::size_t what = Calm ? 7 : pick(8);
  w.Head.Status = what <= 2 ? Busy : Ok;
  w.Head.NotRun = what <= 1;
  w.Rest = "busy";
  if (what <= 2)
    return;
  ++wit.Runs;
  ++Counts.Runs;
  if (!wit.Work.empty() && ++RunsOf[wit.Work] > 1)
    blame("ran twice: " + wit.Work);
  w.Head.Status = what == 3 ? Error : Ok;
  w.Head.IsEventStream = wit.Stream && what != 3;
  w.Rest = answerText(w.Id.Attempt, w.Head.IsEventStream);
}

/// The engine goes on with a stream that it runs, or knows nothing of it.
void History::resumeWire(Wire &w) {
  constexpr int Partial = 206;
  constexpr int Unknown = 404;
  ++Counts.Resumes;
  const std::string whole = answerText(w.Id.Attempt, true);
  w.Head.Status = Unknown;
  if (!Calm && pick(4) == 0)
    return;
  w.Head.Status = Partial;
  w.Head.IsEventStream = true;
  w.Head.ResumeOffset = *w.Offset;
  w.Rest = whole.substr(std::min<std::size_t>(*w.Offset, whole.size()));
}

/// The next piece of an answer arrives at the process.
void History::piece(Wire &w, bool breaks) {
  // A stream may also be ended early in good order, as by a proxy.
  const bool early = breaks && w.Head.IsEventStream && pick(2) == 0;
  const TransferId id = w.Id;
  const ResponseHead head = w.Head;
  const bool tellhead = !std::exchange(w.HeadSent, true);
  const std::size_t most = w.Rest.size() > 40 ? 1 + pick(40) : w.Rest.size();
  const std::string part = tellhead ? "" : w.Rest.substr(0, most);
  const bool ends = !tellhead && part.size() == w.Rest.size();
  if (!tellhead)
    w.Rest.erase(0, most);
  const std::size_t n = w.Vm;
  const std::uint64_t inc = w.Incarnation;
  if (breaks || ends)
    std::erase_if(Wires, [&](const Wire &x) { return x.Id == id; });
  postCall(n, inc, id.Attempt.Request,
           [this, id, head, tellhead, part, early, breaks,
            ends](Vm &vm, Call &c, DispatchActions &out) {
             const Time now = clockOf(vm);
             if (tellhead)
               onResponseHead(c.Life, vm.Worker, id, head, now, out);
             onResponseBody(c.Life, vm.Worker, id, part, now, out);
             if (breaks || ends)
               onResponseEnd(c.Life, vm.Worker, id, early || !breaks, now, out);
           });
}

void History::answer() {
  Wire *w = anyWire([](const Wire &it) { return it.Arrived; });
  if (w)
    piece(*w, !Calm && pick(16) == 0);
}

/// A piece of one transfer's answer arrives where another's is awaited.
void History::crossed() {
  Wire *from = anyWire([](const Wire &it) { return it.Arrived; });
  Wire *to = anyWire([](const Wire &) { return true; });
  if (!from || !to || from == to)
    return;
  const TransferId id = from->Id;
  const ResponseHead head = from->Head;
  const std::string part = from->Rest;
  postCall(to->Vm, to->Incarnation, to->Id.Attempt.Request,
           [this, id, head, part](Vm &vm, Call &c, DispatchActions &out) {
             if (c.Life.Spec.Id == id.Attempt.Request)
               return; // Its own late answer is history::answer's case.
             const Time now = clockOf(vm);
             onResponseHead(c.Life, vm.Worker, id, head, now, out);
             onResponseBody(c.Life, vm.Worker, id, part, now, out);
             onResponseEnd(c.Life, vm.Worker, id, true, now, out);
           });
}

void History::table() {
  const std::size_t n = pick(VmCount);
  Vm &vm = Vms[n];
  if (!vm.ToTable)
    return;
  const ClaimBatch batch = *std::exchange(vm.ToTable, std::nullopt);
  ClaimBatchResult ans{batch.Number, BatchStatus::Undetermined, {}};
  const std::size_t what = Calm ? 0 : pick(8);
  if (what <= 4)
    ans.Results = apply(Table, batch);
  if (what <= 3)
    ans.Status = BatchStatus::Completed;
  if (what == 5)
    ans.Status = BatchStatus::NotApplied;
  if (what == 6)
    Late.push_back({Now + milliseconds(300 * pick(20)), batch});
  Counts.ClaimsLost += what == 4 || what >= 6 ? 1 : 0;
  const std::uint64_t inc = vm.Incarnation;
  post(n, [this, n, inc, ans] {
    if (Vms[n].Incarnation != inc)
      return;
    ClaimActions out;
    onBatchResult(Vms[n].Claiming, ans, clockOf(Vms[n]), out);
    takeChanges(Vms[n], out);
  });
}

void History::passTime() {
  static constexpr std::array<int, 8> Ms = {1, 1, 1, 5, 5, 20, 60, 400};
  const bool longer = pick(24) == 0;
  Now += longer ? milliseconds(2500 * (1 + pick(3)))
                : milliseconds(Ms[pick(Ms.size())]);
  std::vector<LateEffect> due;
  for (const LateEffect &it : Late)
    if (it.At <= Now)
      due.push_back(it);
  std::erase_if(Late, [&](const LateEffect &it) { return it.At <= Now; });
  for (const LateEffect &it : due)
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
  // What had waited may be seen before or after the timers.
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
  if (vm.ToTable && pick(2) == 0)
    static_cast<void>(apply(Table, *vm.ToTable));
  restartVm(vm);
}

void History::leave() {
  const std::size_t n = pick(VmCount);
  Vm &vm = Vms[n];
  if (vm.Calls.empty() || pick(6) != 0)
    return;
  auto it = vm.Calls.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(pick(vm.Calls.size())));
  postCall(n, vm.Incarnation, it->first,
           [this](Vm &v, Call &c, DispatchActions &out) {
             onCallerDisconnected(c.Life, v.Worker, clockOf(v), out);
           });
}

void History::carryOut(Vm &vm, Call &c, DispatchActions out) {
  DispatchActions more;
  while (!out.empty()) {
    for (const DispatchAction &a : out)
      act(vm, c, a, more);
    out = std::exchange(more, {});
  }
  if (c.Life.Phase == DispatchPhase::Done)
    vm.Calls.erase(c.Life.Spec.Id);
}

void History::act(Vm &vm, Call &c, const DispatchAction &a,
                  DispatchActions &more) {
  const std::size_t n = vm.Number - 1;
  const RequestId id = c.Life.Spec.Id;
  if (const auto *ask = std::get_if<RequestGrant>(&a))
    Tickets.push_back({ask->Attempt, n, vm.Incarnation});
  if (std::get_if<AcquireClaim>(&a) && !c.Ticket)
    requestClaim(vm.Claiming, id, claimKeyOf({}, std::to_string(c.Key)),
                 clockOf(vm));
  if (std::get_if<AcquireClaim>(&a) && c.Ticket)
    onClaimDecided(c.Life, vm.Worker, redeem(vm.Tickets, *c.Ticket, id),
                   clockOf(vm), more);
  if (const auto *rec = std::get_if<RecordOutcome>(&a)) {
    if (c.Ticket)
      recordOutcome(vm.Tickets, *c.Ticket, id, rec->Result);
    else
      recordOutcome(vm.Claiming, id, rec->Result);
  }
  if (const auto *req = std::get_if<SendRequest>(&a)) {
    Wire w;
    w.Id = req->Transfer;
    w.Vm = n;
    w.Incarnation = vm.Incarnation;
    w.Offset = req->ResumeOffset;
    Wires.push_back(std::move(w));
  }
  if (const auto *ret = std::get_if<ReturnGrant>(&a))
    if (--Grants[ret->Return.Id] < 0)
      blame("a grant was given back twice");
  if (const auto *part = std::get_if<ForwardBody>(&a))
    c.Heard.append(part->Bytes);
  if (const auto *fin = std::get_if<FinishRequest>(&a))
    finish(c, *fin);
}

void History::finish(Call &c, const FinishRequest &a) {
  Witness &wit = Seen[c.Life.Spec.Id];
  if (wit.Told)
    blame("a request ended twice");
  wit.Told = a.Result;
  wit.OfAnother = a.Err && a.Err->Code == ErrorCode::Conflict;
  if (!c.Life.ResponseBegun)
    c.Heard.append(a.Body);
  Counts.Completed += a.Result == Outcome::Completed ? 1 : 0;
  Counts.NotRun += a.Result == Outcome::NotRun ? 1 : 0;
  Counts.Unknown += a.Result == Outcome::Unknown ? 1 : 0;
  Counts.Failed += a.Result == Outcome::Failed ? 1 : 0;
  const bool ran =
      a.Result == Outcome::Completed || a.Result == Outcome::Failed;
  if (ran && wit.Runs == 0 && RunsOf[wit.Work] == 0)
    blame("an end was told of a request that did not run");
  if (!c.Life.IsCallerDisconnected)
    checkHeard(c, wit, a.Result == Outcome::Completed && !wit.OfAnother);
}

/// A caller hears the answer of one attempt of its own request: all of it, or
/// a beginning that is told to be cut short.
void History::checkHeard(const Call &c, const Witness &wit, bool whole) {
  if (c.Heard.empty() && !whole)
    return;
  if (c.Heard == "busy" && !whole)
    return;
  bool own = false;
  for (std::uint32_t n = 1; n <= c.Life.LastSentAttempt; ++n) {
    const AttemptId id{c.Life.Spec.Id, n};
    const std::string text = answerText(id, wit.Stream);
    const std::string failed = answerText(id, false);
    own |= whole ? c.Heard == text
                 : text.starts_with(c.Heard) || failed == c.Heard;
  }
  if (!own)
    blame("a caller heard what is not its answer: " + c.Heard);
}

void History::takeChanges(Vm &vm, const ClaimActions &out) {
  for (const ClaimDecision &d : out.Decisions) {
    const auto it = vm.Calls.find(d.Request);
    if (it == vm.Calls.end())
      continue;
    DispatchActions actions;
    onClaimDecided(it->second->Life, vm.Worker, d.Result, clockOf(vm), actions);
    carryOut(vm, *it->second, std::move(actions));
  }
  if (out.Batch)
    vm.ToTable = out.Batch;
}

void History::stepVm(std::size_t n) {
  Vm &vm = Vms[n];
  if (vm.Frozen)
    return;
  const Time now = clockOf(vm);
  std::vector<RequestId> due;
  for (const auto &it : vm.Calls)
    if (dueAt(it.second->Life) <= now)
      due.push_back(it.first);
  for (const RequestId id : due) {
    Call &c = *vm.Calls.at(id);
    DispatchActions out;
    onTime(c.Life, vm.Worker, now, out);
    carryOut(vm, c, std::move(out));
  }
  if (vm.Claiming.PendingClaims.empty() && vm.Claiming.PendingOutcomes.empty())
    return;
  ClaimActions out;
  step(vm.Claiming, now, out);
  takeChanges(vm, out);
}

void History::stepVms() {
  for (std::size_t n = 0; n < VmCount; ++n)
    stepVm(n);
}

/// Lets everything end without further faults, and checks what must then hold.
void History::settle() {
  constexpr int Rounds = 400;
  Calm = true;
  for (std::size_t n = 0; n < VmCount; ++n)
    if (Vms[n].Frozen)
      thaw(n);
  for (int n = 0; n < Rounds && Fault.empty(); ++n) {
    scheduler();
    connect();
    arrive();
    answer();
    table();
    if (n % 8 == 0)
      Now += milliseconds(500);
    stepVms();
  }
  Now += std::chrono::minutes(2);
  stepVms();
  for (const LateEffect &it : Late)
    static_cast<void>(apply(Table, it.Batch));
  while (anyWire([](const Wire &w) { return w.Sent && !w.Arrived; }))
    arrive();
  checkRest();
}

void History::checkRest() {
  for (const Vm &vm : Vms)
    if (!vm.Calls.empty())
      blame("a request never ended");
  for (const auto &it : Seen)
    if (it.second.Told == Outcome::NotRun && !it.second.OfAnother &&
        it.second.Runs > 0)
      blame("not_run was told of a request that ran");
  for (const auto &it : Grants) {
    const auto &[vm, inc] = GrantVm[it.first.Number];
    if (it.second > 0 && Vms[vm].Incarnation == inc)
      blame("a grant was never given back");
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
  add("lapses", counts.Lapses);
  add("kills", counts.Kills);
  add("lost claim answers", counts.ClaimsLost);
  return text;
}

std::string runDispatchHistory(const ChoiceFn &choose, std::uint64_t steps,
                               HistoryCounts &counts) {
  History h(choose, counts);
  for (std::uint64_t n = 0; n < steps && h.fault().empty(); ++n)
    h.stepOnce();
  if (h.fault().empty())
    h.settle();
  return h.fault();
}

} // namespace zinniagauge::testing
