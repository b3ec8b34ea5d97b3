// Tests the exchange between the agents of several VMs.
#include "support/nodes.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>

using namespace zinniagauge;
using namespace zinniagauge::testing;
using nlohmann::json;

namespace {

constexpr const char *Bin = ZINNIA_BINARY_DIR;

json status(const Node &node) {
  const ProgramResult res =
      runZinniactl(node, Bin, FirstOperatorKey, {"--json", "status"});
  return json::parse(res.Output, nullptr, false);
}

/// The state of the VM called \p name in the status of \p node; empty if the
/// status doesn't list that VM.
std::string stateAt(const Node &node, const std::string &name) {
  const json val = status(node);
  if (!val.is_object() || !val.contains("members"))
    return {};
  for (const json &m : val.at("members"))
    if (m.value("name", "") == name)
      return m.value("state", "");
  return {};
}

bool reachesState(const Node &node, const std::string &name,
                  const std::string &state) {
  return waitUntil([&] { return stateAt(node, name) == state; });
}

/// Three VMs, two of them in one zone.
struct ThreeVmDeployment {
  ScratchFolder Folder;
  PlatformProcess Platform{Bin};
  std::vector<Node> Nodes =
      makeNodes(Folder, Platform.Url, {"vm-a", "vm-b", "vm-c"},
                {"cuenca", "cuenca", "gualaceo"});

  ThreeVmDeployment() {
    for (Node &it : Nodes) {
      startNode(it, Bin);
      REQUIRE(waitForStatus(it.operatorUrl() + "/v1/status", 401));
    }
  }
};

} // namespace

TEST_CASE("agents discover each other and report a planned stop",
          "[process][exchange]") {
  ThreeVmDeployment t;
  for (const Node &observer : t.Nodes)
    for (const Node &subject : t.Nodes)
      CHECK(reachesState(observer, subject.Name, "alive"));
  t.Nodes[1].Agent->signal(SIGTERM);
  CHECK(reachesState(t.Nodes[0], "vm-b", "leaving"));
  CHECK(reachesState(t.Nodes[2], "vm-b", "leaving"));
}

TEST_CASE("a VM that can't reach the table gets the bundle from its peers",
          "[process][exchange]") {
  ThreeVmDeployment t;
  for (const Node &observer : t.Nodes)
    REQUIRE(reachesState(observer, "vm-c", "alive"));
  std::ifstream in(ZINNIA_SOURCE_DIR "/examples/demo/bundle.json");
  const std::string file =
      t.Folder.write("bundle.json", json::parse(in).dump());
  const auto proposed = runZinniactl(t.Nodes[0], Bin, FirstOperatorKey,
                                     {"--json", "bundle", "propose", file});
  const std::string digest =
      json::parse(proposed.Output).at("digest").get<std::string>();
  CHECK(runZinniactl(t.Nodes[0], Bin, SecondOperatorKey,
                     {"bundle", "approve", digest})
            .Exit == 0);
  REQUIRE(waitUntil(
      [&] { return statusNumber(t.Nodes[0], "/bundle_version") == 1; }));
  REQUIRE(t.Platform.faults(R"({"service": "table", "outage": true})"));
  t.Nodes[2].Agent.reset();
  t.Nodes[2].Entry.reset();
  startNode(t.Nodes[2], Bin);
  CHECK(waitUntil(
      [&] { return statusNumber(t.Nodes[2], "/entry/bundle_version") == 1; }));
}
