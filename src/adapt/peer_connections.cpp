#include "zinniagauge/adapt/peer_connections.h"

#include "zinniagauge/time/clock.h"

#include <utility>

namespace zinniagauge {

namespace {

constexpr auto HeartbeatPeriod = 500 * kj::MILLISECONDS;
constexpr auto HeartbeatTimeout = 2 * kj::SECONDS;
constexpr auto ConnectTimeout = 1 * kj::SECONDS;

/// How long a VM whose link broke is not asked: then it is tried again, and by
/// then membership knows more.
constexpr Duration LostSpan = std::chrono::seconds(3);

/// A failed task has done its work: its caller was told by the failed call.
struct IgnoreErrors final : kj::TaskSet::ErrorHandler {
  void taskFailed(kj::Exception && /*ex*/) override {}
};

} // namespace

/// One connection. Members are destroyed in reverse: first the heartbeat, then
/// the capabilities, then the RPC system, last the stream under it.
struct PeerConnections::Connection {
  std::string Address;
  kj::Own<kj::AsyncIoStream> Stream;
  kj::Own<capnp::TwoPartyClient> Rpc;
  ClockBound Clock;
  kj::Maybe<wire::Scheduler::Client> Scheduler;
  kj::Promise<void> Beat = nullptr;
};

PeerConnections::PeerConnections(kj::AsyncIoContext &io)
    : Io(io), OnError(std::make_unique<IgnoreErrors>()), Tasks(*OnError) {}

PeerConnections::~PeerConnections() noexcept(false) = default;

void PeerConnections::dropLater(VmId vm, const Connection *link) {
  // Not at once: the caller is a promise that the link owns.
  Tasks.add(kj::evalLater([this, vm, link] {
    const auto it = Connections.find(vm);
    if (it == Connections.end() || it->second.get() != link)
      return;
    Connections.erase(it);
    LostAt[vm] = monotonicNow();
  }));
}

kj::Promise<void> PeerConnections::runHeartbeat(VmId vm, Connection &link) {
  const Time sent = monotonicNow();
  auto &timer = Io.provider->getTimer();
  auto &sched = KJ_ASSERT_NONNULL(link.Scheduler);
  auto pong = sched.pingRequest().send().then([vm, &link, sent](auto &&resp) {
    const ClockBound seen{vm, resp.getIncarnation(),
                          fromNanos(resp.getNowNanos()), sent, true};
    tighten(link.Clock, seen, monotonicNow());
  });
  // The first ping leaves before any ticket, so a grant finds a bound.
  return timer.timeoutAfter(HeartbeatTimeout, kj::mv(pong))
      .then([&timer] { return timer.afterDelay(HeartbeatPeriod); })
      .then([this, vm, &link] { return runHeartbeat(vm, link); });
}

wire::Scheduler::Client PeerConnections::scheduler(VmId vm,
                                                   const std::string &address) {
  const auto it = Connections.find(vm);
  if (it != Connections.end() && it->second->Address == address)
    return KJ_ASSERT_NONNULL(it->second->Scheduler);
  auto owned = std::make_unique<Connection>();
  Connection &link = *owned;
  link.Address = address;
  Connections[vm] = std::move(owned);
  auto connected = Io.provider->getNetwork()
                       .parseAddress(address)
                       .then([](kj::Own<kj::NetworkAddress> &&addr) {
                         auto conn = addr->connect();
                         return conn.attach(kj::mv(addr));
                       })
                       .then([&link](kj::Own<kj::AsyncIoStream> &&stream) {
                         link.Stream = kj::mv(stream);
                         link.Rpc =
                             kj::heap<capnp::TwoPartyClient>(*link.Stream);
                         return link.Rpc->bootstrap().castAs<wire::Entry>();
                       });
  auto &timer = Io.provider->getTimer();
  auto sched = timer.timeoutAfter(ConnectTimeout, kj::mv(connected))
                   .then([](wire::Entry::Client &&entry) {
                     return entry.schedulerRequest().send().getScheduler();
                   });
  link.Scheduler = wire::Scheduler::Client(kj::mv(sched));
  link.Beat = runHeartbeat(vm, link).eagerlyEvaluate(
      [this, vm, &link](kj::Exception && /*ex*/) { dropLater(vm, &link); });
  return KJ_ASSERT_NONNULL(link.Scheduler);
}

ClockBound PeerConnections::clockOf(VmId vm) const noexcept {
  const auto it = Connections.find(vm);
  if (it == Connections.end())
    return {};
  return it->second->Clock;
}

std::vector<VmId> PeerConnections::unreachablePeers(Time now) {
  std::erase_if(LostAt,
                [&](const auto &it) { return now - it.second > LostSpan; });
  std::vector<VmId> list;
  list.reserve(LostAt.size());
  for (const auto &it : LostAt)
    list.push_back(it.first);
  return list;
}

} // namespace zinniagauge
