// The exchange between coordinators and members, with real datagrams on fake
// time: who sends to whom, what is summed up, and how a silent coordinator is
// replaced.
#include "support/gossip_front.h"

#include <catch2/catch.hpp>

#include <array>
#include <memory>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The three coordinators of a zone.
struct Coordinators {
  std::array<OtherFront, 3> Fronts = {OtherFront("c-0"), OtherFront("c-1"),
                                      OtherFront("c-2")};

  [[nodiscard]] std::vector<CoordinatorRow> rows() const {
    std::vector<CoordinatorRow> out;
    for (std::uint32_t n = 0; n < Fronts.size(); ++n)
      out.push_back(rowOf(Fronts[n], n));
    return out;
  }

  /// The index of the one that has received reports since the last call, or -1;
  /// no two of them may have.
  [[nodiscard]] int reportedTo() const {
    int out = -1;
    for (int n = 0; n < 3; ++n)
      if (!Fronts[static_cast<std::size_t>(n)].takeReports().empty()) {
        CHECK(out == -1);
        out = n;
      }
    return out;
  }
};

GossipReport summaryOf(OtherFront &front, std::uint64_t acked) {
  GossipReport rep = front.report(ReportKind::Summary);
  rep.AckedHeartbeat = acked;
  rep.LivingFronts = 300;
  rep.HeardFronts = 299;
  return rep;
}

} // namespace

TEST_CASE("a front that isn't a coordinator reports to one of them only",
          "[gossip]") {
  TestedFront f;
  Coordinators c;
  f.setCoordinators(c.rows(), false);
  const int first = c.reportedTo();
  REQUIRE(first >= 0);
  for (int n = 0; n < 20; ++n) {
    OtherFront &to = c.Fronts[static_cast<std::size_t>(first)];
    f.receive(to, summaryOf(to, 0));
    f.advance(milliseconds(250));
    CHECK(c.reportedTo() == first);
  }
  CHECK(f.Board.LivingFronts == 300);
  CHECK(f.Board.HeardFronts == 299);
  CHECK(f.runningAt(7) == 2);
  CHECK_FALSE(f.Board.IsStoreReader);
}

TEST_CASE("a silent coordinator is replaced within a second", "[gossip]") {
  TestedFront f;
  Coordinators c;
  f.setCoordinators(c.rows(), false);
  const int first = c.reportedTo();
  OtherFront &to = c.Fronts.at(static_cast<std::size_t>(first));
  f.receive(to, summaryOf(to, 0));
  int next = first;
  Duration waited{};
  while (next == first || next == -1) {
    f.advance(milliseconds(50));
    waited += milliseconds(50);
    REQUIRE(waited <= seconds(1));
    next = c.reportedTo();
  }
  // The successor's summary counts from now on; a late one of the former
  // doesn't, or its calls would be counted twice.
  OtherFront &successor = c.Fronts.at(static_cast<std::size_t>(next));
  f.receive(successor, summaryOf(successor, 0));
  GossipReport late = summaryOf(to, 0);
  late.Loads[0].Running = 50;
  f.receive(to, late);
  f.advance(milliseconds(20));
  CHECK(f.runningAt(7) == 2);
}

TEST_CASE("a front's own calls aren't counted as those of others", "[gossip]") {
  TestedFront f;
  Coordinators c;
  LoadList own;
  own.List = {{EndpointId{7}, 3, 40, 0}};
  f.Board.OwnLoads.publish(std::move(own));
  f.setCoordinators(c.rows(), false);
  const auto n = static_cast<std::size_t>([&] {
    for (int k = 0; k < 3; ++k) {
      const auto reps = c.Fronts.at(static_cast<std::size_t>(k)).takeReports();
      if (!reps.empty()) {
        CHECK(reps.back().Loads.front().Running == 3);
        c.Fronts.at(static_cast<std::size_t>(k)).Heartbeat =
            reps.back().Heartbeat;
        return k;
      }
    }
    return 0;
  }());
  OtherFront &to = c.Fronts.at(n);
  GossipReport rep = summaryOf(to, to.Heartbeat);
  rep.Loads[0].Running = 5; // Three of this front and two of others.
  f.receive(to, rep);
  f.advance(milliseconds(20));
  CHECK(f.runningAt(7) == 2);
}

TEST_CASE("a coordinator sums up its group for others, and all for members",
          "[gossip]") {
  TestedFront f;
  Coordinators c;
  f.setCoordinators(c.rows(), true);
  std::vector<std::unique_ptr<OtherFront>> members;
  for (int n = 0; n < 10; ++n)
    members.push_back(std::make_unique<OtherFront>("m-" + std::to_string(n)));
  for (int round = 0; round < 8; ++round) {
    for (const auto &m : members)
      f.receive(*m, m->report(ReportKind::Member));
    for (OtherFront &front : c.Fronts) {
      GossipReport rep = front.report(ReportKind::Group);
      rep.GroupSize = 20;
      f.receive(front, rep);
    }
    f.advance(milliseconds(250));
  }
  for (const OtherFront &front : c.Fronts) {
    std::uint32_t running = 0;
    for (const GossipReport &rep : front.takeReports())
      if (rep.Kind == ReportKind::Group && rep.IsFull) {
        running = rep.Loads.front().Running;
        CHECK(rep.GroupSize == 11);
      }
    CHECK(running == 20);
  }
  for (const auto &m : members) {
    const auto reps = m->takeReports();
    REQUIRE_FALSE(reps.empty());
    CHECK(reps.back().AckedHeartbeat >= m->Heartbeat - 1);
    CHECK(reps.back().HeardFronts == 71);
  }
  CHECK(f.runningAt(7) == 26);
  // Members that fall silent stop counting.
  for (int round = 0; round < 8; ++round)
    f.advance(milliseconds(250));
  CHECK(f.runningAt(7) == 0);
  CHECK(f.Board.HeardFronts == 1);
}

TEST_CASE("after a suspension no report from before counts", "[gossip]") {
  TestedFront f;
  Coordinators c;
  f.setCoordinators(c.rows(), true);
  OtherFront member("m-1");
  f.receive(member, member.report(ReportKind::Member));
  f.advance(milliseconds(50));
  REQUIRE(f.runningAt(7) == 2);
  REQUIRE(f.Board.HeardFronts == 2);
  // The machine was suspended for two seconds that the loop's clock doesn't
  // count. A late datagram of the time before is the first thing to arrive.
  f.Ct->PeerGossip.ClockOffset -= seconds(2);
  OtherFront other("m-2");
  f.receive(other, other.report(ReportKind::Member));
  f.advance(milliseconds(50));
  CHECK(f.runningAt(7) == 2);
  CHECK(f.Board.HeardFronts == 2); // Itself and m-2.
  f.receive(member, member.report(ReportKind::Member));
  f.advance(milliseconds(50));
  CHECK(f.runningAt(7) == 4);
}

TEST_CASE("a response to a query of an earlier incarnation confirms no list",
          "[gossip]") {
  TestedFront f;
  Coordinators c;
  f.setCoordinators(c.rows(), false);
  const int first = c.reportedTo();
  REQUIRE(first >= 0);
  OtherFront &to = c.Fronts.at(static_cast<std::size_t>(first));
  f.Board.BackendsDigest = 17;
  GossipReport rep = summaryOf(to, 0);
  rep.BackendsDigest = 17;
  // The machine lost power, and its clock has started over since the query.
  rep.EchoedQuerySentAt = toNanos(bootNow() + seconds(60));
  rep.EchoedIncarnation = f.Ct->PeerGossip.Incarnation;
  f.receive(to, rep);
  CHECK(f.Board.ReportedBackendsDigestAt == 0);
  rep.Heartbeat = ++to.Heartbeat;
  rep.EchoedQuerySentAt = toNanos(bootNow() - milliseconds(1));
  rep.EchoedIncarnation = f.Ct->PeerGossip.Incarnation + 1;
  f.receive(to, rep);
  CHECK(f.Board.ReportedBackendsDigestAt == 0);
  rep.Heartbeat = ++to.Heartbeat;
  rep.EchoedIncarnation = f.Ct->PeerGossip.Incarnation;
  f.receive(to, rep);
  CHECK(f.Board.ReportedBackendsDigestAt != 0);
}

TEST_CASE("a member that restarted gets its own queries echoed", "[gossip]") {
  TestedFront f;
  Coordinators c;
  f.setCoordinators(c.rows(), true);
  OtherFront member("m-1");
  GossipReport before = member.report(ReportKind::Member);
  before.QuerySentAt = toNanos(Time(seconds(500)));
  f.receive(member, before);
  GossipReport after = member.report(ReportKind::Member);
  after.Incarnation = 2;
  after.QuerySentAt = toNanos(Time(seconds(5)));
  f.receive(member, after);
  static_cast<void>(member.takeReports());
  f.advance(milliseconds(500));
  const auto reps = member.takeReports();
  REQUIRE_FALSE(reps.empty());
  CHECK(reps.back().EchoedQuerySentAt == after.QuerySentAt);
  CHECK(reps.back().EchoedIncarnation == 2);
}

TEST_CASE("a report of an earlier era confirms neither rows nor a list",
          "[gossip][restore]") {
  TestedFront f;
  Coordinators c;
  f.setCoordinators(c.rows(), false);
  const int first = c.reportedTo();
  REQUIRE(first >= 0);
  OtherFront &to = c.Fronts.at(static_cast<std::size_t>(first));
  f.Board.TableEra.publish({2, bootNow()});
  const auto tell = [&](TableVersion rows, std::uint64_t listera) {
    GossipReport rep = summaryOf(to, 0);
    rep.OperatorRows = rows;
    rep.BackendsEra = listera;
    rep.EchoedQuerySentAt = toNanos(bootNow() - milliseconds(1));
    rep.EchoedIncarnation = f.Ct->PeerGossip.Incarnation;
    f.receive(to, rep);
  };
  tell({2, 50}, 1);
  const ConfirmedVersion known = f.Board.ReportedOperatorRows.copy();
  CHECK(known.Version == TableVersion{2, 50});
  CHECK(f.Board.ReportedBackendsDigestAt == 0);
  // A higher number of the era before is neither news nor a confirmation.
  tell({1, 90}, 1);
  CHECK(f.Board.ReportedOperatorRows.copy().Version == known.Version);
  CHECK(f.Board.ReportedOperatorRows.copy().ConfirmedAt == known.ConfirmedAt);
  tell({2, 50}, 2);
  CHECK(f.Board.ReportedOperatorRows.copy().ConfirmedAt > known.ConfirmedAt);
  CHECK(f.Board.ReportedBackendsDigestAt != 0);
}

// Guards against a report that takes "never confirmed" for the time since the
// machine started, which other fronts would rely on as the age of a proof.
TEST_CASE("rows that a front never confirmed are no proof for others",
          "[gossip][plan]") {
  TestedFront f;
  Coordinators c;
  f.setCoordinators(c.rows(), false);
  OtherFront &to = c.Fronts.at(static_cast<std::size_t>(c.reportedTo()));
  f.Board.OperatorRows.publish({{1, 9}, 0});
  f.advance(milliseconds(250));
  const std::vector<GossipReport> reports = to.takeReports();
  REQUIRE_FALSE(reports.empty());
  CHECK(reports.back().OperatorRows == TableVersion{1, 9});
  CHECK(reports.back().OperatorRowAgeMs == UnconfirmedAgeMs);
  CHECK(reports.back().BackendsDigestAgeMs == UnconfirmedAgeMs);
  // Nor does one that says so count here, however long this machine runs.
  GossipReport rep = summaryOf(to, 0);
  rep.OperatorRows = {1, 9};
  rep.OperatorRowAgeMs = rep.BackendsDigestAgeMs = UnconfirmedAgeMs;
  rep.EchoedQuerySentAt = toNanos(bootNow() - milliseconds(1));
  rep.EchoedIncarnation = f.Ct->PeerGossip.Incarnation;
  f.receive(to, rep);
  CHECK(f.Board.ReportedOperatorRows.copy().Version == TableVersion{1, 9});
  CHECK(f.Board.ReportedOperatorRows.copy().ConfirmedAt == 0);
  CHECK(f.Board.ReportedBackendsDigestAt == 0);
}

// Guards against a new coordinator that hears nobody until the others have read
// the table again, and reads the table service for itself over its own link.
TEST_CASE("a coordinator that isn't in the table yet is reported to",
          "[gossip]") {
  TestedFront f("front-1");
  OtherFront known("known");
  OtherFront added("added");
  f.setCoordinators(std::vector<CoordinatorRow>{rowOf(known, 1)}, true);
  f.advance(milliseconds(250));
  CHECK(added.takeReports().empty());
  f.receive(added, added.report(ReportKind::Group));
  f.advance(milliseconds(250));
  CHECK_FALSE(added.takeReports().empty());
  CHECK_FALSE(known.takeReports().empty());
  f.advance(2 * FrontTimeout);
  static_cast<void>(added.takeReports());
  f.advance(milliseconds(250));
  CHECK(added.takeReports().empty());
}

// Guards against reports that outgrow a datagram without a trace.
TEST_CASE("a report that is too large for a datagram is counted", "[gossip]") {
  TestedFront f("front-1");
  OtherFront other("other");
  f.setCoordinators(std::vector<CoordinatorRow>{rowOf(other, 1)}, true);
  const auto toolarge = [&] {
    return metricsText(f.Metrics).find("too_large") != std::string::npos;
  };
  f.advance(milliseconds(250));
  CHECK_FALSE(toolarge());
  SpendList spend;
  for (std::uint64_t n = 1; n <= MaxReportBytes / 8; ++n)
    spend.List.push_back({WorkspaceId{n * 0x9E3779B97F4A7C15}, n << 30U});
  f.Board.OwnSpend.publish(spend);
  f.advance(milliseconds(250));
  CHECK(toolarge());
}
