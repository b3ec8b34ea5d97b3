// Tests the text of metrics, the probes and the JSON of burn counts.

#include "zinniagauge/adapt/metrics.h"

#include "zinniagauge/decide/burn.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <sstream>

using namespace zinniagauge;

namespace {

Bundle bundleWithOneTier() {
  Bundle b;
  b.Version = 7;
  TierSpec tier;
  tier.Name = "dossier";
  tier.Objective = 0.99;
  b.Tiers.push_back(tier);
  MoveSpec move;
  move.Name = "to-8";
  move.Id = MoveId::of("to-8");
  move.OldVersionLabel = "dossier-7";
  move.NewVersionLabel = "dossier-8";
  b.Moves.push_back(move);
  return b;
}

bool contains(const std::string &text, std::string_view line) {
  return text.find(line) != std::string::npos;
}

HttpResponse get(std::uint16_t port, std::string_view path) {
  const std::string url =
      "http://127.0.0.1:" + std::to_string(port) + std::string(path);
  HttpCall call;
  call.Url = url;
  auto response = httpCall(call);
  REQUIRE(response);
  return std::move(*response);
}

} // namespace

TEST_CASE("metrics cover tiers, moves and the bundle", "[metrics]") {
  Board b;
  b.ActiveBundle.publish(bundleWithOneTier());
  b.Counts.ByTier[0].ByOutcome[0].add(3);
  b.Counts.ByTier[0].Good.add(2);
  b.Counts.ByTier[0].QueueTime.observe(1500);
  b.Counts.ByTier[0].QueueTime.observe(99'000'000);
  b.Counts.WastedPrefillTokens.add(5);
  MoveState move;
  move.Id = MoveId::of("to-8");
  move.SharePermille = 50;
  move.Stage = MoveStage::RolledBack;
  b.Moves.publish({{move}});
  const std::string text = metricsText(b);
  CHECK(contains(
      text, "zinnia_requests_total{tier=\"dossier\",outcome=\"completed\"} 3"));
  CHECK(contains(text, "zinnia_requests_good_total{tier=\"dossier\"} 2"));
  CHECK(contains(
      text, "zinnia_wait_seconds_bucket{tier=\"dossier\",le=\"0.002\"} 1"));
  CHECK(contains(text, "zinnia_wait_seconds_count{tier=\"dossier\"} 2"));
  CHECK(contains(text, "zinnia_wasted_prefill_tokens_total 5"));
  CHECK(contains(text, "zinnia_bundle_version 7"));
  CHECK(contains(text, "zinnia_move_share{move=\"to-8\"} 0.05"));
  CHECK(contains(text,
                 "zinnia_move_stage{move=\"to-8\",stage=\"taken_back\"} 1"));
  CHECK(contains(
      text, "zinnia_invariant_failures_total{invariant=\"tier_order\"} 0"));
}

TEST_CASE("every metric has help and a type", "[metrics]") {
  Board b;
  b.ActiveBundle.publish(bundleWithOneTier());
  b.Moves.publish({{MoveState{}}});
  const std::string text = metricsText(b);
  std::size_t helps = 0;
  for (std::size_t at = text.find("# HELP zinnia_"); at != std::string::npos;
       at = text.find("# HELP zinnia_", at + 1)) {
    ++helps;
    const std::string line = text.substr(at, text.find('\n', at) - at);
    CHECK(line.ends_with('.'));
  }
  std::size_t types = 0;
  for (std::size_t at = text.find("# TYPE zinnia_"); at != std::string::npos;
       at = text.find("# TYPE zinnia_", at + 1))
    ++types;
  CHECK(helps == types);
  CHECK(helps >= 20);
}

TEST_CASE("readiness requires a bundle and a process that isn't stopping",
          "[metrics]") {
  Board b;
  TimerService timers;
  std::atomic<bool> stopping{false};
  MetricsOptions opt;
  opt.Address = "127.0.0.1:0";
  opt.VmName = "vm-1";
  opt.SharedBoard = &b;
  opt.Timers = &timers;
  opt.IsStopping = [&] { return stopping.load(); };
  auto srv = serveMetrics(opt);
  REQUIRE(srv);
  CHECK(get(srv->port(), "/startupz").Status == 200);
  CHECK(get(srv->port(), "/livez").Status == 200);
  CHECK(get(srv->port(), "/readyz").Status == 503);
  b.ActiveBundle.publish(bundleWithOneTier());
  CHECK(get(srv->port(), "/readyz").Status == 200);
  CHECK(contains(get(srv->port(), "/metrics").Body, "zinnia_bundle_version 7"));
  stopping = true;
  CHECK(get(srv->port(), "/readyz").Body == "stopping\n");
  CHECK(get(srv->port(), "/nowhere").Status == 404);
}

TEST_CASE("burn counts are reported by tier and window", "[metrics]") {
  Board b;
  b.ActiveBundle.publish(bundleWithOneTier());
  BurnHistory hist;
  TierCounts counts{};
  counts[0] = {10, 9};
  updateBurnHistory(hist, counts, Time(std::chrono::minutes(100)));
  b.Burn.publish(hist);
  MoveState move;
  move.Id = MoveId::of("to-8");
  move.VersionIsBad = true;
  move.BadReason = "slow";
  b.Moves.publish({{move}});
  MetricsOptions opt;
  opt.VmName = "vm-1";
  opt.SharedBoard = &b;
  const auto doc = nlohmann::json::parse(burnJson(opt));
  CHECK(doc["vm"] == "vm-1");
  CHECK(doc["history_minutes"] == 1);
  CHECK(doc["tiers"][0]["name"] == "dossier");
  CHECK(doc["tiers"][0]["windows"][0]["minutes"] == 5);
  CHECK(doc["tiers"][0]["windows"][3]["good"] == 9);
  CHECK(doc["moves"][0]["to"] == "dossier-8");
  CHECK(doc["moves"][0]["evidence"] == "slow");
}

TEST_CASE("docs/OPERATORS.md names every metric", "[metrics]") {
  std::ifstream in(std::string(ZINNIA_SOURCE_DIR) + "/docs/OPERATORS.md");
  const std::string page{std::istreambuf_iterator<char>(in), {}};
  Board b;
  b.ActiveBundle.publish(bundleWithOneTier());
  std::istringstream text(metricsText(b));
  std::size_t named = 0;
  for (std::string word; text >> word;) {
    if (word != "HELP" || !(text >> word))
      continue;
    ++named;
    INFO(word);
    CHECK(contains(page, "| `" + word + "` |"));
  }
  CHECK(named >= 20);
}
