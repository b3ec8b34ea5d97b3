// The lists of fronts that accept relayed calls: how they are encoded, selected
// and passed on, and when entries end.
#include "support/gossip_front.h"
#include "zinniagauge/decide/random.h"
#include "zinniagauge/decide/relay_selection.h"

#include <catch2/catch.hpp>

#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

RelayPeer relay(std::uint64_t node, const char *zone = "z",
                std::vector<PoolId> unreached = {}) {
  return {
      node, ZoneId::of(zone), {INADDR_LOOPBACK, 700}, 1, std::move(unreached)};
}

/// A change must be known everywhere within this time: 300 ms and the way of a
/// datagram.
constexpr Duration SpreadTime = milliseconds(310);

/// Two coordinators, each with a member.
struct Fleet {
  std::vector<std::unique_ptr<TestedFront>> Fronts;

  Fleet() {
    for (int n = 0; n < 4; ++n)
      add(n, static_cast<std::uint16_t>(701 + n));
    // Their rounds are at different times.
    for (int n = 0; n < 4; ++n)
      at(n).advance(milliseconds(60) * n);
    advance(seconds(2));
  }

  static std::string nameOf(int n) { return "front-" + std::to_string(n); }

  /// Starts front \p n: a coordinator if it is 0 or 1, else a member of front
  /// \p n minus 2. A process that was there before is gone.
  void add(int n, std::uint16_t relayport) {
    auto f = std::make_unique<TestedFront>(nameOf(n), relayport);
    f->Ct->PeerGossip.Incarnation = relayport;
    if (Fronts.size() > static_cast<std::size_t>(n)) {
      f->Ct->EventLoop.Now = Fronts.front()->Ct->EventLoop.Now;
      Fronts[static_cast<std::size_t>(n)] = std::move(f);
    } else {
      Fronts.push_back(std::move(f));
    }
    if (n == 1)
      for (const int k : {0, 1})
        at(k).setCoordinators(
            std::vector{rowOf(nameOf(1 - k), at(1 - k).Address, 0)}, true);
    if (n >= 2)
      at(n).setCoordinators(
          std::vector{rowOf(nameOf(n - 2), at(n - 2).Address, 0)}, false);
  }

  [[nodiscard]] TestedFront &at(int n) const {
    return *Fronts.at(static_cast<std::size_t>(n));
  }

  /// Lets all fronts run for \p span, except those \p paused, whose clocks
  /// stand still.
  void advance(Duration span, const std::set<int> &paused = {}) const {
    for (Duration t{}; t < span; t += milliseconds(5))
      for (int n = 0; n < 4; ++n)
        if (!paused.contains(n)) {
          // Time spent in the test is no suspension.
          at(n).Ct->PeerGossip.ClockOffset = Duration::zero();
          at(n).receiveAll();
          at(n).advance(milliseconds(5));
        }
  }

  void setUnreached(int n, std::vector<PoolId> pools) const {
    at(n).Board.OwnUnreached.publish({std::move(pools)});
    sendChanges(at(n).Ct->PeerGossip);
  }

  /// What front \p n knows of front \p of; nothing if it isn't listed.
  [[nodiscard]] std::optional<RelayPeer> known(int n, int of) const {
    for (const RelayPeer &p : at(n).Board.RelayPeers.copy().List)
      if (p.Node == nameHash(nameOf(of)))
        return p;
    return std::nullopt;
  }

  /// The fronts other than \p of that list it.
  [[nodiscard]] int listings(int of) const {
    int out = 0;
    for (int n = 0; n < 4; ++n)
      out += n != of && known(n, of) ? 1 : 0;
    return out;
  }
};

/// The number of \p reports with a list of relay peers.
std::ptrdiff_t countLists(std::span<const GossipReport> reports) {
  return std::ranges::count_if(
      reports, [](const GossipReport &r) { return r.Relays.has_value(); });
}

} // namespace

TEST_CASE("relay peers are decoded as they were encoded", "[gossip][relay]") {
  GossipReport rep;
  CHECK_FALSE(decodeReport(encodeReport(rep))->Relays);
  rep.Relays.emplace();
  CHECK(decodeReport(encodeReport(rep))->Relays == rep.Relays);
  rep.Relays = {relay(1), relay(2, "y", {PoolId{3}, PoolId{9}})};
  CHECK(decodeReport(encodeReport(rep))->Relays == rep.Relays);
  // The largest list that is sent takes at most 40 bytes an entry.
  rep.Relays.emplace();
  const std::size_t empty = encodeReport(rep).size();
  for (std::uint64_t n = 1; n <= 16; ++n) {
    rep.Relays->push_back(relay(mix64(n)));
    rep.Relays->back().Token = mix64(n + 100);
  }
  CHECK(encodeReport(rep).size() - empty <= std::size_t{16} * 40);
}

TEST_CASE("relay peers out of range are ignored", "[gossip][relay]") {
  GossipReport rep;
  rep.Relays.emplace();
  for (std::uint64_t n = 1; n <= 500; ++n)
    rep.Relays->push_back(relay(n));
  CHECK(decodeReport(encodeReport(rep))->Relays->size() == MaxRelaysRead);
  // One that reaches less than can be said, one without a port, one without a
  // token; then unsorted ones, of which one is named twice.
  rep.Relays = {relay(1, "z", std::vector<PoolId>(65)), relay(2), relay(3),
                relay(6, "z", {PoolId{9}, PoolId{3}}),  relay(5), relay(6)};
  rep.Relays->at(1).Address.Port = 0;
  rep.Relays->at(2).Token = 0;
  CHECK(decodeReport(encodeReport(rep))->Relays ==
        std::vector{relay(5), relay(6, "z", {PoolId{3}, PoolId{9}})});
}

TEST_CASE(
    "a list of relay peers is kept until its sender restarts or is silent",
    "[gossip][relay]") {
  GossipState state;
  GossipReport rep;
  rep.Node = 1;
  rep.Incarnation = 1;
  rep.Heartbeat = 1;
  rep.Relays = {relay(1)};
  const auto apply = [&](bool full, Time at) {
    rep.IsFull = full;
    ++rep.Heartbeat;
    applyReport(state, rep, at);
    rep.Relays.reset();
    return state.Peers.at(1).LastReport.Relays;
  };
  const auto listed = rep.Relays;
  CHECK(apply(true, Time(milliseconds(1000))) == listed);
  CHECK(apply(true, Time(milliseconds(2000))) == listed);
  CHECK(apply(false, Time(milliseconds(3500))) == listed);
  CHECK(state.Peers.at(1).RelaysChangedAt == Time(milliseconds(1000)));
  CHECK_FALSE(apply(false, Time(milliseconds(5001))));
  rep.Relays = listed;
  CHECK(apply(false, Time(milliseconds(5100))) == listed);
  rep.Incarnation = 2;
  CHECK_FALSE(apply(true, Time(milliseconds(5200))));
}

TEST_CASE(
    "selected relay peers cover all zones and reach all pools if possible",
    "[relay]") {
  std::vector<RelayPeer> all;
  for (std::uint64_t n = 0; n < 500; ++n)
    all.push_back(relay(n,
                        n % 5 == 0   ? "a"
                        : n % 5 == 1 ? "b"
                                     : "c",
                        n % 5 == 1 || n % 2 == 0 ? std::vector{PoolId{4}}
                                                 : std::vector<PoolId>{}));
  std::set<std::uint64_t> chosen;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    const auto list = selectRelays(all, seed, 16);
    REQUIRE(list.size() == 16);
    CHECK(list == selectRelays(all, seed, 16));
    CHECK(std::ranges::is_sorted(list, {}, &RelayPeer::Node));
    const auto inzone = [&](const char *zone) {
      return std::ranges::count(list, ZoneId::of(zone), &RelayPeer::Zone);
    };
    CHECK(inzone("a") > 0);
    CHECK(inzone("b") == 1); // None of them reaches all pools.
    CHECK(std::ranges::count_if(
              list, [](const auto &p) { return !p.Unreached.empty(); }) == 1);
    for (const RelayPeer &p : list)
      chosen.insert(p.Node);
  }
  // 50 of zone a and 150 of zone c reach all pools, 100 of b don't.
  CHECK(chosen.size() > 250);
  CHECK(selectRelays(std::span(all).first(9), 1, 16).size() == 9);
}

TEST_CASE("all fronts learn which pools a front can't reach, and when it can",
          "[gossip][relay]") {
  const Fleet fleet;
  for (int n = 0; n < 4; ++n) {
    INFO(n);
    CHECK(fleet.listings(n) == 3);
    CHECK_FALSE(fleet.known(n, n));
  }
  CHECK(fleet.known(3, 2) == RelayPeer{nameHash("front-2"),
                                       ZoneId::of("z"),
                                       {INADDR_LOOPBACK, 703},
                                       703,
                                       {}});
  const int changes = fleet.at(3).Changes;
  fleet.advance(seconds(3));
  CHECK(fleet.at(3).Changes == changes); // Nothing new.
  for (const int cut : {2, 0}) {
    INFO(cut);
    const int before = fleet.at(cut).Changes;
    for (const std::vector<PoolId> &pools :
         {std::vector{PoolId{5}}, std::vector{PoolId{5}, PoolId{6}},
          std::vector<PoolId>{}}) {
      fleet.setUnreached(cut, pools);
      fleet.advance(SpreadTime);
      for (int n = 0; n < 4; ++n)
        if (n != cut)
          CHECK(fleet.known(n, cut)->Unreached == pools);
    }
    CHECK(fleet.at(cut).Changes == before); // It knows of itself already.
  }
  CHECK(fleet.at(3).Changes > changes);
}

TEST_CASE("changes in quick succession are known everywhere in time",
          "[gossip][relay]") {
  const Fleet fleet;
  std::vector<PoolId> pools;
  for (std::uint64_t n = 1; n <= 20; ++n) {
    pools.push_back(PoolId{n});
    fleet.setUnreached(2, pools);
    fleet.advance(milliseconds(15));
  }
  fleet.advance(SpreadTime - milliseconds(15));
  CHECK(fleet.known(3, 2)->Unreached == pools);
}

TEST_CASE("a silent front is no relay peer any more", "[gossip][relay]") {
  const Fleet fleet;
  fleet.advance(milliseconds(1200), {2});
  CHECK(fleet.listings(2) == 3);
  // FrontTimeout, a round and the way to the others.
  fleet.advance(milliseconds(900), {2});
  CHECK(fleet.listings(2) == 0);
  CHECK(fleet.listings(3) == 2 + 1); // Front 2 still lists it.
  fleet.advance(milliseconds(1300));
  CHECK(fleet.listings(2) == 3);
}

// Guards against calls that ask one front that stops after the other.
TEST_CASE("a front that stops is no relay peer any more", "[gossip][relay]") {
  const int n = GENERATE(0, 2);
  const Fleet fleet;
  REQUIRE(fleet.listings(n) == 3);
  fleet.at(n).Board.Stopping = true;
  sendChanges(fleet.at(n).Ct->PeerGossip);
  fleet.advance(SpreadTime);
  CHECK(fleet.listings(n) == 0);
  CHECK(fleet.known(n, 3));
}

TEST_CASE("a front that restarted has its new token everywhere",
          "[gossip][relay]") {
  Fleet fleet;
  fleet.add(2, 709);
  fleet.advance(SpreadTime);
  for (const int n : {0, 1, 3}) {
    REQUIRE(fleet.known(n, 2));
    CHECK(fleet.known(n, 2)->Token == 709);
    CHECK(fleet.known(2, n)); // It has lost its list.
  }
}

TEST_CASE("relay peers outlast a change of the coordinator",
          "[gossip][relay]") {
  const Fleet fleet;
  // No other coordinator answers either, at first.
  fleet.advance(milliseconds(1200), {0, 1});
  CHECK(fleet.known(2, 3));
  CHECK(fleet.known(3, 2));
  // Both members report to front 1 now, for whose clock front 0 has just fallen
  // silent.
  fleet.advance(milliseconds(2000), {0});
  const Membership &ms = fleet.at(2).Ct->PeerGossip.Coordinator;
  CHECK(ms.Candidates.at(ms.Current).Node == "front-1");
  CHECK(fleet.known(2, 3));
  CHECK(fleet.known(3, 2));
  CHECK_FALSE(fleet.known(2, 0));
  fleet.advance(milliseconds(1900), {0, 1});
  CHECK_FALSE(fleet.known(2, 3));
}

TEST_CASE("after a suspension no relay peer from before counts",
          "[gossip][relay]") {
  const Fleet fleet;
  for (const int n : {0, 2}) {
    REQUIRE_FALSE(fleet.at(n).Board.RelayPeers.copy().List.empty());
    fleet.at(n).receiveAll();
    fleet.at(n).Ct->PeerGossip.ClockOffset -= seconds(2);
    fleet.at(n).receiveAll();
    fleet.at(n).advance(milliseconds(1));
    CHECK(fleet.at(n).Board.RelayPeers.copy().List.empty());
  }
  fleet.advance(milliseconds(1500));
  CHECK(fleet.listings(3) == 3);
}

TEST_CASE("unchanged lists of relay peers are sent about once a second",
          "[gossip][relay]") {
  const OtherFront peer("c-1");
  OtherFront coordinator("c-2");
  OtherFront member("m-1");
  TestedFront group("front-1", 701);
  TestedFront own("front-2", 702);
  group.setCoordinators(std::vector{rowOf(peer, 0)}, true);
  own.setCoordinators(std::vector{rowOf(coordinator, 0)}, false);
  std::array<std::ptrdiff_t, 3> lists{};
  for (int n = 0; n < 100 * 10; ++n) {
    if (n == 100)
      lists.fill(0);
    // Loads change all the time.
    GossipReport rep = member.report(ReportKind::Member);
    rep.Loads.front().Running = static_cast<std::uint32_t>(n);
    rep.Relays = {relay(nameHash("m-1"))};
    group.receive(member, rep);
    rep = coordinator.report(ReportKind::Summary);
    own.receive(coordinator, rep);
    own.Board.OwnLoads.publish(
        {{{EndpointId{7}, static_cast<std::uint32_t>(n), 0, 0}}});
    sendChanges(own.Ct->PeerGossip);
    for (const TestedFront *f : {&group, &own}) {
      f->Ct->PeerGossip.ClockOffset = Duration::zero();
      f->advance(milliseconds(10));
    }
    lists[0] += countLists(peer.takeReports());
    lists[1] += countLists(member.takeReports());
    lists[2] += countLists(coordinator.takeReports());
  }
  for (const std::ptrdiff_t count : lists) {
    CHECK(count >= 8);
    CHECK(count <= 10);
  }
}

TEST_CASE(
    "a front on all addresses is relayed to at the one that it sends from",
    "[gossip][relay]") {
  TestedFront f;
  f.setCoordinators({}, true);
  OtherFront member("m-1");
  GossipReport rep = member.report(ReportKind::Member);
  rep.Relays = {relay(nameHash("m-1")), relay(nameHash("m-2"))};
  for (RelayPeer &p : *rep.Relays)
    p.Address.Ip = 0;
  f.receive(member, rep);
  f.advance(milliseconds(1));
  // Of the other one no address is known.
  CHECK(f.Board.RelayPeers.copy().List == std::vector{relay(nameHash("m-1"))});
}

TEST_CASE("a front without relay address or token lists only others",
          "[gossip][relay]") {
  const OtherFront peer("c-1");
  OtherFront member("m-1");
  TestedFront f;
  f.setCoordinators(std::vector{rowOf(peer, 0)}, true);
  GossipReport rep = member.report(ReportKind::Member);
  rep.Relays = {relay(nameHash("m-1"))};
  f.receive(member, rep);
  f.advance(milliseconds(300));
  const auto reports = peer.takeReports();
  REQUIRE_FALSE(reports.empty());
  const auto last = std::ranges::find_if(
      reports.rbegin(), reports.rend(),
      [](const GossipReport &r) { return r.Relays.has_value(); });
  REQUIRE(last != reports.rend());
  CHECK(last->Relays == rep.Relays);
}

TEST_CASE("loads of pools that a front can't reach aren't reported",
          "[gossip][relay]") {
  const OtherFront coordinator("c-1");
  TestedFront f;
  Backend cut;
  cut.Id = EndpointId{7};
  cut.Pool = PoolId{4};
  Backend reached;
  reached.Id = EndpointId{8};
  reached.Pool = PoolId{5};
  f.Board.Backends.publish({{cut, reached}});
  f.Board.OwnLoads.publish({{{EndpointId{7}, 3, 0, 90'000},
                             {EndpointId{8}, 2, 0, 20'000},
                             {EndpointId{9}, 1, 0, 20'000}}});
  f.Board.OwnUnreached.publish({{PoolId{4}}});
  f.setCoordinators(std::vector{rowOf(coordinator, 0)}, false);
  const auto reports = coordinator.takeReports();
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].Loads ==
        std::vector<BackendLoad>{{EndpointId{8}, 2, 0, 20'000},
                                 {EndpointId{9}, 1, 0, 20'000}});
}
