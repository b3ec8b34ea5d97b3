// Implements the scenario verbs for requests.
#include "support/dispatch_verbs.h"

#include <algorithm>
#include <utility>

namespace zinniagauge::testing {

namespace {

/// The time after which a process treats the result of a table transaction as
/// undetermined.
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
      expect(it != sceneOf(w).Calls.end(), "unknown request: " + name));
  return &it->second;
}

/// The key of DispatchScene::Runs: the request's ticket, its idempotency key or
/// its id.
std::string runCountKey(const SceneCall &c) {
  if (c.Ticket)
    return toString(*c.Ticket);
  return c.Key.empty() ? toString(c.State.Spec.Id) : c.Key;
}

/// Logs each action of one request for expectations, and carries out those that
/// concern claims, outcomes and the response body.
struct ActionHandler {
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
    onClaimDecided(Call.State, Vm.Worker,
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
    Call.ReceivedBytes.append(a.Bytes);
  }
  void operator()(const FinishRequest &a) const {
    log("ends",
        {{"outcome", std::string(toString(a.Result))},
         {"whole", yesNo(a.Complete)},
         {"status", std::to_string(a.Status)},
         {"code", a.Err ? std::string(toString(a.Err->Code)) : "none"},
         {"step", a.Err ? std::string(toString(a.Err->FailedStep)) : "none"}});
    if (!Call.State.ResponseBegun)
      Call.ReceivedBytes.append(a.Body);
  }
};

void carryOut(World &w, SceneCall &call, DispatchActions out) {
  DispatchScene &sc = sceneOf(w);
  ActionHandler handler{sc, call, vmOf(sc, call.Vm), w.Now, {}};
  while (!out.empty()) {
    for (const DispatchAction &a : out)
      std::visit(handler, a);
    out = std::exchange(handler.More, {});
  }
}

SceneCall *findCall(DispatchScene &sc, RequestId id) {
  for (auto &it : sc.Calls)
    if (it.second.State.Spec.Id == id && it.second.Alive)
      return &it.second;
  return nullptr;
}

/// Applies a transaction to the table and schedules its response, as the
/// current fault says.
void sendToTable(World &w, const std::string &name, const ClaimBatch &batch) {
  DispatchScene &sc = sceneOf(w);
  PendingTableResponse res;
  res.DeliverAt = w.Now + sc.TableDelay;
  res.Vm = name;
  res.Incarnation = vmOf(sc, name).Claiming.Incarnation;
  res.Result.Number = batch.Number;
  switch (sc.Fault) {
  case TableFault::None:
    res.Result.Results = apply(sc.Table, batch);
    res.Result.Status = BatchStatus::Completed;
    break;
  case TableFault::Unavailable:
    res.Result.Status = BatchStatus::NotApplied;
    break;
  case TableFault::LostResponse:
    static_cast<void>(apply(sc.Table, batch));
    [[fallthrough]];
  case TableFault::NoResponse:
    res.DeliverAt = w.Now + TableTimeout;
    break;
  case TableFault::DelayedEffect:
    res.DeliverAt = w.Now + 2 * TableTimeout;
    res.DelayedBatch = batch;
    break;
  }
  sc.PendingResponses.push_back(std::move(res));
}

void applyClaimActions(World &w, const std::string &name,
                       const ClaimActions &out) {
  DispatchScene &sc = sceneOf(w);
  for (const ClaimDecision &d : out.Decisions) {
    SceneCall *call = findCall(sc, d.Request);
    if (!call)
      continue;
    DispatchActions actions;
    onClaimDecided(call->State, vmOf(sc, name).Worker, d.Result, w.Now,
                   actions);
    carryOut(w, *call, std::move(actions));
  }
  if (out.Batch)
    sendToTable(w, name, *out.Batch);
}

void stepClaims(World &w, const std::string &name) {
  SceneVm &vm = vmOf(sceneOf(w), name);
  if (vm.Frozen)
    return;
  ClaimActions out;
  step(vm.Claiming, w.Now, out);
  applyClaimActions(w, name, out);
}

void stepAllClaims(World &w) {
  std::vector<std::string> names;
  for (const auto &it : sceneOf(w).Vms)
    names.push_back(it.first);
  for (const std::string &name : names)
    stepClaims(w, name);
}

void deliver(World &w, const PendingTableResponse &res) {
  DispatchScene &sc = sceneOf(w);
  if (res.DelayedBatch)
    static_cast<void>(apply(sc.Table, *res.DelayedBatch));
  SceneVm &vm = vmOf(sc, res.Vm);
  if (vm.Claiming.Incarnation != res.Incarnation)
    return;
  ClaimActions out;
  onBatchResult(vm.Claiming, res.Result, w.Now, out);
  applyClaimActions(w, res.Vm, out);
}

void deliverDue(World &w) {
  DispatchScene &sc = sceneOf(w);
  for (std::size_t n = 0; n < sc.PendingResponses.size();) {
    if (sc.PendingResponses[n].DeliverAt > w.Now ||
        vmOf(sc, sc.PendingResponses[n].Vm).Frozen) {
      ++n;
      continue;
    }
    const PendingTableResponse res = sc.PendingResponses[n];
    sc.PendingResponses.erase(sc.PendingResponses.begin() +
                              static_cast<std::ptrdiff_t>(n));
    deliver(w, res);
  }
}

Time nextDue(World &w) {
  DispatchScene &sc = sceneOf(w);
  Time due = Time::max();
  for (auto &it : sc.Calls)
    if (it.second.Alive && !vmOf(sc, it.second.Vm).Frozen)
      due = std::min(due, dueAt(it.second.State));
  for (const auto &it : sc.Vms)
    if (!it.second.Frozen)
      due = std::min(due, dueAt(it.second.Claiming));
  for (const PendingTableResponse &res : sc.PendingResponses)
    if (!vmOf(sc, res.Vm).Frozen)
      due = std::min(due, res.DeliverAt);
  return due;
}

void runDue(World &w) {
  DispatchScene &sc = sceneOf(w);
  deliverDue(w);
  for (auto &it : sc.Calls) {
    SceneVm &vm = vmOf(sc, it.second.Vm);
    if (!it.second.Alive || vm.Frozen || dueAt(it.second.State) > w.Now)
      continue;
    DispatchActions out;
    onTime(it.second.State, vm.Worker, w.Now, out);
    carryOut(w, it.second, std::move(out));
  }
  stepAllClaims(w);
}

/// Makes a verb from a function that delivers an event to a request.
template <typename Fn> VerbFn event(Fn fn) {
  return [fn](World &w, const ScenarioLine &line) -> Result<void> {
    BOOST_LEAF_AUTO(call, callOf(w, line));
    BOOST_LEAF_CHECK(
        expect(call->Alive, "the process of the request was restarted"));
    DispatchActions out;
    fn(w, line, *call, vmOf(sceneOf(w), call->Vm).Worker, out);
    carryOut(w, *call, std::move(out));
    stepAllClaims(w);
    return {};
  };
}

/// The transfer that a line refers to: the current one of \p c, the one given
/// by "of=ATTEMPT.RESUME" with one digit each, or with "from=NAME" the current
/// one of another request.
TransferId transferOf(World &w, const ScenarioLine &line, const SceneCall &c) {
  TransferId id = c.State.CurrentTransfer;
  const std::string of = valueOf(line, "of");
  if (of.size() >= 3) {
    id.Attempt.Number = static_cast<std::uint32_t>(of[0] - '0');
    id.ResumeNumber = static_cast<std::uint32_t>(of[2] - '0');
  }
  const std::string from = valueOf(line, "from");
  return from.empty() ? id : sceneOf(w).Calls.at(from).State.CurrentTransfer;
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
  DispatchSpec spec;
  spec.Id = {1, ++sc.LastNumber};
  spec.Admitted.Idempotent = isYes(line, "idempotent");
  spec.Admitted.Stream = isYes(line, "stream");
  spec.Admitted.Deadline =
      w.Now + durationOf(line, "deadline", std::chrono::minutes(1));
  spec.HasKey = !c.Key.empty() || c.Ticket;
  spec.IsEngine = isYes(line, "engine", spec.Admitted.Stream);
  spec.SchedulerCount =
      static_cast<std::uint32_t>(numberOf(line, "schedulers", 1));
  DispatchActions out;
  onAdmitted(c.State, vmOf(sc, c.Vm).Worker, spec, w.Now, out);
  carryOut(w, c, std::move(out));
  return {};
}

void deliverGrant(World &w, const ScenarioLine &line, SceneCall &c,
                  Dispatcher &worker, DispatchActions &out) {
  DispatchScene &sc = sceneOf(w);
  Grant g;
  g.Id = {SchedulerVm, 1, ++sc.LastNumber};
  g.Attempt = c.State.CurrentTransfer.Attempt;
  g.Attempt.Number =
      static_cast<std::uint32_t>(numberOf(line, "attempt", g.Attempt.Number));
  g.Endpoint = EndpointId::of(valueOf(line, "endpoint", "e"));
  g.IssuedAt = w.Now - durationOf(line, "age", Duration::zero());
  g.Ttl = durationOf(line, "ttl", std::chrono::seconds(2));
  const ClockBound cb{SchedulerVm, 1, w.Now, w.Now, true};
  onGrant(c.State, worker, g, cb, w.Now, out);
}

RefusalReason reasonOf(const std::string &text) {
  if (text == "too-late")
    return RefusalReason::TooLate;
  if (text == "no-endpoint")
    return RefusalReason::NoEndpoint;
  return text == "stopping" ? RefusalReason::Stopping : RefusalReason::Shed;
}

/// The connection is established; sends the first byte if the request may still
/// be sent. That counts as a run, since an endpoint may run a request as soon
/// as it has received any byte of it.
void beginSend(World &w, const ScenarioLine &line, SceneCall &c,
               Dispatcher &worker, DispatchActions &out) {
  const TransferId id = transferOf(w, line, c);
  const bool sent = tryBeginSend(c.State, worker, id, w.Now);
  c.Log.push_back({sent ? "leaves" : "stays", {}});
  if (!sent) {
    onTransferFailed(c.State, worker, id,
                     {ErrorCode::Broken, Step::Connect, {}, "not sent"}, w.Now,
                     out);
    return;
  }
  if (id.ResumeNumber == 0)
    ++sceneOf(w).Runs[runCountKey(c)];
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
  t.Verbs["grant"] = event(deliverGrant);
  t.Verbs["refuse"] = event([](World &w, const ScenarioLine &line, SceneCall &c,
                               Dispatcher &worker, DispatchActions &out) {
    onTicketRefused(c.State, worker, c.State.CurrentTransfer.Attempt,
                    reasonOf(valueOf(line, "reason")), w.Now, out);
  });
  t.Verbs["lose-scheduler"] =
      event([](World &w, const ScenarioLine &, SceneCall &c, Dispatcher &worker,
               DispatchActions &out) {
        onSchedulerUnreachable(c.State, worker, c.State.CurrentTransfer.Attempt,
                               w.Now, out);
      });
  t.Verbs["leave"] = event([](World &w, const ScenarioLine &, SceneCall &c,
                              Dispatcher &worker, DispatchActions &out) {
    onCallerDisconnected(c.State, worker, w.Now, out);
  });
  t.Verbs["stop"] =
      event([](World &w, const ScenarioLine &, SceneCall &c, Dispatcher &worker,
               DispatchActions &out) { onStop(c.State, worker, w.Now, out); });
}

void addTransferVerbs(VerbTable &t) {
  t.Verbs["send"] = event(beginSend);
  t.Verbs["head"] = event([](World &w, const ScenarioLine &line, SceneCall &c,
                             Dispatcher &worker, DispatchActions &out) {
    onResponseHead(c.State, worker, transferOf(w, line, c), headOf(line), w.Now,
                   out);
  });
  t.Verbs["part"] = event([](World &w, const ScenarioLine &line, SceneCall &c,
                             Dispatcher &worker, DispatchActions &out) {
    const std::string_view text =
        line.Words.size() > 1 ? line.Words[1] : std::string_view();
    onResponseBody(c.State, worker, transferOf(w, line, c), text, w.Now, out);
  });
  t.Verbs["end"] = event([](World &w, const ScenarioLine &line, SceneCall &c,
                            Dispatcher &worker, DispatchActions &out) {
    onResponseEnd(c.State, worker, transferOf(w, line, c),
                  isYes(line, "whole", true), w.Now, out);
  });
  t.Verbs["break"] = event([](World &w, const ScenarioLine &line, SceneCall &c,
                              Dispatcher &worker, DispatchActions &out) {
    onTransferFailed(c.State, worker, transferOf(w, line, c),
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

/// Replaces the process by a new incarnation without the old state.
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
  BOOST_LEAF_CHECK(expect(it != faults.end(), "unknown table state: " + word));
  sceneOf(w).Fault = it->second;
  sceneOf(w).TableDelay = durationOf(line, "delay", sceneOf(w).TableDelay);
  return {};
}

Result<void> issueTicket(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(name, wordAt(line, 0));
  DispatchScene &sc = sceneOf(w);
  TicketStore &store = vmOf(sc, valueOf(line, "vm", "a")).Tickets;
  sc.Tickets[name] = issue(store, nameHash(name));
  return {};
}

bool matches(const LoggedAction &ev, const ScenarioLine &line) {
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
  std::string text = "; actions since the last expectation:";
  for (std::size_t n = c.CheckedActions; n < c.Log.size(); ++n) {
    text.append(" ").append(c.Log[n].Kind);
    for (const auto &it : c.Log[n].Values)
      text.append(" ").append(it.first).append("=").append(it.second);
    text.append(";");
  }
  return text;
}

/// Checks that the next action of the given kind matches the line; skips the
/// actions before it.
Result<void> expectAction(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(call, callOf(w, line));
  BOOST_LEAF_AUTO(kind, wordAt(line, 1));
  for (std::size_t n = call->CheckedActions; n < call->Log.size(); ++n) {
    if (call->Log[n].Kind != kind)
      continue;
    BOOST_LEAF_CHECK(expect(matches(call->Log[n], line),
                            kind + " differs" + describeLog(*call)));
    call->CheckedActions = n + 1;
    return {};
  }
  return expect(false, "no action " + kind + describeLog(*call));
}

/// Checks that no action of the given kind came since the last expectation.
Result<void> expectNone(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(call, callOf(w, line));
  BOOST_LEAF_AUTO(kind, wordAt(line, 1));
  const bool none = std::none_of(
      call->Log.begin() + static_cast<std::ptrdiff_t>(call->CheckedActions),
      call->Log.end(), [&](const LoggedAction &ev) { return ev.Kind == kind; });
  return expect(none, kind + " came" + describeLog(*call));
}

Result<void> expectReceived(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(call, callOf(w, line));
  BOOST_LEAF_AUTO(text, wordAt(line, 1));
  return expect(call->ReceivedBytes == text,
                "the caller received: " + call->ReceivedBytes);
}

/// Checks the number of runs of a request, or of all requests with its key or
/// ticket.
Result<void> expectRuns(World &w, const ScenarioLine &line) {
  BOOST_LEAF_AUTO(call, callOf(w, line));
  const std::uint64_t runs = sceneOf(w).Runs[runCountKey(*call)];
  return expect(runs == numberOf(line, "count"),
                "ran " + std::to_string(runs) + " times");
}

} // namespace

void addDispatchVerbs(VerbTable &t) {
  t.Hooks.push_back({nextDue, runDue});
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
  t.Verbs["expect-heard"] = expectReceived;
  t.Verbs["expect-runs"] = expectRuns;
}

} // namespace zinniagauge::testing
