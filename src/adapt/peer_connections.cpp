#include "zinniagauge/adapt/peer_connections.h"

#include "zinniagauge/time/clock.h"

#include <utility>

namespace zinniagauge {

namespace {

constexpr auto HeartbeatPeriod = 500 * kj::MILLISECONDS;
constexpr auto HeartbeatTimeout = 2 * kj::SECONDS;
constexpr auto ConnectTimeout = 1 * kj::SECONDS;

/// How long a VM counts as unreachable after its connection failed. Then it may
/// be tried again; by then the member list has more recent information on it.
constexpr Duration UnreachablePeriod = std::chrono::seconds(3);

/// Ignores errors of tasks: the caller already gets the error from its failed
/// call.
struct IgnoreErrors final : kj::TaskSet::ErrorHandler {
  void taskFailed(kj::Exception && /*ex*/) override {}
};

} // namespace

/// One connection. Members are destroyed in reverse order: first the heartbeat,
/// then the capability, then the RPC system, last the stream below it.
struct PeerConnections::Connection {
  std::string Address;
  kj::Own<kj::AsyncIoStream> Stream;
  kj::Own<capnp::TwoPartyClient> Rpc;
  ClockBound Clock;
  kj::Maybe<wire::Scheduler::Client> Scheduler;
  kj::Promise<void> Heartbeat = nullptr;
};

PeerConnections::PeerConnections(kj::AsyncIoContext &io)
    : Io(io), OnError(std::make_unique<IgnoreErrors>()), Tasks(*OnError) {}

PeerConnections::~PeerConnections() noexcept(false) = default;

void PeerConnections::closeLater(VmId vm, const Connection *connection) {
  // Deferred, because the caller is a promise that the connection owns.
  Tasks.add(kj::evalLater([this, vm, connection] {
    const auto it = Connections.find(vm);
    if (it == Connections.end() || it->second.get() != connection)
      return;
    Connections.erase(it);
    UnreachableSince[vm] = monotonicNow();
  }));
}

kj::Promise<void> PeerConnections::runHeartbeat(VmId vm,
                                                Connection &connection) {
  const Time sent = monotonicNow();
  auto &timer = Io.provider->getTimer();
  auto &sched = KJ_ASSERT_NONNULL(connection.Scheduler);
  auto pong =
      sched.pingRequest().send().then([vm, &connection, sent](auto &&resp) {
        const ClockBound bound{vm, resp.getIncarnation(),
                               fromNanos(resp.getNowNanos()), sent, true};
        tighten(connection.Clock, bound, monotonicNow());
      });
  // The first ping is sent before any ticket, so a clock bound is known when a
  // grant arrives.
  return timer.timeoutAfter(HeartbeatTimeout, kj::mv(pong))
      .then([&timer] { return timer.afterDelay(HeartbeatPeriod); })
      .then([this, vm, &connection] { return runHeartbeat(vm, connection); });
}

wire::Scheduler::Client PeerConnections::scheduler(VmId vm,
                                                   const std::string &address) {
  const auto it = Connections.find(vm);
  if (it != Connections.end() && it->second->Address == address)
    return KJ_ASSERT_NONNULL(it->second->Scheduler);
  auto owned = std::make_unique<Connection>();
  Connection &connection = *owned;
  connection.Address = address;
  Connections[vm] = std::move(owned);
  auto connected =
      Io.provider->getNetwork()
          .parseAddress(address)
          .then([](kj::Own<kj::NetworkAddress> &&addr) {
            auto conn = addr->connect();
            return conn.attach(kj::mv(addr));
          })
          .then([&connection](kj::Own<kj::AsyncIoStream> &&stream) {
            connection.Stream = kj::mv(stream);
            connection.Rpc =
                kj::heap<capnp::TwoPartyClient>(*connection.Stream);
            return connection.Rpc->bootstrap().castAs<wire::Entry>();
          });
  auto &timer = Io.provider->getTimer();
  auto sched = timer.timeoutAfter(ConnectTimeout, kj::mv(connected))
                   .then([](wire::Entry::Client &&entry) {
                     return entry.schedulerRequest().send().getScheduler();
                   });
  connection.Scheduler = wire::Scheduler::Client(kj::mv(sched));
  connection.Heartbeat =
      runHeartbeat(vm, connection)
          .eagerlyEvaluate([this, vm, &connection](kj::Exception && /*ex*/) {
            closeLater(vm, &connection);
          });
  return KJ_ASSERT_NONNULL(connection.Scheduler);
}

ClockBound PeerConnections::clockOf(VmId vm) const noexcept {
  const auto it = Connections.find(vm);
  if (it == Connections.end())
    return {};
  return it->second->Clock;
}

std::vector<VmId> PeerConnections::unreachablePeers(Time now) {
  std::erase_if(UnreachableSince, [&](const auto &it) {
    return now - it.second > UnreachablePeriod;
  });
  std::vector<VmId> list;
  list.reserve(UnreachableSince.size());
  for (const auto &it : UnreachableSince)
    list.push_back(it.first);
  return list;
}

} // namespace zinniagauge
