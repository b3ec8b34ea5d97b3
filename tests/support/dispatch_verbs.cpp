#include "support/dispatch_verbs.h"

#include <algorithm>
#include <utility>

namespace zinniagauge::testing {

namespace {

/// How long a process waits for the table before it takes a call as unsure.
constexpr Duration TableTimeout = std::chrono::milliseconds(200);

const VmId SchedulerVm{99};

std::string yesNo(bool val) { return val ? "yes" : "no"; }

std::string attemptText(TransferId id) {
  return std::to_string(id.Attempt.Number) + "." +
         std::to_string(id.ResumeNumber);
}

DispatchScene &sceneOf(World &w) { return stateOf<DispatchScene>(w); }

SceneVm &vmOf(DispatchScene &sc, const std::string &name) {
  const auto [it, added] = sc.Vms.try_emplace(name);
  if (added) {
    it->second.Claiming.Self = VmId::of(name);
    it->second.Claiming.Incarnation = 1;
    it->second.Tickets.Vm = VmId::of(name);
    it->second.Tickets.Incarnation = 1;
  }
  return it->second;
}

Result<SceneCall *> callOf(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  const auto it = sceneOf(w).Calls.find(name);
  BOOST_LEAF_CHECK(
      expect(it != sceneOf(w).Calls.end(), "no request is called " + name));
  return &it->second;
}

std::string countKey(const SceneCall &c) {
  if (c.Ticket)
    return toString(*c.Ticket);
  return c.Key.empty() ? toString(c.Life.Spec.Id) : c.Key;
}

/// Carries the actions of one request out, or keeps them for expectations.
struct Carrier {
  DispatchScene &Sc;
  SceneCall &Call;
  SceneVm &Vm;
  Time Now;
  DispatchActions More;

  void log(std::string kind, std::map<std::string, std::string> vals) const {
    Call.Log.push_back({std::move(kind), std::move(vals)});
  }

  void operator()(const RequestGrant &a) const {
    log("asks", {{"attempt", std::to_string(a.Attempt.Number)},
                 {"scheduler", std::to_string(a.SchedulerIndex)},
                 {"avoid", std::to_string(a.AvoidEndpoint.Value)}});
  }
  void operator()(const CancelTicket &) const { log("drops-ticket", {}); }
  void operator()(const AcquireClaim &a) {
    log("claims", {});
    if (!Call.Ticket) {
      requestClaim(Vm.Claiming, a.Request, claimKeyOf({}, Call.Key), Now);
      return;
    }
    onClaimDecided(Call.Life, Vm.Worker,
                   redeem(Vm.Tickets, *Call.Ticket, a.Request), Now, More);
  }
  void operator()(const RecordOutcome &a) const {
    log("records", {{"outcome", std::string(toString(a.Result))}});
    if (Call.Ticket)
      recordOutcome(Vm.Tickets, *Call.Ticket, a.Request, a.Result);
    else
      recordOutcome(Vm.Claiming, a.Request, a.Result);
  }
  void operator()(const SendRequest &a) const {
    log("sends", {{"transfer", attemptText(a.Transfer)},
                  {"endpoint", std::to_string(a.Endpoint.Value)},
                  {"fresh", yesNo(a.NewConnection)},
                  {"offset",
                   a.ResumeOffset ? std::to_string(*a.ResumeOffset) : "none"}});
  }
  void operator()(const CancelAtEndpoint &a) const {
    log("cancels",
        {{"transfer", attemptText(a.Transfer)}, {"tell", yesNo(a.CancelWork)}});
  }
  void operator()(const ReturnGrant &a) const {
    log("gives-back", {{"attempt", std::to_string(a.Return.Attempt.Number)},
                       {"used", yesNo(a.Return.Dispatched)},
                       {"refused", yesNo(a.Return.RefusedByEndpoint)},
                       {"broken", yesNo(a.Return.EndpointFailed)}});
  }
  void operator()(const BeginResponse &a) const {
    log("begins", {{"status", std::to_string(a.Status)}});
  }
  void operator()(const ForwardBody &a) const {
    log("passes-on", {});
    Call.Heard.append(a.Bytes);
  }
  void operator()(const FinishRequest &a) const {
    log("ends",
        {{"outcome", std::string(toString(a.Result))},
         {"whole", yesNo(a.Complete)},
         {"status", std::to_string(a.Status)},
         {"code", a.Err ? std::string(toString(a.Err->Code)) : "none"},
         {"step", a.Err ? std::string(toString(a.Err->FailedStep)) : "none"}});
    if (!Call.Life.ResponseBegun)
      Call.Heard.append(a.Body);
  }
};

void carryOut(World &w, SceneCall &call, DispatchActions out) {
  DispatchScene &sc = sceneOf(w);
  Carrier to{sc, call, vmOf(sc, call.Vm), w.Now, {}};
  while (!out.empty()) {
    for (const DispatchAction &a : out)
      std::visit(to, a);
    out = std::exchange(to.More, {});
  }
}

SceneCall *findCall(DispatchScene &sc, RequestId id) {
  for (auto &it : sc.Calls)
    if (it.second.Life.Spec.Id == id && it.second.Alive)
      return &it.second;
  return nullptr;
}

/// Hands a transaction to the table, which answers later, or not.
void callTable(World &w, const std::string &name, const ClaimBatch &batch) {
  DispatchScene &sc = sceneOf(w);
  TableAnswer ans;
  ans.At = w.Now + sc.TableDelay;
  ans.Vm = name;
  ans.Incarnation = vmOf(sc, name).Claiming.Incarnation;
  ans.Answer.Number = batch.Number;
  switch (sc.Fault) {
  case TableFault::None:
    ans.Answer.Results = apply(sc.Table, batch);
    ans.Answer.Status = BatchStatus::Completed;
    break;
  case TableFault::Unavailable:
    ans.Answer.Status = BatchStatus::NotApplied;
    break;
  case TableFault::LostResponse:
    static_cast<void>(apply(sc.Table, batch));
    [[fallthrough]];
  case TableFault::NoResponse:
    ans.At = w.Now + TableTimeout;
    break;
  case TableFault::DelayedEffect:
    ans.At = w.Now + 2 * TableTimeout;
    ans.Effect = batch;
    break;
  }
  sc.Answers.push_back(std::move(ans));
}

void takeChanges(World &w, const std::string &name, const ClaimActions &out) {
  DispatchScene &sc = sceneOf(w);
  for (const ClaimDecision &d : out.Decisions) {
    SceneCall *call = findCall(sc, d.Request);
    if (!call)
      continue;
    DispatchActions actions;
    onClaimDecided(call->Life, vmOf(sc, name).Worker, d.Result, w.Now, actions);
    carryOut(w, *call, std::move(actions));
  }
  if (out.Batch)
    callTable(w, name, *out.Batch);
}

void stepClaims(World &w, const std::string &name) {
  SceneVm &vm = vmOf(sceneOf(w), name);
  if (vm.Frozen)
    return;
  ClaimActions out;
  step(vm.Claiming, w.Now, out);
  takeChanges(w, name, out);
}

void stepAllClaims(World &w) {
  std::vector<std::string> names;
  for (const auto &it : sceneOf(w).Vms)
    names.push_back(it.first);
  for (const std::string &name : names)
    stepClaims(w, name);
}

void deliver(World &w, const TableAnswer &ans) {
  DispatchScene &sc = sceneOf(w);
  if (ans.Effect)
    static_cast<void>(apply(sc.Table, *ans.Effect));
  SceneVm &vm = vmOf(sc, ans.Vm);
  if (vm.Claiming.Incarnation != ans.Incarnation)
    return;
  ClaimActions out;
  onBatchResult(vm.Claiming, ans.Answer, w.Now, out);
  takeChanges(w, ans.Vm, out);
}

void deliverDue(World &w) {
  DispatchScene &sc = sceneOf(w);
  for (std::size_t n = 0; n < sc.Answers.size();) {
    if (sc.Answers[n].At > w.Now || vmOf(sc, sc.Answers[n].Vm).Frozen) {
      ++n;
      continue;
    }
    const TableAnswer ans = sc.Answers[n];
    sc.Answers.erase(sc.Answers.begin() + static_cast<std::ptrdiff_t>(n));
    deliver(w, ans);
  }
}

Time sceneDue(World &w) {
  DispatchScene &sc = sceneOf(w);
  Time due = Time::max();
  for (auto &it : sc.Calls)
    if (it.second.Alive && !vmOf(sc, it.second.Vm).Frozen)
      due = std::min(due, dueAt(it.second.Life));
  for (const auto &it : sc.Vms)
    if (!it.second.Frozen)
      due = std::min(due, dueAt(it.second.Claiming));
  for (const TableAnswer &ans : sc.Answers)
    if (!vmOf(sc, ans.Vm).Frozen)
      due = std::min(due, ans.At);
  return due;
}

void sceneAct(World &w) {
  DispatchScene &sc = sceneOf(w);
  deliverDue(w);
  for (auto &it : sc.Calls) {
    SceneVm &vm = vmOf(sc, it.second.Vm);
    if (!it.second.Alive || vm.Frozen || dueAt(it.second.Life) > w.Now)
      continue;
    DispatchActions out;
    onTime(it.second.Life, vm.Worker, w.Now, out);
    carryOut(w, it.second, std::move(out));
  }
  stepAllClaims(w);
}

/// Makes an event of a request out of a function over it and its worker.
template <typename Fn> VerbFn event(Fn fn) {
  return [fn](World &w, const ScenarioLine &line) -> Result<void> {
    BOOST_LEAF_AUTO(call, callOf(w, line));
    BOOST_LEAF_CHECK(expect(call->Alive, "its process is gone"));
    DispatchActions out;
    fn(w, line, *call, vmOf(sceneOf(w), call->Vm).Worker, out);
    carryOut(w, *call, std::move(out));
    stepAllClaims(w);
    return {};
  };
}

/// The transfer that a line is about: the current one, "of=ATTEMPT.RESUME", or
/// the current one of another request, "from=NAME".
TransferId transferOf(World &w, const ScenarioLine &line, const SceneCall &c) {
  TransferId id = c.Life.CurrentTransfer;
  const std::string of = valueOf(line, "of");
  if (of.size() >= 3) {
    id.Attempt.Number = static_cast<std::uint32_t>(of[0] - '0');
    id.ResumeNumber = static_cast<std::uint32_t>(of[2] - '0');
  }
  const std::string from = valueOf(line, "from");
  return from.empty() ? id : sceneOf(w).Calls.at(from).Life.CurrentTransfer;
}

Result<void> startRequest(World &w, const ScenarioLine &line) {
  DispatchScene &sc = sceneOf(w);
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  SceneCall &c = sc.Calls[name];
  c.Vm = valueOf(line, "vm", "a");
  c.Key = valueOf(line, "key");
  const std::string ticket = valueOf(line, "ticket");
  if (!ticket.empty())
    c.Ticket = sc.Tickets.at(ticket);
  DispatchSpec work;
  work.Id = {1, ++sc.LastNumber};
  work.Admitted.Idempotent = isYes(line, "idempotent");
  work.Admitted.Stream = isYes(line, "stream");
  work.Admitted.Deadline =
      w.Now + durationOf(line, "deadline", std::chrono::minutes(1));
  work.HasKey = !c.Key.empty() || c.Ticket;
  work.IsEngine = isYes(line, "engine", work.Admitted.Stream);
  work.SchedulerCount =
      static_cast<std::uint32_t>(numberOf(line, "schedulers", 1));
  DispatchActions out;
  onAdmitted(c.Life, vmOf(sc, c.Vm).Worker, work, w.Now, out);
  carryOut(w, c, std::move(out));
  return {};
}

void grantIt(World &w, const ScenarioLine &line, SceneCall &c,
             Dispatcher &worker, DispatchActions &out) {
  DispatchScene &sc = sceneOf(w);
  Grant g;
  g.Id = {SchedulerVm, 1, ++sc.LastNumber};
  g.Attempt = c.Life.CurrentTransfer.Attempt;
  g.Attempt.Number =
      static_cast<std::uint32_t>(numberOf(line, "attempt", g.Attempt.Number));
  g.Endpoint = EndpointId::of(valueOf(line, "endpoint", "e"));
  g.IssuedAt = w.Now - durationOf(line, "age", Duration::zero());
  g.Ttl = durationOf(line, "ttl", std::chrono::seconds(2));
  const ClockBound cb{SchedulerVm, 1, w.Now, w.Now, true};
  onGrant(c.Life, worker, g, cb, w.Now, out);
}

RefusalReason reasonOf(const std::string &text) {
  if (text == "too-late")
    return RefusalReason::TooLate;
  if (text == "no-endpoint")
    return RefusalReason::NoEndpoint;
  return text == "stopping" ? RefusalReason::Stopping : RefusalReason::Shed;
}

/// The connection stands; the first byte leaves if it may. Endpoints count it
/// as a run, since they may run whatever has a byte of.
void sendIt(World &w, const ScenarioLine &line, SceneCall &c,
            Dispatcher &worker, DispatchActions &out) {
  const TransferId id = transferOf(w, line, c);
  const bool sent = tryBeginSend(c.Life, worker, id, w.Now);
  c.Log.push_back({sent ? "leaves" : "stays", {}});
  if (!sent) {
    onTransferFailed(c.Life, worker, id,
                     {ErrorCode::Broken, Step::Connect, {}, "not sent"}, w.Now,
                     out);
    return;
  }
  if (id.ResumeNumber == 0)
    ++sceneOf(w).Runs[countKey(c)];
}

ResponseHead headOf(const ScenarioLine &line) {
  ResponseHead head;
  head.Status = static_cast<int>(numberOf(line, "status", 200));
  head.NotRun = isYes(line, "not-run");
  head.IsEventStream = isYes(line, "sse");
  if (line.Named.contains("offset"))
    head.ResumeOffset = numberOf(line, "offset");
  return head;
}

void addRequestVerbs(VerbTable &t) {
  t.Verbs["request"] = startRequest;
  t.Verbs["grant"] = event(grantIt);
  t.Verbs["refuse"] = event([](World &w, const ScenarioLine &line, SceneCall &c,
                               Dispatcher &worker, DispatchActions &out) {
    onTicketRefused(c.Life, worker, c.Life.CurrentTransfer.Attempt,
                    reasonOf(valueOf(line, "reason")), w.Now, out);
  });
  t.Verbs["lose-scheduler"] =
      event([](World &w, const ScenarioLine &, SceneCall &c, Dispatcher &worker,
               DispatchActions &out) {
        onSchedulerUnreachable(c.Life, worker, c.Life.CurrentTransfer.Attempt,
                               w.Now, out);
      });
  t.Verbs["leave"] = event([](World &w, const ScenarioLine &, SceneCall &c,
                              Dispatcher &worker, DispatchActions &out) {
    onCallerDisconnected(c.Life, worker, w.Now, out);
  });
  t.Verbs["stop"] =
      event([](World &w, const ScenarioLine &, SceneCall &c, Dispatcher &worker,
               DispatchActions &out) { onStop(c.Life, worker, w.Now, out); });
}

void addTransferVerbs(VerbTable &t) {
  t.Verbs["send"] = event(sendIt);
  t.Verbs["head"] = event([](World &w, const ScenarioLine &line, SceneCall &c,
                             Dispatcher &worker, DispatchActions &out) {
    onResponseHead(c.Life, worker, transferOf(w, line, c), headOf(line), w.Now,
                   out);
  });
  t.Verbs["part"] = event([](World &w, const ScenarioLine &line, SceneCall &c,
                             Dispatcher &worker, DispatchActions &out) {
    const std::string_view text =
        line.Words.size() > 1 ? line.Words[1] : std::string_view();
    onResponseBody(c.Life, worker, transferOf(w, line, c), text, w.Now, out);
  });
  t.Verbs["end"] = event([](World &w, const ScenarioLine &line, SceneCall &c,
                            Dispatcher &worker, DispatchActions &out) {
    onResponseEnd(c.Life, worker, transferOf(w, line, c),
                  isYes(line, "whole", true), w.Now, out);
  });
  t.Verbs["break"] = event([](World &w, const ScenarioLine &line, SceneCall &c,
                              Dispatcher &worker, DispatchActions &out) {
    onTransferFailed(c.Life, worker, transferOf(w, line, c),
                     {ErrorCode::Broken, Step::ReadResponse, {}, "reset"},
                     w.Now, out);
  });
}

Result<void> setLimits(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  DispatchLimits &lim = vmOf(sceneOf(w), name).Worker.Limits;
  lim.FirstByteTimeout = durationOf(line, "first-byte", lim.FirstByteTimeout);
  lim.PlainHeadTimeout = durationOf(line, "whole-answer", lim.PlainHeadTimeout);
  lim.IdleTimeout = durationOf(line, "idle", lim.IdleTimeout);
  lim.MaxRetries =
      static_cast<std::uint32_t>(numberOf(line, "retries", lim.MaxRetries));
  lim.MaxResumes =
      static_cast<std::uint32_t>(numberOf(line, "resumes", lim.MaxResumes));
  return {};
}

Result<void> freeze(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  vmOf(sceneOf(w), name).Frozen = line.Verb == "freeze";
  return {};
}

/// The process ends with all that it knew, and another takes its place.
Result<void> restart(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  SceneVm &vm = vmOf(sceneOf(w), name);
  SceneVm next;
  next.Claiming.Self = next.Tickets.Vm = VmId::of(name);
  next.Claiming.Incarnation = vm.Claiming.Incarnation + 1;
  next.Tickets.Incarnation = next.Claiming.Incarnation;
  vm = next;
  for (auto &it : sceneOf(w).Calls)
    if (it.second.Vm == name)
      it.second.Alive = false;
  return {};
}

Result<void> setTable(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(word, wordAt(line, 0));
  const std::map<std::string, TableFault> faults = {
      {"up", TableFault::None},
      {"out", TableFault::Unavailable},
      {"loses-answers", TableFault::LostResponse},
      {"acts-late", TableFault::DelayedEffect},
      {"silent", TableFault::NoResponse}};
  const auto it = faults.find(word);
  BOOST_LEAF_CHECK(expect(it != faults.end(), "no such state: " + word));
  sceneOf(w).Fault = it->second;
  sceneOf(w).TableDelay = durationOf(line, "delay", sceneOf(w).TableDelay);
  return {};
}

Result<void> issueTicket(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  DispatchScene &sc = sceneOf(w);
  TicketStore &book = vmOf(sc, valueOf(line, "vm", "a")).Tickets;
  sc.Tickets[name] = issue(book, nameHash(name));
  return {};
}

bool matches(const Happened &ev, const ScenarioLine &line) {
  return std::all_of(line.Named.begin(), line.Named.end(), [&](const auto &it) {
    const auto val = ev.Values.find(it.first);
    if (val == ev.Values.end())
      return false;
    const bool name = it.first == "endpoint" || it.first == "avoid";
    return val->second ==
           (name ? std::to_string(nameHash(it.second)) : it.second);
  });
}

std::string describeLog(const SceneCall &c) {
  std::string text = "; since the last expectation:";
  for (std::size_t n = c.Seen; n < c.Log.size(); ++n) {
    text.append(" ").append(c.Log[n].Kind);
    for (const auto &it : c.Log[n].Values)
      text.append(" ").append(it.first).append("=").append(it.second);
    text.append(";");
  }
  return text;
}

/// The next action of that kind must match; what came before it is passed.
Result<void> expectAction(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(call, callOf(w, line));
  BOOST_LEAF_AUTO(kind, wordAt(line, 1));
  for (std::size_t n = call->Seen; n < call->Log.size(); ++n) {
    if (call->Log[n].Kind != kind)
      continue;
    BOOST_LEAF_CHECK(expect(matches(call->Log[n], line),
                            kind + " differs" + describeLog(*call)));
    call->Seen = n + 1;
    return {};
  }
  return expect(false, "nothing " + kind + describeLog(*call));
}

/// No such action has come since the last expectation.
Result<void> expectNone(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(call, callOf(w, line));
  BOOST_LEAF_AUTO(kind, wordAt(line, 1));
  const bool none = std::none_of(
      call->Log.begin() + static_cast<std::ptrdiff_t>(call->Seen),
      call->Log.end(), [&](const Happened &ev) { return ev.Kind == kind; });
  return expect(none, kind + " came" + describeLog(*call));
}

Result<void> expectHeard(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(call, callOf(w, line));
  BOOST_LEAF_AUTO(text, wordAt(line, 1));
  return expect(call->Heard == text, "the caller heard: " + call->Heard);
}

/// Counts the runs of a request, or of all requests with its key.
Result<void> expectRuns(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(call, callOf(w, line));
  const std::uint64_t runs = sceneOf(w).Runs[countKey(*call)];
  return expect(runs == numberOf(line, "count"),
                "ran " + std::to_string(runs) + " times");
}

} // namespace

void addDispatchVerbs(VerbTable &t) {
  t.Hooks.push_back({sceneDue, sceneAct});
  addRequestVerbs(t);
  addTransferVerbs(t);
  t.Verbs["vm"] = setLimits;
  t.Verbs["freeze"] = freeze;
  t.Verbs["thaw"] = freeze;
  t.Verbs["restart"] = restart;
  t.Verbs["table"] = setTable;
  t.Verbs["issue"] = issueTicket;
  t.Verbs["expect"] = expectAction;
  t.Verbs["expect-none"] = expectNone;
  t.Verbs["expect-heard"] = expectHeard;
  t.Verbs["expect-runs"] = expectRuns;
}

} // namespace zinniagauge::testing
