#include "zinniagauge/adapt/worker.h"

#include "zinniagauge/adapt/problem.h"
#include "zinniagauge/adapt/transfer.h"
#include "zinniagauge/adapt/usage.h"
#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/zone_order.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinniagauge {

namespace {

/// How often grants in use are announced to their schedulers, and version
/// statistics are published.
constexpr Duration HousekeepingPeriod = std::chrono::seconds(1);

/// How much of the end of a stream is kept: its last event holds the token
/// usage.
constexpr std::size_t StreamTailBytes = 1024;

/// A request that this worker has in progress.
struct Call {
  Dispatch State;
  AdmittedRequest Request;
  std::optional<ShareChoice> Share; // Set until dispatched or discarded.
  ZoneId Zone;             // Of the scheduler that got the last ticket.
  std::string ContentType; // Of the endpoint's response.
  std::string StreamTail;  // The last bytes of a streamed response.
  Time GrantedAt;
  Time TimerAt; // Its entry in Worker::Timers; Time::max() if it has none.
};

using CallMap = std::unordered_map<RequestId, std::unique_ptr<Call>>;

std::uint64_t micros(Duration d) noexcept {
  using std::chrono::microseconds;
  const auto n = std::chrono::duration_cast<microseconds>(d).count();
  return n < 0 ? 0 : static_cast<std::uint64_t>(n);
}

ResponseHead readHead(const TransferEvent &ev) {
  ResponseHead head;
  head.Status = ev.Status;
  head.NotRun = findHeader(ev.Headers, NotRunHeader) == "1";
  head.IsEventStream =
      findHeader(ev.Headers, "Content-Type").starts_with("text/event-stream");
  const std::string offset(findHeader(ev.Headers, "Zinnia-Resume-Offset"));
  if (!offset.empty())
    head.ResumeOffset = std::strtoull(offset.c_str(), nullptr, 10);
  return head;
}

/// The load of an endpoint by its last report.
LoadClass loadOf(const EndpointSpec &ep, const EndpointList &states) noexcept {
  const EndpointState *st = findEndpointState(states, ep.Id);
  if (!st || !st->Load)
    return LoadClass::Light;
  const std::uint32_t running = st->Load->Running + st->Load->Waiting;
  if (running >= ep.Slots)
    return LoadClass::Full;
  return 2 * running >= ep.Slots ? LoadClass::Busy : LoadClass::Light;
}

/// The state of one worker thread; used on that thread only.
class Worker {
public:
  Worker(WorkerOptions &opt, WorkerMailbox &inbox,
         std::atomic<std::uint64_t> &inprogress, Cell<VersionStatsList> &stats);

  /// Runs until it is told to stop and no request is in progress any more.
  void run();

private:
  void handle(WorkerMessage &msg);
  void handle(AdmittedRequest &msg);
  void handle(const Granted &msg);
  void handle(const Refused &msg);
  void handle(const SchedulerUnreachable &msg);
  void handle(const ClaimDecided &msg);
  void handle(const CallerDisconnected &msg);
  void handle(const StopWorker &msg);

  void onTransfer(const TransferEvent &ev);
  void onTransferEnd(Call &c, const TransferEvent &ev);
  bool tryBeginTransfer(TransferId id);

  Call *find(RequestId id);
  /// Executes the pending actions of \p c, then removes it if it is done or
  /// updates its timer. \p c may be destroyed.
  void applyActions(Call &c);
  void executeActions(Call &c);
  void execute(Call &c, const RequestGrant &a);
  void execute(Call &c, const CancelTicket &a);
  void execute(Call &c, const AcquireClaim &a);
  void execute(Call &c, const RecordOutcome &a);
  void execute(Call &c, const SendRequest &a);
  void execute(Call &c, const CancelAtEndpoint &a);
  void execute(Call &c, const ReturnGrant &a);
  void execute(Call &c, const BeginResponse &a);
  void execute(Call &c, const ForwardBody &a);
  void execute(Call &c, const FinishRequest &a);

  void discardShare(Call &c);
  [[nodiscard]] TransferSpec transferOf(const Call &c, const SendRequest &a,
                                        const EndpointSpec &ep) const;
  void sendResponse(Call &c, const FinishRequest &a);
  void finishStream(Call &c, const FinishRequest &a);
  void countOutcome(const Call &c, Outcome outcome) const;
  void recordStats(const Call &c, const ReturnGrant &a);
  void countClaim(ClaimStatus st) const;
  void runTimers(Time now);
  void housekeep(Time now);
  [[nodiscard]] Duration sleepFor(Time now) const;

  WorkerOptions &Opt;
  WorkerMailbox &Inbox;
  std::atomic<std::uint64_t> &InProgress;
  Cell<VersionStatsList> &PublishedStats;
  TransferPool Pool;
  Dispatcher DispatcherState;
  CallMap Calls;
  std::set<std::pair<Time, RequestId>> Timers;
  std::unordered_map<std::uint64_t, RequestId> ByConnection;
  std::map<VersionStatsKey, VersionStatsCounts> StatsByKey;
  DispatchActions Actions;
  bool WriteFailed = false; // A write to the caller failed during an action.
  std::uint64_t RandomState;
  Time NextHousekeepingAt;
  std::optional<Time> StopDeadline;
};

Worker::Worker(WorkerOptions &opt, WorkerMailbox &inbox,
               std::atomic<std::uint64_t> &inprogress,
               Cell<VersionStatsList> &stats)
    : Opt(opt), Inbox(inbox), InProgress(inprogress), PublishedStats(stats),
      Pool({[this](const TransferEvent &ev) { onTransfer(ev); },
            [this](TransferId id) { return tryBeginTransfer(id); }}),
      RandomState(opt.RandomSeed) {
  DispatcherState.Limits = opt.Limits;
  Pool.watch(inbox.fd());
}

void Worker::run() {
  while (!StopDeadline || !Calls.empty()) {
    Pool.runOnce(sleepFor(monotonicNow()));
    Inbox.takeAll([this](std::unique_ptr<WorkerMessage> msg) { handle(*msg); });
    const Time now = monotonicNow();
    runTimers(now);
    if (now >= NextHousekeepingAt)
      housekeep(now);
  }
}

Duration Worker::sleepFor(Time now) const {
  Duration wait = HousekeepingPeriod;
  if (!Timers.empty())
    wait = std::min(wait, Timers.begin()->first - now);
  return std::max(wait, Duration::zero());
}

void Worker::handle(WorkerMessage &msg) {
  std::visit([this](auto &m) { handle(m); }, msg);
}

void Worker::handle(AdmittedRequest &msg) {
  auto owned = std::make_unique<Call>(
      Call{{}, std::move(msg), {}, {}, {}, {}, {}, Time::max()});
  Call &c = *owned;
  const AdmittedRequest &req = c.Request;
  DispatchSpec work;
  work.Id = req.Id;
  work.Admitted = req.Admitted;
  work.HasKey = !req.IdempotencyKey.empty();
  work.RandomState = nextRandom(RandomState);
  {
    const ReadGuard guard;
    const Bundle &b = Opt.SharedBoard->ActiveBundle.read(guard);
    const PoolSpec *pool = findPool(b, req.Admitted.Pool);
    const std::size_t zones = zonesOf(b, req.Admitted.Pool).size();
    work.IsEngine = pool && pool->Kind == PoolKind::Engine;
    work.SchedulerCount =
        static_cast<std::uint32_t>(std::max<std::size_t>(zones, 1));
  }
  ByConnection[req.Request.Connection] = req.Id;
  Calls.emplace(req.Id, std::move(owned));
  InProgress.fetch_add(1, std::memory_order_relaxed);
  onAdmitted(c.State, DispatcherState, work, monotonicNow(), Actions);
  applyActions(c);
}

void Worker::handle(const Granted &msg) {
  Call *c = find(msg.IssuedGrant.Attempt.Request);
  if (!c) {
    Opt.PostToRpc(SubmitGrantReturn{unusedReturn(msg.IssuedGrant)});
    return;
  }
  c->GrantedAt = monotonicNow();
  onGrant(c->State, DispatcherState, msg.IssuedGrant, msg.Clock, c->GrantedAt,
          Actions);
  applyActions(*c);
}

void Worker::handle(const Refused &msg) {
  Call *c = find(msg.Attempt.Request);
  if (!c)
    return;
  onTicketRefused(c->State, DispatcherState, msg.Attempt, msg.Reason,
                  monotonicNow(), Actions);
  applyActions(*c);
}

void Worker::handle(const SchedulerUnreachable &msg) {
  Call *c = find(msg.Attempt.Request);
  if (!c)
    return;
  onSchedulerUnreachable(c->State, DispatcherState, msg.Attempt, monotonicNow(),
                         Actions);
  applyActions(*c);
}

void Worker::handle(const ClaimDecided &msg) {
  countClaim(msg.Result.Status);
  Call *c = find(msg.Request);
  if (!c)
    return;
  onClaimDecided(c->State, DispatcherState, msg.Result, monotonicNow(),
                 Actions);
  applyActions(*c);
}

void Worker::handle(const CallerDisconnected &msg) {
  const auto it = ByConnection.find(msg.Connection);
  if (it == ByConnection.end())
    return;
  Call *c = find(it->second);
  Opt.SharedBoard->Counts.CallersDisconnected.add();
  onCallerDisconnected(c->State, DispatcherState, monotonicNow(), Actions);
  applyActions(*c);
}

void Worker::handle(const StopWorker & /*msg*/) {
  StopDeadline = monotonicNow() + Opt.StopTimeout;
}

Call *Worker::find(RequestId id) {
  const auto it = Calls.find(id);
  return it == Calls.end() ? nullptr : it->second.get();
}

void Worker::onTransfer(const TransferEvent &ev) {
  Call *c = find(ev.Id.Attempt.Request);
  if (!c || ev.Id != c->State.CurrentTransfer)
    return;
  const Time now = monotonicNow();
  switch (ev.Stage) {
  case TransferStage::Head:
    c->ContentType = findHeader(ev.Headers, "Content-Type");
    onResponseHead(c->State, DispatcherState, ev.Id, readHead(ev), now,
                   Actions);
    break;
  case TransferStage::Body:
    if (c->Request.Admitted.Stream) {
      c->StreamTail.append(ev.Bytes);
      if (c->StreamTail.size() > 2 * StreamTailBytes)
        c->StreamTail.erase(0, c->StreamTail.size() - StreamTailBytes);
    }
    onResponseBody(c->State, DispatcherState, ev.Id, ev.Bytes, now, Actions);
    break;
  case TransferStage::End:
    onTransferEnd(*c, ev);
    break;
  }
  applyActions(*c);
}

void Worker::onTransferEnd(Call &c, const TransferEvent &ev) {
  const Time now = monotonicNow();
  if (!ev.Complete) {
    const bool unsent = c.State.Phase == DispatchPhase::Connecting;
    const Error err{unsent ? ErrorCode::Unavailable : ErrorCode::Broken,
                    unsent ? Step::Connect : Step::ReadResponse,
                    {},
                    std::string(ev.Detail)};
    onTransferFailed(c.State, DispatcherState, ev.Id, err, now, Actions);
    return;
  }
  if (c.State.Spec.IsEngine) {
    const TokenUsage u = c.Request.Admitted.Stream
                             ? readStreamUsage(c.StreamTail)
                             : readUsage(c.State.Body);
    c.State.OutputTokens = u.OutputTokens;
    c.State.CachedTokens = u.CachedTokens;
  }
  onResponseEnd(c.State, DispatcherState, ev.Id, true, now, Actions);
}

bool Worker::tryBeginTransfer(TransferId id) {
  Call *c = find(id.Attempt.Request);
  if (!c)
    return false;
  const Time now = monotonicNow();
  if (id.ResumeNumber == 0 && c->Share && isReadyToSend(c->State, id, now)) {
    const ShareChoice choice = *std::exchange(c->Share, std::nullopt);
    if (!startDispatch(*Opt.Shares, choice, c->State.ActiveGrant->Version))
      refuseSend(c->State);
  }
  return tryBeginSend(c->State, DispatcherState, id, now);
}

void Worker::applyActions(Call &c) {
  executeActions(c);
  if (std::exchange(WriteFailed, false)) {
    onCallerDisconnected(c.State, DispatcherState, monotonicNow(), Actions);
    executeActions(c);
  }
  const RequestId id = c.Request.Id;
  if (c.TimerAt != Time::max())
    Timers.erase({c.TimerAt, id});
  if (c.State.Phase == DispatchPhase::Done) {
    discardShare(c);
    ByConnection.erase(c.Request.Request.Connection);
    Calls.erase(id);
    InProgress.fetch_sub(1, std::memory_order_relaxed);
    return;
  }
  c.TimerAt = dueAt(c.State);
  if (c.TimerAt != Time::max())
    Timers.emplace(c.TimerAt, id);
}

void Worker::executeActions(Call &c) {
  // An action may append further actions, for example when a send fails.
  for (std::size_t n = 0; n < Actions.size(); ++n) {
    const DispatchAction action = std::move(Actions[n]);
    std::visit([&](const auto &a) { execute(c, a); }, action);
  }
  Actions.clear();
}

void Worker::execute(Call &c, const RequestGrant &a) {
  const Admission &adm = c.Request.Admitted;
  Ticket t;
  t.Attempt = a.Attempt;
  t.Entry = Opt.Self;
  t.Pool = adm.Pool;
  t.Route = adm.Route;
  t.Workspace = adm.Workspace;
  t.Rank = adm.Rank;
  t.PromptTokens = adm.PromptTokens;
  t.OutputTokens = adm.OutputTokens;
  t.PrefixHash = adm.PrefixHash;
  t.TimeLeft = adm.Deadline - monotonicNow();
  t.AvoidEndpoint = a.AvoidEndpoint;
  discardShare(c);
  {
    const ReadGuard guard;
    const Bundle &b = Opt.SharedBoard->ActiveBundle.read(guard);
    c.Share = chooseVersion(*Opt.Shares, b, adm.Pool);
    c.Zone =
        zoneToTry(b, adm.Pool, Opt.Zone, c.Request.Id.Low, a.SchedulerIndex);
  }
  t.Choice = c.Share->Choice;
  t.NewVersion = c.Share->NewVersion;
  Opt.PostToRpc(SubmitTicket{t, c.Zone});
}

void Worker::execute(Call &c, const CancelTicket &a) {
  Opt.PostToRpc(WithdrawTicket{a.Attempt, c.Request.Admitted.Pool, c.Zone});
}

void Worker::execute(Call &c, const AcquireClaim &a) {
  const AdmittedRequest &req = c.Request;
  if (req.Ticket)
    Opt.PostToClaims(RedeemTicket{a.Request, *req.Ticket});
  else
    Opt.PostToClaims(RequestClaim{
        a.Request, claimKeyOf(req.Admitted.Workspace, req.IdempotencyKey)});
}

void Worker::execute(Call & /*c*/, const RecordOutcome &a) {
  Opt.PostToClaims(WriteOutcome{a.Request, a.Result});
}

TransferSpec Worker::transferOf(const Call &c, const SendRequest &a,
                                const EndpointSpec &ep) const {
  const HttpRequest &req = c.Request.Request;
  TransferSpec spec;
  spec.Id = a.Transfer;
  spec.Method = req.Method;
  spec.Url = "http://" + ep.Host + ":" + std::to_string(ep.Port) + req.Path;
  if (!req.Query.empty())
    spec.Url.append("?").append(req.Query);
  spec.Body = req.Body;
  spec.NewConnection = a.NewConnection;
  spec.ConnectTimeout = Opt.ConnectTimeout;
  const std::string_view type = req.header("Content-Type");
  spec.Headers.push_back({"Content-Type", type.empty()
                                              ? std::string("application/json")
                                              : std::string(type)});
  spec.Headers.push_back(
      {std::string(RequestIdHeader), toString(c.Request.Id)});
  if (!c.Request.IdempotencyKey.empty())
    spec.Headers.push_back({"Idempotency-Key", c.Request.IdempotencyKey});
  if (a.ResumeOffset)
    spec.Headers.push_back(
        {"Zinnia-Resume-Offset", std::to_string(*a.ResumeOffset)});
  return spec;
}

void Worker::execute(Call &c, const SendRequest &a) {
  std::optional<TransferSpec> spec;
  {
    const ReadGuard guard;
    const EndpointSpec *ep =
        findEndpoint(Opt.SharedBoard->ActiveBundle.read(guard), a.Endpoint);
    if (ep)
      spec = transferOf(c, a, *ep);
  }
  if (spec) {
    Pool.start(std::move(*spec));
    return;
  }
  const Error err{ErrorCode::NotFound,
                  Step::Connect,
                  {},
                  "the granted endpoint is not in the bundle in force"};
  onTransferFailed(c.State, DispatcherState, a.Transfer, err, monotonicNow(),
                   Actions);
}

void Worker::execute(Call & /*c*/, const CancelAtEndpoint &a) {
  // Closing the connection cancels the request: the engine watches for that.
  Pool.cancel(a.Transfer);
}

void Worker::execute(Call &c, const ReturnGrant &a) {
  recordStats(c, a);
  Opt.PostToRpc(SubmitGrantReturn{a.Return});
}

void Worker::execute(Call &c, const BeginResponse &a) {
  const std::array<HttpHeader, 3> headers = {
      {{"Content-Type", c.ContentType},
       {"Cache-Control", "no-store"},
       {std::string(RequestIdHeader), toString(c.Request.Id)}}};
  if (!c.Request.Responder.start(a.Status, headers))
    WriteFailed = true;
}

void Worker::execute(Call &c, const ForwardBody &a) {
  if (!c.Request.Responder.write(a.Bytes))
    WriteFailed = true;
}

void Worker::execute(Call &c, const FinishRequest &a) {
  countOutcome(c, a.Result);
  if (c.State.IsCallerDisconnected)
    return;
  if (c.State.ResponseBegun)
    finishStream(c, a);
  else
    sendResponse(c, a);
}

void Worker::sendResponse(Call &c, const FinishRequest &a) {
  if (a.Status != 0) {
    const std::array<HttpHeader, 3> headers = {
        {{"Content-Type", c.ContentType},
         {std::string(RequestIdHeader), toString(c.Request.Id)},
         {std::string(OutcomeHeader), std::string(toString(a.Result))}}};
    c.Request.Responder.send(a.Status, headers, a.Body);
    return;
  }
  Error err = a.Err.value_or(
      Error{ErrorCode::Broken, Step::ReadResponse, {}, "no answer"});
  const ReadGuard guard;
  const EndpointSpec *ep =
      findEndpoint(Opt.SharedBoard->ActiveBundle.read(guard), a.Endpoint);
  if (ep && err.Peer.empty())
    err.Peer = ep->Name;
  sendProblem(c.Request.Responder, err, a.Result, c.Request.Id);
}

void Worker::finishStream(Call &c, const FinishRequest &a) {
  // The outcome is sent as a comment line, which clients of event streams skip.
  std::string last = ": outcome ";
  last.append(toString(a.Result)).append("\n\n");
  if (!a.Complete && a.Err) {
    last.append("event: error\ndata: ");
    last.append(problemJson(*a.Err, a.Result, c.Request.Id)).append("\n\n");
  }
  const bool sent = static_cast<bool>(c.Request.Responder.write(last));
  if (a.Complete && sent)
    c.Request.Responder.end();
  else
    c.Request.Responder.abort();
}

void Worker::discardShare(Call &c) {
  if (c.Share)
    discardChoice(*Opt.Shares, *c.Share);
  c.Share.reset();
}

void Worker::countOutcome(const Call &c, Outcome outcome) const {
  const Time now = monotonicNow();
  const Time at = c.Request.ArrivedAt;
  const Tier rank = c.Request.Admitted.Rank;
  TierCounters &tier = Opt.SharedBoard->Counts.ByTier[rank.Rank];
  tier.ByOutcome[static_cast<std::size_t>(outcome)].add();
  Opt.SharedBoard->Counts.GrantsExpired.add(c.State.ExpiredGrants);
  Opt.SharedBoard->Counts.Retries.add(c.State.Retries);
  tier.TotalTime.observe(micros(now - at));
  if (c.GrantedAt != Time{})
    tier.QueueTime.observe(micros(c.GrantedAt - at));
  if (!c.State.FirstByteAt)
    return;
  const Duration first = *c.State.FirstByteAt - at;
  tier.FirstTokenTime.observe(micros(first));
  const ReadGuard guard;
  for (const TierSpec &t : Opt.SharedBoard->ActiveBundle.read(guard).Tiers)
    if (t.Rank == rank && outcome == Outcome::Completed &&
        first <= t.FirstTokenTarget)
      tier.Good.add();
}

void Worker::countClaim(ClaimStatus st) const {
  Counters &all = Opt.SharedBoard->Counts;
  if (st == ClaimStatus::Acquired)
    all.ClaimsAcquired.add();
  else if (st == ClaimStatus::Undetermined)
    all.ClaimsUndetermined.add();
  else
    all.ClaimsDenied.add();
}

void Worker::recordStats(const Call &c, const ReturnGrant &a) {
  const GrantReturn &ret = a.Return;
  if (!ret.Dispatched)
    return;
  Counters &all = Opt.SharedBoard->Counts;
  all.PromptTokens.add(ret.PromptTokens);
  all.OutputTokens.add(ret.OutputTokens);
  const ReadGuard guard;
  const EndpointSpec *ep =
      findEndpoint(Opt.SharedBoard->ActiveBundle.read(guard), ret.Endpoint);
  if (!ep || ret.Cancelled)
    return;
  const VersionStatsKey key{
      ep->Pool, a.Version, ep->Id, c.Request.Admitted.Route,
      loadOf(*ep, Opt.SharedBoard->Endpoints.read(guard))};
  VersionStatsCounts &row = StatsByKey[key];
  ++row.Requests;
  if (ret.EndpointFailed) {
    ++row.Failures;
    return;
  }
  row.FirstTokenNanos += static_cast<std::uint64_t>(ret.FirstTokenTime.count());
  row.TotalNanos += static_cast<std::uint64_t>(ret.TotalTime.count());
  row.OutputTokens += ret.OutputTokens;
}

void Worker::runTimers(Time now) {
  while (!Timers.empty() && Timers.begin()->first <= now) {
    Call &c = *Calls.at(Timers.begin()->second);
    onTime(c.State, DispatcherState, now, Actions);
    applyActions(c);
  }
  if (!StopDeadline || now < *StopDeadline)
    return;
  while (!Calls.empty()) {
    Call &c = *Calls.begin()->second;
    onStop(c.State, DispatcherState, now, Actions);
    applyActions(c);
  }
}

void Worker::housekeep(Time now) {
  NextHousekeepingAt = now + HousekeepingPeriod;
  AnnounceGrants msg;
  for (const auto &it : Calls) {
    const Call &c = *it.second;
    if (c.State.ActiveGrant && c.State.Phase == DispatchPhase::InFlight)
      msg.Grants.push_back(
          {*c.State.ActiveGrant, c.Request.Admitted.Pool, c.Zone});
  }
  if (!msg.Grants.empty())
    Opt.PostToRpc(std::move(msg));
  VersionStatsList list;
  list.Rows.reserve(StatsByKey.size());
  for (const auto &it : StatsByKey)
    list.Rows.push_back({it.first, it.second});
  if (!list.Rows.empty())
    PublishedStats.publish(std::move(list));
}

} // namespace

struct WorkerThread::State {
  WorkerOptions Opt;
  WorkerMailbox Inbox;
  std::atomic<std::uint64_t> InProgress{0};
  Cell<VersionStatsList> PublishedStats;
  std::thread Thread;
};

WorkerThread::WorkerThread(std::unique_ptr<State> st) noexcept
    : St(std::move(st)) {}
WorkerThread::WorkerThread(WorkerThread &&) noexcept = default;
WorkerThread &WorkerThread::operator=(WorkerThread &&) noexcept = default;

WorkerThread::~WorkerThread() {
  if (St)
    finish();
}

void WorkerThread::finish() {
  if (!St->Thread.joinable())
    return;
  post(StopWorker{});
  St->Thread.join();
}

WorkerThread WorkerThread::start(WorkerOptions opt) {
  auto st = std::make_unique<State>();
  st->Opt = std::move(opt);
  st->Thread = std::thread([s = st.get()] {
    Worker worker(s->Opt, s->Inbox, s->InProgress, s->PublishedStats);
    worker.run();
  });
  return WorkerThread(std::move(st));
}

void WorkerThread::post(WorkerMessage msg) {
  St->Inbox.post(std::make_unique<WorkerMessage>(std::move(msg)));
}

std::uint64_t WorkerThread::requestsInProgress() const noexcept {
  return St->InProgress.load(std::memory_order_relaxed);
}

VersionStatsList WorkerThread::versionStats() const {
  return St->PublishedStats.copy();
}

} // namespace zinniagauge
