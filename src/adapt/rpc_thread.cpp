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

/// How long a peer that could not be reached is asked for nothing: its roles
/// pass to others before the members agree that it is dead.
constexpr Duration LostPeerPause = std::chrono::seconds(2);

template <typename... Fns> struct Overloaded : Fns... {
  using Fns::operator()...;
};
template <typename... Fns> Overloaded(Fns...) -> Overloaded<Fns...>;

using Answer = kj::Own<kj::PromiseFulfiller<void>>;

/// What a remote entry waits for: the place to write to, and the call to end.
struct PendingSubmit {
  wire::Answer::Builder To;
  Answer Done;
};

/// All that lives on the RPC thread.
class Core final : kj::TaskSet::ErrorHandler {
public:
  Core(const RpcOptions &opt, RpcMailbox &box, std::atomic<bool> &busy);

  /// Listens at the address of the settings; throws kj::Exception if it is
  /// taken.
  void listen();

  /// Serves until told to stop.
  void serve();

  kj::Promise<void> submit(const Ticket &t, ZoneId zone,
                           wire::Answer::Builder to);
  void cancelTicket(AttemptId id, SchedulerKey key);
  void takeBack(const GrantReturn &ret);
  void takeOver(const Grant &g, VmId entry, SchedulerKey key);
  void update(wire::BoardUpdate::Reader from, wire::BoardReport::Builder to);
  [[nodiscard]] std::uint64_t incarnation() const noexcept;

private:
  void taskFailed(kj::Exception && /*ex*/) override {}
  kj::Promise<void> watchBox();
  void take(RpcMessage &msg);
  void ask(const SubmitTicket &msg);
  void askPeer(const SubmitTicket &msg, const Member &holder);
  void giveBackTo(const SubmitGrantReturn &msg);
  void drop(const WithdrawTicket &msg);
  void hold(const AnnounceGrants &msg);
  void holdAtPeer(const GrantInUse &held);
  [[nodiscard]] Member holderOf(SchedulerKey key);
  [[nodiscard]] std::vector<VmId> lostPeers();
  [[nodiscard]] std::string addressOf(VmId vm) const;
  [[nodiscard]] ClockBound ownClock() const noexcept;
  void stepSoon();
  void stepNow();
  void deliver(const Grant &g);
  void returnUnused(const Grant &g);
  void deliver(const Refusal &r);
  void publishBundle(wire::BundleText::Reader from);

  const RpcOptions &Opt;
  RpcMailbox &Box;
  std::atomic<bool> &Busy; // The schedulers have work.
  VmId Self;
  ZoneId Zone;
  kj::AsyncIoContext Io;
  kj::UnixEventPort::FdObserver BoxReady;
  SchedulerHost Host;
  std::map<VmId, Time> LostUntil; // Peers that could not be reached.
  std::map<AttemptId, PendingSubmit> Submits;
  std::map<AttemptId, SchedulerKey> Local; // Tickets of this VM's own entry.
  PeerConnections Links;
  kj::Own<capnp::TwoPartyServer> Server;
  kj::Own<kj::ConnectionReceiver> Receiver;
  bool StepPending = false;
  kj::PromiseFulfillerPair<void> Stop;
  kj::TaskSet Tasks;
};

class SchedulerServer final : public wire::Scheduler::Server {
public:
  explicit SchedulerServer(Core &c) : At(c) {}

protected:
  kj::Promise<void> submit(SubmitContext ctx) override {
    const auto t = ctx.getParams().getTicket();
    return At.submit(read(t), {t.getZone()}, ctx.getResults().initAnswer());
  }

  kj::Promise<void> cancel(CancelContext ctx) override {
    const auto p = ctx.getParams();
    At.cancelTicket(read(p.getAttempt()), {{p.getZone()}, {p.getPool()}});
    return kj::READY_NOW;
  }

  kj::Promise<void> giveBack(GiveBackContext ctx) override {
    for (const auto r : ctx.getParams().getReturns())
      At.takeBack(read(r));
    return kj::READY_NOW;
  }

  kj::Promise<void> announce(AnnounceContext ctx) override {
    const auto p = ctx.getParams();
    for (const auto g : p.getGrants())
      At.takeOver(read(g), {p.getEntry()}, {{p.getZone()}, {p.getPool()}});
    return kj::READY_NOW;
  }

  kj::Promise<void> ping(PingContext ctx) override {
    auto res = ctx.getResults();
    res.setNowNanos(toNanos(monotonicNow()));
    res.setIncarnation(At.incarnation());
    return kj::READY_NOW;
  }

private:
  Core &At;
};

class BoardServer final : public wire::EntryBoard::Server {
public:
  explicit BoardServer(Core &c) : At(c) {}

protected:
  kj::Promise<void> update(UpdateContext ctx) override {
    At.update(ctx.getParams().getUpdate(), ctx.getResults().initReport());
    return kj::READY_NOW;
  }

private:
  Core &At;
};

class EntryServer final : public wire::Entry::Server {
public:
  explicit EntryServer(Core &c) : At(c) {}

protected:
  kj::Promise<void> scheduler(SchedulerContext ctx) override {
    ctx.getResults().setScheduler(kj::heap<SchedulerServer>(At));
    return kj::READY_NOW;
  }

  kj::Promise<void> board(BoardContext ctx) override {
    ctx.getResults().setBoard(kj::heap<BoardServer>(At));
    return kj::READY_NOW;
  }

private:
  Core &At;
};

Core::Core(const RpcOptions &opt, RpcMailbox &box, std::atomic<bool> &busy)
    : Opt(opt), Box(box), Busy(busy), Self(VmId::of(opt.VmName)),
      Zone(ZoneId::of(opt.ZoneName)), Io(kj::setupAsyncIo()),
      BoxReady(Io.unixEventPort, box.fd(),
               kj::UnixEventPort::FdObserver::OBSERVE_READ),
      Links(Io), Stop(kj::newPromiseAndFulfiller<void>()), Tasks(*this) {
  Host.Self = Self;
  Host.Incarnation = opt.Incarnation;
}

void Core::listen() {
  auto addr =
      Io.provider->getNetwork().parseAddress(Opt.Address).wait(Io.waitScope);
  Receiver = addr->listen();
  Server = kj::heap<capnp::TwoPartyServer>(kj::heap<EntryServer>(*this));
  Tasks.add(Server->listen(*Receiver));
}

void Core::serve() {
  Tasks.add(watchBox());
  Stop.promise.wait(Io.waitScope);
}

kj::Promise<void> Core::watchBox() {
  return BoxReady.whenBecomesReadable().then([this] {
    Box.takeAll([this](std::unique_ptr<RpcMessage> msg) { take(*msg); });
    return watchBox();
  });
}

void Core::take(RpcMessage &msg) {
  std::visit(
      Overloaded{[this](const SubmitTicket &m) { ask(m); },
                 [this](const SubmitGrantReturn &m) { giveBackTo(m); },
                 [this](const WithdrawTicket &m) { drop(m); },
                 [this](const AnnounceGrants &m) { hold(m); },
                 [this](const SchedulerTick &) { stepSoon(); },
                 [this](const StopRpcThread &) { Stop.fulfiller->fulfill(); }},
      msg);
}

std::vector<VmId> Core::lostPeers() {
  const Time now = monotonicNow();
  std::erase_if(LostUntil, [&](const auto &it) { return it.second <= now; });
  std::vector<VmId> lost;
  lost.reserve(LostUntil.size());
  for (const auto &it : LostUntil)
    lost.push_back(it.first);
  return lost;
}

Member Core::holderOf(SchedulerKey key) {
  const std::vector<VmId> lost = lostPeers();
  const ReadGuard guard;
  const MemberList &list = Opt.Shared->Members.read(guard);
  const Member *m = schedulerFor(list.Members, {key.Zone, key.Pool, 0}, lost);
  if (m)
    return *m;
  // Nobody is known yet, so this VM is the only one that it knows of.
  Member own;
  own.Id = Self;
  return own;
}

std::string Core::addressOf(VmId vm) const {
  const ReadGuard guard;
  for (const Member &m : Opt.Shared->Members.read(guard).Members)
    if (m.Id == vm)
      return m.EntryAddress;
  return {};
}

ClockBound Core::ownClock() const noexcept {
  const Time now = monotonicNow();
  return {Self, Opt.Incarnation, now, now, true};
}

void Core::ask(const SubmitTicket &msg) {
  const SchedulerKey key{msg.Zone, msg.NewTicket.Pool};
  const Member holder = holderOf(key);
  if (holder.Id != Self) {
    askPeer(msg, holder);
    return;
  }
  Local[msg.NewTicket.Attempt] = key;
  enqueue(findOrCreateScheduler(Host, key), msg.NewTicket, monotonicNow());
  stepSoon();
}

void Core::askPeer(const SubmitTicket &msg, const Member &holder) {
  const AttemptId id = msg.NewTicket.Attempt;
  auto req = Links.scheduler(holder.Id, holder.EntryAddress).submitRequest();
  write(req.initTicket(), msg.NewTicket, msg.Zone);
  const VmId vm = holder.Id;
  auto done = req.send().then(
      [this, id, vm](capnp::Response<wire::Scheduler::SubmitResults> &&res) {
        const auto ans = res.getAnswer();
        if (ans.isGrant())
          Opt.PostToWorker(id.Request,
                           Granted{read(ans.getGrant()), Links.clockOf(vm)});
        else
          Opt.PostToWorker(id.Request, Refused{id, static_cast<RefusalReason>(
                                                       ans.getRefusal())});
      },
      [this, id, vm](kj::Exception && /*ex*/) {
        LostUntil[vm] = monotonicNow() + LostPeerPause;
        Opt.PostToWorker(id.Request, SchedulerUnreachable{id});
      });
  Tasks.add(kj::mv(done));
}

void Core::giveBackTo(const SubmitGrantReturn &msg) {
  const VmId holder = msg.Return.Id.Scheduler;
  if (holder == Self) {
    takeBack(msg.Return);
    return;
  }
  const std::string address = addressOf(holder);
  if (address.empty())
    return; // It has left, and its counts with it.
  auto req = Links.scheduler(holder, address).giveBackRequest();
  write(req.initReturns(1)[0], msg.Return);
  Tasks.add(req.send().ignoreResult());
}

void Core::drop(const WithdrawTicket &msg) {
  const SchedulerKey key{msg.Zone, msg.Pool};
  const Member holder = holderOf(key);
  if (holder.Id == Self) {
    cancelTicket(msg.Attempt, key);
    return;
  }
  auto req = Links.scheduler(holder.Id, holder.EntryAddress).cancelRequest();
  write(req.initAttempt(), msg.Attempt);
  req.setPool(msg.Pool.Value);
  req.setZone(msg.Zone.Value);
  Tasks.add(req.send().ignoreResult());
}

void Core::hold(const AnnounceGrants &msg) {
  for (const GrantInUse &held : msg.Grants) {
    const SchedulerKey key{held.Zone, held.Pool};
    if (holderOf(key).Id == Self)
      takeOver(held.UsedGrant, Self, key);
    else
      holdAtPeer(held);
  }
}

void Core::holdAtPeer(const GrantInUse &held) {
  const Member holder = holderOf({held.Zone, held.Pool});
  auto req = Links.scheduler(holder.Id, holder.EntryAddress).announceRequest();
  write(req.initGrants(1)[0], held.UsedGrant);
  req.setEntry(Self.Value);
  req.setPool(held.Pool.Value);
  req.setZone(held.Zone.Value);
  Tasks.add(req.send().ignoreResult());
}

kj::Promise<void> Core::submit(const Ticket &t, ZoneId zone,
                               wire::Answer::Builder to) {
  auto paf = kj::newPromiseAndFulfiller<void>();
  Submits.erase(t.Attempt);
  Submits.emplace(t.Attempt, PendingSubmit{to, kj::mv(paf.fulfiller)});
  enqueue(findOrCreateScheduler(Host, {zone, t.Pool}), t, monotonicNow());
  stepSoon();
  return kj::mv(paf.promise);
}

void Core::cancelTicket(AttemptId id, SchedulerKey key) {
  cancel(findOrCreateScheduler(Host, key), id);
  Submits.erase(id);
  Local.erase(id);
}

void Core::takeBack(const GrantReturn &ret) {
  // The scheduler that gave it knows it; the others ignore it.
  for (auto &it : Host.Schedulers)
    returnGrant(it.second, ret, monotonicNow());
  stepSoon();
}

void Core::takeOver(const Grant &g, VmId entry, SchedulerKey key) {
  announce(findOrCreateScheduler(Host, key), g, entry, monotonicNow());
}

std::uint64_t Core::incarnation() const noexcept { return Opt.Incarnation; }

void Core::stepSoon() {
  // One step for all that arrives in this turn of the event loop.
  if (StepPending)
    return;
  StepPending = true;
  Tasks.add(kj::evalLast([this] { stepNow(); }));
}

void Core::stepNow() {
  StepPending = false;
  ScheduleActions out;
  {
    const ReadGuard guard;
    const Board &b = *Opt.Shared;
    const ScheduleView view{b.ActiveBundle.read(guard), b.Endpoints.read(guard),
                            b.Moves.read(guard)};
    step(Host, view, monotonicNow(), out);
  }
  for (const Grant &g : out.Grants)
    deliver(g);
  for (const Refusal &r : out.Refusals)
    deliver(r);
  Busy.store(hasWork(Host), std::memory_order_relaxed);
}

void Core::deliver(const Grant &g) {
  Opt.Shared->Counts.Grants.add();
  if (Local.erase(g.Attempt) > 0) {
    Opt.PostToWorker(g.Attempt.Request, Granted{g, ownClock()});
    return;
  }
  const auto it = Submits.find(g.Attempt);
  const bool wanted = it != Submits.end() && it->second.Done->isWaiting();
  if (wanted) {
    write(it->second.To.initGrant(), g);
    it->second.Done->fulfill();
  } else {
    returnUnused(g);
  }
  if (it != Submits.end())
    Submits.erase(it);
}

void Core::returnUnused(const Grant &g) {
  // The asking entry has gone, and with it the place to answer to.
  GrantReturn ret;
  ret.Id = g.Id;
  ret.Attempt = g.Attempt;
  ret.Endpoint = g.Endpoint;
  takeBack(ret);
}

void Core::deliver(const Refusal &r) {
  Opt.Shared->Counts.Refusals.add();
  if (Local.erase(r.Attempt) > 0) {
    Opt.PostToWorker(r.Attempt.Request, Refused{r.Attempt, r.Reason});
    return;
  }
  const auto it = Submits.find(r.Attempt);
  if (it == Submits.end())
    return;
  if (it->second.Done->isWaiting()) {
    it->second.To.setRefusal(static_cast<std::uint8_t>(r.Reason));
    it->second.Done->fulfill();
  }
  Submits.erase(it);
}

void Core::publishBundle(wire::BundleText::Reader from) {
  const ReadGuard guard;
  const std::uint64_t now = Opt.Shared->ActiveBundle.read(guard).Version;
  if (from.getVersion() <= now || from.getText().size() == 0)
    return;
  const kj::StringPtr text = from.getText();
  auto next = parseBundle(from.getVersion(), {text.begin(), text.size()});
  if (next && check(Invariant::VersionRises, next->Version > now))
    Opt.Shared->ActiveBundle.publish(std::move(*next));
}

void Core::update(wire::BoardUpdate::Reader from,
                  wire::BoardReport::Builder to) {
  Board &b = *Opt.Shared;
  publishBundle(from.getBundle());
  b.Members.publish(read(from.getMembers()));
  b.Endpoints.publish(read(from.getEndpoints(), monotonicNow()));
  b.Moves.publish(read(from.getMoves()));
  {
    const ReadGuard guard;
    applyShares(*Opt.Shares, b.ActiveBundle.read(guard), b.Moves.read(guard));
    to.setBundleVersion(b.ActiveBundle.read(guard).Version);
  }
  const VersionStatsList seen = Opt.CollectVersionStats();
  write(to.initEvidence(static_cast<unsigned>(seen.Rows.size())), seen.Rows);
  to.setInProgress(Opt.CountInProgress());
  to.setStopping(Opt.IsStopping());
  stepSoon();
}

} // namespace

struct RpcThread::State {
  RpcOptions Opt;
  RpcMailbox Box;
  std::atomic<bool> Busy{false};
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
  std::promise<std::string> listening; // The error, or nothing.
  auto started = listening.get_future();
  st->Thread = std::thread([s = st.get(), &listening] {
    Core core(s->Opt, s->Box, s->Busy);
    try {
      core.listen();
    } catch (const kj::Exception &ex) {
      listening.set_value(ex.getDescription().cStr());
      return;
    }
    listening.set_value({});
    core.serve();
  });
  const std::string error = started.get();
  if (error.empty())
    return RpcThread(std::move(st));
  st->Thread.join();
  return fail({ErrorCode::Unavailable, Step::Connect, st->Opt.Address, error});
}

void RpcThread::tick() {
  if (St->Busy.load(std::memory_order_relaxed))
    post(SchedulerTick{});
}

void RpcThread::post(RpcMessage msg) {
  St->Box.post(std::make_unique<RpcMessage>(std::move(msg)));
}

} // namespace zinniagauge
