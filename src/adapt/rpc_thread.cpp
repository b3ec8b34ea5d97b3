#include "zinniagauge/adapt/rpc_thread.h"

#include "zinniagauge/adapt/bundle_json.h"
#include "zinniagauge/adapt/peer_connections.h"
#include "zinniagauge/adapt/wire_codec.h"
#include "zinniagauge/board/invariant.h"
#include "zinniagauge/decide/assign.h"
#include "zinniagauge/decide/scheduler_host.h"

#include "zinnia.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <atomic>
#include <future>
#include <map>
#include <thread>
#include <utility>
#include <vector>

namespace zinniagauge {

namespace {

/// How long a peer is not chosen as scheduler after a ticket could not be
/// submitted to it. In that time other VMs take over its schedulers, before the
/// members agree that it is dead.
constexpr Duration UnreachablePeerBackoff = std::chrono::seconds(2);

template <typename... Fns> struct Overloaded : Fns... {
  using Fns::operator()...;
};
template <typename... Fns> Overloaded(Fns...) -> Overloaded<Fns...>;

using ResponseFulfiller = kj::Own<kj::PromiseFulfiller<void>>;

/// A submit call of another VM's entry whose response is still open.
struct PendingSubmit {
  wire::Answer::Builder Response; // Owned by the call's context.
  ResponseFulfiller Fulfiller;    // Completes the call.
};

/// The state of the RPC thread; used on that thread only.
class RpcLoop final : kj::TaskSet::ErrorHandler {
public:
  RpcLoop(const RpcOptions &opt, RpcMailbox &inbox, std::atomic<bool> &busy);

  /// Listens on the configured address; throws kj::Exception if that fails.
  void listen();

  /// Runs the event loop until a StopRpcThread message arrives.
  void serve();

  /// Queues a ticket of another VM's entry; the promise resolves when \p to
  /// holds the grant or refusal.
  kj::Promise<void> submit(const Ticket &t, ZoneId zone,
                           wire::Answer::Builder to);
  void cancelTicket(AttemptId id, SchedulerKey key);
  void acceptReturn(const GrantReturn &ret);
  void recordGrantInUse(const Grant &g, VmId entry, SchedulerKey key);
  void updateBoard(wire::BoardUpdate::Reader from,
                   wire::BoardReport::Builder to);
  [[nodiscard]] std::uint64_t incarnation() const noexcept;

private:
  void taskFailed(kj::Exception && /*ex*/) override {}
  kj::Promise<void> watchMailbox();
  void handle(RpcMessage &msg);
  void submitTicket(const SubmitTicket &msg);
  void submitToPeer(const SubmitTicket &msg, const Member &host);
  void sendGrantReturn(const SubmitGrantReturn &msg);
  void withdraw(const WithdrawTicket &msg);
  void announceGrants(const AnnounceGrants &msg);
  void announceToPeer(const GrantInUse &grant);
  [[nodiscard]] Member hostOf(SchedulerKey key);
  [[nodiscard]] std::vector<VmId> unreachablePeers();
  [[nodiscard]] std::string addressOf(VmId vm) const;
  [[nodiscard]] ClockBound ownClock() const noexcept;
  void stepSoon();
  void stepNow();
  void deliver(const Grant &g);
  void returnUnused(const Grant &g);
  void deliver(const Refusal &r);
  void publishBundle(wire::BundleText::Reader from);

  const RpcOptions &Opt;
  RpcMailbox &Inbox;
  std::atomic<bool> &SchedulersBusy; // Some scheduler has work.
  VmId Self;
  ZoneId Zone;
  kj::AsyncIoContext Io;
  kj::UnixEventPort::FdObserver MailboxReady;
  SchedulerHost Host;
  std::map<VmId, Time> UnreachableUntil; // When a peer's backoff ends.
  std::map<AttemptId, PendingSubmit> PendingSubmits;
  /// Tickets that this VM's entry submitted to its own schedulers.
  std::map<AttemptId, SchedulerKey> LocalTickets;
  PeerConnections Peers;
  kj::Own<capnp::TwoPartyServer> Server;
  kj::Own<kj::ConnectionReceiver> Receiver;
  bool StepPending = false;
  kj::PromiseFulfillerPair<void> Stop;
  kj::TaskSet Tasks;
};

class SchedulerServer final : public wire::Scheduler::Server {
public:
  explicit SchedulerServer(RpcLoop &loop) : Loop(loop) {}

protected:
  kj::Promise<void> submit(SubmitContext ctx) override {
    const auto t = ctx.getParams().getTicket();
    return Loop.submit(read(t), {t.getZone()}, ctx.getResults().initAnswer());
  }

  kj::Promise<void> cancel(CancelContext ctx) override {
    const auto p = ctx.getParams();
    Loop.cancelTicket(read(p.getAttempt()), {{p.getZone()}, {p.getPool()}});
    return kj::READY_NOW;
  }

  kj::Promise<void> giveBack(GiveBackContext ctx) override {
    for (const auto r : ctx.getParams().getReturns())
      Loop.acceptReturn(read(r));
    return kj::READY_NOW;
  }

  kj::Promise<void> announce(AnnounceContext ctx) override {
    const auto p = ctx.getParams();
    for (const auto g : p.getGrants())
      Loop.recordGrantInUse(read(g), {p.getEntry()},
                            {{p.getZone()}, {p.getPool()}});
    return kj::READY_NOW;
  }

  kj::Promise<void> ping(PingContext ctx) override {
    auto res = ctx.getResults();
    res.setNowNanos(toNanos(monotonicNow()));
    res.setIncarnation(Loop.incarnation());
    return kj::READY_NOW;
  }

private:
  RpcLoop &Loop;
};

class BoardServer final : public wire::EntryBoard::Server {
public:
  explicit BoardServer(RpcLoop &loop) : Loop(loop) {}

protected:
  kj::Promise<void> update(UpdateContext ctx) override {
    Loop.updateBoard(ctx.getParams().getUpdate(),
                     ctx.getResults().initReport());
    return kj::READY_NOW;
  }

private:
  RpcLoop &Loop;
};

class EntryServer final : public wire::Entry::Server {
public:
  explicit EntryServer(RpcLoop &loop) : Loop(loop) {}

protected:
  kj::Promise<void> scheduler(SchedulerContext ctx) override {
    ctx.getResults().setScheduler(kj::heap<SchedulerServer>(Loop));
    return kj::READY_NOW;
  }

  kj::Promise<void> board(BoardContext ctx) override {
    ctx.getResults().setBoard(kj::heap<BoardServer>(Loop));
    return kj::READY_NOW;
  }

private:
  RpcLoop &Loop;
};

RpcLoop::RpcLoop(const RpcOptions &opt, RpcMailbox &inbox,
                 std::atomic<bool> &busy)
    : Opt(opt), Inbox(inbox), SchedulersBusy(busy), Self(VmId::of(opt.VmName)),
      Zone(ZoneId::of(opt.ZoneName)), Io(kj::setupAsyncIo()),
      MailboxReady(Io.unixEventPort, inbox.fd(),
                   kj::UnixEventPort::FdObserver::OBSERVE_READ),
      Peers(Io), Stop(kj::newPromiseAndFulfiller<void>()), Tasks(*this) {
  Host.Self = Self;
  Host.Incarnation = opt.Incarnation;
}

void RpcLoop::listen() {
  auto addr =
      Io.provider->getNetwork().parseAddress(Opt.Address).wait(Io.waitScope);
  Receiver = addr->listen();
  Server = kj::heap<capnp::TwoPartyServer>(kj::heap<EntryServer>(*this));
  Tasks.add(Server->listen(*Receiver));
}

void RpcLoop::serve() {
  Tasks.add(watchMailbox());
  Stop.promise.wait(Io.waitScope);
}

kj::Promise<void> RpcLoop::watchMailbox() {
  return MailboxReady.whenBecomesReadable().then([this] {
    Inbox.takeAll([this](std::unique_ptr<RpcMessage> msg) { handle(*msg); });
    return watchMailbox();
  });
}

void RpcLoop::handle(RpcMessage &msg) {
  std::visit(
      Overloaded{[this](const SubmitTicket &m) { submitTicket(m); },
                 [this](const SubmitGrantReturn &m) { sendGrantReturn(m); },
                 [this](const WithdrawTicket &m) { withdraw(m); },
                 [this](const AnnounceGrants &m) { announceGrants(m); },
                 [this](const SchedulerTick &) { stepSoon(); },
                 [this](const StopRpcThread &) { Stop.fulfiller->fulfill(); }},
      msg);
}

std::vector<VmId> RpcLoop::unreachablePeers() {
  const Time now = monotonicNow();
  std::erase_if(UnreachableUntil,
                [&](const auto &it) { return it.second <= now; });
  std::vector<VmId> unreachable;
  unreachable.reserve(UnreachableUntil.size());
  for (const auto &it : UnreachableUntil)
    unreachable.push_back(it.first);
  return unreachable;
}

Member RpcLoop::hostOf(SchedulerKey key) {
  const std::vector<VmId> unreachable = unreachablePeers();
  const ReadGuard guard;
  const MemberList &list = Opt.SharedBoard->Members.read(guard);
  const Member *m =
      schedulerFor(list.Members, {key.Zone, key.Pool, 0}, unreachable);
  if (m)
    return *m;
  // No members have been received yet, so this VM runs the scheduler itself.
  Member own;
  own.Id = Self;
  return own;
}

std::string RpcLoop::addressOf(VmId vm) const {
  const ReadGuard guard;
  for (const Member &m : Opt.SharedBoard->Members.read(guard).Members)
    if (m.Id == vm)
      return m.EntryAddress;
  return {};
}

ClockBound RpcLoop::ownClock() const noexcept {
  const Time now = monotonicNow();
  return {Self, Opt.Incarnation, now, now, true};
}

void RpcLoop::submitTicket(const SubmitTicket &msg) {
  const SchedulerKey key{msg.Zone, msg.NewTicket.Pool};
  const Member host = hostOf(key);
  if (host.Id != Self) {
    submitToPeer(msg, host);
    return;
  }
  LocalTickets[msg.NewTicket.Attempt] = key;
  enqueue(findOrCreateScheduler(Host, key), msg.NewTicket, monotonicNow());
  stepSoon();
}

void RpcLoop::submitToPeer(const SubmitTicket &msg, const Member &host) {
  const AttemptId id = msg.NewTicket.Attempt;
  auto req = Peers.scheduler(host.Id, host.EntryAddress).submitRequest();
  write(req.initTicket(), msg.NewTicket, msg.Zone);
  const VmId vm = host.Id;
  auto done = req.send().then(
      [this, id, vm](capnp::Response<wire::Scheduler::SubmitResults> &&res) {
        const auto ans = res.getAnswer();
        if (ans.isGrant())
          Opt.PostToWorker(id.Request,
                           Granted{read(ans.getGrant()), Peers.clockOf(vm)});
        else
          Opt.PostToWorker(id.Request, Refused{id, static_cast<RefusalReason>(
                                                       ans.getRefusal())});
      },
      [this, id, vm](kj::Exception && /*ex*/) {
        UnreachableUntil[vm] = monotonicNow() + UnreachablePeerBackoff;
        Opt.PostToWorker(id.Request, SchedulerUnreachable{id});
      });
  Tasks.add(kj::mv(done));
}

void RpcLoop::sendGrantReturn(const SubmitGrantReturn &msg) {
  const VmId host = msg.Return.Id.Scheduler;
  if (host == Self) {
    acceptReturn(msg.Return);
    return;
  }
  const std::string address = addressOf(host);
  if (address.empty())
    return; // The VM has left, and its scheduler's counts are gone too.
  auto req = Peers.scheduler(host, address).giveBackRequest();
  write(req.initReturns(1)[0], msg.Return);
  Tasks.add(req.send().ignoreResult());
}

void RpcLoop::withdraw(const WithdrawTicket &msg) {
  const SchedulerKey key{msg.Zone, msg.Pool};
  const Member host = hostOf(key);
  if (host.Id == Self) {
    cancelTicket(msg.Attempt, key);
    return;
  }
  auto req = Peers.scheduler(host.Id, host.EntryAddress).cancelRequest();
  write(req.initAttempt(), msg.Attempt);
  req.setPool(msg.Pool.Value);
  req.setZone(msg.Zone.Value);
  Tasks.add(req.send().ignoreResult());
}

void RpcLoop::announceGrants(const AnnounceGrants &msg) {
  for (const GrantInUse &grant : msg.Grants) {
    const SchedulerKey key{grant.Zone, grant.Pool};
    if (hostOf(key).Id == Self)
      recordGrantInUse(grant.UsedGrant, Self, key);
    else
      announceToPeer(grant);
  }
}

void RpcLoop::announceToPeer(const GrantInUse &grant) {
  const Member host = hostOf({grant.Zone, grant.Pool});
  auto req = Peers.scheduler(host.Id, host.EntryAddress).announceRequest();
  write(req.initGrants(1)[0], grant.UsedGrant);
  req.setEntry(Self.Value);
  req.setPool(grant.Pool.Value);
  req.setZone(grant.Zone.Value);
  Tasks.add(req.send().ignoreResult());
}

kj::Promise<void> RpcLoop::submit(const Ticket &t, ZoneId zone,
                                  wire::Answer::Builder to) {
  auto paf = kj::newPromiseAndFulfiller<void>();
  PendingSubmits.erase(t.Attempt);
  PendingSubmits.emplace(t.Attempt, PendingSubmit{to, kj::mv(paf.fulfiller)});
  enqueue(findOrCreateScheduler(Host, {zone, t.Pool}), t, monotonicNow());
  stepSoon();
  return kj::mv(paf.promise);
}

void RpcLoop::cancelTicket(AttemptId id, SchedulerKey key) {
  cancel(findOrCreateScheduler(Host, key), id);
  PendingSubmits.erase(id);
  LocalTickets.erase(id);
}

void RpcLoop::acceptReturn(const GrantReturn &ret) {
  // Only the scheduler that issued the grant has a record of it; the others
  // ignore the return.
  for (auto &it : Host.Schedulers)
    returnGrant(it.second, ret, monotonicNow());
  stepSoon();
}

void RpcLoop::recordGrantInUse(const Grant &g, VmId entry, SchedulerKey key) {
  announce(findOrCreateScheduler(Host, key), g, entry, monotonicNow());
}

std::uint64_t RpcLoop::incarnation() const noexcept { return Opt.Incarnation; }

void RpcLoop::stepSoon() {
  // One step handles all messages that arrive in this turn of the event loop.
  if (StepPending)
    return;
  StepPending = true;
  Tasks.add(kj::evalLast([this] { stepNow(); }));
}

void RpcLoop::stepNow() {
  StepPending = false;
  ScheduleActions out;
  {
    const ReadGuard guard;
    const Board &b = *Opt.SharedBoard;
    const ScheduleView view{b.ActiveBundle.read(guard), b.Endpoints.read(guard),
                            b.Moves.read(guard)};
    step(Host, view, monotonicNow(), out);
  }
  for (const Grant &g : out.Grants)
    deliver(g);
  for (const Refusal &r : out.Refusals)
    deliver(r);
  SchedulersBusy.store(hasWork(Host), std::memory_order_relaxed);
}

void RpcLoop::deliver(const Grant &g) {
  Opt.SharedBoard->Counts.Grants.add();
  if (LocalTickets.erase(g.Attempt) > 0) {
    Opt.PostToWorker(g.Attempt.Request, Granted{g, ownClock()});
    return;
  }
  const auto it = PendingSubmits.find(g.Attempt);
  const bool waiting =
      it != PendingSubmits.end() && it->second.Fulfiller->isWaiting();
  if (waiting) {
    write(it->second.Response.initGrant(), g);
    it->second.Fulfiller->fulfill();
  } else {
    returnUnused(g);
  }
  if (it != PendingSubmits.end())
    PendingSubmits.erase(it);
}

void RpcLoop::returnUnused(const Grant &g) {
  // The entry that submitted the ticket has disconnected, so its call can't be
  // completed any more.
  GrantReturn ret;
  ret.Id = g.Id;
  ret.Attempt = g.Attempt;
  ret.Endpoint = g.Endpoint;
  acceptReturn(ret);
}

void RpcLoop::deliver(const Refusal &r) {
  Opt.SharedBoard->Counts.Refusals.add();
  if (LocalTickets.erase(r.Attempt) > 0) {
    Opt.PostToWorker(r.Attempt.Request, Refused{r.Attempt, r.Reason});
    return;
  }
  const auto it = PendingSubmits.find(r.Attempt);
  if (it == PendingSubmits.end())
    return;
  if (it->second.Fulfiller->isWaiting()) {
    it->second.Response.setRefusal(static_cast<std::uint8_t>(r.Reason));
    it->second.Fulfiller->fulfill();
  }
  PendingSubmits.erase(it);
}

void RpcLoop::publishBundle(wire::BundleText::Reader from) {
  const ReadGuard guard;
  const std::uint64_t active =
      Opt.SharedBoard->ActiveBundle.read(guard).Version;
  if (from.getVersion() <= active || from.getText().size() == 0)
    return;
  const kj::StringPtr text = from.getText();
  auto next = parseBundle(from.getVersion(), {text.begin(), text.size()});
  if (next && check(Invariant::VersionRises, next->Version > active))
    Opt.SharedBoard->ActiveBundle.publish(std::move(*next));
}

void RpcLoop::updateBoard(wire::BoardUpdate::Reader from,
                          wire::BoardReport::Builder to) {
  Board &b = *Opt.SharedBoard;
  publishBundle(from.getBundle());
  b.Members.publish(read(from.getMembers()));
  b.Endpoints.publish(read(from.getEndpoints(), monotonicNow()));
  b.Moves.publish(read(from.getMoves()));
  {
    const ReadGuard guard;
    applyShares(*Opt.Shares, b.ActiveBundle.read(guard), b.Moves.read(guard));
    to.setBundleVersion(b.ActiveBundle.read(guard).Version);
  }
  const VersionStatsList stats = Opt.CollectVersionStats();
  write(to.initEvidence(static_cast<unsigned>(stats.Rows.size())), stats.Rows);
  to.setInProgress(Opt.CountInProgress());
  to.setStopping(Opt.IsStopping());
  stepSoon();
}

} // namespace

struct RpcThread::State {
  RpcOptions Opt;
  RpcMailbox Inbox;
  std::atomic<bool> SchedulersBusy{false};
  std::thread Thread;
};

RpcThread::RpcThread(std::unique_ptr<State> st) noexcept : St(std::move(st)) {}
RpcThread::RpcThread(RpcThread &&) noexcept = default;
RpcThread &RpcThread::operator=(RpcThread &&) noexcept = default;

RpcThread::~RpcThread() {
  if (!St)
    return;
  post(StopRpcThread{});
  St->Thread.join();
}

Result<RpcThread> RpcThread::start(RpcOptions opt) {
  auto st = std::make_unique<State>();
  st->Opt = std::move(opt);
  std::promise<std::string> listening; // Empty if listening succeeded.
  auto started = listening.get_future();
  st->Thread = std::thread([s = st.get(), &listening] {
    RpcLoop loop(s->Opt, s->Inbox, s->SchedulersBusy);
    try {
      loop.listen();
    } catch (const kj::Exception &ex) {
      listening.set_value(ex.getDescription().cStr());
      return;
    }
    listening.set_value({});
    loop.serve();
  });
  const std::string error = started.get();
  if (error.empty())
    return RpcThread(std::move(st));
  st->Thread.join();
  return fail({ErrorCode::Unavailable, Step::Connect, st->Opt.Address, error});
}

void RpcThread::tick() {
  if (St->SchedulersBusy.load(std::memory_order_relaxed))
    post(SchedulerTick{});
}

void RpcThread::post(RpcMessage msg) {
  St->Inbox.post(std::make_unique<RpcMessage>(std::move(msg)));
}

} // namespace zinniagauge
