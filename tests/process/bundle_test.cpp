// Tests the approval of bundles and their distribution to the entries, also
// while the platform fails.
#include "support/nodes.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using nlohmann::json;

namespace {

constexpr const char *Bin = ZINNIA_BINARY_DIR;

/// The demo's bundle with \p weight, so that each weight gives another text.
std::string bundleText(int weight) {
  std::ifstream in(ZINNIA_SOURCE_DIR "/examples/demo/bundle.json");
  json val = json::parse(in);
  val["workspaces"][0]["weight"] = weight;
  return val.dump(1);
}

/// Two nodes in two zones with one platform.
struct TwoZoneDeployment {
  ScratchFolder Folder;
  PlatformProcess Platform{Bin};
  std::vector<Node> Nodes =
      makeNodes(Folder, Platform.Url, {"vm-a", "vm-b"}, {"cuenca", "gualaceo"});

  TwoZoneDeployment() {
    for (Node &it : Nodes) {
      startNode(it, Bin);
      REQUIRE(waitForStatus(it.operatorUrl() + "/v1/status", 401));
    }
  }

  [[nodiscard]] ProgramResult run(std::size_t node, std::string_view key,
                                  std::vector<std::string> args) const {
    return runZinniactl(Nodes[node], Bin, key, std::move(args));
  }

  /// Proposes a bundle on the current head; returns its digest.
  [[nodiscard]] std::string propose(std::size_t node, std::string_view key,
                                    int weight) const {
    const std::string file = Folder.write(
        "bundle-" + std::to_string(weight) + ".json", bundleText(weight));
    const ProgramResult res =
        run(node, key, {"--json", "bundle", "propose", file});
    INFO(res.Output);
    REQUIRE(res.Exit == 0);
    return json::parse(res.Output).at("digest").get<std::string>();
  }

  [[nodiscard]] bool reachesEntries(std::int64_t version) const {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const Node &it) {
      return waitUntil(
          [&] { return statusNumber(it, "/entry/bundle_version") == version; });
    });
  }

  [[nodiscard]] json history() const {
    const ProgramResult res =
        run(0, FirstOperatorKey, {"--json", "bundle", "history"});
    return json::parse(res.Output);
  }
};

} // namespace

TEST_CASE("an approved bundle reaches the entries", "[process][bundle]") {
  const TwoZoneDeployment p;
  const std::string digest = p.propose(0, FirstOperatorKey, 2);
  CHECK(statusNumber(p.Nodes[0], "/bundle_version") == 0);
  CHECK(p.run(0, SecondOperatorKey, {"bundle", "approve", digest}).Exit == 0);
  CHECK(p.reachesEntries(1));
  const json list = p.history();
  REQUIRE(list.size() == 1);
  CHECK(list[0].at("proposed_by") == "marija");
  CHECK(list[0].at("approved_by") == "tomas");
  CHECK(list[0].at("digest") == digest);
  CHECK(p.run(1, FirstOperatorKey, {"bundle", "show"}).Output == bundleText(2));
}

TEST_CASE("if two operators approve at once, one gets a conflict",
          "[process][bundle]") {
  const TwoZoneDeployment p;
  const std::vector<std::string> digests = {p.propose(0, FirstOperatorKey, 2),
                                            p.propose(1, SecondOperatorKey, 3)};
  std::vector<ProgramResult> res(2);
  std::thread other([&] {
    res[1] = p.run(1, SecondOperatorKey, {"bundle", "approve", digests[1]});
  });
  res[0] = p.run(0, FirstOperatorKey, {"bundle", "approve", digests[0]});
  other.join();
  INFO(res[0].Output << res[1].Output);
  const std::size_t winner = res[0].Exit == 0 ? 0 : 1;
  CHECK(res[winner].Exit == 0);
  CHECK(res[1 - winner].Exit == 4);
  CHECK(res[1 - winner].Output.find("conflict") != std::string::npos);
  REQUIRE(p.history().size() == 1);
  CHECK(p.history()[0].at("digest") == digests[winner]);
  CHECK(p.reachesEntries(1));
}

TEST_CASE("an approval whose response is lost is settled by reading back",
          "[process][bundle]") {
  const TwoZoneDeployment p;
  const std::string digest = p.propose(0, FirstOperatorKey, 2);
  const bool silent = GENERATE(false, true);
  REQUIRE(p.Platform.faults(json{
      {"service", "table"},
      {"silent", silent},
      {"lost_answers", 1}}.dump()));
  CHECK(p.run(0, FirstOperatorKey, {"bundle", "approve", digest}).Exit == 0);
  CHECK(json::parse(p.Platform.counts()).at("table").at("lost") == 1);
  CHECK(p.history().size() == 1);
  CHECK(p.reachesEntries(1));
}

TEST_CASE("an accepted bundle reaches all entries despite a platform outage",
          "[process][bundle]") {
  const TwoZoneDeployment p;
  const std::string digest = p.propose(0, FirstOperatorKey, 2);
  // The other agent is stopped, so it can't read the table before the outage.
  p.Nodes[1].Agent->signal(SIGSTOP);
  CHECK(p.run(0, FirstOperatorKey, {"bundle", "approve", digest}).Exit == 0);
  REQUIRE(p.Platform.faults(R"({"service": "table", "outage": true})"));
  REQUIRE(p.Platform.faults(R"({"service": "objects", "outage": true})"));
  p.Nodes[1].Agent->signal(SIGCONT);
  CHECK(p.reachesEntries(1));
}

TEST_CASE("a new VM gets the bundle from its peers, or isn't ready",
          "[process][bundle]") {
  TwoZoneDeployment p;
  const std::string digest = p.propose(0, FirstOperatorKey, 2);
  CHECK(p.run(0, FirstOperatorKey, {"bundle", "approve", digest}).Exit == 0);
  REQUIRE(p.reachesEntries(1));
  REQUIRE(p.Platform.faults(R"({"service": "table", "outage": true})"));
  p.Nodes[1].Entry->kill();
  p.Nodes[1].Agent->kill();
  startNode(p.Nodes[1], Bin);
  CHECK(p.reachesEntries(1));

  const std::string ready = "http://" + p.Nodes[1].EntryMetrics + "/readyz";
  CHECK(waitForStatus(ready, 200));
  for (Node &it : p.Nodes) {
    it.Entry->kill();
    it.Agent->kill();
  }
  // Now the bundle is available neither from the table nor from a peer.
  startNode(p.Nodes[1], Bin);
  REQUIRE(waitUntil(
      [&] { return statusNumber(p.Nodes[1], "/entry/in_progress") == 0; }));
  REQUIRE(waitForStatus(ready, 503));
  CHECK(statusNumber(p.Nodes[1], "/entry/bundle_version") == 0);
  REQUIRE(p.Platform.faults(R"({"service": "table", "outage": false})"));
  CHECK(waitForStatus(ready, 200));
}

TEST_CASE("an approval during an outage changes nothing and reports that",
          "[process][bundle]") {
  const TwoZoneDeployment p;
  const std::string digest = p.propose(0, FirstOperatorKey, 2);
  REQUIRE(p.Platform.faults(R"({"service": "table", "outage": true})"));
  const ProgramResult res =
      p.run(0, FirstOperatorKey, {"bundle", "approve", digest});
  CHECK(res.Exit == 3);
  CHECK(res.Output.find("nothing was changed") != std::string::npos);
  REQUIRE(p.Platform.faults(R"({"service": "table", "outage": false})"));
  CHECK(p.history().empty());
  CHECK(p.run(0, FirstOperatorKey, {"bundle", "approve", digest}).Exit == 0);
}

TEST_CASE("a drain of an endpoint reaches every node", "[process][drain]") {
  const TwoZoneDeployment p;
  const std::string digest = p.propose(0, FirstOperatorKey, 2);
  REQUIRE(p.run(0, FirstOperatorKey, {"bundle", "approve", digest}).Exit == 0);
  REQUIRE(p.reachesEntries(1));
  CHECK(p.run(0, FirstOperatorKey, {"drain", "surtitle-9"}).Exit == 1);
  CHECK(p.run(0, FirstOperatorKey, {"drain", "surtitle-2"}).Exit == 0);
  for (const Node &it : p.Nodes)
    CHECK(waitUntil([&] { return statusNumber(it, "/draining") == 1; }));
}

TEST_CASE("wrong keys, commands, files and names are refused",
          "[process][bundle]") {
  const TwoZoneDeployment p;
  CHECK(p.run(0, "wrong", {"status"}).Exit == 1);
  CHECK(p.run(0, FirstOperatorKey, {"bundle", "show"}).Exit == 1);
  CHECK(p.run(0, FirstOperatorKey, {"bundle", "approve", std::string(64, '0')})
            .Exit == 1);
  CHECK(p.run(0, FirstOperatorKey, {"bundle", "aprove"}).Exit == 2);
  const std::string file = p.Folder.write("wrong.json", R"({"tiers": 1})");
  const ProgramResult res =
      p.run(0, FirstOperatorKey, {"bundle", "propose", file});
  CHECK(res.Exit == 2);
  CHECK(res.Output.find("/tiers: must be an array") != std::string::npos);
  const std::vector<Node> unstarted =
      makeNodes(p.Folder, p.Platform.Url, {"vm-c"}, {"paute"});
  CHECK(runZinniactl(unstarted[0], Bin, FirstOperatorKey, {"status"}).Exit ==
        3);
}

TEST_CASE("a frozen entry is reported, and gets the bundle once it resumes",
          "[process][bundle]") {
  const TwoZoneDeployment p;
  const Node &node = p.Nodes[0];
  const auto reached = [&] { return statusNumber(node, "/entry/reached"); };
  REQUIRE(waitUntil([&] { return reached() == 1; }));
  node.Entry->signal(SIGSTOP);
  CHECK(waitUntil([&] { return reached() == 0; }));
  const std::string digest = p.propose(0, FirstOperatorKey, 2);
  CHECK(p.run(0, FirstOperatorKey, {"bundle", "approve", digest}).Exit == 0);
  CHECK(statusNumber(node, "/entry/bundle_version") == 0);
  node.Entry->signal(SIGCONT);
  CHECK(p.reachesEntries(1));
}

TEST_CASE("an agent stops cleanly on SIGTERM", "[process][bundle]") {
  TwoZoneDeployment p;
  p.Nodes[1].Agent->signal(SIGTERM);
  CHECK(p.Nodes[1].Agent->wait() == 0);
  // The agent's entry keeps running without it.
  CHECK(waitForStatus("http://" + p.Nodes[1].EntryMetrics + "/livez", 200));
}
