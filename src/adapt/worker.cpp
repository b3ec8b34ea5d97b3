#include "zinniagauge/adapt/worker.h"

#include "zinniagauge/adapt/problem.h"
#include "zinniagauge/adapt/transfer.h"
#include "zinniagauge/adapt/usage.h"
#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/spill.h"

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
  Dispatch Life;
  Arrival Asked;
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

AnswerHead readHead(const TransferEvent &ev) {
  AnswerHead head;
  head.Status = ev.Status;
  head.SaysNotRun = headerOf(ev.Headers, NotRunHeader) == "1";
  head.EventStream =
      headerOf(ev.Headers, "Content-Type").starts_with("text/event-stream");
  const std::string offset(headerOf(ev.Headers, "Zinnia-Resume-Offset"));
  if (!offset.empty())
    head.Offset = std::strtoull(offset.c_str(), nullptr, 10);
  return head;
}

/// How loaded an endpoint was, by its own last report.
LoadClass loadOf(const EndpointSpec &ep, const EndpointList &states) noexcept {
  const EndpointState *st = findState(states, ep.Id);
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
  Worker(WorkerOptions &opt, WorkerBox &box, std::atomic<std::uint64_t> &held,
         Cell<EvidenceList> &seen);

  /// Works until told to stop and nothing is held any more.
  void run();

private:
  void take(WorkerMessage &msg);
  void take(Arrival &msg);
  void take(const Granted &msg);
  void take(const Refused &msg);
  void take(const SchedulerLost &msg);
  void take(const ClaimDecided &msg);
  void take(const CallerGone &msg);
  void take(const StopWorker &msg);

  void onTransfer(const TransferEvent &ev);
  void onAnswerEnd(Call &c, const TransferEvent &ev);
  bool maySendNow(TransferId id);

  Call *find(RequestId id);
  void settle(Call &c);
  void carryOut(Call &c);
  void act(Call &c, const AskGrant &a);
  void act(Call &c, const CancelTicket &a);
  void act(Call &c, const TakeClaim &a);
  void act(Call &c, const RecordOutcome &a);
  void act(Call &c, const SendRequest &a);
  void act(Call &c, const CancelAtEndpoint &a);
  void act(Call &c, const GiveBack &a);
  void act(Call &c, const BeginAnswer &a);
  void act(Call &c, const PassOn &a);
  void act(Call &c, const FinishRequest &a);

  void dropShare(Call &c);
  [[nodiscard]] TransferSpec transferOf(const Call &c, const SendRequest &a,
                                        const EndpointSpec &ep) const;
  void sendAnswer(Call &c, const FinishRequest &a);
  void endStream(Call &c, const FinishRequest &a);
  void count(const Call &c, Outcome oc) const;
  void note(const Call &c, const GiveBack &a);
  void countClaim(ClaimStatus st) const;
  void expire(Time now);
  void housekeep(Time now);
  [[nodiscard]] Duration sleepFor(Time now) const;

  WorkerOptions &Opt;
  WorkerBox &Box;
  std::atomic<std::uint64_t> &Held;
  Cell<EvidenceList> &Seen;
  TransferPool Pool;
  Dispatcher Rules;
  CallMap Calls;
  std::set<std::pair<Time, RequestId>> Due;
  std::unordered_map<std::uint64_t, RequestId> ByConnection;
  std::map<EvidenceKey, EvidenceCounts> Rows;
  DispatchActions Actions;
  bool CallerLeft = false; // Found out while actions are carried out.
  std::uint64_t Random;
  Time NextHousekeeping;
  std::optional<Time> StopBy;
};

Worker::Worker(WorkerOptions &opt, WorkerBox &box,
               std::atomic<std::uint64_t> &held, Cell<EvidenceList> &seen)
    : Opt(opt), Box(box), Held(held), Seen(seen),
      Pool({[this](const TransferEvent &ev) { onTransfer(ev); },
            [this](TransferId id) { return maySendNow(id); }}),
      Random(opt.Seed) {
  Rules.Limits = opt.Limits;
  Pool.watch(box.fd());
}

void Worker::run() {
  while (!StopBy || !Calls.empty()) {
    Pool.turn(sleepFor(monotonicNow()));
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

void Worker::take(Arrival &msg) {
  auto owned = std::make_unique<Call>(
      Call{{}, std::move(msg), {}, {}, {}, {}, {}, Time::max()});
  Call &c = *owned;
  const Arrival &asked = c.Asked;
  DispatchWork work;
  work.Id = asked.Id;
  work.Admitted = asked.Admitted;
  work.Keyed = !asked.IdempotencyKey.empty();
  work.Random = nextRandom(Random);
  {
    const ReadGuard guard;
    const Bundle &b = Opt.Shared->InForce.read(guard);
    const PoolSpec *pool = findPool(b, asked.Admitted.Pool);
    const std::size_t zones = zonesOf(b, asked.Admitted.Pool).size();
    work.Engine = pool && pool->Kind == PoolKind::Engine;
    work.Schedulers =
        static_cast<std::uint32_t>(std::max<std::size_t>(zones, 1));
  }
  ByConnection[asked.Asked.Connection] = asked.Id;
  Calls.emplace(asked.Id, std::move(owned));
  Held.fetch_add(1, std::memory_order_relaxed);
  onArrived(c.Life, Rules, work, monotonicNow(), Actions);
  settle(c);
}

void Worker::take(const Granted &msg) {
  Call *c = find(msg.Given.Attempt.Request);
  if (!c) {
    Opt.ToRpc(ReturnGrant{unused(msg.Given)});
    return;
  }
  c->GrantedAt = monotonicNow();
  onGrant(c->Life, Rules, msg.Given, msg.Clock, c->GrantedAt, Actions);
  settle(*c);
}

void Worker::take(const Refused &msg) {
  Call *c = find(msg.Attempt.Request);
  if (!c)
    return;
  onRefused(c->Life, Rules, msg.Attempt, msg.Reason, monotonicNow(), Actions);
  settle(*c);
}

void Worker::take(const SchedulerLost &msg) {
  Call *c = find(msg.Attempt.Request);
  if (!c)
    return;
  onSchedulerLost(c->Life, Rules, msg.Attempt, monotonicNow(), Actions);
  settle(*c);
}

void Worker::take(const ClaimDecided &msg) {
  countClaim(msg.Result.Status);
  Call *c = find(msg.Request);
  if (!c)
    return;
  onClaim(c->Life, Rules, msg.Result, monotonicNow(), Actions);
  settle(*c);
}

void Worker::take(const CallerGone &msg) {
  const auto it = ByConnection.find(msg.Connection);
  if (it == ByConnection.end())
    return;
  Call *c = find(it->second);
  Opt.Shared->Counts.CallersGone.add();
  onCallerGone(c->Life, Rules, monotonicNow(), Actions);
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
  if (!c || ev.Id != c->Life.Current)
    return;
  const Time now = monotonicNow();
  switch (ev.Stage) {
  case TransferStage::Head:
    c->ContentType = headerOf(ev.Headers, "Content-Type");
    onHead(c->Life, Rules, ev.Id, readHead(ev), now, Actions);
    break;
  case TransferStage::Part:
    if (c->Asked.Admitted.Stream) {
      c->Tail.append(ev.Bytes);
      if (c->Tail.size() > 2 * TailBytes)
        c->Tail.erase(0, c->Tail.size() - TailBytes);
    }
    onPart(c->Life, Rules, ev.Id, ev.Bytes, now, Actions);
    break;
  case TransferStage::End:
    onAnswerEnd(*c, ev);
    break;
  }
  settle(*c);
}

void Worker::onAnswerEnd(Call &c, const TransferEvent &ev) {
  const Time now = monotonicNow();
  if (!ev.Whole) {
    const bool unsent = c.Life.Phase == DispatchPhase::Connecting;
    const Error err{unsent ? ErrorCode::Unavailable : ErrorCode::Broken,
                    unsent ? Step::Connect : Step::Answer,
                    {},
                    std::string(ev.Detail)};
    onBroken(c.Life, Rules, ev.Id, err, now, Actions);
    return;
  }
  if (c.Life.Work.Engine) {
    const Usage u = c.Asked.Admitted.Stream ? readStreamUsage(c.Tail)
                                            : readUsage(c.Life.Body);
    c.Life.OutputTokens = u.OutputTokens;
    c.Life.CachedTokens = u.CachedTokens;
  }
  onEnd(c.Life, Rules, ev.Id, true, now, Actions);
}

bool Worker::maySendNow(TransferId id) {
  Call *c = find(id.Attempt.Request);
  if (!c)
    return false;
  const Time now = monotonicNow();
  if (id.Resume == 0 && c->Share && isReady(c->Life, id, now)) {
    const ShareChoice made = *std::exchange(c->Share, std::nullopt);
    if (!startDispatch(*Opt.Shares, made, c->Life.Held->Version))
      refuseSend(c->Life);
  }
  return maySend(c->Life, Rules, id, now);
}

void Worker::settle(Call &c) {
  carryOut(c);
  if (std::exchange(CallerLeft, false)) {
    onCallerGone(c.Life, Rules, monotonicNow(), Actions);
    carryOut(c);
  }
  const RequestId id = c.Asked.Id;
  if (c.Due != Time::max())
    Due.erase({c.Due, id});
  if (c.Life.Phase == DispatchPhase::Done) {
    dropShare(c);
    ByConnection.erase(c.Asked.Asked.Connection);
    Calls.erase(id);
    Held.fetch_sub(1, std::memory_order_relaxed);
    return;
  }
  c.Due = dueAt(c.Life);
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

void Worker::act(Call &c, const AskGrant &a) {
  const Admission &adm = c.Asked.Admitted;
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
  t.Avoid = a.Avoid;
  dropShare(c);
  {
    const ReadGuard guard;
    const Bundle &b = Opt.Shared->InForce.read(guard);
    c.Share = chooseVersion(*Opt.Shares, b, adm.Pool);
    c.Zone = zoneInTurn(b, adm.Pool, Opt.Zone, c.Asked.Id.Low, a.Scheduler);
  }
  t.Choice = c.Share->Choice;
  t.MoveTo = c.Share->To;
  Opt.ToRpc(SubmitTicket{t, c.Zone});
}

void Worker::act(Call &c, const CancelTicket &a) {
  Opt.ToRpc(DropTicket{a.Attempt, c.Asked.Admitted.Pool, c.Zone});
}

void Worker::act(Call &c, const TakeClaim &a) {
  const Arrival &asked = c.Asked;
  if (asked.Ticket)
    Opt.ToClaims(AskTicket{a.Request, *asked.Ticket});
  else
    Opt.ToClaims(AskClaim{
        a.Request, claimKeyOf(asked.Admitted.Workspace, asked.IdempotencyKey)});
}

void Worker::act(Call & /*c*/, const RecordOutcome &a) {
  Opt.ToClaims(WriteOutcome{a.Request, a.Result});
}

TransferSpec Worker::transferOf(const Call &c, const SendRequest &a,
                                const EndpointSpec &ep) const {
  const HttpRequest &req = c.Asked.Asked;
  TransferSpec spec;
  spec.Id = a.Transfer;
  spec.Method = req.Method;
  spec.Url = "http://" + ep.Host + ":" + std::to_string(ep.Port) + req.Path;
  if (!req.Query.empty())
    spec.Url.append("?").append(req.Query);
  spec.Body = req.Body;
  spec.Fresh = a.Fresh;
  spec.ConnectTimeout = Opt.ConnectTimeout;
  const std::string_view type = req.header("Content-Type");
  spec.Headers.push_back({"Content-Type", type.empty()
                                              ? std::string("application/json")
                                              : std::string(type)});
  spec.Headers.push_back({std::string(RequestIdHeader), toString(c.Asked.Id)});
  if (!c.Asked.IdempotencyKey.empty())
    spec.Headers.push_back({"Idempotency-Key", c.Asked.IdempotencyKey});
  if (a.Offset)
    spec.Headers.push_back({"Zinnia-Resume-Offset", std::to_string(*a.Offset)});
  return spec;
}

void Worker::act(Call &c, const SendRequest &a) {
  std::optional<TransferSpec> spec;
  {
    const ReadGuard guard;
    const EndpointSpec *ep =
        findEndpoint(Opt.Shared->InForce.read(guard), a.Endpoint);
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
  onBroken(c.Life, Rules, a.Transfer, err, monotonicNow(), Actions);
}

void Worker::act(Call & /*c*/, const CancelAtEndpoint &a) {
  // Closing the connection is what tells the engine: it watches for that.
  Pool.cancel(a.Transfer);
}

void Worker::act(Call &c, const GiveBack &a) {
  note(c, a);
  Opt.ToRpc(ReturnGrant{a.Return});
}

void Worker::act(Call &c, const BeginAnswer &a) {
  const std::array<HttpHeader, 3> headers = {
      {{"Content-Type", c.ContentType},
       {"Cache-Control", "no-store"},
       {std::string(RequestIdHeader), toString(c.Asked.Id)}}};
  if (!c.Asked.Reply.start(a.Status, headers))
    CallerLeft = true;
}

void Worker::act(Call &c, const PassOn &a) {
  if (!c.Asked.Reply.write(a.Part))
    CallerLeft = true;
}

void Worker::act(Call &c, const FinishRequest &a) {
  count(c, a.Result);
  if (c.Life.CallerGone)
    return;
  if (c.Life.Begun)
    endStream(c, a);
  else
    sendAnswer(c, a);
}

void Worker::sendAnswer(Call &c, const FinishRequest &a) {
  if (a.Status != 0) {
    const std::array<HttpHeader, 3> headers = {
        {{"Content-Type", c.ContentType},
         {std::string(RequestIdHeader), toString(c.Asked.Id)},
         {std::string(OutcomeHeader), std::string(toString(a.Result))}}};
    c.Asked.Reply.send(a.Status, headers, a.Body);
    return;
  }
  Error err =
      a.Err.value_or(Error{ErrorCode::Broken, Step::Answer, {}, "no answer"});
  const ReadGuard guard;
  const EndpointSpec *ep =
      findEndpoint(Opt.Shared->InForce.read(guard), a.Endpoint);
  if (ep && err.Peer.empty())
    err.Peer = ep->Name;
  sendProblem(c.Asked.Reply, err, a.Result, c.Asked.Id);
}

void Worker::endStream(Call &c, const FinishRequest &a) {
  // A comment, which clients of event streams skip.
  std::string last = ": outcome ";
  last.append(toString(a.Result)).append("\n\n");
  if (!a.Whole && a.Err) {
    last.append("event: error\ndata: ");
    last.append(problemJson(*a.Err, a.Result, c.Asked.Id)).append("\n\n");
  }
  const bool told = static_cast<bool>(c.Asked.Reply.write(last));
  if (a.Whole && told)
    c.Asked.Reply.end();
  else
    c.Asked.Reply.abort();
}

void Worker::dropShare(Call &c) {
  if (c.Share)
    dropChoice(*Opt.Shares, *c.Share);
  c.Share.reset();
}

void Worker::count(const Call &c, Outcome oc) const {
  const Time now = monotonicNow();
  const Time at = c.Asked.At;
  const Tier rank = c.Asked.Admitted.Rank;
  TierCounters &tier = Opt.Shared->Counts.ByTier[rank.Rank];
  tier.ByOutcome[static_cast<std::size_t>(oc)].add();
  Opt.Shared->Counts.GrantsLapsed.add(c.Life.Lapses);
  Opt.Shared->Counts.Retries.add(c.Life.Retries);
  tier.Total.observe(micros(now - at));
  if (c.GrantedAt != Time{})
    tier.Wait.observe(micros(c.GrantedAt - at));
  if (!c.Life.FirstByteAt)
    return;
  const Duration first = *c.Life.FirstByteAt - at;
  tier.FirstToken.observe(micros(first));
  const ReadGuard guard;
  for (const TierSpec &t : Opt.Shared->InForce.read(guard).Tiers)
    if (t.Rank == rank && oc == Outcome::Completed &&
        first <= t.FirstTokenTarget)
      tier.Good.add();
}

void Worker::countClaim(ClaimStatus st) const {
  Counters &all = Opt.Shared->Counts;
  if (st == ClaimStatus::Mine)
    all.ClaimsTaken.add();
  else if (st == ClaimStatus::Unreadable)
    all.ClaimsUnknown.add();
  else
    all.ClaimsRefused.add();
}

void Worker::note(const Call &c, const GiveBack &a) {
  const GrantReturn &ret = a.Return;
  if (!ret.Dispatched)
    return;
  Counters &all = Opt.Shared->Counts;
  all.PromptTokens.add(ret.PromptTokens);
  all.OutputTokens.add(ret.OutputTokens);
  const ReadGuard guard;
  const EndpointSpec *ep =
      findEndpoint(Opt.Shared->InForce.read(guard), ret.Endpoint);
  if (!ep || ret.Cancelled)
    return;
  const EvidenceKey key{ep->Pool, a.Version, ep->Id, c.Asked.Admitted.Route,
                        loadOf(*ep, Opt.Shared->Endpoints.read(guard))};
  EvidenceCounts &row = Rows[key];
  ++row.Requests;
  if (ret.Broken) {
    ++row.Failures;
    return;
  }
  row.FirstTokenNanos += static_cast<std::uint64_t>(ret.FirstToken.count());
  row.TotalNanos += static_cast<std::uint64_t>(ret.Total.count());
  row.OutputTokens += ret.OutputTokens;
}

void Worker::expire(Time now) {
  while (!Due.empty() && Due.begin()->first <= now) {
    Call &c = *Calls.at(Due.begin()->second);
    onTime(c.Life, Rules, now, Actions);
    settle(c);
  }
  if (!StopBy || now < *StopBy)
    return;
  while (!Calls.empty()) {
    Call &c = *Calls.begin()->second;
    onStop(c.Life, Rules, now, Actions);
    settle(c);
  }
}

void Worker::housekeep(Time now) {
  NextHousekeeping = now + HousekeepingPeriod;
  HoldGrants msg;
  for (const auto &it : Calls) {
    const Call &c = *it.second;
    if (c.Life.Held && c.Life.Phase == DispatchPhase::Answering)
      msg.Held.push_back({*c.Life.Held, c.Asked.Admitted.Pool, c.Zone});
  }
  if (!msg.Held.empty())
    Opt.ToRpc(std::move(msg));
  EvidenceList list;
  list.Rows.reserve(Rows.size());
  for (const auto &it : Rows)
    list.Rows.push_back({it.first, it.second});
  if (!list.Rows.empty())
    Seen.publish(std::move(list));
}

} // namespace

struct WorkerThread::State {
  WorkerOptions Opt;
  WorkerBox Box;
  std::atomic<std::uint64_t> Held{0};
  Cell<EvidenceList> Seen;
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

std::uint64_t WorkerThread::inProgress() const noexcept {
  return St->Held.load(std::memory_order_relaxed);
}

EvidenceList WorkerThread::evidence() const { return St->Seen.copy(); }

} // namespace zinniagauge
