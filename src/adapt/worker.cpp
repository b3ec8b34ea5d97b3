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

/// How often grants in use are told to their schedulers, and evidence is
/// published.
constexpr Duration HousekeepingPeriod = std::chrono::seconds(1);

/// The end of a stream that is kept, since the last event holds the usage.
constexpr std::size_t TailBytes = 1024;

/// A request that this worker holds.
struct Call {
  Dispatch State;
  AdmittedRequest Request;
  std::optional<ShareChoice> Share; // Open until dispatch or drop.
  ZoneId Zone;                      // Whose scheduler was asked last.
  std::string ContentType;          // Of the endpoint's answer.
  std::string Tail;                 // Of a stream.
  Time GrantedAt;
  Time Due; // As it stands in the worker's list.
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

/// How loaded an endpoint was, by its own last report.
LoadClass loadOf(const EndpointSpec &ep, const EndpointList &states) noexcept {
  const EndpointState *st = findEndpointState(states, ep.Id);
  if (!st || !st->Load)
    return LoadClass::Light;
  const std::uint32_t running = st->Load->Running + st->Load->Waiting;
  if (running >= ep.Slots)
    return LoadClass::Full;
  return 2 * running >= ep.Slots ? LoadClass::Busy : LoadClass::Light;
}

/// All that lives on one worker's thread.
class Worker {
public:
  Worker(WorkerOptions &opt, WorkerMailbox &box,
         std::atomic<std::uint64_t> &held, Cell<VersionStatsList> &seen);

  /// Works until told to stop and nothing is held any more.
  void run();

private:
  void take(WorkerMessage &msg);
  void take(AdmittedRequest &msg);
  void take(const Granted &msg);
  void take(const Refused &msg);
  void take(const SchedulerUnreachable &msg);
  void take(const ClaimDecided &msg);
  void take(const CallerDisconnected &msg);
  void take(const StopWorker &msg);

  void onTransfer(const TransferEvent &ev);
  void onAnswerEnd(Call &c, const TransferEvent &ev);
  bool maySendNow(TransferId id);

  Call *find(RequestId id);
  void settle(Call &c);
  void carryOut(Call &c);
  void act(Call &c, const RequestGrant &a);
  void act(Call &c, const CancelTicket &a);
  void act(Call &c, const AcquireClaim &a);
  void act(Call &c, const RecordOutcome &a);
  void act(Call &c, const SendRequest &a);
  void act(Call &c, const CancelAtEndpoint &a);
  void act(Call &c, const ReturnGrant &a);
  void act(Call &c, const BeginResponse &a);
  void act(Call &c, const ForwardBody &a);
  void act(Call &c, const FinishRequest &a);

  void dropShare(Call &c);
  [[nodiscard]] TransferSpec transferOf(const Call &c, const SendRequest &a,
                                        const EndpointSpec &ep) const;
  void sendAnswer(Call &c, const FinishRequest &a);
  void endStream(Call &c, const FinishRequest &a);
  void count(const Call &c, Outcome oc) const;
  void note(const Call &c, const ReturnGrant &a);
  void countClaim(ClaimStatus st) const;
  void expire(Time now);
  void housekeep(Time now);
  [[nodiscard]] Duration sleepFor(Time now) const;

  WorkerOptions &Opt;
  WorkerMailbox &Box;
  std::atomic<std::uint64_t> &Held;
  Cell<VersionStatsList> &Seen;
  TransferPool Pool;
  Dispatcher Rules;
  CallMap Calls;
  std::set<std::pair<Time, RequestId>> Due;
  std::unordered_map<std::uint64_t, RequestId> ByConnection;
  std::map<VersionStatsKey, VersionStatsCounts> Rows;
  DispatchActions Actions;
  bool CallerLeft = false; // Found out while actions are carried out.
  std::uint64_t Random;
  Time NextHousekeeping;
  std::optional<Time> StopBy;
};

Worker::Worker(WorkerOptions &opt, WorkerMailbox &box,
               std::atomic<std::uint64_t> &held, Cell<VersionStatsList> &seen)
    : Opt(opt), Box(box), Held(held), Seen(seen),
      Pool({[this](const TransferEvent &ev) { onTransfer(ev); },
            [this](TransferId id) { return maySendNow(id); }}),
      Random(opt.RandomSeed) {
  Rules.Limits = opt.Limits;
  Pool.watch(box.fd());
}

void Worker::run() {
  while (!StopBy || !Calls.empty()) {
    Pool.runOnce(sleepFor(monotonicNow()));
    Box.takeAll([this](std::unique_ptr<WorkerMessage> msg) { take(*msg); });
    const Time now = monotonicNow();
    expire(now);
    if (now >= NextHousekeeping)
      housekeep(now);
  }
}

Duration Worker::sleepFor(Time now) const {
  Duration most = HousekeepingPeriod;
  if (!Due.empty())
    most = std::min(most, Due.begin()->first - now);
  return std::max(most, Duration::zero());
}

void Worker::take(WorkerMessage &msg) {
  std::visit([this](auto &m) { take(m); }, msg);
}

void Worker::take(AdmittedRequest &msg) {
  auto owned = std::make_unique<Call>(
      Call{{}, std::move(msg), {}, {}, {}, {}, {}, Time::max()});
  Call &c = *owned;
  const AdmittedRequest &asked = c.Request;
  DispatchSpec work;
  work.Id = asked.Id;
  work.Admitted = asked.Admitted;
  work.HasKey = !asked.IdempotencyKey.empty();
  work.RandomState = nextRandom(Random);
  {
    const ReadGuard guard;
    const Bundle &b = Opt.Shared->ActiveBundle.read(guard);
    const PoolSpec *pool = findPool(b, asked.Admitted.Pool);
    const std::size_t zones = zonesOf(b, asked.Admitted.Pool).size();
    work.IsEngine = pool && pool->Kind == PoolKind::Engine;
    work.SchedulerCount =
        static_cast<std::uint32_t>(std::max<std::size_t>(zones, 1));
  }
  ByConnection[asked.Request.Connection] = asked.Id;
  Calls.emplace(asked.Id, std::move(owned));
  Held.fetch_add(1, std::memory_order_relaxed);
  onAdmitted(c.State, Rules, work, monotonicNow(), Actions);
  settle(c);
}

void Worker::take(const Granted &msg) {
  Call *c = find(msg.IssuedGrant.Attempt.Request);
  if (!c) {
    Opt.PostToRpc(SubmitGrantReturn{unusedReturn(msg.IssuedGrant)});
    return;
  }
  c->GrantedAt = monotonicNow();
  onGrant(c->State, Rules, msg.IssuedGrant, msg.Clock, c->GrantedAt, Actions);
  settle(*c);
}

void Worker::take(const Refused &msg) {
  Call *c = find(msg.Attempt.Request);
  if (!c)
    return;
  onTicketRefused(c->State, Rules, msg.Attempt, msg.Reason, monotonicNow(),
                  Actions);
  settle(*c);
}

void Worker::take(const SchedulerUnreachable &msg) {
  Call *c = find(msg.Attempt.Request);
  if (!c)
    return;
  onSchedulerUnreachable(c->State, Rules, msg.Attempt, monotonicNow(), Actions);
  settle(*c);
}

void Worker::take(const ClaimDecided &msg) {
  countClaim(msg.Result.Status);
  Call *c = find(msg.Request);
  if (!c)
    return;
  onClaimDecided(c->State, Rules, msg.Result, monotonicNow(), Actions);
  settle(*c);
}

void Worker::take(const CallerDisconnected &msg) {
  const auto it = ByConnection.find(msg.Connection);
  if (it == ByConnection.end())
    return;
  Call *c = find(it->second);
  Opt.Shared->Counts.CallersDisconnected.add();
  onCallerDisconnected(c->State, Rules, monotonicNow(), Actions);
  settle(*c);
}

void Worker::take(const StopWorker & /*msg*/) {
  StopBy = monotonicNow() + Opt.StopTimeout;
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
    onResponseHead(c->State, Rules, ev.Id, readHead(ev), now, Actions);
    break;
  case TransferStage::Body:
    if (c->Request.Admitted.Stream) {
      c->Tail.append(ev.Bytes);
      if (c->Tail.size() > 2 * TailBytes)
        c->Tail.erase(0, c->Tail.size() - TailBytes);
    }
    onResponseBody(c->State, Rules, ev.Id, ev.Bytes, now, Actions);
    break;
  case TransferStage::End:
    onAnswerEnd(*c, ev);
    break;
  }
  settle(*c);
}

void Worker::onAnswerEnd(Call &c, const TransferEvent &ev) {
  const Time now = monotonicNow();
  if (!ev.Complete) {
    const bool unsent = c.State.Phase == DispatchPhase::Connecting;
    const Error err{unsent ? ErrorCode::Unavailable : ErrorCode::Broken,
                    unsent ? Step::Connect : Step::ReadResponse,
                    {},
                    std::string(ev.Detail)};
    onTransferFailed(c.State, Rules, ev.Id, err, now, Actions);
    return;
  }
  if (c.State.Spec.IsEngine) {
    const TokenUsage u = c.Request.Admitted.Stream ? readStreamUsage(c.Tail)
                                                   : readUsage(c.State.Body);
    c.State.OutputTokens = u.OutputTokens;
    c.State.CachedTokens = u.CachedTokens;
  }
  onResponseEnd(c.State, Rules, ev.Id, true, now, Actions);
}

bool Worker::maySendNow(TransferId id) {
  Call *c = find(id.Attempt.Request);
  if (!c)
    return false;
  const Time now = monotonicNow();
  if (id.ResumeNumber == 0 && c->Share && isReadyToSend(c->State, id, now)) {
    const ShareChoice made = *std::exchange(c->Share, std::nullopt);
    if (!startDispatch(*Opt.Shares, made, c->State.ActiveGrant->Version))
      refuseSend(c->State);
  }
  return tryBeginSend(c->State, Rules, id, now);
}

void Worker::settle(Call &c) {
  carryOut(c);
  if (std::exchange(CallerLeft, false)) {
    onCallerDisconnected(c.State, Rules, monotonicNow(), Actions);
    carryOut(c);
  }
  const RequestId id = c.Request.Id;
  if (c.Due != Time::max())
    Due.erase({c.Due, id});
  if (c.State.Phase == DispatchPhase::Done) {
    dropShare(c);
    ByConnection.erase(c.Request.Request.Connection);
    Calls.erase(id);
    Held.fetch_sub(1, std::memory_order_relaxed);
    return;
  }
  c.Due = dueAt(c.State);
  if (c.Due != Time::max())
    Due.emplace(c.Due, id);
}

void Worker::carryOut(Call &c) {
  // An action may add others, such as the answer to a claim.
  for (std::size_t n = 0; n < Actions.size(); ++n) {
    const DispatchAction action = std::move(Actions[n]);
    std::visit([&](const auto &a) { act(c, a); }, action);
  }
  Actions.clear();
}

void Worker::act(Call &c, const RequestGrant &a) {
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
  t.AvoidEndpoint = a.Avoid;
  dropShare(c);
  {
    const ReadGuard guard;
    const Bundle &b = Opt.Shared->ActiveBundle.read(guard);
    c.Share = chooseVersion(*Opt.Shares, b, adm.Pool);
    c.Zone =
        zoneToTry(b, adm.Pool, Opt.Zone, c.Request.Id.Low, a.SchedulerIndex);
  }
  t.Choice = c.Share->Choice;
  t.NewVersion = c.Share->NewVersion;
  Opt.PostToRpc(SubmitTicket{t, c.Zone});
}

void Worker::act(Call &c, const CancelTicket &a) {
  Opt.PostToRpc(WithdrawTicket{a.Attempt, c.Request.Admitted.Pool, c.Zone});
}

void Worker::act(Call &c, const AcquireClaim &a) {
  const AdmittedRequest &asked = c.Request;
  if (asked.Ticket)
    Opt.PostToClaims(RedeemTicket{a.Request, *asked.Ticket});
  else
    Opt.PostToClaims(RequestClaim{
        a.Request, claimKeyOf(asked.Admitted.Workspace, asked.IdempotencyKey)});
}

void Worker::act(Call & /*c*/, const RecordOutcome &a) {
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

void Worker::act(Call &c, const SendRequest &a) {
  std::optional<TransferSpec> spec;
  {
    const ReadGuard guard;
    const EndpointSpec *ep =
        findEndpoint(Opt.Shared->ActiveBundle.read(guard), a.Endpoint);
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
  onTransferFailed(c.State, Rules, a.Transfer, err, monotonicNow(), Actions);
}

void Worker::act(Call & /*c*/, const CancelAtEndpoint &a) {
  // Closing the connection is what tells the engine: it watches for that.
  Pool.cancel(a.Transfer);
}

void Worker::act(Call &c, const ReturnGrant &a) {
  note(c, a);
  Opt.PostToRpc(SubmitGrantReturn{a.Return});
}

void Worker::act(Call &c, const BeginResponse &a) {
  const std::array<HttpHeader, 3> headers = {
      {{"Content-Type", c.ContentType},
       {"Cache-Control", "no-store"},
       {std::string(RequestIdHeader), toString(c.Request.Id)}}};
  if (!c.Request.Reply.start(a.Status, headers))
    CallerLeft = true;
}

void Worker::act(Call &c, const ForwardBody &a) {
  if (!c.Request.Reply.write(a.Bytes))
    CallerLeft = true;
}

void Worker::act(Call &c, const FinishRequest &a) {
  count(c, a.Result);
  if (c.State.IsCallerDisconnected)
    return;
  if (c.State.ResponseBegun)
    endStream(c, a);
  else
    sendAnswer(c, a);
}

void Worker::sendAnswer(Call &c, const FinishRequest &a) {
  if (a.Status != 0) {
    const std::array<HttpHeader, 3> headers = {
        {{"Content-Type", c.ContentType},
         {std::string(RequestIdHeader), toString(c.Request.Id)},
         {std::string(OutcomeHeader), std::string(toString(a.Result))}}};
    c.Request.Reply.send(a.Status, headers, a.Body);
    return;
  }
  Error err = a.Err.value_or(
      Error{ErrorCode::Broken, Step::ReadResponse, {}, "no answer"});
  const ReadGuard guard;
  const EndpointSpec *ep =
      findEndpoint(Opt.Shared->ActiveBundle.read(guard), a.Endpoint);
  if (ep && err.Peer.empty())
    err.Peer = ep->Name;
  sendProblem(c.Request.Reply, err, a.Result, c.Request.Id);
}

void Worker::endStream(Call &c, const FinishRequest &a) {
  // A comment, which clients of event streams skip.
  std::string last = ": outcome ";
  last.append(toString(a.Result)).append("\n\n");
  if (!a.Complete && a.Err) {
    last.append("event: error\ndata: ");
    last.append(problemJson(*a.Err, a.Result, c.Request.Id)).append("\n\n");
  }
  const bool told = static_cast<bool>(c.Request.Reply.write(last));
  if (a.Complete && told)
    c.Request.Reply.end();
  else
    c.Request.Reply.abort();
}

void Worker::dropShare(Call &c) {
  if (c.Share)
    discardChoice(*Opt.Shares, *c.Share);
  c.Share.reset();
}

void Worker::count(const Call &c, Outcome oc) const {
  const Time now = monotonicNow();
  const Time at = c.Request.ArrivedAt;
  const Tier rank = c.Request.Admitted.Rank;
  TierCounters &tier = Opt.Shared->Counts.ByTier[rank.Rank];
  tier.ByOutcome[static_cast<std::size_t>(oc)].add();
  Opt.Shared->Counts.GrantsExpired.add(c.State.ExpiredGrants);
  Opt.Shared->Counts.Retries.add(c.State.Retries);
  tier.TotalTime.observe(micros(now - at));
  if (c.GrantedAt != Time{})
    tier.QueueTime.observe(micros(c.GrantedAt - at));
  if (!c.State.FirstByteAt)
    return;
  const Duration first = *c.State.FirstByteAt - at;
  tier.FirstTokenTime.observe(micros(first));
  const ReadGuard guard;
  for (const TierSpec &t : Opt.Shared->ActiveBundle.read(guard).Tiers)
    if (t.Rank == rank && oc == Outcome::Completed &&
        first <= t.FirstTokenTarget)
      tier.Good.add();
}

void Worker::countClaim(ClaimStatus st) const {
  Counters &all = Opt.Shared->Counts;
  if (st == ClaimStatus::Acquired)
    all.ClaimsAcquired.add();
  else if (st == ClaimStatus::Undetermined)
    all.ClaimsUndetermined.add();
  else
    all.ClaimsDenied.add();
}

void Worker::note(const Call &c, const ReturnGrant &a) {
  const GrantReturn &ret = a.Return;
  if (!ret.Dispatched)
    return;
  Counters &all = Opt.Shared->Counts;
  all.PromptTokens.add(ret.PromptTokens);
  all.OutputTokens.add(ret.OutputTokens);
  const ReadGuard guard;
  const EndpointSpec *ep =
      findEndpoint(Opt.Shared->ActiveBundle.read(guard), ret.Endpoint);
  if (!ep || ret.Cancelled)
    return;
  const VersionStatsKey key{ep->Pool, a.Version, ep->Id,
                            c.Request.Admitted.Route,
                            loadOf(*ep, Opt.Shared->Endpoints.read(guard))};
  VersionStatsCounts &row = Rows[key];
  ++row.Requests;
  if (ret.EndpointFailed) {
    ++row.Failures;
    return;
  }
  row.FirstTokenNanos += static_cast<std::uint64_t>(ret.FirstTokenTime.count());
  row.TotalNanos += static_cast<std::uint64_t>(ret.TotalTime.count());
  row.OutputTokens += ret.OutputTokens;
}

void Worker::expire(Time now) {
  while (!Due.empty() && Due.begin()->first <= now) {
    Call &c = *Calls.at(Due.begin()->second);
    onTime(c.State, Rules, now, Actions);
    settle(c);
  }
  if (!StopBy || now < *StopBy)
    return;
  while (!Calls.empty()) {
    Call &c = *Calls.begin()->second;
    onStop(c.State, Rules, now, Actions);
    settle(c);
  }
}

void Worker::housekeep(Time now) {
  NextHousekeeping = now + HousekeepingPeriod;
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
  list.Rows.reserve(Rows.size());
  for (const auto &it : Rows)
    list.Rows.push_back({it.first, it.second});
  if (!list.Rows.empty())
    Seen.publish(std::move(list));
}

} // namespace

struct WorkerThread::State {
  WorkerOptions Opt;
  WorkerMailbox Box;
  std::atomic<std::uint64_t> Held{0};
  Cell<VersionStatsList> Seen;
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
    Worker worker(s->Opt, s->Box, s->Held, s->Seen);
    worker.run();
  });
  return WorkerThread(std::move(st));
}

void WorkerThread::post(WorkerMessage msg) {
  St->Box.post(std::make_unique<WorkerMessage>(std::move(msg)));
}

std::uint64_t WorkerThread::requestsInProgress() const noexcept {
  return St->Held.load(std::memory_order_relaxed);
}

VersionStatsList WorkerThread::versionStats() const { return St->Seen.copy(); }

} // namespace zinniagauge
