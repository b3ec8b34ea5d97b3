// Implements the fronts that exchange reports.
#include "support/gossip_front.h"

#include "zinniagauge/net/socket_address.h"

#include <catch2/catch.hpp>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace zinniagauge::testing {

namespace {

StoreRequest noRequest(StoreTable /*table*/, std::string_view /*from*/) {
  return {"GET", "/", {}};
}

Result<TableReadResult> noRows(const StoreResponse & /*response*/) {
  return fail({ErrorCode::Unavailable, Step::Platform, "store", "test"});
}

std::uint64_t noEra(const StoreResponse & /*response*/) { return 0; }

} // namespace

OtherFront::OtherFront(std::string name)
    : Name(std::move(name)),
      Fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  sockaddr_in sa = socketAddress({INADDR_LOOPBACK, 0});
  socklen_t len = sizeof sa;
  REQUIRE(::bind(Fd, reinterpret_cast<sockaddr *>(&sa), len) == 0);
  REQUIRE(::getsockname(Fd, reinterpret_cast<sockaddr *>(&sa), &len) == 0);
  Address = {INADDR_LOOPBACK, ntohs(sa.sin_port)};
}

OtherFront::~OtherFront() { ::close(Fd); }

std::vector<GossipReport> OtherFront::takeReports() const {
  std::vector<GossipReport> out;
  std::array<char, 16384> buf{};
  for (ssize_t n = ::recv(Fd, buf.data(), buf.size(), 0); n > 0;
       n = ::recv(Fd, buf.data(), buf.size(), 0)) {
    auto rep = decodeReport(std::span(buf.data(), static_cast<std::size_t>(n)));
    REQUIRE(rep);
    out.push_back(std::move(*rep));
  }
  return out;
}

GossipReport OtherFront::report(ReportKind kind) {
  GossipReport rep;
  rep.Node = nameHash(Name);
  rep.Incarnation = 1;
  rep.Heartbeat = ++Heartbeat;
  rep.Kind = kind;
  rep.Loads = {{EndpointId{7}, 2, 100, 0}};
  return rep;
}

CoordinatorRow rowOf(const std::string &name, PeerAddress address,
                     std::uint32_t slot) {
  CoordinatorRow row;
  row.Key = slotKey("z", slot);
  row.Zone = "z";
  row.Node = name;
  row.Address = address;
  row.GroupSize = 1;
  return row;
}

CoordinatorRow rowOf(const OtherFront &front, std::uint32_t slot) {
  return rowOf(front.Name, front.Address, slot);
}

TestedFront::TestedFront(const std::string &name, std::uint16_t relayport) {
  Settings.Node = name;
  Settings.Zone = "z";
  Settings.GossipAddress = {INADDR_LOOPBACK, 0};
  Settings.RelayAddress = {relayport == 0 ? 0U : INADDR_LOOPBACK, relayport};
  Board.RelayToken = relayport;
  Protocol.ReadRequest = noRequest;
  Protocol.ParseRows = noRows;
  Protocol.EraOf = noEra;
  Ct = std::make_unique<Controllers>(Board, Protocol, Settings, Log, Metrics);
  Ct->OnChange = [this] { ++Changes; };
  REQUIRE(openLoop(Ct->EventLoop));
  Ct->Coordinators.Owner = Ct.get();
  setUpStoreConnection(Ct->Coordinators.Connection, Ct->EventLoop, {});
  Ct->PeerGossip.Owner = Ct.get();
  Ct->EventLoop.Now = Time(std::chrono::seconds(100));
  REQUIRE(startGossip(Ct->PeerGossip));
  sockaddr_in sa{};
  socklen_t len = sizeof sa;
  REQUIRE(::getsockname(Ct->PeerGossip.Socket.Fd,
                        reinterpret_cast<sockaddr *>(&sa), &len) == 0);
  Address = {INADDR_LOOPBACK, ntohs(sa.sin_port)};
  Ct->Settings.GossipAddress = Address;
}

void TestedFront::setCoordinators(std::span<const CoordinatorRow> rows,
                                  bool holdsslot) {
  updateCoordinators(Ct->Coordinators.Table, rows, 0, Ct->EventLoop.Now);
  Ct->Coordinators.HoldsSlot = holdsslot;
  onCoordinatorsChanged(Ct->PeerGossip);
}

void TestedFront::receive(const OtherFront &from,
                          const GossipReport &rep) const {
  const std::string raw = encodeReport(rep);
  const sockaddr_in sa = socketAddress(Address);
  REQUIRE(::sendto(from.Fd, raw.data(), raw.size(), 0,
                   reinterpret_cast<const sockaddr *>(&sa),
                   sizeof sa) == static_cast<ssize_t>(raw.size()));
  receiveAll();
}

void TestedFront::receiveAll() const {
  Ct->PeerGossip.Socket.Fn(Ct->PeerGossip.Socket.Ctx, EPOLLIN);
}

void TestedFront::advance(Duration span) const {
  Loop &lp = Ct->EventLoop;
  const Time end = lp.Now + span;
  while (!lp.ArmedTimers.empty() && lp.ArmedTimers.begin()->Deadline <= end) {
    LoopTimer &t = *lp.ArmedTimers.begin();
    lp.Now = std::max(lp.Now, t.Deadline);
    disarm(lp, t);
    if (t.Fn) // The other controllers' timers do nothing.
      t.Fn(t.Ctx, lp.Now);
  }
  lp.Now = end;
}

std::uint32_t TestedFront::runningAt(std::uint64_t backend) const {
  return findLoad(Board.PeerLoads.copy(), EndpointId{backend}).Running;
}

} // namespace zinniagauge::testing
