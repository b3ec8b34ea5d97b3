// How often a front of a large site sends reports and queries, on fake time.
#include "zinniagauge/board/ids.h"
#include "zinniagauge/net/socket_address.h"
#include "zinniagauge/store/controllers.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>

using namespace zinniagauge;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t PeerCount = 67;

/// A UDP socket on a port that the system chooses.
struct UdpReceiver {
  int Fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  PeerAddress Address;

  UdpReceiver() {
    sockaddr_in sa = socketAddress({INADDR_LOOPBACK, 0});
    socklen_t len = sizeof sa;
    REQUIRE(::bind(Fd, reinterpret_cast<sockaddr *>(&sa), len) == 0);
    REQUIRE(::getsockname(Fd, reinterpret_cast<sockaddr *>(&sa), &len) == 0);
    Address = {INADDR_LOOPBACK, ntohs(sa.sin_port)};
  }
  UdpReceiver(const UdpReceiver &) = delete;
  UdpReceiver &operator=(const UdpReceiver &) = delete;
  ~UdpReceiver() { ::close(Fd); }

  /// Receives all pending datagrams and returns how many of them are queries.
  [[nodiscard]] int takeQueries() const {
    int count = 0;
    std::array<char, 4096> buf{};
    for (ssize_t n = ::recv(Fd, buf.data(), buf.size(), 0); n > 0;
         n = ::recv(Fd, buf.data(), buf.size(), 0)) {
      const auto rep =
          decodeReport(std::span(buf.data(), static_cast<std::size_t>(n)));
      if (rep && rep->QuerySentAt != 0)
        ++count;
    }
    return count;
  }
};

/// One front of 68. The reports of the others are applied by the test.
struct LargeSiteFront {
  FrontBoard Board;
  FrontSettings Settings;
  EventLog Log{"front", EventLevel::Changes};
  FrontMetrics Metrics;
  StoreProtocol Protocol;
  UdpReceiver ReportReceiver;
  UdpReceiver QueryReceiver;
  std::unique_ptr<Controllers> Ct;

  LargeSiteFront() {
    Settings.Node = "front-1";
    Settings.GossipAddress = {INADDR_LOOPBACK, 0};
    Ct = std::make_unique<Controllers>(Board, Protocol, Settings, Log, Metrics);
    REQUIRE(openLoop(Ct->EventLoop));
    Ct->PeerGossip.Owner = Ct.get();
    Ct->EventLoop.Now = Time(milliseconds(1000));
    for (std::size_t n = 0; n < PeerCount; ++n) {
      PeerDemand row;
      row.Name = "other-" + std::to_string(n);
      row.Address = ReportReceiver.Address;
      row.Incarnation = 1;
      Ct->Peers.PeerDemands.Peers[row.Name] = {row, Ct->EventLoop.Now};
    }
    receiveAllReports();
    REQUIRE(startGossip(Ct->PeerGossip));
  }

  /// Applies a report of one running call from each other front.
  void receiveAllReports() {
    ++PeerHeartbeat;
    for (std::size_t n = 0; n < PeerCount; ++n) {
      GossipReport rep;
      rep.Node = nameHash("other-" + std::to_string(n));
      rep.Incarnation = 1;
      rep.Heartbeat = PeerHeartbeat;
      rep.Loads = {{EndpointId{7}, 1, 0, 0}};
      Ct->PeerGossip.AddressByNode[rep.Node] = QueryReceiver.Address;
      applyReport(Ct->PeerGossip.PeerReports, rep, Ct->EventLoop.Now);
    }
  }

  /// Advances the fake time by \p span and runs the timers that are due.
  void advance(Duration span) {
    Loop &lp = Ct->EventLoop;
    const Time end = lp.Now + span;
    while (!lp.ArmedTimers.empty() && lp.ArmedTimers.begin()->Deadline <= end) {
      LoopTimer &t = *lp.ArmedTimers.begin();
      lp.Now = t.Deadline;
      disarm(lp, t);
      t.Fn(t.Ctx, lp.Now);
    }
    lp.Now = end;
  }

  std::uint64_t PeerHeartbeat = 0;
};

} // namespace

TEST_CASE("the period of queries doesn't grow with the number of fronts",
          "[gossip]") {
  LargeSiteFront f;
  f.advance(milliseconds(300));
  static_cast<void>(f.QueryReceiver.takeQueries());
  // A front reads the list itself when it is 1.8 s old, so after a lost query
  // there must be time for another one.
  for (int n = 0; n < 6; ++n) {
    f.receiveAllReports();
    f.advance(milliseconds(750));
    CHECK(f.QueryReceiver.takeQueries() >= 1);
  }
}

TEST_CASE("peers that report at the period of a large site don't time out",
          "[gossip]") {
  LargeSiteFront f;
  // The interval between two own reports is also that of the peers' reports.
  f.advance(milliseconds(250));
  const Time firstsentat = f.Ct->PeerGossip.LastSentAt;
  f.receiveAllReports();
  const Time receivedat = f.Ct->EventLoop.Now;
  while (f.Ct->PeerGossip.LastSentAt == firstsentat)
    f.advance(milliseconds(10));
  CHECK(f.Ct->EventLoop.Now - receivedat >
        milliseconds(500)); // It has many peers.
  const LoadList loads = f.Board.PeerLoads.copy();
  CHECK(findLoad(loads, EndpointId{7}).Running == PeerCount);
  CHECK_FALSE(f.Board.IsStoreReader.load());
}
