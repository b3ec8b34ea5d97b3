// How often a front of a large site speaks and asks, on fake time.
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

constexpr std::size_t Others = 67;

/// A socket on a port of the system's choice.
struct Ear {
  int Fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  PeerAddress At;

  Ear() {
    sockaddr_in sa = socketAddress({INADDR_LOOPBACK, 0});
    socklen_t len = sizeof sa;
    REQUIRE(::bind(Fd, reinterpret_cast<sockaddr *>(&sa), len) == 0);
    REQUIRE(::getsockname(Fd, reinterpret_cast<sockaddr *>(&sa), &len) == 0);
    At = {INADDR_LOOPBACK, ntohs(sa.sin_port)};
  }
  Ear(const Ear &) = delete;
  Ear &operator=(const Ear &) = delete;
  ~Ear() { ::close(Fd); }

  /// Questions that have come since.
  [[nodiscard]] int questions() const {
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

/// One front of 68. The others are heard when the test says so.
struct OneOfMany {
  FrontBoard Board;
  FrontSettings Settings;
  EventLog Log{"front", EventLevel::Changes};
  FrontMetrics Metrics;
  StoreProtocol Names;
  Ear Reports;
  Ear Questions;
  std::unique_ptr<Controllers> Ct;

  OneOfMany() {
    Settings.Node = "front-1";
    Settings.Peers = {INADDR_LOOPBACK, 0};
    Ct = std::make_unique<Controllers>(Board, Names, Settings, Log, Metrics);
    REQUIRE(openLoop(Ct->Lp));
    Ct->PeerGossip.Owner = Ct.get();
    Ct->Lp.Now = Time(milliseconds(1000));
    for (std::size_t n = 0; n < Others; ++n) {
      PeerDemand row;
      row.Name = "other-" + std::to_string(n);
      row.Address = Reports.At;
      row.Incarnation = 1;
      Ct->Peers.PeerDemands.Peers[row.Name] = {row, Ct->Lp.Now};
    }
    hearAll();
    REQUIRE(startGossip(Ct->PeerGossip));
  }

  /// Each other front reports one running call.
  void hearAll() {
    ++Beat;
    for (std::size_t n = 0; n < Others; ++n) {
      GossipReport rep;
      rep.Node = nameHash("other-" + std::to_string(n));
      rep.Incarnation = 1;
      rep.Heartbeat = Beat;
      rep.Loads = {{EndpointId{7}, 1, 0, 0}};
      Ct->PeerGossip.AddressByNode[rep.Node] = Questions.At;
      applyReport(Ct->PeerGossip.PeerReports, rep, Ct->Lp.Now);
    }
  }

  /// Lets the loop's timers fire up to \p span from now.
  void advance(Duration span) {
    Loop &lp = Ct->Lp;
    const Time end = lp.Now + span;
    while (!lp.ArmedTimers.empty() && lp.ArmedTimers.begin()->Deadline <= end) {
      LoopTimer &t = *lp.ArmedTimers.begin();
      lp.Now = t.Deadline;
      disarm(lp, t);
      t.Fn(t.Ctx, lp.Now);
    }
    lp.Now = end;
  }

  std::uint64_t Beat = 0;
};

} // namespace

TEST_CASE("a front asks a reader as often with many fronts as with few",
          "[gossip]") {
  OneOfMany f;
  f.advance(milliseconds(300));
  static_cast<void>(f.Questions.questions());
  // A list may be 1.8 s old; a question that is lost must leave room for the
  // next one.
  for (int n = 0; n < 6; ++n) {
    f.hearAll();
    f.advance(milliseconds(750));
    CHECK(f.Questions.questions() >= 1);
  }
}

TEST_CASE("a front that reports at its pace is not taken as silent",
          "[gossip]") {
  OneOfMany f;
  // Two reports of its own tell how far apart those of the others are.
  f.advance(milliseconds(250));
  const Time first = f.Ct->PeerGossip.LastSentAt;
  f.hearAll();
  const Time heard = f.Ct->Lp.Now;
  while (f.Ct->PeerGossip.LastSentAt == first)
    f.advance(milliseconds(10));
  CHECK(f.Ct->Lp.Now - heard > milliseconds(500)); // It has many to tell.
  const LoadList loads = f.Board.PeerLoads.copy();
  CHECK(findLoad(loads, EndpointId{7}).Running == Others);
  CHECK_FALSE(f.Board.IsStoreReader.load());
}
