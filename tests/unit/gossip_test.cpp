#include "zinniagauge/decide/random.h"
#include "zinniagauge/store/gossip.h"

#include <catch2/catch.hpp>

#include <string>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

GossipReport report(std::uint64_t node, std::uint64_t life, std::uint64_t beat,
                    std::uint64_t spent) {
  GossipReport rep;
  rep.Node = node;
  rep.Incarnation = life;
  rep.Heartbeat = beat;
  rep.Loads = {{EndpointId{7}, 3, 900, 20'000}};
  rep.SpendTotals = {{WorkspaceId{5}, spent}};
  return rep;
}

std::uint64_t spentIn(const GossipState &book) {
  const SpendList list = sumPeerSpend(book);
  return list.List.empty()
             ? 0
             : list.List.front().Total + list.List.front().BeforeFirstReport;
}

} // namespace

TEST_CASE("a report survives its encoding", "[gossip]") {
  const auto back = decodeReport(encodeReport(report(1, 2, 3, 4'000'000'000)));
  REQUIRE(back);
  CHECK(back->Node == 1);
  CHECK(back->Incarnation == 2);
  CHECK(back->Heartbeat == 3);
  CHECK(back->Loads == report(1, 2, 3, 0).Loads);
  CHECK(back->SpendTotals.front().Total == 4'000'000'000);
}

TEST_CASE("bytes that are no report are passed over", "[gossip]") {
  const std::string good = encodeReport(report(1, 2, 3, 4));
  std::uint64_t rnd = 11;
  for (int n = 0; n < 2000; ++n) {
    std::string bad = good.substr(0, randomBelow(rnd, good.size() + 1));
    for (char &c : bad)
      if (randomBelow(rnd, 8) == 0)
        c = static_cast<char>(nextRandom(rnd));
    static_cast<void>(decodeReport(bad)); // Must not throw or crash.
  }
  CHECK_FALSE(decodeReport(std::string_view("no report")));
}

TEST_CASE("an older report of the same life changes nothing", "[gossip]") {
  GossipState book;
  applyReport(book, report(1, 1, 5, 100), Time(seconds(1)));
  applyReport(book, report(1, 1, 4, 50), Time(seconds(2)));
  CHECK(spentIn(book) == 100);
  CHECK(book.Peers.at(1).LastReportAt == Time(seconds(1)));
}

TEST_CASE("what earlier lives spent isn't forgotten", "[gossip]") {
  GossipState book;
  applyReport(book, report(1, 1, 9, 100), Time(seconds(1)));
  applyReport(book, report(1, 2, 1, 10), Time(seconds(2)));
  CHECK(spentIn(book) == 110);
}

TEST_CASE("changes leave what they don't list as it was", "[gossip]") {
  GossipState book;
  GossipReport whole = report(1, 1, 1, 50);
  whole.Loads = {{EndpointId{3}, 1, 0, 0}, {EndpointId{7}, 2, 0, 0}};
  applyReport(book, whole, Time(seconds(1)));
  GossipReport change = report(1, 1, 2, 50);
  change.Loads = changedLoads(
      whole.Loads, std::vector<BackendLoad>{{EndpointId{3}, 4, 0, 0}});
  change.IsFull = false;
  applyReport(book, change, Time(seconds(1)));
  const LoadList now = sumPeerLoads(book, Time(seconds(1)), seconds(1));
  CHECK(findLoad(now, EndpointId{3}).Running == 4);
  CHECK(findLoad(now, EndpointId{7}).Running == 0);
  CHECK(changedLoads(whole.Loads, whole.Loads).empty());
}

TEST_CASE("loads of peers add up while they are heard", "[gossip]") {
  GossipState book;
  applyReport(book, report(1, 1, 1, 0), Time(seconds(1)));
  applyReport(book, report(2, 1, 1, 0), Time(seconds(2)));
  const LoadList both = sumPeerLoads(book, Time(seconds(2)), seconds(1));
  CHECK(findLoad(both, EndpointId{7}).Running == 6);
  CHECK(findLoad(both, EndpointId{8}).Running == 0);
  const LoadList one = sumPeerLoads(book, Time(milliseconds(2500)), seconds(1));
  CHECK(findLoad(one, EndpointId{7}).Running == 3);
}

TEST_CASE("all agree on who reads, and one takes over for another",
          "[gossip]") {
  const std::vector<std::uint64_t> all = {1, 2, 3, 4, 5, 6};
  const std::vector<std::uint64_t> turned = {6, 5, 4, 3, 2, 1};
  const auto first = selectStoreReaders(all);
  REQUIRE(first.size() == 1);
  CHECK(selectStoreReaders(turned) == first);
  std::vector<std::uint64_t> rest;
  for (const std::uint64_t node : all)
    if (node != first[0])
      rest.push_back(node);
  REQUIRE(selectStoreReaders(rest).size() == 1);
  CHECK(selectStoreReaders(rest)[0] != first[0]);
  std::vector<std::uint64_t> many(68);
  for (std::size_t n = 0; n < many.size(); ++n)
    many[n] = n + 1;
  CHECK(selectStoreReaders(many).size() == 5);
}

TEST_CASE("what was spent and seen is told once, and kept by those told",
          "[gossip]") {
  GossipReport said = report(1, 1, 1, 100);
  said.SpendTotals = {{WorkspaceId{5}, 100}, {WorkspaceId{6}, 40}};
  VersionStatsKey one;
  one.Endpoint = EndpointId{1};
  VersionStatsKey two;
  two.Endpoint = EndpointId{2};
  said.Stats = {{one, {10, 1, 0, 0, 0}}, {two, {20, 0, 0, 0, 0}}};
  GossipReport now = said;
  now.Heartbeat = 2;
  now.SpendTotals[1].Total = 50;
  now.Stats[0].Counts.Requests = 11;
  const GossipReport change = changesSince(said, now);
  CHECK_FALSE(change.IsFull);
  CHECK(change.Loads.empty());
  REQUIRE(change.SpendTotals.size() == 1);
  CHECK(change.SpendTotals[0].Workspace == WorkspaceId{6});
  REQUIRE(change.Stats.size() == 1);
  CHECK(change.Stats[0].Key == one);

  GossipState book;
  applyReport(book, said, Time(seconds(1)));
  applyReport(book, change, Time(seconds(1)));
  const GossipReport &held = book.Peers.at(1).LastReport;
  CHECK(spentIn(book) == 100);
  CHECK(sumPeerSpend(book).List.at(1).BeforeFirstReport == 40);
  CHECK(sumPeerSpend(book).List.at(1).Total == 10);
  REQUIRE(held.Stats.size() == 2);
  CHECK(held.Stats[0].Counts.Requests == 11);
  CHECK(held.Stats[1].Counts.Requests == 20);
  CHECK(
      findLoad(sumPeerLoads(book, Time(seconds(1)), seconds(1)), EndpointId{7})
          .Running == 3);
}

TEST_CASE("a whole report replaces what was seen before it", "[gossip]") {
  GossipState book;
  GossipReport first = report(1, 1, 1, 100);
  first.Stats = {{VersionStatsKey{}, {10, 1, 0, 0, 0}}};
  applyReport(book, first, Time(seconds(1)));
  // Its move has ended since: nothing is told of it any more.
  applyReport(book, report(1, 1, 2, 120), Time(seconds(1)));
  CHECK(book.Peers.at(1).LastReport.Stats.empty());
  CHECK(spentIn(book) == 120);
}

TEST_CASE("what a first report leaves out was spent before it too",
          "[gossip]") {
  GossipState book;
  GossipReport part = report(1, 1, 1, 5'000);
  part.IsFull = false;
  applyReport(book, part, Time(seconds(1)));
  GossipReport whole = report(1, 1, 2, 5'001);
  whole.SpendTotals.push_back({WorkspaceId{6}, 700});
  applyReport(book, whole, Time(seconds(2)));
  CHECK(sumPeerSpend(book).List.at(0).Total == 1);
  CHECK(sumPeerSpend(book).List.at(1).Total == 0);
  CHECK(sumPeerSpend(book).List.at(1).BeforeFirstReport == 700);
  // What is listed from now on is new.
  whole.Heartbeat = 3;
  whole.SpendTotals.push_back({WorkspaceId{7}, 30});
  applyReport(book, whole, Time(seconds(3)));
  CHECK(sumPeerSpend(book).List.at(2).Total == 30);
}

TEST_CASE("what a peer spent before it was heard first isn't what it spends",
          "[gossip]") {
  GossipState book;
  applyReport(book, report(1, 1, 1, 5'000), Time(seconds(1)));
  CHECK(sumPeerSpend(book).List.front().Total == 0);
  CHECK(sumPeerSpend(book).List.front().BeforeFirstReport == 5'000);
  applyReport(book, report(1, 1, 2, 5'040), Time(seconds(2)));
  // Another life of it began at zero since then.
  applyReport(book, report(1, 2, 1, 10), Time(seconds(3)));
  CHECK(sumPeerSpend(book).List.front().Total == 50);
  CHECK(sumPeerSpend(book).List.front().BeforeFirstReport == 5'000);
}
