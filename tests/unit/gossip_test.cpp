// Gossip reports: encoding, partial reports, totals, and the choice of readers.
#include "zinniagauge/decide/random.h"
#include "zinniagauge/store/gossip_report.h"

#include <catch2/catch.hpp>

#include <string>

using namespace zinniagauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

GossipReport report(std::uint64_t node, std::uint64_t incarnation,
                    std::uint64_t heartbeat, std::uint64_t spent) {
  GossipReport rep;
  rep.Node = node;
  rep.Incarnation = incarnation;
  rep.Heartbeat = heartbeat;
  rep.Loads = {{EndpointId{7}, 3, 900, 20'000}};
  rep.SpendTotals = {{WorkspaceId{5}, spent}};
  return rep;
}

std::uint64_t totalSpend(const GossipState &state) {
  const SpendList list = sumPeerSpend(state);
  return list.List.empty()
             ? 0
             : list.List.front().Total + list.List.front().BeforeFirstReport;
}

} // namespace

TEST_CASE("a decoded report equals the encoded one", "[gossip]") {
  GossipReport rep = report(1, 2, 3, 4'000'000'000);
  rep.OperatorRows = {2, 61};
  rep.BackendsEra = 3;
  const auto decoded = decodeReport(encodeReport(rep));
  REQUIRE(decoded);
  CHECK(decoded->OperatorRows == TableVersion{2, 61});
  CHECK(decoded->BackendsEra == 3);
  CHECK(decoded->Node == 1);
  CHECK(decoded->Incarnation == 2);
  CHECK(decoded->Heartbeat == 3);
  CHECK(decoded->Loads == report(1, 2, 3, 0).Loads);
  CHECK(decoded->SpendTotals.front().Total == 4'000'000'000);
}

TEST_CASE("a report tells the limits of back ends, unless they are unchanged",
          "[gossip]") {
  GossipReport rep = report(1, 2, 3, 4);
  rep.Limits.List = {{EndpointId{7}, 2.6, monotonicNow() - seconds(3)},
                     {EndpointId{8}, 0, monotonicNow()}};
  const auto decoded = decodeReport(encodeReport(rep));
  REQUIRE(decoded);
  REQUIRE(decoded->Limits.List.size() == 2);
  const BackendLimit &limit = decoded->Limits.List.front();
  CHECK(limit.Id == EndpointId{7});
  CHECK(limit.PerSecond == Approx(2.6));
  CHECK(monotonicNow() - limit.At >= seconds(3));
  CHECK(monotonicNow() - limit.At < seconds(4));
  CHECK(changesSince(rep, rep).Limits.List.empty());
  GossipReport changed = rep;
  changed.Limits.List.front().PerSecond = 1;
  CHECK(changesSince(rep, changed).Limits.List.size() == 2);
}

TEST_CASE("bytes that are no report are rejected", "[gossip]") {
  const std::string valid = encodeReport(report(1, 2, 3, 4));
  std::uint64_t rnd = 11;
  for (int n = 0; n < 2000; ++n) {
    std::string corrupted = valid.substr(0, randomBelow(rnd, valid.size() + 1));
    for (char &c : corrupted)
      if (randomBelow(rnd, 8) == 0)
        c = static_cast<char>(nextRandom(rnd));
    static_cast<void>(decodeReport(corrupted)); // Must not throw or crash.
  }
  CHECK_FALSE(decodeReport(std::string_view("no report")));
}

TEST_CASE("an older report of the same incarnation is ignored", "[gossip]") {
  GossipState state;
  applyReport(state, report(1, 1, 5, 100), Time(seconds(1)));
  applyReport(state, report(1, 1, 4, 50), Time(seconds(2)));
  CHECK(totalSpend(state) == 100);
  CHECK(state.Peers.at(1).LastReportAt == Time(seconds(1)));
}

TEST_CASE("spend of earlier incarnations is kept", "[gossip]") {
  GossipState state;
  applyReport(state, report(1, 1, 9, 100), Time(seconds(1)));
  applyReport(state, report(1, 2, 1, 10), Time(seconds(2)));
  CHECK(totalSpend(state) == 110);
}

TEST_CASE("a partial report leaves unlisted loads unchanged", "[gossip]") {
  GossipState state;
  GossipReport full = report(1, 1, 1, 50);
  full.Loads = {{EndpointId{3}, 1, 0, 0}, {EndpointId{7}, 2, 0, 0}};
  applyReport(state, full, Time(seconds(1)));
  GossipReport change = report(1, 1, 2, 50);
  change.Loads = changedLoads(
      full.Loads, std::vector<BackendLoad>{{EndpointId{3}, 4, 0, 0}});
  change.IsFull = false;
  applyReport(state, change, Time(seconds(1)));
  const LoadList now = sumPeerLoads(state, Time(seconds(1)), seconds(1));
  CHECK(findLoad(now, EndpointId{3}).Running == 4);
  CHECK(findLoad(now, EndpointId{7}).Running == 0);
  CHECK(changedLoads(full.Loads, full.Loads).empty());
}

TEST_CASE("loads of peers are summed until the peer times out", "[gossip]") {
  GossipState state;
  applyReport(state, report(1, 1, 1, 0), Time(seconds(1)));
  applyReport(state, report(2, 1, 1, 0), Time(seconds(2)));
  const LoadList both = sumPeerLoads(state, Time(seconds(2)), seconds(1));
  CHECK(findLoad(both, EndpointId{7}).Running == 6);
  CHECK(findLoad(both, EndpointId{8}).Running == 0);
  const LoadList one =
      sumPeerLoads(state, Time(milliseconds(2500)), seconds(1));
  CHECK(findLoad(one, EndpointId{7}).Running == 3);
}

TEST_CASE("all fronts select the same readers and replace a dead one",
          "[gossip]") {
  const std::vector<ReaderCandidate> all = {{1}, {2}, {3}, {4}, {5}, {6}};
  const std::vector<ReaderCandidate> reversed(all.rbegin(), all.rend());
  const auto first = selectStoreReaders(all);
  REQUIRE(first.size() == 1);
  CHECK(selectStoreReaders(reversed) == first);
  std::vector<ReaderCandidate> rest;
  for (const ReaderCandidate &c : all)
    if (c.Node != first[0])
      rest.push_back(c);
  REQUIRE(selectStoreReaders(rest).size() == 1);
  CHECK(selectStoreReaders(rest)[0] != first[0]);
  std::vector<ReaderCandidate> many(68);
  for (std::size_t n = 0; n < many.size(); ++n)
    many[n].Node = n + 1;
  CHECK(selectStoreReaders(many).size() == 9);
}

// Guards against a change that reaches all fronts only after a narrow link has
// carried it.
TEST_CASE("fronts with wide links read the table service", "[gossip]") {
  const std::vector<ReaderCandidate> all = {{1, 10}, {2, 0}, {3, 200}, {4, 10}};
  CHECK(selectStoreReaders(all) == std::vector<std::uint64_t>{3});
}

TEST_CASE("unchanged spend and statistics are sent once and kept by receivers",
          "[gossip]") {
  GossipReport lastsent = report(1, 1, 1, 100);
  lastsent.SpendTotals = {{WorkspaceId{5}, 100}, {WorkspaceId{6}, 40}};
  VersionStatsKey one;
  one.Endpoint = EndpointId{1};
  VersionStatsKey two;
  two.Endpoint = EndpointId{2};
  lastsent.Stats = {{one, {10, 1, 0, 0, 0}}, {two, {20, 0, 0, 0, 0}}};
  GossipReport now = lastsent;
  now.Heartbeat = 2;
  now.SpendTotals[1].Total = 50;
  now.Stats[0].Counts.Requests = 11;
  const GossipReport change = changesSince(lastsent, now);
  CHECK_FALSE(change.IsFull);
  CHECK(change.Loads.empty());
  REQUIRE(change.SpendTotals.size() == 1);
  CHECK(change.SpendTotals[0].Workspace == WorkspaceId{6});
  REQUIRE(change.Stats.size() == 1);
  CHECK(change.Stats[0].Key == one);

  GossipState state;
  applyReport(state, lastsent, Time(seconds(1)));
  applyReport(state, change, Time(seconds(1)));
  const GossipReport &merged = state.Peers.at(1).LastReport;
  CHECK(totalSpend(state) == 100);
  CHECK(sumPeerSpend(state).List.at(1).BeforeFirstReport == 40);
  CHECK(sumPeerSpend(state).List.at(1).Total == 10);
  REQUIRE(merged.Stats.size() == 2);
  CHECK(merged.Stats[0].Counts.Requests == 11);
  CHECK(merged.Stats[1].Counts.Requests == 20);
  CHECK(
      findLoad(sumPeerLoads(state, Time(seconds(1)), seconds(1)), EndpointId{7})
          .Running == 3);
}

TEST_CASE("a full report replaces earlier statistics", "[gossip]") {
  GossipState state;
  GossipReport first = report(1, 1, 1, 100);
  first.Stats = {{VersionStatsKey{}, {10, 1, 0, 0, 0}}};
  applyReport(state, first, Time(seconds(1)));
  // The version move has ended since, so the report has no statistics of it.
  applyReport(state, report(1, 1, 2, 120), Time(seconds(1)));
  CHECK(state.Peers.at(1).LastReport.Stats.empty());
  CHECK(totalSpend(state) == 120);
}

TEST_CASE("spend missing from a partial first report counts as earlier spend",
          "[gossip]") {
  GossipState state;
  GossipReport partial = report(1, 1, 1, 5'000);
  partial.IsFull = false;
  applyReport(state, partial, Time(seconds(1)));
  GossipReport full = report(1, 1, 2, 5'001);
  full.SpendTotals.push_back({WorkspaceId{6}, 700});
  applyReport(state, full, Time(seconds(2)));
  CHECK(sumPeerSpend(state).List.at(0).Total == 1);
  CHECK(sumPeerSpend(state).List.at(1).Total == 0);
  CHECK(sumPeerSpend(state).List.at(1).BeforeFirstReport == 700);
  // Workspaces that appear after the first full report are new spend.
  full.Heartbeat = 3;
  full.SpendTotals.push_back({WorkspaceId{7}, 30});
  applyReport(state, full, Time(seconds(3)));
  CHECK(sumPeerSpend(state).List.at(2).Total == 30);
}

TEST_CASE("spend before a peer's first report is counted separately",
          "[gossip]") {
  GossipState state;
  applyReport(state, report(1, 1, 1, 5'000), Time(seconds(1)));
  CHECK(sumPeerSpend(state).List.front().Total == 0);
  CHECK(sumPeerSpend(state).List.front().BeforeFirstReport == 5'000);
  applyReport(state, report(1, 1, 2, 5'040), Time(seconds(2)));
  // A new incarnation of the peer starts counting at zero.
  applyReport(state, report(1, 2, 1, 10), Time(seconds(3)));
  CHECK(sumPeerSpend(state).List.front().Total == 50);
  CHECK(sumPeerSpend(state).List.front().BeforeFirstReport == 5'000);
}

TEST_CASE("a decoded summary equals the encoded one", "[gossip]") {
  GossipReport rep = report(1, 2, 3, 4);
  rep.Kind = ReportKind::Summary;
  rep.Queues = {{PoolId{4}, 19}};
  rep.AckedHeartbeat = 77;
  rep.LivingFronts = 295;
  rep.HeardFronts = 290;
  CoordinatorRow row;
  row.Node = "front-9";
  row.Zone = "zone-b";
  row.Address = {0x0a010019, 7601};
  rep.Coordinators = {row};
  rep.VacantSlots = {{"zone-b/1", 812}};
  rep.Moves = {{PoolId{4}, MoveId{5}, VersionId{6}, MoveStage::Moving, 130}};
  const auto decoded = decodeReport(encodeReport(rep));
  REQUIRE(decoded);
  CHECK(decoded->Kind == ReportKind::Summary);
  CHECK(decoded->AckedHeartbeat == 77);
  CHECK(decoded->Queues == rep.Queues);
  CHECK(decoded->LivingFronts == 295);
  CHECK(decoded->HeardFronts == 290);
  REQUIRE(decoded->Coordinators.size() == 1);
  CHECK(decoded->Coordinators[0].Node == "front-9");
  CHECK(decoded->Coordinators[0].Zone == "zone-b");
  CHECK(decoded->Coordinators[0].Address == row.Address);
  REQUIRE(decoded->VacantSlots.size() == 1);
  CHECK(decoded->VacantSlots[0].Key == "zone-b/1");
  CHECK(decoded->VacantSlots[0].ExpectedVersion == 812);
  CHECK(decoded->Moves == rep.Moves);
  rep.Moves.reset();
  CHECK_FALSE(decodeReport(encodeReport(rep))->Moves);
}

TEST_CASE("a report with an unknown kind or stage is rejected", "[gossip]") {
  GossipReport rep = report(1, 2, 3, 4);
  rep.Kind = static_cast<ReportKind>(9);
  CHECK_FALSE(decodeReport(encodeReport(rep)));
  rep.Kind = ReportKind::Summary;
  rep.Moves = {
      {PoolId{4}, MoveId{5}, VersionId{6}, static_cast<MoveStage>(99), 130}};
  CHECK_FALSE(decodeReport(encodeReport(rep)));
}

TEST_CASE("loads that were added can be subtracted again", "[gossip]") {
  std::vector<BackendLoad> sum = {{EndpointId{2}, 1, 10, 5}};
  const std::vector<BackendLoad> more = {{EndpointId{1}, 2, 0, 0},
                                         {EndpointId{2}, 3, 7, 9},
                                         {EndpointId{3}, 4, 0, 0}};
  addLoads(sum, more);
  REQUIRE(sum.size() == 3);
  CHECK(sum[0] == more[0]);
  CHECK(sum[1] == BackendLoad{EndpointId{2}, 4, 17, 9});
  CHECK(sum[2] == more[2]);
  const auto rest = subtractLoads(sum, more);
  CHECK(rest[0].Running == 0);
  CHECK(rest[1] == BackendLoad{EndpointId{2}, 1, 10, 9});
  // An outdated own part is never more than the total.
  CHECK(subtractLoads(more, std::vector<BackendLoad>{{EndpointId{1}, 9, 9, 0}})
            .front()
            .Running == 0);
}

TEST_CASE("calls that wait are summed up over fronts", "[gossip]") {
  std::vector<PoolQueue> sum = {{PoolId{2}, 4}};
  addQueues(sum, std::vector<PoolQueue>{{PoolId{1}, 3}, {PoolId{2}, 5}});
  CHECK(sum == std::vector<PoolQueue>{{PoolId{1}, 3}, {PoolId{2}, 9}});
  const auto rest = subtractQueues(sum, std::vector<PoolQueue>{{PoolId{2}, 4}});
  CHECK(waitingFor({rest}, PoolId{2}) == 5);
  CHECK(waitingFor({rest}, PoolId{7}) == 0);
}

TEST_CASE("joined spend totals never decrease when the source changes",
          "[gossip]") {
  SpendMeter meter;
  const auto totalafter = [&](std::uint64_t source, std::uint64_t total) {
    return advance(meter, source,
                   std::vector<WorkspaceSpend>{{WorkspaceId{5}, total}})
        .List.front()
        .Total;
  };
  CHECK(totalafter(1, 1000) == 0); // Spent before the source was known.
  CHECK(totalafter(1, 1200) == 200);
  CHECK(totalafter(2, 50) == 200);
  CHECK(totalafter(2, 90) == 240);
  CHECK(totalafter(2, 80) == 240); // A lost report, made up for later.
  CHECK(totalafter(2, 100) == 250);
  CHECK(totalafter(1, 5000) == 250);
}
