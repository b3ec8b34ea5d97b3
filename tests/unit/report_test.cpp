// Tests how reports of nodes are merged and formatted.

#include "zinniagauge/adapt/report.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <sstream>

using namespace zinniagauge;

namespace {

NodeReport makeNode(std::uint64_t version, std::uint64_t total,
                    std::uint64_t good) {
  NodeReport report;
  report.BundleVersion = version;
  report.HistoryMinutes = BurnHistoryMinutes;
  TierReport tier;
  tier.Name = "dossier";
  tier.Objective = 0.99;
  tier.Windows.fill({total, good});
  report.Tiers.push_back(tier);
  return report;
}

MoveReport makeMove(std::string name, MoveStage stage) {
  MoveReport report;
  report.Name = std::move(name);
  report.OldVersion = "dossier-7";
  report.NewVersion = "dossier-8";
  report.Stage = stage;
  return report;
}

bool contains(const std::string &text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("counts of nodes are summed and unreachable nodes are listed",
          "[report]") {
  const std::vector<NodeReport> nodes = {makeNode(6, 100, 100),
                                         makeNode(7, 100, 60)};
  const std::vector<std::string> unreachable = {"127.0.0.1:9"};
  const FleetReport rep = mergeReports(nodes, unreachable);
  CHECK(rep.Tiers.at(0).Windows[0].Total == 200);
  const std::string text = reportText(rep);
  CHECK(contains(text, "nodes    2 of 3 reached, not: 127.0.0.1:9\n"));
  CHECK(contains(text, "bundle   versions 6 to 7\n"));
  CHECK(contains(text, "history  6 h on all reached nodes\n"));
  CHECK(contains(text,
                 "dossier       99.00%    20.0    20.0   80.00%  FAST BURN\n"));
}

TEST_CASE("tiers without requests have a burn rate of zero", "[report]") {
  std::vector<NodeReport> nodes = {makeNode(7, 0, 0)};
  nodes[0].HistoryMinutes = 3;
  const std::string text = reportText(mergeReports(nodes, {}));
  CHECK(contains(text, "history  3 min on the youngest node\n"));
  CHECK(contains(text, "dossier       99.00%     0.0     0.0        -  ok\n"));
}

TEST_CASE("a move that one node reports as rolled back is rolled back",
          "[report]") {
  std::vector<NodeReport> nodes = {makeNode(7, 1, 1), makeNode(7, 1, 1)};
  nodes[0].Moves.push_back(makeMove("to-8", MoveStage::Completed));
  nodes[1].Moves.push_back(makeMove("to-8", MoveStage::RolledBack));
  nodes[1].Moves[0].BadReason = "fails 30% on route dossier under load";
  const std::string text = reportText(mergeReports(nodes, {}));
  CHECK(contains(text, "move to-8: TAKEN BACK (dossier-7 to dossier-8)\n"));
  CHECK(contains(text, "  fails 30% on route dossier under load\n"));
}

TEST_CASE("the text stays within 20 lines of 60 columns", "[report]") {
  NodeReport big = makeNode(7, 10, 9);
  for (int i = 1; i < 8; ++i) {
    big.Tiers.push_back(big.Tiers[0]);
    big.Tiers.back().Name = std::string(40, 'x') + std::to_string(i);
  }
  for (int i = 0; i < 30; ++i) {
    big.Moves.push_back(makeMove("m" + std::to_string(i), MoveStage::Moving));
    big.Moves.back().BadReason = std::string(500, 'e');
  }
  big.Moves.push_back(makeMove("late", MoveStage::RolledBack));
  const std::vector<std::string> unreachable(20, "127.0.0.1:65535");
  std::istringstream in(reportText(mergeReports({&big, 1}, unreachable)));
  std::string line;
  std::size_t n = 0;
  bool rolledback = false;
  bool truncated = false;
  for (; std::getline(in, line); ++n) {
    CHECK(line.size() <= MaxReportColumns);
    rolledback = rolledback || line.starts_with("move late: TAKEN BACK");
    truncated = truncated || line.ends_with("more moves; see --json");
  }
  CHECK(n <= MaxReportLines);
  CHECK(rolledback);
  CHECK(truncated);
}

TEST_CASE("the report's JSON contains all windows and moves", "[report]") {
  NodeReport one = makeNode(7, 100, 99);
  one.Tiers[0].Objective = 1;
  one.Moves.push_back(makeMove("to-8", MoveStage::Moving));
  const auto doc =
      nlohmann::json::parse(reportJson(mergeReports({&one, 1}, {})));
  CHECK(doc["nodes_reached"] == 1);
  CHECK(doc["tiers"][0]["windows"].size() == BurnWindowMinutes.size());
  CHECK(doc["tiers"][0]["windows"][0]["burn"] == "inf");
  CHECK(doc["tiers"][0]["verdict"] == "fast");
  CHECK(doc["moves"][0]["stage"] == "moving");
}

TEST_CASE("malformed responses of nodes are rejected", "[report]") {
  CHECK_FALSE(decodeBurn(""));
  CHECK_FALSE(decodeBurn("{}"));
  CHECK_FALSE(decodeBurn(R"({"vm":"a","zone":"b","bundle_version":"x",
      "history_minutes":1,"tiers":[],"moves":[]})"));
}

TEST_CASE("a report without any reached node lists the unreachable ones",
          "[report]") {
  const std::vector<std::string> unreachable = {"127.0.0.1:9"};
  CHECK(reportText(mergeReports({}, unreachable)) ==
        "nodes    0 of 1 reached, not: 127.0.0.1:9\n");
}
